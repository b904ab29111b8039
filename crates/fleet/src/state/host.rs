//! Hosts as the endpoint list shows them, and which of them the fleet holds out, that is, has granted a lease
//! for.
//!
//! The endpoint list is authoritative for which hosts exist. A host that it shows as draining or gone counts
//! as out, like one that the fleet holds out, so that a rolling deploy and an operator's drain share the same
//! limits.

use serde::{Deserialize, Serialize};

use super::ids::Lease;
use super::unit::Cause;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::{Place, UnitName};

/// The state of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes connections.
    Ready,
    /// It is draining before it stops.
    Draining,
    /// The list no longer contains it.
    Gone,
}

/// Progress of a host that the fleet holds out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldState {
    /// Nodes open nothing new there, and migrate existing connections.
    Out,
    /// Every unit that is not confirmed dead has reported that it holds nothing there. Only the leader knows
    /// whether that still holds ([`crate::Fleet::may_stop`]): an entry that waited for a majority may be
    /// decided long after it was proposed.
    Empty,
    /// Nodes use it again. It counts as out until all units that are not lost have applied that.
    Returning,
}

/// The hold of a host: the lease under which it is out, and its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHold {
    /// The lease.
    #[serde(rename = "permit")]
    pub lease: Lease,
    /// Why it was granted.
    pub cause: Cause,
    /// The progress of the host.
    pub hold: HoldState,
}

/// A host in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its place.
    pub place: Place,
    /// Its last state in the leader's endpoint list.
    pub listed: EndpointState,
    /// The hold under which it is out, if any.
    pub held: Option<HostHold>,
}

impl Host {
    /// Whether it counts against the limits.
    pub fn is_out(&self) -> bool {
        let is_listed_out =
            self.listed != EndpointState::Ready && !is_injected(InjectedFault::ListNotCounted);
        is_listed_out || self.held.is_some()
    }

    /// Whether nodes must avoid it.
    pub fn must_be_avoided(&self) -> bool {
        self.held.is_some_and(|held| held.hold != HoldState::Returning)
    }
}

/// A host that the endpoint list contains, or contained until recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its place.
    pub place: Place,
    /// Its state in the list.
    pub endpoint_state: EndpointState,
}

/// A change of one host in the leader's endpoint list, for [`super::Command::UpdateHosts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUpdate {
    /// Its name.
    pub host: UnitName,
    /// The host's new entry; `None` removes the host from the fleet.
    pub listed: Option<ListedHost>,
}
