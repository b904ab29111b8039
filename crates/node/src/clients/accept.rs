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

/// Connections accepted in one turn of the loop: open ones must not wait for a whole burst.
const MAX_ACCEPTS: usize = 64;

/// What is known of the listening socket's queue.
#[derive(Default)]
pub(crate) struct AcceptQueue {
    /// Since when connections may wait in it.
    waiting_since: Option<Time>,
    /// When connections were last accepted.
    last_accepted: Time,
}

impl AcceptQueue {
    /// When the last connection of a queue was accepted no event tells so, and whoever comes next would count
    /// as having waited since. While connections wait, accepting is tried again within [`ACCEPT_RETRY_DELAY`].
    fn begin_accepting(&mut self, now: Time) {
        if now.since(self.last_accepted) > ACCEPT_RETRY_DELAY.times(2.0) {
            self.waiting_since = None;
        }
        self.last_accepted = now;
    }
}

impl Service {
    /// Accepts connections, and says whether the listening socket's queue is empty.
    pub(crate) fn accept(&mut self) -> bool {
        self.accept_queue.begin_accepting(self.now);
        for _ in 0..MAX_ACCEPTS {
            if !self.make_room(RESERVED_FOR_ATTEMPTS + 1) {
                self.accept_later();
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
                    warn!(%cause, "cannot accept");
                    self.accept_later();
                    return false;
                }
            }
        }
        self.accept_queue.waiting_since.get_or_insert(self.now);
        false
    }

    /// The listening socket stays ready while nothing can be accepted, so it is not watched for a moment: the
    /// loop would be busy for nothing.
    fn accept_later(&mut self) {
        self.accept_queue.waiting_since.get_or_insert(self.now);
        self.watch_for_clients(false);
        self.timers.set(self.now + ACCEPT_RETRY_DELAY, TimerEvent::RetryAccept);
    }

    /// Adds a client that has not opened anything, with the bytes that have come from it.
    pub(crate) fn add_client(&mut self, fd: OwnedFd, inbox: Vec<u8>) -> Option<ConnectionId> {
        let mut connection = Connection::new(fd, false);
        connection.inbox = inbox;
        let id = self.add_connection(connection, SocketRole::Client(None))?;
        self.timers.set(self.now + FIRST_LINE_TIMEOUT, TimerEvent::FirstLineTimeout(id));
        self.note_idle(id);
        Some(id)
    }
}
