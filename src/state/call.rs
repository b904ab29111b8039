//! A call that has no final answer yet, or whose connection is open.

use crate::domain::{AttemptOutcome, Call, Time};
use crate::state::host::HostIndex;

/// Index of a call in the node's table of in-flight calls.
pub(crate) type CallIndex = usize;

/// Where a host's list of calls holds the outstanding attempt of a call.
#[derive(Clone, Copy)]
pub(crate) struct AttemptSlot {
    pub host: HostIndex,
    /// Position in the host's list of calls.
    pub position: usize,
}

/// An attempt that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub host: HostIndex,
    pub sent_at: Time,
}

/// A call and its attempts so far.
pub(crate) struct InFlightCall {
    pub call: Call,
    /// Attempts sent so far.
    pub attempts: u16,
    pub outstanding: Option<AttemptSlot>,
    /// The host that placement chose last.
    pub chosen_host: HostIndex,
    /// Whether the outstanding attempt has set up its connection.
    pub is_established: bool,
    pub is_answered: bool,
    /// Whether the call is in the waiting queue.
    pub is_waiting: bool,
    /// Whether the client is assumed to come from another node: it is returning, and this node knows no load
    /// of it.
    pub is_displaced: bool,
    /// Whether the client was asked to connect again.
    pub is_migrating: bool,
    /// Load, in seconds of work per second, if it is known.
    pub load: Option<f64>,
    /// The first attempt that may have run.
    pub first_run: Option<PossibleRun>,
    /// When the last attempt was sent.
    pub sent_at: Time,
    /// Number of setups in progress at the host when the last attempt was sent.
    pub setups_ahead: u32,
    pub failed_hosts: Vec<HostIndex>,
}

impl InFlightCall {
    /// A call that this node has not sent an attempt for.
    pub(crate) fn new(call: Call, load: Option<f64>, now: Time) -> InFlightCall {
        InFlightCall {
            call,
            attempts: 0,
            outstanding: None,
            chosen_host: 0,
            is_established: false,
            is_answered: false,
            is_waiting: false,
            is_displaced: false,
            is_migrating: false,
            load,
            first_run: None,
            sent_at: now,
            setups_ahead: 0,
            failed_hosts: Vec::new(),
        }
    }

    /// Whether the connection is established and not being migrated.
    pub(crate) fn is_open(&self) -> bool {
        self.is_established && !self.is_migrating
    }

    /// Index of the call's traffic class.
    pub(crate) fn class_index(&self) -> usize {
        usize::from(self.call.class.0)
    }
}

/// The end of an attempt, as passed through the stages of [`crate::node`].
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub outcome: AttemptOutcome,
    /// Whether the call has its final answer, by this end or before it.
    pub is_final: bool,
    pub host: HostIndex,
    /// Whether the attempt had set up its connection.
    pub was_established: bool,
}
