//! Unit controller: detects units that are lost, and units that are back.

use std::collections::BTreeMap;

use super::proposals::{LeaderAction, RecentProposals};
use crate::Timestamp;
use crate::context::Context;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::liveness::{HeartbeatSource, UnitLiveness};
use crate::message::{Echo, Message};
use crate::policy::UnitName;
use crate::state::{Cause, Command, Unit, UnitState};
use crate::timing::{ALIVE_MS, HEARTBEAT_MS, LOST_MS, PROPOSE_AGAIN_MS};

/// How long, in ms, a unit that was lost, or drained by an operator, must serve before it counts as back.
const BACK_MS: u64 = 5_000;

/// A unit's state, and when it was first observed.
pub(super) struct ObservedState {
    pub unit_state: UnitState,
    pub since: Timestamp,
    /// The log position at which the state was observed.
    pub applied: u64,
}

/// Watches the units' states and heartbeats.
#[derive(Default)]
pub(super) struct UnitController {
    observed: BTreeMap<UnitName, ObservedState>,
    /// When the other voters were last asked about units that this one does not hear.
    asked_at: Option<Timestamp>,
}

impl UnitController {
    /// The observed state of each unit, by name.
    pub(super) fn observed(&self) -> &BTreeMap<UnitName, ObservedState> {
        &self.observed
    }

    /// Records the units whose state has changed.
    pub(super) fn observe(&mut self, context: &Context) {
        for (name, unit) in &context.state.units {
            let known = self.observed.get(name);
            if known.is_some_and(|known| known.unit_state == unit.unit_state) {
                continue;
            }
            let lease = unit.unit_state.lease();
            let same_lease = known.filter(|known| lease.is_some() && known.unit_state.lease() == lease);
            // While the lease stays the same, the time out is counted from its grant, even if the drain is
            // begun again. It restarts when the unit starts to return.
            let since = match (same_lease, &unit.unit_state) {
                (Some(_), UnitState::Returning { .. }) | (None, _) => context.now,
                (Some(known), _) => known.since,
            };
            let unit_state = unit.unit_state.clone();
            let observed = ObservedState { unit_state, since, applied: context.state.applied };
            self.observed.insert(name.clone(), observed);
        }
    }

    /// Asks the other voters about the units that this one does not hear directly, since one of its own links
    /// may be down.
    pub(super) fn find_silent_units(&mut self, context: &Context) -> Vec<LeaderAction> {
        if self.asked_at.is_some_and(|at| context.now.ms_since(at) < PROPOSE_AGAIN_MS) {
            return vec![];
        }
        self.asked_at = Some(context.now);
        let is_silent_unit = |name: &&UnitName| {
            context.liveness.get(name).is_none_or(|known| {
                let silence_ms = context.now.ms_since(known.alive_at);
                known.source != HeartbeatSource::Direct || silence_ms > ALIVE_MS - HEARTBEAT_MS
            })
        };
        let silent: Vec<UnitName> = context.state.units.keys().filter(is_silent_unit).cloned().collect();
        if silent.is_empty() {
            return vec![];
        }
        let echo = Echo { incarnation: context.incarnation, at: context.now.0 };
        let ask =
            |name: &UnitName| LeaderAction::Send(name.clone(), Message::FindUnits(echo, silent.clone()));
        context.other_voters().map(|voter_slot| ask(&voter_slot.name)).collect()
    }

    /// Proposes to mark units as serving that have served for long enough to count as back.
    pub(super) fn mark_serving(
        &self,
        context: &Context,
        proposals: &mut RecentProposals,
    ) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        for (name, unit) in &context.state.units {
            let Some(known) = context.alive(name) else { continue };
            let Some(observed) = self.observed.get(name) else { continue };
            let is_back_early = is_injected(InjectedFault::ServingWhenHeard) && unit.is_out();
            if !is_back(context, unit, known, observed) && !is_back_early {
                continue;
            }
            let command = Command::MarkServing {
                unit: name.clone(),
                lease: unit.unit_state.lease(),
                version: known.heartbeat.version.clone(),
            };
            actions.extend(proposals.propose(context.now, format!("serving {name}"), command));
        }
        actions
    }
}

/// Whether a unit serves again, or serves with another version, and has done so for the watch time.
fn is_back(context: &Context, unit: &Unit, known: &UnitLiveness, observed: &ObservedState) -> bool {
    let has_returned = match &unit.unit_state {
        UnitState::Serving => unit.lost || unit.version != known.heartbeat.version,
        // Until the unit has applied this state, it may still go out according to an older one.
        UnitState::Returning { .. } => known.heartbeat.have.applied >= observed.applied,
        UnitState::Begun { nonce, cause: Cause::Release(_), .. } => {
            known.heartbeat.incarnation != nonce.incarnation
                && !known.may_still_run(nonce.incarnation, context.now)
        }
        UnitState::Granted { .. } | UnitState::Begun { .. } => false,
    };
    has_returned && known.duplicate_since.is_none() && has_served(context, unit, known, observed)
}

fn has_served(context: &Context, unit: &Unit, known: &UnitLiveness, observed: &ObservedState) -> bool {
    let Some(serving_since) = known.serving_since else { return false };
    let since = match unit.unit_state {
        UnitState::Serving => serving_since,
        UnitState::Granted { .. } | UnitState::Begun { .. } | UnitState::Returning { .. } => {
            serving_since.max(observed.since)
        }
    };
    let watch_ms = match is_injected(InjectedFault::ServingWhenHeard) {
        true => 0,
        false => watch_ms(context, unit.unit_state.cause()),
    };
    known.alive_at >= since && known.alive_at.ms_since(since) >= watch_ms
}

/// How long, in ms, a unit must serve before it counts as back.
fn watch_ms(context: &Context, cause: Option<Cause>) -> u64 {
    match (cause, &context.state.release) {
        (Some(Cause::Release(_)), Some(release)) => u64::from(release.plan.watch_s) * 1_000,
        _ => BACK_MS,
    }
}

/// Proposes to mark units as lost that no voter has heard for [`LOST_MS`].
pub(super) fn mark_lost(context: &Context, proposals: &mut RecentProposals) -> Vec<LeaderAction> {
    let is_silent = |name: &UnitName| {
        let known = context.liveness.get(name);
        known.is_none_or(|known| context.now.ms_since(known.alive_at) >= LOST_MS)
    };
    let lost = context.state.units.iter().filter(|(name, unit)| !unit.lost && is_silent(name));
    lost.filter_map(|(unit, _)| {
        let command = Command::MarkLost { unit: unit.clone() };
        proposals.propose(context.now, format!("lost {unit}"), command)
    })
    .collect()
}
