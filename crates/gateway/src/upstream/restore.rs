//! Lists of a store that was restored from a backup, which is some seconds old.

use auburnline_core::time::Monotonic;

use super::Change;
use super::Pool;
use super::Revision;
use super::Upstream;

impl Pool {
    /// Applies the first list of a restored store, as of a revision. Entries of upstreams that were removed, or that
    /// have restarted since, are not trusted until `until`: live upstreams write theirs again
    /// before that, and the others expire.
    pub fn restore(
        &mut self,
        upstreams: Vec<Upstream>,
        as_of: Revision,
        until: Monotonic,
    ) -> Vec<Change> {
        let upstreams = upstreams.into_iter();
        let (current, outdated): (Vec<_>, Vec<_>) = upstreams.partition(|one| self.is_current(one));
        let outdated = outdated.into_iter();
        self.untrusted = outdated.map(|one| (one.id.clone(), (one, until))).collect();
        self.replace(current, as_of)
    }

    /// Returns whether an entry is at least as recent as what is known of its upstream.
    fn is_current(&self, upstream: &Upstream) -> bool {
        match self.members.get(&upstream.id) {
            Some(member) => member.missing_as_of.is_none() && !member.is_newer_than(upstream),
            None => !self.removed.contains(upstream),
        }
    }

    /// Adds the untrusted entries whose time has passed without their removal from the list.
    pub fn take_trusted(&mut self, now: Monotonic) -> Vec<Change> {
        let untrusted = self.untrusted.values();
        let due = untrusted.filter(|(_, until)| now >= *until);
        let due: Vec<_> = due.map(|(upstream, _)| upstream.clone()).collect();
        due.into_iter().filter_map(|one| self.insert(one)).collect()
    }
}
