//! Size of the delta for one change in a section of nearly 1 MB, and the time to make and check it.

use std::time::Instant;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::parcel::Piece;
use auburnline_core::hash::digest;
use auburnline_core::published::Section;
use rand::Rng;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::CHANGES_A_DAY;
use crate::SECONDS_A_DAY;
use crate::support::Draft;

/// Number of workspaces; their section has nearly 1 MB.
const WORKSPACES: usize = 12_000;
/// Number of changes over which the results are averaged.
const CHANGES: u32 = 20;

fn workspaces(rng: &mut impl Rng) -> Map<String, Value> {
    let workspace = |index: usize| {
        let name = format!("workspace-{index:06}");
        let rate: u32 = rng.random_range(1..100_000);
        let limits = json!({"tokens_per_second": rate, "burst_tokens": rate, "weight": 1});
        (name, limits)
    };
    (0..WORKSPACES).map(workspace).collect()
}

fn draft(all: &Map<String, Value>) -> Draft {
    let all = Value::Object(all.clone());
    Draft::default().set(Section::Workspaces, "/workspaces", all)
}

pub(crate) fn measure(rng: &mut impl Rng, is_csv: bool) {
    let mut all = workspaces(rng);
    let mut old = draft(&all).source().sections[&Section::Workspaces].clone();
    let whole = old.len();
    let mut travelled = 0;
    let mut check = 0.0;
    let mut pack = 0.0;
    for _ in 0..CHANGES {
        let name = format!("workspace-{:06}", rng.random_range(0..WORKSPACES));
        all[&name]["tokens_per_second"] = json!(rng.random_range(1..100_000));
        let source = draft(&all).source();
        let new = source.sections[&Section::Workspaces].clone();
        let begin = Instant::now();
        travelled += Piece::delta(&digest(&old), &old, &new).len();
        pack += begin.elapsed().as_secs_f64();
        let begin = Instant::now();
        Checked::parse(source).expect("a valid configuration");
        check += begin.elapsed().as_secs_f64();
        old = new;
    }
    let changes = f64::from(CHANGES);
    let delta = f64::from(u32::try_from(travelled).unwrap_or(u32::MAX)) / changes;
    let whole = f64::from(u32::try_from(whole).unwrap_or(u32::MAX));
    let rate = CHANGES_A_DAY / SECONDS_A_DAY;
    let rows = [
        ("bytes of the section", whole),
        ("bytes of a change of one workspace", delta),
        ("bytes/s of 590 changes a day, whole", whole * rate),
        ("bytes/s of 590 changes a day, delta", delta * rate),
        ("ms to check the whole configuration", check / changes * 1e3),
        ("ms to make the delta", pack / changes * 1e3),
    ];
    for (name, value) in rows {
        if is_csv {
            println!("{name},{value:.2}");
        } else {
            println!("{name:<40} {value:>12.2}");
        }
    }
}
