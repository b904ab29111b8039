//! The lines that two processes of one node exchange on the Unix socket between them.
//!
//! The successor sends [`SuccessorMessage`]s. Its predecessor answers the first with a [`StateHeader`], the
//! state of that length (see [`super::state`]), and then [`PredecessorMessage`]s until one of them ends. Each
//! line ends with LF.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use glendeck::domain::HostId;
use serde::{Deserialize, Serialize};

use super::hex::{HexBytes, HexError};

/// Why a line of the other process is not a message.
#[derive(Debug, thiserror::Error)]
pub(super) enum MessageError {
    /// Another version sends it, or it is damaged.
    #[error("unknown message")]
    Unknown,
    /// The state is longer than any that this version sends.
    #[error("a state of {0} bytes is too long")]
    TooLong(usize),
    /// A message names no number where it should.
    #[error("not a number: {0}")]
    Number(#[from] std::num::ParseIntError),
    /// An open call cannot be read.
    #[error("unreadable call: {0}")]
    Call(serde_json::Error),
    /// What an idle client has sent cannot be read.
    #[error("unreadable idle client: {0}")]
    IdleClient(HexError),
}

impl MessageError {
    /// How many sockets came with the line, which are to be closed.
    pub(super) fn sockets(&self) -> usize {
        match self {
            MessageError::Call(_) => CallHandover::SOCKETS,
            MessageError::IdleClient(_) => 1,
            MessageError::Unknown | MessageError::TooLong(_) | MessageError::Number(_) => 0,
        }
    }
}

/// What a successor tells its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuccessorMessage {
    /// Its first line, which asks for the state. The number is the version of this protocol.
    Hello,
    /// It takes the clients from here on.
    Serving,
    /// It has been replaced in its turn: when it ends, its clients are another process's.
    Succeeded,
}

impl Display for SuccessorMessage {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SuccessorMessage::Hello => "HEIR 1",
            SuccessorMessage::Serving => "SERVING",
            SuccessorMessage::Succeeded => "SUCCEEDED",
        })
    }
}

impl FromStr for SuccessorMessage {
    type Err = MessageError;

    fn from_str(line: &str) -> Result<SuccessorMessage, MessageError> {
        match line {
            "HEIR 1" => Ok(SuccessorMessage::Hello),
            "SERVING" => Ok(SuccessorMessage::Serving),
            "SUCCEEDED" => Ok(SuccessorMessage::Succeeded),
            _ => Err(MessageError::Unknown),
        }
    }
}

/// The predecessor's first line, which comes with the listening socket; the state follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StateHeader {
    /// Length of the state in bytes.
    pub length: usize,
}

impl StateHeader {
    /// Longest state that is read, in bytes. A host takes some 250 bytes of it, a client's load 40.
    pub(super) const LONGEST_STATE: usize = 4 << 20;

    /// Its first words; another version says another number.
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
        if length > StateHeader::LONGEST_STATE {
            return Err(MessageError::TooLong(length));
        }
        Ok(StateHeader { length })
    }
}

/// What a predecessor tells its successor after the state.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PredecessorMessage {
    /// How many connections it has open at a host.
    OpenConnections {
        /// The host.
        host: HostId,
        /// Connections of the predecessor's there.
        connections: u32,
    },
    /// How many file descriptors it holds.
    Descriptors(usize),
    /// An open call, which comes with [`CallHandover::SOCKETS`] sockets: the client's and the host's.
    Call(Box<CallHandover>),
    /// A client that has not opened a call yet, which comes with its socket, and what it has sent.
    IdleClient(HexBytes),
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
            // Better to count no descriptors than to go on with an old count.
            ["USES", count] => Ok(PredecessorMessage::Descriptors(count.parse().unwrap_or(0))),
            ["CALL", json] => {
                serde_json::from_str(json).map(PredecessorMessage::Call).map_err(MessageError::Call)
            }
            ["IDLE", received] => {
                received.parse().map(PredecessorMessage::IdleClient).map_err(MessageError::IdleClient)
            }
            _ => Err(MessageError::Unknown),
        }
    }
}

/// An open call that goes over to the successor, with what has been read and not yet written on both sides.
///
/// The fields stand in the alphabetical order of their names on the wire, in which they are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct CallHandover {
    /// Nanoseconds for which the host has owed the client a line, if it owes one.
    #[serde(rename = "asked")]
    pub waiting_for_host_ns: Option<u64>,
    /// What was read from the client and not relayed.
    #[serde(rename = "client_in")]
    pub client_inbox: HexBytes,
    /// What is still to be written to the client.
    #[serde(rename = "client_out")]
    pub client_outbox: HexBytes,
    /// The call's affinity group.
    pub group: Option<u64>,
    /// The host where the call is open.
    pub host: u64,
    /// What was read from the host and not relayed.
    #[serde(rename = "host_in")]
    pub host_inbox: HexBytes,
    /// What is still to be written to the host.
    #[serde(rename = "host_out")]
    pub host_outbox: HexBytes,
    /// The client's own id of the call.
    #[serde(rename = "id")]
    pub client_id: u64,
    /// The load that the client has announced.
    pub load: Option<f64>,
    /// The subject that the call is about.
    pub subject: Option<u64>,
    /// Number of the tenant in the predecessor's settings.
    pub tenant: u32,
    /// Number of the class in the predecessor's settings; counts only without a name.
    #[serde(rename = "traffic")]
    pub class: u8,
    /// Name of the class. Numbers may differ between two processes whose settings were changed while they
    /// served.
    #[serde(rename = "type")]
    pub class_name: Option<String>,
}

impl CallHandover {
    /// Sockets that come with a call: first its client's, then its host's.
    pub(super) const SOCKETS: usize = 2;
}
