//! How a node comes to vote: in the slot that its store holds, as one of the founders, or in a slot given anew.
//!
//! A store may be an older copy of itself, restored from a backup. A node that voted with it could contradict what it has
//! acknowledged, so it waits until enough other voters confirm that they know of nothing newer.

use super::{Replica, SlotChange};
use crate::action::Action;
use crate::context::Context;
use crate::durable::DurableStore;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{DurableMark, VoterStatus};
use crate::policy::UnitName;
use crate::state::{State, VoterSlot};
use crate::store::StoreKey;

/// A voter with an empty store waits so long, in ms, for the others to be empty too before it takes the fleet for founded
/// without it.
const FOUNDING_TIMEOUT_MS: u64 = 5_000;

impl Replica {
    /// Compares what a voter knows of this node's slot with this node's store.
    pub(crate) fn compare_with_peer(
        &mut self,
        peer: &UnitName,
        peer_status: VoterStatus,
        mark_of_us: Option<DurableMark>,
        actions: &mut Vec<Action>,
    ) -> SlotChange {
        if self.is_writing() {
            return SlotChange::Unchanged;
        }
        match self.status {
            VoterStatus::Recovering(voter_slot) => {
                let stamp = self.store.as_ref().map_or(0, DurableStore::stamp);
                let is_behind = mark_of_us.is_some_and(|known| known > DurableMark { voter_slot, stamp });
                if is_behind && !is_injected(InjectedFault::OutdatedStoreVotes) {
                    self.give_up_slot("its disk is older than what it has acknowledged", actions);
                    return SlotChange::GivenUp;
                }
                // A node that was never a voter knows nothing, which confirms nothing. One whose disk has failed it
                // does count: it is of the minority that may fail, and so this one is the less likely to.
                match peer_status {
                    VoterStatus::Active(_) | VoterStatus::Recovering(_) | VoterStatus::StateLost => {
                        self.confirmed_by.insert(peer.clone());
                    }
                    VoterStatus::NoStore | VoterStatus::Fresh => {}
                }
                SlotChange::Unchanged
            }
            VoterStatus::Fresh if mark_of_us.is_some() => {
                self.give_up_slot("its store is empty, but peers know of its seat", actions);
                SlotChange::GivenUp
            }
            VoterStatus::NoStore | VoterStatus::Fresh | VoterStatus::StateLost | VoterStatus::Active(_) => {
                SlotChange::Unchanged
            }
        }
    }

    /// Votes, or takes or gives up a slot, where that has become clear.
    pub(crate) fn update_status(&mut self, context: &Context, actions: &mut Vec<Action>) -> SlotChange {
        if self.is_writing() || self.store.is_none() {
            return SlotChange::Unchanged;
        }
        match self.status {
            VoterStatus::Recovering(voter_slot) => self.try_recover(context, voter_slot, actions),
            VoterStatus::Fresh => self.try_found(context, actions),
            VoterStatus::StateLost => {
                let given = context.state.voter_slot_of(&context.name);
                let given = given.filter(|voter_slot| voter_slot.incarnation == context.incarnation);
                if let Some(voter_slot) = given.filter(|_| self.voter.is_none()) {
                    self.take_slot(context, voter_slot.number, actions);
                }
                SlotChange::Unchanged
            }
            VoterStatus::NoStore | VoterStatus::Active(_) => SlotChange::Unchanged,
        }
    }

    /// Votes in the slot that the store holds once enough voters have confirmed that the store is not an old copy.
    fn try_recover(&mut self, context: &Context, voter_slot: u64, actions: &mut Vec<Action>) -> SlotChange {
        if context.state.voter_slot(voter_slot).is_none() {
            self.give_up_slot("its seat was given to another", actions);
            return SlotChange::GivenUp;
        }
        let is_confirming =
            |other: &&VoterSlot| other.number != voter_slot && self.confirmed_by.contains(&other.name);
        let confirmations = context.state.voter_slots.iter().filter(is_confirming).count();
        if confirmations < required_confirmations(context.state.voter_slots.len()) && !self.is_trusted {
            return SlotChange::Unchanged;
        }
        let base: Option<State> = self.store.as_ref().and_then(|store| store.saved().value(StoreKey::Base));
        if base.is_some_and(|base| base.epoch == context.state.epoch) {
            self.start_voting(context, voter_slot, actions);
        } else {
            // The group is in a later epoch than the store.
            self.take_slot(context, voter_slot, actions);
        }
        SlotChange::Unchanged
    }

    /// Founds the fleet together with the other voters of the policy, if all their stores are empty.
    fn try_found(&mut self, context: &Context, actions: &mut Vec<Action>) -> SlotChange {
        let voters = &context.policy.voters;
        let Some(index) = voters.iter().position(|name| *name == context.name) else {
            return SlotChange::Unchanged;
        };
        let are_all_fresh =
            voters.iter().all(|name| *name == context.name || self.fresh_voters.contains(name));
        if are_all_fresh && context.state.policy.is_none() {
            self.take_slot(context, index as u64 + 1, actions);
            return SlotChange::Unchanged;
        }
        let is_founded =
            self.founded_since.is_some_and(|since| context.now.ms_since(since) >= FOUNDING_TIMEOUT_MS);
        if is_founded {
            self.give_up_slot("its store is empty, but the group exists", actions);
            return SlotChange::GivenUp;
        }
        SlotChange::Unchanged
    }
}

/// How many other voters must confirm a store before its node votes again.
///
/// A majority would do to vote, but all that know of this node's last acknowledgement may be among the rest. So many are
/// needed as meet every majority that this node was part of, without itself.
fn required_confirmations(voters: usize) -> usize {
    let majority = voters / 2 + 1;
    if is_injected(InjectedFault::OutdatedStoreVotes) {
        return majority - 1;
    }
    (voters - majority + 1).min(voters - 1)
}
