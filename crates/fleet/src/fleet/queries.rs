//! What a node knows of its fleet.

use std::collections::BTreeSet;

use super::Fleet;
use crate::context::Context;
use crate::message::VoterStatus;
use crate::policy::UnitName;
use crate::state::{BootCount, Cause, Lease, State};
use crate::timing::{HEARTBEAT_MS, VOTER_SILENCE_MS};
use crate::view::FleetView;

/// A leader that was heard of counts as such for so long, in ms.
const LEADER_KNOWN_MS: u64 = 3 * HEARTBEAT_MS;

impl Fleet {
    /// What was agreed, as far as it is known here.
    pub fn state(&self) -> &State {
        &self.context.state
    }

    /// The nodes that this one is to be linked to: all voters of the policy, and whoever holds a voter slot.
    pub fn voters(&self) -> BTreeSet<UnitName> {
        let Context { name, policy, state, .. } = &self.context;
        let current = state.voter_slots.iter().map(|voter_slot| &voter_slot.name);
        policy.voters.iter().chain(current).filter(|voter| *voter != name).cloned().collect()
    }

    /// Whether it has applied all that a leader has told it of. A process that has just begun knows the log as its own
    /// disk has it, and must not do what has long been undone.
    pub fn is_current(&self) -> bool {
        let has_applied_all =
            self.leader_applied.is_some_and(|applied| self.context.state.applied >= applied);
        self.context.state.policy.is_some() && (has_applied_all || self.leads())
    }

    /// Whether it is current, and hears a leader that a majority follows.
    pub fn hears_leader(&self) -> bool {
        if !self.is_current() {
            return false;
        }
        if self.leads() {
            return self.context.hears_majority();
        }
        self.leader_heard_at.is_some_and(|at| self.context.now.ms_since(at) < VOTER_SILENCE_MS)
    }

    /// Whether this node leads.
    pub fn leads(&self) -> bool {
        self.replica.is_leader()
    }

    /// The lease under which this process is out, and its cause.
    pub fn is_out(&self) -> Option<(Lease, Cause)> {
        self.member.drain().map(|drain| (drain.lease, drain.cause))
    }

    /// How often the node's store was opened.
    pub fn boot_count(&self) -> BootCount {
        self.context.boot_count
    }

    /// How the node's store stands to its voter slot.
    pub fn voter_status(&self) -> VoterStatus {
        self.replica.status()
    }

    /// Whether the host may stop: the fleet found it empty, and by all that this leader hears now it is.
    pub fn may_stop(&self, host: &UnitName) -> bool {
        self.leads() && self.hosts.may_stop(&self.context, host)
    }

    /// What operators are shown.
    pub fn view(&self) -> FleetView<'_> {
        let Context { name, state, liveness, .. } = &self.context;
        let voters = state.voter_slots.iter().map(|voter_slot| &voter_slot.name);
        let (hears, misses) = voters.partition(|voter| self.context.hears_voter(voter));
        let duplicates = liveness.iter().filter(|(_, unit)| unit.duplicate_since.is_some());
        FleetView {
            name,
            version: &self.version,
            leader: self.leader(),
            leads: self.leads(),
            voter_status: self.replica.status().to_string(),
            epoch: state.epoch,
            applied: state.applied,
            hears,
            misses,
            duplicates: duplicates.map(|(name, _)| name).collect(),
            draining_hosts: if self.leads() { self.hosts.draining_hosts(&self.context) } else { vec![] },
            state,
        }
    }

    /// The leader, as far as it is known here.
    pub(super) fn leader(&self) -> Option<&UnitName> {
        if self.leads() {
            return Some(&self.context.name);
        }
        if let Some(leader_slot) = self.replica.leader_slot() {
            return self.context.state.voter_slot(leader_slot).map(|voter_slot| &voter_slot.name);
        }
        let (name, heard_at) = self.leader.as_ref()?;
        (self.context.now.ms_since(*heard_at) < LEADER_KNOWN_MS).then_some(name)
    }
}
