//! Upstreams that fail or lag more than their peers, left out for a while.
//!
//! A member is judged against the others of its pool: what all suffer is no outlier. The share left
//! out is capped, so that a fault of the judge can't empty a pool. A member returns slowly, and
//! stays out longer each time that it fails again.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use rand::Rng;

/// What makes an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Attempts within a window without which nobody is judged.
    pub volume: u32,
    /// Share of failures, beyond that of the median member, that ejects.
    pub failures: f64,
    /// Mean time over the median member's that ejects.
    pub slowness: f64,
    /// Most members out at once, as a share.
    pub cap: f64,
    /// Time out at first; it grows with each time.
    pub out: Duration,
    /// Time in which a member that returns gets back to its full part.
    pub ramp: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            volume: 10,
            failures: 0.4,
            slowness: 3.0,
            cap: 0.3,
            out: Duration::from_secs(10),
            ramp: Duration::from_secs(10),
        }
    }
}

/// Most times that the time out grows.
const MAX_TIMES: u32 = 6;
/// Least part that a returning member gets.
const FIRST_PART: f64 = 0.05;

/// Why a member was ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// It fails more than its peers: its share of failures and the median's.
    Failures(f64, f64),
    /// It is slower than its peers: its mean seconds and the median's.
    Slowness(f64, f64),
}

/// One ejection, for a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection<K> {
    /// Member.
    pub member: K,
    /// Why.
    pub reason: Reason,
    /// For how long.
    pub out: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    attempts: u32,
    failed: u32,
    seconds: f64,
    out_until: Option<Monotonic>,
    times: u32,
}

impl Member {
    fn is_out(&self, now: Monotonic) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.attempts.max(1))
    }

    fn mean(&self) -> f64 {
        self.seconds / f64::from((self.attempts - self.failed).max(1))
    }
}

/// Judge of one pool's members.
#[derive(Clone, Debug)]
pub struct Outliers<K> {
    settings: Settings,
    members: BTreeMap<K, Member>,
}

impl<K: Ord + Clone> Outliers<K> {
    /// Returns a judge of no members.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Outliers {
            settings,
            members: BTreeMap::new(),
        }
    }

    /// Takes the pool's members; others are forgotten.
    ///
    /// If fewer members let fewer be out, those that are due back first come back now.
    pub fn set_members<'a>(&mut self, now: Monotonic, members: impl IntoIterator<Item = &'a K>)
    where
        K: 'a,
    {
        let mut kept = BTreeMap::new();
        for key in members {
            kept.insert(key.clone(), self.members.remove(key).unwrap_or_default());
        }
        self.members = kept;
        let excess = self.ejected_count(now).saturating_sub(self.max_ejected());
        let mut out: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|one| one.is_out(now))
            .collect();
        out.sort_by_key(|one| one.out_until);
        for member in out.into_iter().take(excess) {
            member.out_until = Some(now);
        }
        self.assert_capped(now);
    }

    /// Records an attempt: the time it took, or nothing if it failed.
    pub fn record(&mut self, member: &K, took: Option<Duration>) {
        let Some(member) = self.members.get_mut(member) else {
            return;
        };
        member.attempts += 1;
        match took {
            Some(took) => member.seconds += took.as_secs_f64(),
            None => member.failed += 1,
        }
    }

    /// Ends a window: ejects outliers, worst first, within the cap.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Ejection<K>> {
        let mut found = self.judge(now);
        found.sort_by(|left, right| right.1.total_cmp(&left.1));
        let mut out = self.members.values().filter(|one| one.is_out(now)).count();
        let most = self.max_ejected();
        let mut ejections = Vec::new();
        for (key, _, reason) in found {
            if out < most {
                out += 1;
                ejections.push(self.eject(now, key, reason));
            }
        }
        for member in self.members.values_mut() {
            member.attempts = 0;
            member.failed = 0;
            member.seconds = 0.0;
        }
        self.assert_capped(now);
        ejections
    }

    /// Returns the part of its usual work that a member gets, from 0 to 1.
    #[must_use]
    pub fn part(&self, now: Monotonic, member: &K) -> f64 {
        let until = self.members.get(member).and_then(|one| one.out_until);
        let Some(until) = until else {
            return 1.0;
        };
        let Some(back) = now.checked_sub(until) else {
            return 0.0;
        };
        let part = back.as_secs_f64() / self.settings.ramp.as_secs_f64().max(f64::EPSILON);
        part.clamp(FIRST_PART, 1.0)
    }

    /// Whether an attempt that would go to a member may.
    pub fn allowed(&self, now: Monotonic, member: &K, rng: &mut impl Rng) -> bool {
        rng.random::<f64>() < self.part(now, member)
    }

    /// Returns how many members are out.
    #[must_use]
    pub fn ejected_count(&self, now: Monotonic) -> usize {
        self.members.values().filter(|one| one.is_out(now)).count()
    }

    /// Returns the most members that may be out at once; fewer than all.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small count"
    )]
    pub fn max_ejected(&self) -> usize {
        (self.members.len() as f64 * self.settings.cap) as usize
    }

    /// Checks that no more members are out than the cap allows.
    ///
    /// # Panics
    ///
    /// If there are.
    pub fn assert_capped(&self, now: Monotonic) {
        assert!(self.ejected_count(now) <= self.max_ejected(), "cap passed");
    }

    fn judge(&self, now: Monotonic) -> Vec<(K, f64, Reason)> {
        let settings = &self.settings;
        let judged: Vec<_> = self
            .members
            .iter()
            .filter(|(_, one)| one.attempts >= settings.volume && !one.is_out(now))
            .collect();
        let failures = median(judged.iter().map(|(_, one)| one.failure_share()));
        let seconds = median(judged.iter().map(|(_, one)| one.mean()));
        let mut found = Vec::new();
        for (key, one) in judged {
            let share = one.failure_share();
            let mean = one.mean();
            if share > failures + settings.failures {
                let reason = Reason::Failures(share, failures);
                found.push((key.clone(), 1.0 + share, reason));
            } else if mean > seconds * settings.slowness {
                let reason = Reason::Slowness(mean, seconds);
                found.push((key.clone(), 1.0 - seconds / mean, reason));
            }
        }
        found
    }

    fn eject(&mut self, now: Monotonic, member: K, reason: Reason) -> Ejection<K> {
        let ramp = self.settings.ramp;
        let one = self.members.entry(member.clone()).or_default();
        let relapse = one.out_until.is_some_and(|until| now < until + 3 * ramp);
        one.times = if relapse { one.times + 1 } else { 1 };
        one.times = one.times.min(MAX_TIMES);
        let out = self.settings.out * one.times;
        one.out_until = Some(now + out);
        Ejection {
            member,
            reason,
            out,
        }
    }
}

/// Returns the lower median, or infinity of nothing.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(f64::INFINITY)
}
