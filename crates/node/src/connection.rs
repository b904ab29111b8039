//! One non-blocking socket with its buffers.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType, sockopt};

use crate::reactor::Flags;

/// Bytes that are read at a time.
pub(crate) const READ_SIZE: usize = 16 << 10;

/// With more unsent bytes than this, whoever fills the outbox is not read.
pub(crate) const HIGH_WATER_MARK: usize = 16 << 10;

/// With no more unsent bytes than this, it is read again.
pub(crate) const LOW_WATER_MARK: usize = HIGH_WATER_MARK / 2;

/// Enough for a burst of a whole fleet's clients.
const LISTEN_BACKLOG: i32 = 1024;

/// A socket with what has been received and what is still to be sent.
pub(crate) struct Connection {
    /// The socket.
    pub fd: OwnedFd,
    /// What was received and is not used yet.
    pub inbox: Vec<u8>,
    /// What is to be sent; the first `sent` bytes have been.
    pub outbox: Vec<u8>,
    sent: usize,
    /// The connection is not established yet.
    pub connecting: bool,
    /// Nothing is read for the moment, as the receiver of its bytes is over its high-water mark.
    pub paused: bool,
    /// The peer has ended its sending.
    pub read_ended: bool,
    /// Sending ends after what is in the outbox.
    pub shutdown_after_flush: bool,
    write_ended: bool,
    /// Sending failed, and what was unsent never will be.
    pub broken: bool,
    /// Bytes that were received while closing and thrown away.
    pub discarded: usize,
    /// What the reactor watches for now.
    pub watched: Flags,
}

/// What a peer has done since it was last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// Nothing.
    Quiet,
    /// It has sent something.
    HasSent,
    /// It has ended its side, or reset the connection.
    Ended,
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// So many bytes are in the buffer.
    Bytes(usize),
    /// Nothing has come.
    NothingYet,
    /// The peer has ended its sending.
    End,
}

/// Opens a listening socket.
///
/// # Errors
///
/// What the system says.
pub(crate) fn listen(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let fd = open_socket(address)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    // A successor that cannot be handed this socket binds one of its own beside it.
    let _ = sockopt::set_socket_reuseport(&fd, true);
    net::bind(&fd, &address)?;
    net::listen(&fd, LISTEN_BACKLOG)?;
    Ok(fd)
}

fn open_socket(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    net::socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)
}

impl Connection {
    /// A socket with empty buffers; `connecting` if it is not established yet.
    pub(crate) fn new(fd: OwnedFd, connecting: bool) -> Connection {
        let watched = Flags::IN | if connecting { Flags::OUT } else { Flags::empty() };
        // Lines are short and wanted at once.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        Connection {
            fd,
            inbox: Vec::new(),
            outbox: Vec::new(),
            sent: 0,
            connecting,
            paused: false,
            read_ended: false,
            shutdown_after_flush: false,
            write_ended: false,
            broken: false,
            discarded: 0,
            watched,
        }
    }

    /// Begins to connect.
    ///
    /// # Errors
    ///
    /// What the system says at once; [`Connection::finish_connect`] tells what comes later.
    pub(crate) fn connect(address: SocketAddr) -> Result<Connection, Errno> {
        let fd = open_socket(address)?;
        match net::connect(&fd, &address) {
            Ok(()) => Ok(Connection::new(fd, false)),
            Err(Errno::INPROGRESS | Errno::INTR) => Ok(Connection::new(fd, true)),
            Err(error) => Err(error),
        }
    }

    /// The attempt to connect is over.
    ///
    /// # Errors
    ///
    /// Why it failed.
    pub(crate) fn finish_connect(&mut self) -> Result<(), Errno> {
        self.connecting = false;
        sockopt::socket_error(&self.fd)?
    }

    /// What the reactor should watch for.
    pub(crate) fn wanted(&self) -> Flags {
        let mut flags = Flags::empty();
        flags.set(Flags::IN, !self.paused && !self.read_ended);
        flags.set(Flags::OUT, self.connecting || self.unsent() > 0);
        flags
    }

    /// The bytes that are still to be sent.
    pub(crate) fn unsent_bytes(&self) -> &[u8] {
        &self.outbox[self.sent..]
    }

    /// Whether it is established and nothing has ended or failed on it.
    pub(crate) fn is_usable(&self) -> bool {
        !(self.connecting || self.read_ended || self.shutdown_after_flush || self.broken)
    }

    /// How many bytes are still to be sent.
    pub(crate) fn unsent(&self) -> usize {
        self.outbox.len() - self.sent
    }

    /// Reads into `buffer`, once.
    ///
    /// # Errors
    ///
    /// Why the connection broke.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> Result<ReadOutcome, Errno> {
        loop {
            return match net::recv(&self.fd, &mut *buffer, RecvFlags::empty()) {
                Ok((_, 0)) => {
                    self.read_ended = true;
                    Ok(ReadOutcome::End)
                }
                Ok((_, count)) => Ok(ReadOutcome::Bytes(count)),
                Err(Errno::INTR) => continue,
                Err(Errno::AGAIN) => Ok(ReadOutcome::NothingYet),
                Err(error) => Err(error),
            };
        }
    }

    /// Looks at what the peer has done, without reading.
    pub(crate) fn peer_state(&self) -> PeerState {
        if self.read_ended || self.broken {
            return PeerState::Ended;
        }
        loop {
            return match net::recv(&self.fd, &mut [0u8; 1][..], RecvFlags::PEEK) {
                Ok((_, 0)) => PeerState::Ended,
                Ok(_) => PeerState::HasSent,
                Err(Errno::INTR) => continue,
                Err(Errno::AGAIN) => PeerState::Quiet,
                Err(_) => PeerState::Ended,
            };
        }
    }

    /// Sends what the socket takes now, and ends sending after the last byte if that is wanted.
    ///
    /// # Errors
    ///
    /// Why the connection broke. The outbox is emptied then: what was not sent must not look as if it had
    /// been, nor be the place from where a later line is counted.
    pub(crate) fn flush(&mut self) -> Result<(), Errno> {
        let flushed = self.send_outbox();
        if flushed.is_err() {
            self.outbox.clear();
            self.sent = 0;
            self.broken = true;
        }
        flushed
    }

    fn send_outbox(&mut self) -> Result<(), Errno> {
        if self.connecting {
            return Ok(());
        }
        while self.sent < self.outbox.len() {
            match net::send(&self.fd, &self.outbox[self.sent..], SendFlags::NOSIGNAL) {
                Ok(count) => self.sent += count,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(error) => return Err(error),
            }
        }
        if self.sent == self.outbox.len() {
            self.outbox.clear();
            self.sent = 0;
            if self.shutdown_after_flush && !self.write_ended {
                self.write_ended = true;
                net::shutdown(&self.fd, Shutdown::Write)?;
            }
        } else if self.sent > HIGH_WATER_MARK {
            self.outbox.drain(..self.sent);
            self.sent = 0;
        }
        Ok(())
    }

    /// Whether both directions have ended.
    pub(crate) fn is_over(&self) -> bool {
        self.read_ended && self.write_ended
    }

    /// Makes the close that follows reset the connection instead of ending it.
    pub(crate) fn reset_on_close(&self) {
        let _ = sockopt::set_socket_linger(&self.fd, Some(Duration::ZERO));
    }
}
