//! Open connections to hosts: their end, hosts that fall silent, and migration.

use glendeck::domain::{AttemptOutcome, CallId, HostId, Span, Time};
use tracing::debug;

use super::MIGRATION_PERIOD;
use crate::call::{AttemptEnd, CallStage, InFlightCall};
use crate::protocol::{Answer, HostMessage};
use crate::service::Service;
use crate::timers::TimerEvent;

/// How long a host may bring nothing back on a connection on which the client has spoken. A healthy host
/// answers within milliseconds, however crowded; this leaves room for TCP to send again three times (after
/// 0.2, 0.4 and 0.8 s). Clients speak every 2 s: a vanished host's are migrated within 4 s, of the 7 s
/// allowed.
const HOST_SILENCE: Span = Span::ms(2_000);

/// How the socket to a host is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostClose {
    /// After the host has ended its side too.
    Graceful,
    /// At once, so that the host sees a reset.
    Reset,
}

impl Service {
    /// The host's side of an open connection has ended: so does the client's, in the same way.
    pub(crate) fn host_ended(&mut self, id: CallId, is_broken: bool) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        let outcome = match (in_flight.final_message, in_flight.stage) {
            (Some(HostMessage::Bye), _) => AttemptOutcome::Completed,
            (Some(HostMessage::Move), _) | (_, CallStage::HalfClosed) => AttemptOutcome::Canceled,
            _ => AttemptOutcome::Broken,
        };
        let client = in_flight.client.take();
        let has_final_message = in_flight.final_message.is_some();
        self.close_attempt(id, outcome, HostClose::Graceful);
        let Some(client) = client else { return };
        if is_broken && !has_final_message {
            self.sockets.reset(client);
        } else {
            self.close_with_last_bytes(client, b"");
        }
    }

    /// Ends the host's side of an open connection and tells the decisions.
    pub(crate) fn close_attempt(&mut self, id: CallId, outcome: AttemptOutcome, close: HostClose) {
        let in_flight = self.calls.get_mut(id.0);
        let Some(attempt) = in_flight.and_then(|in_flight| in_flight.attempt.take()) else { return };
        debug!(call_id = id.0, host_id = attempt.host.0, ?outcome, "connection ended");
        self.attempts_out -= 1;
        self.hosts.connection_closed(attempt.host, id);
        self.notify_successor(attempt.host);
        let socket = self.sockets.get(attempt.connection.0);
        let has_host_ended = socket.is_some_and(|socket| socket.connection.read_ended);
        match close {
            HostClose::Reset => self.sockets.reset(attempt.connection),
            HostClose::Graceful if has_host_ended => self.close_connection(attempt.connection),
            HostClose::Graceful => self.close_with_last_bytes(attempt.connection, b""),
        }
        self.report_attempt_end(AttemptEnd { call: id, attempt: attempt.number, outcome, is_final: true });
    }

    /// Migrates the client of a host that has fallen silent: a machine that vanished ends no connection.
    pub(crate) fn check_silence(&mut self, id: CallId) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        in_flight.has_silence_timer = false;
        let Some(since) = in_flight.awaiting_host_since else { return };
        if self.now < since + HOST_SILENCE {
            in_flight.has_silence_timer = true;
            return self.timers.set(since + HOST_SILENCE, TimerEvent::HostSilence(id));
        }
        if in_flight.stage == CallStage::Open {
            debug!(call_id = id.0, "host silent");
            self.migrate_call(id, AttemptOutcome::Broken);
        }
        self.deliver_reports();
    }

    /// Sends the client away politely and ends the host's side.
    pub(crate) fn migrate_call(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        if in_flight.stage != CallStage::Open {
            return;
        }
        let Some(client) = in_flight.client.take() else { return };
        self.answer_client(client, Answer::Move);
        self.close_attempt(id, outcome, HostClose::Graceful);
    }

    /// A host begins to drain: its clients are migrated one by one before it goes.
    pub(crate) fn migrate_from(&mut self, host: HostId) {
        let calls = self.hosts.open_calls(host);
        let count = calls.len().max(1) as f64;
        for (index, call) in calls.into_iter().enumerate() {
            let due = self.now + MIGRATION_PERIOD.times(index as f64 / count);
            self.timers.set(due, TimerEvent::Migrate(call));
        }
    }
}

impl InFlightCall {
    /// The client has spoken: notes that the host owes a line, and returns when to check that it has come, if
    /// no timer is set for that yet.
    pub(crate) fn note_client_spoke(&mut self, now: Time) -> Option<Time> {
        self.awaiting_host_since.get_or_insert(now);
        let had_timer = std::mem::replace(&mut self.has_silence_timer, true);
        if had_timer { None } else { Some(now + HOST_SILENCE) }
    }
}
