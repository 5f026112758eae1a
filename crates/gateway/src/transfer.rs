//! Transfer of the published state to a gateway that starts.
//!
//! After a loss of power all gateways start at once. If each read the whole list from the store, the
//! store's link would carry as many entries as there are gateways times upstreams. So they read it
//! one after the other, and each requests it from the others too, page by page, until it has it from
//! either: from those that it knows to be ready, or from the seeds while it knows none. A gateway that has passed the list on to a few others refers further ones to these, so
//! that the copies form a tree.
//!
//! The pages are not a snapshot. The list is as of the revision of the first page; the changes after
//! it are queried as usual. Pages are passed on before the last one is here, but not by a gateway
//! that lacks the configuration or doubts some entries.

mod message;

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::id::FailureDomainId;
use auburnline_core::time::Monotonic;

use crate::evacuation;
use crate::freshness::must_read_itself;
use crate::gateway::Gateway;
use crate::message::Datagram;
use crate::published::Listed;
use crate::share;
use crate::spread::Revision;
use crate::upstream;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

pub use message::Page;
pub use message::Query;
pub use message::Reply;

/// Time after their start within which gateways that have no list yet begin to read the store, each
/// at a moment of its own: longer than a large fleet takes to pass the list on.
const READ_SPAN: Duration = Duration::from_millis(1_500);
/// Time after its start until which a gateway requests the list from others: until the store's
/// readers answer its queries anyway.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a reply after which a request is repeated, and then sent to the next gateway:
/// several times what a page takes on a slow link.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Requests to one gateway without a reply after which the next one is asked.
const MAX_REQUESTS: u32 = 2;
/// Time without a page from one gateway after which the next one is asked, so that gateways that wait
/// for each other go on.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Pause before a gateway that does not have a page yet is asked for it again.
const WAIT_PAUSE: Duration = Duration::from_millis(25);
/// Gateways to which one gateway passes the list on before it refers others to them.
const MAX_RECEIVERS: usize = 6;
/// Time for which a gateway remembers to whom it passed the list on.
const RECEIVER_AGE: Duration = Duration::from_secs(3);
/// Upstreams on a page but the last: at the longest ids that a store accepts, they fit into one
/// datagram.
const PAGE: usize = 192;
/// Key by which the turns to read the store are drawn.
const READ_KEY: &str = "reads";
/// Time after its start until which a gateway that was given the list reads nothing by itself: three
/// heartbeats, after which it knows nearly all others and thereby its role.
const VIEW_TIME: Duration = Duration::from_secs(1);

/// What to do after a [`Reply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the reply belongs to no open request.
    Ignore,
    /// Send a request to a gateway.
    Request(Query, SocketAddr),
    /// The list is complete and was applied.
    Done(Done),
}

/// A transfer that is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// Time as of which the state is known.
    pub known_at: Monotonic,
    /// Changes of the pool, for the log.
    pub upstreams: Vec<upstream::Change>,
    /// Changes of the evacuations, for the log.
    pub evacuations: Vec<evacuation::Change>,
}

/// Pages received so far, which are passed on before the rest is here.
#[derive(Clone, Debug)]
struct Partial {
    /// As of the first page.
    revision: Revision,
    configuration: Revision,
    known_at: Monotonic,
    upstreams: Vec<Upstream>,
}

impl Partial {
    /// Returns whether a page continues those that are here.
    fn is_followed_by(&self, page: &Page) -> bool {
        let is_same_store = page.revision.generation == self.revision.generation;
        is_same_store && page.after.is_some() && page.after == self.last()
    }

    /// Returns the last upstream that is here.
    fn last(&self) -> Option<UpstreamId> {
        self.upstreams.last().map(|one| one.id.clone())
    }

    /// Returns a full page; `None` if it is not here yet. Upstreams are in the order of ids.
    fn page(&self, after: Option<&UpstreamId>, now: Monotonic) -> Option<Page> {
        let is_earlier = |one: &Upstream| after.is_some_and(|after| one.id <= *after);
        let later = &self.upstreams[self.upstreams.partition_point(is_earlier)..];
        let upstreams: Vec<Upstream> = later.iter().take(PAGE).cloned().collect();
        (upstreams.len() == PAGE).then(|| Page {
            after: after.cloned(),
            revision: self.revision,
            configuration: self.configuration,
            age: now.saturating_sub(self.known_at),
            upstreams,
            evacuations: Vec::new(),
            is_last: false,
        })
    }
}

