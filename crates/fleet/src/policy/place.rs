//! Names and places of units and hosts.

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

/// Location and kind of a unit or host. A limit applies to all units or hosts that share one of these values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The failure domain.
    #[serde(default)]
    pub zone: String,
    /// A part of the fleet; its meaning is up to the operators.
    #[serde(default)]
    pub cell: String,
    /// The kind of machine or role.
    #[serde(default)]
    pub kind: String,
}
