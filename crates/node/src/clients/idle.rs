//! Connections of no use to a call, which are closed when descriptors run short.

use glendeck::domain::Time;

use super::{FIRST_LINE_TIMEOUT, MIN_IDLE_TIME, RESERVED_DESCRIPTORS, RESERVED_FOR_ATTEMPTS};
use crate::connection::PeerState;
use crate::lifecycle::Phase;
use crate::reactor::Flags;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};

impl Service {
    /// Closes the longest idle connections until `count` descriptors are free, and says whether they are.
    ///
    /// Connections by the hundred that say nothing, or send `PING` and stay, or linger after their answer,
    /// would otherwise take every descriptor while usual clients wait to be accepted.
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

    /// Notes that a connection is of no use to a call from now on.
    pub(super) fn mark_idle(&mut self, id: ConnectionId) {
        // Entries of connections that are not idle any more leave the queue only at its front, so that one
        // that stays would keep all of them.
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

    /// A client has had its time for a first line.
    pub(crate) fn first_line_timeout(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get(id.0) else { return };
        let is_unopened = socket.role == SocketRole::Client(None);
        if is_unopened && self.now.since(socket.quiet_since) >= FIRST_LINE_TIMEOUT {
            self.close_idle(id);
        }
    }

    /// Ends a connection that has opened nothing. Its line may have come in this very moment, so it is read
    /// first: whoever opens gets an answer.
    pub(crate) fn close_idle(&mut self, id: ConnectionId) {
        self.read_connection(id, Flags::IN);
        let Some(socket) = self.sockets.get(id.0) else { return };
        let is_unopened = socket.role == SocketRole::Client(None);
        let is_over = self.phase == Phase::Flushing;
        if is_unopened && (is_over || self.now.since(socket.quiet_since) >= FIRST_LINE_TIMEOUT) {
            self.close_with_last_bytes(id, b"");
        }
    }

    /// Whether a probe may have a descriptor: those for calls and the endpoint list stay free.
    pub(crate) fn has_room_for_probe(&self) -> bool {
        self.descriptors() + RESERVED_FOR_ATTEMPTS < self.config.descriptors
    }

    /// Whether another call can be served. In a burst, connections that have not asked yet fill the table;
    /// counted with them, all would be turned away though many could be served. So what counts is what the
    /// calls in flight need, and that two descriptors are free now.
    pub(super) fn has_room_for_call(&mut self) -> bool {
        let needed = self.committed_descriptors() + 2 + RESERVED_DESCRIPTORS;
        needed <= self.config.descriptors && self.free_descriptors(2)
    }
}

/// A first line that lies unread is a call already, and an answer that is not sent is owed.
fn is_still_needed(socket: &SocketEntry) -> bool {
    let has_request =
        socket.role == SocketRole::Client(None) && socket.connection.peer_state() == PeerState::HasSent;
    has_request || socket.connection.unsent() > 0
}
