//! Measures what one decision line costs the thread that logs it.
//!
//! The output is discarded; the figure covers formatting the line, storing it in the ring of decisions
//! and passing it to the sink. `--csv` prints CSV.

use std::hint::black_box;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use auburnline_duty::decisions::Ring;
use auburnline_duty::logging::Logger;
use log::Level;
use log::Log as _;
use log::Record;

/// Number of lines in one measurement.
const LINES: u32 = 200_000;
/// Numbers of runners-up in a line, one measurement each.
const RUNNERS: [usize; 4] = [0, 2, 8, 32];

fn line(runners: usize) -> String {
    let runners: Vec<String> = (0..runners)
        .map(|number| format!("group-{number}:drawn:12ms"))
        .collect();
    let runners = runners.join(",");
    format!("pool=drafts model=repairs group=group-7 reason=cached cost_ms=9 runners_up={runners}")
}

fn measure(runners: usize) -> f64 {
    let ring = Arc::new(Ring::new(4_096));
    let logger = Logger::new("info", Box::new(io::sink()), ring);
    let detail = line(runners);
    let pairs = [("request", "0123456789abcdef"), ("detail", detail.as_str())];
    let start = Instant::now();
    for _ in 0..LINES {
        let record = Record::builder()
            .level(Level::Info)
            .target("decision")
            .args(format_args!("route"))
            .key_values(black_box(&pairs))
            .build();
        logger.log(&record);
    }
    start.elapsed().as_secs_f64() / f64::from(LINES) * 1e6
}

fn main() {
    let csv = std::env::args().any(|argument| argument == "--csv");
    if csv {
        println!("runners_up,microseconds_a_line");
    } else {
        println!("{:>10} {:>16}", "runners up", "us a line");
    }
    for runners in RUNNERS {
        let cost = measure(runners);
        if csv {
            println!("{runners},{cost:.3}");
        } else {
            println!("{runners:>10} {cost:>16.3}");
        }
    }
}
