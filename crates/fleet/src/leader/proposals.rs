//! Actions of the leader's controllers, and recent proposals.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::message::Message;
use crate::policy::UnitName;
use crate::state::Command;
use crate::timing::PROPOSE_AGAIN_MS;

/// An action of a controller.
pub(crate) enum LeaderAction {
    /// Propose this command.
    Propose(Command),
    /// Send this message to this node.
    Send(UnitName, Message),
}

/// Recently proposed commands, so that none is proposed again before it could have been decided.
#[derive(Default)]
pub(super) struct RecentProposals {
    proposed_at: BTreeMap<String, Timestamp>,
}

impl RecentProposals {
    /// Returns the proposal, unless one with the same key was made within [`PROPOSE_AGAIN_MS`].
    pub(super) fn propose(&mut self, now: Timestamp, key: String, command: Command) -> Option<LeaderAction> {
        let is_due = self.proposed_at.get(&key).is_none_or(|at| now.ms_since(*at) >= PROPOSE_AGAIN_MS);
        if !is_due {
            return None;
        }
        self.proposed_at.insert(key, now);
        Some(LeaderAction::Propose(command))
    }

    /// Drops proposals that are too old to affect later ones.
    pub(super) fn forget_old(&mut self, now: Timestamp) {
        self.proposed_at.retain(|_, at| now.ms_since(*at) < 10 * PROPOSE_AGAIN_MS);
    }
}
