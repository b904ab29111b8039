//! The end of the process: from SIGTERM until the last answers are sent.

use glendeck::domain::{AttemptOutcome, CallId, Span};
use tracing::info;

use super::Service;
use super::drain::{ALL_GONE, CLIENTS_STILL_COME};
use crate::clients::ACCEPT_RETRY_DELAY;
use crate::lifecycle::Phase;
use crate::protocol::Answer;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};
use crate::timers::TimerEvent;

/// The front goes on sending new clients for up to 0.4 s after the node was told to leave.
const CLIENTS_COME_AFTER_TERM: Span = Span::ms(450);

/// After this nobody comes, and the listening socket closes. Where the successor listens beside this process,
/// the kernel would go on dealing connections to both.
const STOP_ACCEPTING: Span = Span::ms(600);

/// A drained node exits this long after it stops accepting.
const EXIT_AFTER_STOP: Span = Span::ms(50);

/// The platform kills no sooner than the longest deadline, 3 s at most, and 0.7 s after that.
const MAX_DEADLINE_WAIT: Span = Span::ms(3_000);

/// How long the process goes on after the longest deadline.
const AFTER_DEADLINES: Span = Span::ms(400);

/// Clients that open while the node leaves are migrated within this long.
const LATE_MIGRATIONS: Span = Span::ms(300);

/// Connections go over to the successor within milliseconds; those that have not by then are migrated.
const HANDOVER_TIME: Span = Span::ms(200);

/// The last clients are migrated this long before the exit, so that their connections can end in order.
pub(super) const LAST_MIGRATIONS: Span = Span::ms(500);

/// After its last answers the process waits this long for its clients to end: the platform kills 0.3 s after
/// the last answers, at the soonest.
const FLUSH: Span = Span::ms(150);

/// All clients are migrated within this time before the last ones: as much as those of a leaving host get, so
/// that setups elsewhere are spread. They do not go earlier, as in a rolling restart the node restarted
/// before this one may not be back yet, and they would have nowhere to go.
const MIGRATIONS: Span = Span::ms(1_000);

