//! Measures what operators' calls cost a daemon, by the size of what it tells.
//!
//! Processor time of the calls themselves, without HTTP: snapshot to JSON, and snapshot to metrics
//! text. `--csv` prints CSV.

use std::sync::Arc;
use std::time::Instant;

use auburnline_duty::decisions::Ring;
use auburnline_duty::metrics;
use auburnline_operator::Board;
use auburnline_operator::Snapshot;
use auburnline_operator::Source as _;
use auburnline_operator::shape::Group;
use auburnline_operator::shape::Limit;
use auburnline_operator::shape::Status;

/// Calls of one measurement.
const CALLS: u32 = 200;
/// Groups and limits that a daemon tells of; the last is beyond the target size.
const SIZES: [(usize, usize); 5] = [(3, 10), (12, 40), (45, 160), (90, 650), (90, 2_600)];

fn status(groups: usize, limits: usize) -> Status {
    let group = |number: usize| Group {
        group: format!("group-{number}"),
        pool: "drafts".to_owned(),
        model: Some("repairs".to_owned()),
        generation: Some(7),
        skew: Some(1.1),
        ..Group::default()
    };
    let limit = |number: usize| Limit {
        workspace: format!("workspace-{number}"),
        tokens_per_second: 1_000.0,
        ..Limit::default()
    };
    Status {
        instance: "entry-1".to_owned(),
        groups: (0..groups).map(group).collect(),
        limits: (0..limits).map(limit).collect(),
        ..Status::default()
    }
}

/// Returns the microseconds of one call and the bytes of its answer.
fn measure(call: impl Fn() -> usize) -> (f64, usize) {
    let mut bytes = call();
    let start = Instant::now();
    for _ in 0..CALLS {
        bytes = call();
    }
    let time = start.elapsed().as_secs_f64() / f64::from(CALLS) * 1e6;
    (time, bytes)
}

fn main() {
    let csv = std::env::args().any(|argument| argument == "--csv");
    let handle = metrics::install().expect("the first recorder");
    let ring = Arc::new(Ring::new(16));
    let board = Board::new(ring, handle, || true);
    if csv {
        println!("groups,limits,status_us,status_bytes,metrics_us,metrics_bytes");
    } else {
        println!("groups limits   status us  bytes  metrics us  bytes");
    }
    for (groups, limits) in SIZES {
        board.publish(Snapshot {
            status: status(groups, limits),
            ..Snapshot::default()
        });
        let json = || serde_json::to_vec(&board.status()).map_or(0, |bytes| bytes.len());
        let (status_time, status_bytes) = measure(json);
        let (metrics_time, metrics_bytes) = measure(|| board.metrics().len());
        if csv {
            println!(
                "{groups},{limits},{status_time:.1},{status_bytes},{metrics_time:.1},{metrics_bytes}"
            );
        } else {
            println!(
                "{groups:>6} {limits:>6} {status_time:>11.1} {status_bytes:>6} {metrics_time:>11.1} {metrics_bytes:>6}"
            );
        }
    }
}
