//! Voters: replacements, epochs, and the recorded voter processes.

use std::collections::BTreeSet;

use super::{Outcome, State};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::UnitName;
use crate::state::{BootCount, Refusal, Release, UnitState, VoterReplacement, VoterSlot};

impl State {
    /// Records the running voter processes, and halts the release if all of them have restarted.
    ///
    /// After all voters have restarted at once, none of them knows what happened before, and the running
    /// release may have caused it. So the release must not continue without an operator.
    pub(super) fn record_voters(&mut self, voters: &[(UnitName, BootCount)]) -> Outcome {
        let is_draining = |name: &UnitName| {
            self.units.get(name).is_some_and(|unit| matches!(unit.unit_state, UnitState::Begun { .. }))
        };
        let is_restarted = |(name, boot_count): &(UnitName, BootCount)| {
            self.voters.get(name).is_some_and(|known| known < boot_count)
        };
        // The restart of voters that are out does not count by itself: the release may have restarted the
        // only voter.
        let all_restarted =
            voters.iter().all(is_restarted) && voters.iter().any(|(name, _)| !is_draining(name));
        for (name, boot_count) in voters {
            self.voters.insert(name.clone(), *boot_count);
        }
        let is_release_running = self.release.as_ref().is_some_and(Release::is_running);
        if all_restarted && is_release_running && !is_injected(InjectedFault::NoHaltAfterRestart) {
            return self.halt_release("all voters were started anew at once");
        }
        Ok("noted".into())
    }

    pub(super) fn replace_voter(&mut self, old: &UnitName, new: &UnitName) -> Outcome {
        if self.voter_slot_of(old).is_none() {
            return Err(Refusal::NotAVoter(old.clone()));
        }
        if self.voter_slot_of(new).is_some() {
            return Err(Refusal::AlreadyVoter(new.clone()));
        }
        if !self.units.contains_key(new) {
            return Err(Refusal::UnknownUnit(new.clone()));
        }
        self.replace = Some(VoterReplacement { old: old.clone(), new: new.clone() });
        Ok(format!("{new} takes the place of {old} once it is heard with an empty store"))
    }

    /// Ends the epoch and starts the next one with these voter slots.
    pub(super) fn start_epoch(&mut self, voter_slots: Vec<VoterSlot>) {
        self.applied += 1;
        self.epoch += 1;
        self.epoch_began = self.applied;
        let highest = voter_slots.iter().map(|voter_slot| voter_slot.number).max().unwrap_or(0);
        self.next_voter_slot = self.next_voter_slot.max(highest + 1);
        let has_new_names = names(&self.voter_slots) != names(&voter_slots);
        self.voter_slots_changed += u32::from(has_new_names);
        self.voter_slots = voter_slots;
        let is_replaced =
            self.replace.as_ref().is_some_and(|replacement| self.voter_slot_of(&replacement.new).is_some());
        if is_replaced {
            self.replace = None;
        }
    }
}

fn names(voter_slots: &[VoterSlot]) -> BTreeSet<&UnitName> {
    voter_slots.iter().map(|voter_slot| &voter_slot.name).collect()
}
