//! What a node starts with, and what it reports of itself.

use crate::policy::{FleetPolicy, UnitName};
use crate::state::Incarnation;
use crate::store::StoredState;

/// Entries of one epoch, unless configured otherwise: a voter that takes an epoch anew is sent a few hundred KiB.
pub const LONGEST_LOG: usize = 2_000;

/// What a node starts with.
pub struct FleetConfig {
    /// The node's name.
    pub name: UnitName,
    /// The policy as its file says; the one that the fleet was founded on counts.
    pub policy: FleetPolicy,
    /// Identifies this process.
    pub incarnation: Incarnation,
    /// Seed of the random draws.
    pub seed: u64,
    /// The build or settings that it runs.
    pub version: String,
    /// What its store holds, if it has one.
    pub saved: Option<StoredState>,
    /// The store had something that could not be read.
    pub spoilt: bool,
    /// An epoch ends with so many entries: [`LONGEST_LOG`], except where many epochs are to be seen soon.
    pub longest_log: usize,
}

/// What the node reports of itself; counts are totals of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// It takes clients, and nothing but the fleet would keep it from that.
    pub serving: bool,
    /// It was told to drain, and holds nothing any more.
    pub drained: bool,
    /// Calls that ended.
    pub calls: u64,
    /// Of these, calls that failed.
    pub failed: u64,
    /// Of these, calls that were rejected because of load.
    pub busy: u64,
    /// Calls that wait now.
    pub waiting: u32,
    /// Hosts that it has ejected now.
    pub hosts_down: u32,
    /// Connections and attempts at hosts that it is to avoid, where there are any.
    pub holds: Vec<(UnitName, u32)>,
}
