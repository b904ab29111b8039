//! Units, which are the nodes of the fleet, and their states.

use serde::{Deserialize, Serialize};

use super::ids::{Lease, Nonce};

/// How calls ended at a node over about the last 10 seconds; `waiting` and `hosts_down` are current values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that ended.
    pub calls: u32,
    /// Of these, calls that failed.
    pub failed: u32,
    /// Of these, calls that were rejected because of load.
    pub busy: u32,
    /// Calls that are waiting now.
    pub waiting: u32,
    /// Number of hosts that the node currently has ejected.
    pub hosts_down: u32,
}

/// Why a lease was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// An operator drains the unit or host until it is activated again.
    Drain,
    /// The release with this number changes the unit.
    Release(u64),
    /// An operator drains the unit or host beyond the limits.
    Override,
}

/// The state of a unit: serving, or holding a lease to be out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnitState {
    /// It accepts clients.
    Serving,
    /// It holds a lease and counts as out, and may ask to begin its drain.
    Granted {
        /// The lease to be out.
        #[serde(rename = "permit")]
        lease: Lease,
        /// Why it was granted.
        cause: Cause,
    },
    /// Its drain has begun, so it may be out.
    Begun {
        /// The lease to be out.
        #[serde(rename = "permit")]
        lease: Lease,
        /// Why it was granted.
        cause: Cause,
        /// The request that began the drain.
        nonce: Nonce,
        /// How calls ended at the unit before it went out.
        before: CallCounts,
    },
    /// It is to accept clients again.
    Returning {
        /// The lease under which it was out.
        #[serde(rename = "permit")]
        lease: Lease,
        /// Why it was granted.
        cause: Cause,
    },
}

impl UnitState {
    /// The lease that the unit holds.
    pub fn lease(&self) -> Option<Lease> {
        match self {
            UnitState::Serving => None,
            UnitState::Granted { lease, .. }
            | UnitState::Begun { lease, .. }
            | UnitState::Returning { lease, .. } => Some(*lease),
        }
    }

    /// Why the lease that the unit holds was granted.
    pub fn cause(&self) -> Option<Cause> {
        match self {
            UnitState::Serving => None,
            UnitState::Granted { cause, .. }
            | UnitState::Begun { cause, .. }
            | UnitState::Returning { cause, .. } => Some(*cause),
        }
    }
}

/// A unit in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// Whether it serves or holds a lease to be out.
    #[serde(rename = "standing")]
    pub unit_state: UnitState,
    /// Whether no voter hears it, or it was never seen serving.
    pub lost: bool,
    /// How often it was marked lost.
    pub term: u64,
    /// Whether an operator has confirmed that none of its processes is running. Cleared once it is seen
    /// serving again.
    pub dead: bool,
    /// The version that it last reported while serving.
    pub version: String,
}

impl Unit {
    /// Whether it counts against the limits.
    pub fn is_out(&self) -> bool {
        self.lost || self.unit_state != UnitState::Serving
    }
}
