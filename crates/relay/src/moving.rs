//! Requests that leave a rank that turned slow.
//!
//! All ranks of a group wait in each pass for the slowest one that runs anything. So a stream goes on at another rank, and a
//! request that waits for its first event is sent anew, as soon as the lead tells that their rank is slow.

use auburnline_gateway::upstream::Upstream;
use metrics::counter;

use crate::exchange::Exchange;
use crate::exchange::Sent;
use crate::flight::Flight;

impl Exchange {
    /// Waits until an upstream turns so slow that its whole group waits for what runs there, and the request has leave to run
    /// elsewhere after so many sends; mostly that is never.
    pub(crate) async fn leave_for(&self, upstream: &Upstream, sends: u32) {
        loop {
            self.shared.slowed.notified().await;
            let now = self.shared.now();
            let is_better = {
                let gateway = self.shared.gateway();
                gateway.is_better_off_elsewhere(&self.plan, upstream, now)
            };
            if is_better && self.may_run_after(sends) {
                return;
            }
        }
    }

    /// Takes a request back from a rank that turned slow before it began to answer.
    pub(crate) fn leave(&mut self, flight: &Flight) -> Sent {
        self.log_failure("its rank turned slow before it answered", flight);
        counter!("auburnline_moved_streams_total").increment(1);
        self.sends += 1;
        self.may_have_run = true;
        Sent::Failed { may_repeat: true }
    }
}
