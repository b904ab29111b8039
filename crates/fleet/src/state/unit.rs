//! Units: the nodes of the fleet, and whether each may be out.

use serde::{Deserialize, Serialize};

use super::ids::{Lease, Nonce};

/// How calls ended at a node over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that ended.
    pub calls: u32,
    /// Of these, calls that failed.
    pub failed: u32,
    /// Of these, calls that were rejected because of load.
    pub busy: u32,
    /// Calls that wait now.
    pub waiting: u32,
    /// Hosts that the node has ejected now.
    pub hosts_down: u32,
}

/// Why a lease was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// An operator drains it until it is activated.
    Drain,
    /// The release of this number changes it.
    Release(u64),
    /// An operator drains it beyond the limits.
    Override,
}

/// Whether a unit serves or holds a lease to be out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnitState {
    /// It takes clients.
    Serving,
    /// It counts as out, and may ask to begin its drain.
    Granted {
        /// The lease to be out.
        #[serde(rename = "permit")]
        lease: Lease,
        /// Why it was granted.
        cause: Cause,
    },
    /// It may be out from here on.
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
    /// It is to take clients again.
    Returning {
        /// The lease that it was out under.
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

    /// Why the unit holds a lease.
    pub fn cause(&self) -> Option<Cause> {
        match self {
            UnitState::Serving => None,
            UnitState::Granted { cause, .. }
            | UnitState::Begun { cause, .. }
            | UnitState::Returning { cause, .. } => Some(*cause),
        }
    }
}

/// One unit as the fleet has agreed on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// Whether it serves or holds a lease.
    #[serde(rename = "standing")]
    pub unit_state: UnitState,
    /// No voter hears it, or it was never seen to serve.
    pub lost: bool,
    /// How often it was marked lost.
    pub term: u64,
    /// An operator has confirmed that its process runs no more. Cleared once it is seen to serve again.
    pub dead: bool,
    /// The version that it was last seen to run.
    pub version: String,
}

impl Unit {
    /// Whether it counts against the limits.
    pub fn is_out(&self) -> bool {
        self.lost || self.unit_state != UnitState::Serving
    }
}
