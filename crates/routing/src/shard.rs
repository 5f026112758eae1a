//! The units of one pool that serve the same model.

use crate::ring::Ring;
use crate::unit::Backlog;
use crate::unit::Unit;

/// The units of one pool and model.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// Indexes of all units, admitting or not.
    pub(crate) all: Vec<u32>,
    /// Indexes of the units that admit work, sorted by name.
    pub(crate) admitting: Vec<u32>,
    /// Ring over the admitting units.
    pub(crate) ring: Ring,
    /// Sum of the admitting units' loads.
    pub(crate) backlog: Backlog,
    /// Whether `admitting`, `ring` and `backlog` must be rebuilt before use.
    pub(crate) dirty: bool,
}

impl Shard {
    /// Rebuilds the derived fields if units, sessions or marks have changed.
    pub(crate) fn refresh(&mut self, units: &[Option<Unit>]) {
        if !self.dirty {
            return;
        }
        let mut named: Vec<(&str, u32)> = self
            .all
            .iter()
            .filter_map(|&index| units[index as usize].as_ref().map(|unit| (index, unit)))
            .filter(|(_, unit)| unit.admits())
            .map(|(index, unit)| (unit.group.as_ref(), index))
            .collect();
        named.sort_unstable();
        self.ring = Ring::new(named.iter().map(|&(name, index)| (index, name)));
        self.admitting = named.iter().map(|&(_, index)| index).collect();
        let admitting = self.admitting.iter();
        let loads = admitting.filter_map(|&index| units[index as usize].as_ref().map(Unit::load));
        self.backlog = loads.fold(Backlog::default(), |sum, load| {
            sum.replace(Backlog::default(), load)
        });
        self.dirty = false;
    }

    /// Returns the mean load of the admitting units in tokens; 0 without any.
    pub(crate) fn mean(&self) -> u64 {
        self.backlog
            .total()
            .checked_div(self.admitting.len() as u64)
            .unwrap_or(0)
    }
}