/// A request for a page, the latest one.
#[derive(Clone, Copy, Debug)]
struct Request {
    to: SocketAddr,
    at: Monotonic,
    /// Whether it was replied to with [`Reply::Wait`].
    is_waiting: bool,
    /// Requests to this gateway since its last reply.
    unanswered: u32,
    /// When this gateway was first asked, or sent the last page.
    since: Monotonic,
}

/// State of this gateway's own transfer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transfer {
    is_done: bool,
    /// Gateways asked so far, referrals not counted.
    attempts: u64,
    first_asked: Option<Monotonic>,
    request: Option<Request>,
    partial: Option<Partial>,
}

impl Transfer {
    /// Records a request for the page after those that are here.
    fn ask(&mut self, to: SocketAddr, now: Monotonic) -> Query {
        self.first_asked.get_or_insert(now);
        let before = self.request.filter(|before| before.to == to);
        self.request = Some(Request {
            to,
            at: now,
            is_waiting: false,
            unanswered: before.map_or(0, |before| before.unanswered) + 1,
            since: before.map_or(now, |before| before.since),
        });
        let last = self.partial.as_ref().and_then(Partial::last);
        Query { after: last }
    }

    /// Adds a page; returns whether it is the one after those that are here.
    fn add(&mut self, page: &mut Page, now: Monotonic) -> bool {
        let upstreams = std::mem::take(&mut page.upstreams);
        let first_asked = self.first_asked.unwrap_or(now);
        let known_at = first_asked.saturating_sub(page.age);
        match &mut self.partial {
            None if page.after.is_none() => {
                self.partial = Some(Partial {
                    revision: page.revision,
                    configuration: page.configuration,
                    known_at,
                    upstreams,
                });
                true
            }
            Some(partial) if partial.is_followed_by(page) => {
                partial.upstreams.extend(upstreams);
                // Its sender may know less than that of the pages before.
                partial.revision = partial.revision.min(page.revision);
                partial.configuration = partial.configuration.max(page.configuration);
                partial.known_at = partial.known_at.min(known_at);
                true
            }
            _ => false,
        }
    }
}

/// Gateways to which this one passes the list on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receivers {
    all: Vec<(SocketAddr, Monotonic)>,
    /// Number of referrals, which take turns.
    referrals: usize,
}

impl Receivers {
    /// Adds a gateway unless there are enough; returns whether it is one of them.
    fn admit(&mut self, gateway: SocketAddr, now: Monotonic) -> bool {
        self.all
            .retain(|(_, at)| now.saturating_sub(*at) < RECEIVER_AGE);
        let is_known = self.all.iter().any(|(known, _)| *known == gateway);
        if !is_known && self.all.len() < MAX_RECEIVERS {
            self.all.push((gateway, now));
            return true;
        }
        is_known
    }

    /// Returns the gateway that the next one is referred to.
    fn refer(&mut self) -> Option<SocketAddr> {
        self.referrals += 1;
        let turn = self.referrals % self.all.len().max(1);
        self.all.get(turn).map(|(gateway, _)| *gateway)
    }
}

impl Gateway {
    /// Returns whether this gateway has just started and another one may still pass the list on to
    /// it.
    #[must_use]
    pub fn awaits_transfer(&self, now: Monotonic) -> bool {
        let is_open = !self.transfer.is_done && self.spread.revision().is_none() && now < TIMEOUT;
        is_open && self.roster.other_seeds().next().is_some()
    }

    /// Returns whether it is another gateway's turn to read the store after a start. The seeds,
    /// which all others ask, read it at once.
    pub(crate) fn is_read_deferred(&self, now: Monotonic) -> bool {
        let drawn = share::fraction(&self.roster.own_entry().instance, READ_KEY);
        // Few begin before the seeds are up and have read the list themselves, so that the store's
        // link is free for these.
        let turn = READ_SPAN.mul_f64(drawn.cbrt());
        now < turn && !self.roster.is_seed() && self.awaits_transfer(now)
    }

    /// Drops the pages of a transfer that is over because this gateway has read the store.
    pub(crate) fn end_transfer(&mut self, now: Monotonic) {
        if !self.awaits_transfer(now) {
            self.transfer.partial = None;
        }
    }

    /// Returns whether this gateway was given the list and may not know its role yet.
    pub(crate) fn is_view_forming(&self, now: Monotonic) -> bool {
        self.transfer.is_done && now < VIEW_TIME
    }

