//! Replicated work, which survives the loss of its node: other nodes store an intent before an attempt is
//! sent, and a repeat of the call is checked against the stored records.
//!
//! `glendeck_takeover` makes the decisions; docs/takeover.md describes the guarantees. [`calls`] handles
//! single calls, [`handover_file`] the file that a process leaves to the next process of the node.

mod calls;
mod handover_file;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use glendeck_fleet::Timestamp;
use glendeck_fleet::message::VoterStatus;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{Action, ReplicaHandover, ReplicaMessage, Takeover, View};
use serde::Serialize;
use tracing::info;

use crate::peers::Frame;
use crate::service::Service;

pub(crate) use self::calls::ReplicatedCall;

/// Makes the takeover logic's random seed differ from that of the fleet logic, which is the incarnation
/// itself.
const SEED_MASK: u64 = 0x7a6b;

/// This node's part in replicated work: as the owner of calls, and as a replica for other owners.
pub(crate) struct Work {
    takeover: Takeover,
    /// Messages for each peer, sent at the end of this turn of the event loop.
    messages: BTreeMap<UnitName, Vec<ReplicaMessage>>,
    /// Actions that arose while the node's decision logic was running, to be performed at the end of this
    /// turn.
    pending: Vec<Action>,
    /// The predecessor's records, until this node's voter slot is active.
    inherited: Option<ReplicaHandover>,
    /// Number of applied entries of the fleet's log at the last update of the view.
    applied: u64,
    /// Whether the fleet's leader was heard at the last tick.
    hears_leader: bool,
    counts: Counts,
}

/// Counts since the start of the process, see [`WorkMetrics`].
#[derive(Default)]
struct Counts {
    intents_replicated: u64,
    intents_unreplicated: u64,
    lookups: u64,
    records_found: u64,
    repeats_failed: u64,
    in_flight_elsewhere: u64,
}

/// Metrics of replicated work, under the names that the admin interface shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WorkMetrics {
    /// Records that this node stores for other nodes' calls.
    pub records_held: usize,
    /// This node's calls for which replicas were asked to store an intent or to look up earlier attempts.
    pub in_hand: usize,
    /// Whether this node stores intents for other nodes now.
    pub keeps: bool,
    /// Whether this node answers queries about earlier attempts of a repeat.
    pub remembers: bool,
    /// Attempts that were sent after their intent was replicated.
    pub intents_kept: u64,
    /// Attempts that were not sent, as their intent was not replicated.
    pub intents_not_kept: u64,
    /// Lookups of earlier attempts, for repeats and for calls whose work was found in flight at another node.
    pub repeats_looked_up: u64,
    /// Repeats for which a record was found.
    pub repeats_after_a_record: u64,
    /// Repeats that failed, as it could not be told whether an earlier attempt ran.
    pub repeats_given_up: u64,
    /// Calls whose work was found to be in flight at another node.
    pub met_elsewhere: u64,
}

impl Work {
    /// Creates the state without any work in flight. A repeat is recognised for `recall_ms`; a client waits
    /// for at most `longest_ms`.
    pub(crate) fn new(
        start: Timestamp,
        name: UnitName,
        incarnation: Incarnation,
        recall_ms: u64,
        longest_ms: u64,
    ) -> Work {
        let seed = incarnation.0 ^ SEED_MASK;
        Work {
            takeover: Takeover::new(start, name, incarnation, seed, recall_ms, longest_ms),
            messages: BTreeMap::new(),
            pending: Vec::new(),
            inherited: None,
            // No log has this number of entries, so the first tick updates the view.
            applied: u64::MAX,
            hears_leader: false,
            counts: Counts::default(),
        }
    }

    /// The part of the fleet's state that replicated work depends on.
    pub(crate) fn view(&self) -> &View {
        self.takeover.view()
    }

