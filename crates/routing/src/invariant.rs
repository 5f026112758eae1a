//! Invariants of a router's state, checked by randomized tests.

use crate::router::MAX_GROUPS;
use crate::router::Router;
use crate::unit::Backlog;

impl Router {
    /// Asserts that the state is bounded and that incremental sums equal recomputed ones.
    ///
    /// # Panics
    ///
    /// Panics if an invariant does not hold, which is a bug in this crate.
    pub fn assert_invariants(&self) {
        self.assert_bounded();
        for shard in self.shards.values().filter(|shard| !shard.dirty) {
            let units = shard.admitting.iter();
            let units = units.filter_map(|&index| self.units[index as usize].as_ref());
            let sum = units.fold(Backlog::default(), |sum, unit| {
                assert!(unit.admits(), "{} does not admit", unit.group);
                sum.replace(Backlog::default(), unit.load())
            });
            assert_eq!(
                sum, shard.backlog,
                "a shard's sum differs from the loads of its units"
            );
        }
    }

    /// Asserts the bounds of all state except the hints, which are in a table of fixed size.
    fn assert_bounded(&self) {
        let kept = self.units.iter().flatten().count();
        assert!(self.units.len() <= MAX_GROUPS, "more units than MAX_GROUPS");
        assert_eq!(
            kept,
            self.index.len(),
            "units and the index of their names differ"
        );
        let members: usize = self.shards.values().map(|shard| shard.all.len()).sum();
        assert_eq!(members, kept, "units and members of shards differ");
        assert!(self.shards.len() <= kept, "more shards than units");
        for unit in self.units.iter().flatten() {
            unit.assert_sends();
        }
    }
}
