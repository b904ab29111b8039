//! What operators are shown of the fleet.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::policy::UnitName;
use crate::state::State;

/// The fleet as this node knows it.
#[derive(Clone, Debug, Serialize)]
pub struct FleetView<'a> {
    /// This node.
    pub name: &'a UnitName,
    /// The version that it runs.
    pub version: &'a str,
    /// The leader, as far as it is known.
    pub leader: Option<&'a UnitName>,
    /// Whether that is this node.
    pub leads: bool,
    /// How this node's store stands to its voter slot.
    #[serde(rename = "chair")]
    pub voter_status: String,
    /// The epoch that this node knows.
    pub epoch: u32,
    /// Entries that it has applied.
    pub applied: u64,
    /// Voters that answered within the last seconds.
    pub hears: Vec<&'a UnitName>,
    /// Voters that did not.
    pub misses: Vec<&'a UnitName>,
    /// Names that two living processes give.
    #[serde(rename = "doubled")]
    pub duplicates: Vec<&'a UnitName>,
    /// Hosts that are to be empty; known to the leader alone.
    #[serde(rename = "emptying")]
    pub draining_hosts: Vec<DrainingHost<'a>>,
    /// What was agreed.
    pub state: &'a State,
}

/// A host on its way out, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DrainingHost<'a> {
    /// Its name.
    pub host: &'a UnitName,
    /// Nodes that hold connections there, and how many.
    pub held_by: BTreeMap<&'a UnitName, u32>,
    /// Nodes that are not heard: the host is not reported empty while there are any.
    pub not_heard: Vec<&'a UnitName>,
    /// Whether the host may stop now.
    pub may_stop: bool,
}
