//! One non-blocking socket with its buffers.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType, sockopt};

use crate::reactor::Flags;

/// Maximum bytes per read.
pub(crate) const READ_SIZE: usize = 16 << 10;

/// Once an outbox holds more unsent bytes than this, the socket whose data fills it is not read until
/// [`LOW_WATER_MARK`]. Sent bytes are also removed from an outbox once they exceed this number.
pub(crate) const HIGH_WATER_MARK: usize = 16 << 10;

/// Reading resumes once the outbox holds at most this many unsent bytes.
pub(crate) const LOW_WATER_MARK: usize = HIGH_WATER_MARK / 2;

/// Pending connections that the kernel queues: enough for a burst of a whole fleet's clients.
const LISTEN_BACKLOG: i32 = 1024;

/// A socket with its receive and send buffers.
pub(crate) struct Connection {
    /// The socket.
    pub fd: OwnedFd,
    /// Received bytes that have not been processed yet.
    pub inbox: Vec<u8>,
    /// Bytes to send; the first `sent` of them have been sent.
    pub outbox: Vec<u8>,
    sent: usize,
    /// Number of bytes that the kernel has taken, since the start of the connection.
    pub bytes_sent: u64,
    /// The TCP connection is not established yet.
    pub connecting: bool,
    /// Reading is suspended because the outbox that receives these bytes is over its high-water mark.
    pub paused: bool,
    /// The peer has shut down its sending side.
    pub read_ended: bool,
    /// The sending side is shut down once the outbox is empty.
    pub shutdown_after_flush: bool,
    write_ended: bool,
    /// Sending failed; bytes that were still unsent are lost.
    pub broken: bool,
    /// Number of bytes received and discarded while closing.
    pub discarded: usize,
    /// The events that the reactor currently watches for.
    pub watched: Flags,
}

/// What a peer has done since the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// The peer has neither sent nor ended anything.
    Quiet,
    /// The peer has sent data.
    HasSent,
    /// The peer has shut down its sending side, or the connection has failed.
    Ended,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// This many bytes were read into the buffer.
    Bytes(usize),
    /// No data is available.
    NothingYet,
    /// The peer has shut down its sending side.
    End,
}

/// Opens a listening socket.
///
/// # Errors
///
/// Returns the error of the system call that failed.
pub(crate) fn listen(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let fd = open_socket(address)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    // A successor that cannot receive this socket binds its own socket to the same address.
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
    /// Wraps a socket, with empty buffers; `connecting` tells that the connection is not established yet.
    pub(crate) fn new(fd: OwnedFd, connecting: bool) -> Connection {
        let watched = Flags::IN | if connecting { Flags::OUT } else { Flags::empty() };
        // Lines are short and must be sent without delay.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        Connection {
            fd,
            inbox: Vec::new(),
            outbox: Vec::new(),
            sent: 0,
            bytes_sent: 0,
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

    /// Starts a non-blocking connect.
    ///
    /// # Errors
    ///
    /// Returns an error that occurs immediately; [`Connection::finish_connect`] returns later ones.
    pub(crate) fn connect(address: SocketAddr) -> Result<Connection, Errno> {
        let fd = open_socket(address)?;
        match net::connect(&fd, &address) {
            Ok(()) => Ok(Connection::new(fd, false)),
            Err(Errno::INPROGRESS | Errno::INTR) => Ok(Connection::new(fd, true)),
            Err(error) => Err(error),
        }
    }

    /// Completes a connect and checks its result.
    ///
    /// # Errors
    ///
    /// Returns why the connect failed.
    pub(crate) fn finish_connect(&mut self) -> Result<(), Errno> {
        self.connecting = false;
        sockopt::socket_error(&self.fd)?
    }

    /// The events that the reactor should watch for.
    pub(crate) fn wanted(&self) -> Flags {
        let mut flags = Flags::empty();
        flags.set(Flags::IN, !self.paused && !self.read_ended);
        flags.set(Flags::OUT, self.connecting || self.unsent() > 0);
        flags
    }

    /// The bytes that have not been sent yet.
    pub(crate) fn unsent_bytes(&self) -> &[u8] {
        &self.outbox[self.sent..]
    }

    /// Whether the connection is established, neither side has been ended and nothing has failed.
    pub(crate) fn is_usable(&self) -> bool {
        !(self.connecting || self.read_ended || self.shutdown_after_flush || self.broken)
    }

    /// The number of bytes that have not been sent yet.
    pub(crate) fn unsent(&self) -> usize {
        self.outbox.len() - self.sent
    }

    /// Reads once into `buffer`.
    ///
    /// # Errors
    ///
    /// Returns why the connection failed.
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

    /// Checks what the peer has done, without consuming data.
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

    /// Sends as much as the socket accepts, and shuts down the sending side after the last byte if that was
    /// requested.
    ///
    /// # Errors
    ///
    /// Returns why the connection failed. The outbox is then cleared and `broken` is set, so that nothing that
    /// is or was in the outbox counts as sent.
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
                Ok(count) => {
                    self.sent += count;
                    self.bytes_sent += count as u64;
                }
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

    /// Whether both directions have been shut down.
    pub(crate) fn is_over(&self) -> bool {
        self.read_ended && self.write_ended
    }

    /// Makes the next close reset the connection instead of ending it in order.
    pub(crate) fn reset_on_close(&self) {
        let _ = sockopt::set_socket_linger(&self.fd, Some(Duration::ZERO));
    }
}
