//! Releases, which change the version of units wave by wave, and rollbacks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::unit::CallCounts;
use crate::policy::{Plan, UnitName};

/// The state of a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseState {
    /// Units are being changed.
    Running,
    /// Halted for this reason: no further unit is changed until an operator resumes or rolls back.
    Halted(String),
    /// All waves are done.
    Finished,
}

/// A unit that a release has changed or is changing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedUnit {
    /// Its name.
    pub unit: UnitName,
    /// The version that it ran before.
    pub before: String,
    /// How its calls ended before it went out; the baseline for the release's gates.
    #[serde(rename = "rates")]
    pub call_counts: CallCounts,
}

/// One release, or the rollback of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The number of the release within the fleet, starting from 1.
    pub number: u64,
    /// The operator's plan. A rollback keeps the plan of the release that it rolls back.
    pub plan: Plan,
    /// Whether it is running, halted or finished.
    #[serde(rename = "course")]
    pub release_state: ReleaseState,
    /// The units of each wave, in order; a rollback has one wave of all changed units, newest first.
    pub waves: Vec<Vec<UnitName>>,
    /// Index of the current wave.
    pub wave: usize,
    /// Units that came back changed, in the order in which they returned.
    pub done: Vec<ChangedUnit>,
    /// Units that went out to be changed and are not back.
    pub began: BTreeMap<UnitName, ChangedUnit>,
    /// For a rollback, the version that each unit is to run; otherwise `None`.
    pub back: Option<BTreeMap<UnitName, String>>,
}

impl Release {
    /// Whether the release is neither halted nor finished.
    pub fn is_running(&self) -> bool {
        self.release_state == ReleaseState::Running
    }

    /// Whether all waves are done.
    pub fn is_finished(&self) -> bool {
        self.release_state == ReleaseState::Finished
    }

    /// The version that a unit is to run after this release.
    pub fn target_version(&self, unit: &UnitName) -> &str {
        match &self.back {
            Some(versions) => versions.get(unit).map_or("", String::as_str),
            None => &self.plan.version,
        }
    }

    /// Whether this unit came back changed.
    pub fn is_done(&self, unit: &UnitName) -> bool {
        self.done.iter().any(|changed| changed.unit == *unit)
    }

    /// Units of the current wave that are not done, in the order of the wave.
    pub fn remaining_units(&self) -> impl Iterator<Item = &UnitName> {
        self.waves.get(self.wave).into_iter().flatten().filter(|unit| !self.is_done(unit))
    }
}
