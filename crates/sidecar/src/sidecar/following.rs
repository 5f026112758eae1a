//! Follower role: reports the own rank to the leader and carries out its orders. The sidecar next to rank 1 is the
//! standby, which also ends or completes a hold when the leader has gone silent.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::layout::Base;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::layout::Update;
use auburnline_lockstep::message::Command;
use auburnline_lockstep::message::Counts;
use auburnline_lockstep::message::Message;
use auburnline_lockstep::message::RankReport;
use auburnline_lockstep::rank::Epoch;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Switch;
use auburnline_lockstep::rank::Version;

use super::KnownLeader;
use super::REPORT_PERIOD;
use super::Sidecar;
use crate::engine::Engine;

/// Time of fast polling at the standby after the notice of a hold: until the hold is over, or the leader was silent
/// long enough for the standby to act.
pub(super) const FAST_POLL_TIME_HOLD: Duration = Duration::from_millis(600);
/// Age at which the leader's last heartbeat is no longer valid.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Fields of a rank's state that a map change waits for. Within [`REPORT_PERIOD`] a report without expert counts is
/// sent only if one of them differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChangeState {
    epoch: Epoch,
    version: Version,
    prepared: Option<Version>,
    armed: Option<Switch>,
    held: Option<Step>,
    is_unresponsive: bool,
}

impl ChangeState {
    fn of(state: &State) -> ChangeState {
        ChangeState {
            epoch: state.epoch,
            version: state.version,
            prepared: state.prepared,
            armed: state.armed,
            held: state.held,
            is_unresponsive: state.is_unresponsive,
        }
    }
}

impl<E: Engine> Sidecar<E> {
    pub(super) async fn report(&mut self, mut report: RankReport) {
        let now = self.clock.now();
        let is_fresh = |leader: &KnownLeader| now.saturating_sub(leader.heard) < LEADER_TIMEOUT;
        self.act_as_standby(&report.state, now).await;
        let leader = self.known_leader.filter(is_fresh);
        let Some(address) = self.report_to.or(leader.map(|leader| leader.address)) else {
            return;
        };
        if let Some(aggregator) = leader.and_then(|leader| leader.aggregator) {
            self.send_counts(&mut report, aggregator).await;
        }
        let state = ChangeState::of(&report.state);
        let is_reported = self.last_report.is_some_and(|(reported, at)| {
            reported == state && now.saturating_sub(at) < REPORT_PERIOD && report.held.is_none()
        });
        if is_reported && report.activations.is_empty() {
            return;
        }
        self.last_report = Some((state, now));
        self.send(&Message::RankReport(report), address).await;
    }

    /// Moves the expert counts out of `report` and sends them to `aggregator`; they stay if that is this sidecar.
    async fn send_counts(&self, report: &mut RankReport, aggregator: SocketAddr) {
        let activations = std::mem::take(&mut report.activations);
        if activations.is_empty() || aggregator == self.settings.peers {
            report.activations = activations;
            return;
        }
        let counts = Counts {
            group: report.group.clone(),
            epoch: report.state.epoch,
            activations,
        };
        self.send(&Message::Counts(counts), aggregator).await;
    }

    /// As the standby, ends a hold whose leader is silent, or completes the change if ranks may be armed.
    async fn act_as_standby(&mut self, own: &State, now: Monotonic) {
        self.standby.observe(own);
        let Some(notice) = self.standby.due_hold(own, now).cloned() else {
            return;
        };
        self.fast_poll_until = now + FAST_POLL_TIME_HOLD;
        let group = notice.group.as_str();
        let epoch = notice.epoch;
        if let Some(step) = self.standby.end_hold(own) {
            log::info!(target: "experts", group, epoch, step; "hold ended, leader is silent");
            self.order(epoch, Order::Release(step), None).await;
            return;
        }
        let orders = self.standby.orders(own);
        if !orders.is_empty() {
            let step = notice.switch.step;
            log::info!(target: "experts", group, epoch, step, orders = orders.len(); "standby completes the change, leader is silent");
        }
        for (rank, order) in orders {
            if rank == own.rank {
                self.order(epoch, order, None).await;
            } else if let Some((_, address)) = notice.sidecars.iter().find(|(of, _)| *of == rank) {
                let command = Command {
                    group: notice.group.clone(),
                    epoch,
                    order,
                    layout: None,
                    report_to: None,
                };
                self.send(&Message::Command(command), *address).await;
            }
        }
    }

    /// Returns the layout that comes with an order, and stores it.
    ///
    /// # Errors
    ///
    /// Returns the version that the layout is based on if that map is not known here.
    fn resolve_layout(
        &mut self,
        order: Order,
        update: Option<Update>,
    ) -> Result<Option<Layout>, Version> {
        let (Order::Prepare(version), Some(update)) = (order, update) else {
            return Ok(None);
        };
        let base = update.base();
        let built_on = match base {
            Some(Base::Sent(version)) => Some(version),
            Some(Base::Initial { .. }) | None => None,
        };
        let Some(layout) = update.resolve(&self.layouts) else {
            return Err(built_on.unwrap_or_default());
        };
        // The map in force is the base of this one; others are left over from aborted changes.
        self.layouts.retain(|(known, _)| Some(*known) == built_on);
        self.layouts.push((version, layout.clone()));
        Ok(Some(layout))
    }

    /// Forwards an order of the leader or the standby to the own engine, and reports the resulting state.
    pub(super) async fn execute(&mut self, command: Command, from: SocketAddr) {
        let report_to = command.report_to.unwrap_or(from);
        let is_ours = self.group.as_ref() == Some(&command.group);
        if !is_ours || self.epoch != Some(command.epoch) {
            return;
        }
        if let Order::Arm(switch) = command.order
            && !self.standby.may_arm(command.epoch, switch)
        {
            log::info!(target: "experts", group = command.group.as_str(), epoch = command.epoch, step = switch.step; "order to arm refused, the hold was ended");
            // The order that ended the hold may have been lost, and a leader that is back waits for this rank.
            self.order(command.epoch, Order::Release(switch.step), None)
                .await;
            return;
        }
        let layout = match self.resolve_layout(command.order, command.layout) {
            Ok(layout) => layout,
            Err(base) => {
                // The leader sends the full map once it sees that nothing is copied here.
                log::info!(target: "experts", group = command.group.as_str(), base, order:? = command.order; "base map of the order is not known");
                return;
            }
        };
        self.order(command.epoch, command.order, layout.as_ref())
            .await;
        self.poll_fast_after(command.order);
        self.last_report = None;
        self.report_to = Some(report_to);
        self.poll().await;
        self.report_to = None;
    }
}
