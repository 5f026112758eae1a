//! Outlier detection: temporarily ejects upstreams that fail more or answer more slowly than their
//! peers.
//!
//! A member is compared with the median of its pool, so that a problem that affects the whole pool
//! ejects nobody. The share of ejected members is capped, so that false positives can't empty a
//! pool. Traffic to a member that returns ramps up slowly, and repeated ejections last longer.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use rand::Rng;

/// Thresholds and durations of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Attempts in a window below which a member is not evaluated.
    pub volume: u32,
    /// Excess of a member's failure rate over the median rate above which it is ejected.
    pub failure_margin: f64,
    /// Ratio of a member's mean latency to the median of the means above which it is ejected.
    pub slowness_factor: f64,
    /// Largest share of members ejected at once, from 0 to 1.
    pub max_ejected_share: f64,
    /// Duration of a first ejection; multiplied by the number of consecutive ejections, which are
    /// those that follow within three ramps after the end of the last.
    pub base_ejection_time: Duration,
    /// Time in which traffic to a member that returns rises to its full share.
    pub ramp: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            volume: 10,
            failure_margin: 0.4,
            slowness_factor: 3.0,
            max_ejected_share: 0.3,
            base_ejection_time: Duration::from_secs(10),
            ramp: Duration::from_secs(10),
        }
    }
}

/// Largest multiple of the base ejection time.
const MAX_EJECTION_MULTIPLE: u32 = 6;
/// Smallest share of its usual traffic that a returning member gets.
const MIN_TRAFFIC_SHARE: f64 = 0.05;

/// Why a member was ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// Fails more than its peers: its failure rate and the median rate.
    Failures(f64, f64),
    /// Is slower than its peers: its mean latency and the median of the means, in seconds.
    Slowness(f64, f64),
}

/// Ejection of one member, for logging.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection<K> {
    /// Ejected member.
    pub member: K,
    /// Comparison that it failed.
    pub reason: Reason,
    /// Duration of the ejection.
    pub out: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Member {
    attempts: u32,
    failed: u32,
    success_seconds: f64,
    ejected_until: Option<Monotonic>,
    consecutive_ejections: u32,
}

impl Member {
    fn is_ejected(&self, now: Monotonic) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn failure_rate(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.attempts.max(1))
    }

    /// Returns the mean latency of the attempts that succeeded, if any did.
    fn mean_seconds(&self) -> Option<f64> {
        let succeeded = self.attempts - self.failed;
        (succeeded > 0).then(|| self.success_seconds / f64::from(succeeded))
    }
}

/// Outlier detector for the members of one pool.
#[derive(Clone, Debug)]
pub struct Outliers<K> {
    settings: Settings,
    members: BTreeMap<K, Member>,
}

