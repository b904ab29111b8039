//! The line protocol that clients and hosts speak: ASCII lines that end in CRLF, each one typed message.
//!
//! `open` parses a connection's first line, `host` what hosts send, `answer` writes the lines that the
//! node itself sends to clients. All other bytes pass through the node unread.

mod answer;
mod host;
mod open;

use std::ops::Range;

use glendeck::domain::{ClassId, GroupId, HostId, Span, SubjectId, TenantId};

pub(crate) use answer::Answer;
pub(crate) use host::HostMessage;

/// Maximum length of a line that a peer may send, in bytes with its line ending.
pub(crate) const MAX_LINE_LENGTH: usize = 4096;

/// A health check of a host, which answers `PONG`.
pub(crate) const PROBE: &[u8] = b"PING\r\n";

/// Why a client's first line was refused.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum ProtocolError {
    /// The line has bytes other than printable ASCII, or does not end in CRLF.
    #[error("the line is not printable ASCII with CRLF at its end")]
    NotText,
    /// The line is not `PING` and does not begin with `OPEN` and a space.
    #[error("the line is neither OPEN nor PING")]
    UnknownVerb,
    /// A required part of the request is absent, or its waiting time is zero.
    #[error("OPEN lacks {0}")]
    Missing(&'static str),
    /// A part of the request is invalid.
    #[error("OPEN has an unusable {0}")]
    Invalid(&'static str),
}

/// Names in protocol lines; the decisions refer to them by position.
#[derive(Clone, PartialEq)]
pub(crate) struct Names {
    /// Classes of calls, field `c`.
    pub traffic: Vec<String>,
    /// Tenants, field `t`.
    pub tenants: Vec<String>,
    /// Whether field `g` names a group of clients, not the client itself.
    pub groups: bool,
}

/// The first message on a client's connection.
#[derive(Debug, PartialEq)]
pub(crate) enum ClientMessage {
    /// The front asks whether the node accepts clients.
    Ping,
    /// A client asks for a connection.
    Open(OpenRequest),
}

/// A connection's own id, new with every connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClientId(pub u64);

/// A client's request for a connection.
#[derive(Debug, PartialEq)]
pub(crate) struct OpenRequest {
    /// The connection's id.
    pub id: ClientId,
    /// The class of the call.
    pub traffic: ClassId,
    /// The tenant that the client belongs to; the first one if the line names none.
    pub tenant: TenantId,
    /// The client itself, if the line names it.
    pub subject: Option<SubjectId>,
    /// The group of clients that it belongs to, if the line names one.
    pub group: Option<GroupId>,
    /// How long the client waits for its answer.
    pub wait: Span,
    /// The connection's load in seconds of work per second, if the line tells it.
    pub load: Option<f64>,
    /// The call repeats one that failed.
    pub is_repeat: bool,
    /// The client's connection was open before and has ended.
    pub is_reconnect: bool,
    /// The host where the connection was open before this node started.
    pub previous_host: Option<HostId>,
    /// The line itself, which is forwarded to the host.
    pub line: OpenLine,
}

impl OpenRequest {
    /// Whether the client has been served before, here or elsewhere.
    pub(crate) fn is_returning(&self) -> bool {
        self.is_repeat || self.is_reconnect
    }
}

/// A client's `OPEN` line and the position of the waiting time in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OpenLine {
    bytes: Vec<u8>,
    /// Position of the waiting time in `bytes`.
    wait_range: Range<usize>,
}

impl OpenLine {
    /// Writes the line that is sent to a host: unchanged except for `wait`, the time that the node waits, in
    /// whole milliseconds and at least one.
    pub(crate) fn encode(&self, wait: Span, buffer: &mut Vec<u8>) {
        let milliseconds = (wait.0 / 1_000_000).max(1);
        buffer.extend_from_slice(&self.bytes[..self.wait_range.start]);
        buffer.extend_from_slice(milliseconds.to_string().as_bytes());
        buffer.extend_from_slice(&self.bytes[self.wait_range.end..]);
    }
}

/// The length of the first line with its line ending, if it is complete.
pub(crate) fn first_line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n').map(|index| index + 1)
}

/// The length of all complete lines.
pub(crate) fn complete_lines_length(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |index| index + 1)
}

/// Parses a finite, non-negative number.
fn parse_amount(text: &str, field: &'static str) -> Result<f64, ProtocolError> {
    let number: Option<f64> = text.parse().ok();
    number.filter(|number| number.is_finite() && *number >= 0.0).ok_or(ProtocolError::Invalid(field))
}

#[cfg(test)]
mod tests;
