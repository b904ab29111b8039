//! Commands on releases: start, waves, halt, resume and rollback.

use std::collections::{BTreeMap, BTreeSet};

use super::{Outcome, State};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::{Act, OnHalt, Plan, UnitName};
use crate::state::{CallCounts, Cause, ChangedUnit, Refusal, Release, ReleaseState, UnitState};

impl State {
    pub(super) fn start_release(&mut self, plan: &Plan) -> Outcome {
        let policy = self.policy.as_ref().ok_or(Refusal::NotFounded)?;
        plan.check(policy)?;
        if let Some(release) = self.release.as_ref().filter(|release| !release.is_finished()) {
            return Err(Refusal::ReleaseNotFinished(release.number));
        }
        let waves = plan.split(policy);
        self.releases += 1;
        self.release = Some(Release {
            number: self.releases,
            plan: plan.clone(),
            release_state: ReleaseState::Running,
            waves,
            wave: 0,
            done: Vec::new(),
            began: BTreeMap::new(),
            back: None,
        });
        Ok(format!("release {}", self.releases))
    }

    /// Halts the release. Units that have not begun to drain lose their lease; the others stay out or return,
    /// according to the plan's `on_halt`.
    pub(super) fn halt_release(&mut self, why: &str) -> Outcome {
        let release = self.release.as_mut().filter(|release| !release.is_finished());
        let release = release.ok_or(Refusal::NothingToHalt)?;
        // A later halt does not replace the first reason.
        if release.is_running() {
            release.release_state = ReleaseState::Halted(why.to_owned());
        }
        let halted = Cause::Release(release.number);
        let returns = release.plan.on_halt == OnHalt::Return;
        for unit in self.units.values_mut() {
            match unit.unit_state {
                UnitState::Granted { cause, .. } if cause == halted => unit.unit_state = UnitState::Serving,
                UnitState::Begun { lease, cause, .. } if cause == halted && returns => {
                    unit.unit_state = UnitState::Returning { lease, cause };
                }
                UnitState::Serving
                | UnitState::Granted { .. }
                | UnitState::Begun { .. }
                | UnitState::Returning { .. } => {}
            }
        }
        Ok("halted".into())
    }

    pub(super) fn resume_release(&mut self) -> Outcome {
        match self.release.as_mut() {
            Some(release) if matches!(release.release_state, ReleaseState::Halted(_)) => {
                release.release_state = ReleaseState::Running;
                Ok(format!("release {} goes on", release.number))
            }
            Some(_) | None => Err(Refusal::NothingHalted),
        }
    }

    /// Starts the rollback as a new release under the same limits. It changes first the units that are still
    /// out, then those that are done, newest first.
    pub(super) fn roll_back(&mut self) -> Outcome {
        let release = self.release.as_ref().ok_or(Refusal::NothingToRollBack)?;
        if release.is_running() {
            return Err(Refusal::ReleaseRunning(release.number));
        }
        if release.back.is_some() {
            return Err(Refusal::AlreadyRollback(release.number));
        }
        let rolled_back = release.number;
        let plan = release.plan.clone();
        let changed = units_to_roll_back(release);
        let versions: BTreeMap<UnitName, String> =
            changed.iter().map(|changed| (changed.unit.clone(), changed.before.clone())).collect();
        let mut seen = BTreeSet::new();
        let order: Vec<UnitName> = changed
            .iter()
            .map(|changed| changed.unit.clone())
            .filter(|unit| seen.insert(unit.clone()))
            .collect();
        self.releases += 1;
        let number = self.releases;
        self.return_units_to_release(rolled_back, number);
        self.release = Some(Release {
            number,
            plan,
            release_state: if order.is_empty() { ReleaseState::Finished } else { ReleaseState::Running },
            waves: vec![order],
            wave: 0,
            done: Vec::new(),
            began: BTreeMap::new(),
            back: Some(versions),
        });
        Ok(format!("release {number} leads back"))
    }

    /// Returns the units that are out for the release, under the number of its rollback. This lets no further
    /// unit out.
    fn return_units_to_release(&mut self, rolled_back: u64, rollback: u64) {
        for unit in self.units.values_mut() {
            match unit.unit_state {
                UnitState::Begun { lease, cause: Cause::Release(number), .. }
                | UnitState::Returning { lease, cause: Cause::Release(number) }
                    if number == rolled_back =>
                {
                    unit.unit_state = UnitState::Returning { lease, cause: Cause::Release(rollback) };
                }
                UnitState::Serving
                | UnitState::Granted { .. }
                | UnitState::Begun { .. }
                | UnitState::Returning { .. } => {}
            }
        }
    }

    pub(super) fn grant_turn(&mut self, number: u64, name: &UnitName) -> Outcome {
        let release = self.release.as_ref().filter(|release| release.number == number);
        let release = release.ok_or(Refusal::UnknownRelease)?;
        if !release.is_running() && !is_injected(InjectedFault::GrantWhileHalted) {
            return Err(Refusal::ReleaseNotRunning);
        }
        if !release.remaining_units().any(|unit| unit == name) {
            return Err(Refusal::NotInCurrentWave(name.clone()));
        }
        if self.is_last_of_zone(name) {
            return Err(Refusal::LastOfZone(name.clone()));
        }
        self.check_unit_limits(name)?;
        let lease = self.grant_lease(name, Cause::Release(number));
        Ok(format!("permit {}", lease.0))
    }

    /// Records that a unit that was out for this release serves again. A unit that came back with the wrong
    /// version halts the release.
    pub(super) fn record_return(&mut self, number: u64, name: &UnitName, version: &str) -> Outcome {
        let Some(release) = self.release.as_mut().filter(|release| release.number == number) else {
            return Ok("serving".into());
        };
        let began = release.began.remove(name);
        let wanted = release.target_version(name).to_owned();
        let only_drains = release.plan.act == Act::Drain;
        let is_rollback = release.back.is_some();
        if only_drains || version == wanted {
            // In a rollback, a unit may return with its target version without having been granted a lease by
            // the rollback.
            if !release.is_done(name) && (is_rollback || began.is_some()) {
                release.done.push(began.unwrap_or_else(|| ChangedUnit {
                    unit: name.clone(),
                    before: version.to_owned(),
                    call_counts: CallCounts::default(),
                }));
            }
        } else if release.is_running() && began.is_some() {
            let why = format!("{name} came back as {version:?}, wanted {wanted:?}");
            return self.halt_release(&why);
        }
        Ok("serving".into())
    }

    pub(super) fn advance_wave(&mut self, number: u64, wave: usize) -> Outcome {
        let release = self.release.as_mut().filter(|release| release.number == number);
        let release = release.ok_or(Refusal::UnknownRelease)?;
        let has_units_left = release.remaining_units().next().is_some();
        if !release.is_running() || release.wave != wave || has_units_left {
            return Err(Refusal::WaveNotDone);
        }
        release.wave += 1;
        if release.wave >= release.waves.len() {
            release.release_state = ReleaseState::Finished;
        }
        Ok("passed".into())
    }
}

/// Units that may run the release's version: those that are still out, which may come back with either
/// version, then those that are done, newest first.
fn units_to_roll_back(release: &Release) -> Vec<&ChangedUnit> {
    release.began.values().chain(release.done.iter().rev()).collect()
}
