//! Calls, and how their attempts go.

use super::{CallId, ClassId, GroupId, HostId, Span, SubjectId, TenantId, Time};

/// A call as it reaches the node, or a connection that was open when the node started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Id of the call.
    pub id: CallId,
    /// Its traffic class.
    pub class: ClassId,
    /// The customer it belongs to.
    pub tenant: TenantId,
    /// What it concerns; remembered for the client's return.
    pub subject: Option<SubjectId>,
    /// The group whose work it shares.
    pub group: Option<GroupId>,
    /// When its final answer is due.
    pub deadline: Time,
    /// Expected load in seconds of work a second.
    pub load: Option<f64>,
    /// The client has been here before: it tries again, or returns after a break or a migration.
    pub is_returning: bool,
    /// Packets of a connection that is already open on some host.
    pub is_mid_flow: bool,
    /// An attempt that may have run before the call came here: its host, and when it was sent at the earliest.
    pub prior_attempt: Option<(HostId, Time)>,
}

/// What running a call twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Hosts recognise a repeat by the call's key.
    Keyed {
        /// The hosts that recognise it.
        scope: Scope,
        /// For how long after the first attempt they do.
        window: Span,
    },
    /// It may run once.
    NonIdempotent,
}

/// Which hosts discard the repeats of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All hosts.
    All,
    /// Hosts of the zone where it may have run.
    Zone,
    /// Hosts of the cell where it may have run.
    Cell,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host finished it, or answered a probe.
    Completed,
    /// The host answered with an error.
    Error,
    /// The host turned it away unseen: a full queue, or draining.
    Rejected,
    /// It took longer than it may.
    TimedOut,
    /// No connection came about.
    Unreachable,
    /// The connection broke while the attempt was outstanding.
    Broken,
    /// The node stopped waiting for it.
    Canceled,
    /// It did not leave the node.
    NeverSent,
}

impl AttemptOutcome {
    /// Whether the attempt had no effect for certain.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
    }
}

/// A host's report on an attempt that is outstanding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptReport {
    /// The connection's load now, in seconds of work a second.
    Load(f64),
    /// What a message takes at the host now.
    MessageTime(Span),
}
