//! Voter controller: gives a voter whose store lost its state a new slot, replaces voters, and ends the epoch
//! of a long log.

use super::proposals::LeaderAction;
use super::quorum::active_voters;
use crate::Timestamp;
use crate::context::Context;
use crate::message::{Message, VoterStatus};
use crate::state::{Command, VoterReplacement, VoterSlot};
use crate::timing::PROPOSE_AGAIN_MS;

/// Minimum interval, in ms, between two proposals of a new epoch.
const RECONFIGURE_AGAIN_MS: u64 = 5 * PROPOSE_AGAIN_MS;

/// Time, in ms, after which an undecided entry may be waiting for an answer that was lost.
const RESYNC_AFTER_MS: u64 = 2 * PROPOSE_AGAIN_MS;

/// Since when entries are undecided, and the log position at that time.
struct Undecided {
    applied: u64,
    since: Timestamp,
}

/// Watches the voters and the length of the log.
#[derive(Default)]
pub(super) struct VoterController {
    reconfigured_at: Option<Timestamp>,
    undecided: Option<Undecided>,
}

impl VoterController {
    /// Asks the other voters to synchronise again if there are undecided entries and nothing has been applied
    /// for [`RESYNC_AFTER_MS`].
    ///
    /// If a follower's answer is lost, the library does not ask for it again until the next entry, and there
    /// may be none.
    pub(super) fn resync(&mut self, context: &Context, has_undecided: bool) -> Vec<LeaderAction> {
        let applied = context.state.applied;
        let waiting = self.undecided.as_ref().filter(|known| has_undecided && known.applied == applied);
        let Some(waiting) = waiting else {
            self.undecided = has_undecided.then_some(Undecided { applied, since: context.now });
            return vec![];
        };
        if context.now.ms_since(waiting.since) < RESYNC_AFTER_MS {
            return vec![];
        }
        self.undecided = None;
        let ask = |voter_slot: &VoterSlot| LeaderAction::Send(voter_slot.name.clone(), Message::Resync);
        context.other_voters().map(ask).collect()
    }

    /// Proposes the next epoch if a slot has to be reassigned or the log is long, provided that a majority of
    /// its voters keep their slots and are active.
    pub(super) fn reconfigure(&mut self, context: &Context, is_log_long: bool) -> Option<LeaderAction> {
        if self.reconfigured_at.is_some_and(|at| context.now.ms_since(at) < RECONFIGURE_AGAIN_MS) {
            return None;
        }
        let state = &context.state;
        // Only one slot changes at a time, so that the others remain a majority.
        let change = renewed_slot(context).or_else(|| replaced_slot(context));
        if change.is_none() && !is_log_long {
            return None;
        }
        let mut voter_slots = state.voter_slots.clone();
        if let Some((index, voter_slot)) = change {
            voter_slots[index] = voter_slot;
        }
        let active = active_voters(context);
        let keeps_slot = |slot: &&VoterSlot| {
            state.voter_slots.contains(slot) && active.iter().any(|(name, _)| *name == slot.name)
        };
        if voter_slots.iter().filter(keeps_slot).count() * 2 <= voter_slots.len() {
            return None;
        }
        self.reconfigured_at = Some(context.now);
        Some(LeaderAction::Propose(Command::Reconfigure { voter_slots }))
    }
}

/// A new slot for the first voter whose store lost its state, assigned to the voter's current process.
fn renewed_slot(context: &Context) -> Option<(usize, VoterSlot)> {
    let renew = |voter_slot: &VoterSlot| {
        let heartbeat = &context.alive(&voter_slot.name)?.heartbeat;
        let needs_new_slot = heartbeat.voter_status == VoterStatus::StateLost
            && heartbeat.incarnation != voter_slot.incarnation;
        needs_new_slot.then(|| VoterSlot {
            number: context.state.next_voter_slot,
            name: voter_slot.name.clone(),
            incarnation: heartbeat.incarnation,
        })
    };
    context.state.voter_slots.iter().enumerate().find_map(|(index, slot)| Some((index, renew(slot)?)))
}

/// The slot that an operator has assigned to another node, if that node reports a store without voter state.
fn replaced_slot(context: &Context) -> Option<(usize, VoterSlot)> {
    let VoterReplacement { old, new } = context.state.pending_replacement()?;
    let index = context.state.voter_slots.iter().position(|voter_slot| voter_slot.name == *old)?;
    let heartbeat = &context.alive(new)?.heartbeat;
    let is_empty = matches!(heartbeat.voter_status, VoterStatus::Fresh | VoterStatus::StateLost);
    let voter_slot = VoterSlot {
        number: context.state.next_voter_slot,
        name: new.clone(),
        incarnation: heartbeat.incarnation,
    };
    is_empty.then_some((index, voter_slot))
}
