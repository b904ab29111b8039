//! Requests to a [`Takeover`](crate::Takeover), and the actions that it returns to its node.

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::id::WorkId;
use crate::message::ReplicaMessage;

/// The first attempt of a work item that may have run, timed by this node's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// The host that the attempt was sent to, as a number that means the same at all nodes.
    pub host: u64,
    /// The earliest time at which the attempt may have been sent.
    pub sent_at: Timestamp,
}

/// An attempt to send once its intent is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The work item of the call.
    pub work: WorkId,
    /// The host to send the attempt to, as a number that means the same at all nodes.
    pub host: u64,
    /// The first attempt of this same call that may have run, if there is one.
    pub prior: Option<PriorAttempt>,
    /// Time until the call's deadline, in ms.
    pub remaining_ms: u64,
    /// The attempt must not be sent later: hosts recognise the work item's key only until then, or the call's
    /// deadline is too near.
    pub send_before: Timestamp,
}

/// What the node has to do. The numbers are the node's own call ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this message to this node.
    Send(UnitName, ReplicaMessage),
    /// Send the attempt of this call now: its intent is replicated.
    Proceed(u64),
    /// Do not send the attempt of this call: its intent cannot be replicated.
    NotReplicated(u64),
    /// Do not send the attempt of this call: a record of another call with the same work item conflicts with
    /// it. Report this call with [`Takeover::call_repeated`](crate::Takeover::call_repeated), even if that
    /// was done before.
    InFlightElsewhere(u64),
    /// Place this repeated call. Holds the first attempt of its work item that may have run, if there is one.
    Admit(u64, Option<PriorAttempt>),
    /// Fail this repeated call: the outcome of its work item cannot be determined, or not in time.
    Fail(u64),
}
