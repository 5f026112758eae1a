//! Combines the popularity estimate, slow ranks and plans into decisions for one group.
//!
//! The planner carries nothing out: the caller applies a [`Choice::Change`] through the group's change
//! of map, and asks again with the map then in force. The planner relies only on the map that the
//! caller passes in, so a change that was not carried out is planned again after the cooldown.

use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::published::Rebalance;
use auburnline_core::time::Monotonic;

use crate::config::Config;
use crate::counts::Counts;
use crate::counts::Intake;
use crate::counts::Shape;
use crate::counts::Window;
use crate::decision::Choice;
use crate::decision::Decision;
use crate::decision::Forecast;
use crate::decision::Reason;
use crate::plan;
use crate::plan::CostModel;
use crate::plan::Proposal;
use crate::popularity::Estimate;
use crate::popularity::Shares;
use crate::skew::Ranks;
use crate::straggler::Answer;
use crate::straggler::Detector;
use crate::straggler::RELIEF_FACTORS;
use crate::straggler::Relief;
use crate::straggler::Slow;

/// Reduction of the skew above which a repack is chosen if no small change helps.
const MIN_REPACK_GAIN: f64 = 0.1;

/// Decides on the map of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    config: Config,
    shape: Shape,
    window: Window,
    estimate: Estimate,
    detector: Detector,
    newest_report: Option<Monotonic>,
    last_change: Option<Monotonic>,
}

impl Planner {
    /// Creates a planner without any report.
    #[must_use]
    pub fn new(config: Config, shape: Shape) -> Self {
        Self {
            window: Window::default(),
            estimate: Estimate::new(shape, config.averaging_reports),
            detector: Detector::new(shape.ranks, &config),
            newest_report: None,
            last_change: None,
            config,
            shape,
        }
    }

    /// Processes a report that arrives at `now`.
    pub fn observe(&mut self, now: Monotonic, counts: &Counts) -> Intake {
        if !counts.fits(self.shape) {
            return Intake::Malformed;
        }
        if counts.age > self.config.max_age {
            return Intake::Stale;
        }
        if !self.window.insert(counts.sequence) {
            return Intake::Repeated;
        }
        let at = now.saturating_sub(counts.age);
        self.estimate.observe(at, counts);
        self.detector.observe(at, &counts.ranks);
        self.newest_report = self.newest_report.max(Some(at));
        Intake::Taken
    }

    /// Decides whether `map`, which must be the one in force, should change under the preset's `weights`.
    pub fn decide(&mut self, now: Monotonic, map: &Map, weights: &Rebalance) -> Decision {
        let age = self.newest_report.map(|at| now.saturating_sub(at));
        if let Some(reason) = self.refusal(age, map) {
            return self.stay(reason, Forecast::stay(1.0), Vec::new(), age);
        }
        let expected = now.saturating_add(self.config.lead);
        let later = now.saturating_add(self.config.long_lead);
        let popularity: Vec<Shares> = (0..self.shape.layers)
            .map(|layer| self.estimate.shares(layer, expected, later))
            .collect();
        let answer = self.answer(now, map, &popularity);
        let cost_model = self.cost_model(weights);
        let proposal = plan::changes(map, &popularity, &self.config, &cost_model);
        let repack = plan::repack(map, &popularity, &self.config, &cost_model);
        let mut decision = self.choose(now, map, &popularity, proposal, repack, &answer);
        decision.age = age;
        decision.answer = answer;
        self.assert_usable(map, &decision);
        decision
    }

    /// Returns the popularity estimate from the reports so far.
    #[must_use]
    pub const fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Returns the ranks that are slow at present, in rank order.
    #[must_use]
    pub fn slow(&self) -> Vec<Slow> {
        self.detector.slow()
    }

    fn cost_model(&self, weights: &Rebalance) -> CostModel {
        let token_time = self.detector.token_seconds();
        CostModel::new(&self.config, weights, self.estimate.rate(), token_time)
    }

    /// Returns the reason why no plan is considered, if any.
    fn refusal(&self, age: Option<Duration>, map: &Map) -> Option<Reason> {
        if let Err(defect) = map.check() {
            return Some(Reason::Unusable(defect));
        }
        let fits = map.ranks == self.shape.ranks
            && map.experts == self.shape.experts
            && map.layers.len() == self.shape.layers;
        if !fits {
            return Some(Reason::WrongShape);
        }
        if self.estimate.reports() < self.config.warm_up {
            return Some(Reason::FewReports);
        }
        match age {
            Some(age) if age <= self.config.max_age => None,
            _ => Some(Reason::StaleReports),
        }
    }

