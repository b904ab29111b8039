//! Idle connections, which serve no call and are closed when descriptors run short.

use glendeck::domain::Time;

use super::{FIRST_LINE_TIMEOUT, MIN_IDLE_TIME, RESERVED_DESCRIPTORS, RESERVED_FOR_ATTEMPTS};
use crate::connection::PeerState;
use crate::lifecycle::Phase;
use crate::reactor::Flags;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};

impl Service {
    /// Closes the connections that have been idle longest until `count` descriptors are free, and returns
    /// whether they are.
    ///
    /// Otherwise hundreds of connections that send nothing, stay open after a `PING`, or linger after their
    /// answer could take every descriptor while well-behaved clients wait to be accepted.
    pub(super) fn free_descriptors(&mut self, count: usize) -> bool {
        while self.descriptors() + count > self.config.descriptors {
            let Some((since, id)) = self.idle.front().copied() else { return false };
            if self.is_idle(since, id) {
                if self.now.since(since) < MIN_IDLE_TIME {
                    return false;
                }
                if !self.sockets.get(id.0).is_some_and(is_still_needed) {
                    self.close_connection(id);
                }
            }
            self.idle.pop_front();
        }
        true
    }

    /// Marks a connection as idle from now on.
    pub(super) fn mark_idle(&mut self, id: ConnectionId) {
        // Entries of connections that are no longer idle are removed only at the front of the queue, so one
        // connection that stays idle would keep all of them.
        if self.idle.len() > 2 * self.config.descriptors {
            let mut idle = std::mem::take(&mut self.idle);
            idle.retain(|(since, id)| self.is_idle(*since, *id));
            self.idle = idle;
        }
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.idle_since = self.now;
            self.idle.push_back((self.now, id));
        }
    }

    fn is_idle(&self, since: Time, id: ConnectionId) -> bool {
        let Some(socket) = self.sockets.get(id.0) else { return false };
        matches!(socket.role, SocketRole::Client(None) | SocketRole::Closing) && socket.idle_since == since
    }

    /// Closes a client connection whose time limit for the first line has passed.
    pub(crate) fn first_line_timeout(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get(id.0) else { return };
        let is_unopened = socket.role == SocketRole::Client(None);
        if is_unopened && self.now.since(socket.opened_or_pinged_at) >= FIRST_LINE_TIMEOUT {
            self.close_idle(id);
        }
    }

    /// Closes a connection that has opened no call. Its line may have just arrived, so the socket is read
    /// first: a client that opens a call gets an answer.
    pub(crate) fn close_idle(&mut self, id: ConnectionId) {
        self.read_connection(id, Flags::IN);
        let Some(socket) = self.sockets.get(id.0) else { return };
        let is_unopened = socket.role == SocketRole::Client(None);
        let is_over = self.phase == Phase::Flushing;
        if is_unopened && (is_over || self.now.since(socket.opened_or_pinged_at) >= FIRST_LINE_TIMEOUT) {
            self.close_with_last_bytes(id, b"");
        }
    }

    /// Whether a descriptor is available for a probe; those reserved for calls and the endpoint list stay
    /// free.
    pub(crate) fn has_room_for_probe(&self) -> bool {
        self.descriptors() + RESERVED_FOR_ATTEMPTS < self.config.descriptors
    }

    /// Whether another call can be served. In a burst, connections that have not sent a request yet fill the
    /// table; if they counted, all calls would be rejected although many could be served. So the condition is
    /// that the in-flight calls leave enough descriptors, and that two are free now.
    pub(super) fn has_room_for_call(&mut self) -> bool {
        let needed = self.committed_descriptors() + 2 + RESERVED_DESCRIPTORS;
        needed <= self.config.descriptors && self.free_descriptors(2)
    }
}

/// Whether an idle connection must stay: an unread first line may open a call, and an unsent answer must
/// still reach the client.
fn is_still_needed(socket: &SocketEntry) -> bool {
    let has_request =
        socket.role == SocketRole::Client(None) && socket.connection.peer_state() == PeerState::HasSent;
    has_request || socket.connection.unsent() > 0
}
