//! The node's own answers to clients, and the end of client connections.

use glendeck::domain::{AttemptOutcome, CallId, Span};
use tracing::debug;

use super::RESERVED_DESCRIPTORS;
use crate::call::CallStage;
use crate::connection::PeerState;
use crate::hosts::HostClose;
use crate::metrics::Outcome;
use crate::protocol::Answer;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Maximum bytes that the peer of a closing connection may still send before the connection is closed at
/// once: more than clients have in transit.
const MAX_DISCARDED: usize = 64 << 10;

/// How long a closing connection stays open so that its peer can read the last bytes, and how long the
/// host may take to end its side once the client has ended its own.
const LINGER: Span = Span::ms(1_000);

/// How long a closing connection stays open while descriptors are short: enough for a round trip and a busy
/// core.
const SHORT_LINGER: Span = Span::ms(100);

impl Service {
    /// Ends a call with an answer of the node itself, as no host has given a final one.
    pub(crate) fn answer_call(&mut self, id: CallId, answer: Answer) {
        if let Some(in_flight) = self.calls.get_mut(id.0) {
            let is_busy = matches!(answer, Answer::Busy(_));
            in_flight.outcome = Some(if is_busy { Outcome::Busy } else { Outcome::Failure });
        }
        let Some(in_flight) = self.forget_call(id) else { return };
        if let Some(client) = in_flight.client {
            self.answer_client(client, answer);
        }
    }

    /// Sends an answer and ends the connection.
    pub(crate) fn answer_client(&mut self, id: ConnectionId, answer: Answer) {
        let mut line = Vec::new();
        answer.encode(&mut line);
        self.close_with_last_bytes(id, &line);
    }

    /// Ends a connection after `bytes` have been sent. Closing a socket with unread input resets the
    /// connection, and the answer could be lost. So the sending side is shut down first, and input is read
    /// and discarded for a while.
    pub(crate) fn close_with_last_bytes(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.role = SocketRole::Closing;
        socket.connection.outbox.extend_from_slice(bytes);
        socket.connection.inbox = Vec::new();
        socket.connection.paused = false;
        socket.connection.shutdown_after_flush = true;
        // Connections of clients that were rejected for lack of descriptors occupy the reserved ones, so
        // descriptors count as short once less than twice the reserve is free.
        let is_short = self.descriptors() + 2 * RESERVED_DESCRIPTORS > self.config.descriptors;
        let linger = if is_short { SHORT_LINGER } else { LINGER };
        self.timers.set(self.now + linger, TimerEvent::ClosingTimeout(id));
        self.mark_idle(id);
        self.flush_connection(id);
    }

    /// Closes a closing connection once both sides have ended, or once the peer has sent too much: an endless
    /// sender would keep the core busy for as long as the connection lingers.
    pub(crate) fn closing_progressed(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get(id.0) else { return };
        if socket.connection.is_over() || socket.connection.discarded > MAX_DISCARDED {
            self.close_connection(id);
        }
    }

    /// Handles a client that has ended its side, or whose connection failed.
    pub(crate) fn client_ended(&mut self, id: ConnectionId, call: Option<CallId>, is_broken: bool) {
        let Some(call) = call else { return self.close_connection(id) };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return self.close_connection(id) };
        match in_flight.stage {
            CallStage::Waiting | CallStage::Returning => {
                in_flight.client = None;
                self.close_connection(id);
                self.give_up_call(call);
            }
            CallStage::Open if !is_broken => {
                in_flight.stage = CallStage::HalfClosed;
                let host = in_flight.attempt.as_ref().map(|attempt| attempt.connection);
                self.half_close(id, host);
                self.timers.set(self.now + LINGER, TimerEvent::HalfClosedTimeout(call));
            }
            CallStage::HalfClosed if !is_broken => {}
            CallStage::Open | CallStage::HalfClosed => {
                in_flight.client = None;
                self.close_connection(id);
                self.close_attempt(call, AttemptOutcome::Canceled, HostClose::Reset);
            }
        }
        self.deliver_reports();
    }

    /// Passes the end of the client's side on to the host.
    fn half_close(&mut self, client: ConnectionId, host: Option<ConnectionId>) {
        if let Some(host) = host {
            if let Some(socket) = self.sockets.get_mut(host.0) {
                socket.connection.shutdown_after_flush = true;
            }
            self.flush_connection(host);
        }
        self.sockets.watch(client);
    }

    /// Checks that a call's client is still waiting. This check is made wherever something new would be sent
    /// to a host for the call.
    ///
    /// The end of the client's side may lie unread in the socket behind its line, because the node was slow,
    /// the connection was not accepted yet, or the call was waiting; a host would then work for nobody. A
    /// client that has sent more data did not wait for its answer, and gets an error.
    pub(crate) fn is_client_waiting(&mut self, call: CallId) -> bool {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return false };
        let Some(client) = in_flight.client else { return false };
        let socket = self.sockets.get(client.0);
        let peer = socket.map_or(PeerState::Ended, |socket| socket.connection.peer_state());
        if peer == PeerState::Quiet {
            return true;
        }
        debug!(call_id = call.0, ?peer, "client ended or sent data while its call was waiting");
        in_flight.client = None;
        match peer {
            PeerState::HasSent => self.answer_client(client, Answer::Error),
            PeerState::Ended | PeerState::Quiet => self.close_connection(client),
        }
        false
    }

    /// Gives up a call that is not open and has no client to answer any more.
    pub(super) fn give_up_call(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        if in_flight.stage == CallStage::Returning {
            let connection = in_flight.attempt.as_ref().map(|attempt| attempt.connection);
            self.forget_call(call);
            if let Some(connection) = connection {
                self.attempts_out -= 1;
                self.close_connection(connection);
            }
            return;
        }
        let now = self.now;
        self.with_node(|node, port| node.client_left(now, call, port));
        if self.calls.get(call.0).is_some_and(|in_flight| in_flight.attempt.is_none()) {
            self.forget_call(call);
        }
    }

    /// Ends a connection whose host did not end its side in time after the client had.
    pub(crate) fn half_closed_timeout(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(client) = in_flight.client.take() {
            self.close_with_last_bytes(client, b"");
        }
        self.close_attempt(call, AttemptOutcome::Canceled, HostClose::Reset);
        self.deliver_reports();
    }
}