    fn choose(
        &mut self,
        now: Monotonic,
        map: &Map,
        popularity: &[Shares],
        proposal: Option<Proposal>,
        repack: Option<Proposal>,
        answer: &Answer,
    ) -> Decision {
        let even = Ranks::even(usize::from(map.ranks));
        let stay = Forecast::stay(plan::predict(&map.layers, popularity, &even).overall());
        let (proposal, repack) = fall_back_to_repack(proposal, repack, stay.skew);
        let mut others: Vec<Forecast> = repack.map(|repack| repack.forecast).into_iter().collect();
        let Some(proposal) = proposal else {
            return self.stay(Reason::NoGain, stay, others, None);
        };
        if let Some(reason) = self.rejection(now, &proposal, answer) {
            others.push(proposal.forecast);
            return self.stay(reason, stay, others, None);
        }
        others.push(stay);
        self.last_change = Some(now);
        let chosen = proposal.forecast;
        let choice = Choice::Change(Box::new(successor(map, proposal)));
        self.decision(choice, Reason::Gain, chosen, others, None)
    }

    /// Returns the reason to reject `proposal`, if any.
    fn rejection(&self, now: Monotonic, proposal: &Proposal, answer: &Answer) -> Option<Reason> {
        let cooling = self
            .last_change
            .is_some_and(|at| now.saturating_sub(at) < self.config.cooldown);
        if matches!(answer, Answer::Drain { .. }) {
            Some(Reason::Draining)
        } else if cooling {
            Some(Reason::Cooldown)
        } else if !proposal.is_worthwhile {
            Some(Reason::Disruption)
        } else {
            None
        }
    }

    fn stay(
        &self,
        reason: Reason,
        chosen: Forecast,
        others: Vec<Forecast>,
        age: Option<Duration>,
    ) -> Decision {
        self.decision(Choice::Stay, reason, chosen, others, age)
    }

    fn decision(
        &self,
        choice: Choice,
        reason: Reason,
        chosen: Forecast,
        mut runners_up: Vec<Forecast>,
        age: Option<Duration>,
    ) -> Decision {
        runners_up.sort_by(|a, b| b.score.total_cmp(&a.score));
        Decision {
            choice,
            reason,
            chosen,
            runners_up,
            slow: self.detector.slow(),
            answer: Answer::None,
            age,
            reports: self.estimate.reports(),
        }
    }

    /// Chooses the relief with the least predicted skew, or a drain of the group if a rank has been slow
    /// for long and the skew is still too high with it.
    fn answer(&self, now: Monotonic, map: &Map, popularity: &[Shares]) -> Answer {
        let slow = self.detector.slow();
        let Some(first) = slow.iter().min_by_key(|slow| slow.since) else {
            return Answer::None;
        };
        let mut best = (f64::MAX, Vec::new());
        for relief in RELIEF_FACTORS {
            let reliefs = reliefs(&slow, relief);
            let ranks = relieved(usize::from(map.ranks), &slow, &reliefs);
            let skew = plan::predict(&map.layers, popularity, &ranks).overall();
            if skew < best.0 {
                best = (skew, reliefs);
            }
        }
        let (skew, ranks) = best;
        let long = now.saturating_sub(first.since) >= self.config.drain_after;
        if long && skew > self.config.drain_skew {
            let rank = first.rank;
            return Answer::Drain { rank, skew };
        }
        Answer::Relieve { ranks, skew }
    }

    /// Asserts that a new map has no defect, is the successor of the one in force, and has as many places.
    fn assert_usable(&self, map: &Map, decision: &Decision) {
        if let Choice::Change(new) = &decision.choice {
            assert_eq!(new.check(), Ok(()), "a planned map must be usable");
            assert_eq!(new.generation, map.generation + 1);
            assert_eq!(new.places(), map.places());
            assert_eq!(new.layers.len(), self.shape.layers);
        }
    }
}

fn successor(map: &Map, proposal: Proposal) -> Map {
    Map {
        generation: map.generation + 1,
        ranks: map.ranks,
        experts: map.experts,
        layers: proposal.layers,
    }
}

fn reliefs(slow: &[Slow], relief: f64) -> Vec<Relief> {
    let relieve = |slow: &Slow| Relief {
        rank: slow.rank,
        share: relief / slow.slowness,
    };
    slow.iter().map(relieve).collect()
}

/// Replaces a missing proposal of small changes by the repack, if that lowers the skew by far.
///
/// Small changes are tried one at a time, so when two ranks are equally slow, no single change helps.
/// The required gain is far above noise.
fn fall_back_to_repack(
    proposal: Option<Proposal>,
    repack: Option<Proposal>,
    skew: f64,
) -> (Option<Proposal>, Option<Proposal>) {
    let helps =
        |repack: &Proposal| repack.is_worthwhile && skew - repack.forecast.skew > MIN_REPACK_GAIN;
    if proposal.is_none() && repack.as_ref().is_some_and(helps) {
        (repack, None)
    } else {
        (proposal, repack)
    }
}

/// Returns `count` ranks with the slowness and relief of those that are slow.
#[must_use]
pub fn relieved(count: usize, slow: &[Slow], reliefs: &[Relief]) -> Ranks {
    let mut ranks = Ranks::even(count);
    for slow in slow {
        ranks.slowness[usize::from(slow.rank)] = slow.slowness;
    }
    for relief in reliefs {
        ranks.share[usize::from(relief.rank)] = relief.share;
    }
    ranks
}
