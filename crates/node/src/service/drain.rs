//! Draining: the node sends its clients away, but stays and may serve again.

use glendeck::domain::{AttemptOutcome, CallId, Span};
use tracing::info;

use super::Service;
use crate::call::CallStage;
use crate::lifecycle::Phase;
use crate::timers::TimerEvent;

/// After a call to drain the front asks within 0.1 s and sends new clients for 0.2 s more.
pub(super) const NEW_CLIENTS_AFTER_DRAIN: Span = Span::ms(350);

/// Clients that are connected when the front stops are sent away by now, each at its own moment.
const CONNECTED_MIGRATION_TIME: Span = Span::ms(3_000);

/// Clients whose calls waited are sent away by now; operators look at a drained node after 4 s.
pub(super) const DRAIN_TIME: Span = Span::ms(3_600);

impl Service {
    /// Begins to drain, and says whether the node does. Told again, it goes on as it was.
    pub(crate) fn drain(&mut self) -> bool {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!(calls = self.calls.len(), "draining");
            self.phase = Phase::Draining { since: self.now };
            self.drain_number += 1;
            self.timers.set(self.now + NEW_CLIENTS_AFTER_DRAIN, TimerEvent::DrainStart(self.drain_number));
            self.timers.set(self.now + DRAIN_TIME, TimerEvent::DrainEnd(self.drain_number));
        }
        // A replaced process has nothing to drain, and one that leaves sends its clients away anyhow.
        self.phase != Phase::Replaced
    }

    /// Ends a drain, and says whether the node serves or will; one that is leaving cannot come back.
    pub(crate) fn activate(&mut self) -> bool {
        if let Phase::Draining { .. } = self.phase {
            info!(calls = self.calls.len(), "active again");
            self.phase = Phase::Starting;
            self.serve_if_ready();
        }
        !matches!(self.phase, Phase::Replaced | Phase::Leaving { .. } | Phase::Flushing | Phase::Left)
    }

    /// Whether everything that a drain waits for has gone.
    pub(crate) fn is_drained(&self) -> bool {
        let Phase::Draining { since } = self.phase else { return false };
        self.now >= since + DRAIN_TIME && self.calls.is_empty()
    }

    /// The front sends no more: the clients that are connected go one by one.
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

    /// The moment of one client has come.
    pub(super) fn drain_client(&mut self, number: u32, call: CallId) {
        if self.is_current_drain(number) {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
    }

    /// Whoever is still connected goes now.
    pub(super) fn end_drain(&mut self, number: u32) {
        if !self.is_current_drain(number) {
            return;
        }
        for call in self.open_calls() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
        info!(calls = self.calls.len(), "drained");
    }

    /// Timers of an earlier drain are still set after its end, and during the next one.
    fn is_current_drain(&self, number: u32) -> bool {
        matches!(self.phase, Phase::Draining { .. }) && self.drain_number == number
    }

    fn open_calls(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, in_flight)| in_flight.stage == CallStage::Open);
        open.map(|(number, _)| CallId(number)).collect()
    }
}
