//! Planning: when to plan a change, and to which map.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::change::Change;
use crate::coordinator::Coordinator;
use crate::coordinator::Versioned;
use crate::coordinator::stats::max_slowdown;
use crate::output::Event;
use crate::plan::Plan;
use crate::plan::Scope;
use crate::plan::plan;
use crate::rank::State;
use crate::rank::Version;

/// Age of the last report beyond which a rank counts as unreachable.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_200);
/// Time between two plans. Popularity yields nothing new in less time.
const PLAN_PERIOD: Duration = Duration::from_millis(300);

/// Progress of the response to the last shift of demand or new straggler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The next plan copies for a short time only, to lower the load of the most loaded ranks at once.
    Immediate,
    /// The next plan makes the remaining changes.
    FollowUp,
    /// No response is pending.
    Steady,
}

impl Stage {
    const fn scope(self) -> &'static Scope {
        match self {
            Stage::Immediate => &Scope::IMMEDIATE,
            Stage::FollowUp => &Scope::FOLLOW_UP,
            Stage::Steady => &Scope::STEADY,
        }
    }

    const fn next(self) -> Stage {
        match self {
            Stage::Immediate => Stage::FollowUp,
            Stage::FollowUp | Stage::Steady => Stage::Steady,
        }
    }
}

impl Coordinator {
    /// Starts a change if a plan is due and finds one that is worth it.
    pub(super) fn start_change(&mut self, now: Monotonic) {
        let is_due = now.saturating_sub(self.planned_at) >= PLAN_PERIOD;
        if !is_due || !self.is_idle(now) {
            return;
        }
        let Some(plan) = self.plan(now) else {
            return;
        };
        let version = self.next_version(now);
        let Some(epoch) = self.epoch else {
            return;
        };
        let copies = u32::try_from(plan.copies).unwrap_or(u32::MAX);
        self.copy_time = self.shape.copy.saturating_mul(copies);
        self.next = Some(Versioned {
            version,
            layout: Arc::new(plan.layout.clone()),
        });
        self.change = Some(Change::new(epoch, version, self.floor));
        self.change_started = now;
        self.outstanding.clear();
        self.events.push(Event::Started(version, plan));
    }

    /// Returns the plan of the current stage or of the first later one that finds a change worth making.
    fn plan(&mut self, now: Monotonic) -> Option<Plan> {
        let known = self.in_force.as_ref()?;
        let shares = self.popularity.shares()?;
        self.planned_at = now;
        let slowdown = self.slowdown();
        let requests = self.requests_per_rank();
        let skew = known.layout.skew(&shares);
        if self.cost.is_short(requests * max_slowdown(&slowdown), skew) {
            return None;
        }
        let work = self.cost.expert_work(requests);
        loop {
            let stage = self.stage;
            self.stage = stage.next();
            let found = plan(
                &known.layout,
                &shares,
                &self.shape,
                stage.scope(),
                work,
                &slowdown,
            );
            if found.is_some() || stage == Stage::Steady {
                return found;
            }
        }
    }

    /// Returns whether all ranks have reported recently.
    #[must_use]
    pub fn is_reachable(&self, now: Monotonic) -> bool {
        let mut members = self.members.values();
        self.has_all_ranks()
            && members.all(|member| now.saturating_sub(member.seen) < MAX_REPORT_AGE)
    }

    /// Returns whether all ranks are reachable and serve on the map in force, with no change in progress.
    fn is_idle(&self, now: Monotonic) -> bool {
        let version = self.in_force.as_ref().map(|known| known.version);
        let mut states = self.members.values().map(|member| &member.state);
        let is_still = |state: &State| {
            let is_free = state.armed.is_none() && state.held.is_none() && !state.is_busy;
            is_free && state.is_open && Some(state.version) == version
        };
        self.is_reachable(now) && states.all(is_still)
    }

    /// Returns a version above all that were seen and all that a previous coordinator chose. Its orders may
    /// arrive late and must be refused then.
    fn next_version(&self, now: Monotonic) -> Version {
        let states = self.members.values().map(|member| &member.state);
        let newest = states.flat_map(|state| {
            let armed = state.armed.map(|armed| armed.version);
            [Some(state.version), state.prepared, armed]
        });
        let newest = newest.flatten().max().unwrap_or(0);
        let time = u64::try_from((self.started + now).as_millis());
        time.unwrap_or(0).max(newest + 1)
    }
}
