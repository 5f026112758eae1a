//! Limits of workspaces: what a request is charged, and what this entry grants others.
//!
//! Asks and grants travel as JSON in control frames between entries. A request whose workspace has
//! no tokens on hand waits one round trip for a grant, or is refused at once with a time to come
//! back. A later attempt of non-idempotent work was charged at its first and is not charged again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_configuration::checked::Checked;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Fate;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;
use auburnline_limits::bucket::Admission;
use auburnline_limits::bucket::Charge;
use auburnline_limits::bucket::Holder;
use auburnline_limits::lease::Ask;
use auburnline_limits::lease::Grants;
use auburnline_limits::lease::Home;
use auburnline_limits::lease::Limit;
use auburnline_limits::lease::Reserve;
use auburnline_limits::lease::Settings;
use auburnline_limits::lease::View;
use auburnline_operator::shape;
use auburnline_peer::wire::Control;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Stream;
use auburnline_peer::wire::Topic;
use auburnline_process::link::Link;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::state::State;
use crate::state::exchange::Phase;

/// Time for which a session to a home is kept after its last use.
const HOME_KEPT: Duration = Duration::from_secs(30);
/// Most workspaces that operators are shown.
const MAX_SHOWN: usize = 64;

/// Limits as this entry sees them.
pub(crate) struct Limits {
    view: View,
    home: Home,
    holder: Holder,
    reserve: Reserve,
    entries: Option<(BTreeSet<InstanceId>, BTreeSet<InstanceId>)>,
    homes: BTreeMap<InstanceId, Monotonic>,
    counts: BTreeMap<WorkspaceId, Counts>,
}

/// Counts of one workspace since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    granted: u64,
    refused: u64,
}

/// Message between entries.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Ask(Ask),
    Grants(Grants),
}

impl Limits {
    pub(crate) fn new(now: Monotonic, me: InstanceId, incarnation: Incarnation) -> Limits {
        let settings = Settings::default();
        Limits {
            view: View::new(now, me, settings.hold_time),
            home: Home::new(settings),
            holder: Holder::new(settings, incarnation),
            reserve: Reserve::new(now, &settings),
            entries: None,
            homes: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Returns the homes that sessions are wanted to.
    pub(crate) fn homes(&self) -> impl Iterator<Item = &InstanceId> {
        self.homes.keys()
    }

    /// Returns whether this entry's view of the entries has stood long enough to grant anything.
    pub(crate) fn may_grant(&self) -> bool {
        self.view.share_ppm() > 0
    }

    /// Returns the workspaces that were used here, as operators see them.
    pub(crate) fn shown(&self, rate: impl Fn(&str) -> f64) -> Vec<shape::Limit> {
        let shown = self
            .counts
            .iter()
            .take(MAX_SHOWN)
            .map(|(workspace, counts)| shape::Limit {
                workspace: workspace.to_string(),
                tokens_per_second: rate(workspace),
                granted: counts.granted,
                refused: counts.refused,
            });
        shown.collect()
    }
}

impl State {
    /// Charges a request that has just come, and sends it on, lets it wait or ends it.
    pub(crate) fn charge(&mut self, stream: Stream) {
        let now = self.clock.now();
        let Some(exchange) = self.exchanges.get(&stream) else {
            return;
        };
        let tokens = exchange.query.tokens();
        let workspace = exchange.request.workspace.clone();
        let admission = self.limits.holder.charge(now, &workspace, tokens);
        self.charged(stream, admission);
    }

    /// Pays a request that no home's grant covers out of this entry's own part of the limit.
    fn pay_from_reserve(&mut self, workspace: &WorkspaceId, tokens: u64) -> bool {
        let now = self.clock.now();
        let checked = self.configurations.in_force();
        let Some(limit) = checked.and_then(|checked| limit(checked, workspace)) else {
            return false;
        };
        let is_paid = self.limits.reserve.spend(now, workspace, limit, tokens);
        if is_paid {
            log::debug!(target: "decision", workspace = &**workspace, tokens; "paid from reserve");
        }
        is_paid
    }

    /// Charges again what waits for a grant.
    fn pay(&mut self, stream: Stream) {
        let now = self.clock.now();
        let Some(exchange) = self.exchanges.get(&stream) else {
            return;
        };
        let tokens = exchange.query.tokens();
        let (workspace, since) = (&exchange.request.workspace, exchange.arrived);
        let admission = self.limits.holder.resume(now, workspace, tokens, since);
        self.charged(stream, admission);
    }

    fn charged(&mut self, stream: Stream, admission: Admission) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else {
            return;
        };
        let workspace = exchange.request.workspace.clone();
        let tokens = exchange.query.tokens();
        match admission {
            Admission::Admitted(charge) => self.paid(stream, charge.tokens(), Some(charge)),
            Admission::Pending(_) => {}
            Admission::Refused(_) if self.pay_from_reserve(&workspace, tokens) => {
                // Nothing of it goes back: the reserve fills by itself.
                self.paid(stream, tokens, None);
            }
            Admission::Refused(refusal) => {
                self.limits.counts.entry(workspace).or_default().refused += 1;
                let Some(mut exchange) = self.exchanges.remove(&stream) else {
                    return;
                };
                if let Phase::Paying(attempt) = exchange.take() {
                    let failure = Failure::new(refusal.kind, "the workspace has used its limit");
                    let failure = failure.retry(refusal.retry_after);
                    self.end(exchange, attempt, failure);
                }
            }
        }
    }

    /// Sends on a request that is paid for; `charge` is what may go back.
    fn paid(&mut self, stream: Stream, tokens: u64, charge: Option<Charge>) {
        let Some(exchange) = self.exchanges.get_mut(&stream) else {
            return;
        };
        let workspace = exchange.request.workspace.clone();
        self.limits.counts.entry(workspace).or_default().granted += tokens;
        exchange.charge = charge;
        if let Phase::Paying(attempt) = exchange.take() {
            exchange.phase = Phase::Fresh(attempt);
            self.route(stream);
        }
    }

    /// Gives back what a request was charged and is known not to have used.
    pub(crate) fn credit(&mut self, charge: Option<Charge>, end: Option<&Part>, prompt: u64) {
        let now = self.clock.now();
        let Some(charge) = charge else {
            return;
        };
        let used = match end {
            Some(Part::Failure(failure)) if failure.kind.fate() == Fate::NotRun => 0,
            Some(Part::End { length, .. }) => prompt + length / BYTES_PER_TOKEN,
            _ => charge.tokens(),
        };
        self.limits.holder.credit(now, charge, used);
    }

    /// Takes a message of another entry about limits.
    pub(crate) fn limit_message(&mut self, link: &Link, bytes: &[u8]) {
        let now = self.clock.now();
        match serde_json::from_slice(bytes) {
            Ok(Message::Ask(ask)) => {
                if let Some(grants) = self.grant(now, &link.instance, &ask) {
                    self.send(link.session, frame(&Message::Grants(grants)));
                }
            }
            Ok(Message::Grants(grants)) => {
                self.limits.holder.apply_grants(now, &grants);
                self.pay_all();
            }
            Err(error) => log::warn!(target: "entry", error:% = error; "malformed limits"),
        }
    }

    fn grant(&mut self, now: Monotonic, from: &InstanceId, ask: &Ask) -> Option<Grants> {
        let checked = self.configurations.in_force()?;
        let limit = |workspace: &WorkspaceId| limit(checked, workspace);
        let limits = &mut self.limits;
        limits.home.grant(now, &limits.view, from, ask, limit)
    }

    fn pay_all(&mut self) {
        let paying = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| matches!(exchange.phase, Phase::Paying(_)));
        let paying: Vec<Stream> = paying.map(|(stream, _)| *stream).collect();
        for stream in paying {
            self.pay(stream);
        }
    }

