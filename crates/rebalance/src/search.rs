//! Greedy search for small changes of one layer that shorten its slowest rank's time.
//!
//! The search starts from the layer in force and always works on the slowest rank. It considers three
//! kinds of change: a swap of two places; another replica of one of the rank's experts, in a place of
//! another rank that holds a spare replica; and replacing a spare replica on the slowest rank by a
//! lighter expert or, where allowed, by none. A place that repeats an expert of its own rank is empty.
//! The slowest time after each change is recorded, so that the caller can apply any prefix of the
//! changes.
//!
//! Of the changes that help now, the search prefers those that also help under the popularity forecast
//! for later, so that loads that drift apart do not soon undo the gain. If there is none and the slowest
//! rank is far above the mean, any change that helps now is accepted: a strong drift must not stop the
//! search.

mod load;

use auburnline_core::expert::Layer;
use auburnline_core::id::Expert;

use crate::search::load::Load;
use crate::to_f64;

pub use crate::search::load::Conditions;

/// Minimum gain of a change, as a fraction of the slowest rank's load; the search stops below it.
const MIN_RELATIVE_GAIN: f64 = 1e-4;
/// Ratio of the slowest to the mean load above which a change need only help now.
const URGENT_SKEW: f64 = 1.04;
/// Number of places that a swap loads; its gain counts per load.
const SWAP_LOADS: f64 = 2.0;

/// One change of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Two places exchange their experts.
    Swap(usize, usize),
    /// A place that holds a spare replica loads another expert, or becomes empty by repeating an expert of
    /// its rank.
    Load(usize, Expert),
}

/// State of a layer after some of the changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Time of the slowest rank, in the unit of the shares searched for.
    pub slowest: f64,
    /// Number of places that differ from the layer in force.
    pub loads: usize,
}

/// Sequence of changes, with the state after each.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Changes, in the order in which they apply.
    pub changes: Vec<Change>,
    /// State before the first change, then after each change; one longer than `changes`.
    pub points: Vec<Point>,
}

impl Path {
    /// Returns `layer` with the first `count` changes applied.
    #[must_use]
    pub fn apply(&self, layer: &Layer, count: usize) -> Layer {
        let mut places = layer.0.clone();
        for &change in &self.changes[..count] {
            match change {
                Change::Swap(a, b) => places.swap(a, b),
                Change::Load(place, expert) => places[place] = expert,
            }
        }
        Layer(places)
    }
}

/// Layer under search, with the load of each rank multiplied by the rank's slowness.
struct State<'a> {
    conditions: Conditions<'a>,
    start: &'a [Expert],
    layer: Vec<Expert>,
    places: usize,
    hosts: Vec<Vec<usize>>,
    parts: Vec<Load>,
    loads: Vec<Load>,
}

/// Best change found so far.
#[derive(Clone, Copy)]
struct Best {
    change: Option<Change>,
    score: f64,
    /// Lower bound on the later gain when a change is scored.
    min_later_gain: f64,
}

impl Best {
    fn offer(&mut self, change: Change, score: f64) {
        if score > self.score {
            self.score = score;
            self.change = Some(change);
        }
    }
}

/// Searches for at most `limit` changes of `layer` over `ranks` ranks.
#[must_use]
pub fn improve(layer: &Layer, ranks: usize, conditions: Conditions<'_>, limit: usize) -> Path {
    let mut state = State::new(layer, ranks, conditions);
    let mut path = Path::default();
    path.points.push(state.point());
    while path.changes.len() < limit {
        let Some(change) = state.best() else { break };
        state.apply(change);
        path.changes.push(change);
        path.points.push(state.point());
    }
    path
}

impl<'a> State<'a> {
    fn new(layer: &'a Layer, ranks: usize, conditions: Conditions<'a>) -> Self {
        let places = layer.0.len() / ranks.max(1);
        let mut hosts = vec![Vec::new(); conditions.now.len()];
        for (place, &expert) in layer.0.iter().enumerate() {
            let hosts = &mut hosts[usize::from(expert)];
            if !hosts.contains(&(place / places)) {
                hosts.push(place / places);
            }
        }
        let part = |(expert, hosts): (usize, &Vec<usize>)| conditions.at(expert).over(hosts.len());
        let parts: Vec<Load> = hosts.iter().enumerate().map(part).collect();
        let mut loads = vec![Load::default(); ranks];
        for (hosts, part) in hosts.iter().zip(&parts) {
            for &host in hosts {
                loads[host] = loads[host].plus(part.times(conditions.slowness(host)));
            }
        }
        State {
            conditions,
            start: &layer.0,
            layer: layer.0.clone(),
            places,
            hosts,
            parts,
            loads,
        }
    }

