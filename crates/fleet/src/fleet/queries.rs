//! Queries about what a node knows of its fleet.

use std::collections::BTreeSet;

use super::Fleet;
use crate::context::Context;
use crate::message::VoterStatus;
use crate::policy::UnitName;
use crate::state::{BootCount, State};
use crate::timing::{HEARTBEAT_MS, VOTER_SILENCE_MS};
use crate::view::FleetView;

/// Time, in ms, for which a leader that a voter has named counts as known.
const LEADER_KNOWN_MS: u64 = 3 * HEARTBEAT_MS;

impl Fleet {
    /// The replicated state, as far as this node has applied the log.
    pub fn state(&self) -> &State {
        &self.context.state
    }

    /// The nodes that this one keeps links to: all voters of the policy and all current holders of voter
    /// slots, without itself.
    pub fn voters(&self) -> BTreeSet<UnitName> {
        let Context { name, policy, state, .. } = &self.context;
        let current = state.voter_slots.iter().map(|voter_slot| &voter_slot.name);
        policy.voters.iter().chain(current).filter(|voter| *voter != name).cloned().collect()
    }

    /// Whether this node has applied everything that a leader has reported to it. A process that has just
    /// started knows only the log on its own disk, and must not act on commands that were reversed since.
    pub fn is_current(&self) -> bool {
        let has_applied_all =
            self.leader_applied.is_some_and(|applied| self.context.state.applied >= applied);
        self.context.state.policy.is_some() && (has_applied_all || self.leads())
    }

    /// Whether this node is current and in contact with the leader; if it is the leader itself, with a
    /// majority of the voters.
    pub fn hears_leader(&self) -> bool {
        if !self.is_current() {
            return false;
        }
        if self.leads() {
            return self.context.hears_majority();
        }
        self.leader_heard_at.is_some_and(|at| self.context.now.ms_since(at) < VOTER_SILENCE_MS)
    }

    /// Whether this node is the leader.
    pub fn leads(&self) -> bool {
        self.replica.is_leader()
    }

    /// How often the node's store was opened.
    pub fn boot_count(&self) -> BootCount {
        self.context.boot_count
    }

    /// The status of the node's store as a voter.
    pub fn voter_status(&self) -> VoterStatus {
        self.replica.status()
    }

    /// Whether the host may stop: it is marked empty in the log, this leader hears a majority, and every unit
    /// that is not confirmed dead reports that it holds nothing there.
    pub fn may_stop(&self, host: &UnitName) -> bool {
        self.leads() && self.hosts.may_stop(&self.context, host)
    }

    /// The status shown to operators.
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

    /// The leader, if this node knows it.
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
