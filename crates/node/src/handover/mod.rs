//! Handover from one process of this node to the next: the listening socket, what is known, and what is still
//! open.
//!
//! The successor connects to a Unix socket in the node's folder. There it receives the listening socket and
//! the [`state::HandoverState`], tells when it serves, and then receives open connections until its
//! predecessor ends, which it sees by the end of the connection.
//!
//! [`state`] and [`message`] are what goes over, [`socket`] sends and receives it; [`successor`] is the part
//! of the older process and [`predecessor`] that of the younger one.

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

use crate::service::Service;
use crate::socket::ConnectionId;

pub(crate) use self::socket::Inherited;
pub(crate) use self::state::HandoverState;

/// How this process stands to its predecessor and its successor.
#[derive(Default)]
pub(crate) struct Handover {
    /// Where a successor connects.
    listener: Option<UnixListener>,
    successor: Option<ConnectionId>,
    /// The successor has the state; from then on it is told of changes.
    successor_has_state: bool,
    /// The successor has said that it serves.
    successor_serves: bool,
    /// The successor has a successor that serves in its place.
    successor_was_replaced: bool,
    predecessor: Option<ConnectionId>,
    /// The predecessor was told that this process serves.
    took_over: bool,
    /// The service of the endpoint list had its time to answer before this process takes over.
    pub is_list_wait_over: bool,
    /// File descriptors that the predecessor holds.
    pub predecessor_descriptors: usize,
    /// Open calls that are still to go to the successor.
    pending_calls: VecDeque<CallId>,
    /// Clients without a call that are still to go to the successor.
    pending_idle_clients: VecDeque<ConnectionId>,
    /// Sockets of the predecessor's whose line has not come whole.
    received_sockets: VecDeque<OwnedFd>,
    /// The node was drained when this process was started.
    pub was_drained: bool,
}

impl Handover {
    /// Whether the successor takes the clients.
    pub(crate) fn is_replaced(&self) -> bool {
        self.successor_serves
    }

    /// Whether the predecessor still runs.
    pub(crate) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Whether the predecessor still takes the clients.
    pub(crate) fn predecessor_serves(&self) -> bool {
        self.predecessor.is_some() && !self.took_over
    }

    /// Takes the next connection off the queues of those that are still to go to the successor; calls go
    /// first.
    fn remove_first_pending(&mut self) {
        if self.pending_calls.pop_front().is_none() {
            self.pending_idle_clients.pop_front();
        }
    }
}

impl Service {
    /// Sends text to the other process; what the socket does not take now goes when it has room.
    fn send_text(&mut self, id: ConnectionId, text: &str) {
        if let Some(entry) = self.sockets.get_mut(id.0) {
            entry.connection.outbox.extend_from_slice(text.as_bytes());
        }
        self.flush_connection(id);
    }
}