    fn slowest(&self) -> (usize, Load) {
        let mut slowest = (0, self.loads[0]);
        for (rank, load) in self.loads.iter().enumerate() {
            if load.now > slowest.1.now {
                slowest = (rank, *load);
            }
        }
        slowest
    }

    fn point(&self) -> Point {
        let differ = |(new, old): &(&Expert, &Expert)| new != old;
        Point {
            slowest: self.slowest().1.now,
            loads: self.layer.iter().zip(self.start).filter(differ).count(),
        }
    }

    /// Returns the best change that also helps later, or any that helps now if the skew is urgent.
    fn best(&self) -> Option<Change> {
        let lasting = self.best_with(f64::MIN);
        if lasting.is_some() {
            return lasting;
        }
        let mean = self.loads.iter().map(|load| load.now).sum::<f64>() / to_f64(self.loads.len());
        let urgent = self.slowest().1.now > URGENT_SKEW * mean;
        if urgent { self.best_with(0.0) } else { None }
    }

    fn best_with(&self, min_later_gain: f64) -> Option<Change> {
        let (rank, load) = self.slowest();
        let mut best = Best {
            change: None,
            score: load.now * MIN_RELATIVE_GAIN,
            min_later_gain,
        };
        self.score_swaps(rank, load, &mut best);
        self.score_replicas(rank, load, &mut best);
        self.score_replacements(rank, load, &mut best);
        best.change
    }

    /// Scores swaps of a place of the slowest rank with one of a lighter rank.
    fn score_swaps(&self, rank: usize, load: Load, best: &mut Best) {
        let times = self.conditions.slowness(rank);
        for (other, &light) in self.loads.iter().enumerate() {
            let times_other = self.conditions.slowness(other);
            let max_gain = (load.now - light.now) * times / (times + times_other);
            if max_gain <= best.score * SWAP_LOADS {
                continue;
            }
            for from in self.range(rank) {
                for to in self.range(other) {
                    if self.repeats(from) || self.repeats(to) {
                        continue;
                    }
                    let moved = self.part(from).minus(self.part(to));
                    let (less, more) = (moved.times(times), moved.times(times_other));
                    let peak = load.minus(less).max(light.plus(more));
                    let score = peak.gain(load, best.min_later_gain) / SWAP_LOADS;
                    if score > best.score && self.may_swap(from, to) {
                        best.offer(Change::Swap(from, to), score);
                    }
                }
            }
        }
    }

    /// Scores further replicas of the slowest rank's experts in place of spare ones on other ranks.
    fn score_replicas(&self, rank: usize, load: Load, best: &mut Best) {
        for place in 0..self.layer.len() {
            if place / self.places == rank || !self.is_spare(place) {
                continue;
            }
            for from in self.range(rank) {
                self.score_load(place, self.layer[from], (rank, load), best);
            }
        }
    }

    /// Scores replacing a spare replica on the slowest rank by another expert or by none.
    fn score_replacements(&self, rank: usize, load: Load, best: &mut Best) {
        for place in self.range(rank).filter(|&place| self.is_spare(place)) {
            self.score_emptying(place, load, best);
            for expert in (0u16..).take(self.parts.len()) {
                self.score_load(place, expert, (rank, load), best);
            }
        }
    }

    /// Scores emptying a place of the slowest rank, for which no weights are copied.
    fn score_emptying(&self, place: usize, load: Load, best: &mut Best) {
        let rank = place / self.places;
        let old = usize::from(self.layer[place]);
        let mut others = self.range(rank).map(|place| self.layer[place]);
        let Some(kept) = others.find(|&expert| usize::from(expert) != old) else {
            return;
        };
        if !self.conditions.may_empty || self.repeats(place) {
            return;
        }
        let left = load.minus(self.parts[old].times(self.conditions.slowness(rank)));
        let takeover = self.takeover(old);
        let others = self.hosts[old].iter().filter(|&&host| host != rank);
        let loads_after = others
            .map(|&host| self.loads[host].plus(takeover.times(self.conditions.slowness(host))));
        let peak = loads_after.fold(left, Load::max);
        best.offer(
            Change::Load(place, kept),
            peak.gain(load, best.min_later_gain),
        );
    }

