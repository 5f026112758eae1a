//! Migration of requests away from straggler ranks.
//!
//! In each pass, all ranks of a group wait for the slowest one that has work. As soon as the group's lead reports that a rank
//! has become slow, a stream there is resumed at another rank, and a request that has received no event yet is sent again.

use auburnline_gateway::upstream::Upstream;
use metrics::counter;

use crate::exchange::Exchange;
use crate::exchange::Sent;
use crate::flight::Flight;

impl Exchange {
    /// Completes when an upstream has become so slow that it holds up its whole group, and a retry of the request is allowed
    /// after `sends`, which is then taken from the retry budget. Usually never completes.
    pub(crate) async fn straggler_detected(&self, upstream: &Upstream, sends: u32) {
        loop {
            self.shared.straggler_reported.notified().await;
            let now = self.shared.now();
            let is_better = {
                let gateway = self.shared.gateway();
                gateway.should_move(&self.plan, upstream, now)
            };
            if is_better && self.may_rerun_after(sends) {
                return;
            }
        }
    }

    /// Abandons an attempt at a rank that became slow before its response began.
    pub(crate) fn abandon(&mut self, flight: &Flight) -> Sent {
        self.log_failure("rank became a straggler before it answered", flight);
        counter!("auburnline_moved_streams_total").increment(1);
        self.sends += 1;
        self.may_have_run = true;
        Sent::Failed { may_retry: true }
    }
}
