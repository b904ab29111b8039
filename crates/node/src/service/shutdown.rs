//! Shutdown of the process: from SIGTERM, or a request to exit after a drain, until the last answers are
//! sent.

use glendeck::domain::{AttemptOutcome, CallId, Span};
use tracing::info;

use super::Service;
use crate::clients::ACCEPT_RETRY_DELAY;
use crate::lifecycle::Phase;
use crate::protocol::Answer;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};
use crate::timers::TimerEvent;

/// Time from the start of the shutdown until new clients no longer arrive: the front-end balancer goes on
/// sending them for up to 0.4 s.
const NEW_CLIENTS_AFTER_TERM: Span = Span::ms(450);

/// Delay from the start of the shutdown to closing the listening socket; no clients arrive any more by then.
/// If it stayed open and the successor had its own socket on the address, the kernel would go on giving
/// connections to both.
const STOP_ACCEPTING_DELAY: Span = Span::ms(600);

/// Delay from the end of accepting to the exit of a drained node.
const DRAINED_EXIT_DELAY: Span = Span::ms(50);

/// The shutdown waits for the longest call deadline, but at most this long. The platform kills the process no
/// sooner than 0.7 s after the longest deadline, and it counts 3 s if that is longer.
const MAX_DEADLINE_WAIT: Span = Span::ms(3_000);

/// Time that the process goes on after the longest deadline.
const TIME_AFTER_DEADLINES: Span = Span::ms(400);

/// Time over which the migration of clients that open while the node is leaving is spread.
const LATE_MIGRATION_TIME: Span = Span::ms(300);

/// Time for handing connections over to the successor. It takes milliseconds; connections that are left after
/// this time are migrated.
const HANDOVER_TIME: Span = Span::ms(200);

/// The last clients are migrated this long before the exit, so that their connections can be closed in order.
pub(super) const LAST_MIGRATIONS_BEFORE_EXIT: Span = Span::ms(500);

/// Maximum time that the process waits after its last answers for its clients to close. The platform kills
/// the process no sooner than 0.3 s after the last answers.
const FLUSH_TIME: Span = Span::ms(150);

/// Time before the last migrations over which the migration of all clients is spread. It is as long as for
/// the clients of a draining host, so that their setups at other nodes are spread. They are not migrated
/// earlier: in a rolling restart the node restarted before this one may not be back yet, and the clients
/// would have nowhere to go.
const MIGRATION_TIME: Span = Span::ms(1_000);

impl Service {
    /// Starts the shutdown: sets the time of the exit and spreads the migration of all clients before it.
    pub(super) fn leave(&mut self) {
        if matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left) {
            return;
        }
        let until = self.now + self.config.longest_deadline.min(MAX_DEADLINE_WAIT) + TIME_AFTER_DEADLINES;
        self.phase = Phase::Leaving { until };
        info!(calls = self.calls.len(), "leaving");
        self.timers.set(until, TimerEvent::Exit);
        self.timers.set(self.now + STOP_ACCEPTING_DELAY, TimerEvent::StopAccepting);
        let is_replaced = self.handover.is_replaced();
        let first = if is_replaced {
            // The successor serves already, so migration need not wait until new clients stop: it starts
            // after `HANDOVER_TIME`, for connections that are not handed over by their turn.
            self.now + HANDOVER_TIME
        } else {
            (until - LAST_MIGRATIONS_BEFORE_EXIT - MIGRATION_TIME).max(self.now + NEW_CLIENTS_AFTER_TERM)
        };
        let time_left = (until - LAST_MIGRATIONS_BEFORE_EXIT).since(first);
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

    /// Shuts down a drained node as SIGTERM does, and exits early if no call is in flight.
    pub(crate) fn leave_drained(&mut self) {
        self.leave();
        if self.calls.is_empty() {
            self.timers.set(self.now + STOP_ACCEPTING_DELAY + DRAINED_EXIT_DELAY, TimerEvent::Exit);
        }
    }

    /// Exits a replaced process once its last call has ended or has been handed over and no socket of a
    /// client or host is left; otherwise checks again after [`HANDOVER_TIME`].
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

    /// Schedules the migration of a call that opens, or is adopted from the predecessor, while the node
    /// migrates its clients; hands it over if the process is leaving and replaced. The time is random, in the
    /// last migrations of a shutdown or in the rest of a drain: clients that are migrated together reconnect
    /// together.
    pub(crate) fn schedule_late_migration(&mut self, call: CallId) {
        self.schedule_drain_migration(call);
        if self.hands_over_connections() {
            return self.hand_over_call(call);
        }
        let Phase::Leaving { until } = self.phase else { return };
        let last = until - LAST_MIGRATIONS_BEFORE_EXIT;
        let due = self.random_time(last - LATE_MIGRATION_TIME, last);
        self.timers.set(due, TimerEvent::Migrate(call));
    }

    /// Whether the process is leaving and hands its connections over to its successor.
    pub(crate) fn hands_over_connections(&self) -> bool {
        matches!(self.phase, Phase::Leaving { .. }) && self.handover.is_replaced()
    }

    /// Closes the listening socket, as the front-end balancer sends no more clients. The close resets the
    /// connections in the accept queue, so all of them are accepted first, as descriptors become free.
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

    /// Answers all calls and enters [`Phase::Flushing`]. The exit of the process loses unsent bytes; unread
    /// bytes reset their connection, and the answer on it may be lost too. So the process exits only after
    /// the flush.
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
            self.close_idle(id);
        }
        self.timers.set(self.now + FLUSH_TIME, TimerEvent::FlushTimeout);
    }

    fn answer_before_exit(&mut self, id: CallId) {
        self.migrate_call(id, AttemptOutcome::Canceled);
        let Some(in_flight) = self.calls.get(id.0) else { return };
        if in_flight.stage.is_established() {
            return;
        }
        // The call's deadline has passed by now, or it never had an attempt.
        let never_ran = in_flight.attempt_count == 0 && !in_flight.awaits_lookup();
        self.answer_call(id, if never_ran { Answer::Busy(None) } else { Answer::Error });
    }

    /// Whether a client may not have received its answer yet.
    pub(super) fn has_unsent_answers(&self) -> bool {
        let is_client =
            |socket: &SocketEntry| matches!(socket.role, SocketRole::Client(_) | SocketRole::Closing);
        self.sockets.iter().any(|(_, socket)| is_client(socket))
    }

    /// Ends the flush: all answers have been sent, or the time for that is over.
    pub(super) fn finish(&mut self) {
        if self.phase == Phase::Flushing {
            self.write_work_handover();
            info!("shutdown complete");
            self.phase = Phase::Left;
        }
    }

    fn call_ids(&self) -> Vec<CallId> {
        self.calls.iter().map(|(number, _)| CallId(number)).collect()
    }
}
