//! An entry's view of which entries are live, and the home of each workspace under that view.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::hash;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use super::share::Share;

/// Whether an entry is believed live, or since when it is not. One that left may have granted leases that
/// are still valid until the hold time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    Live,
    GoneSince(Monotonic),
}

/// An entry's view of which entries are live.
#[derive(Clone, Debug)]
pub struct View {
    me: InstanceId,
    hold_time: Duration,
    seen: BTreeMap<InstanceId, Liveness>,
    share: Share,
    /// Incremented when homes or the share may have changed.
    epoch: u64,
    /// When an entry was last dropped or the share last rose after the hold time.
    steady_since: Monotonic,
}

impl View {
    /// Returns the view of an entry that starts now and knows no entries.
    #[must_use]
    pub fn new(now: Monotonic, me: InstanceId, hold_time: Duration) -> Self {
        View {
            me,
            hold_time,
            seen: BTreeMap::new(),
            share: Share::new(now, hold_time),
            epoch: 0,
            steady_since: now,
        }
    }

    /// Records a new list of published entries or a new set of live ones.
    pub fn observe(
        &mut self,
        now: Monotonic,
        published: &BTreeSet<InstanceId>,
        live: &BTreeSet<InstanceId>,
    ) {
        let visible = live.intersection(published).count();
        for (entry, seen) in &mut self.seen {
            if *seen == Liveness::Live && !live.contains(entry) {
                *seen = Liveness::GoneSince(now);
            }
        }
        for entry in live {
            self.seen.insert(entry.clone(), Liveness::Live);
        }
        self.share.record(now, visible, published.len());
        self.epoch += 1;
        self.tick(now);
    }

    /// Drops entries that left, and records of the share, that are older than the hold time. Must be called
    /// before the view is queried.
    pub fn tick(&mut self, now: Monotonic) {
        let before = (self.seen.len(), self.share.ppm());
        let hold_time = self.hold_time;
        self.seen.retain(|_, seen| match *seen {
            Liveness::Live => true,
            Liveness::GoneSince(since) => now < since + hold_time,
        });
        self.share.expire(now);
        if before != (self.seen.len(), self.share.ppm()) {
            self.epoch += 1;
            self.steady_since = now;
        }
    }

    /// Returns a counter that increases whenever homes or the share may have changed.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the live entry to which asks for `workspace` go; none if no entry is live.
    #[must_use]
    pub fn home(&self, workspace: &WorkspaceId) -> Option<&InstanceId> {
        let live = self
            .seen
            .iter()
            .filter(|(_, seen)| **seen == Liveness::Live);
        rendezvous_first(workspace, live.map(|(entry, _)| entry))
    }

    /// Returns whether this entry has been the home of `workspace` throughout the hold time.
    ///
    /// Entries that left within the hold time count as well, because leases that they granted may still be
    /// valid.
    #[must_use]
    pub fn is_home(&self, workspace: &WorkspaceId) -> bool {
        rendezvous_first(workspace, self.seen.keys()) == Some(&self.me)
    }

    /// Returns whether `entry` is believed live or left within the hold time.
    #[must_use]
    pub fn is_known(&self, entry: &InstanceId) -> bool {
        self.seen.contains_key(entry)
    }

    /// Returns the share of limits that this entry may grant, in millionths: the smallest fraction of the
    /// published entries that it saw within the hold time.
    #[must_use]
    pub fn share_ppm(&self) -> u64 {
        self.share.ppm()
    }

    /// Returns the last time at which a change of homes or of the share may have allowed this entry to grant
    /// more.
    #[must_use]
    pub fn steady_since(&self) -> Monotonic {
        self.steady_since
    }

    /// Returns the hold time, as [`Settings::hold_time`](super::Settings::hold_time).
    #[must_use]
    pub fn hold_time(&self) -> Duration {
        self.hold_time
    }
}

fn rendezvous_first<'a>(
    workspace: &WorkspaceId,
    entries: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    entries.max_by_key(|entry| (hash::rendezvous(workspace, entry), *entry))
}
