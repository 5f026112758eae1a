//! Lists of a store that came back from a copy, which is some seconds old.

use auburnline_core::time::Monotonic;

use super::Change;
use super::Pool;
use super::Upstream;

impl Pool {
    /// Takes the first list of a store that came back from a copy. Entries of upstreams that were removed, or have started anew, are
    /// doubted until then: those that live are written again sooner, and the others lapse.
    pub fn restore(&mut self, upstreams: Vec<Upstream>, until: Monotonic) -> Vec<Change> {
        let upstreams = upstreams.into_iter();
        let (believed, doubted): (Vec<_>, Vec<_>) = upstreams.partition(|one| self.is_current(one));
        let doubted = doubted.into_iter();
        self.untrusted = doubted.map(|one| (one.id.clone(), (one, until))).collect();
        self.replace(believed)
    }

    /// Returns whether an entry is no older than what is known of its upstream.
    fn is_current(&self, upstream: &Upstream) -> bool {
        match self.members.get(&upstream.id) {
            Some(member) => !member.is_missing && !member.is_newer_than(upstream),
            None => !self.removed.contains(upstream),
        }
    }

    /// Takes the entries that were doubted long enough and have not lapsed.
    pub fn admit(&mut self, now: Monotonic) -> Vec<Change> {
        let untrusted = self.untrusted.values();
        let due = untrusted.filter(|(_, until)| now >= *until);
        let due: Vec<_> = due.map(|(upstream, _)| upstream.clone()).collect();
        due.into_iter().filter_map(|one| self.insert(one)).collect()
    }
}
