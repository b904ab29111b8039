//! Lines that the node itself sends to clients.

use std::fmt;

use glendeck::domain::Span;

/// One line from the node to a client or to the front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    /// The node accepts clients.
    Pong,
    /// The call failed, or the line was refused.
    Error,
    /// The call was rejected before anything ran; the client may retry after this time, if one is given.
    Busy(Option<Span>),
    /// The node ends the open connection and the client reconnects.
    Move,
}

impl Answer {
    /// Appends the line with its CRLF.
    pub(crate) fn encode(self, buffer: &mut Vec<u8>) {
        buffer.extend_from_slice(self.to_string().as_bytes());
        buffer.extend_from_slice(b"\r\n");
    }
}

/// The line without its CRLF.
impl fmt::Display for Answer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Pong => formatter.write_str("PONG"),
            Answer::Error => formatter.write_str("ERR"),
            Answer::Move => formatter.write_str("MOVE"),
            Answer::Busy(None) => formatter.write_str("BUSY"),
            Answer::Busy(Some(retry_after)) => write!(formatter, "BUSY {}", retry_after.0 / 1_000_000),
        }
    }
}
