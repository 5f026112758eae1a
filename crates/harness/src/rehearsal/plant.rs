//! Faults planted in a recorded history, to show that the check sees them.

use std::str::FromStr;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_history::record::Answer;
use auburnline_history::record::Line;
use auburnline_history::record::Record;

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A request that may run once ran again.
    Doubled,
    /// A caller got another request's answer.
    Crossed,
    /// A request that ran was told as not run.
    FalseNotRun,
    /// A process went back to an older revision.
    Reverted,
}

impl Planted {
    /// All planted faults.
    pub const ALL: [Planted; 4] = [
        Planted::Doubled,
        Planted::Crossed,
        Planted::FalseNotRun,
        Planted::Reverted,
    ];

    /// Returns the name of the violation that it has to make.
    #[must_use]
    pub const fn violation(self) -> &'static str {
        match self {
            Planted::Doubled => "Doubled",
            Planted::Crossed => "Crossed",
            Planted::FalseNotRun => "FalseNotRun",
            Planted::Reverted => "Reverted",
        }
    }
}

impl FromStr for Planted {
    type Err = String;

    fn from_str(text: &str) -> Result<Planted, String> {
        let mut all = Planted::ALL.into_iter();
        let found = all.find(|planted| planted.violation().eq_ignore_ascii_case(text));
        found.ok_or_else(|| format!("no planted fault is named {text}"))
    }
}

/// Plants a fault.
pub fn plant(planted: Planted, lines: &mut Vec<Line>) {
    match planted {
        Planted::Doubled => double(lines),
        Planted::Crossed => cross(lines),
        Planted::FalseNotRun => deny(lines),
        Planted::Reverted => revert(lines),
    }
}

fn double(lines: &mut Vec<Line>) {
    let once = lines.iter().find_map(|line| match &line.record {
        Record::Call(call) if !call.idempotent => lines
            .iter()
            .find(|other| matches!(&other.record, Record::Effect(effect) if effect.id == call.id)),
        _ => None,
    });
    lines.extend(once.cloned());
}

/// Returns the answers that are whole.
fn whole(lines: &mut [Line]) -> impl Iterator<Item = &mut Answer> {
    lines.iter_mut().filter_map(|line| match &mut line.record {
        Record::Answer(answer) if answer.digest.is_some() => Some(answer),
        _ => None,
    })
}

fn cross(lines: &mut [Line]) {
    let digests: Vec<_> = whole(lines).map(|answer| answer.digest.clone()).collect();
    let other = digests.iter().find(|other| **other != digests[0]).cloned();
    if let (Some(answer), Some(other)) = (whole(lines).next(), other) {
        answer.digest = other;
    }
}

fn deny(lines: &mut [Line]) {
    if let Some(answer) = whole(lines).last() {
        answer.fate = Some(Fate::NotRun);
        answer.kind = Some(Kind::Overloaded);
        answer.digest = None;
    }
}

fn revert(lines: &mut Vec<Line>) {
    let mut seen = lines.iter().rev().filter_map(|line| match &line.record {
        Record::Configuration(seen) => Some((line.at, seen.clone())),
        _ => None,
    });
    if let Some((at, mut back)) = seen.next() {
        back.revision -= 1;
        let record = Record::Configuration(back);
        lines.push(Line { at: at + 1, record });
    }
}
