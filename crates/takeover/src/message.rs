//! Messages between the owner of a call and the replicas of its record.
//!
//! They are encoded with `postcard`, which is positional: the order of fields and of variants is part of the
//! wire format.

use serde::{Deserialize, Serialize};

use crate::id::{RecordId, WorkId};

/// How a call ended, as far as its record is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// No attempt of the call ran and none is in flight: the record can be removed.
    NeverRan,
    /// The call has its final answer, and an attempt of it ran or may have run.
    Answered,
}

/// The first attempt of a work item that may have run. It has an age instead of a time, as the clocks of
/// nodes differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstAttempt {
    /// The host that the attempt was sent to, as a number that means the same at all nodes.
    pub host: u64,
    /// How long ago the attempt was sent, in ms, or [`UNKNOWN_AGE_MS`](crate::UNKNOWN_AGE_MS).
    pub age_ms: u64,
}

/// A record that a repeat has seen and supersedes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupersededRecord {
    /// The record.
    pub id: RecordId,
    /// The record's sequence number when the repeat saw it. If the replica has a higher one, the record
    /// counts as unseen.
    pub sequence: u32,
}

/// A request to store the intent of an attempt, before the attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The call's record.
    pub id: RecordId,
    /// The work item of the call.
    pub work: WorkId,
    /// The owner's term: how often it was declared lost. Replicas use it to fence off a node that was
    /// declared lost.
    pub term: u64,
    /// The version of the owner's view.
    pub version: u32,
    /// Whether the call is a repeat.
    pub is_repeat: bool,
    /// The records that a repeat supersedes.
    pub supersedes: Vec<SupersededRecord>,
    /// The first attempt of the work item that may have run; this attempt, if there was none before.
    pub first: FirstAttempt,
    /// Counts the call's intents and queries. The reply carries it too, and applies to this intent only.
    pub sequence: u32,
    /// Time until the call's deadline, in ms.
    pub remaining_ms: u64,
}

/// A record as a replica reports it in the reply to a query. A record is open while its owner may still send
/// an attempt for it, and over afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordView {
    /// The record.
    pub id: RecordId,
    /// The owner's term when the last intent was stored.
    pub term: u64,
    /// The first attempt of the work item that may have run.
    pub first: FirstAttempt,
    /// The sequence number of the last intent.
    pub sequence: u32,
    /// How long ago the last intent was stored, in ms.
    pub age_ms: u64,
    /// Time in ms until the quiet period after the call's deadline is over and its owner sends nothing more;
    /// 0 from then on.
    pub open_ms: u64,
    /// Whether the call has its final answer.
    pub is_answered: bool,
}

/// A replica's reply to an [`Intent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentVerdict {
    /// The intent is stored.
    Accepted,
    /// The replica holds records of the work item that the intent does not supersede, or the call's own
    /// record is superseded.
    Conflict,
    /// The replica does not store the intent now.
    Unavailable,
}

/// What owners and replicas send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Owner to replica: store this intent.
    StoreIntent(Intent),
    /// Replica to owner: the reply to [`ReplicaMessage::StoreIntent`].
    IntentReply {
        /// The record of the intent.
        id: RecordId,
        /// The intent's sequence number.
        sequence: u32,
        /// Whether it is stored.
        verdict: IntentVerdict,
    },
    /// Owner to replica: report the records of a work item.
    Query {
        /// The record of the querying call; it is left out of the reply.
        id: RecordId,
        /// The query's sequence number.
        sequence: u32,
        /// The queried work item.
        work: WorkId,
        /// The version of the owner's view.
        version: u32,
    },
    /// Replica to owner: the reply to [`ReplicaMessage::Query`].
    QueryReply {
        /// The record of the querying call.
        id: RecordId,
        /// The query's sequence number.
        sequence: u32,
        /// The records of the work item; `None` if the replica cannot answer: it may have forgotten records,
        /// its view differs or is not recent, or it has handed its records over.
        records: Option<Vec<RecordView>>,
    },
    /// Owner to replica: the call is over.
    CallEnded {
        /// The call's last sequence number: a late message does not apply to a later intent.
        sequence: u32,
        /// The call's record.
        id: RecordId,
        /// The work item of the call.
        work: WorkId,
        /// How it ended.
        outcome: Outcome,
    },
}
