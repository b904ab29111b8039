//! What a [`crate::Fleet`] wants done by whoever hosts it.

use std::collections::BTreeSet;

use crate::message::Envelope;
use crate::policy::UnitName;
use crate::state::{Cause, CommandResult, Lease, RequestId};
use crate::store::StoreWrite;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send this to that node.
    Send(UnitName, Box<Envelope>),
    /// Write this batch to disk whole, then call [`crate::Fleet::written`] with its number. Never two at once.
    Persist(u64, Vec<StoreWrite>),
    /// Send the clients away.
    StartDrain {
        /// The lease that lets the unit out.
        lease: Lease,
        /// Why it was granted.
        cause: Cause,
    },
    /// Take clients again.
    Resume,
    /// Open nothing new at these hosts and use all others.
    AvoidHosts {
        /// The hosts to keep away from.
        hosts: BTreeSet<UnitName>,
        /// One connection that stands there migrates every so many milliseconds.
        every_ms: u64,
    },
    /// End this process; its supervisor is to start that version.
    Exit {
        /// The version to start.
        version: String,
    },
    /// Answer an operator's request.
    Reply(RequestId, RequestResult),
    /// Write this to the log.
    Log(String),
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// It was decided.
    Answered(CommandResult),
    /// Nothing was decided in time; it may still be. The same request may be repeated.
    Unknown,
}
