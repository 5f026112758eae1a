//! Rate limits that upstreams name, as a gateway learns, reports and enforces them.
//!
//! A request to an upstream with a limit needs a permit from the limit's home, which is one of the
//! gateways. If the home denies it, this gateway doesn't use the upstream until the home may permit
//! another request, and tries the next best one.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use auburnline_quota::Rate;
use auburnline_quota::home;
use auburnline_quota::home::Home;
use auburnline_quota::home::Permit;
use auburnline_quota::home::Reply;
use auburnline_quota::loan::Heartbeat;
use auburnline_quota::loan::Lender;
use auburnline_quota::loan::Loan;
use auburnline_quota::loan::Outcome;
use auburnline_quota::registry;
use auburnline_quota::registry::Limit;
use auburnline_quota::registry::MAX_NOTICES;
use auburnline_quota::registry::Notice;
use auburnline_quota::registry::Registry;
use auburnline_quota::registry::Teller;
use rand::Rng as _;

use crate::gateway::Gateway;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::upstream::Upstream;

/// Time for which an upstream is not used after its limit's home did not reply.
const NO_REPLY_RETRY: Duration = Duration::from_millis(500);
/// Bounds of the random factor of the retry time, so that gateways that were denied together don't
/// ask together.
const RETRY_JITTER: (f64, f64) = (1.0, 1.5);
/// Heartbeats between two renewals of loans: several renewals within a lease, since messages get
/// lost.
const LOAN_INTERVAL_HEARTBEATS: u64 = 2;
/// Shortest retry time: a round trip between failure domains.
const MIN_RETRY: Duration = Duration::from_millis(10);

/// A limit that was named, changed or ended, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Upstream that the limit is for.
    pub upstream: Arc<Upstream>,
    /// Requests per second from all gateways together; none if the limit ended.
    pub rate: Option<Rate>,
    /// Where this gateway learned of it.
    pub teller: Teller,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consent {
    /// The request may be sent.
    Granted,
    /// The request may not be sent to this upstream now.
    Denied,
    /// The limit's home has to be asked.
    Ask {
        /// Address of the home.
        home: SocketAddr,
        /// Request to send; the reply goes to [`Gateway::apply_reply`].
        request: home::Request,
    },
}

/// An upstream with a rate limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Limited {
    /// Upstream that named the limit.
    pub upstream: Arc<Upstream>,
    /// Limit in force.
    pub limit: Limit,
    /// Address of the gateway that permits requests to it.
    pub home: SocketAddr,
}

/// All that a gateway knows of rate limits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limits {
    registry: Registry,
    lender: Lender,
    home: Home,
    /// Until when upstreams are not used.
    closed: HashMap<StartTag, Monotonic>,
    /// Requests sent so far, which number them.
    requests: u64,
    /// Shares that were lent to another home and are not logged yet.
    moved: Vec<(StartTag, SocketAddr)>,
}

impl Limits {
    /// Returns whether no limit is known, in force or ended.
    pub(crate) fn is_idle(&self) -> bool {
        self.registry.is_empty()
    }

    /// Returns until when an upstream is not used; none if it is open.
    pub(crate) fn open_at(&self, upstream: &Upstream, now: Monotonic) -> Option<Monotonic> {
        if self.closed.is_empty() {
            return None;
        }
        let until = self.closed.get(&start_tag(upstream)).copied();
        until.filter(|until| now < *until)
    }

    /// Reopens an upstream whose limit ended or changed.
    fn reopen(&mut self, update: registry::Update) {
        self.closed.remove(&update.upstream);
    }

    fn rate(&self, upstream: StartTag, now: Monotonic) -> Option<Rate> {
        self.registry.limit(upstream, now).map(|limit| limit.rate)
    }
}

/// Returns the key by which gateways agree on the home of an upstream's limit.
fn home_key(upstream: StartTag) -> String {
    format!("limit/{upstream:x}")
}

impl Gateway {
    /// Returns the limit that an upstream named, if it is in force.
    #[must_use]
    pub fn limit(&self, upstream: &Upstream, now: Monotonic) -> Option<Limit> {
        if self.limits.is_idle() {
            return None;
        }
        self.limits.registry.limit(start_tag(upstream), now)
    }

