//! Entries of a node's socket table: their ids and roles.

use glendeck::domain::{CallId, HostId, Time};

use crate::connection::Connection;

/// The number of a socket in the table; it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub u64);

/// What a socket is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketRole {
    /// A client's connection, with its call once the client has requested one.
    Client(Option<CallId>),
    /// A call's attempt at a host, or its open connection there.
    Host(CallId),
    /// A probe of a host.
    Probe(HostId),
    /// The connection for endpoint list requests, with the deadline of the current request.
    EndpointList(Time),
    /// The last bytes are being sent, and the peer's end is awaited for a limited time.
    Closing,
    /// A client of the admin interface.
    Admin,
    /// The node process that takes over from this one.
    Successor,
    /// The node process that this one takes over from.
    Predecessor,
    /// Another node of the fleet.
    Peer,
}

/// A socket in the table.
pub(crate) struct SocketEntry {
    /// The socket with its buffers.
    pub connection: Connection,
    /// What the socket is used for.
    pub role: SocketRole,
    /// When the socket was opened, or when its peer last sent `PING`.
    pub opened_or_pinged_at: Time,
    /// Since when the socket has served no call: its client has not opened one yet, or it is closing.
    pub idle_since: Time,
    /// If the connection was not accepted at once: since when its first line may have been waiting.
    pub queued_since: Option<Time>,
}
