//! Migration of requests away from straggler ranks, and from ranks that hang.
//!
//! In each pass, all ranks of a group wait for the slowest one that has work. As soon as the group's lead reports that a rank
//! has become slow, a stream there is resumed at another rank, and a request that has received no event yet is sent again.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::upstream::Upstream;
use metrics::counter;
use tokio::time::sleep;

use crate::callers::READ_PAUSE;
use crate::exchange::Exchange;
use crate::exchange::Sent;
use crate::flight::Flight;
use crate::payment::Payment;

/// Interval at which a stream that has been silent for long is checked again: a forward pass or two.
const SILENCE_POLL: Duration = Duration::from_millis(200);

impl Exchange {
    /// Completes when an upstream has become so slow that it holds up its whole group, and a retry of the request is allowed,
    /// which is taken from the retry budget as `payment` says. Usually never completes.
    pub(crate) async fn straggler_detected(&self, upstream: &Upstream, payment: Payment) {
        loop {
            self.shared.straggler_reported.notified().await;
            let now = self.shared.now();
            let is_better = {
                let gateway = self.shared.gateway();
                gateway.should_move(&self.plan, upstream, now)
            };
            if is_better && self.may_rerun_with("straggler", payment) {
                return;
            }
        }
    }

    /// Completes when an upstream has shown nothing since `since` although its group goes on, and a retry of the request is
    /// allowed, which is taken from the retry budget as `payment` says. Usually never completes.
    pub(crate) async fn silence_detected(
        &self,
        upstream: &Upstream,
        since: Monotonic,
        payment: Payment,
    ) {
        let Some(limit) = self.shared.gateway().silence_limit(&self.plan) else {
            return std::future::pending().await;
        };
        let elapsed = self.shared.now().saturating_sub(since);
        sleep(limit.saturating_sub(elapsed)).await;
        loop {
            let now = self.shared.now();
            let is_silent = {
                let gateway = self.shared.gateway();
                gateway.is_silent(&self.plan, upstream, since, now)
            };
            if is_silent {
                // What came while this process did not run is read first, which ends this wait.
                sleep(READ_PAUSE).await;
                if self.may_rerun_with("silence", payment) {
                    return;
                }
            }
            sleep(SILENCE_POLL).await;
        }
    }

    /// Abandons an attempt at a rank that became slow or hangs before its response began.
    pub(crate) fn abandon(&self, cause: &'static str, flight: &Flight) -> Sent {
        self.log_failure(cause, flight);
        counter!("auburnline_moved_streams_total").increment(1);
        self.record_run();
        Sent::Failed { may_retry: true }
    }
}
