//! Configurations in force: never back, and one content a revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_core::hash::Digest;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;

use super::Violation;
use crate::record::Configuration;

pub(super) fn check(seen: &[Configuration], found: &mut BTreeSet<Violation>) {
    let mut last: BTreeMap<(&InstanceId, Incarnation), Revision> = BTreeMap::new();
    let mut contents: BTreeMap<Revision, &Digest> = BTreeMap::new();
    for one in seen {
        let before = last.insert((&one.process, one.incarnation), one.revision);
        if let Some(from) = before.filter(|from| *from > one.revision) {
            found.insert(Violation::Reverted {
                process: one.process.clone(),
                incarnation: one.incarnation,
                from,
                to: one.revision,
            });
        }
        if *contents.entry(one.revision).or_insert(&one.digest) != &one.digest {
            found.insert(Violation::Split {
                revision: one.revision,
            });
        }
    }
}
