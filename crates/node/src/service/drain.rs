//! Draining a node: it migrates its clients, but keeps running and may serve again.

use glendeck::domain::{AttemptOutcome, CallId, Span};
use tracing::info;

use super::Service;
use crate::call::CallStage;
use crate::lifecycle::Phase;
use crate::timers::TimerEvent;

/// Time from the start of a drain until the front-end balancer has stopped sending new clients: it checks the
/// node within 0.1 s, and may send clients for another 0.2 s.
pub(super) const NEW_CLIENTS_AFTER_DRAIN: Span = Span::ms(350);

/// Time from the start of a drain until the clients that were connected when the front-end balancer stopped
/// are migrated; their migrations are spread evenly.
const CONNECTED_MIGRATION_TIME: Span = Span::ms(3_000);

/// Time from the start of a drain until all clients are migrated, including those whose calls were waiting;
/// operators check a drained node after 4 s.
pub(super) const DRAIN_TIME: Span = Span::ms(3_600);

impl Service {
    /// Starts a drain, and returns false if the process is replaced. A repeated request does not restart the
    /// drain.
    pub(crate) fn drain(&mut self) -> bool {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!(calls = self.calls.len(), "draining");
            self.phase = Phase::Draining { since: self.now };
            self.drain_number += 1;
            self.timers.set(self.now + NEW_CLIENTS_AFTER_DRAIN, TimerEvent::DrainStart(self.drain_number));
            self.timers.set(self.now + DRAIN_TIME, TimerEvent::DrainEnd(self.drain_number));
        }
        // A replaced process has nothing to drain, and one that is leaving migrates its clients anyway.
        self.phase != Phase::Replaced
    }

    /// Ends a drain, and returns whether the node serves or will serve; a replaced or leaving process cannot.
    pub(crate) fn activate(&mut self) -> bool {
        if let Phase::Draining { .. } = self.phase {
            info!(calls = self.calls.len(), "drain ended, active again");
            self.phase = Phase::Starting;
            self.serve_if_ready();
        }
        !matches!(self.phase, Phase::Replaced | Phase::Leaving { .. } | Phase::Flushing | Phase::Left)
    }

    /// Whether the drain is complete: its time has passed and no call is in flight.
    pub(crate) fn is_drained(&self) -> bool {
        let Phase::Draining { since } = self.phase else { return false };
        self.now >= since + DRAIN_TIME && self.calls.is_empty()
    }

    /// Spreads the migration of the connected clients, once the front-end balancer sends no more.
    pub(super) fn drain_clients(&mut self, number: u32) {
        let Phase::Draining { since } = self.phase else { return };
        if !self.is_current_drain(number) {
            return;
        }
        let open = self.open_calls();
        let time_left = (since + CONNECTED_MIGRATION_TIME).since(self.now);
        for (index, call) in open.iter().enumerate() {
            let due = self.now + time_left.times(index as f64 / open.len() as f64);
            self.timers.set(due, TimerEvent::DrainMigrate(number, *call));
        }
    }

    /// Migrates one client in a drain.
    pub(super) fn drain_client(&mut self, number: u32, call: CallId) {
        if self.is_current_drain(number) {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
    }

    /// Migrates all clients that are still connected.
    pub(super) fn end_drain(&mut self, number: u32) {
        if !self.is_current_drain(number) {
            return;
        }
        for call in self.open_calls() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
        info!(calls = self.calls.len(), "drained");
    }

    /// Whether the drain with this number is active. Timers of an earlier drain may still expire after its
    /// end, also during the next one.
    fn is_current_drain(&self, number: u32) -> bool {
        matches!(self.phase, Phase::Draining { .. }) && self.drain_number == number
    }

    fn open_calls(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, in_flight)| in_flight.stage == CallStage::Open);
        open.map(|(number, _)| CallId(number)).collect()
    }
}