impl Service {
    /// Told to end: sets the time of the exit and spreads the migration of all clients over the time before.
    pub(super) fn leave(&mut self) {
        if matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left) {
            return;
        }
        let until = self.now + self.config.longest_guard.min(MAX_DEADLINE_WAIT) + AFTER_DEADLINES;
        self.phase = Phase::Leaving { until };
        info!(calls = self.calls.len(), "leaving");
        self.timers.set(until, TimerEvent::Exit);
        self.timers.set(self.now + STOP_ACCEPTING, TimerEvent::StopAccepting);
        let is_replaced = self.handover.is_replaced();
        let first = if is_replaced {
            // The successor serves already, so only what cannot be handed over is migrated, without delay.
            self.now + HANDOVER_TIME
        } else {
            (until - LAST_MIGRATIONS - MIGRATIONS).max(self.now + CLIENTS_COME_AFTER_TERM)
        };
        let time_left = (until - LAST_MIGRATIONS).since(first);
        let calls = self.call_ids();
        for (index, call) in calls.iter().enumerate() {
            let due = first + time_left.times(index as f64 / calls.len() as f64);
            self.timers.set(due, TimerEvent::Migrate(*call));
        }
        if is_replaced {
            self.hand_over_calls();
            self.check_idle_exit();
        }
    }

    /// Leaves a drained node as SIGTERM does, and exits early if no client is left.
    pub(crate) fn leave_drained(&mut self) {
        self.leave();
        if self.calls.is_empty() {
            self.timers.set(self.now + STOP_ACCEPTING + EXIT_AFTER_STOP, TimerEvent::Exit);
        }
    }

    /// A replaced process exits once its last call has ended or gone over.
    pub(super) fn check_idle_exit(&mut self) {
        let is_used = |socket: &SocketEntry| {
            matches!(socket.role, SocketRole::Client(_) | SocketRole::Host(_) | SocketRole::Closing)
        };
        let is_busy = !self.calls.is_empty() || self.sockets.iter().any(|(_, socket)| is_used(socket));
        if is_busy {
            self.timers.set(self.now + HANDOVER_TIME, TimerEvent::CheckIdleExit);
        } else {
            self.exit();
        }
    }

    /// A call that opens while the node sends its clients away is migrated with the last ones, each at a
    /// random moment: those that are sent away together come back together.
    pub(crate) fn schedule_late_migration(&mut self, call: CallId) {
        let (first, last) = match self.phase {
            Phase::Leaving { .. } if self.handover.is_replaced() => return self.hand_over_call(call),
            Phase::Leaving { until } => (until - LAST_MIGRATIONS - LATE_MIGRATIONS, until - LAST_MIGRATIONS),
            Phase::Draining { since } if self.now >= since + CLIENTS_STILL_COME => {
                (self.now, since + ALL_GONE)
            }
            _ => return,
        };
        let first = first.max(self.now + Span::ms(1));
        let due = first + last.since(first).times(self.random_fraction());
        let event = match self.phase {
            Phase::Draining { .. } => TimerEvent::DrainMigrate(self.drain_number, call),
            _ => TimerEvent::Migrate(call),
        };
        self.timers.set(due, event);
    }

    /// The front sends nobody any more. Connections that wait in the listening socket's queue would be reset
    /// by its close, so all of them are accepted first, as descriptors become free.
    pub(super) fn stop_accepting(&mut self) {
        if !matches!(self.phase, Phase::Leaving { .. }) || self.handover.is_replaced() {
            return;
        }
        // A process that never served leaves the queue to its predecessor.
        if self.accepts_connections() && !self.accept() {
            return self.timers.set(self.now + ACCEPT_RETRY_DELAY, TimerEvent::StopAccepting);
        }
        self.listener = None;
    }

    /// Answers all calls. When the process ends, bytes that are not sent are lost, and bytes that are not
    /// read reset their connection and with that the answer before them; hence [`Phase::Flushing`].
    pub(super) fn exit(&mut self) {
        if matches!(self.phase, Phase::Flushing | Phase::Left) {
            return;
        }
        for call in self.call_ids() {
            self.answer_before_exit(call);
        }
        if self.accepts_connections() && self.listener.is_some() {
            self.accept();
        }
        self.listener = None;
        let unopened = self.sockets.iter().filter(|(_, socket)| socket.role == SocketRole::Client(None));
        let unopened: Vec<ConnectionId> = unopened.map(|(number, _)| ConnectionId(number)).collect();
        self.phase = Phase::Flushing;
        for id in unopened {
            self.end_idle(id);
        }
        self.timers.set(self.now + FLUSH, TimerEvent::FlushTimeout);
    }

    fn answer_before_exit(&mut self, id: CallId) {
        self.migrate_call(id, AttemptOutcome::Canceled);
        let Some(in_flight) = self.calls.get(id.0) else { return };
        if in_flight.stage.is_established() {
            return;
        }
        // Its deadline is over by now, or it never had an attempt.
        let never_ran = in_flight.attempt_count == 0 && !in_flight.awaits_lookup();
        self.answer_call(id, if never_ran { Answer::Busy(None) } else { Answer::Error });
    }

    /// Whether a client may still have to receive its answer.
    pub(super) fn has_unsent_answers(&self) -> bool {
        let is_client =
            |socket: &SocketEntry| matches!(socket.role, SocketRole::Client(_) | SocketRole::Closing);
        self.sockets.iter().any(|(_, socket)| is_client(socket))
    }

    /// All answers have been sent, or have had their time.
    pub(super) fn finish(&mut self) {
        if self.phase == Phase::Flushing {
            self.write_work_handover();
            info!("left");
            self.phase = Phase::Left;
        }
    }

    fn call_ids(&self) -> Vec<CallId> {
        self.calls.iter().map(|(number, _)| CallId(number)).collect()
    }
}
