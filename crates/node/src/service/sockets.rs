//! The socket table of a node, and the number of descriptors that sockets and calls need.

use std::os::fd::AsFd;
use std::os::unix::net::UnixListener;

use glendeck::domain::{CallId, Time};
use rustix::io::Errno;

use super::Service;
use crate::admin::CALLERS;
use crate::call::InFlightCall;
use crate::connection::Connection;
use crate::metrics::Outcome;
use crate::reactor::{ADMIN, Flags, LISTENER, Reactor, SUCCESSORS};
use crate::slots::Slots;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};

/// Number of descriptors that the node itself uses: standard streams, epoll, the listening socket, two ends
/// for each of two signals, the socket for the successor, one for accepting or for reading the configuration,
/// and one for the endpoint list. Without the last one, a lost watch could not be reopened while idle clients
/// hold every descriptor.
const OWN_DESCRIPTORS: usize = 12;

/// Sockets by id. The reactor watches each socket as long as it is in the table.
pub(crate) struct SocketTable {
    /// The reactor, which also watches the listening sockets; they are not in the table.
    pub reactor: Reactor,
    entries: Slots<SocketEntry>,
}

impl SocketTable {
    /// Creates an empty table.
    pub(crate) fn new(reactor: Reactor) -> SocketTable {
        SocketTable { reactor, entries: Slots::default() }
    }

    /// Adds a socket and watches it; a socket that cannot be watched is closed.
    pub(crate) fn insert(
        &mut self,
        connection: Connection,
        role: SocketRole,
        now: Time,
    ) -> Option<ConnectionId> {
        let entry =
            SocketEntry { connection, role, opened_or_pinged_at: now, idle_since: now, queued_since: None };
        let id = ConnectionId(self.entries.insert(entry));
        let connection = &self.entries.get(id.0)?.connection;
        if self.reactor.add(&connection.fd, id.0, connection.watched).is_err() {
            self.close(id);
            return None;
        }
        Some(id)
    }

    /// The socket with this number, if it is still in the table.
    pub(crate) fn get(&self, number: u64) -> Option<&SocketEntry> {
        self.entries.get(number)
    }

    /// Mutable access to the socket with this number, if it is still in the table.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut SocketEntry> {
        self.entries.get_mut(number)
    }

    /// The number of sockets.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All sockets with their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &SocketEntry)> {
        self.entries.iter()
    }

    /// Updates the events that a socket is watched for.
    pub(crate) fn watch(&mut self, id: ConnectionId) {
        let Some(socket) = self.entries.get_mut(id.0) else { return };
        let wanted = socket.connection.wanted();
        if wanted != socket.connection.watched
            && self.reactor.change(&socket.connection.fd, id.0, wanted).is_ok()
        {
            socket.connection.watched = wanted;
        }
    }

    /// Removes a socket from the table, which closes it.
    pub(crate) fn close(&mut self, id: ConnectionId) {
        self.entries.remove(id.0);
    }

    /// Closes a socket so that its peer sees a reset.
    pub(crate) fn reset(&mut self, id: ConnectionId) {
        if let Some(socket) = self.entries.get(id.0) {
            socket.connection.reset_on_close();
        }
        self.close(id);
    }

    /// Closes this process's descriptor of a socket that another process holds too; the connection continues
    /// there.
    pub(crate) fn abandon(&mut self, id: ConnectionId) {
        if let Some(socket) = self.entries.get(id.0) {
            self.reactor.remove(&socket.connection.fd);
        }
        self.close(id);
    }
}

impl Service {
    /// The role of a socket, if it is still open.
    pub(crate) fn role(&self, id: ConnectionId) -> Option<SocketRole> {
        self.sockets.get(id.0).map(|socket| socket.role)
    }

    /// Adds a socket to the table.
    pub(crate) fn add_connection(
        &mut self,
        connection: Connection,
        role: SocketRole,
    ) -> Option<ConnectionId> {
        self.sockets.insert(connection, role, self.now)
    }

    /// Closes a socket.
    pub(crate) fn close_connection(&mut self, id: ConnectionId) {
        self.sockets.close(id);
    }

    /// Closes this process's descriptor of a socket that another process holds too; see
    /// [`SocketTable::abandon`].
    pub(crate) fn abandon_connection(&mut self, id: ConnectionId) {
        self.sockets.abandon(id);
    }

    /// Sends what the socket accepts. If the connection fails, the next event shows it.
    pub(crate) fn flush_connection(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let _ = socket.connection.flush();
        if let SocketRole::Host(call) = socket.role {
            self.note_line_sent(call);
        }
        self.sockets.watch(id);
    }

    /// Watches the listening socket for clients, or stops watching it.
    pub(crate) fn watch_for_clients(&mut self, clients: bool) {
        if let Some(listener) = &self.listener {
            let _ = self.sockets.reactor.change(listener, LISTENER, readable_if(clients));
        }
    }

    /// Watches the admin interface for new connections, or stops watching it.
    pub(crate) fn watch_admin(&mut self, open: bool) {
        if let Some(listener) = &self.admin.listener {
            let _ = self.sockets.reactor.change(listener, ADMIN, readable_if(open));
        }
    }

    /// Watches another listening socket.
    ///
    /// # Errors
    ///
    /// Returns the error of epoll.
    pub(crate) fn watch_listener(&mut self, fd: impl AsFd, number: u64) -> Result<(), Errno> {
        self.sockets.reactor.add(fd, number, Flags::IN)
    }

    /// Watches the Unix socket on which a successor connects.
    ///
    /// # Errors
    ///
    /// Returns the error of epoll.
    pub(crate) fn watch_successor_socket(&mut self, listener: &UnixListener) -> Result<(), Errno> {
        self.watch_listener(listener, SUCCESSORS)
    }

    /// The number of descriptors in use here or by the predecessor, reserved, or needed by in-flight calls
    /// for attempts that are still to come.
    pub(crate) fn descriptors(&self) -> usize {
        let peer_links = self.membership.as_ref().map_or(0, |membership| membership.peers.links());
        let future_attempts = self.calls.len() - self.attempts_out.min(self.calls.len());
        self.reserved_descriptors() + self.handover.predecessor_descriptors + self.sockets.len()
            - peer_links
            - self.admin.callers.len()
            + future_attempts
    }

    /// The number of reserved descriptors, of the predecessor's, and of those that the in-flight calls need:
    /// two each, for client and host.
    pub(crate) fn committed_descriptors(&self) -> usize {
        self.reserved_descriptors() + self.handover.predecessor_descriptors + 2 * self.calls.len()
    }

    /// The number of descriptors reserved for the node itself, its peers and the admin interface, regardless
    /// of the number of clients.
    fn reserved_descriptors(&self) -> usize {
        let peers = self.membership.as_ref().map_or(0, |membership| membership.descriptors());
        let admin = if self.admin.listener.is_some() { 1 + CALLERS } else { 0 };
        OWN_DESCRIPTORS + peers + admin
    }

    /// Removes a call. A call that never opened is counted in the metrics here; an open one was counted when
    /// it opened.
    pub(crate) fn forget_call(&mut self, id: CallId) -> Option<InFlightCall> {
        self.end_replicated_call(id);
        let in_flight = self.calls.remove(id.0)?;
        if !in_flight.stage.is_established() {
            let outcome = in_flight.outcome.unwrap_or(Outcome::Failure);
            self.metrics.count(in_flight.call.class, outcome);
        }
        Some(in_flight)
    }
}

fn readable_if(is_watched: bool) -> Flags {
    if is_watched { Flags::IN } else { Flags::empty() }
}
