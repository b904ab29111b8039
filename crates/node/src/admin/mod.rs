//! The admin interface: HTTP for operators, one request per connection.
//!
//! This module accepts callers and reads their requests; [`routes`] has the paths, [`reply`] the responses.

pub(crate) mod reply;
mod routes;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use glendeck::domain::Span;
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use tracing::{debug, warn};

use self::reply::Reply;
use crate::clients::ACCEPT_RETRY_DELAY;
use crate::connection::{self, Connection, ReadOutcome};
use crate::http::request::{Method, RequestReader};
use crate::reactor::ADMIN;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Maximum number of concurrent callers: one or two scrapers, an operator, and as many slow callers. Their
/// file descriptors are reserved and not available to clients, so the number is small.
pub(crate) const CALLERS: usize = 12;

/// Maximum lifetime of a caller's connection from accepting it; limits callers that are slow to send a
/// request or to take the reply.
const CALLER_TIMEOUT: Span = Span::ms(5_000);

/// Maximum number of bytes that a caller may send after its request before it is dropped.
const MAX_DISCARDED: usize = 64 << 10;

/// The admin interface cannot listen on its address.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {cause}")]
pub(crate) struct AdminListenError {
    /// The address.
    pub address: SocketAddr,
    /// The system's error.
    pub cause: Errno,
}

/// One connection to the admin interface.
pub(crate) struct Caller {
    id: ConnectionId,
    reader: RequestReader,
    /// Whether its reply has been queued.
    is_answered: bool,
}

/// The admin interface's listening socket, if there is one, and its callers, oldest first.
#[derive(Default)]
pub(crate) struct AdminServer {
    /// The listening socket, if an address is configured.
    pub listener: Option<OwnedFd>,
    /// The connected callers.
    pub callers: VecDeque<Caller>,
}

impl AdminServer {
    /// Listens on the address, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen there.
    pub(crate) fn open(address: Option<SocketAddr>) -> Result<AdminServer, AdminListenError> {
        let listen =
            |address| connection::listen(address).map_err(|cause| AdminListenError { address, cause });
        Ok(AdminServer { listener: address.map(listen).transpose()?, callers: VecDeque::new() })
    }
}

impl Service {
    /// Whether an event with this number belongs to the admin interface.
    pub(crate) fn is_admin_socket(&self, number: u64) -> bool {
        number == ADMIN || self.role(ConnectionId(number)) == Some(SocketRole::Admin)
    }

    /// Accepts pending connections to the admin interface.
    pub(crate) fn accept_callers(&mut self) {
        for _ in 0..CALLERS {
            let Some(listener) = &self.admin.listener else { return };
            match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(socket) => self.add_caller(socket),
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(Errno::AGAIN) => return,
                Err(cause) => {
                    // While accepting fails, the socket stays ready and the event loop would spin.
                    warn!(%cause, "cannot accept connections to the admin interface");
                    self.watch_admin(false);
                    return self.timers.set(self.now + ACCEPT_RETRY_DELAY, TimerEvent::RetryAccept);
                }
            }
        }
    }

    fn add_caller(&mut self, socket: OwnedFd) {
        self.evict_callers();
        let connection = Connection::new(socket, false);
        let Some(id) = self.add_connection(connection, SocketRole::Admin) else { return };
        self.admin.callers.push_back(Caller { id, reader: RequestReader::default(), is_answered: false });
        self.timers.set(self.now + CALLER_TIMEOUT, TimerEvent::AdminTimeout(id));
    }

    /// Makes room for one more caller; otherwise callers that never finish a request would block the others.
    /// Drops first a caller whose reply has been sent; else the oldest without a complete request; else the
    /// oldest.
    fn evict_callers(&mut self) {
        while self.admin.callers.len() >= CALLERS {
            let has_reply_sent = |caller: &Caller| {
                self.sockets.get(caller.id.0).is_none_or(|entry| entry.connection.unsent() == 0)
            };
            let callers = &self.admin.callers;
            let done = callers.iter().position(|caller| caller.is_answered && has_reply_sent(caller));
            let unfinished = callers.iter().position(|caller| !caller.is_answered);
            let Some(caller) = callers.get(done.or(unfinished).unwrap_or(0)) else { return };
            self.drop_caller(caller.id);
        }
    }

    /// Closes a caller's connection.
    pub(crate) fn drop_caller(&mut self, id: ConnectionId) {
        if self.role(id) == Some(SocketRole::Admin) {
            self.admin.callers.retain(|caller| caller.id != id);
            self.close_connection(id);
        }
    }

    /// Drops a caller if both directions of its connection are closed, or if it has sent more than
    /// [`MAX_DISCARDED`] bytes after its request.
    pub(crate) fn drop_finished_caller(&mut self, id: ConnectionId) {
        let Some(entry) = self.sockets.get(id.0) else { return };
        if entry.connection.is_over() || entry.connection.discarded > MAX_DISCARDED {
            self.drop_caller(id);
        }
    }

    /// Handles data from a caller, or the end of its connection.
    pub(crate) fn admin_readable(&mut self, id: ConnectionId, outcome: ReadOutcome) {
        let Some(caller) = self.admin.callers.iter_mut().find(|caller| caller.id == id) else { return };
        let Some(entry) = self.sockets.get_mut(id.0) else { return };
        match outcome {
            ReadOutcome::NothingYet => {}
            ReadOutcome::End if caller.is_answered => self.drop_finished_caller(id),
            // An incomplete request gets no reply.
            ReadOutcome::End => self.drop_caller(id),
            ReadOutcome::Bytes(length) if caller.is_answered => {
                entry.connection.discarded += length;
                self.drop_finished_caller(id);
            }
            ReadOutcome::Bytes(length) => {
                entry.connection.inbox.extend_from_slice(&self.read_buffer[..length]);
                self.read_request(id);
            }
        }
    }

    fn read_request(&mut self, id: ConnectionId) {
        let Some(caller) = self.admin.callers.iter_mut().find(|caller| caller.id == id) else { return };
        let Some(entry) = self.sockets.get_mut(id.0) else { return };
        match caller.reader.read(&mut entry.connection.inbox) {
            Ok(None) => {}
            Ok(Some(request)) => {
                if let Some(reply) = self.handle_request(id, &request) {
                    self.send_reply(id, &reply, request.method != Method::Head);
                }
            }
            Err(cause) => {
                debug!(%cause, "unreadable request at the admin interface");
                self.send_reply(id, &Reply::from(cause), true);
            }
        }
    }

    /// Sends a reply, after which the caller's connection ends.
    pub(crate) fn send_reply(&mut self, id: ConnectionId, reply: &Reply, with_body: bool) {
        let Some(caller) = self.admin.callers.iter_mut().find(|caller| caller.id == id) else { return };
        caller.is_answered = true;
        if let Some(entry) = self.sockets.get_mut(id.0) {
            reply.encode(with_body, &mut entry.connection.outbox);
            entry.connection.inbox = Vec::new();
            entry.connection.shutdown_after_flush = true;
        }
        self.flush_connection(id);
    }
}
