//! The policy that a fleet is founded on.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::error::PolicyError;
use super::limits::{Limits, Scope};
use super::place::{Place, UnitName};

/// Each voter hears all others twice a second.
const MAX_VOTERS: usize = 9;

/// The longest time, in seconds, in which repeated calls may be recognised.
const MAX_RECALL_S: u32 = 3_600;

/// How many hosts there will be is not known when a policy is checked: of so many, some must be able to go out.
const VERY_MANY_HOSTS: u32 = 1_000_000;

/// What the fleet is founded on. All nodes are configured with the same; the one in the log counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// A name that all its members give, so that two fleets at one address never mix.
    pub group: String,
    /// Nodes that hold the log: an odd number, best in zones of their own.
    pub voters: Vec<UnitName>,
    /// How many units may be out at once.
    #[serde(default)]
    pub limits: Limits,
    /// How hosts are taken out; without it, the endpoint list alone decides about them.
    #[serde(default)]
    pub hosts: Option<HostSettings>,
    /// How calls outlive their node; without it, they do not.
    #[serde(default)]
    pub work: Option<TakeoverSettings>,
    /// All units, and where they are.
    pub units: BTreeMap<UnitName, Place>,
}

/// How in-flight calls outlive their node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TakeoverSettings {
    /// Seconds after its final answer in which a repeated call is recognised.
    #[serde(default = "default_recall_s")]
    pub recall_s: u32,
}

/// Longer than clients retry by themselves.
fn default_recall_s() -> u32 {
    30
}

/// How hosts are taken out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// How many of the hosts in the endpoint list may be out at once.
    #[serde(default)]
    pub limits: Limits,
    /// Connections a second that the whole fleet migrates away from hosts that are wanted out.
    #[serde(default = "default_moves_per_second")]
    pub moves_per_second: u32,
    /// Seconds after which a host that the list no longer names is removed from the fleet; until then it counts as out.
    #[serde(default = "default_forget_after_s")]
    pub forget_after_s: u32,
}

/// The thousand connections of a loaded host go within a minute, and each of ten others gets two more a second.
fn default_moves_per_second() -> u32 {
    20
}

fn default_forget_after_s() -> u32 {
    600
}

impl FleetPolicy {
    /// Every scope that this unit is in.
    pub fn scopes_of<'a>(&'a self, unit: &UnitName) -> Vec<Scope<'a>> {
        let Some(place) = self.units.get(unit) else { return vec![] };
        self.limits.scopes_of(place, self.units.iter())
    }

    /// Checks the policy.
    ///
    /// # Errors
    /// Names the first key whose value cannot be used: voters that are no units, doubled or more than nine, limits
    /// that would never let some unit go out, and settings out of their range.
    pub fn check(&self) -> Result<(), PolicyError> {
        if self.group.is_empty() {
            return Err(PolicyError::new("group", "is empty"));
        }
        self.check_voters()?;
        self.check_limits()?;
        if self.work.as_ref().is_some_and(|work| !(1..=MAX_RECALL_S).contains(&work.recall_s)) {
            return Err(PolicyError::new("work.recall_s", format!("expected 1 to {MAX_RECALL_S}")));
        }
        self.hosts.as_ref().map_or(Ok(()), HostSettings::check)
    }

    fn check_voters(&self) -> Result<(), PolicyError> {
        if self.voters.is_empty() || self.voters.len() > MAX_VOTERS {
            return Err(PolicyError::new("voters", format!("expected 1 to {MAX_VOTERS} names")));
        }
        let mut seen = BTreeSet::new();
        for voter in &self.voters {
            if !self.units.contains_key(voter) {
                return Err(PolicyError::new("voters", format!("{voter} is none of the units")));
            }
            if !seen.insert(voter) {
                return Err(PolicyError::new("voters", format!("{voter} stands twice")));
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), PolicyError> {
        for unit in self.units.keys() {
            for scope in self.scopes_of(unit) {
                let total = scope.members.len();
                if scope.limit.room(total as u32) > 0 {
                    continue;
                }
                let Scope { name, .. } = scope;
                let key = format!("limits.{}", name.split(' ').next().unwrap_or_default());
                let why = format!("of {total} units in {name} none may ever be out, so {unit} never");
                return Err(PolicyError::new(key, why));
            }
        }
        Ok(())
    }
}

impl HostSettings {
    fn check(&self) -> Result<(), PolicyError> {
        if self.moves_per_second == 0 {
            let why = "is 0: nothing would ever be eased off";
            return Err(PolicyError::new("hosts.moves_per_second", why));
        }
        let Limits { fleet, zone, cell, kind } = &self.limits;
        for (key, limit) in [("fleet", fleet), ("zone", zone), ("cell", cell), ("kind", kind)] {
            if limit.room(VERY_MANY_HOSTS) == 0 {
                let why = "lets no host ever go out, however many there are";
                return Err(PolicyError::new(format!("hosts.limits.{key}"), why));
            }
        }
        Ok(())
    }
}
