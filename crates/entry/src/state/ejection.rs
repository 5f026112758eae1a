//! Groups that fail more than their peers, left out of routing for a while.
//!
//! Groups are judged among those of their pool and model that have a session, so that the cap on
//! those left out is one on those that could serve. Only failures are judged: the time that an
//! answer takes depends on its length, and lateness is routing's to see.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;
use auburnline_core::time::Monotonic;
use auburnline_retries::outlier::Ejection;
use auburnline_retries::outlier::Outliers;
use auburnline_retries::outlier::Reason;
use auburnline_retries::outlier::Settings;
use auburnline_routing::Mark;
use auburnline_routing::Router;
use rand::Rng;

/// Units of routing among which a request chooses.
pub(crate) type Shard = (PoolId, Option<ModelId>);

/// Least length of a window.
const LEAST: Duration = Duration::from_secs(1);
/// Length at which a window ends whatever came.
const MOST: Duration = Duration::from_mins(1);
/// Ends of sends, for each group, at which a window may end.
const ENOUGH: usize = 20;
/// Ends of sends without which a group isn't judged; a few a minute reach one from one entry.
const VOLUME: u32 = 5;

/// Requests lost one after the other at which a group is passed over, though too few have ended to judge
/// it: an upstream that takes requests and goes silent looks the least loaded, and would draw all work.
const STRIKES: u32 = 2;
/// Time for which it is passed over; then requests try it, and the first loss passes it over again.
const PASSED_OVER: Duration = Duration::from_secs(8);

/// How a send ended, as far as that speaks for or against its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered whole.
    Served,
    /// Refused at once and not run: the request goes elsewhere, and the judge needs all such ends.
    Refused,
    /// Taken and never answered whole.
    Lost,
}

/// Requests that a group lost since it last served one.
#[derive(Clone, Copy)]
struct Strikes {
    count: u32,
    last: Monotonic,
}

/// One pool's groups of one model.
struct Pool {
    outliers: Outliers<GroupId>,
    members: usize,
    /// Groups that are marked as ejected, since when.
    marked: BTreeMap<GroupId, Monotonic>,
    strikes: BTreeMap<GroupId, Strikes>,
    began: Monotonic,
    seen: usize,
}

/// All groups that are judged.
#[derive(Default)]
pub(crate) struct Pools {
    pools: BTreeMap<Shard, Pool>,
}

impl Pool {
    fn new(now: Monotonic) -> Pool {
        let settings = Settings {
            volume: VOLUME,
            ..Settings::default()
        };
        Pool {
            outliers: Outliers::new(settings),
            members: 0,
            marked: BTreeMap::new(),
            strikes: BTreeMap::new(),
            began: now,
            seen: 0,
        }
    }

    /// Counts requests lost one after the other.
    fn strike(&mut self, now: Monotonic, pool: &PoolId, group: &GroupId, end: End) {
        match end {
            End::Served => {
                self.strikes.remove(group);
                return;
            }
            End::Refused => return,
            End::Lost => {}
        }
        let strikes = self.strikes.entry(group.clone());
        let strikes = strikes.or_insert(Strikes {
            count: 0,
            last: now,
        });
        strikes.count += 1;
        strikes.last = now;
        if strikes.count == STRIKES {
            log::info!(
                target: "decision",
                pool = &**pool,
                group = &**group,
                lost = strikes.count,
                out_ms = PASSED_OVER.as_millis();
                "pass_over"
            );
        }
    }

    fn is_passed_over(&self, now: Monotonic, group: &GroupId) -> bool {
        let strikes = self.strikes.get(group);
        strikes.is_some_and(|strikes| {
            strikes.count >= STRIKES && now.saturating_sub(strikes.last) < PASSED_OVER
        })
    }

    /// Whether a window may end: with enough seen, or after its longest time.
    fn is_due(&self, now: Monotonic) -> bool {
        let length = now.saturating_sub(self.began);
        length >= MOST || (length >= LEAST && self.seen >= ENOUGH * self.members)
    }

