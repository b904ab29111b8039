//! One socket with what has come and what is still to go.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use rustix::io::Errno;
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType, sockopt};

use crate::reactor::Flags;

pub struct Connection {
    pub fd: OwnedFd,
    /// What came and is not used yet.
    pub inbox: Vec<u8>,
    /// What is to be sent; the first `sent` bytes have gone.
    pub outbox: Vec<u8>,
    sent: usize,
    /// It still comes up.
    pub connecting: bool,
    /// Nothing is read for the moment: whom it is for has much to take already.
    pub paused: bool,
    /// The peer has ended its sending.
    pub read_ended: bool,
    /// After what is to be sent, our sending ends.
    pub finish: bool,
    write_ended: bool,
    /// Sending failed: what was still to go never went.
    pub broken: bool,
    /// How much came after its last words and was thrown away.
    pub discarded: usize,
    /// What the reactor watches for now.
    pub watched: Flags,
}

/// What a peer that was not read since shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// It waits.
    Waits,
    /// It has sent something more.
    Spoke,
    /// It has ended its side, or reset the connection.
    Gone,
}

pub enum Got {
    Bytes(usize),
    NothingYet,
    End,
}

/// More is to be sent than this: whoever fills the outbox is not read until it is half empty.
pub const MUCH: usize = 16 << 10;

/// Listening sockets take a burst of a whole fleet's clients.
const BACKLOG: i32 = 1024;

pub fn listen(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let fd = socket(address)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    // Where the next process cannot be handed this socket it binds one of its own beside it.
    let _ = sockopt::set_socket_reuseport(&fd, true);
    net::bind(&fd, &address)?;
    net::listen(&fd, BACKLOG)?;
    Ok(fd)
}

fn socket(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    net::socket_with(family, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)
}

impl Connection {
    pub fn new(fd: OwnedFd, connecting: bool) -> Connection {
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
            finish: false,
            write_ended: false,
            broken: false,
            discarded: 0,
            watched,
        }
    }

    pub fn connect(address: SocketAddr) -> Result<Connection, Errno> {
        let fd = socket(address)?;
        match net::connect(&fd, &address) {
            Ok(()) => Ok(Connection::new(fd, false)),
            Err(Errno::INPROGRESS | Errno::INTR) => Ok(Connection::new(fd, true)),
            Err(fault) => Err(fault),
        }
    }

    /// What became of a connection that was coming up.
    pub fn came_up(&mut self) -> Result<(), Errno> {
        self.connecting = false;
        sockopt::socket_error(&self.fd)?
    }

    pub fn wanted(&self) -> Flags {
        let mut flags = Flags::empty();
        flags.set(Flags::IN, !self.paused && !self.read_ended);
        flags.set(Flags::OUT, self.connecting || self.unsent() > 0);
        flags
    }

    /// What is still to go.
    pub fn to_go(&self) -> &[u8] {
        &self.outbox[self.sent..]
    }

    /// Nothing has ended or failed on it.
    pub fn is_sound(&self) -> bool {
        !(self.connecting || self.read_ended || self.finish || self.broken)
    }

    pub fn unsent(&self) -> usize {
        self.outbox.len() - self.sent
    }

    /// Reads what has come, a buffer's length at most.
    pub fn read(&mut self, buffer: &mut [u8]) -> Result<Got, Errno> {
        loop {
            return match net::recv(&self.fd, &mut *buffer, RecvFlags::empty()) {
                Ok((_, 0)) => {
                    self.read_ended = true;
                    Ok(Got::End)
                }
                Ok((_, n)) => Ok(Got::Bytes(n)),
                Err(Errno::INTR) => continue,
                Err(Errno::AGAIN) => Ok(Got::NothingYet),
                Err(fault) => Err(fault),
            };
        }
    }

    /// Looks at the peer without reading.
    pub fn peer(&self) -> Peer {
        if self.read_ended || self.broken {
            return Peer::Gone;
        }
        loop {
            return match net::recv(&self.fd, &mut [0u8; 1][..], RecvFlags::PEEK) {
                Ok((_, 0)) => Peer::Gone,
                Ok(_) => Peer::Spoke,
                Err(Errno::INTR) => continue,
                Err(Errno::AGAIN) => Peer::Waits,
                Err(_) => Peer::Gone,
            };
        }
    }

    /// Sends what the socket takes now. Danger: what did not go must not look as if it had, nor be counted from
    /// where a later line begins.
    pub fn flush(&mut self) -> Result<(), Errno> {
        let flushed = self.send_out();
        if flushed.is_err() {
            self.outbox.clear();
            (self.sent, self.broken) = (0, true);
        }
        flushed
    }

    /// When all has gone and sending is to end, ends it.
    fn send_out(&mut self) -> Result<(), Errno> {
        if self.connecting {
            return Ok(());
        }
        while self.sent < self.outbox.len() {
            match net::send(&self.fd, &self.outbox[self.sent..], SendFlags::NOSIGNAL) {
                Ok(n) => self.sent += n,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => break,
                Err(fault) => return Err(fault),
            }
        }
        if self.sent == self.outbox.len() {
            self.outbox.clear();
            self.sent = 0;
            if self.finish && !self.write_ended {
                self.write_ended = true;
                net::shutdown(&self.fd, Shutdown::Write)?;
            }
        } else if self.sent > MUCH {
            self.outbox.drain(..self.sent);
            self.sent = 0;
        }
        Ok(())
    }

    /// Both directions have ended.
    pub fn is_over(&self) -> bool {
        self.read_ended && self.write_ended
    }

    /// The close that follows resets the connection instead of ending it.
    pub fn reset_on_close(&self) {
        let _ = sockopt::set_socket_linger(&self.fd, Some(std::time::Duration::ZERO));
    }
}