    /// Returns the request to send now, and to whom; `None` if none is due.
    pub fn next_transfer_query(&mut self, now: Monotonic) -> Option<(Query, SocketAddr)> {
        if !self.awaits_transfer(now) {
            return None;
        }
        if let Some(request) = self.transfer.request {
            let pause = if request.is_waiting {
                WAIT_PAUSE
            } else {
                RETRY_AFTER
            };
            if now.saturating_sub(request.at) < pause {
                return None;
            }
            let has_time = now.saturating_sub(request.since) < MAX_WAIT;
            if has_time && (request.is_waiting || request.unanswered < MAX_REQUESTS) {
                return Some((self.transfer.ask(request.to, now), request.to));
            }
        }
        let mut sources = self.roster.ready_peers(now);
        if sources.is_empty() {
            sources = self.roster.other_seeds().collect();
        }
        let first = stable(0, self.roster.own_entry().instance.as_bytes());
        let turn =
            first.wrapping_add(self.transfer.attempts) % u64::try_from(sources.len()).ok()?;
        let to = *sources.get(usize::try_from(turn).ok()?)?;
        self.transfer.attempts += 1;
        Some((self.transfer.ask(to, now), to))
    }

    /// Returns the replies to the request of a gateway at `from`.
    pub fn answer_transfer(
        &mut self,
        query: &Query,
        from: SocketAddr,
        now: Monotonic,
    ) -> Vec<Datagram> {
        let is_first = query.after.is_none();
        let update = self.spread.kept_configuration().cloned();
        let (Some(update), Some(page)) = (update, self.page(query.after.as_ref(), now)) else {
            return vec![Datagram::TransferReply(Reply::Wait)];
        };
        if !self.receivers.admit(from, now) {
            // All receivers have the first page, so none waits for the one that is referred to it.
            let referral = self.receivers.refer().map(Reply::Referral);
            return referral.into_iter().map(Datagram::TransferReply).collect();
        }
        self.subscribers.add(from, now);
        let update = is_first.then(|| Datagram::Configuration(Box::new(update)));
        let page = Datagram::TransferReply(Reply::Page(page));
        update.into_iter().chain([page]).collect()
    }

    /// Returns a page; `None` if this gateway does not have it yet, or doubts what it has.
    fn page(&self, after: Option<&UpstreamId>, now: Monotonic) -> Option<Page> {
        if self.spread.revision().is_none() {
            return self.transfer.partial.as_ref()?.page(after, now);
        }
        let known_at = self.lag.known_at()?;
        let age = now.saturating_sub(known_at);
        let is_certain = !self.spread.awaits_configuration()
            && !must_read_itself(Some(age))
            && !self.freshness.may_lack_entries(now)
            && !self.pool.has_untrusted();
        let revision = self.spread.revision().filter(|_| is_certain)?;
        let upstreams = self.pool.listed_after(after, PAGE);
        let (_, configuration) = self.spread.configuration_revisions();
        Some(Page {
            after: after.cloned(),
            revision,
            configuration,
            age,
            evacuations: self.pool.evacuations.listed(),
            is_last: upstreams.len() < PAGE,
            upstreams,
        })
    }

    /// Applies the reply of the gateway at `from`; returns what to do next.
    pub fn apply_transfer(&mut self, reply: Reply, from: SocketAddr, now: Monotonic) -> Step {
        let request = self.transfer.request.as_mut();
        let Some(request) = request.filter(|request| request.to == from) else {
            return Step::Ignore;
        };
        request.is_waiting = reply == Reply::Wait;
        request.unanswered = 0;
        if !self.awaits_transfer(now) {
            return Step::Ignore;
        }
        let mut page = match reply {
            Reply::Wait => return Step::Ignore,
            Reply::Referral(to) => return Step::Request(self.transfer.ask(to, now), to),
            Reply::Page(page) => page,
        };
        if !self.transfer.add(&mut page, now) {
            return Step::Ignore;
        }
        if !page.is_last {
            self.transfer.request = None;
            return Step::Request(self.transfer.ask(from, now), from);
        }
        match self.transfer.partial.take() {
            Some(partial) => Step::Done(self.finish_transfer(partial, page.evacuations, now)),
            None => Step::Ignore,
        }
    }

    /// Applies a complete list.
    fn finish_transfer(
        &mut self,
        partial: Partial,
        evacuations: Vec<(FailureDomainId, Revision)>,
        now: Monotonic,
    ) -> Done {
        self.transfer.is_done = true;
        let listed = Listed {
            upstreams: partial.upstreams,
            evacuations,
        };
        // The configuration comes in a message of its own, which may get lost.
        let (_, read) = self.spread.configuration_revisions();
        let (upstreams, evacuations) = self.apply_full_read(listed, partial.revision, read, now);
        self.spread.announce_configuration(partial.configuration);
        Done {
            known_at: partial.known_at,
            upstreams,
            evacuations,
        }
    }
}
