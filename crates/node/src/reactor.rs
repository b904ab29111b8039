//! The kernel's epoll: which sockets are ready.

use std::os::fd::{AsFd, OwnedFd};

use glendeck::domain::Span;
use rustix::event::{Timespec, epoll};
use rustix::io::Errno;

pub use epoll::EventFlags as Flags;

pub struct Reactor {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

/// Events taken at once; more are taken in the next turn. As many as a process has descriptors as a rule, so
/// that operators' calls are among them, however many clients are ready.
const BATCH: usize = 1024;

impl Reactor {
    pub fn new() -> Result<Reactor, Errno> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Reactor { epoll, events: Vec::with_capacity(BATCH) })
    }

    pub fn add(&self, fd: impl AsFd, number: u64, flags: Flags) -> Result<(), Errno> {
        epoll::add(&self.epoll, fd, epoll::EventData::new_u64(number), flags)
    }

    /// Danger: what is watched is the open socket, not this process's number of it. One that another process holds
    /// too stays watched after the close here, and its events would never end.
    pub fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
    }

    pub fn change(&self, fd: impl AsFd, number: u64, flags: Flags) -> Result<(), Errno> {
        epoll::modify(&self.epoll, fd, epoll::EventData::new_u64(number), flags)
    }

    /// Waits for events until the time is over, and hands out how many came.
    pub fn wait(&mut self, limit: Option<Span>) -> Result<usize, Errno> {
        let limit = limit.map(|span| Timespec {
            tv_sec: (span.0 / 1_000_000_000) as i64,
            tv_nsec: (span.0 % 1_000_000_000) as i64,
        });
        self.events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut self.events), limit.as_ref()) {
            Ok(n) => Ok(n),
            Err(Errno::INTR) => Ok(0),
            Err(fault) => Err(fault),
        }
    }

    pub fn event(&self, at: usize) -> Option<(u64, Flags)> {
        self.events.get(at).map(|event| (event.data.u64(), event.flags))
    }
}

// Numbers of what is watched beside the sockets of the table.

pub const LISTENER: u64 = u64::MAX;
pub const SIGNALS: u64 = u64::MAX - 1;
pub const RELOADS: u64 = u64::MAX - 2;
pub const ADMIN: u64 = u64::MAX - 3;
pub const SUCCESSORS: u64 = u64::MAX - 4;
pub const PEERS: u64 = u64::MAX - 5;
pub const STORE: u64 = u64::MAX - 6;