    /// Returns the load that each remaining host of an expert takes over if one host drops it.
    fn takeover(&self, expert: usize) -> Load {
        let fewer = self.hosts[expert].len().saturating_sub(1).max(1);
        self.conditions
            .at(expert)
            .over(fewer)
            .minus(self.parts[expert])
    }

    fn score_load(&self, place: usize, expert: Expert, slowest: (usize, Load), best: &mut Best) {
        let (rank, load) = slowest;
        let target = place / self.places;
        let new = usize::from(expert);
        let old = usize::from(self.layer[place]);
        let gained = self.conditions.at(new).over(self.hosts[new].len() + 1);
        let times = |host: usize| self.conditions.slowness(host);
        let is_empty = self.repeats(place);
        let given = if is_empty {
            Load::default()
        } else {
            self.parts[old]
        };
        let filled = self.loads[target].plus(gained.minus(given).times(times(target)));
        if load.now - filled.now <= best.score || self.hosts[new].contains(&target) {
            return;
        }
        let reduction = self.parts[new].minus(gained);
        let takeover = if is_empty {
            Load::default()
        } else {
            self.takeover(old)
        };
        let after = |host: usize| {
            let is_relieved = self.hosts[new].contains(&host);
            let change = if is_relieved {
                takeover.minus(reduction)
            } else {
                takeover
            };
            self.loads[host].plus(change.times(times(host)))
        };
        let others = self.hosts[old].iter().filter(|&&host| host != target);
        let mut peak = others.map(|&host| after(host)).fold(filled, Load::max);
        if rank != target && !self.hosts[old].contains(&rank) {
            peak = peak.max(load.minus(reduction.times(times(rank))));
        }
        best.offer(
            Change::Load(place, expert),
            peak.gain(load, best.min_later_gain),
        );
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Swap(a, b) => {
                let (first, second) = (self.layer[a], self.layer[b]);
                self.remove(a);
                self.remove(b);
                self.insert(a, second);
                self.insert(b, first);
            }
            Change::Load(place, expert) => {
                self.remove(place);
                self.insert(place, expert);
            }
        }
    }

    fn remove(&mut self, place: usize) {
        let expert = usize::from(self.layer[place]);
        let rank = place / self.places;
        if self.repeats(place) {
            return;
        }
        self.subtract_load(expert);
        self.hosts[expert].retain(|&host| host != rank);
        self.add_load(expert);
    }

    fn insert(&mut self, place: usize, expert: Expert) {
        self.layer[place] = expert;
        let (expert, rank) = (usize::from(expert), place / self.places);
        if self.hosts[expert].contains(&rank) {
            return;
        }
        self.subtract_load(expert);
        self.hosts[expert].push(rank);
        self.add_load(expert);
    }

    /// Subtracts the expert's load from its hosts.
    fn subtract_load(&mut self, expert: usize) {
        for &host in &self.hosts[expert] {
            let part = self.parts[expert].times(self.conditions.slowness(host));
            self.loads[host] = self.loads[host].minus(part);
        }
    }

    /// Splits the expert's load evenly over its hosts.
    fn add_load(&mut self, expert: usize) {
        let hosts = &self.hosts[expert];
        if hosts.is_empty() {
            return;
        }
        self.parts[expert] = self.conditions.at(expert).over(hosts.len());
        for &host in hosts {
            let part = self.parts[expert].times(self.conditions.slowness(host));
            self.loads[host] = self.loads[host].plus(part);
        }
    }

    fn range(&self, rank: usize) -> std::ops::Range<usize> {
        rank * self.places..(rank + 1) * self.places
    }

    fn part(&self, place: usize) -> Load {
        self.parts[usize::from(self.layer[place])]
    }

    fn is_spare(&self, place: usize) -> bool {
        self.hosts[usize::from(self.layer[place])].len() > 1 || self.repeats(place)
    }

    /// Returns whether another place of the rank holds the same expert, so that this one is empty.
    fn repeats(&self, place: usize) -> bool {
        let mut others = self
            .range(place / self.places)
            .filter(|&other| other != place);
        others.any(|other| self.layer[other] == self.layer[place])
    }

    /// Returns whether neither rank would hold an expert twice after the swap.
    fn may_swap(&self, from: usize, to: usize) -> bool {
        let given = usize::from(self.layer[from]);
        let taken = usize::from(self.layer[to]);
        !self.hosts[given].contains(&(to / self.places))
            && !self.hosts[taken].contains(&(from / self.places))
    }
}
