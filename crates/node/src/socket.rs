//! Sockets in the node's table: their numbers, and whom they lead to.

use glendeck::domain::{CallId, HostId, Time};

use crate::connection::Connection;

/// Number of a socket in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Whom a socket leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketRole {
    Client(Option<CallId>),
    Host(CallId),
    Probe(HostId),
    /// A question for the list, and when its answer is given up.
    EndpointListClient(Time),
    Closing,
    /// Someone at the operators' door.
    Admin,
    /// The process of this node after, or before this one.
    Successor,
    Predecessor,
    /// Another node of the fleet.
    Peer,
}

pub struct SocketEntry {
    pub connection: Connection,
    pub role: SocketRole,
    /// When it came, or last said PING.
    pub quiet_since: Time,
    /// Since when it is of no use to a call: it has opened none yet, or has had its last words.
    pub idle_since: Time,
    /// It was not accepted at once: what it said first may have lain there since.
    pub queued_since: Option<Time>,
}
