//! Calls, and the outcomes of and reports on their attempts.

use super::{CallId, ClassId, GroupId, HostId, Span, SubjectId, TenantId, Time};

/// A call that reaches the node, or a connection that was already open when the node started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Id of the call.
    pub id: CallId,
    /// Its traffic class.
    pub class: ClassId,
    /// The tenant it belongs to.
    pub tenant: TenantId,
    /// What it concerns, the same when the client returns; loads are remembered by subject.
    pub subject: Option<SubjectId>,
    /// The group of connections that it shares work with.
    pub group: Option<GroupId>,
    /// When its final answer is due.
    pub deadline: Time,
    /// Expected load, in seconds of work per second.
    pub load: Option<f64>,
    /// Whether the client called before: it retries, or reconnects after a broken connection or a migration.
    pub is_returning: bool,
    /// Whether the call stands for packets of a connection that is already open on some host.
    pub is_mid_flow: bool,
    /// Host and earliest send time of an attempt that may have run before the call reached this node.
    pub prior_attempt: Option<(HostId, Time)>,
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Hosts recognise a repeat by the call's key.
    Keyed {
        /// The hosts that recognise a repeat.
        scope: Scope,
        /// How long after the first attempt they recognise it.
        window: Span,
    },
    /// It may run at most once.
    NonIdempotent,
}

/// Which hosts discard repeats of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All hosts.
    All,
    /// Hosts in the zone where the call may have run.
    Zone,
    /// Hosts in the cell where the call may have run.
    Cell,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host completed the attempt, or answered the probe.
    Completed,
    /// The host answered with an error.
    Error,
    /// The host rejected it without processing it, because its queue was full or it was draining.
    Rejected,
    /// It exceeded its timeout.
    TimedOut,
    /// No connection to the host could be opened.
    Unreachable,
    /// The connection broke while the attempt was outstanding.
    Broken,
    /// The node stopped waiting for it.
    Canceled,
    /// It never left the node.
    NeverSent,
}

impl AttemptOutcome {
    /// Whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
    }
}

/// A host's report on an outstanding attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptReport {
    /// Current load of the connection, in seconds of work per second.
    Load(f64),
    /// How long a message currently takes at the host.
    MessageTime(Span),
}
