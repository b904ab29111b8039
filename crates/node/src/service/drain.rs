//! Draining a node: it migrates its clients, but keeps running and may serve again.
//!
//! A drain is a state of the node and not of one process. While a process replaces another, both follow it:
//! the process that is ordered to drain, or to serve again, tells the other ones (see [`crate::handover`]).
//! Changes are numbered, so that orders to two of them at the same time leave all with the same state.

#[cfg(test)]
mod tests;

use glendeck::domain::{AttemptOutcome, CallId, Span, Time};
use tracing::info;

use super::Service;
use crate::call::CallStage;
use crate::handover::DrainChange;
use crate::lifecycle::Phase;
use crate::socket::ConnectionId;
use crate::timers::TimerEvent;

/// Time from the start of a drain until the front-end balancer has stopped sending new clients: it checks the
/// node within 0.1 s, and may send clients for another 0.2 s.
const NEW_CLIENTS_AFTER_DRAIN: Span = Span::ms(350);

/// Time from the start of a drain until the clients that were connected when the front-end balancer stopped
/// are migrated; their migrations are spread evenly.
const CONNECTED_MIGRATION_TIME: Span = Span::ms(3_000);

/// Time from the start of a drain until all clients are migrated, including those whose calls were waiting;
/// operators check a drained node after 4 s.
const DRAIN_TIME: Span = Span::ms(3_600);

/// Whether operators, or the fleet, have taken the node out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DrainState {
    /// When the drain started; `None` if the node is in service.
    since: Option<Time>,
    /// How often the state has changed since the node's first process started. So it is odd during a drain,
    /// and two processes that give the same number to a change have the same state.
    number: u32,
}

impl DrainState {
    /// Changes the state on an order to this process. Returns whether it has changed.
    fn order(&mut self, since: Option<Time>) -> bool {
        let has_changed = self.since.is_some() != since.is_some();
        if has_changed {
            *self = DrainState { since, number: self.number + 1 };
        }
        has_changed
    }

    /// Follows a change that another process reports, unless a later one is known. Returns whether the state
    /// has changed.
    fn follow(&mut self, change: DrainChange, now: Time) -> bool {
        let is_later = change.number() > self.number;
        if is_later {
            let since = match change {
                DrainChange::Started { elapsed, .. } => Some(now - elapsed),
                DrainChange::Ended { .. } => None,
            };
            *self = DrainState { since, number: change.number() };
        }
        is_later
    }

    /// The last change, as it is reported to other processes.
    fn last_change(&self, now: Time) -> DrainChange {
        let number = self.number;
        match self.since {
            Some(since) => DrainChange::Started { number, elapsed: now.since(since) },
            None => DrainChange::Ended { number },
        }
    }
}

impl Service {
    /// Starts a drain on an order to this process, and returns whether the node drains or leaves. A repeated
    /// order does not restart the drain. A process that is replaced leaves orders to its successor.
    pub(crate) fn drain(&mut self) -> bool {
        if self.handover.is_replaced() {
            return false;
        }
        if self.drain.order(Some(self.now)) {
            self.drain_changed(None);
        }
        true
    }

