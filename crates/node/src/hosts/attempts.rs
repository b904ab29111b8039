//! Attempts of calls that are not open yet: from the connect to the host's answer or a timeout.

use glendeck::domain::{AttemptNumber, AttemptOutcome, CallId, HostId, Span};
use rustix::io::Errno;
use tracing::debug;

use crate::call::{Attempt, AttemptEnd, CallStage, InFlightCall, LineProgress};
use crate::connection::Connection;
use crate::protocol::Answer;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Delay before a returning call is tried again at its previous host, if the host could not be reached.
const RETURN_RETRY_DELAY: Span = Span::ms(250);

impl Service {
    /// Opens the connection of an attempt that times out after `within`. Its result is reported later.
    ///
    /// # Errors
    ///
    /// Returns the end of an attempt that could not be started.
    pub(crate) fn open_attempt(&mut self, id: CallId, host: HostId, within: Span) -> Result<(), AttemptEnd> {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return Ok(()) };
        let number = AttemptNumber(in_flight.attempt_count);
        in_flight.attempt_count += 1;
        let end = |outcome, is_final| AttemptEnd { call: id, attempt: number, outcome, is_final };
        if !self.is_client_waiting(id) {
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
                line_length: None,
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

    /// Sends the client's line if the connection is established and the attempt may be sent.
    pub(crate) fn attempt_connected(&mut self, id: ConnectionId) {
        let Some(SocketRole::Host(call)) = self.role(id) else { return };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(attempt) = &mut in_flight.attempt
            && !socket.connection.connecting
            && attempt.may_send
            && attempt.line_length.is_none()
        {
            // If the connection is established late or the intent is replicated late, the host may have
            // started to drain, and must not get a new call. A returning call may still go there: its
            // connection was open there, and no other host can take it.
            let is_host_closed = in_flight.stage == CallStage::Waiting && !self.hosts.is_ready(attempt.host);
            if is_host_closed || !self.is_client_waiting(call) {
                self.end_attempt(call, AttemptOutcome::NeverSent, None);
                return self.deliver_reports();
            }
            self.queue_line(id, call);
        }
        self.flush_connection(id);
    }

    /// Puts the client's line into the host's outbox, with the time that is left of the attempt.
    fn queue_line(&mut self, id: ConnectionId, call: CallId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(attempt) = &mut in_flight.attempt else { return };
        let time_left = attempt.deadline.since(self.now);
        let outbox = &mut socket.connection.outbox;
        let length_before = outbox.len();
        in_flight.line.encode(time_left, outbox);
        attempt.line_length = Some(outbox.len() - length_before);
    }

    /// Counts the attempt once the last byte of its line has been sent.
    pub(crate) fn note_line_sent(&mut self, call: CallId) {
        let in_flight = self.calls.get(call.0);
        let Some(attempt) = in_flight.and_then(|in_flight| in_flight.attempt.as_ref()) else { return };
        if attempt.is_line_sent || self.line_progress(attempt) != LineProgress::Whole {
            return;
        }
        if let Some(attempt) = self.calls.get_mut(call.0).and_then(|in_flight| in_flight.attempt.as_mut()) {
            attempt.is_line_sent = true;
            self.metrics.attempts += 1;
        }
    }

    /// Whether a host may be running the call, by what was sent of the attempt in progress.
    pub(crate) fn may_be_running(&self, in_flight: &InFlightCall) -> bool {
        let attempt = in_flight.attempt.as_ref();
        attempt.is_some_and(|attempt| self.line_progress(attempt).may_have_run())
    }

    fn line_progress(&self, attempt: &Attempt) -> LineProgress {
        let socket = self.sockets.get(attempt.connection.0);
        let bytes_sent = socket.map_or(0, |socket| socket.connection.bytes_sent);
        LineProgress::new(bytes_sent, attempt.line_length)
    }

    /// Ends an attempt whose connection is not established within the limit for connecting.
    pub(crate) fn connect_timeout(&mut self, id: CallId, number: AttemptNumber) {
        let Some(attempt) = self.unanswered_attempt(id, number) else { return };
        let connect_deadline = attempt.opened_at + self.config.connect_limit;
        let socket = self.sockets.get(attempt.connection.0);
        let is_connecting = socket.is_some_and(|socket| socket.connection.connecting);
        if self.now >= connect_deadline && is_connecting {
            self.end_timed_out_attempt(id);
        }
    }

    /// Ends an attempt that has passed its deadline.
    pub(crate) fn attempt_timeout(&mut self, id: CallId, number: AttemptNumber) {
        let Some(attempt) = self.unanswered_attempt(id, number) else { return };
        if self.now >= attempt.deadline {
            self.end_timed_out_attempt(id);
        }
    }

    /// The attempt with this number, if it is still in progress. One number may be used twice, for an attempt
    /// that was never sent and for one that was, so timer handlers check the times of the attempt itself.
    fn unanswered_attempt(&self, id: CallId, number: AttemptNumber) -> Option<&Attempt> {
        let in_flight = self.calls.get(id.0)?;
        if in_flight.stage.is_established() {
            return None;
        }
        in_flight.attempt.as_ref().filter(|attempt| attempt.number == number)
    }

    fn end_timed_out_attempt(&mut self, id: CallId) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        let may_have_run = self.may_be_running(in_flight);
        let outcome = if may_have_run { AttemptOutcome::TimedOut } else { AttemptOutcome::Unreachable };
        self.end_attempt(id, outcome, None);
    }

    /// Ends the attempt of a call that is not open; `answer` is the host's line for the client, if that line
    /// is a final answer.
    pub(crate) fn end_attempt(&mut self, id: CallId, outcome: AttemptOutcome, answer: Option<&[u8]>) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        let may_have_run = self.may_be_running(in_flight) && !outcome.never_ran();
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        let Some(attempt) = in_flight.attempt.take() else { return };
        if let Some(replicated) = in_flight.replicated.as_mut().filter(|_| may_have_run) {
            replicated.ran.get_or_insert((attempt.host, attempt.opened_at));
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

    /// Retries or answers a returning call whose attempt has ended. It may only go to its previous host, so
    /// the decision logic is not involved.
    fn retry_return(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        if !outcome.never_ran() {
            self.answer_call(id, Answer::Error);
        } else if in_flight.call.deadline > self.now + RETURN_RETRY_DELAY {
            self.timers.set(self.now + RETURN_RETRY_DELAY, TimerEvent::RetryReturn(id));
        } else {
            self.answer_call(id, Answer::Busy(None));
        }
    }

    /// Sends a returning call to the host where its connection was open before.
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
        if !self.is_client_waiting(id) {
            self.forget_call(id);
            return;
        }
        // The decision logic does not know this attempt, so its end is not reported.
        if self.open_attempt(id, host, time_left).is_err() {
            self.retry_return(id, AttemptOutcome::NeverSent);
        }
    }

    /// Ends an attempt that the decision logic no longer waits for.
    pub(crate) fn cancel_attempt(&mut self, id: CallId, number: AttemptNumber) {
        if self.unanswered_attempt(id, number).is_some() {
            self.end_attempt(id, AttemptOutcome::Canceled, None);
        }
    }
}

/// The outcome of a failed connect. A lack of descriptors or memory is a fault of this node and must not
/// count against the host, or every host would look faulty.
fn outcome_of_connect(cause: Errno) -> AttemptOutcome {
    match cause {
        Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM => AttemptOutcome::NeverSent,
        _ => AttemptOutcome::Unreachable,
    }
}
