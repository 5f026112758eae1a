//! Kinds of faults.

use std::str::FromStr;

use auburnline_standin::engine;
use auburnline_standin::platform;
use auburnline_standin::relay::Mode;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A slot is killed and started again.
    KillSlot,
    /// An entry is killed and started again.
    KillEntry,
    /// A slot is frozen for a while.
    FreezeSlot,
    /// An entry is frozen for a while.
    FreezeEntry,
    /// A slot is told to stop, and started again.
    StopSlot,
    /// An entry is told to stop, and started again.
    StopEntry,
    /// Connections to a slot are cut.
    Cut,
    /// Connections to a slot go silent; new ones work.
    SilentSession,
    /// Connections to a slot go silent; new ones don't work.
    SilentHop,
    /// What goes to a slot is late.
    Delay,
    /// The platform is down.
    PlatformDown,
    /// The platform tells what is old.
    PlatformStale,
    /// The platform tells now the new, now the old.
    PlatformFlapping,
    /// The platform takes calls and never answers.
    PlatformSilent,
    /// Two operators publish the same revision with other bytes.
    Race,
    /// A slot is taken out of service by the maintenance preset, and back.
    Drain,
    /// An upstream refuses.
    Refuse,
    /// An upstream's streams go silent.
    SilentUpstream,
    /// An upstream cuts its connections before it answers.
    CutUpstream,
}

/// What a fault falls upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Entry,
    Slot,
    Engine,
    Platform,
    Operator,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 19] = [
        Kind::KillSlot,
        Kind::KillEntry,
        Kind::FreezeSlot,
        Kind::FreezeEntry,
        Kind::StopSlot,
        Kind::StopEntry,
        Kind::Cut,
        Kind::SilentSession,
        Kind::SilentHop,
        Kind::Delay,
        Kind::PlatformDown,
        Kind::PlatformStale,
        Kind::PlatformFlapping,
        Kind::PlatformSilent,
        Kind::Race,
        Kind::Drain,
        Kind::Refuse,
        Kind::SilentUpstream,
        Kind::CutUpstream,
    ];

    pub(crate) const fn target(self) -> Target {
        match self {
            Kind::KillEntry | Kind::FreezeEntry | Kind::StopEntry => Target::Entry,
            Kind::PlatformDown
            | Kind::PlatformStale
            | Kind::PlatformFlapping
            | Kind::PlatformSilent => Target::Platform,
            Kind::Race | Kind::Drain => Target::Operator,
            Kind::Refuse | Kind::SilentUpstream | Kind::CutUpstream => Target::Engine,
            _ => Target::Slot,
        }
    }

    /// Returns what the relay does under this fault, if it is one of the relay's.
    pub(crate) const fn relay(self) -> Option<Mode> {
        match self {
            Kind::Cut => Some(Mode::Cut),
            Kind::SilentSession => Some(Mode::Silent { new: true }),
            Kind::SilentHop => Some(Mode::Silent { new: false }),
            Kind::Delay => Some(Mode::Delay(150)),
            _ => None,
        }
    }

    /// Returns how the platform fails, if it is one of the platform's.
    pub(crate) const fn platform(self) -> Option<platform::Fault> {
        match self {
            Kind::PlatformDown => Some(platform::Fault::Down),
            Kind::PlatformStale => Some(platform::Fault::Stale),
            Kind::PlatformFlapping => Some(platform::Fault::Flapping),
            Kind::PlatformSilent => Some(platform::Fault::Silent),
            _ => None,
        }
    }

    /// Returns how an upstream fails, if it is one of the upstream's.
    pub(crate) fn engine(self) -> Option<engine::Fault> {
        let mut fault = engine::Fault::default();
        match self {
            Kind::Refuse => fault.refuse = Some(503),
            Kind::SilentUpstream => fault.silent = true,
            Kind::CutUpstream => fault.kill_head = true,
            _ => return None,
        }
        Some(fault)
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let mut all = Kind::ALL.into_iter();
        let found = all.find(|kind| format!("{kind:?}").eq_ignore_ascii_case(text));
        found.ok_or_else(|| format!("no fault is named {text}"))
    }
}
