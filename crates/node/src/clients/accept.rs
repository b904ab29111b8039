//! Accepting clients' connections.

use std::os::fd::OwnedFd;

use glendeck::domain::Time;
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use tracing::warn;

use super::{ACCEPT_RETRY_DELAY, FIRST_LINE_TIMEOUT, RESERVED_FOR_ATTEMPTS};
use crate::connection::Connection;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Maximum connections accepted in one turn of the loop, so that open connections do not wait for a whole
/// burst.
const MAX_ACCEPTS: usize = 64;

/// What is known about the accept queue of the listening socket.
#[derive(Default)]
pub(crate) struct AcceptQueue {
    /// Since when connections may have been waiting in the queue.
    waiting_since: Option<Time>,
    /// When the node last tried to accept connections.
    last_accepted: Time,
}

impl AcceptQueue {
    /// Clears `waiting_since` if it is outdated. No event tells that the last connection of the queue was
    /// accepted, and the next connection would count as waiting since the old time. While connections wait,
    /// accepting is tried again within [`ACCEPT_RETRY_DELAY`], so after twice that the queue was empty.
    fn begin_accepting(&mut self, now: Time) {
        if now.since(self.last_accepted) > ACCEPT_RETRY_DELAY.times(2.0) {
            self.waiting_since = None;
        }
        self.last_accepted = now;
    }
}

impl Service {
    /// Accepts connections, and returns whether the accept queue of the listening socket is empty.
    pub(crate) fn accept(&mut self) -> bool {
        self.accept_queue.begin_accepting(self.now);
        for _ in 0..MAX_ACCEPTS {
            if !self.free_descriptors(RESERVED_FOR_ATTEMPTS + 1) {
                self.pause_accepting();
                return false;
            }
            let Some(listener) = &self.listener else { return true };
            match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    let id = self.add_client(fd, Vec::new());
                    if let Some(socket) = id.and_then(|id| self.sockets.get_mut(id.0)) {
                        socket.queued_since = self.accept_queue.waiting_since;
                    }
                }
                Err(Errno::AGAIN) => {
                    self.accept_queue.waiting_since = None;
                    return true;
                }
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(cause) => {
                    warn!(%cause, "cannot accept a client connection");
                    self.pause_accepting();
                    return false;
                }
            }
        }
        self.accept_queue.waiting_since.get_or_insert(self.now);
        false
    }

    /// Stops watching the listening socket until the next try. It stays ready while nothing can be accepted,
    /// and the loop would spin.
    fn pause_accepting(&mut self) {
        self.accept_queue.waiting_since.get_or_insert(self.now);
        self.watch_for_clients(false);
        self.timers.set(self.now + ACCEPT_RETRY_DELAY, TimerEvent::RetryAccept);
    }

    /// Adds a client that has not opened a call, with the bytes received from it so far.
    pub(crate) fn add_client(&mut self, fd: OwnedFd, inbox: Vec<u8>) -> Option<ConnectionId> {
        let mut connection = Connection::new(fd, false);
        connection.inbox = inbox;
        let id = self.add_connection(connection, SocketRole::Client(None))?;
        self.timers.set(self.now + FIRST_LINE_TIMEOUT, TimerEvent::FirstLineTimeout(id));
        self.mark_idle(id);
        Some(id)
    }
}
