//! The fleet policy.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::error::PolicyError;
use super::limits::{Limits, Scope};
use super::place::{Place, UnitName};

/// Maximum number of voters; bounded because each voter hears from all others twice a second, so the traffic
/// grows with the square of the number.
const MAX_VOTERS: usize = 9;

/// Longest allowed `recall_s`, in seconds.
const MAX_RECALL_S: u32 = 3_600;

/// Number of hosts for which a policy's limits are checked, since the actual number is not known then: of
/// this many hosts, at least one must be allowed out.
const VERY_MANY_HOSTS: u32 = 1_000_000;

/// The policy that the fleet is founded on. All nodes are configured with the same policy; the one in the log
/// applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// The fleet's name, which all members send, so that two fleets never mix if they share an address.
    pub group: String,
    /// The nodes that hold the log: an odd number, preferably in different zones.
    pub voters: Vec<UnitName>,
    /// Limits on how many units may be out at once.
    #[serde(default)]
    pub limits: Limits,
    /// Settings for draining hosts; without them, only the endpoint list decides which hosts are out.
    #[serde(default)]
    pub hosts: Option<HostSettings>,
    /// Settings for the takeover of in-flight calls; without them, calls are lost with their node.
    #[serde(default)]
    pub work: Option<TakeoverSettings>,
    /// All units and their places.
    pub units: BTreeMap<UnitName, Place>,
}

/// Settings for the takeover of in-flight calls when their node is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TakeoverSettings {
    /// Seconds after a call's final answer during which a repeat of it is recognised.
    #[serde(default = "default_recall_s")]
    pub recall_s: u32,
}

/// 30 s is longer than clients retry on their own.
fn default_recall_s() -> u32 {
    30
}

/// Settings for draining hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Limits on how many hosts of the endpoint list may be out at once.
    #[serde(default)]
    pub limits: Limits,
    /// Connections per second that the whole fleet migrates away from hosts that are to be out.
    #[serde(default = "default_moves_per_second")]
    pub moves_per_second: u32,
    /// Seconds after which a host that the endpoint list no longer contains is removed from the fleet; until
    /// then it counts as out.
    #[serde(default = "default_forget_after_s")]
    pub forget_after_s: u32,
}

/// At 20 per second, the 1000 connections of a loaded host migrate within a minute, and each of ten other
/// hosts gets two more per second.
fn default_moves_per_second() -> u32 {
    20
}

fn default_forget_after_s() -> u32 {
    600
}

impl FleetPolicy {
    /// All scopes that contain this unit.
    pub fn scopes_of<'a>(&'a self, unit: &UnitName) -> Vec<Scope<'a>> {
        let Some(place) = self.units.get(unit) else { return vec![] };
        self.limits.scopes_of(place, self.units.iter())
    }

    /// Checks the policy.
    ///
    /// # Errors
    /// Names the first key with an invalid value: voters that are not units, that occur twice or that are
    /// more than nine, limits that would never allow some unit out, and settings out of range.
    pub fn check(&self) -> Result<(), PolicyError> {
        if self.group.is_empty() {
            return Err(PolicyError::new("group", "must not be empty"));
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
                return Err(PolicyError::new("voters", format!("{voter} is not one of the units")));
            }
            if !seen.insert(voter) {
                return Err(PolicyError::new("voters", format!("{voter} is listed twice")));
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
                let why = format!(
                    "allows none of the {total} units in {name} to be out, so {unit} could never be drained \
                     within the limits"
                );
                return Err(PolicyError::new(key, why));
            }
        }
        Ok(())
    }
}

impl HostSettings {
    fn check(&self) -> Result<(), PolicyError> {
        if self.moves_per_second == 0 {
            let why = "must not be 0: no host would ever be drained";
            return Err(PolicyError::new("hosts.moves_per_second", why));
        }
        let Limits { fleet, zone, cell, kind } = &self.limits;
        for (key, limit) in [("fleet", fleet), ("zone", zone), ("cell", cell), ("kind", kind)] {
            if limit.room(VERY_MANY_HOSTS) == 0 {
                let why = "never allows a host to be out, however many hosts there are";
                return Err(PolicyError::new(format!("hosts.limits.{key}"), why));
            }
        }
        Ok(())
    }
}