    /// Returns the upstreams of a service that have a limit, at most `most`.
    #[must_use]
    pub fn limited(&self, service: &str, most: usize, now: Monotonic) -> Vec<Limited> {
        let starts = self.pool.starts();
        let starts = starts.filter(|(_, upstream)| *upstream.service == *service);
        let limited = starts.filter_map(|(start, upstream)| {
            Some(Limited {
                upstream: Arc::clone(upstream),
                limit: self.limits.registry.limit(start, now)?,
                home: self.home(start, now),
            })
        });
        limited.take(most).collect()
    }

    /// Records what an answer says about its upstream's limit; its request was sent at `sent`.
    /// Returns what changed.
    pub fn record_limit(
        &mut self,
        upstream: &Arc<Upstream>,
        rate: Option<Rate>,
        sent: Monotonic,
        now: Monotonic,
    ) -> Option<Update> {
        let start = start_tag(upstream);
        let update = self.limits.registry.answered(start, rate, sent, now)?;
        self.limits.reopen(update);
        Some(Update {
            upstream: Arc::clone(upstream),
            rate: update.rate,
            teller: update.teller,
        })
    }

    /// Records the limits that another gateway reports; returns what changed. Upstreams that are
    /// not known here yet are left out, since limits are reported repeatedly.
    pub fn receive_limits(
        &mut self,
        notices: &[Notice],
        from: SocketAddr,
        now: Monotonic,
    ) -> Vec<Update> {
        let known: HashMap<StartTag, &Arc<Upstream>> = self.pool.starts().collect();
        let is_known = |notice: &&Notice| known.contains_key(&notice.upstream);
        let notices: Vec<Notice> = notices.iter().filter(is_known).copied().collect();
        let heard = self.limits.registry.merge(&notices, from, now);
        let updates = heard.into_iter().filter_map(|update: registry::Update| {
            self.limits.reopen(update);
            Some(Update {
                upstream: Arc::clone(known.get(&update.upstream)?),
                rate: update.rate,
                teller: update.teller,
            })
        });
        updates.collect()
    }

    /// Records that a heartbeat is sent; returns the notices of limits to send with it, and drops
    /// limits of upstreams that have been gone for some time.
    pub fn heartbeat_limits(&mut self, now: Monotonic) -> Vec<Notice> {
        self.limits
            .home
            .record_heartbeat(self.roster.own_entry().heartbeats, now);
        self.limits.closed.retain(|_, until| now < *until);
        self.limits.lender.forget(now);
        if self.limits.is_idle() {
            return Vec::new();
        }
        let known: HashMap<StartTag, _> = self.pool.starts().collect();
        self.limits
            .registry
            .forget(|upstream| known.contains_key(&upstream), now);
        self.limits.registry.notices(now)
    }

    /// Lends this gateway's share of each limit to the limit's home; returns the loans to send.
    pub fn loans(&mut self, now: Monotonic) -> Vec<(SocketAddr, Loan)> {
        let mut loans: BTreeMap<SocketAddr, Loan> = BTreeMap::new();
        if self.limits.is_idle()
            || !self
                .roster
                .own_entry()
                .heartbeats
                .is_multiple_of(LOAN_INTERVAL_HEARTBEATS)
        {
            return Vec::new();
        }
        let lender = stable(0, self.roster.own_entry().instance.as_bytes());
        let Some(fleet) = self.roster.fleet_size(Duration::ZERO, now) else {
            return Vec::new();
        };
        let fleet = u32::try_from(fleet).unwrap_or(u32::MAX);
        for notice in self.limits.registry.in_force(now) {
            let home = self.roster.home(&home_key(notice.upstream), now);
            let heartbeat = Heartbeat {
                home: &home.entry.instance,
                incarnation: home.entry.incarnation,
                heartbeat: home.entry.heartbeats,
                heard: home.heard,
                address: home.entry.peers,
            };
            match self.limits.lender.lend(notice.upstream, &heartbeat, now) {
                Outcome::StillLent => continue,
                Outcome::Moved => self.limits.moved.push((notice.upstream, heartbeat.address)),
                Outcome::Renewed => {}
            }
            let loan = loans.entry(home.entry.peers).or_insert_with(|| Loan {
                lender,
                fleet,
                incarnation: heartbeat.incarnation,
                heartbeat: heartbeat.heartbeat,
                limits: Vec::new(),
            });
            loan.limits.push(notice);
        }
        if let Some(own) = loans.remove(&self.roster.own_entry().peers) {
            self.accept_loan(&own, now);
        }
        let loans = loans.into_iter();
        loans.flat_map(|(home, loan)| split(home, &loan)).collect()
    }

