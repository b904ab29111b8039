//! What a node knows: its own identity, the time, what was agreed, and whom it hears.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::liveness::{Liveness, UnitLiveness};
use crate::message::LogPosition;
use crate::policy::{FleetPolicy, UnitName};
use crate::state::{BootCount, Incarnation, State, VoterSlot};
use crate::timing::{HEARTBEAT_MS, VOTER_SILENCE_MS};

/// Read by the replica, the leader's controllers and the member; written by [`crate::Fleet`] alone.
pub(crate) struct Context {
    /// This node.
    pub name: UnitName,
    /// The policy of its own configuration.
    pub policy: FleetPolicy,
    /// This process.
    pub incarnation: Incarnation,
    /// How often its store was opened.
    pub boot_count: BootCount,
    /// The time of the event that is handled.
    pub now: Timestamp,
    /// What was agreed, as far as it is known here.
    pub state: State,
    /// The units that were heard.
    pub liveness: Liveness,
    /// When each voter answered this node last.
    pub voter_replies: BTreeMap<UnitName, Timestamp>,
}

impl Context {
    /// What is known of a unit that counts as alive.
    pub(crate) fn alive(&self, name: &UnitName) -> Option<&UnitLiveness> {
        self.liveness.alive(name, self.now)
    }

    /// How far this node knows the log.
    pub(crate) fn log_position(&self) -> LogPosition {
        LogPosition { epoch: self.state.epoch, applied: self.state.applied }
    }

    /// The voters of this epoch but this node.
    pub(crate) fn other_voters(&self) -> impl Iterator<Item = &VoterSlot> {
        self.state.voter_slots.iter().filter(|voter_slot| voter_slot.name != self.name)
    }

    fn has_reply_within(&self, name: &UnitName, ms: u64) -> bool {
        self.voter_replies.get(name).is_some_and(|replied_at| self.now.ms_since(*replied_at) < ms)
    }

    /// Whether this voter is this node, or has answered it of late.
    pub(crate) fn hears_voter(&self, name: &UnitName) -> bool {
        *name == self.name || self.has_reply_within(name, VOTER_SILENCE_MS)
    }

    /// Whether any voter has answered of late.
    pub(crate) fn hears_any_voter(&self) -> bool {
        self.voter_replies.values().any(|replied_at| self.now.ms_since(*replied_at) < VOTER_SILENCE_MS)
    }

    /// Whether a majority of the voters has answered of late, this one counted.
    pub(crate) fn hears_majority(&self) -> bool {
        let answers = |voter_slot: &&VoterSlot| {
            voter_slot.name == self.name || self.has_reply_within(&voter_slot.name, 2 * HEARTBEAT_MS)
        };
        self.state.voter_slots.iter().filter(answers).count() * 2 > self.state.voter_slots.len()
    }
}
