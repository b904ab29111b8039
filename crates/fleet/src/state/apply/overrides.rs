//! Drains of units and hosts beyond the limits.

use super::{Outcome, State};
use crate::policy::UnitName;
use crate::state::{Cause, Lease, OverrideRecord, Refusal, UnitState};

/// Number of overrides kept to be shown to operators.
const OVERRIDES_KEPT: usize = 32;

impl State {
    pub(super) fn drain_beyond_limits(&mut self, name: &UnitName, reason: &str) -> Outcome {
        if let Some(other) = self.current_override() {
            return Err(Refusal::OverrideInUse(other.clone()));
        }
        if reason.trim().is_empty() {
            return Err(Refusal::ReasonMissing);
        }
        let lease = match self.units.get(name) {
            Some(unit) if unit.unit_state == UnitState::Serving => self.grant_lease(name, Cause::Override),
            Some(_) => return Err(Refusal::AlreadyOut(name.clone())),
            None => self.hold_host_beyond_limits(name)?,
        };
        self.record_override(name, reason, lease);
        Ok(format!("{name} may go out beyond the limits, permit {}", lease.0))
    }

    /// The unit or host that is out by an override, if any.
    fn current_override(&self) -> Option<&UnitName> {
        let units = self.units.iter().filter(|(_, unit)| unit.unit_state.cause() == Some(Cause::Override));
        let hosts =
            self.hosts.iter().filter(|(_, host)| host.held.is_some_and(|held| held.cause == Cause::Override));
        units.map(|(name, _)| name).chain(hosts.map(|(name, _)| name)).next()
    }

    fn record_override(&mut self, name: &UnitName, reason: &str, lease: Lease) {
        self.overrides.push(OverrideRecord { unit: name.clone(), reason: reason.to_owned(), lease });
        if self.overrides.len() > OVERRIDES_KEPT {
            self.overrides.remove(0);
        }
    }
}
