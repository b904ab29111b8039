//! Messages between nodes. Each [`Envelope`] is one frame on a link, encoded by `postcard`: the order of
//! fields and of variants is part of the protocol.

use serde::{Deserialize, Serialize};

use crate::consensus::ConsensusMessage;
use crate::policy::UnitName;
use crate::state::{BootCount, CallCounts, Command, Incarnation, Lease, RequestId, State};

pub use crate::state::LogStep;

/// Version of the protocol. It must be raised with every change of the types below; links to other versions
/// are refused.
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

/// The durable state of a voter's store, sent with every message. Each peer remembers the highest mark that
/// it received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableMark {
    /// The voter's slot.
    pub voter_slot: u64,
    /// Number of acknowledged batches that are on disk.
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

/// The status of a node's store as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStatus {
    /// It has no store, its store has failed, or it is giving up its slot.
    NoStore,
    /// It has a store with nothing in it.
    Fresh,
    /// Its store has no usable voter state: it is unreadable, incomplete, older than what peers know of it,
    /// or its slot was reassigned. The node votes only in a new slot.
    StateLost,
    /// It holds this slot and waits until other voters confirm that its store is not an old copy.
    Recovering(u64),
    /// It votes in this slot.
    Active(u64),
}

/// The texts shown by the admin interface, which scripts match.
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
    /// Whether it accepts clients; see `out` for a drain by the fleet.
    pub serving: bool,
    /// The lease under which it is out, if any.
    pub out: Option<Lease>,
    /// The version that it runs.
    pub version: String,
    /// How its recent calls ended.
    pub call_counts: CallCounts,
    /// Number of connections and attempts at each host that is to be out; there are none at hosts that are
    /// not listed. `None` until the node has counted its connections while avoiding these hosts, and while it
    /// has not applied all that a leader has reported.
    pub holds: Option<Vec<(UnitName, u32)>>,
    /// The status of its store as a voter.
    pub voter_status: VoterStatus,
    /// How often its store was opened.
    pub boot_count: BootCount,
    /// The echo from the last reply that the sender got from the receiver. It proves that the sender was
    /// alive at that time or later; without it, a heartbeat that a stalled link delivers late would make a
    /// dead unit look alive.
    pub echo: Option<Echo>,
}

/// A timestamp on one process's own clock. Other processes do not interpret it; they only send it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The process whose clock it is from.
    pub incarnation: Incarnation,
    /// Nanoseconds on its clock.
    pub at: u64,
}

/// The part of the log that the sender has applied and the receiver has not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogUpdate {
    /// The sender has applied nothing that the receiver has not.
    None,
    /// The steps after this position.
    Since(LogPosition, Vec<LogStep>),
    /// The whole state.
    Whole(Box<State>),
}

/// A voter's reply to a heartbeat; the leader also sends it unsolicited when entries are decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The sender's current time, to be sent back in the next heartbeat.
    pub echo: Echo,
    /// The leader, as far as the sender knows.
    pub leader: Option<UnitName>,
    /// The steps that the receiver has not applied.
    pub log_update: LogUpdate,
    /// How far the sender has applied the log.
    pub applied: u64,
    /// The highest durable mark that the sender has received from the receiver of this reply.
    pub receiver_mark: Option<DurableMark>,
    /// Whether the sender holds or held a voter slot, so the fleet is founded.
    pub founded: bool,
    /// The status of the sender's store as a voter.
    pub voter_status: VoterStatus,
}

/// A unit whose heartbeats a voter receives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FoundUnit {
    /// Its name.
    pub name: UnitName,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// Time, in ms, since it was last known to be alive.
    pub age_ms: u64,
}

/// A message from one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A node's heartbeat.
    Heartbeat(Heartbeat),
    /// A voter's reply to a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// A command to propose, sent to the leader, or to a voter that may know the leader.
    Request {
        /// The request's id, if its sender waits for the result.
        id: Option<RequestId>,
        /// The requested command.
        command: Command,
    },
    /// A message of the consensus protocol.
    Consensus {
        /// The log's epoch.
        epoch: u32,
        /// The message.
        consensus_message: ConsensusMessage,
    },
    /// The leader waits for this voter's answer, which may be lost, and asks it to synchronise again.
    Resync,
    /// Carries only the envelope's durable mark.
    DurableMarkOnly,
    /// The leader asks another voter whether it receives heartbeats from these units.
    FindUnits(Echo, Vec<UnitName>),
    /// The reply, with the leader's echo: the units whose heartbeats the sender receives directly.
    UnitsFound(Echo, Vec<FoundUnit>),
}

/// A message with its sender's durable mark.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's mark, if it holds a voter slot.
    pub durable_mark: Option<DurableMark>,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Encodes the envelope as one frame.
    pub fn encode(&self) -> Vec<u8> {
        crate::store::encode(self)
    }

    /// Decodes an envelope from one frame.
    ///
    /// # Errors
    /// Fails if the bytes are not exactly one envelope.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, postcard::Error> {
        let (envelope, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() { Ok(envelope) } else { Err(postcard::Error::DeserializeUnexpectedEnd) }
    }
}
