//! What a daemon tells its operators.

use auburnline_duty::decisions::Filter;

use crate::failure::Failure;
use crate::shape;

/// State of a daemon, as operators may see it.
///
/// All calls come from the operators' thread. They must not wait on a duty: a daemon publishes a
/// snapshot and answers from it.
pub trait Source: Send + Sync + 'static {
    /// Returns whether the duties still work; `Err` says what is wrong.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
    fn healthy(&self) -> Result<(), Failure> {
        Ok(())
    }

    /// Returns the process at a glance.
    fn status(&self) -> shape::Status;

    /// Returns the last decisions that `filter` takes, at most `most`, oldest first.
    fn decisions(&self, filter: &Filter, most: usize) -> Vec<shape::Decision>;

    /// Returns the configuration in force.
    fn configuration(&self) -> shape::Configuration;

    /// Returns the progress of a planned stop.
    fn drain(&self) -> shape::Drain;

    /// Starts a planned stop; a stop that has started goes on.
    ///
    /// # Errors
    ///
    /// Returns why the stop can't start.
    fn start_drain(&self) -> Result<shape::Drain, Failure>;

    /// Returns the metrics as Prometheus text.
    fn metrics(&self) -> String;
}