    fn judge(&mut self, now: Monotonic, pool: &PoolId, router: &mut Router) {
        let window = now.saturating_sub(self.began);
        for ejection in self.outliers.tick(now) {
            tell(pool, &ejection, window, self.members);
            router.set_mark(&ejection.member, Mark::Ejected, true);
            self.marked.insert(ejection.member, now);
        }
        self.began = now;
        self.seen = 0;
    }

    /// Takes the marks from those that are out no longer.
    fn give_back(&mut self, now: Monotonic, pool: &PoolId, reason: &str, router: &mut Router) {
        let outliers = &self.outliers;
        self.marked.retain(|group, since| {
            if outliers.part(now, group) <= 0.0 {
                return true;
            }
            router.set_mark(group, Mark::Ejected, false);
            let out = now.saturating_sub(*since);
            log::info!(
                target: "decision",
                pool = &**pool,
                group = &**group,
                reason,
                out_ms = out.as_millis();
                "return"
            );
            false
        });
    }
}

impl Pools {
    /// Takes the groups that could serve now; a mark of any other is taken back.
    pub(crate) fn observe(
        &mut self,
        now: Monotonic,
        members: &BTreeMap<Shard, Vec<GroupId>>,
        router: &mut Router,
    ) {
        for shard in members.keys() {
            let new = || Pool::new(now);
            self.pools.entry(shard.clone()).or_insert_with(new);
        }
        for (shard, pool) in &mut self.pools {
            let groups = members.get(shard).map_or(&[][..], Vec::as_slice);
            pool.outliers.set_members(now, groups);
            pool.members = groups.len();
            pool.strikes.retain(|group, _| groups.contains(group));
            pool.give_back(now, &shard.0, "members_changed", router);
        }
        self.pools.retain(|shard, _| members.contains_key(shard));
    }

    /// Records the end of a send.
    pub(crate) fn record(&mut self, now: Monotonic, shard: &Shard, group: &GroupId, end: End) {
        let Some(pool) = self.pools.get_mut(shard) else {
            return;
        };
        pool.seen += 1;
        pool.strike(now, &shard.0, group, end);
        let served = (end == End::Served).then_some(Duration::ZERO);
        pool.outliers.record(group, served);
    }

    /// Returns the part of its usual work that a group gets.
    pub(crate) fn part(&self, now: Monotonic, shard: &Shard, group: &GroupId) -> f64 {
        let pool = self.pools.get(shard);
        pool.map_or(1.0, |pool| pool.outliers.part(now, group))
    }

    /// Whether a request may go to a group, which may be returning.
    pub(crate) fn allowed(
        &self,
        now: Monotonic,
        shard: &Shard,
        group: &GroupId,
        rng: &mut impl Rng,
    ) -> bool {
        let pool = self.pools.get(shard);
        if pool.is_some_and(|pool| pool.is_passed_over(now, group)) {
            return false;
        }
        let part = self.part(now, shard, group);
        part >= 1.0 || rng.random::<f64>() < part
    }

    /// Ends the windows that are due, and takes back those whose time is over.
    pub(crate) fn tick(&mut self, now: Monotonic, router: &mut Router) {
        for (shard, pool) in &mut self.pools {
            pool.give_back(now, &shard.0, "time_over", router);
            if pool.is_due(now) {
                pool.judge(now, &shard.0, router);
            }
        }
    }
}

fn tell(pool: &PoolId, ejection: &Ejection<GroupId>, window: Duration, peers: usize) {
    let (reason, own, median) = match ejection.reason {
        Reason::Failures(own, median) => ("failures", own, median),
        Reason::Slowness(own, median) => ("slowness", own, median),
    };
    log::info!(
        target: "decision",
        pool = &**pool,
        group = &*ejection.member,
        reason,
        own:% = format_args!("{own:.3}"),
        median:% = format_args!("{median:.3}"),
        peers,
        window_ms = window.as_millis(),
        out_ms = ejection.out.as_millis();
        "eject"
    );
}
