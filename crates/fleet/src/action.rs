//! Actions that a [`crate::Fleet`] returns for its caller to carry out.

use std::collections::BTreeSet;

use crate::message::Envelope;
use crate::policy::UnitName;
use crate::state::{Cause, CommandResult, Lease, RequestId};
use crate::store::StoreWrite;

/// An action to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send this envelope to this node.
    Send(UnitName, Box<Envelope>),
    /// Write this batch to disk atomically, then call [`crate::Fleet::written`] with its number. At most one
    /// batch is pending at a time.
    Persist(u64, Vec<StoreWrite>),
    /// Start draining: send the clients away.
    StartDrain {
        /// The lease under which the unit is out.
        lease: Lease,
        /// Why it was granted.
        cause: Cause,
    },
    /// Accept clients again.
    Resume,
    /// Open no connections or attempts at these hosts, and use all others.
    AvoidHosts {
        /// The hosts to avoid.
        hosts: BTreeSet<UnitName>,
        /// Interval, in ms, at which one existing connection to these hosts is migrated.
        every_ms: u64,
    },
    /// Exit this process; its supervisor starts the given version.
    Exit {
        /// The version to start.
        version: String,
    },
    /// Answer an operator's request.
    Reply(RequestId, RequestResult),
    /// Write this line to the process log.
    Log(String),
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The request was decided.
    Answered(CommandResult),
    /// The request was not decided in time, and may still be decided later. It may be repeated with the same
    /// id.
    Unknown,
}
