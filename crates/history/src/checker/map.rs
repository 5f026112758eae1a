//! Expert maps: one for all ranks of a step, and never back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_core::id::Generation;
use auburnline_core::id::GroupId;
use auburnline_core::id::Step;

use super::Violation;
use crate::record::MapStep;

pub(super) fn check(steps: &[MapStep], found: &mut BTreeSet<Violation>) {
    let mut used: BTreeMap<&GroupId, BTreeMap<Step, Generation>> = BTreeMap::new();
    for one in steps {
        let group = used.entry(&one.group).or_default();
        let generation = *group.entry(one.step).or_insert(one.generation);
        if generation != one.generation {
            found.insert(Violation::MapSplit {
                group: one.group.clone(),
                step: one.step,
            });
        }
    }
    for (group, steps) in used {
        let mut newest = 0;
        for (step, to) in steps {
            if to < newest {
                found.insert(Violation::MapReverted {
                    group: group.clone(),
                    step,
                    from: newest,
                    to,
                });
            }
            newest = newest.max(to);
        }
    }
}
