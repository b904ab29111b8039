//! Answers to clients, and the end of their connections.

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

/// What a closing connection may still send before it is cut off, in bytes: more than clients have under way.
const MAX_DISCARDED: usize = 64 << 10;

/// While a connection ends, its client may still be reading this long.
const LINGER: Span = Span::ms(1_000);

/// The same while descriptors are short: a round trip and a busy core.
const SHORT_LINGER: Span = Span::ms(100);

impl Service {
    /// Gives a call the node's own final answer, as no host has given one.
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

    /// Ends a connection after `bytes` have been sent. Closing with input unread would reset the connection,
    /// and the answer could be lost with that: so sending is ended first, and what still comes is read for a
    /// while.
    pub(crate) fn close_with_last_bytes(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.role = SocketRole::Closing;
        socket.connection.outbox.extend_from_slice(bytes);
        socket.connection.inbox = Vec::new();
        socket.connection.paused = false;
        socket.connection.shutdown_after_flush = true;
        // Clients that were turned away for want of descriptors hold just these.
        let is_short = self.descriptors() + 2 * RESERVED_DESCRIPTORS > self.config.descriptors;
        let linger = if is_short { SHORT_LINGER } else { LINGER };
        self.timers.set(self.now + linger, TimerEvent::ClosingTimeout(id));
        self.note_idle(id);
        self.flush_connection(id);
    }

    /// Closes a closing connection that is over, or whose peer sends on without end, which would keep the
    /// core busy for as long as it lingers.
    pub(crate) fn closing_progressed(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get(id.0) else { return };
        if socket.connection.is_over() || socket.connection.discarded > MAX_DISCARDED {
            self.close_connection(id);
        }
    }

    /// The client has ended its side, or its connection broke.
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

    /// The one check that a call's client is there, made wherever something new would go to a host for it.
    ///
    /// The client's end may lie in the socket behind its line, unread while the node was slow, the client not
    /// accepted or its call waiting, and hosts would work for nobody. A client that has sent more did not
    /// wait for its answer.
    pub(crate) fn client_waits(&mut self, call: CallId) -> bool {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return false };
        let Some(client) = in_flight.client else { return false };
        let socket = self.sockets.get(client.0);
        let peer = socket.map_or(PeerState::Ended, |socket| socket.connection.peer_state());
        if peer == PeerState::Quiet {
            return true;
        }
        debug!(call_id = call.0, ?peer, "client does not wait");
        in_flight.client = None;
        match peer {
            PeerState::HasSent => self.answer_client(client, Answer::Error),
            PeerState::Ended | PeerState::Quiet => self.close_connection(client),
        }
        false
    }

    /// The client of a call that is not open has gone.
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

    /// The host did not end its side in time after the client had: the connection is over all the same.
    pub(crate) fn half_closed_timeout(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(client) = in_flight.client.take() {
            self.close_with_last_bytes(client, b"");
        }
        self.close_attempt(call, AttemptOutcome::Canceled, HostClose::Reset);
        self.deliver_reports();
    }
}