    /// Follows membership, asks homes for what is due, and ends what waited long enough.
    pub(crate) fn tick_limits(&mut self, now: Monotonic) {
        let limits = &mut self.limits;
        limits.view.tick(now);
        limits.reserve.tick(now);
        limits.home.tick(now, &limits.view);
        self.ask_homes(now);
        self.pay_all();
        let kept = |_: &InstanceId, used: &mut Monotonic| now < *used + HOME_KEPT;
        let before = self.limits.homes.len();
        self.limits.homes.retain(kept);
        if self.limits.homes.len() != before {
            self.want();
        }
    }

    /// Asks each home for what is due there; this entry answers itself.
    pub(crate) fn ask_homes(&mut self, now: Monotonic) {
        let limits = &mut self.limits;
        let mut known = true;
        for (home, ask) in limits.holder.due_asks(now, &limits.view) {
            if home == self.settings.instance {
                if let Some(grants) = self.grant(now, &home, &ask) {
                    self.limits.holder.apply_grants(now, &grants);
                }
                continue;
            }
            known &= self.limits.homes.insert(home.clone(), now).is_some();
            if let Some(link) = self.fleet.links().to(&home) {
                self.send(link.session, frame(&Message::Ask(ask)));
            }
        }
        if !known {
            self.want();
        }
    }

    /// Takes the published entries and those that live.
    pub(crate) fn see_entries(&mut self, now: Monotonic) {
        let Some(checked) = self.configurations.in_force() else {
            return;
        };
        let published: BTreeSet<InstanceId> = checked.fleet().entries.keys().cloned().collect();
        let view = self.fleet.view();
        let me = &self.settings.instance;
        let lives = |name: &&InstanceId| *name == me || view.status(name, now).is_live;
        let live: BTreeSet<InstanceId> = published.iter().filter(lives).cloned().collect();
        let entries = Some((published, live));
        if entries != self.limits.entries {
            if let Some((published, live)) = &entries {
                self.limits.view.observe(now, published, live);
                self.limits.reserve.observe(now, published.len());
            }
            self.limits.entries = entries;
        }
    }
}

/// Returns the limit of a published workspace under the preset in force.
fn limit(checked: &Checked, workspace: &WorkspaceId) -> Option<Limit> {
    let published = checked.workspaces().workspaces.get(workspace)?;
    Some(Limit::of(published, checked.preset().limit_factor))
}

/// Bytes of text taken for a token.
const BYTES_PER_TOKEN: u64 = 4;

fn frame(message: &Message) -> Frame {
    let bytes = serde_json::to_vec(message).unwrap_or_default();
    Frame::Control(Control {
        topic: Topic::Limits,
        bytes: Bytes::from(bytes),
    })
}
