//! Hosts: which there are, as the endpoint list shows them, and which of them the fleet holds out.
//!
//! The endpoint list stays the authority of which hosts exist. A host that it shows as draining or gone counts as out
//! like one that the fleet holds out, so that a rolling deploy and an operator's drain share the same limits.

use serde::{Deserialize, Serialize};

use super::ids::Lease;
use super::unit::Cause;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::{Place, UnitName};

/// What the endpoint list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes connections.
    Ready,
    /// It is about to stop.
    Draining,
    /// The list no longer names it.
    Gone,
}

/// How far a host that the fleet holds out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldState {
    /// Nodes open nothing new there, and migrate what stands.
    Out,
    /// Every node has reported that it holds nothing there. Whether that is still so is for the leader to say
    /// ([`crate::Fleet::may_stop`]): an entry that waited for a majority may be decided long after it was proposed.
    Empty,
    /// Nodes use it again; it counts as out until all of them know so.
    Returning,
}

/// The lease under which a host is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHold {
    /// Its number.
    #[serde(rename = "permit")]
    pub lease: Lease,
    /// Why it was granted.
    pub cause: Cause,
    /// How far the host has come.
    pub hold: HoldState,
}

/// One host as the fleet has agreed on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Where it is.
    pub place: Place,
    /// What the leader's endpoint list said of it last.
    pub listed: EndpointState,
    /// The lease under which it is out, if any.
    pub held: Option<HostHold>,
}

impl Host {
    /// Whether it counts against the limits.
    pub fn is_out(&self) -> bool {
        let is_listed_out =
            self.listed != EndpointState::Ready && !is_injected(InjectedFault::ListNotCounted);
        is_listed_out || self.held.is_some()
    }

    /// Whether nodes are to keep away from it.
    pub fn is_wanted_out(&self) -> bool {
        self.held.is_some_and(|held| held.hold != HoldState::Returning)
    }
}

/// What the endpoint list says of a host that it names, or named until lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Where it is.
    pub place: Place,
    /// Whether it takes connections.
    pub endpoint_state: EndpointState,
}

/// One host of the leader's endpoint list, in a [`super::Command::UpdateHosts`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostUpdate {
    /// Its name.
    pub host: UnitName,
    /// What the list says of it; `None` removes the host from the fleet.
    pub listed: Option<ListedHost>,
}
