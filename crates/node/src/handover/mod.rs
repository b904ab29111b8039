//! Handover from one process of this node to the next: the listening socket, the known state and the open
//! connections.
//!
//! The successor connects to a Unix socket in the node's folder. It receives the listening socket and the
//! [`state::HandoverState`], reports when it serves, and then receives open connections until its predecessor
//! exits and the Unix socket closes.
//!
//! [`state`] and [`message`] define what is sent, and [`socket`] passes sockets between the processes.
//! [`successor`] handles the connection to the successor, [`predecessor`] that to the predecessor.

mod hex;
mod message;
mod predecessor;
mod socket;
mod state;
mod successor;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;

use glendeck::domain::CallId;

use self::message::{PredecessorMessage, SuccessorMessage};
use crate::service::Service;
use crate::socket::ConnectionId;

pub(crate) use self::message::DrainChange;
pub(crate) use self::socket::Inherited;
pub(crate) use self::state::HandoverState;

/// A connection that is to be handed to the successor.
#[derive(Clone, Copy, Debug)]
enum PendingConnection {
    Call(CallId),
    IdleClient(ConnectionId),
}

/// State of the handover from the predecessor and to the successor.
#[derive(Default)]
pub(crate) struct Handover {
    /// Unix socket to which a successor connects.
    listener: Option<UnixListener>,
    successor: Option<ConnectionId>,
    /// The successor was sent the state, and is sent changes from then on.
    successor_has_state: bool,
    /// The successor has reported that it serves.
    successor_serves: bool,
    /// The successor has reported that its own successor serves in its place.
    successor_was_replaced: bool,
    predecessor: Option<ConnectionId>,
    /// This process has begun to accept clients, and has told its predecessor if there is one.
    took_over: bool,
    /// The time that this process waits for the endpoint list before it takes over has passed.
    pub is_list_wait_over: bool,
    /// Number of file descriptors that the predecessor has open.
    pub predecessor_descriptors: usize,
    /// Open calls that are still to be handed to the successor.
    pending_calls: VecDeque<CallId>,
    /// Clients without a call that are still to be handed to the successor.
    pending_idle_clients: VecDeque<ConnectionId>,
    /// Sockets received from the predecessor whose message line is not complete yet.
    received_sockets: VecDeque<OwnedFd>,
    /// The predecessor follows changes of the drain; one of an early version does not understand them.
    pub predecessor_follows_drain: bool,
}

impl Handover {
    /// Whether the successor accepts clients instead of this process.
    pub(crate) fn is_replaced(&self) -> bool {
        self.successor_serves
    }

    /// Whether the predecessor is still connected.
    pub(crate) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Whether the predecessor still accepts clients.
    pub(crate) fn predecessor_serves(&self) -> bool {
        self.predecessor.is_some() && !self.took_over
    }

    /// Takes the next connection to be handed over; calls come before idle clients.
    fn take_pending(&mut self) -> Option<PendingConnection> {
        let call = self.pending_calls.pop_front().map(PendingConnection::Call);
        call.or_else(|| self.pending_idle_clients.pop_front().map(PendingConnection::IdleClient))
    }

    /// Puts a connection that could not be sent yet back to the front of its queue.
    fn put_back_pending(&mut self, connection: PendingConnection) {
        match connection {
            PendingConnection::Call(call) => self.pending_calls.push_front(call),
            PendingConnection::IdleClient(client) => self.pending_idle_clients.push_front(client),
        }
    }
}

impl Service {
    /// Reports a change of the node's drain to its other processes, except to the one that it came from.
    pub(crate) fn report_drain_change(&mut self, change: DrainChange, sender: Option<ConnectionId>) {
        let predecessor = self.handover.predecessor.filter(|_| self.handover.predecessor_follows_drain);
        if let Some(id) = predecessor.filter(|id| sender != Some(*id)) {
            self.send_text(id, &format!("{}\n", SuccessorMessage::Drain(change)));
        }
        // A successor of an early version skips the message.
        let successor = self.handover.successor.filter(|_| self.handover.successor_has_state);
        if let Some(id) = successor.filter(|id| sender != Some(*id)) {
            self.send_text(id, &format!("{}\n", PredecessorMessage::Drain(change)));
        }
    }

    /// Sends text to the other process. What does not fit into the socket now is sent once it has room.
    fn send_text(&mut self, id: ConnectionId, text: &str) {
        if let Some(entry) = self.sockets.get_mut(id.0) {
            entry.connection.outbox.extend_from_slice(text.as_bytes());
        }
        self.flush_connection(id);
    }
}
