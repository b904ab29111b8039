//! Messages between nodes. Each [`Envelope`] is one frame on a link, encoded by `postcard`: the order of fields and of
//! variants is part of the protocol.

use serde::{Deserialize, Serialize};

use crate::consensus::ConsensusMessage;
use crate::policy::UnitName;
use crate::state::{BootCount, CallCounts, Command, Incarnation, Lease, RequestId, State};

pub use crate::state::LogStep;

/// Version of the protocol. It changes with every change of the types below; links to other versions are refused.
pub const VERSION: u32 = 3;

/// The first frame of a link, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol's [`VERSION`].
    pub version: u32,
    /// The fleet's name.
    pub group: String,
    /// The sender.
    pub name: UnitName,
    /// The sender's process.
    pub incarnation: Incarnation,
}

/// How far a voter's disk is, sent with every message: each peer remembers the highest that it received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableMark {
    /// The voter's slot.
    pub voter_slot: u64,
    /// Acknowledged batches that are on disk.
    pub stamp: u64,
}

/// How far a node has applied the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The log's epoch.
    pub epoch: u32,
    /// Entries applied, over all epochs.
    pub applied: u64,
}

/// How a node's store stands to its voter slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStatus {
    /// It has no store, or its store has failed.
    NoStore,
    /// It has a store with nothing in it.
    Fresh,
    /// Its store lost or never had what peers know of it: it votes only in a new slot.
    StateLost,
    /// It holds this slot, and waits for other voters to confirm that its store is not an old copy.
    Recovering(u64),
    /// It votes in this slot.
    Active(u64),
}

/// The texts that the admin interface and its scripts know.
impl std::fmt::Display for VoterStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            VoterStatus::NoStore => f.write_str("none"),
            VoterStatus::Fresh => f.write_str("fresh"),
            VoterStatus::StateLost => f.write_str("forgot"),
            VoterStatus::Recovering(voter_slot) => write!(f, "asks({voter_slot})"),
            VoterStatus::Active(voter_slot) => write!(f, "sits({voter_slot})"),
        }
    }
}

/// Sent by every node to every voter once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's process.
    pub incarnation: Incarnation,
    /// How far it has applied the log.
    pub have: LogPosition,
    /// Whether it takes clients.
    pub serving: bool,
    /// The lease under which it is out.
    pub out: Option<Lease>,
    /// The version that it runs.
    pub version: String,
    /// How its calls ended of late.
    pub call_counts: CallCounts,
    /// Connections and attempts at hosts that are wanted out; none are left at those that are not named. `None` while the
    /// node has not kept away from them since its last count.
    pub holds: Option<Vec<(UnitName, u32)>>,
    /// How its store stands to its voter slot.
    pub voter_status: VoterStatus,
    /// How often its store was opened.
    pub boot_count: BootCount,
    /// The echo of the last reply that the sender got from the receiver. It proves that the sender was alive at that moment
    /// or later; without it, a heartbeat that a stalled link brings late would make a unit look alive that is long gone.
    pub echo: Option<Echo>,
}

/// A moment of one process, by its own clock. To any other process it means nothing; it is only sent back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The process whose moment it is.
    pub incarnation: Incarnation,
    /// Nanoseconds on its clock.
    pub at: u64,
}

/// What brings the receiver to what the sender knows of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogUpdate {
    /// There is nothing that the receiver does not have.
    None,
    /// The steps after this position.
    Since(LogPosition, Vec<LogStep>),
    /// The whole state.
    Whole(Box<State>),
}

/// A voter's reply to a heartbeat; the leader also sends it unasked when entries are decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Now, to be sent back in the next heartbeat.
    pub echo: Echo,
    /// The leader, as far as the sender knows.
    pub leader: Option<UnitName>,
    /// What the receiver does not have of the log.
    pub log_update: LogUpdate,
    /// How far the sender has applied the log.
    pub applied: u64,
    /// The highest mark that the sender received from the receiver.
    pub receiver_mark: Option<DurableMark>,
    /// The sender holds or held a voter slot: the fleet is founded.
    pub founded: bool,
    /// How the sender's store stands to its voter slot.
    pub voter_status: VoterStatus,
}

/// A unit that a voter hears.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FoundUnit {
    /// Its name.
    pub name: UnitName,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// How long ago, in ms, it was known to be alive.
    pub age_ms: u64,
}

/// What one node says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// The answer of a voter.
    HeartbeatReply(HeartbeatReply),
    /// Something to propose; to the leader, or to a voter that may know it.
    Request {
        /// The request, if its sender waits for the result.
        id: Option<RequestId>,
        /// What is asked for.
        command: Command,
    },
    /// A message of the consensus protocol.
    Consensus {
        /// The log's epoch.
        epoch: u32,
        /// The message.
        consensus_message: ConsensusMessage,
    },
    /// The leader waits for this voter's answer, which may have been lost.
    Resync,
    /// Nothing but the envelope's mark.
    DurableMarkOnly,
    /// The leader asks another voter whether it hears these units.
    FindUnits(Echo, Vec<UnitName>),
    /// The answer, with the leader's echo: the units that the sender itself hears.
    UnitsFound(Echo, Vec<FoundUnit>),
}

/// One message, with how far its sender's disk is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's mark, if it holds a voter slot.
    pub durable_mark: Option<DurableMark>,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// The envelope as it goes over a link.
    pub fn encode(&self) -> Vec<u8> {
        crate::store::encode(self)
    }

    /// Reads an envelope as it came over a link.
    ///
    /// # Errors
    /// If the bytes are not exactly one envelope.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, postcard::Error> {
        let (envelope, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() { Ok(envelope) } else { Err(postcard::Error::DeserializeUnexpectedEnd) }
    }
}
