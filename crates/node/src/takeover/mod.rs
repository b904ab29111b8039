//! Work in flight that outlives its node: other nodes store an intent before an attempt goes, and a repeat of
//! a call meets what they stored.
//!
//! What may be done is decided in `glendeck_takeover`; docs/takeover.md says what is promised. [`calls`] is
//! what becomes of a single call, [`handover_file`] what goes from one process of the node to the next.

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

/// Makes the seed of the takeover's draws another than that of the fleet's, which is the incarnation itself.
const SEED_MASK: u64 = 0x7a6b;

/// This node's part in replicated work: as the owner of calls, and as a replica for other owners.
pub(crate) struct Work {
    takeover: Takeover,
    /// Messages for each peer, which go out at the end of this turn of the event loop.
    messages: BTreeMap<UnitName, Vec<ReplicaMessage>>,
    /// Actions that came while the decisions were at work, to be carried out at the end of this turn.
    pending: Vec<Action>,
    /// What the predecessor has left, until this node has a voter slot.
    inherited: Option<ReplicaHandover>,
    /// Entries of the fleet's log that were applied when its state was last taken in.
    applied: u64,
    /// Whether the fleet's leader was heard then.
    hears_leader: bool,
    counts: Counts,
}

/// Counts since the start of the process, see [`WorkMetrics`].
#[derive(Default)]
struct Counts {
    kept: u64,
    unkept: u64,
    looked: u64,
    taken_over: u64,
    given_up: u64,
    raced: u64,
}

/// Metrics of replicated work, under the names that the admin interface shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WorkMetrics {
    /// Records that this node stores for others' calls.
    pub records_held: usize,
    /// This node's calls that others store intents of.
    pub in_hand: usize,
    /// Whether this node stores intents for others now.
    pub keeps: bool,
    /// Whether this node answers for what has been before a repeat.
    pub remembers: bool,
    /// Attempts that went after their intent was replicated.
    pub intents_kept: u64,
    /// Attempts that did not go, as their intent was not replicated.
    pub intents_not_kept: u64,
    /// Repeats that were looked up.
    pub repeats_looked_up: u64,
    /// Repeats of which a record was found.
    pub repeats_after_a_record: u64,
    /// Repeats that failed, as nobody could say what had been before them.
    pub repeats_given_up: u64,
    /// Calls whose work turned out to be in flight at another node.
    pub met_elsewhere: u64,
}

impl Work {
    /// Nothing is in flight. A repeat is recognised for `recall_ms`, and a client waits for `longest_ms` at
    /// most.
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
            // Another number than any that a log has, so that the first state is taken in.
            applied: u64::MAX,
            hears_leader: false,
            counts: Counts::default(),
        }
    }

    /// What the fleet has agreed on, as far as it matters here.
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
            intents_kept: self.counts.kept,
            intents_not_kept: self.counts.unkept,
            repeats_looked_up: self.counts.looked,
            repeats_after_a_record: self.counts.taken_over,
            repeats_given_up: self.counts.given_up,
            met_elsewhere: self.counts.raced,
        }
    }

    /// Takes in what the predecessor left, if the fleet takes this node's store for what it was.
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

/// Intents are stored for other nodes only while the fleet's leader is heard.
fn log_leader_contact(hears_leader: bool) {
    if hears_leader {
        info!("the fleet's leader is heard: storing intents for other nodes");
    } else {
        info!("the fleet's leader is not heard: storing no intents for other nodes");
    }
}

impl Service {
    fn work(&mut self) -> Option<&mut Work> {
        self.membership.as_mut()?.work.as_mut()
    }

    /// Tells the takeover's decisions something, and carries out what comes of it.
    fn tell_work(&mut self, tell: impl FnOnce(&mut Takeover, Timestamp)) {
        let now = self.timestamp();
        let Some(work) = self.work() else { return };
        tell(&mut work.takeover, now);
        let actions = work.takeover.take_actions();
        if self.is_deciding() {
            // The actions tell the node's decisions something, which would be lost while those are at work.
            if let Some(work) = self.work() {
                work.pending.extend(actions);
            }
            return;
        }
        for action in actions {
            self.perform_work_action(action);
        }
    }

    /// Handles messages of a peer's.
    pub(crate) fn handle_replica_messages(&mut self, peer: &UnitName, messages: Vec<ReplicaMessage>) {
        for message in messages {
            self.tell_work(|takeover, now| takeover.message_received(now, peer, message));
        }
    }

    /// Takes in what the fleet has agreed on since, and lets time pass.
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
        self.tell_work(Takeover::tick);
    }

    /// Carries out what is pending, and sends all messages of this turn, in one frame for each peer.
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
