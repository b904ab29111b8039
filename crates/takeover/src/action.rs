//! What a [`Takeover`](crate::Takeover) is asked for, and what it asks of its node.

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::id::WorkId;
use crate::message::ReplicaMessage;

/// The first attempt of a work that may have run, by this node's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// The host that it was sent to, by a number that means the same at all nodes.
    pub host: u64,
    /// The earliest time at which it may have been sent.
    pub sent_at: Timestamp,
}

/// An attempt that is to be sent once its intent is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// What the call concerns.
    pub work: WorkId,
    /// The host that it goes to, by a number that means the same at all nodes.
    pub host: u64,
    /// The call's own first attempt that may have run.
    pub prior: Option<PriorAttempt>,
    /// Time until the call's deadline, in ms.
    pub remaining_ms: u64,
    /// It must not be sent later: hosts recognise the work's key until then, or the call's deadline is near.
    pub send_before: Timestamp,
}

/// What the node has to do. Calls are named by the node's own numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this message to this node.
    Send(UnitName, ReplicaMessage),
    /// Send the attempt of this call now: its intent is replicated.
    Proceed(u64),
    /// Do not send the attempt of this call: its intent cannot be replicated.
    NotReplicated(u64),
    /// Do not send the attempt of this call: the same work is in flight elsewhere. Report the call as repeated again.
    InFlightElsewhere(u64),
    /// Place this repeated call; if an attempt of the work may have run, this was the first.
    Admit(u64, Option<PriorAttempt>),
    /// Fail this repeated call: what came of its work cannot be told, or is not over in time.
    Fail(u64),
}
