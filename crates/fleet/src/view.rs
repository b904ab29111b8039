//! The fleet's status as shown to operators.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::policy::UnitName;
use crate::state::State;

/// The fleet's status as this node knows it.
#[derive(Clone, Debug, Serialize)]
pub struct FleetView<'a> {
    /// The name of this node.
    pub name: &'a UnitName,
    /// The version that this node runs.
    pub version: &'a str,
    /// The leader, if this node knows it.
    pub leader: Option<&'a UnitName>,
    /// Whether this node is the leader.
    pub leads: bool,
    /// The status of this node's store as a voter.
    #[serde(rename = "chair")]
    pub voter_status: String,
    /// The latest epoch that this node knows.
    pub epoch: u32,
    /// Number of log entries that this node has applied.
    pub applied: u64,
    /// Voters that replied to this node within the last 3 seconds, and this node if it is a voter.
    pub hears: Vec<&'a UnitName>,
    /// Voters that did not reply in that time.
    pub misses: Vec<&'a UnitName>,
    /// Names that two live processes use.
    #[serde(rename = "doubled")]
    pub duplicates: Vec<&'a UnitName>,
    /// Hosts that the fleet holds out and that are not returning; listed on the leader only.
    #[serde(rename = "emptying")]
    pub draining_hosts: Vec<DrainingHost<'a>>,
    /// The replicated state.
    pub state: &'a State,
}

/// A host that the fleet holds out, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DrainingHost<'a> {
    /// Its name.
    pub host: &'a UnitName,
    /// Number of connections and attempts that each node holds at this host.
    pub held_by: BTreeMap<&'a UnitName, u32>,
    /// Nodes that are not heard from. The host is not reported empty while there are any.
    pub not_heard: Vec<&'a UnitName>,
    /// Whether the host may stop now.
    pub may_stop: bool,
}
