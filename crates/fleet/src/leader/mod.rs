//! The leader's controllers: they decide which units are lost or back, which unit a release changes next,
//! when a release halts, which hosts may stop, and which nodes vote.
//!
//! They only propose. Each entry is validated when it is applied, at its position in the log, so a deposed
//! leader does no harm.

mod gates;
mod hosts;
mod proposals;
mod quorum;
mod releases;
mod units;
mod voters;

pub(crate) use self::hosts::HostController;
pub(crate) use self::proposals::LeaderAction;
use self::proposals::RecentProposals;
pub(crate) use self::quorum::are_voters_recorded;
use self::quorum::{active_voters, is_majority};
use self::releases::ReleaseController;
use self::units::UnitController;
use self::voters::VoterController;
use crate::Timestamp;
use crate::context::Context;
use crate::endpoint_list::EndpointList;
use crate::policy::UnitName;
use crate::state::{Command, Unit};
use crate::timing::LOST_MS;

/// Status of the leader's own replica.
#[derive(Clone, Copy)]
pub(crate) struct ReplicaStatus {
    /// Whether there are accepted entries that are not decided.
    pub has_undecided: bool,
    /// Number of entries in this epoch's log.
    pub log_length: usize,
}

/// State of a leader during its term.
#[derive(Default)]
pub(crate) struct Leadership {
    since: Option<Timestamp>,
    proposals: RecentProposals,
    units: UnitController,
    releases: ReleaseController,
    voters: VoterController,
}

impl Leadership {
    /// Runs the controllers. Called at each tick while this node is the leader. Before the fleet is founded,
    /// it proposes to found it; before the voters are recorded, it proposes to record them.
    pub(crate) fn control(
        &mut self,
        context: &Context,
        replica: ReplicaStatus,
        longest_log: usize,
        hosts: &mut HostController,
        list: &mut EndpointList,
    ) -> Vec<LeaderAction> {
        self.since.get_or_insert(context.now);
        let mut actions = self.voters.resync(context, replica.has_undecided);
        if context.state.policy.is_none() {
            let bootstrap = Command::Bootstrap(Box::new(context.policy.clone()));
            actions.extend(self.proposals.propose(context.now, "bootstrap".into(), bootstrap));
            return actions;
        }
        self.units.observe(context);
        self.proposals.forget_old(context.now);
        actions.extend(self.units.find_silent_units(context));
        if !are_voters_recorded(context) {
            actions.extend(self.record_voters(context));
            return actions;
        }
        actions.extend(self.voters.reconfigure(context, replica.log_length > longest_log));
        if self.knows_losses(context.now) {
            actions.extend(units::mark_lost(context, &mut self.proposals));
        }
        actions.extend(self.units.mark_serving(context, &mut self.proposals));
        actions.extend(hosts.control(context, list));
        let may_grant = self.may_grant(context);
        actions.extend(self.releases.control(context, &self.units, may_grant, &mut self.proposals));
        actions
    }

    /// Proposes to record the running voter processes in the log, which comes before the controllers' other
    /// proposals.
    fn record_voters(&mut self, context: &Context) -> Option<LeaderAction> {
        let voters = active_voters(context);
        if !is_majority(voters.len(), context) {
            return None;
        }
        self.proposals.propose(context.now, "record voters".into(), Command::LeaderStarted { voters })
    }

    /// Whether the leader has led for long enough to know which units are lost. Before that, heartbeats of
    /// live units may still be outstanding.
    fn knows_losses(&self, now: Timestamp) -> bool {
        self.since.is_some_and(|since| now.ms_since(since) >= LOST_MS)
    }

    /// Whether this leader may grant leases. A new leader may not know yet which units were lost in the
    /// meantime, and would exceed the limits that they count against. So it waits, unless every unit that
    /// counts as serving was heard serving.
    pub(crate) fn may_grant(&self, context: &Context) -> bool {
        let is_accounted_for = |(name, unit): (&UnitName, &Unit)| {
            // A unit that counts as serving may have been away for a long time and just returned, so its last
            // heartbeat must say that it serves.
            let is_serving = context.liveness.get(name).is_some_and(|known| {
                context.now.ms_since(known.alive_at) < LOST_MS && known.heartbeat.serving
            });
            unit.is_out() || is_serving
        };
        self.knows_losses(context.now) || context.state.units.iter().all(is_accounted_for)
    }
}
