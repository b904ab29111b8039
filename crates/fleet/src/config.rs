//! The configuration that a node starts with, and the status that it reports.

use crate::policy::{FleetPolicy, UnitName};
use crate::state::Incarnation;
use crate::store::StoredState;

/// Default number of log entries after which the leader ends the epoch, so that the log that a voter is sent
/// when it joins an epoch stays at a few hundred KiB.
pub const LONGEST_LOG: usize = 2_000;

/// The configuration that a node starts with.
pub struct FleetConfig {
    /// The node's name.
    pub name: UnitName,
    /// The policy from its file. Once the fleet is founded, the policy that it was founded on applies
    /// instead.
    pub policy: FleetPolicy,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed of the random generator.
    pub seed: u64,
    /// The version of the build or settings that the node runs.
    pub version: String,
    /// The contents of its store, if it has one.
    pub saved: Option<StoredState>,
    /// Whether some of the store's contents could not be read.
    pub spoilt: bool,
    /// Number of log entries after which an epoch ends: [`LONGEST_LOG`], or less where a test needs many
    /// epochs.
    pub longest_log: usize,
}

/// The status that the node reports. Counts are totals since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether it accepts clients; nothing but the fleet prevents it from doing so.
    pub serving: bool,
    /// Whether it drains, on the fleet's order to this process or to an earlier one that this process
    /// replaced. False for a process that is itself replaced or leaving: it cannot end the drain.
    pub draining: bool,
    /// Whether it was told to drain and holds nothing any more, such as calls in flight.
    pub drained: bool,
    /// Calls that ended.
    pub calls: u64,
    /// Of these, calls that failed.
    pub failed: u64,
    /// Of these, calls that were rejected because of load.
    pub busy: u64,
    /// Calls that are waiting now.
    pub waiting: u32,
    /// Number of hosts that it currently has ejected.
    pub hosts_down: u32,
    /// Number of connections and attempts at each host that it is told to avoid; hosts without any are left
    /// out.
    pub holds: Vec<(UnitName, u32)>,
}
