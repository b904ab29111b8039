//! Release plans.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::error::PolicyError;
use super::fleet_policy::FleetPolicy;
use super::limits::Amount;
use super::place::UnitName;

/// What a unit does once it is out for a release.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    /// It drains, writes the wanted version to a file in its folder and exits; its supervisor starts that
    /// version.
    #[default]
    Exit,
    /// It drains and then accepts clients again: a rehearsal that changes nothing.
    Drain,
}

/// What units that are out do when a release halts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnHalt {
    /// They stay out until the release is resumed or rolled back.
    #[default]
    Hold,
    /// Units that still run accept clients again.
    Return,
}

/// Thresholds that halt a release. Rates of a changed unit are compared with the higher of its own before the
/// change and the mean of the unchanged units; its waiting calls and ejected hosts only with its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gates {
    /// Largest allowed increase in failed calls, per thousand calls.
    pub failures_per_thousand: u32,
    /// Largest allowed increase in calls that were rejected because of load, per thousand calls.
    pub busy_per_thousand: u32,
    /// Number of calls that a unit must have had before its rates are judged.
    pub least_calls: u32,
    /// Number of units of the fleet that may be lost at once without holding a lease.
    pub most_lost: u32,
    /// Largest allowed increase in calls that wait at a unit; not checked if absent.
    pub waiting: Option<u32>,
    /// Largest allowed increase in hosts that a unit has ejected; not checked if absent.
    pub hosts_down: Option<u32>,
}

impl Default for Gates {
    fn default() -> Gates {
        Gates {
            failures_per_thousand: 20,
            busy_per_thousand: 100,
            least_calls: 20,
            most_lost: 0,
            waiting: None,
            hosts_down: None,
        }
    }
}

/// The plan of one release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The version that units must report after the change.
    pub version: String,
    /// The units to change; all units if empty.
    #[serde(default)]
    pub units: Vec<UnitName>,
    /// Number or share of units in each wave; the last value applies to all further waves.
    #[serde(default = "default_waves")]
    pub waves: Vec<Amount>,
    /// Seconds that a unit must serve before it counts as back, and seconds that a wave is watched before the
    /// next begins.
    #[serde(default = "default_watch_s")]
    pub watch_s: u32,
    /// Maximum time, in seconds, that one unit may be out.
    #[serde(default = "default_unit_limit_s")]
    pub unit_limit_s: u32,
    /// What each unit does once it is out.
    #[serde(default)]
    pub act: Act,
    /// What units that are out do when the release halts.
    #[serde(default)]
    pub on_halt: OnHalt,
    /// What halts the release.
    #[serde(default)]
    pub gates: Gates,
}

fn default_waves() -> Vec<Amount> {
    vec![Amount::Count(1), Amount::Part(100), Amount::Part(1000)]
}

fn default_watch_s() -> u32 {
    10
}

fn default_unit_limit_s() -> u32 {
    120
}

impl Plan {
    /// Checks the plan against the policy.
    ///
    /// # Errors
    /// Names the first key with an invalid value.
    pub fn check(&self, policy: &FleetPolicy) -> Result<(), PolicyError> {
        if self.version.is_empty() {
            return Err(PolicyError::new("version", "must not be empty"));
        }
        if let Some(unknown) = self.units.iter().find(|unit| !policy.units.contains_key(unit)) {
            return Err(PolicyError::new("units", format!("{unknown} is not one of the fleet's units")));
        }
        if self.waves.is_empty() || self.waves.iter().any(|wave| wave.rounded_up(1000) == 0) {
            return Err(PolicyError::new("waves", "expected at least one wave, each of at least one unit"));
        }
        if self.watch_s == 0 {
            return Err(PolicyError::new(
                "watch_s",
                "must not be 0: a unit has to be seen serving to count as back",
            ));
        }
        if self.unit_limit_s <= self.watch_s {
            return Err(PolicyError::new("unit_limit_s", "must be longer than watch_s"));
        }
        Ok(())
    }

    /// The units of each wave. Zones and cells alternate, so that no wave of several units consists of one
    /// zone while others have units left.
    pub fn split(&self, policy: &FleetPolicy) -> Vec<Vec<UnitName>> {
        let order = self.order(policy);
        let total = order.len() as u32;
        let mut remaining = order.into_iter().cloned();
        let mut waves = Vec::new();
        for index in 0.. {
            let size = self.waves.get(index).or(self.waves.last());
            let size = size.map_or(1, |wave| wave.rounded_up(total).max(1));
            let wave: Vec<UnitName> = remaining.by_ref().take(size as usize).collect();
            if wave.is_empty() {
                break;
            }
            waves.push(wave);
        }
        waves
    }

    /// All units that the plan changes: the first of each zone, then the second of each, and so on; within a
    /// zone the cells alternate.
    fn order<'a>(&'a self, policy: &'a FleetPolicy) -> Vec<&'a UnitName> {
        let units: BTreeSet<&UnitName> =
            if self.units.is_empty() { policy.units.keys().collect() } else { self.units.iter().collect() };
        let mut cells: BTreeMap<(&str, &str), Vec<&UnitName>> = BTreeMap::new();
        for unit in units {
            if let Some(place) = policy.units.get(unit) {
                cells.entry((&place.zone, &place.cell)).or_default().push(unit);
            }
        }
        let mut zones: BTreeMap<&str, Vec<Vec<&UnitName>>> = BTreeMap::new();
        for ((zone, _), units) in cells {
            zones.entry(zone).or_default().push(units);
        }
        interleave(zones.into_values().map(interleave).collect())
    }
}

/// The first of each list, then the second of each, and so on.
fn interleave(lists: Vec<Vec<&UnitName>>) -> Vec<&UnitName> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest).flat_map(|index| lists.iter().filter_map(move |list| list.get(index).copied())).collect()
}