    /// The metrics of replicated work.
    pub(crate) fn metrics(&self, now: Timestamp) -> WorkMetrics {
        WorkMetrics {
            records_held: self.takeover.replica().record_count(),
            in_hand: self.takeover.owner().call_count(),
            keeps: self.hears_leader,
            remembers: self.takeover.replica().has_full_history(now),
            intents_kept: self.counts.intents_replicated,
            intents_not_kept: self.counts.intents_unreplicated,
            repeats_looked_up: self.counts.lookups,
            repeats_after_a_record: self.counts.records_found,
            repeats_given_up: self.counts.repeats_failed,
            met_elsewhere: self.counts.in_flight_elsewhere,
        }
    }

    /// Restores the predecessor's records once this node's voter slot is active, and drops them if the store
    /// lost its state.
    fn restore_inherited(&mut self, now: Timestamp, voter_status: &VoterStatus) {
        match voter_status {
            VoterStatus::Active(_) => {
                let Some(inherited) = self.inherited.take() else { return };
                self.takeover.restore(now, inherited);
                info!(
                    records = self.takeover.replica().record_count(),
                    "restored the predecessor's stored intents"
                );
            }
            VoterStatus::StateLost => self.inherited = None,
            VoterStatus::NoStore | VoterStatus::Fresh | VoterStatus::Recovering(_) => {}
        }
    }
}

/// Logs whether this node stores intents for other nodes, which it does only while it hears the leader.
fn log_leader_contact(hears_leader: bool) {
    if hears_leader {
        info!("hearing the fleet's leader: storing intents for other nodes");
    } else {
        info!("not hearing the fleet's leader: storing no intents for other nodes");
    }
}

impl Service {
    fn work(&mut self) -> Option<&mut Work> {
        self.membership.as_mut()?.work.as_mut()
    }

    /// Reports the longest time that a client waits to the replicas' logic, after the settings have changed.
    pub(crate) fn renew_longest_call(&mut self) {
        let longest_ms = self.config.longest_deadline_ms();
        self.with_takeover(|takeover, now| takeover.longest_call_changed(now, longest_ms));
    }

    /// Calls the takeover logic, and performs the actions that it returns.
    fn with_takeover(&mut self, call: impl FnOnce(&mut Takeover, Timestamp)) {
        let now = self.timestamp();
        let Some(work) = self.work() else { return };
        call(&mut work.takeover, now);
        let actions = work.takeover.take_actions();
        if self.is_deciding() {
            // The actions call the node's decision logic. While that is running, calls to it would be dropped
            // silently, so the actions wait.
            if let Some(work) = self.work() {
                work.pending.extend(actions);
            }
            return;
        }
        for action in actions {
            self.perform_work_action(action);
        }
    }

    /// Handles a peer's messages.
    pub(crate) fn handle_replica_messages(&mut self, peer: &UnitName, messages: Vec<ReplicaMessage>) {
        for message in messages {
            self.with_takeover(|takeover, now| takeover.message_received(now, peer, message));
        }
    }

    /// Updates the view of the fleet if it has changed, and ticks the takeover logic.
    pub(crate) fn work_tick(&mut self) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let Some(work) = &mut membership.work else { return };
        work.restore_inherited(now, &membership.fleet.voter_status());
        let state = membership.fleet.state();
        let hears_leader = membership.fleet.hears_leader();
        if hears_leader != work.hears_leader {
            log_leader_contact(hears_leader);
        }
        if state.applied != work.applied || hears_leader != work.hears_leader {
            work.applied = state.applied;
            work.hears_leader = hears_leader;
            let view = View {
                voter_slots: state.voter_slots.iter().map(|slot| slot.name.clone()).collect(),
                version: state.voter_slots_changed,
                hears_leader,
                terms: state.units.iter().map(|(name, unit)| (name.clone(), unit.term)).collect(),
            };
            work.takeover.membership_changed(now, view);
        }
        self.with_takeover(Takeover::tick);
    }

    /// Performs the pending actions, and sends all messages of this turn, in one frame per peer.
    pub(crate) fn finish_work_turn(&mut self) {
        while let Some(actions) = self.work().map(|work| std::mem::take(&mut work.pending)) {
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.perform_work_action(action);
            }
        }
        let Some(work) = self.work() else { return };
        for (peer, messages) in std::mem::take(&mut work.messages) {
            self.send_peer(&peer, &Frame::ReplicaMessages(messages));
        }
    }
}
