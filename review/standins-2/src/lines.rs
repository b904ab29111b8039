//! Lines over TCP, read with a time limit.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub struct Lines {
    stream: TcpStream,
    inbox: Vec<u8>,
}

/// What a wait for a line brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Line(String),
    /// Nothing within the time.
    Nothing,
    /// The peer ended its side in order.
    End,
    /// The connection was reset.
    Reset,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Lines {
        let _ = stream.set_nodelay(true);
        Lines { stream, inbox: Vec::new() }
    }

    pub fn send(&mut self, line: &str) -> bool {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).is_ok()
    }

    /// The next line, without its end.
    pub fn hear(&mut self, within: Duration) -> Heard {
        let until = Instant::now() + within;
        loop {
            if let Some(end) = self.inbox.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.inbox.drain(..=end).collect();
                return Heard::Line(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Heard::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Heard::End,
                Ok(count) => self.inbox.extend_from_slice(&buffer[..count]),
                Err(fault) => match fault.kind() {
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {}
                    _ => return Heard::Reset,
                },
            }
        }
    }

    pub fn end(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}
