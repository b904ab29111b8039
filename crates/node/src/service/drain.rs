//! Draining a node: it migrates its clients, but keeps running and may serve again.
//!
//! A drain is a state of the node and not of one process. While a process replaces another, both follow it:
//! the process that is ordered to drain, or to serve again, tells the other ones (see [`crate::handover`]).

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
#[derive(Default)]
pub(crate) struct DrainState {
    /// When the drain started; `None` if the node is in service.
    since: Option<Time>,
    /// The number of the current or last drain.
    number: u32,
}

impl Service {
    /// Starts a drain on an order to this process, and returns whether the node drains or leaves. A repeated
    /// order does not restart the drain. A process that is replaced leaves orders to its successor.
    pub(crate) fn drain(&mut self) -> bool {
        if self.handover.is_replaced() {
            return false;
        }
        self.start_drain(self.now, None);
        true
    }

    /// Ends a drain on an order to this process, and returns whether the node serves or will serve; a
    /// replaced or leaving process cannot.
    pub(crate) fn activate(&mut self) -> bool {
        let is_leaving = matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left);
        if is_leaving || self.handover.is_replaced() {
            return false;
        }
        self.stop_drain(None);
        true
    }

    /// Follows a change that another process of this node reports.
    pub(crate) fn follow_drain_change(&mut self, change: DrainChange, sender: ConnectionId) {
        match change {
            DrainChange::Started { elapsed } => self.start_drain(self.now - elapsed, Some(sender)),
            DrainChange::Ended => self.stop_drain(Some(sender)),
        }
    }

    /// Continues the drain that the predecessor has started, if there is one.
    pub(super) fn inherit_drain(&mut self, elapsed: Option<Span>) {
        if let Some(elapsed) = elapsed {
            info!("continuing the predecessor's drain");
            self.start_drain(self.now - elapsed, None);
        }
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

    /// Starts a drain at `since`, which may have passed, and tells the node's other processes except the
    /// `sender`. Does nothing while a drain is active.
    fn start_drain(&mut self, since: Time, sender: Option<ConnectionId>) {
        if self.is_draining() {
            return;
        }
        info!(calls = self.calls.len(), "draining");
        self.drain.since = Some(since);
        self.drain.number += 1;
        let number = self.drain.number;
        self.timers.set(since + NEW_CLIENTS_AFTER_DRAIN, TimerEvent::DrainStart(number));
        self.timers.set(since + DRAIN_TIME, TimerEvent::DrainEnd(number));
        self.report_drain_change(DrainChange::Started { elapsed: self.now.since(since) }, sender);
    }

    /// Ends the drain, and tells the node's other processes except the `sender`. Does nothing if no drain is
    /// active.
    fn stop_drain(&mut self, sender: Option<ConnectionId>) {
        if self.drain.since.take().is_none() {
            return;
        }
        info!(calls = self.calls.len(), "drain ended, active again");
        self.report_drain_change(DrainChange::Ended, sender);
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

    /// When the drain with this number started, if it is active. Timers of an earlier drain may still expire
    /// after its end, also during the next one.
    fn current_drain(&self, number: u32) -> Option<Time> {
        self.drain.since.filter(|_| self.drain.number == number)
    }

    fn open_calls(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, in_flight)| in_flight.stage == CallStage::Open);
        open.map(|(number, _)| CallId(number)).collect()
    }
}
