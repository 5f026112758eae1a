//! Invariants of a router's state, checked in random runs.

use crate::router::MAX_GROUPS;
use crate::router::Router;
use crate::unit::Backlog;

impl Router {
    /// Asserts that the state is bounded and that sums kept by events equal those made anew.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken, which is a defect of this crate.
    pub fn assert_invariants(&self) {
        self.assert_bounded();
        for shard in self.shards.values().filter(|shard| !shard.dirty) {
            let units = shard.admitting.iter();
            let units = units.filter_map(|&index| self.units[index as usize].as_ref());
            let sum = units.fold(Backlog::default(), |sum, unit| {
                assert!(unit.admits(), "{} does not admit", unit.group);
                sum.replace(Backlog::default(), unit.load())
            });
            assert_eq!(sum, shard.backlog, "a shard's sum of loads");
        }
    }

    /// Asserts the bounds of all state; hints stand in a table of fixed size.
    fn assert_bounded(&self) {
        let kept = self.units.iter().flatten().count();
        assert!(self.units.len() <= MAX_GROUPS, "places of units");
        assert_eq!(kept, self.index.len(), "units and their names");
        let members: usize = self.shards.values().map(|shard| shard.all.len()).sum();
        assert_eq!(members, kept, "members of shards");
        assert!(self.shards.len() <= kept, "shards without units");
        for unit in self.units.iter().flatten() {
            unit.assert_sends();
        }
    }
}
