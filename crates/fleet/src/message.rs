//! What nodes say to each other. One letter is one frame on a link; its bytes are `postcard`'s.

use serde::{Deserialize, Serialize};

use crate::consensus::ConsensusMessage;
use crate::policy::UnitName;
use crate::state::{BootCount, CallCounts, Command, Entry, Incarnation, Lease, RequestId, State, VoterSlot};

/// Changes with every change of what follows; other versions are not spoken with.
pub const VERSION: u32 = 3;

/// The first frame of a link, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub version: u32,
    pub group: String,
    pub name: UnitName,
    pub incarnation: Incarnation,
}

/// What a voter has on disk for good, said with every message: each peer remembers the most it heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DurableMark {
    pub voter_slot: u64,
    pub stamp: u64,
}

/// How far somebody knows what was agreed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub epoch: u32,
    pub applied: u64,
}

/// How a node's store stands to its seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStatus {
    /// It has no store, or its store has failed it.
    NoStore,
    /// It has a store with nothing in it.
    Fresh,
    /// Its store lost or never had what peers know of it: it votes only under a new seat.
    StateLost,
    /// It holds this seat, and asks whether anyone knows better.
    Recovering(u64),
    /// It votes.
    Active(u64),
}

/// The words that the admin interface and its scripts know.
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

/// Said by every node to every voter once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub incarnation: Incarnation,
    pub have: LogPosition,
    pub serving: bool,
    /// Under which lease it is out.
    pub out: Option<Lease>,
    pub version: String,
    pub call_counts: CallCounts,
    /// Connections and attempts at hosts that are wanted out; none are left at those that are not named. Not given while
    /// the node has not kept away from them since its last count.
    pub holds: Option<Vec<(UnitName, u32)>>,
    pub voter_status: VoterStatus,
    pub boot_count: BootCount,
    /// The moment of the last word heard from the voter that this is said to, by that voter's own clock. Danger: a heartbeat
    /// that a stalled link brings late would make a unit look alive that is long gone; it counts as of this.
    pub echo: Option<Echo>,
}

/// A moment of one process, which means nothing to any other but to say it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub incarnation: Incarnation,
    pub at: u64,
}

/// One step of what was agreed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogStep {
    Entry(Entry),
    Reconfigure(Vec<VoterSlot>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogUpdate {
    /// Nothing that the other does not have.
    None,
    /// What came after this.
    Since(LogPosition, Vec<LogStep>),
    Whole(Box<State>),
}

/// A voter's answer to a heartbeat, and pushed by the leader as things are decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    pub echo: Echo,
    /// Who leads, as far as it knows.
    pub leader: Option<UnitName>,
    pub log_update: LogUpdate,
    /// How far it knows what was agreed itself.
    pub applied: u64,
    /// What it knows the other to have acknowledged.
    pub of_you: Option<DurableMark>,
    /// It holds or held a seat: the group exists.
    pub founded: bool,
    /// How it stands itself.
    pub voter_status: VoterStatus,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    HeartbeatReply(HeartbeatReply),
    /// To whoever leads, or to somebody who may know.
    Request {
        id: Option<RequestId>,
        command: Command,
    },
    Consensus {
        epoch: u32,
        consensus_message: ConsensusMessage,
    },
    /// The leader waits for this voter's word on something: it may have been lost.
    Resync,
    /// Only what its envelope says: how far its sender's disk is.
    DurableMarkOnly,
    /// The leader asks the other voters whether they hear these.
    FindUnits(Echo, Vec<UnitName>),
    /// Each with how long ago, in ms, it was known to be there.
    UnitsFound(Echo, Vec<(UnitName, Heartbeat, u64)>),
}

/// One message with what its sender has on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    pub witness: Option<DurableMark>,
    pub message: Message,
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        crate::store::encode(self)
    }

    /// # Errors
    /// What is not exactly one envelope.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, postcard::Error> {
        let (envelope, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() { Ok(envelope) } else { Err(postcard::Error::DeserializeUnexpectedEnd) }
    }
}
