//! Samples of what every process says of itself, all through a run.
//!
//! One thread a process, so that one that is frozen holds no other up. A process that does not
//! answer leaves no sample.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::Incarnation;
use auburnline_history::record::Configuration;
use auburnline_history::record::Line;
use auburnline_history::record::Record;
use auburnline_operator::shape::Status;
use http::Method;

use crate::caller::Caller;
use crate::caller::Wish;

/// Time between two samples of one process.
const PERIOD: Duration = Duration::from_millis(25);
/// Longest wait for one sample.
const WAIT: Duration = Duration::from_secs(2);

/// What one process said of itself.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Microseconds of the run's clock when it was asked.
    pub asked: u64,
    /// Microseconds of the run's clock when it had answered.
    pub at: u64,
    /// What it said.
    pub status: Status,
}

/// Sampling under way.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sample>>>,
}

impl Watch {
    /// Starts to sample the processes behind these operators' addresses.
    #[must_use]
    pub fn start(start: Instant, addresses: Vec<SocketAddr>, token: &str) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let wish =
            Wish::new(Method::GET, "/status").header("authorization", format!("Bearer {token}"));
        let thread = |address| {
            let stop = Arc::clone(&stop);
            let wish = wish.clone();
            std::thread::spawn(move || sample(start, address, &wish, &stop))
        };
        let threads = addresses.into_iter().map(thread).collect();
        Watch { stop, threads }
    }

    /// Ends the sampling; the samples are in order for each process.
    ///
    /// # Panics
    ///
    /// If a thread that samples did.
    #[must_use]
    pub fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("samples"))
            .collect()
    }
}

fn sample(start: Instant, address: SocketAddr, wish: &Wish, stop: &AtomicBool) -> Vec<Sample> {
    let caller = Caller::new(WAIT);
    let mut samples = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let asked = micros(start);
        if let Some(status) = caller.json(address, wish) {
            let at = micros(start);
            samples.push(Sample { asked, at, status });
        }
        std::thread::sleep(PERIOD);
    }
    samples
}

/// Returns the microseconds since `start`.
#[must_use]
pub fn micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Returns the lines of a history that samples make.
#[must_use]
pub fn lines(samples: &[Sample]) -> Vec<Line> {
    samples.iter().filter_map(line).collect()
}

fn line(sample: &Sample) -> Option<Line> {
    let status = &sample.status;
    let seen = Configuration {
        process: status.instance.as_str().into(),
        incarnation: Incarnation::from_str_radix(&status.incarnation, 16).ok()?,
        revision: status.revision?,
        digest: status.digest.clone()?,
    };
    Some(Line {
        at: sample.at,
        record: Record::Configuration(seen),
    })
}
