//! Names of units and hosts, and where they are.

use serde::{Deserialize, Serialize};

/// The name of a unit, as in the node's configuration, or of a host, as in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnitName(pub String);

impl std::fmt::Display for UnitName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for UnitName {
    fn from(text: &str) -> UnitName {
        UnitName(text.to_owned())
    }
}

/// Where a unit or host is, and of what kind. Limits are over all that have one of these in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The failure domain.
    #[serde(default)]
    pub zone: String,
    /// A part of the fleet, of whatever meaning to its operators.
    #[serde(default)]
    pub cell: String,
    /// The kind of machine or role.
    #[serde(default)]
    pub kind: String,
}
