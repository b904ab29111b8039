//! Voters, which are the nodes that keep the log, each in a numbered slot.

use serde::{Deserialize, Serialize};

use super::ids::Incarnation;
use crate::policy::UnitName;

/// A voter's numbered membership in the consensus group, kept over epochs until it is reassigned. Numbers are
/// never reused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSlot {
    /// The voter's id in the consensus protocol.
    pub number: u64,
    /// The node that holds it.
    pub name: UnitName,
    /// The process that the slot was assigned to when it was created; 0 for the slots that the fleet was
    /// founded with.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// A pending permanent replacement of a voter by another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(UnitName, UnitName)", into = "(UnitName, UnitName)")]
pub struct VoterReplacement {
    /// The voter that leaves.
    pub old: UnitName,
    /// The node that becomes a voter.
    pub new: UnitName,
}

impl From<(UnitName, UnitName)> for VoterReplacement {
    fn from((old, new): (UnitName, UnitName)) -> VoterReplacement {
        VoterReplacement { old, new }
    }
}

impl From<VoterReplacement> for (UnitName, UnitName) {
    fn from(replacement: VoterReplacement) -> (UnitName, UnitName) {
        (replacement.old, replacement.new)
    }
}
