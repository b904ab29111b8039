//! What nodes say to each other. One letter is one frame on a link; its bytes are `postcard`'s.

use serde::{Deserialize, Serialize};

use crate::charter::UnitName;
use crate::engine::Letter;
use crate::state::{AskId, Command, Entry, Incarnation, Life, Permit, Rates, Seat, State};

/// Changes with every change of what follows; other versions are not spoken with.
pub const VERSION: u32 = 3;

/// The first frame of a link, in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub version: u32,
    pub group: String,
    pub name: UnitName,
    pub life: Life,
}

/// What a voter has on disk for good, said with every message: each peer remembers the most it heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Witness {
    pub seat: u64,
    pub stamp: u64,
}

/// How far somebody knows what was agreed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reach {
    pub epoch: u32,
    pub applied: u64,
}

/// How a node's store stands to its seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Chair {
    /// It has no store, or its store has failed it.
    None,
    /// It has a store with nothing in it.
    Fresh,
    /// Its store lost or never had what peers know of it: it votes only under a new seat.
    Forgot,
    /// It holds this seat, and asks whether anyone knows better.
    Asks(u64),
    Sits(u64),
}

/// Said by every node to every voter once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    pub life: Life,
    pub have: Reach,
    pub serving: bool,
    /// Under which permit it is out.
    pub out: Option<Permit>,
    pub version: String,
    pub rates: Rates,
    /// Connections and attempts at hosts that are wanted out; none are left at those that are not named. Not given while
    /// the node has not kept away from them since its last count.
    pub holds: Option<Vec<(UnitName, u32)>>,
    pub chair: Chair,
    pub incarnation: Incarnation,
    /// The moment of the last word heard from the voter that this is said to, by that voter's own clock. Danger: a beat
    /// that a stalled link brings late would make a unit look alive that is long gone; it counts as of this.
    pub echo: Option<Echo>,
}

/// A moment of one process, which means nothing to any other but to say it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub life: Life,
    pub at: u64,
}

/// One step of what was agreed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    Entry(Entry),
    Reseat(Vec<Seat>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// Nothing that the other does not have.
    None,
    /// What came after this.
    Since(Reach, Vec<Fact>),
    Whole(Box<State>),
}

/// A voter's answer to a beat, and pushed by the leader as things are decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub echo: Echo,
    /// Who leads, as far as it knows.
    pub leader: Option<UnitName>,
    pub news: News,
    /// How far it knows what was agreed itself.
    pub applied: u64,
    /// What it knows the other to have acknowledged.
    pub of_you: Option<Witness>,
    /// It holds or held a seat: the group exists.
    pub founded: bool,
    /// How it stands itself.
    pub chair: Chair,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    Beat(Beat),
    Told(Told),
    /// To whoever leads, or to somebody who may know.
    Ask {
        id: Option<AskId>,
        command: Command,
    },
    Engine {
        epoch: u32,
        letter: Letter,
    },
    /// The leader waits for this voter's word on something: it may have been lost.
    Nudge,
    /// Only what its envelope says: how far its sender's disk is.
    Witnessed,
    /// The leader asks the other voters whether they hear these.
    Seek(Echo, Vec<UnitName>),
    /// Each with how long ago, in ms, it was known to be there.
    Found(Echo, Vec<(UnitName, Beat, u64)>),
}

/// One message with what its sender has on disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    pub witness: Option<Witness>,
    pub message: Message,
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        crate::bytes(self)
    }

    /// # Errors
    /// What is not exactly one envelope.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, postcard::Error> {
        let (envelope, rest) = postcard::take_from_bytes(bytes)?;
        if rest.is_empty() { Ok(envelope) } else { Err(postcard::Error::DeserializeUnexpectedEnd) }
    }
}
