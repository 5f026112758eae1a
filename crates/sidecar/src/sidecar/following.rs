//! What the other sidecars do: they show their ranks to the one that leads, carry its orders out, and the one
//! beside rank 1 sees a hold through whose lead fell silent.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::layout::Base;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::layout::Parcel;
use auburnline_lockstep::message::Command;
use auburnline_lockstep::message::Counts;
use auburnline_lockstep::message::Message;
use auburnline_lockstep::message::Show;
use auburnline_lockstep::sight::Epoch;
use auburnline_lockstep::sight::Sight;
use auburnline_lockstep::sight::Switch;
use auburnline_lockstep::sight::Version;

use super::KnownLeader;
use super::REPORT_PERIOD;
use super::Sidecar;
use crate::engine::Engine;
use crate::order::send_order;

/// Time for which the deputy's looks stay quick after a hold was pledged: until it is over, or its lead is silent for
/// long enough.
pub(super) const FAST_POLL_TIME_HOLD: Duration = Duration::from_millis(600);
/// Age at which the word of the one that leads is forgotten.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// What a change waits for at one rank; between two slow looks a word is sent only when it differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct State {
    epoch: Epoch,
    version: Version,
    prepared: Option<Version>,
    armed: Option<Switch>,
    held: Option<Step>,
}

impl State {
    fn of(sight: &Sight) -> State {
        State {
            epoch: sight.epoch,
            version: sight.version,
            prepared: sight.prepared,
            armed: sight.armed,
            held: sight.held,
        }
    }
}

impl<E: Engine> Sidecar<E> {
    pub(super) async fn report(&mut self, mut show: Show) {
        let now = self.clock.now();
        let is_fresh = |leader: &KnownLeader| now.saturating_sub(leader.heard) < LEADER_TIMEOUT;
        self.act_as_standby(&show.sight, now).await;
        let leader = self.known_leader.filter(is_fresh);
        let Some(address) = self.report_to.or(leader.map(|leader| leader.address)) else {
            return;
        };
        if let Some(collector) = leader.and_then(|leader| leader.collector) {
            self.send_counts(&mut show, collector).await;
        }
        let state = State::of(&show.sight);
        let is_reported = self.last_report.is_some_and(|(reported, at)| {
            reported == state && now.saturating_sub(at) < REPORT_PERIOD && show.held.is_none()
        });
        if is_reported && show.choices.is_empty() {
            return;
        }
        self.last_report = Some((state, now));
        self.send(&Message::Show(show), address).await;
    }

    /// Gives the counts of the own rank to the sidecar that collects them.
    async fn send_counts(&self, show: &mut Show, collector: SocketAddr) {
        let choices = std::mem::take(&mut show.choices);
        if choices.is_empty() || collector == self.settings.peers {
            show.choices = choices;
            return;
        }
        let counts = Counts {
            group: show.group.clone(),
            epoch: show.sight.epoch,
            choices,
        };
        self.send(&Message::Counts(counts), collector).await;
    }

    /// As the deputy, ends a hold whose lead fell silent, or takes the change forward if ranks may be armed.
    async fn act_as_standby(&mut self, own: &Sight, now: Monotonic) {
        self.deputy.see(own);
        let Some(pledge) = self.deputy.due(own, now).cloned() else {
            return;
        };
        self.fast_poll_until = now + FAST_POLL_TIME_HOLD;
        let group = pledge.group.as_str();
        let epoch = pledge.epoch;
        if let Some(step) = self.deputy.end(own) {
            log::info!(target: "experts", group, epoch, step; "hold ended, its lead is silent");
            send_order(&self.engine, epoch, Order::Release(step), None).await;
            return;
        }
        let orders = self.deputy.orders(own);
        if !orders.is_empty() {
            let step = pledge.switch.step;
            log::info!(target: "experts", group, epoch, step, orders = orders.len(); "standing in");
        }
        for (rank, order) in orders {
            if rank == own.rank {
                send_order(&self.engine, epoch, order, None).await;
            } else if let Some((_, address)) = pledge.sidecars.iter().find(|(of, _)| *of == rank) {
                let command = Command {
                    group: pledge.group.clone(),
                    epoch,
                    order,
                    layout: None,
                    reports_to: None,
                };
                self.send(&Message::Command(command), *address).await;
            }
        }
    }

    /// Returns the layout that comes with an order, and keeps it; the version that it builds on if that is not
    /// known here.
    fn resolve_layout(
        &mut self,
        order: Order,
        parcel: Option<Parcel>,
    ) -> Result<Option<Layout>, Version> {
        let (Order::Prepare(version), Some(parcel)) = (order, parcel) else {
            return Ok(None);
        };
        let base = parcel.base();
        let built_on = match base {
            Some(Base::Sent(version)) => Some(version),
            Some(Base::Initial { .. }) | None => None,
        };
        let Some(layout) = parcel.open(&self.layouts) else {
            return Err(built_on.unwrap_or_default());
        };
        // A change that is given up leaves its map behind; the one in force is the one built on.
        self.layouts.retain(|(known, _)| Some(*known) == built_on);
        self.layouts.push((version, layout.clone()));
        Ok(Some(layout))
    }

    /// Passes an order of the one that leads or its deputy on, and shows what came of it.
    pub(super) async fn execute(&mut self, command: Command, from: SocketAddr) {
        let reports_to = command.reports_to.unwrap_or(from);
        let is_ours = self.group.as_ref() == Some(&command.group);
        if !is_ours || self.epoch != Some(command.epoch) {
            return;
        }
        if let Order::Arm(switch) = command.order
            && !self.deputy.may_arm(command.epoch, switch)
        {
            log::info!(target: "experts", group = command.group.as_str(), epoch = command.epoch, step = switch.step; "not armed, the hold was ended");
            // The order that ended it may have been lost, and the lead that lives again waits for this rank.
            send_order(
                &self.engine,
                command.epoch,
                Order::Release(switch.step),
                None,
            )
            .await;
            return;
        }
        let layout = match self.resolve_layout(command.order, command.layout) {
            Ok(layout) => layout,
            Err(base) => {
                // The lead sends all of it once it sees that nothing is copied here.
                log::info!(target: "experts", group = command.group.as_str(), base, order:? = command.order; "map not known");
                return;
            }
        };
        send_order(&self.engine, command.epoch, command.order, layout.as_ref()).await;
        self.poll_fast_after(command.order);
        self.last_report = None;
        self.report_to = Some(reports_to);
        self.poll().await;
        self.report_to = None;
    }
}
