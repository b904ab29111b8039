//! The lines that two processes of one node exchange on the Unix socket between them.
//!
//! The successor sends [`SuccessorMessage`]s. Its predecessor replies to the first with a [`StateHeader`],
//! the state of that length (see [`super::state`]), and then [`PredecessorMessage`]s until one of the
//! processes exits. Each line ends with LF.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use glendeck::domain::{HostId, Span};
use serde::{Deserialize, Serialize};

use super::hex::{HexBytes, HexError};

/// Error from parsing a line of the other process.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// The line is from another version, or damaged.
    #[error("unknown message")]
    Unknown,
    /// The state is longer than the maximum.
    #[error("a state of {0} bytes exceeds the maximum length")]
    TooLong(usize),
    /// A message has something else where a number is expected.
    #[error("invalid number: {0}")]
    Number(#[from] std::num::ParseIntError),
    /// The JSON of an open call cannot be decoded.
    #[error("invalid call: {0}")]
    Call(serde_json::Error),
    /// The bytes received from an idle client cannot be decoded.
    #[error("invalid bytes of an idle client: {0}")]
    IdleClient(HexError),
}

impl MessageError {
    /// Number of sockets that came with the line and have to be closed.
    pub(super) fn sockets(&self) -> usize {
        match self {
            MessageError::Call(_) => CallHandover::SOCKETS,
            MessageError::IdleClient(_) => 1,
            MessageError::Unknown | MessageError::TooLong(_) | MessageError::Number(_) => 0,
        }
    }
}

/// A change of the node's drain. The process that carries it out first sends it to the other ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainChange {
    /// The node drains.
    Started {
        /// The number of the change.
        number: u32,
        /// Time since the start of the drain.
        elapsed: Span,
    },
    /// The node is in service again.
    Ended {
        /// The number of the change.
        number: u32,
    },
}

impl DrainChange {
    /// The number of the change. Of two changes the one with the larger number is the later one.
    pub(crate) fn number(self) -> u32 {
        match self {
            DrainChange::Started { number, .. } | DrainChange::Ended { number } => number,
        }
    }
}

impl Display for DrainChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            DrainChange::Started { number, elapsed } => write!(formatter, "DRAINING {number} {}", elapsed.0),
            DrainChange::Ended { number } => write!(formatter, "ACTIVE {number}"),
        }
    }
}

impl FromStr for DrainChange {
    type Err = MessageError;

    fn from_str(line: &str) -> Result<DrainChange, MessageError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["DRAINING", number, elapsed] => {
                Ok(DrainChange::Started { number: number.parse()?, elapsed: Span(elapsed.parse()?) })
            }
            ["ACTIVE", number] => Ok(DrainChange::Ended { number: number.parse()? }),
            _ => Err(MessageError::Unknown),
        }
    }
}

/// A message from a successor to its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuccessorMessage {
    /// The first line, which requests the state. Its number is the protocol version.
    Hello,
    /// The successor accepts clients from now on.
    Serving,
    /// The successor was itself replaced: after its exit, another process accepts clients.
    Succeeded,
    /// The node's drain has changed. Sent only to a predecessor whose state says that it follows such
    /// changes: one of an early version would close the connection.
    Drain(DrainChange),
}

impl Display for SuccessorMessage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            SuccessorMessage::Hello => formatter.write_str("HEIR 1"),
            SuccessorMessage::Serving => formatter.write_str("SERVING"),
            SuccessorMessage::Succeeded => formatter.write_str("SUCCEEDED"),
            SuccessorMessage::Drain(change) => change.fmt(formatter),
        }
    }
}

impl FromStr for SuccessorMessage {
    type Err = MessageError;

    fn from_str(line: &str) -> Result<SuccessorMessage, MessageError> {
        match line {
            "HEIR 1" => Ok(SuccessorMessage::Hello),
            "SERVING" => Ok(SuccessorMessage::Serving),
            "SUCCEEDED" => Ok(SuccessorMessage::Succeeded),
            other => other.parse().map(SuccessorMessage::Drain),
        }
    }
}

/// The predecessor's first line. It comes with the listening socket, and the state follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StateHeader {
    /// Length of the state in bytes.
    pub length: usize,
}

impl StateHeader {
    /// Maximum length of a state, in bytes. No state of this version is longer: a host takes about 250 bytes,
    /// a client's load 40.
    pub(super) const MAX_STATE_LENGTH: usize = 4 << 20;

