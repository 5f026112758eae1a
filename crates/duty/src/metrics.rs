//! Metrics of the process, rendered as Prometheus text.
//!
//! The recorder has no listener of its own; the text is served at the operator's address. A thread
//! periodically aggregates the samples of histograms, so that memory stays bounded when nothing
//! scrapes the metrics.

use std::io;
use std::thread;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::memory;

/// Interval at which samples are aggregated.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKETS: [f64; 14] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 10.0,
];

/// Handle to the metrics of the process; cheap to clone.
#[derive(Clone)]
pub struct Handle(PrometheusHandle);

impl Handle {
    /// Returns all metrics as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        memory::export();
        self.0.render()
    }
}

/// Installs the Prometheus recorder as the recorder of the process.
///
/// # Errors
///
/// Returns an error if a recorder is installed already, or the thread can't start.
pub fn install() -> io::Result<Handle> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(io::Error::other)?;
    let upkeep = handle.clone();
    thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || {
            loop {
                thread::sleep(UPKEEP_INTERVAL);
                upkeep.run_upkeep();
            }
        })?;
    Ok(Handle(handle))
}