    /// Returns the limits whose share was lent to another home since the last call.
    pub fn take_moved_loans(&mut self, now: Monotonic) -> Vec<Limited> {
        let moved = std::mem::take(&mut self.limits.moved);
        let moved = moved.into_iter().filter_map(|(start, home)| {
            let mut starts = self.pool.starts();
            let (_, upstream) = starts.find(|(tag, _)| *tag == start)?;
            Some(Limited {
                upstream: Arc::clone(upstream),
                limit: self.limits.registry.limit(start, now)?,
                home,
            })
        });
        moved.collect()
    }

    /// Records shares that another gateway lends to this one; returns what the loan changed in the
    /// known limits.
    pub fn receive_loan(&mut self, loan: &Loan, from: SocketAddr, now: Monotonic) -> Vec<Update> {
        let updates = self.receive_limits(&loan.limits, from, now);
        if loan.incarnation == self.roster.own_entry().incarnation {
            self.accept_loan(loan, now);
        }
        updates
    }

    fn accept_loan(&mut self, loan: &Loan, now: Monotonic) {
        let Limits { registry, home, .. } = &mut self.limits;
        let rate = |upstream| registry.limit(upstream, now).map(|limit| limit.rate);
        home.accept_loan(loan, rate, now);
    }

    /// Decides whether a request may be sent to an upstream, or which gateway has to be asked.
    pub fn consent(&mut self, upstream: &Upstream, now: Monotonic) -> Consent {
        if self.limit(upstream, now).is_none() {
            return Consent::Granted;
        }
        let start = start_tag(upstream);
        let home = self.home(start, now);
        if home == self.roster.own_entry().peers {
            let permit = self.permit(start, now);
            return self.take_permit(start, permit, now);
        }
        self.limits.requests += 1;
        let number = self.limits.requests;
        let request = home::Request {
            number,
            upstream: start,
        };
        Consent::Ask { home, request }
    }

    /// Returns the address of the gateway that permits requests to an upstream with a limit.
    fn home(&self, upstream: StartTag, now: Monotonic) -> SocketAddr {
        let lent = self.limits.lender.home(upstream, now);
        lent.unwrap_or_else(|| {
            let home = self.roster.home(&home_key(upstream), now);
            home.entry.peers
        })
    }

    /// Replies to a gateway that asks whether it may send a request.
    pub fn reply(&mut self, request: home::Request, now: Monotonic) -> Reply {
        Reply {
            number: request.number,
            upstream: request.upstream,
            permit: self.permit(request.upstream, now),
        }
    }

    fn permit(&mut self, upstream: StartTag, now: Monotonic) -> Permit {
        // A home that knows of no limit has no shares of it either, so it denies the request.
        let rate = self.limits.rate(upstream, now).unwrap_or(0.0);
        self.limits.home.permit(upstream, rate, now)
    }

    /// Applies the home's reply to a request; none if the home did not reply.
    pub fn apply_reply(
        &mut self,
        request: home::Request,
        permit: Option<Permit>,
        now: Monotonic,
    ) -> Consent {
        let no_reply = Permit::Denied {
            retry_ms: u32::try_from(NO_REPLY_RETRY.as_millis()).unwrap_or(u32::MAX),
        };
        self.take_permit(request.upstream, permit.unwrap_or(no_reply), now)
    }

    fn take_permit(&mut self, upstream: StartTag, permit: Permit, now: Monotonic) -> Consent {
        let Permit::Denied { retry_ms } = permit else {
            return Consent::Granted;
        };
        let (least, most) = RETRY_JITTER;
        let factor = self.rng.random_range(least..most);
        let retry = Duration::from_millis(retry_ms.into()).mul_f64(factor);
        let until = now + retry.max(MIN_RETRY);
        self.limits.closed.insert(upstream, until);
        Consent::Denied
    }
}

/// Splits a loan into messages that each fit into one packet.
fn split(home: SocketAddr, loan: &Loan) -> Vec<(SocketAddr, Loan)> {
    let parts = loan.limits.chunks(MAX_NOTICES);
    let parts = parts.map(|limits| {
        let part = Loan {
            limits: limits.to_vec(),
            ..*loan
        };
        (home, part)
    });
    parts.collect()
}
