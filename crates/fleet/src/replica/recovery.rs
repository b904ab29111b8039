//! How a node starts voting: in the slot recorded in its store, as a founding voter, or in a newly assigned
//! slot.
//!
//! A store may be an older copy, for example restored from a backup. A node that votes with it could
//! contradict what it has acknowledged, so it waits until enough other voters confirm that they know of
//! nothing newer.

use super::{Replica, SlotChange};
use crate::action::Action;
use crate::context::Context;
use crate::durable::DurableStore;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{DurableMark, VoterStatus};
use crate::policy::UnitName;
use crate::state::{State, VoterSlot};
use crate::store::StoreKey;

/// How long, in ms, after a voter first reports that the fleet is founded a voter with an empty store waits
/// for the others to report empty stores too, before it concludes that the fleet was founded without it.
const FOUNDING_TIMEOUT_MS: u64 = 5_000;

impl Replica {
    /// Compares the durable mark that a voter knows of this node with this node's store. Records the voter's
    /// confirmation if it knows of nothing newer, and gives up the slot otherwise.
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
                    self.give_up_slot("its store is older than what it has acknowledged", actions);
                    return SlotChange::GivenUp;
                }
                // A node that was never a voter knows of no marks, so it confirms nothing. A voter whose
                // store lost its state does count: only a minority may fail, and it is part of that minority,
                // so this node's own store is less likely to have failed too.
                match peer_status {
                    VoterStatus::Active(_) | VoterStatus::Recovering(_) | VoterStatus::StateLost => {
                        self.confirmed_by.insert(peer.clone());
                    }
                    VoterStatus::NoStore | VoterStatus::Fresh => {}
                }
                SlotChange::Unchanged
            }
            VoterStatus::Fresh if mark_of_us.is_some() => {
                self.give_up_slot("its store is empty, but peers know of its voter slot", actions);
                SlotChange::GivenUp
            }
            VoterStatus::NoStore | VoterStatus::Fresh | VoterStatus::StateLost | VoterStatus::Active(_) => {
                SlotChange::Unchanged
            }
        }
    }

    /// Starts voting, takes a slot or gives it up, once the conditions for it are met.
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

    /// Starts voting in the slot recorded in the store, once enough voters have confirmed that the store is
    /// not an old copy.
    fn try_recover(&mut self, context: &Context, voter_slot: u64, actions: &mut Vec<Action>) -> SlotChange {
        if context.state.voter_slot(voter_slot).is_none() {
            self.give_up_slot("its voter slot was reassigned", actions);
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
            // The voters are in a later epoch than the store.
            self.take_slot(context, voter_slot, actions);
        }
        SlotChange::Unchanged
    }

    /// Founds the fleet together with the policy's other voters, if all their stores are empty.
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
            self.founding_reported_at.is_some_and(|since| context.now.ms_since(since) >= FOUNDING_TIMEOUT_MS);
        if is_founded {
            self.give_up_slot("its store is empty, but the fleet is already founded", actions);
            return SlotChange::GivenUp;
        }
        SlotChange::Unchanged
    }
}

/// Number of other voters that must confirm a store before its node votes again.
///
/// A majority would suffice to vote, but the voters that know of this node's last acknowledgement may all be
/// outside it. So the confirming voters must intersect every majority that this node was part of, not
/// counting itself.
fn required_confirmations(voters: usize) -> usize {
    let majority = voters / 2 + 1;
    if is_injected(InjectedFault::OutdatedStoreVotes) {
        return majority - 1;
    }
    (voters - majority + 1).min(voters - 1)
}
