//! Choice of the upstream for the next attempt of a request.

use auburnline_core::id::GroupId;
use auburnline_gateway::choice::Choice;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::upstream::UpstreamId;

use crate::exchange::Exchange;

impl Exchange {
    /// Chooses an upstream whose rate limit allows the request, and counts the attempt as in flight there.
    pub(crate) async fn assign(
        &self,
        group: Option<&GroupId>,
    ) -> Result<(Choice, GroupId), Refusal> {
        let mut denied = Vec::new();
        loop {
            let choice = self.choose(group, &denied)?;
            let is_first = self.sends.get() == 0;
            let is_reading = is_first || self.is_reading(&choice.upstream).await;
            let is_permitted = choice.limit.is_none() && is_first;
            if is_reading && (is_permitted || self.is_permitted(&choice).await) {
                let group = self.begin(&choice);
                return Ok((choice, group));
            }
            denied.push(choice.upstream.id.clone());
        }
    }

    /// Returns whether the upstream's limit permits the request. The upstream is checked again once the permit is there, since
    /// it may have announced its shutdown or asked for backoff meanwhile.
    async fn is_permitted(&self, choice: &Choice) -> bool {
        let upstream = &choice.upstream;
        let is_within_limit = choice.limit.is_none() || self.is_within_limit(upstream).await;
        let now = self.shared.now();
        let gateway = self.shared.gateway();
        is_within_limit && gateway.accepts_requests(upstream, now)
    }

    /// Returns whether there is an upstream for another attempt.
    pub(crate) fn has_other_upstream(&self) -> bool {
        self.choose(None, &[]).is_ok()
    }

    fn choose(&self, group: Option<&GroupId>, denied: &[UpstreamId]) -> Result<Choice, Refusal> {
        let now = self.shared.now();
        let mut gateway = self.shared.gateway();
        gateway.choose_within(group, &self.plan, &self.tried.borrow(), denied, now)
    }

    fn begin(&self, choice: &Choice) -> GroupId {
        let now = self.shared.now();
        let is_first = self.tried.borrow().is_empty();
        self.shared
            .gateway()
            .begin(&self.plan, choice, is_first, now)
    }
}
