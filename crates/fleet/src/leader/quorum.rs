//! Which voters are active, and whether that is recorded in the log.

use crate::context::Context;
use crate::message::VoterStatus;
use crate::policy::UnitName;
use crate::state::{BootCount, VoterSlot};

/// Whether a majority of the voters is active and the boot count of each active voter is recorded in the log.
pub(crate) fn are_voters_recorded(context: &Context) -> bool {
    let active = active_voters(context);
    let is_recorded =
        |(name, boot_count): &(UnitName, BootCount)| context.state.voters.get(name) == Some(boot_count);
    is_majority(active.len(), context) && active.iter().all(is_recorded)
}

/// Whether this number of voters is a majority in this epoch.
pub(super) fn is_majority(voters: usize, context: &Context) -> bool {
    voters * 2 > context.state.voter_slots.len()
}

/// The voters that are active in their slots according to their heartbeats, each with its boot count.
pub(super) fn active_voters(context: &Context) -> Vec<(UnitName, BootCount)> {
    let boot_count_of = |voter_slot: &VoterSlot| {
        if voter_slot.name == context.name {
            return Some(context.boot_count);
        }
        let known = context.alive(&voter_slot.name)?;
        let is_active = known.heartbeat.voter_status == VoterStatus::Active(voter_slot.number);
        is_active.then_some(known.heartbeat.boot_count)
    };
    let slots = context.state.voter_slots.iter();
    slots.filter_map(|slot| Some((slot.name.clone(), boot_count_of(slot)?))).collect()
}
