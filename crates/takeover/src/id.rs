//! Identifiers that mean the same at all nodes.

use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use serde::{Deserialize, Serialize};

/// Identifies a work item: a hash of a call's subject, traffic class and tenant. Every repeat of the call has
/// the same one, and so have separate calls with the same three values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkId(pub u64);

/// Identifies the record of one call of one process of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    /// The node that serves the call.
    pub owner: UnitName,
    /// The process of that node.
    pub incarnation: Incarnation,
    /// The number of the call within that process; not the node's own call id.
    pub call_number: u64,
}
