//! Lines of open connections, from the client to its host.

use glendeck::domain::CallId;
use tracing::debug;

use crate::connection::HIGH_WATER_MARK;
use crate::protocol::{self, Answer};
use crate::service::Service;
use crate::socket::ConnectionId;
use crate::timers::TimerEvent;

impl Service {
    /// Hands all complete lines of a client to its host.
    pub(super) fn relay_to_host(&mut self, id: ConnectionId, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        let Some(socket) = self.sockets.get(id.0) else { return };
        let attempt = in_flight.attempt.as_ref().filter(|_| in_flight.stage.is_established());
        let Some(host) = attempt.map(|attempt| attempt.connection) else {
            return self.refuse_early_bytes(id, call);
        };
        let length = protocol::complete_lines_length(&socket.connection.inbox);
        if socket.connection.inbox.len() - length >= protocol::MAX_LINE_LENGTH {
            debug!(call_id = call.0, "client line too long");
            return self.client_ended(id, Some(call), true);
        }
        let mut is_host_slow = false;
        if length > 0 {
            self.move_lines(id, host, call, length);
            self.flush_connection(host);
            let host_socket = self.sockets.get(host.0);
            is_host_slow = host_socket.is_some_and(|host| host.connection.unsent() > HIGH_WATER_MARK);
        }
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.connection.paused = is_host_slow;
        }
        self.sockets.watch(id);
    }

    /// A client that sends before its connection is open ends its call.
    fn refuse_early_bytes(&mut self, id: ConnectionId, call: CallId) {
        debug!(call_id = call.0, "client did not wait for its host");
        if let Some(in_flight) = self.calls.get_mut(call.0) {
            in_flight.client = None;
        }
        self.answer_client(id, Answer::Error);
        self.give_up_call(call);
        self.deliver_reports();
    }

    /// Moves the first `length` bytes of the client's inbox to the host's outbox.
    fn move_lines(&mut self, client: ConnectionId, host: ConnectionId, call: CallId, length: usize) {
        if self.sockets.get(host.0).is_none() {
            return;
        }
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(due) = in_flight.note_client_spoke(self.now) {
            self.timers.set(due, TimerEvent::HostSilence(call));
        }
        let Some(client) = self.sockets.get_mut(client.0) else { return };
        let lines: Vec<u8> = client.connection.inbox.drain(..length).collect();
        if let Some(host) = self.sockets.get_mut(host.0) {
            host.connection.outbox.extend_from_slice(&lines);
        }
    }
}
