//! Data that the fleet's modules share: the node's identity, the time, the replicated state and liveness.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::liveness::{Liveness, UnitLiveness};
use crate::message::LogPosition;
use crate::policy::{FleetPolicy, UnitName};
use crate::state::{BootCount, Incarnation, State, VoterSlot};
use crate::timing::{HEARTBEAT_MS, VOTER_SILENCE_MS};

/// A node's identity and its view of the fleet. The replica, the leader's controllers and the member read it;
/// only [`crate::Fleet`] writes it.
pub(crate) struct Context {
    /// The name of this node.
    pub name: UnitName,
    /// The policy from this node's own configuration.
    pub policy: FleetPolicy,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// How often this node's store was opened.
    pub boot_count: BootCount,
    /// The timestamp of the event that is being handled.
    pub now: Timestamp,
    /// The replicated state, as far as this node has applied the log.
    pub state: State,
    /// The liveness of all units.
    pub liveness: Liveness,
    /// When each voter last replied to this node.
    pub voter_replies: BTreeMap<UnitName, Timestamp>,
}

impl Context {
    /// The liveness record of a unit, if it counts as alive.
    pub(crate) fn alive(&self, name: &UnitName) -> Option<&UnitLiveness> {
        self.liveness.alive(name, self.now)
    }

    /// How far this node has applied the log.
    pub(crate) fn log_position(&self) -> LogPosition {
        LogPosition { epoch: self.state.epoch, applied: self.state.applied }
    }

    /// The voters of this epoch, without this node.
    pub(crate) fn other_voters(&self) -> impl Iterator<Item = &VoterSlot> {
        self.state.voter_slots.iter().filter(|voter_slot| voter_slot.name != self.name)
    }

    fn has_reply_within(&self, name: &UnitName, ms: u64) -> bool {
        self.voter_replies.get(name).is_some_and(|replied_at| self.now.ms_since(*replied_at) < ms)
    }

    /// Whether this voter is this node, or has replied to it within [`VOTER_SILENCE_MS`].
    pub(crate) fn hears_voter(&self, name: &UnitName) -> bool {
        *name == self.name || self.has_reply_within(name, VOTER_SILENCE_MS)
    }

    /// Whether any voter has replied within [`VOTER_SILENCE_MS`].
    pub(crate) fn hears_any_voter(&self) -> bool {
        self.voter_replies.values().any(|replied_at| self.now.ms_since(*replied_at) < VOTER_SILENCE_MS)
    }

    /// Whether a majority of the voters, this node included, has replied within two heartbeat intervals.
    pub(crate) fn hears_majority(&self) -> bool {
        let answers = |voter_slot: &&VoterSlot| {
            voter_slot.name == self.name || self.has_reply_within(&voter_slot.name, 2 * HEARTBEAT_MS)
        };
        self.state.voter_slots.iter().filter(answers).count() * 2 > self.state.voter_slots.len()
    }
}