impl<K: Ord + Clone> Outliers<K> {
    /// Creates a detector without members.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Outliers {
            settings,
            members: BTreeMap::new(),
        }
    }

    /// Replaces the pool's members; records of members that are not in the new set are dropped.
    ///
    /// If more members are ejected than the cap allows for the new set, those whose ejection ends
    /// first return now.
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
        let mut ejected: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.is_ejected(now))
            .collect();
        ejected.sort_by_key(|member| member.ejected_until);
        for member in ejected.into_iter().take(excess) {
            member.ejected_until = Some(now);
        }
        self.assert_capped(now);
    }

    /// Records an attempt with its latency, or `None` if it failed.
    pub fn record(&mut self, member: &K, latency: Option<Duration>) {
        let Some(member) = self.members.get_mut(member) else {
            return;
        };
        member.attempts += 1;
        match latency {
            Some(latency) => member.success_seconds += latency.as_secs_f64(),
            None => member.failed += 1,
        }
    }

    /// Ends a window: ejects outliers, worst first, as far as the cap allows.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Ejection<K>> {
        let mut found = self.find_outliers(now);
        found.sort_by(|left, right| right.1.total_cmp(&left.1));
        let mut ejected = self
            .members
            .values()
            .filter(|member| member.is_ejected(now))
            .count();
        let max_ejected = self.max_ejected();
        let mut ejections = Vec::new();
        for (key, _, reason) in found {
            if ejected < max_ejected {
                ejected += 1;
                ejections.push(self.eject(now, key, reason));
            }
        }
        for member in self.members.values_mut() {
            member.attempts = 0;
            member.failed = 0;
            member.success_seconds = 0.0;
        }
        self.assert_capped(now);
        ejections
    }

    /// Returns the share of its usual traffic that a member gets: 0 while ejected, rising to 1 over
    /// the ramp. Unknown members get 1.
    #[must_use]
    pub fn part(&self, now: Monotonic, member: &K) -> f64 {
        let until = self
            .members
            .get(member)
            .and_then(|member| member.ejected_until);
        let Some(until) = until else {
            return 1.0;
        };
        let Some(since_return) = now.checked_sub(until) else {
            return 0.0;
        };
        let share = since_return.as_secs_f64() / self.settings.ramp.as_secs_f64().max(f64::EPSILON);
        share.clamp(MIN_TRAFFIC_SHARE, 1.0)
    }

    /// Decides at random, in proportion to the member's share of traffic, whether an attempt may go
    /// to it.
    pub fn allowed(&self, now: Monotonic, member: &K, rng: &mut impl Rng) -> bool {
        rng.random::<f64>() < self.part(now, member)
    }

    /// Returns the number of members ejected at `now`.
    #[must_use]
    pub fn ejected_count(&self, now: Monotonic) -> usize {
        self.members
            .values()
            .filter(|member| member.is_ejected(now))
            .count()
    }

    /// Returns the cap on members ejected at once. It is rounded down, so that a share below 1
    /// never ejects all members.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small count"
    )]
    pub fn max_ejected(&self) -> usize {
        (self.members.len() as f64 * self.settings.max_ejected_share) as usize
    }

    /// Checks that no more members are ejected than the cap allows.
    ///
    /// # Panics
    ///
    /// Panics if more are ejected.
    pub fn assert_capped(&self, now: Monotonic) {
        assert!(
            self.ejected_count(now) <= self.max_ejected(),
            "more members ejected than the cap allows"
        );
    }

    /// Returns outliers with their severity, which ranks every failing member above the slow ones.
    fn find_outliers(&self, now: Monotonic) -> Vec<(K, f64, Reason)> {
        let settings = &self.settings;
        let evaluated: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.attempts >= settings.volume && !member.is_ejected(now))
            .collect();
        let median_rate = median(evaluated.iter().map(|(_, member)| member.failure_rate()));
        let means = evaluated.iter();
        let median_seconds = median(means.filter_map(|(_, member)| member.mean_seconds()));
        let mut found = Vec::new();
        for (key, member) in evaluated {
            let rate = member.failure_rate();
            let mean_seconds = member.mean_seconds().unwrap_or(0.0);
            if rate > median_rate + settings.failure_margin {
                let reason = Reason::Failures(rate, median_rate);
                found.push((key.clone(), 1.0 + rate, reason));
            } else if mean_seconds > median_seconds * settings.slowness_factor {
                let reason = Reason::Slowness(mean_seconds, median_seconds);
                found.push((key.clone(), 1.0 - median_seconds / mean_seconds, reason));
            }
        }
        found
    }

    fn eject(&mut self, now: Monotonic, member: K, reason: Reason) -> Ejection<K> {
        let ramp = self.settings.ramp;
        let state = self.members.entry(member.clone()).or_default();
        let relapse = state
            .ejected_until
            .is_some_and(|until| now < until + 3 * ramp);
        state.consecutive_ejections = if relapse {
            state.consecutive_ejections + 1
        } else {
            1
        };
        state.consecutive_ejections = state.consecutive_ejections.min(MAX_EJECTION_MULTIPLE);
        let out = self.settings.base_ejection_time * state.consecutive_ejections;
        state.ejected_until = Some(now + out);
        Ejection {
            member,
            reason,
            out,
        }
    }
}

/// Returns the lower median, or infinity if there are no values.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(f64::INFINITY)
}
