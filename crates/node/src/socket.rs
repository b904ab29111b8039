//! The sockets in a node's table: their ids and what each is for.

use glendeck::domain::{CallId, HostId, Time};

use crate::connection::Connection;

/// A socket's number in the table, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// What a socket is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketRole {
    /// A client, and its call once it has asked for one.
    Client(Option<CallId>),
    /// A call's attempt at a host, or its open connection there.
    Host(CallId),
    /// A probe of a host.
    Probe(HostId),
    /// A request for the endpoint list, with the time by which its answer is given up.
    EndpointList(Time),
    /// The last bytes are sent and the peer's end is awaited.
    Closing,
    /// A caller of the admin interface.
    Admin,
    /// The process that takes over from this one.
    Successor,
    /// The process that this one takes over from.
    Predecessor,
    /// Another node of the fleet.
    Peer,
}

/// A socket in the table.
pub(crate) struct SocketEntry {
    /// The socket itself with its buffers.
    pub connection: Connection,
    /// What it is for.
    pub role: SocketRole,
    /// When it was opened, or last sent `PING`.
    pub quiet_since: Time,
    /// Since when it is of no use to a call: it has opened none yet, or it is closing.
    pub idle_since: Time,
    /// If it was not accepted at once: since when its first line may have lain unread.
    pub queued_since: Option<Time>,
}