    /// Ends a drain on an order to this process, and returns whether the node serves or will serve; a
    /// replaced or leaving process cannot.
    pub(crate) fn activate(&mut self) -> bool {
        let is_leaving = matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left);
        if is_leaving || self.handover.is_replaced() {
            return false;
        }
        if self.drain.order(None) {
            self.drain_changed(None);
        }
        true
    }

    /// Follows a change that another process of this node reports.
    pub(crate) fn follow_drain_change(&mut self, change: DrainChange, sender: ConnectionId) {
        if self.drain.follow(change, self.now) {
            self.drain_changed(Some(sender));
        }
    }

    /// Continues the drain that the predecessor has started, if there is one. A predecessor of an early version
    /// does not number its changes.
    pub(super) fn inherit_drain(&mut self, elapsed: Option<Span>, number: Option<u32>) {
        self.drain.number = number.unwrap_or(u32::from(elapsed.is_some()));
        if let Some(elapsed) = elapsed {
            info!("continuing the predecessor's drain");
            self.drain.since = Some(self.now - elapsed);
            self.drain_changed(None);
        }
    }

    /// The number of the drain's last change.
    pub(crate) fn drain_number(&self) -> u32 {
        self.drain.number
    }

    /// Whether the node is draining or has drained.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.since.is_some()
    }

    /// Time since the start of the drain; `None` if the node is in service.
    pub(crate) fn drain_elapsed(&self) -> Option<Span> {
        self.drain.since.map(|since| self.now.since(since))
    }

    /// Whether the drain is complete: its time has passed, and no process of the node holds a call.
    pub(crate) fn is_drained(&self) -> bool {
        let is_leaving = matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left);
        let is_time_over = self.drain_elapsed().is_some_and(|elapsed| elapsed >= DRAIN_TIME);
        is_time_over && !is_leaving && self.calls.is_empty() && !self.predecessor_holds_connections()
    }

    /// Acts on a change of the drain, and tells the node's other processes except the `sender`.
    fn drain_changed(&mut self, sender: Option<ConnectionId>) {
        self.report_drain_change(self.drain.last_change(self.now), sender);
        match self.drain.since {
            Some(since) => self.schedule_drain(since),
            None => self.return_to_service(),
        }
    }

    /// Sets the times of a drain that started at `since`, which may have passed.
    fn schedule_drain(&mut self, since: Time) {
        info!(calls = self.calls.len(), "draining");
        let number = self.drain.number;
        self.timers.set(since + NEW_CLIENTS_AFTER_DRAIN, TimerEvent::DrainStart(number));
        self.timers.set(since + DRAIN_TIME, TimerEvent::DrainEnd(number));
    }

    fn return_to_service(&mut self) {
        info!(calls = self.calls.len(), "drain ended, active again");
        if self.phase == Phase::Serving {
            // The hosts may have gone since the drain started.
            self.phase = Phase::Starting;
        }
        self.serve_if_ready();
    }

    /// Spreads the migration of the connected clients, once the front-end balancer sends no more.
    pub(super) fn drain_clients(&mut self, number: u32) {
        let Some(since) = self.current_drain(number) else { return };
        let open = self.open_calls();
        let time_left = (since + CONNECTED_MIGRATION_TIME).since(self.now);
        for (index, call) in open.iter().enumerate() {
            let due = self.now + time_left.times(index as f64 / open.len() as f64);
            self.timers.set(due, TimerEvent::DrainMigrate(number, *call));
        }
    }

    /// Migrates one client in a drain.
    pub(super) fn drain_client(&mut self, number: u32, call: CallId) {
        if self.current_drain(number).is_some() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
    }

    /// Migrates all clients that are still connected.
    pub(super) fn end_drain(&mut self, number: u32) {
        if self.current_drain(number).is_none() {
            return;
        }
        for call in self.open_calls() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
        info!(calls = self.calls.len(), "drained");
    }

    /// Schedules the migration of a call that opens, or is adopted, after the drain has spread the migration
    /// of the connected clients: at a random time in the rest of the drain, at once after its end.
    pub(super) fn schedule_drain_migration(&mut self, call: CallId) {
        let Some(since) = self.drain.since else { return };
        if self.now < since + NEW_CLIENTS_AFTER_DRAIN {
            return;
        }
        let due = self.random_time(self.now, since + DRAIN_TIME);
        self.timers.set(due, TimerEvent::DrainMigrate(self.drain.number, call));
    }

    /// When the drain that began with the change of this number started, if it is active. Timers of an earlier
    /// drain may still expire after its end, also during the next one.
    fn current_drain(&self, number: u32) -> Option<Time> {
        self.drain.since.filter(|_| self.drain.number == number)
    }

    fn open_calls(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, in_flight)| in_flight.stage == CallStage::Open);
        open.map(|(number, _)| CallId(number)).collect()
    }
}
