//! The kernel's epoll: which sockets are ready.

use std::os::fd::{AsFd, OwnedFd};

use glendeck::domain::Span;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;

pub(crate) use epoll::EventFlags as Flags;

// What is watched beside the sockets of the table, by numbers that the table never gives.

/// Where clients connect.
pub(crate) const LISTENER: u64 = u64::MAX;
/// SIGTERM has come.
pub(crate) const SIGNALS: u64 = u64::MAX - 1;
/// SIGHUP has come.
pub(crate) const RELOADS: u64 = u64::MAX - 2;
/// Where callers of the admin interface connect.
pub(crate) const ADMIN: u64 = u64::MAX - 3;
/// Where a successor connects.
pub(crate) const SUCCESSORS: u64 = u64::MAX - 4;
/// Where other nodes of the fleet connect.
pub(crate) const PEERS: u64 = u64::MAX - 5;
/// The fleet's store has something to say.
pub(crate) const STORE: u64 = u64::MAX - 6;

/// Events taken at once; more are taken in the next turn. As many as a process usually has descriptors, so
/// that admin requests are among them however many clients are ready.
const MAX_EVENTS: usize = 1024;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// An epoll instance with the events of the last wait.
pub(crate) struct Reactor {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Reactor {
    /// Watches nothing yet.
    ///
    /// # Errors
    ///
    /// What epoll says.
    pub(crate) fn new() -> Result<Reactor, Errno> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Reactor { epoll, events: Vec::with_capacity(MAX_EVENTS) })
    }

    /// Watches a descriptor; its events carry `number`.
    ///
    /// # Errors
    ///
    /// What epoll says.
    pub(crate) fn add(&self, fd: impl AsFd, number: u64, flags: Flags) -> Result<(), Errno> {
        epoll::add(&self.epoll, fd, epoll::EventData::new_u64(number), flags)
    }

    /// Stops watching a descriptor whose socket another process holds too. Epoll watches the open socket, not
    /// this process's descriptor of it: without this its events would go on after the close here.
    pub(crate) fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
    }

    /// Watches a descriptor for something else.
    ///
    /// # Errors
    ///
    /// What epoll says.
    pub(crate) fn change(&self, fd: impl AsFd, number: u64, flags: Flags) -> Result<(), Errno> {
        epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(number), flags)
    }

    /// Waits for events, no longer than `timeout`, and returns how many came.
    ///
    /// # Errors
    ///
    /// What epoll says; an interrupted wait brings no events and is no error.
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

    /// The number and the flags of an event of the last wait.
    pub(crate) fn event(&self, index: usize) -> Option<(u64, Flags)> {
        self.events.get(index).map(|event| (event.data.u64(), event.flags))
    }
}
