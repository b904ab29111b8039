//! Identifiers that mean the same at all nodes.

use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use serde::{Deserialize, Serialize};

/// A hash of what a call concerns, its traffic class and its tenant: the same for every repeat of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkId(pub u64);

/// A record of one call of one process of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    /// The node that has the call.
    pub owner: UnitName,
    /// The process of that node.
    pub incarnation: Incarnation,
    /// The number of the call within that process.
    pub call_number: u64,
}
