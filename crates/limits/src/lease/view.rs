//! An entry's view of the entries, and the homes that follow from it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::hash;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use super::share::Share;

/// Whether an entry is believed live, or until when it may still grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Live,
    GoneSince(Monotonic),
}

/// An entry's view of the entries.
#[derive(Clone, Debug)]
pub struct View {
    me: InstanceId,
    hold: Duration,
    seen: BTreeMap<InstanceId, Seen>,
    share: Share,
    epoch: u64,
    steady_since: Monotonic,
}

impl View {
    /// Returns the view of an entry that starts now and sees nobody.
    #[must_use]
    pub fn new(now: Monotonic, me: InstanceId, hold: Duration) -> Self {
        View {
            me,
            hold,
            seen: BTreeMap::new(),
            share: Share::new(now, hold),
            epoch: 0,
            steady_since: now,
        }
    }

    /// Takes a new published list or a new belief of who is live.
    pub fn observe(
        &mut self,
        now: Monotonic,
        published: &BTreeSet<InstanceId>,
        live: &BTreeSet<InstanceId>,
    ) {
        let visible = live.intersection(published).count();
        for (entry, seen) in &mut self.seen {
            if *seen == Seen::Live && !live.contains(entry) {
                *seen = Seen::GoneSince(now);
            }
        }
        for entry in live {
            self.seen.insert(entry.clone(), Seen::Live);
        }
        self.share.record(now, visible, published.len());
        self.epoch += 1;
        self.tick(now);
    }

    /// Lets holds end. A view must be ticked before it is asked.
    pub fn tick(&mut self, now: Monotonic) {
        let before = (self.seen.len(), self.share.ppm());
        let hold = self.hold;
        self.seen.retain(|_, seen| match *seen {
            Seen::Live => true,
            Seen::GoneSince(since) => now < since + hold,
        });
        self.share.expire(now);
        if before != (self.seen.len(), self.share.ppm()) {
            self.epoch += 1;
            self.steady_since = now;
        }
    }

    /// Returns a number that changes whenever homes or the share may have changed.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the entry to ask for `workspace`.
    #[must_use]
    pub fn home(&self, workspace: &WorkspaceId) -> Option<&InstanceId> {
        let live = self.seen.iter().filter(|(_, seen)| **seen == Seen::Live);
        first(workspace, live.map(|(entry, _)| entry))
    }

    /// Whether this entry is the home in every view of the last hold.
    ///
    /// An entry that left within the hold may have granted leases that still run, so it counts.
    #[must_use]
    pub fn is_home(&self, workspace: &WorkspaceId) -> bool {
        first(workspace, self.seen.keys()) == Some(&self.me)
    }

    /// Whether `entry` is believed live or left within the hold.
    #[must_use]
    pub fn knows(&self, entry: &InstanceId) -> bool {
        self.seen.contains_key(entry)
    }

    /// Returns the part of limits that this entry may grant, in millionths.
    #[must_use]
    pub fn share(&self) -> u64 {
        self.share.ppm()
    }

    /// Returns since when neither the homes nor the share let this entry grant more.
    #[must_use]
    pub fn steady_since(&self) -> Monotonic {
        self.steady_since
    }

    /// Returns the hold.
    #[must_use]
    pub fn hold(&self) -> Duration {
        self.hold
    }
}

fn first<'a>(
    workspace: &WorkspaceId,
    entries: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    entries.max_by_key(|entry| (hash::rendezvous(workspace, entry), *entry))
}
