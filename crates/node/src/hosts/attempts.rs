//! Attempts of calls that are not open yet: from connecting to the host's answer or a timeout.

use glendeck::domain::{AttemptNumber, AttemptOutcome, CallId, HostId, Span};
use rustix::io::Errno;
use tracing::debug;

use crate::call::{Attempt, AttemptEnd, CallStage, InFlightCall};
use crate::connection::Connection;
use crate::protocol::Answer;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};
use crate::timers::TimerEvent;

/// A call that returns to its host is tried again after this where the host could not be reached.
const RETURN_RETRY: Span = Span::ms(250);

impl Service {
    /// Opens the connection of an attempt that times out after `within`. What becomes of it is told later.
    ///
    /// # Errors
    ///
    /// The end of an attempt that could not even begin.
    pub(crate) fn open_attempt(&mut self, id: CallId, host: HostId, within: Span) -> Result<(), AttemptEnd> {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return Ok(()) };
        let number = AttemptNumber(in_flight.attempt_count);
        in_flight.attempt_count += 1;
        let end = |outcome, is_final| AttemptEnd { call: id, attempt: number, outcome, is_final };
        if !self.client_waits(id) {
            return Err(end(AttemptOutcome::NeverSent, true));
        }
        let connection =
            self.connect_to_host(id, host).map_err(|cause| end(outcome_of_connect(cause), false))?;
        let deadline = self.now + within;
        self.attempts_out += 1;
        if let Some(in_flight) = self.calls.get_mut(id.0) {
            in_flight.attempt = Some(Attempt {
                number,
                host,
                connection,
                opened_at: self.now,
                deadline,
                may_send: in_flight.replicated.is_none(),
                is_line_queued: false,
                is_line_sent: false,
            });
        }
        self.replicate_intent_of(id);
        let within_ms = within.0 / 1_000_000;
        debug!(call_id = id.0, attempt = number.0, host_id = host.0, within_ms, "attempt opened");
        self.timers.set(deadline, TimerEvent::AttemptTimeout(id, number));
        if self.config.connect_limit < within {
            let connect_deadline = self.now + self.config.connect_limit;
            self.timers.set(connect_deadline, TimerEvent::ConnectTimeout(id, number));
        }
        self.attempt_connected(connection);
        Ok(())
    }

    fn connect_to_host(&mut self, id: CallId, host: HostId) -> Result<ConnectionId, Errno> {
        let address = self.hosts.address(host).ok_or(Errno::ADDRNOTAVAIL)?;
        let connection = Connection::connect(address)?;
        self.add_connection(connection, SocketRole::Host(id)).ok_or(Errno::MFILE)
    }

    /// Sends the client's line once the connection is up, if the attempt may be sent.
    pub(crate) fn attempt_connected(&mut self, id: ConnectionId) {
        let Some(SocketRole::Host(call)) = self.role(id) else { return };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(attempt) = &mut in_flight.attempt
            && !socket.connection.connecting
            && attempt.may_send
            && !attempt.is_line_queued
        {
            // A connection that comes up late, or an intent that is replicated late, would send a new call to
            // a host that has begun to drain meanwhile. A call that was open there before belongs there.
            let is_host_closed = in_flight.stage == CallStage::Waiting && !self.hosts.is_ready(attempt.host);
            if is_host_closed || !self.client_waits(call) {
                self.end_attempt(call, AttemptOutcome::NeverSent, None);
                return self.deliver_reports();
            }
            self.queue_line(id, call);
        }
        self.flush_connection(id);
    }

    /// Writes the client's line with the time that is left.
    fn queue_line(&mut self, id: ConnectionId, call: CallId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(attempt) = &mut in_flight.attempt else { return };
        attempt.is_line_queued = true;
        let time_left = attempt.deadline.since(self.now);
        in_flight.line.encode(time_left, &mut socket.connection.outbox);
    }

    /// Notes when the last byte of the line has been sent: before that the host cannot have run the call,
    /// after that it may have.
    pub(crate) fn note_line_sent(&mut self, call: CallId) {
        let in_flight = self.calls.get_mut(call.0);
        let Some(attempt) = in_flight.and_then(|in_flight| in_flight.attempt.as_mut()) else { return };
        let has_sent_all =
            |socket: &SocketEntry| socket.connection.unsent() == 0 && !socket.connection.broken;
        if attempt.is_line_queued
            && !attempt.is_line_sent
            && self.sockets.get(attempt.connection.0).is_some_and(has_sent_all)
        {
            attempt.is_line_sent = true;
            self.metrics.attempts += 1;
        }
    }

    /// A connection that is not up by the limit for that never will be.
    pub(crate) fn connect_timeout(&mut self, id: CallId, number: AttemptNumber) {
        let Some(attempt) = self.unanswered_attempt(id, number) else { return };
        let connect_deadline = attempt.opened_at + self.config.connect_limit;
        let socket = self.sockets.get(attempt.connection.0);
        let is_connecting = socket.is_some_and(|socket| socket.connection.connecting);
        if self.now >= connect_deadline && is_connecting {
            self.end_timed_out_attempt(id);
        }
    }

    /// The time of an attempt is over.
    pub(crate) fn attempt_timeout(&mut self, id: CallId, number: AttemptNumber) {
        let Some(attempt) = self.unanswered_attempt(id, number) else { return };
        if self.now >= attempt.deadline {
            self.end_timed_out_attempt(id);
        }
    }

    /// The attempt of this number, if it is still out. A number may be given twice, to an attempt that was
    /// never sent and to one that was, so whether a timer is due is checked against the attempt itself.
    fn unanswered_attempt(&self, id: CallId, number: AttemptNumber) -> Option<&Attempt> {
        let in_flight = self.calls.get(id.0)?;
        if in_flight.stage.is_established() {
            return None;
        }
        in_flight.attempt.as_ref().filter(|attempt| attempt.number == number)
    }

    fn end_timed_out_attempt(&mut self, id: CallId) {
        let Some(attempt) = self.calls.get(id.0).and_then(|in_flight| in_flight.attempt.as_ref()) else {
            return;
        };
        let outcome =
            if attempt.is_line_sent { AttemptOutcome::TimedOut } else { AttemptOutcome::Unreachable };
        self.end_attempt(id, outcome, None);
    }

    /// The attempt of a call that is not open has ended; `answer` is the host's line to the client, if it is
    /// final.
    pub(crate) fn end_attempt(&mut self, id: CallId, outcome: AttemptOutcome, answer: Option<&[u8]>) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        let Some(attempt) = in_flight.attempt.take() else { return };
        let may_have_run = attempt.is_line_queued && !outcome.never_ran();
        if let Some(kept) = in_flight.replicated.as_mut().filter(|_| may_have_run) {
            kept.ran.get_or_insert((attempt.host, attempt.opened_at));
        }
        let number = attempt.number.0;
        debug!(call_id = id.0, attempt = number, host_id = attempt.host.0, ?outcome, "attempt ended");
        self.attempts_out -= 1;
        if in_flight.stage == CallStage::Returning {
            self.retry_return(id, outcome);
            return self.close_connection(attempt.connection);
        }
        let client = if answer.is_some() { in_flight.client.take() } else { in_flight.client };
        let is_final = answer.is_some() || client.is_none();
        if let (Some(answer), Some(client)) = (answer, client) {
            self.close_with_last_bytes(client, answer);
        }
        self.close_connection(attempt.connection);
        self.report_attempt_end(AttemptEnd { call: id, attempt: attempt.number, outcome, is_final });
    }

    /// The decisions have no part in a call that returns: it belongs where it was, and is tried there again.
    fn retry_return(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        if !outcome.never_ran() {
            self.answer_call(id, Answer::Error);
        } else if in_flight.call.deadline > self.now + RETURN_RETRY {
            self.timers.set(self.now + RETURN_RETRY, TimerEvent::RetryReturn(id));
        } else {
            self.answer_call(id, Answer::Busy(None));
        }
    }

    /// Sends a call to the host where its connection was open before the start.
    pub(crate) fn return_to_host(&mut self, id: CallId) {
        let Some(InFlightCall {
            stage: CallStage::Returning,
            attempt: None,
            call,
            previous_host: Some(host),
            ..
        }) = self.calls.get(id.0)
        else {
            return;
        };
        let host = *host;
        let time_left = call.deadline.since(self.now);
        if !self.client_waits(id) {
            self.forget_call(id);
            return;
        }
        // The decisions do not know of this attempt, so its end is not theirs.
        if self.open_attempt(id, host, time_left).is_err() {
            self.retry_return(id, AttemptOutcome::NeverSent);
        }
    }

    /// Ends an attempt that the decisions do not wait for any longer.
    pub(crate) fn cancel_attempt(&mut self, id: CallId, number: AttemptNumber) {
        if self.unanswered_attempt(id, number).is_some() {
            self.end_attempt(id, AttemptOutcome::Canceled, None);
        }
    }
}

/// A lack of descriptors or memory is this node's fault, and would make every host look bad.
fn outcome_of_connect(cause: Errno) -> AttemptOutcome {
    match cause {
        Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM => AttemptOutcome::NeverSent,
        _ => AttemptOutcome::Unreachable,
    }
}
