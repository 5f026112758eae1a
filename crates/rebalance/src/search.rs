//! Small changes of one layer that lower its slowest rank.
//!
//! The search starts from the layer in force and always works on the slowest rank. It weighs three
//! kinds of change: a swap of two places, a further replica of one of the rank's experts in a place
//! that holds a spare replica, and giving up a replica on the slowest rank, for a lighter expert or, where
//! that is allowed, for none: a place that repeats an expert of its rank is empty. It records the slowest time after each change, so that the caller may take any first part of them.
//!
//! Of the changes that help now it takes those that will still help later under the popularity
//! expected then, so that ranks whose loads drift apart are not left together for long. Where none
//! does and the slowest rank is far over the mean, any that helps now will do: a strong drift must
//! not stop the search.

mod load;

use auburnline_core::expert::Layer;
use auburnline_core::id::Expert;

use crate::search::load::Load;
use crate::to_f64;

pub use crate::search::load::Outlook;

/// Least relative gain of a change; less is not worth a search.
const LEAST_GAIN: f64 = 1e-4;
/// Slowest over mean time from which a change need only help now.
const URGENT: f64 = 1.04;
/// Places that a swap writes.
const SWAP_LOADS: f64 = 2.0;

/// One change of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Two places exchange their experts.
    Swap(usize, usize),
    /// A place that holds a spare replica takes another expert, or becomes empty by one that its rank holds.
    Load(usize, Expert),
}

/// A layer's state after some changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Time of the slowest rank.
    pub slowest: f64,
    /// Places that differ from the layer in force.
    pub loads: usize,
}

/// Changes in order, with the state after each.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Changes.
    pub changes: Vec<Change>,
    /// State before the first and after each change.
    pub points: Vec<Point>,
}

impl Path {
    /// Returns `layer` with the first `count` changes made.
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

/// A layer with the load of each rank, as much as the rank takes longer for it.
struct Board<'a> {
    outlook: Outlook<'a>,
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
    /// Least gain later that a change is charged with.
    least: f64,
}

impl Best {
    fn offer(&mut self, change: Change, score: f64) {
        if score > self.score {
            self.score = score;
            self.change = Some(change);
        }
    }
}

/// Searches at most `limit` changes of `layer` over `ranks` ranks.
#[must_use]
pub fn improve(layer: &Layer, ranks: usize, outlook: Outlook<'_>, limit: usize) -> Path {
    let mut board = Board::new(layer, ranks, outlook);
    let mut path = Path::default();
    path.points.push(board.point());
    while path.changes.len() < limit {
        let Some(change) = board.best() else { break };
        board.make(change);
        path.changes.push(change);
        path.points.push(board.point());
    }
    path
}