    /// First words of the line; the number is the protocol version.
    const PREFIX: &str = "STANDING 1";
}

impl Display for StateHeader {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", StateHeader::PREFIX, self.length)
    }
}

impl FromStr for StateHeader {
    type Err = MessageError;

    fn from_str(line: &str) -> Result<StateHeader, MessageError> {
        let length = line.strip_prefix(StateHeader::PREFIX).ok_or(MessageError::Unknown)?;
        let length = length.trim().parse()?;
        if length > StateHeader::MAX_STATE_LENGTH {
            return Err(MessageError::TooLong(length));
        }
        Ok(StateHeader { length })
    }
}

/// A message from a predecessor to its successor after the state.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PredecessorMessage {
    /// Number of connections that the predecessor has open to a host.
    OpenConnections {
        /// The host.
        host: HostId,
        /// Number of connections.
        connections: u32,
    },
    /// Number of file descriptors that the predecessor has open.
    Descriptors(usize),
    /// An open call. It comes with [`CallHandover::SOCKETS`] sockets: the client's and the host's.
    Call(Box<CallHandover>),
    /// A client that has not opened a call yet, with the bytes that it has sent. It comes with its socket.
    IdleClient(HexBytes),
    /// The node's drain has changed.
    Drain(DrainChange),
}

impl Display for PredecessorMessage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            PredecessorMessage::OpenConnections { host, connections } => {
                write!(formatter, "AT {:x} {connections}", host.0)
            }
            PredecessorMessage::Descriptors(count) => write!(formatter, "USES {count}"),
            PredecessorMessage::Call(call) => {
                let json = serde_json::to_string(call).map_err(|_| fmt::Error)?;
                write!(formatter, "CALL {json}")
            }
            PredecessorMessage::IdleClient(received) => write!(formatter, "IDLE {received}"),
            PredecessorMessage::Drain(change) => change.fmt(formatter),
        }
    }
}

impl FromStr for PredecessorMessage {
    type Err = MessageError;

    fn from_str(line: &str) -> Result<PredecessorMessage, MessageError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["AT", host, connections] => {
                let host = HostId(u64::from_str_radix(host, 16)?);
                Ok(PredecessorMessage::OpenConnections { host, connections: connections.parse()? })
            }
            // An invalid number counts as 0: no count is better than an outdated one.
            ["USES", count] => Ok(PredecessorMessage::Descriptors(count.parse().unwrap_or(0))),
            ["CALL", json] => {
                serde_json::from_str(json).map(PredecessorMessage::Call).map_err(MessageError::Call)
            }
            ["IDLE", received] => {
                received.parse().map(PredecessorMessage::IdleClient).map_err(MessageError::IdleClient)
            }
            _ => line.parse().map(PredecessorMessage::Drain),
        }
    }
}

/// An open call that is handed to the successor, with the bytes buffered for both sides.
///
/// The fields are in the alphabetical order of their names on the wire, in which they are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct CallHandover {
    /// Nanoseconds for which the client has waited for a line of the host, if it waits for one.
    #[serde(rename = "asked")]
    pub waiting_for_host_ns: Option<u64>,
    /// Bytes read from the client and not relayed yet.
    #[serde(rename = "client_in")]
    pub client_inbox: HexBytes,
    /// Bytes still to be written to the client.
    #[serde(rename = "client_out")]
    pub client_outbox: HexBytes,
    /// The call's affinity group.
    pub group: Option<u64>,
    /// The host where the call is open.
    pub host: u64,
    /// Bytes read from the host and not relayed yet.
    #[serde(rename = "host_in")]
    pub host_inbox: HexBytes,
    /// Bytes still to be written to the host.
    #[serde(rename = "host_out")]
    pub host_outbox: HexBytes,
    /// The client's own id of the call.
    #[serde(rename = "id")]
    pub client_id: u64,
    /// The load that the client announced.
    pub load: Option<f64>,
    /// The subject that the call is about.
    pub subject: Option<u64>,
    /// Number of the tenant in the predecessor's settings.
    pub tenant: u32,
    /// Number of the class in the predecessor's settings; used only if the name is missing.
    #[serde(rename = "traffic")]
    pub class: u8,
    /// Name of the class. Its number may differ between two processes, as settings can be reloaded while a
    /// process serves.
    #[serde(rename = "type")]
    pub class_name: Option<String>,
}

impl CallHandover {
    /// Number of sockets that come with a call: first the client's, then the host's.
    pub(super) const SOCKETS: usize = 2;
}
