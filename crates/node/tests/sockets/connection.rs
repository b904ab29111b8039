//! One end of a connection that a scenario holds, and addresses for the node.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::net::{self, sockopt};

use crate::PATIENCE;

/// A stand-in's end of a connection, read line by line.
pub(crate) struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Connection { reader: BufReader::new(stream) }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// Sends what the node takes before it closes the connection, if it does.
    pub(crate) fn send_until_closed(&mut self, bytes: &[u8]) {
        let _ = self.reader.get_mut().write_all(bytes);
    }

    /// The next line, `end` or `reset`.
    pub(crate) fn receive(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().to_owned(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => "reset".into(),
            Err(error) => panic!("{error}"),
        }
    }

    /// What [`Connection::receive`] returns, or `None` if nothing has come.
    pub(crate) fn try_receive(&mut self) -> Option<String> {
        self.stream().set_nonblocking(true).unwrap();
        let has_come = !self.reader.buffer().is_empty()
            || !matches!(self.stream().peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
        self.stream().set_nonblocking(false).unwrap();
        has_come.then(|| self.receive())
    }

    /// Exactly so many bytes.
    pub(crate) fn receive_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    pub(crate) fn end_sending(&self) {
        self.stream().shutdown(Shutdown::Write).unwrap();
    }

    /// The close that follows resets the connection.
    pub(crate) fn reset_on_close(&self) {
        sockopt::set_socket_linger(self.stream(), Some(Duration::ZERO)).unwrap();
    }
}

/// An address that stays this run's own.
///
/// It is bound and never listened at: nodes share their port, so one that was only free a moment ago may be
/// another run's by now, and each would get the other's clients.
pub(crate) struct ReservedAddress {
    pub address: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedAddress {
    /// Any free address.
    pub(crate) fn new() -> ReservedAddress {
        ReservedAddress::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// This address, at which nobody may listen.
    pub(crate) fn at(address: SocketAddr) -> ReservedAddress {
        let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None).unwrap();
        sockopt::set_socket_reuseaddr(&socket, true).unwrap();
        sockopt::set_socket_reuseport(&socket, true).unwrap();
        net::bind(&socket, &address).unwrap();
        let address = SocketAddr::try_from(net::getsockname(&socket).unwrap()).unwrap();
        ReservedAddress { address, _socket: socket }
    }
}