impl<'a> Board<'a> {
    fn new(layer: &'a Layer, ranks: usize, outlook: Outlook<'a>) -> Self {
        let places = layer.0.len() / ranks.max(1);
        let mut hosts = vec![Vec::new(); outlook.now.len()];
        for (place, &expert) in layer.0.iter().enumerate() {
            let hosts = &mut hosts[usize::from(expert)];
            if !hosts.contains(&(place / places)) {
                hosts.push(place / places);
            }
        }
        let part = |(expert, hosts): (usize, &Vec<usize>)| outlook.at(expert).over(hosts.len());
        let parts: Vec<Load> = hosts.iter().enumerate().map(part).collect();
        let mut loads = vec![Load::default(); ranks];
        for (hosts, part) in hosts.iter().zip(&parts) {
            for &host in hosts {
                loads[host] = loads[host].plus(part.times(outlook.slowness(host)));
            }
        }
        Board {
            outlook,
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

    /// Finds the best change that also helps later, or any that helps now when that is urgent.
    fn best(&self) -> Option<Change> {
        let lasting = self.best_with(f64::MIN);
        if lasting.is_some() {
            return lasting;
        }
        let mean = self.loads.iter().map(|load| load.now).sum::<f64>() / to_f64(self.loads.len());
        let urgent = self.slowest().1.now > URGENT * mean;
        if urgent { self.best_with(0.0) } else { None }
    }

    fn best_with(&self, least: f64) -> Option<Change> {
        let (rank, load) = self.slowest();
        let mut best = Best {
            change: None,
            score: load.now * LEAST_GAIN,
            least,
        };
        self.weigh_swaps(rank, load, &mut best);
        self.weigh_spares(rank, load, &mut best);
        self.weigh_relief(rank, load, &mut best);
        best.change
    }

    /// Swaps a place of the slowest rank with one of a lighter rank.
    fn weigh_swaps(&self, rank: usize, load: Load, best: &mut Best) {
        let times = self.outlook.slowness(rank);
        for (other, &light) in self.loads.iter().enumerate() {
            let times_other = self.outlook.slowness(other);
            let most_gained = (load.now - light.now) * times / (times + times_other);
            if most_gained <= best.score * SWAP_LOADS {
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
                    let score = peak.gain(load, best.least) / SWAP_LOADS;
                    if score > best.score && self.may_swap(from, to) {
                        best.offer(Change::Swap(from, to), score);
                    }
                }
            }
        }
    }

    /// Adds a replica of one of the slowest rank's experts in place of a spare one elsewhere.
    fn weigh_spares(&self, rank: usize, load: Load, best: &mut Best) {
        for place in 0..self.layer.len() {
            if place / self.places == rank || !self.is_spare(place) {
                continue;
            }
            for from in self.range(rank) {
                self.weigh_load(place, self.layer[from], (rank, load), best);
            }
        }
    }

    /// Gives up a spare replica on the slowest rank for a lighter expert or none.
    fn weigh_relief(&self, rank: usize, load: Load, best: &mut Best) {
        for place in self.range(rank).filter(|&place| self.is_spare(place)) {
            self.weigh_drop(place, load, best);
            for expert in (0u16..).take(self.parts.len()) {
                self.weigh_load(place, expert, (rank, load), best);
            }
        }
    }

    /// Empties a place of the slowest rank, which copies nothing.
    fn weigh_drop(&self, place: usize, load: Load, best: &mut Best) {
        let rank = place / self.places;
        let old = usize::from(self.layer[place]);
        let mut others = self.range(rank).map(|place| self.layer[place]);
        let Some(kept) = others.find(|&expert| usize::from(expert) != old) else {
            return;
        };
        if !self.outlook.may_empty || self.repeats(place) {
            return;
        }
        let left = load.minus(self.parts[old].times(self.outlook.slowness(rank)));
        let rise = self.rise(old);
        let others = self.hosts[old].iter().filter(|&&host| host != rank);
        let risen =
            others.map(|&host| self.loads[host].plus(rise.times(self.outlook.slowness(host))));
        let peak = risen.fold(left, Load::max);
        best.offer(Change::Load(place, kept), peak.gain(load, best.least));
    }

    /// Returns what each other host of an expert takes over if one gives it up.
    fn rise(&self, expert: usize) -> Load {
        let fewer = self.hosts[expert].len().saturating_sub(1).max(1);
        self.outlook
            .at(expert)
            .over(fewer)
            .minus(self.parts[expert])
    }

    fn weigh_load(&self, place: usize, expert: Expert, slowest: (usize, Load), best: &mut Best) {
        let (rank, load) = slowest;
        let target = place / self.places;
        let new = usize::from(expert);
        let old = usize::from(self.layer[place]);
        let gained = self.outlook.at(new).over(self.hosts[new].len() + 1);
        let times = |host: usize| self.outlook.slowness(host);
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
        let fall = self.parts[new].minus(gained);
        let rise = if is_empty {
            Load::default()
        } else {
            self.rise(old)
        };
        let after = |host: usize| {
            let is_relieved = self.hosts[new].contains(&host);
            let change = if is_relieved { rise.minus(fall) } else { rise };
            self.loads[host].plus(change.times(times(host)))
        };
        let others = self.hosts[old].iter().filter(|&&host| host != target);
        let mut peak = others.map(|&host| after(host)).fold(filled, Load::max);
        if rank != target && !self.hosts[old].contains(&rank) {
            peak = peak.max(load.minus(fall.times(times(rank))));
        }
        best.offer(Change::Load(place, expert), peak.gain(load, best.least));
    }

    fn make(&mut self, change: Change) {
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
        self.lift(expert);
        self.hosts[expert].retain(|&host| host != rank);
        self.settle(expert);
    }

    fn insert(&mut self, place: usize, expert: Expert) {
        self.layer[place] = expert;
        let (expert, rank) = (usize::from(expert), place / self.places);
        if self.hosts[expert].contains(&rank) {
            return;
        }
        self.lift(expert);
        self.hosts[expert].push(rank);
        self.settle(expert);
    }

    /// Takes the expert's load off its ranks.
    fn lift(&mut self, expert: usize) {
        for &host in &self.hosts[expert] {
            let part = self.parts[expert].times(self.outlook.slowness(host));
            self.loads[host] = self.loads[host].minus(part);
        }
    }

    /// Splits the expert's load over its ranks.
    fn settle(&mut self, expert: usize) {
        let hosts = &self.hosts[expert];
        if hosts.is_empty() {
            return;
        }
        self.parts[expert] = self.outlook.at(expert).over(hosts.len());
        for &host in hosts {
            let part = self.parts[expert].times(self.outlook.slowness(host));
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

    /// Tells whether another place of the rank holds the same expert, so that this one counts for nothing.
    fn repeats(&self, place: usize) -> bool {
        let mut others = self
            .range(place / self.places)
            .filter(|&other| other != place);
        others.any(|other| self.layer[other] == self.layer[place])
    }

    /// Tells whether neither rank would hold an expert twice.
    fn may_swap(&self, from: usize, to: usize) -> bool {
        let given = usize::from(self.layer[from]);
        let taken = usize::from(self.layer[to]);
        !self.hosts[given].contains(&(to / self.places))
            && !self.hosts[taken].contains(&(from / self.places))
    }
}
