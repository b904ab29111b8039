//! Host controller: proposes changes of the endpoint list, and watches hosts that are out until they are
//! empty or back.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::proposals::LeaderAction;
use crate::Timestamp;
use crate::context::Context;
use crate::endpoint_list::EndpointList;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::UnitName;
use crate::state::{Command, HoldState, Host, HostHold, Unit};
use crate::view::DrainingHost;

/// Interval, in ms, at which the controller runs and repeats proposals that were not decided.
const CONTROL_INTERVAL_MS: u64 = 1_000;

/// The hold of a host, and the log position at which it was first observed.
#[derive(Clone, Copy)]
struct ObservedHold {
    held: HostHold,
    applied: u64,
}

/// Watches the endpoint list and the hosts that are held out.
#[derive(Default)]
pub(crate) struct HostController {
    controlled_at: Option<Timestamp>,
    observed: BTreeMap<UnitName, ObservedHold>,
}

impl HostController {
    /// Returns proposals for changed hosts, at most once in [`CONTROL_INTERVAL_MS`].
    pub(super) fn control(&mut self, context: &Context, list: &mut EndpointList) -> Vec<LeaderAction> {
        let Some(settings) = context.state.host_settings() else { return vec![] };
        let forget_ms = u64::from(settings.forget_after_s) * 1_000;
        if self.controlled_at.is_some_and(|at| context.now.ms_since(at) < CONTROL_INTERVAL_MS) {
            return vec![];
        }
        self.controlled_at = Some(context.now);
        self.observe(context);
        let mut actions = Vec::new();
        if list.is_current() {
            let updates = list.updates(context.now, &context.state.hosts, forget_ms);
            if !updates.is_empty() {
                actions.push(LeaderAction::Propose(Command::UpdateHosts { updates }));
            }
        }
        actions
            .extend(self.observed.iter().filter_map(|(name, observed)| next_step(context, name, *observed)));
        actions
    }

    fn observe(&mut self, context: &Context) {
        let mut before = std::mem::take(&mut self.observed);
        for (name, host) in &context.state.hosts {
            let Some(held) = host.held else { continue };
            let known = before.remove(name).filter(|known| known.held == held);
            let observed = known.unwrap_or(ObservedHold { held, applied: context.state.applied });
            self.observed.insert(name.clone(), observed);
        }
    }

    /// Whether the host may stop: it is marked empty in the log, this leader hears a majority, and every unit
    /// that is not confirmed dead reports that it holds nothing there.
    pub(crate) fn may_stop(&self, context: &Context, host: &UnitName) -> bool {
        let Some(observed) = self.observed.get(host) else { return false };
        let agreed = context.state.hosts.get(host).and_then(|host| host.held).map(|held| held.hold);
        context.hears_majority()
            && agreed == Some(HoldState::Empty)
            && observed.held.hold == HoldState::Empty
            && is_empty(context, host, observed.applied)
    }

    /// The hosts that nodes must avoid, with the nodes that still hold connections there.
    pub(crate) fn draining_hosts<'a>(&self, context: &'a Context) -> Vec<DrainingHost<'a>> {
        let hosts = context.state.hosts.iter().filter(|(_, host)| Host::must_be_avoided(host));
        let is_unheard = |(name, unit): &(&UnitName, &Unit)| !unit.dead && context.alive(name).is_none();
        let unheard = context.state.units.iter().filter(is_unheard).map(|(name, _)| name);
        hosts
            .map(|(host, _)| DrainingHost {
                host,
                held_by: holders(context, host),
                not_heard: unheard.clone().collect(),
                may_stop: self.may_stop(context, host),
            })
            .collect()
    }
}

fn next_step(context: &Context, name: &UnitName, observed: ObservedHold) -> Option<LeaderAction> {
    let host = name.clone();
    let lease = observed.held.lease;
    match observed.held.hold {
        HoldState::Out if is_empty(context, name, observed.applied) => {
            Some(LeaderAction::Propose(Command::MarkHostEmpty { host, lease }))
        }
        HoldState::Returning if all_have_applied(context, observed.applied) => {
            Some(LeaderAction::Propose(Command::MarkHostReturned { host, lease }))
        }
        HoldState::Out | HoldState::Empty | HoldState::Returning => None,
    }
}

/// Number of connections and attempts that each live node reports at this host.
fn holders<'a>(context: &'a Context, host: &UnitName) -> BTreeMap<&'a UnitName, u32> {
    let held_by = |name: &'a UnitName| {
        let holds = &context.alive(name)?.heartbeat.holds;
        let (_, count) = holds.iter().flatten().find(|(held, _)| held == host)?;
        Some((name, *count))
    };
    context.state.units.keys().filter_map(held_by).collect()
}

/// Whether every unit that is not confirmed dead reports, after applying the log up to this position, that it
/// holds nothing at the host.
fn is_empty(context: &Context, host: &UnitName, applied: u64) -> bool {
    context.state.units.iter().all(|(name, unit)| {
        let is_passed_over = unit.dead || (unit.lost && is_injected(InjectedFault::EmptyIgnoresLost));
        let reports_nothing = context.alive(name).is_some_and(|known| {
            // A unit that has applied more of the log than this leader may already use the host again without
            // reporting it.
            let knows_the_same = (applied..=context.state.applied).contains(&known.heartbeat.have.applied);
            let holds = known.heartbeat.holds.as_ref();
            // While a process is being replaced, the heartbeats of two alternate, and each tells of its own
            // connections only.
            let is_only_process = !known.has_other_process(context.now);
            let holds_nothing = holds.is_some_and(|holds| !holds.iter().any(|(held, _)| held == host));
            knows_the_same && is_only_process && holds_nothing
        });
        is_passed_over || reports_nothing
    })
}

/// Whether every unit that is not lost has applied the log up to this position. A lost unit that still avoids
/// the host does no harm: it only sends the host less load.
fn all_have_applied(context: &Context, applied: u64) -> bool {
    context.state.units.iter().all(|(name, unit)| {
        unit.lost || context.alive(name).is_some_and(|known| known.heartbeat.have.applied >= applied)
    })
}
