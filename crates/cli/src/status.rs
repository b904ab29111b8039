//! The part of a node's status that the commands use.
//!
//! Unknown fields are ignored, so that the command line can read the status of newer nodes. The names in the
//! admin interface's JSON are mapped here to the names in the code.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Deserialize;

/// The reply to `/v1/fleet/status`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Status {
    /// The name of the node that answers.
    pub name: String,
    /// The version that it runs.
    pub version: String,
    /// The leader, if one is known.
    pub leader: Option<String>,
    /// Whether the node is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether a majority has confirmed that the status is no older than the request.
    #[serde(rename = "confirmed")]
    pub is_confirmed: bool,
    /// The epoch of the log.
    pub epoch: u64,
    /// The number of log entries that have been applied.
    pub applied: u64,
    /// Voters that the node hears.
    #[serde(rename = "hears")]
    pub heard_voters: Vec<String>,
    /// Voters that it does not hear.
    #[serde(rename = "misses")]
    pub unheard_voters: Vec<String>,
    /// Names that two running processes both use.
    #[serde(rename = "doubled")]
    pub duplicate_names: Vec<String>,
    /// Hosts from which the nodes are moving their connections; only the leader knows them.
    #[serde(rename = "emptying")]
    pub draining_hosts: Vec<DrainingHost>,
    /// The state that the fleet has agreed on.
    pub state: FleetState,
    /// Replication of in-flight calls, if the fleet uses it.
    #[serde(rename = "work")]
    pub takeover: Option<TakeoverStatus>,
}

/// A host from which the nodes are moving their connections.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DrainingHost {
    /// The host.
    pub host: String,
    /// Whether no node holds a connection to it.
    pub may_stop: bool,
    /// Number of connections by node.
    #[serde(rename = "held_by")]
    pub connections: BTreeMap<String, u64>,
    /// Nodes that have not reported their connections to it.
    #[serde(rename = "not_heard")]
    pub unheard_nodes: Vec<String>,
}

/// The state that the fleet has agreed on.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct FleetState {
    /// Units by name.
    pub units: BTreeMap<String, Unit>,
    /// The voters.
    #[serde(rename = "seats")]
    pub voter_slots: Vec<VoterSlot>,
    /// Hosts by name.
    pub hosts: BTreeMap<String, Host>,
    /// The release, if there is one.
    pub release: Option<Release>,
    /// Units that are out beyond the limits.
    pub overrides: Vec<Override>,
}

/// A voter's slot.
#[derive(Debug, Deserialize)]
pub(crate) struct VoterSlot {
    /// The node that holds it.
    pub name: String,
}

/// A unit: a node of the fleet.
#[derive(Debug, Deserialize)]
pub(crate) struct Unit {
    /// Whether and why it is out.
    #[serde(rename = "standing")]
    pub state: UnitState,
    /// Whether it was declared lost.
    #[serde(rename = "lost")]
    pub is_lost: bool,
    /// The version that it runs.
    pub version: String,
}

impl Unit {
    /// Whether it is meant to serve.
    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.state, UnitState::Serving)
    }
}

/// Whether and why a unit is out.
#[derive(Debug, Deserialize)]
pub(crate) enum UnitState {
    /// It is in service.
    Serving,
    /// It may go out of service.
    Granted(UnitLease),
    /// It is out of service.
    Begun(UnitLease),
    /// It is returning to service.
    Returning(UnitLease),
}

/// The lease of a unit that is out.
#[derive(Debug, Deserialize)]
pub(crate) struct UnitLease {
    /// Its number.
    #[serde(rename = "permit")]
    pub number: u64,
    /// Why the unit is out.
    pub cause: Cause,
}

/// Why a unit is out.
#[derive(Debug, Deserialize)]
pub(crate) enum Cause {
    /// An operator drains it.
    Drain,
    /// The release with this number changes it.
    Release(u64),
    /// An operator drains it beyond the limits.
    Override,
}

/// A host.
#[derive(Debug, Deserialize)]
pub(crate) struct Host {
    /// Its condition in the endpoint list.
    #[serde(rename = "listed")]
    pub condition: String,
    /// The lease that keeps it out, if there is one.
    #[serde(rename = "held")]
    pub hold: Option<HostHold>,
}

/// The lease that keeps a host out.
#[derive(Debug, Deserialize)]
pub(crate) struct HostHold {
    /// `Returning` while the host returns to service.
    #[serde(rename = "hold")]
    pub state: String,
    /// The lease's number.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A release.
#[derive(Debug, Deserialize)]
pub(crate) struct Release {
    /// Its number.
    pub number: u64,
    /// Its plan.
    pub plan: Plan,
    /// Its state.
    #[serde(rename = "course")]
    pub state: ReleaseState,
    /// Set while the release reverts the units that it has changed.
    #[serde(rename = "back")]
    pub reversal: Option<serde::de::IgnoredAny>,
    /// The units of each wave.
    pub waves: Vec<Vec<String>>,
    /// Index of the current wave, from 0.
    pub wave: usize,
    /// The units that have been changed.
    pub done: Vec<serde::de::IgnoredAny>,
}

/// The plan of a release.
#[derive(Debug, Deserialize)]
pub(crate) struct Plan {
    /// The version that units are to run.
    pub version: String,
}

/// State of a release.
#[derive(Debug, Deserialize)]
pub(crate) enum ReleaseState {
    /// It is in progress.
    Running,
    /// It is halted, for this reason.
    Halted(String),
    /// All units are done.
    Finished,
}

/// A unit that is out beyond the limits.
#[derive(Debug, Deserialize)]
pub(crate) struct Override {
    /// The unit.
    pub unit: String,
    /// The operator's reason.
    pub reason: String,
}

/// Replication of in-flight calls at a node.
#[derive(Debug, Deserialize)]
pub(crate) struct TakeoverStatus {
    /// Records that the node stores for other nodes.
    pub records_held: u64,
    /// Its own calls that have asked for an intent to be replicated, or for a lookup of what preceded a
    /// repeat.
    #[serde(rename = "in_hand")]
    pub calls_with_requests: u64,
    /// Whether it stores records for other nodes.
    #[serde(rename = "keeps")]
    pub is_replica: bool,
    /// Whether every record that it could have lost has expired by now, so that it may answer for repeats.
    #[serde(rename = "remembers")]
    pub has_full_history: bool,
    /// Intents that were replicated.
    #[serde(rename = "intents_kept")]
    pub intents_replicated: u64,
    /// Intents that could not be replicated.
    #[serde(rename = "intents_not_kept")]
    pub intents_not_replicated: u64,
    /// Repeats that were looked up.
    pub repeats_looked_up: u64,
    /// Repeats for which a record was found.
    #[serde(rename = "repeats_after_a_record")]
    pub repeats_with_record: u64,
    /// Repeats that failed because no node could tell what had happened before them.
    #[serde(rename = "repeats_given_up")]
    pub repeats_failed: u64,
    /// Calls whose work was in flight at another node.
    #[serde(rename = "met_elsewhere")]
    pub in_flight_elsewhere: u64,
}
