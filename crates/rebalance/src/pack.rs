//! Builds a layer from scratch for a given popularity.
//!
//! Spare places go one by one to the expert with the largest load per replica. Then the replicas, the
//! largest load first, go to the rank with a free place that would finish earliest (longest processing
//! time first). The result serves as a group's first map and as the baseline for small changes.

use auburnline_core::expert::Layer;
use auburnline_core::id::Expert;

use crate::search;
use crate::search::Conditions;
use crate::to_f64;

/// Maximum number of changes that refine a packed layer.
const MAX_REFINEMENTS: usize = 64;

/// Packs `shares` onto ranks of equal speed as [`layer`] does, then shortens the slowest ranks' times
/// by small changes.
#[must_use]
pub fn refined(shares: &[f64], ranks: usize, places: usize) -> Option<Layer> {
    let layer = layer(shares, &vec![1.0; ranks], places)?;
    let path = search::improve(&layer, ranks, Conditions::steady(shares), MAX_REFINEMENTS);
    Some(path.apply(&layer, path.changes.len()))
}

/// Packs `shares` onto ranks of the given `slowness` with `places` each; returns `None` if the places
/// do not suffice for one replica of each expert.
#[must_use]
pub fn layer(shares: &[f64], slowness: &[f64], places: usize) -> Option<Layer> {
    let total = slowness.len() * places;
    if shares.is_empty() || total < shares.len() {
        return None;
    }
    let replicas = replicas(shares, total, slowness.len());
    let mut parts: Vec<(f64, Expert)> = Vec::with_capacity(total);
    for (expert, &count) in replicas.iter().enumerate() {
        let id = Expert::try_from(expert).ok()?;
        parts.extend((0..count).map(|_| (shares[expert] / to_f64(count), id)));
    }
    parts.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    Some(assign(&parts, slowness, places))
}

fn replicas(shares: &[f64], total: usize, ranks: usize) -> Vec<usize> {
    let mut replicas = vec![1; shares.len()];
    for _ in shares.len()..total {
        let mut best = 0;
        let mut largest = f64::MIN;
        for (expert, &count) in replicas.iter().enumerate() {
            let part = if count < ranks {
                shares[expert] / to_f64(count)
            } else {
                -1.0
            };
            if part > largest {
                largest = part;
                best = expert;
            }
        }
        replicas[best] += 1;
    }
    replicas
}

fn assign(parts: &[(f64, Expert)], slowness: &[f64], places: usize) -> Layer {
    let mut ranks: Vec<Vec<Expert>> = vec![Vec::with_capacity(places); slowness.len()];
    let mut loads = vec![0.0; slowness.len()];
    for &(part, expert) in parts {
        let rank = earliest_finish(&ranks, &loads, slowness, places, (part, expert));
        loads[rank] += part;
        ranks[rank].push(expert);
    }
    Layer(ranks.concat())
}

/// Returns the rank with a free place that would finish earliest, preferring ranks without the expert.
fn earliest_finish(
    ranks: &[Vec<Expert>],
    loads: &[f64],
    slowness: &[f64],
    places: usize,
    (part, expert): (f64, Expert),
) -> usize {
    let mut best = (true, f64::MAX, 0);
    for (rank, held) in ranks.iter().enumerate() {
        if held.len() == places {
            continue;
        }
        let key = (
            held.contains(&expert),
            (loads[rank] + part) * slowness[rank],
            rank,
        );
        if (key.0, key.1) < (best.0, best.1) {
            best = key;
        }
    }
    best.2
}
