//! Commands on units: leases, draining, returning, and losses.

use super::{Outcome, State};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::UnitName;
use crate::state::{CallCounts, Cause, ChangedUnit, Lease, LimitedKind, Nonce, Refusal, Unit, UnitState};

impl State {
    /// Checks that this unit may go out within the limits.
    pub(super) fn check_unit_limits(&self, name: &UnitName) -> Result<(), Refusal> {
        let policy = self.policy.as_ref().ok_or(Refusal::NotFounded)?;
        let unit = self.units.get(name).ok_or_else(|| Refusal::UnknownUnit(name.clone()))?;
        if unit.unit_state != UnitState::Serving {
            return Err(Refusal::AlreadyOut(name.clone()));
        }
        if unit.lost {
            return Err(Refusal::Lost(name.clone()));
        }
        for scope in policy.scopes_of(name) {
            let is_counted = |name: &&&UnitName| self.units.get(**name).is_some_and(counts_as_out);
            let out = scope.members.iter().filter(is_counted).count() as u32;
            let total = scope.members.len() as u32;
            let room = scope.limit.room(total);
            if out + 1 > room {
                let kind = LimitedKind::Units;
                return Err(Refusal::LimitReached { out, total, kind, scope: scope.name, room });
            }
        }
        Ok(())
    }

    /// Whether the unit's zone has other units and all of them are out. The last units of a zone never go out
    /// together for a release, whatever the limits allow.
    pub(super) fn is_last_of_zone(&self, name: &UnitName) -> bool {
        let Some(policy) = &self.policy else { return false };
        let Some(place) = policy.units.get(name) else { return false };
        let mut of_zone =
            policy.units.iter().filter(|(_, other)| other.zone == place.zone).map(|(name, _)| name);
        of_zone.clone().count() > 1
            && of_zone.all(|other| other == name || self.units.get(other).is_some_and(Unit::is_out))
    }

    pub(super) fn grant_lease(&mut self, name: &UnitName, cause: Cause) -> Lease {
        let lease = self.new_lease();
        if let Some(unit) = self.units.get_mut(name) {
            unit.unit_state = UnitState::Granted { lease, cause };
        }
        lease
    }

    pub(super) fn drain_unit(&mut self, name: &UnitName) -> Outcome {
        self.check_unit_limits(name)?;
        let lease = self.grant_lease(name, Cause::Drain);
        Ok(format!("{name} may go out, permit {}", lease.0))
    }

    pub(super) fn activate_unit(&mut self, name: &UnitName) -> Outcome {
        let unit = self.units.get_mut(name).ok_or_else(|| Refusal::UnknownUnit(name.clone()))?;
        match unit.unit_state.clone() {
            UnitState::Serving | UnitState::Returning { .. } => Ok(format!("{name} is not held out")),
            UnitState::Granted { .. } => {
                unit.unit_state = UnitState::Serving;
                Ok(format!("{name} never began"))
            }
            UnitState::Begun { lease, cause, .. } => {
                unit.unit_state = UnitState::Returning { lease, cause };
                Ok(format!("{name} takes clients again"))
            }
        }
    }

    pub(super) fn begin_drain(
        &mut self,
        name: &UnitName,
        lease: Lease,
        nonce: Nonce,
        call_counts: CallCounts,
    ) -> Outcome {
        let unit = self.units.get_mut(name).ok_or(Refusal::NoSuchUnit)?;
        let (cause, before) = lease_in_force(&unit.unit_state, lease, nonce, call_counts)?;
        if let Cause::Release(number) = cause {
            let release = self.release.as_mut().filter(|release| release.number == number);
            let release = release.ok_or(Refusal::ReleaseOver)?;
            if !release.is_running() && !is_injected(InjectedFault::BeginWhileHalted) {
                return Err(Refusal::ReleaseHalted);
            }
            let changed =
                ChangedUnit { unit: name.clone(), before: unit.version.clone(), call_counts: before };
            release.began.entry(name.clone()).or_insert(changed);
        }
        unit.unit_state = UnitState::Begun { lease, cause, nonce, before };
        Ok("begun".into())
    }

    pub(super) fn mark_serving(&mut self, name: &UnitName, lease: Option<Lease>, version: &str) -> Outcome {
        let unit = self.units.get_mut(name).ok_or(Refusal::NoSuchUnit)?;
        if unit.unit_state.lease() != lease {
            return Err(Refusal::StateChanged);
        }
        let cause = unit.unit_state.cause();
        unit.unit_state = UnitState::Serving;
        unit.lost = false;
        unit.dead = false;
        unit.version = version.to_owned();
        match cause {
            Some(Cause::Release(number)) => self.record_return(number, name, version),
            Some(Cause::Drain | Cause::Override) | None => Ok("serving".into()),
        }
    }

    pub(super) fn mark_lost(&mut self, name: &UnitName) -> Outcome {
        let unit = self.units.get_mut(name).ok_or(Refusal::NoSuchUnit)?;
        // From this term on, other nodes may take over its in-flight calls.
        unit.term += u64::from(!unit.lost);
        unit.lost = true;
        Ok("lost".into())
    }

    pub(super) fn confirm_dead(&mut self, name: &UnitName) -> Outcome {
        let unit = self.units.get_mut(name).ok_or_else(|| Refusal::UnknownUnit(name.clone()))?;
        if !unit.lost {
            return Err(Refusal::NotLost(name.clone()));
        }
        unit.dead = true;
        Ok(format!("{name} is taken for dead until it is seen again"))
    }
}

fn counts_as_out(unit: &Unit) -> bool {
    if is_injected(InjectedFault::LostNotCounted) {
        return unit.unit_state != UnitState::Serving;
    }
    unit.is_out()
}

/// The cause of the lease and the unit's call counts before it went out, if the unit may begin under this
/// lease.
fn lease_in_force(
    unit_state: &UnitState,
    lease: Lease,
    nonce: Nonce,
    call_counts: CallCounts,
) -> Result<(Cause, CallCounts), Refusal> {
    match unit_state {
        UnitState::Granted { lease: granted, cause } if *granted == lease => Ok((*cause, call_counts)),
        // A repeated request, because no answer came in time or from the next process of a drained node. The
        // next process of a unit that exited to be changed may know the log only up to its grant, and must
        // not exit a second time.
        UnitState::Begun { lease: granted, cause, before, nonce: begun } if *granted == lease => {
            if matches!(cause, Cause::Release(_)) && begun.incarnation != nonce.incarnation {
                return Err(Refusal::BegunByAnotherProcess);
            }
            Ok((*cause, *before))
        }
        _ if is_injected(InjectedFault::StaleLeaseBegins) => Ok((Cause::Drain, call_counts)),
        UnitState::Serving
        | UnitState::Granted { .. }
        | UnitState::Begun { .. }
        | UnitState::Returning { .. } => Err(Refusal::LeaseNotInForce),
    }
}
