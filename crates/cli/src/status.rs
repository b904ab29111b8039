//! A node's status, as far as the commands use it.
//!
//! Fields that are not named here are ignored, so that the command line reads the status of newer nodes. The names of the
//! admin interface's JSON are mapped to those of the code here.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::Deserialize;

/// What `/v1/fleet/status` answers.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Status {
    /// The node that answers.
    pub name: String,
    /// What it runs.
    pub version: String,
    /// The leader, if one is known.
    pub leader: Option<String>,
    /// Whether the node is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether a majority has confirmed that the status is no older than the question.
    #[serde(rename = "confirmed")]
    pub is_confirmed: bool,
    /// The epoch of the log.
    pub epoch: u64,
    /// The number of the log's entries that are applied.
    pub applied: u64,
    /// Voters that the node hears.
    #[serde(rename = "hears")]
    pub heard_voters: Vec<String>,
    /// Voters that it does not hear.
    #[serde(rename = "misses")]
    pub unheard_voters: Vec<String>,
    /// Names that two processes give.
    #[serde(rename = "doubled")]
    pub duplicate_names: Vec<String>,
    /// Hosts that nodes are leaving; only the leader knows.
    #[serde(rename = "emptying")]
    pub draining_hosts: Vec<DrainingHost>,
    /// The state that the fleet has agreed on.
    pub state: FleetState,
    /// Replication of in-flight calls, where the fleet has it.
    #[serde(rename = "work")]
    pub takeover: Option<TakeoverStatus>,
}

/// A host that nodes are leaving.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct DrainingHost {
    /// The host.
    pub host: String,
    /// Whether nobody holds a connection there.
    pub may_stop: bool,
    /// Connections by node.
    #[serde(rename = "held_by")]
    pub connections: BTreeMap<String, u64>,
    /// Nodes that have not said what they hold there.
    #[serde(rename = "not_heard")]
    pub unheard_nodes: Vec<String>,
}

/// The state that the fleet has agreed on.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct FleetState {
    /// Nodes by name.
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

/// A node.
#[derive(Debug, Deserialize)]
pub(crate) struct Unit {
    /// Whether and why it is out.
    #[serde(rename = "standing")]
    pub state: UnitState,
    /// Whether it was declared lost.
    #[serde(rename = "lost")]
    pub is_lost: bool,
    /// What it runs.
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
    /// It serves.
    Serving,
    /// It may go out.
    Granted(UnitLease),
    /// It is out.
    Begun(UnitLease),
    /// It is on its way back.
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
    /// The release of this number changes it.
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
    /// `Returning` once it is taken back.
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
    /// What it is to do.
    pub plan: Plan,
    /// How far it is.
    #[serde(rename = "course")]
    pub state: ReleaseState,
    /// Set while it takes back what it has changed.
    pub back: Option<serde::de::IgnoredAny>,
    /// The units of each wave.
    pub waves: Vec<Vec<String>>,
    /// The index of the wave that is under way.
    pub wave: usize,
    /// The units that were changed.
    pub done: Vec<serde::de::IgnoredAny>,
}

/// What a release is to do.
#[derive(Debug, Deserialize)]
pub(crate) struct Plan {
    /// The version that units are to run.
    pub version: String,
}

/// How far a release is.
#[derive(Debug, Deserialize)]
pub(crate) enum ReleaseState {
    /// It goes on.
    Running,
    /// It stands, for this reason.
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
    /// Records that the node stores for others.
    pub records_held: u64,
    /// Its own calls that have asked for something to be stored.
    pub in_hand: u64,
    /// Whether it stores records for others.
    #[serde(rename = "keeps")]
    pub is_replica: bool,
    /// Whether it answers queries.
    #[serde(rename = "remembers")]
    pub has_full_history: bool,
    /// Intents that were replicated.
    pub intents_kept: u64,
    /// Intents that were not.
    pub intents_not_kept: u64,
    /// Repeats that were looked up.
    pub repeats_looked_up: u64,
    /// Repeats that met a record.
    pub repeats_after_a_record: u64,
    /// Repeats whose work could not be told.
    pub repeats_given_up: u64,
    /// Calls whose work was in flight elsewhere.
    pub met_elsewhere: u64,
}
