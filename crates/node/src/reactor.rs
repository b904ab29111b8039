//! The reactor: waits with epoll for sockets to become ready.

use std::os::fd::{AsFd, OwnedFd};

use glendeck::domain::Span;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;

pub(crate) use epoll::EventFlags as Flags;

// Event numbers of descriptors outside the socket table; the table never assigns these numbers.

/// The listening socket for clients.
pub(crate) const LISTENER: u64 = u64::MAX;
/// The stream that becomes readable on SIGTERM.
pub(crate) const TERM_SIGNALS: u64 = u64::MAX - 1;
/// The stream that becomes readable on SIGHUP.
pub(crate) const RELOAD_SIGNALS: u64 = u64::MAX - 2;
/// The listening socket of the admin interface.
pub(crate) const ADMIN: u64 = u64::MAX - 3;
/// The Unix socket on which a successor connects.
pub(crate) const SUCCESSORS: u64 = u64::MAX - 4;
/// The listening socket for other nodes of the fleet.
pub(crate) const PEERS: u64 = u64::MAX - 5;
/// The descriptor that becomes readable when the fleet store's thread has a result.
pub(crate) const STORE: u64 = u64::MAX - 6;

/// Maximum events per wait; more are returned by the next wait. This is as many as a process usually has
/// descriptors, so that admin requests are among the events even if all clients are ready.
const MAX_EVENTS: usize = 1024;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// An epoll instance and the events of the last wait.
pub(crate) struct Reactor {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Reactor {
    /// Creates an epoll instance that watches nothing.
    ///
    /// # Errors
    ///
    /// Returns the error of epoll.
    pub(crate) fn new() -> Result<Reactor, Errno> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Reactor { epoll, events: Vec::with_capacity(MAX_EVENTS) })
    }

    /// Starts watching a descriptor; its events carry `number`.
    ///
    /// # Errors
    ///
    /// Returns the error of epoll.
    pub(crate) fn add(&self, fd: impl AsFd, number: u64, flags: Flags) -> Result<(), Errno> {
        epoll::add(&self.epoll, fd, epoll::EventData::new_u64(number), flags)
    }

    /// Stops watching a descriptor whose socket another process holds too. Epoll watches the open socket, not
    /// this process's descriptor: without this call, events would continue after the descriptor is closed.
    pub(crate) fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
    }

    /// Changes the events that a descriptor is watched for.
    ///
    /// # Errors
    ///
    /// Returns the error of epoll.
    pub(crate) fn change(&self, fd: impl AsFd, number: u64, flags: Flags) -> Result<(), Errno> {
        epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(number), flags)
    }

    /// Waits for events for at most `timeout`, and returns their number.
    ///
    /// # Errors
    ///
    /// Returns the error of epoll; an interrupted wait returns 0 events instead of an error.
    pub(crate) fn wait(&mut self, timeout: Option<Span>) -> Result<usize, Errno> {
        let timeout = timeout.map(|span| Timespec {
            tv_sec: (span.0 / NANOSECONDS_PER_SECOND) as i64,
            tv_nsec: (span.0 % NANOSECONDS_PER_SECOND) as i64,
        });
        self.events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), timeout.as_ref()) {
            Ok(count) => Ok(count),
            Err(Errno::INTR) => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// The descriptor's number and the flags of an event of the last wait.
    pub(crate) fn event(&self, index: usize) -> Option<(u64, Flags)> {
        self.events.get(index).map(|event| (event.data.u64(), event.flags))
    }
}
