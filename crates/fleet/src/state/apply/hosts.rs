//! Commands on hosts: updates of the endpoint list, and leases to be out.

use super::{Outcome, State};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::UnitName;
use crate::state::{Cause, HoldState, Host, HostHold, HostUpdate, Lease, LimitedKind, Refusal};

impl State {
    /// Checks that this host may go out within the limits.
    fn check_host_limits(&self, name: &UnitName, host: &Host) -> Result<(), Refusal> {
        let settings = self.host_settings().ok_or(Refusal::HostsNotManaged)?;
        if host.held.is_some() {
            return Err(Refusal::AlreadyOut(name.clone()));
        }
        let places = self.hosts.iter().map(|(name, host)| (name, &host.place));
        for scope in settings.limits.scopes_of(&host.place, places) {
            // The host itself is not counted, since the list may already show it as draining.
            let others = scope.members.iter().filter(|other| **other != name);
            let out = others.filter(|other| self.hosts.get(**other).is_some_and(Host::is_out)).count() as u32;
            let total = scope.members.len() as u32;
            let room = scope.limit.room(total);
            if out + 1 > room {
                let kind = LimitedKind::Hosts;
                return Err(Refusal::LimitReached { out, total, kind, scope: scope.name, room });
            }
        }
        Ok(())
    }

    fn hold_host(&mut self, name: &UnitName, cause: Cause) -> Lease {
        let lease = self.new_lease();
        if let Some(host) = self.hosts.get_mut(name) {
            host.held = Some(HostHold { lease, cause, hold: HoldState::Out });
        }
        lease
    }

    pub(super) fn drain_host(&mut self, name: &UnitName) -> Outcome {
        let host = self.hosts.get(name).ok_or_else(|| Refusal::UnknownUnitOrHost(name.clone()))?;
        self.check_host_limits(name, host)?;
        let lease = self.hold_host(name, Cause::Drain);
        Ok(format!("{name} is eased off, permit {}", lease.0))
    }

    /// Grants a lease regardless of the limits. The caller has checked that no other override is in use.
    pub(super) fn hold_host_beyond_limits(&mut self, name: &UnitName) -> Result<Lease, Refusal> {
        match self.hosts.get(name) {
            Some(host) if host.held.is_none() => Ok(self.hold_host(name, Cause::Override)),
            Some(_) => Err(Refusal::AlreadyOut(name.clone())),
            None => Err(Refusal::UnknownUnitOrHost(name.clone())),
        }
    }

    pub(super) fn activate_host(&mut self, name: &UnitName) -> Outcome {
        let host = self.hosts.get_mut(name).ok_or_else(|| Refusal::UnknownUnitOrHost(name.clone()))?;
        match &mut host.held {
            Some(held) if held.hold != HoldState::Returning => {
                held.hold = HoldState::Returning;
                if is_injected(InjectedFault::HostReturnedEarly) {
                    host.held = None;
                }
                Ok(format!("{name} is used again"))
            }
            Some(_) | None => Ok(format!("{name} is not held out")),
        }
    }

    pub(super) fn update_hosts(&mut self, updates: &[HostUpdate]) -> Outcome {
        for HostUpdate { host: name, listed } in updates {
            let Some(listed) = listed else {
                self.hosts.remove(name);
                continue;
            };
            let held = self.hosts.get(name).and_then(|known| known.held);
            let host = Host { place: listed.place.clone(), listed: listed.endpoint_state, held };
            self.hosts.insert(name.clone(), host);
        }
        Ok("noted".into())
    }

    pub(super) fn mark_host_empty(&mut self, name: &UnitName, lease: Lease) -> Outcome {
        let held = self.hosts.get_mut(name).and_then(|host| host.held.as_mut());
        let held = held.filter(|held| held.lease == lease && held.hold == HoldState::Out);
        let held = held.ok_or(Refusal::StateChanged)?;
        held.hold = HoldState::Empty;
        Ok(format!("{name} may stop"))
    }

    pub(super) fn mark_host_returned(&mut self, name: &UnitName, lease: Lease) -> Outcome {
        let host = self.hosts.get_mut(name).ok_or_else(|| Refusal::UnknownHost(name.clone()))?;
        match host.held {
            Some(held) if held.lease == lease && held.hold == HoldState::Returning => {
                host.held = None;
                Ok(format!("{name} is back"))
            }
            Some(_) | None => Err(Refusal::StateChanged),
        }
    }
}
