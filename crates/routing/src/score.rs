//! Predicted time to the first token of each candidate, and the choice among them.

use std::time::Duration;

use auburnline_core::error::Kind;

use crate::candidate::Proposal;
use crate::candidate::View;
use crate::decision::Candidate;
use crate::decision::Decision;
use crate::number::float;
use crate::query::Query;

impl View<'_> {
    /// Chooses the cheapest candidate within the load bound, or the least loaded if none is.
    pub(crate) fn decide(&self, proposals: &[Proposal]) -> Decision {
        let mut scored: Vec<Candidate> = proposals
            .iter()
            .filter_map(|proposal| self.score(proposal))
            .collect();
        scored.sort_by_key(|candidate| {
            let overload = if candidate.within_bound {
                0
            } else {
                candidate.load.max(1)
            };
            (overload, candidate.cost)
        });
        if scored.is_empty() {
            return refused(self.query, Kind::Unreachable);
        }
        let chosen = scored.remove(0);
        Decision {
            late: chosen.cost > self.query.deadline,
            chosen: Ok(chosen),
            runners_up: scored,
            admitting: self.shard.admitting.len(),
            mean_load: self.shard.mean(),
            ..refused(self.query, Kind::Unreachable)
        }
    }

    fn score(&self, proposal: &Proposal) -> Option<Candidate> {
        let unit = self.eligible(proposal.unit)?;
        let cached = proposal.cached.min(self.query.prompt_tokens);
        let prefill = float(self.query.prompt_tokens - cached);
        let tokens = self.config.backlog_weight * self.load(unit) + prefill;
        let steps = 1.0 + tokens / self.config.tokens_per_step;
        let seconds = steps * unit.step_time(self.config);
        let near = unit.member.failure_domain == self.config.failure_domain;
        let cross_domain_latency = if near {
            Duration::ZERO
        } else {
            self.config.cross_domain_latency
        };
        Some(Candidate {
            group: unit.group.clone(),
            reason: proposal.reason,
            cost: Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
                + cross_domain_latency,
            load: unit.load().total(),
            cached_tokens: cached,
            within_bound: self.within_bound(unit),
            report_age: unit.report_age(self.config, self.now),
            hint_age: proposal.hint_age,
        })
    }
}

/// Returns a decision without a chosen unit.
pub(crate) fn refused(query: &Query, kind: Kind) -> Decision {
    Decision {
        pool: query.pool.clone(),
        model: query.model.clone(),
        chosen: Err(kind),
        runners_up: Vec::new(),
        admitting: 0,
        mean_load: 0,
        late: false,
    }
}
