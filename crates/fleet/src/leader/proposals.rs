//! What controllers want done, and what was proposed lately.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::message::Message;
use crate::policy::UnitName;
use crate::state::Command;
use crate::timing::PROPOSE_AGAIN_MS;

/// What a controller wants done.
pub(crate) enum LeaderAction {
    /// Propose this.
    Propose(Command),
    /// Send this to that node.
    Send(UnitName, Message),
}

/// Commands that were proposed lately, so that none is proposed again before it could have been decided.
#[derive(Default)]
pub(super) struct RecentProposals {
    proposed_at: BTreeMap<String, Timestamp>,
}

impl RecentProposals {
    /// The command, unless one of the same key was proposed within [`PROPOSE_AGAIN_MS`].
    pub(super) fn propose(&mut self, now: Timestamp, key: String, command: Command) -> Option<LeaderAction> {
        let is_due = self.proposed_at.get(&key).is_none_or(|at| now.ms_since(*at) >= PROPOSE_AGAIN_MS);
        if !is_due {
            return None;
        }
        self.proposed_at.insert(key, now);
        Some(LeaderAction::Propose(command))
    }

    /// Drops proposals that are so old that they no longer matter.
    pub(super) fn forget_old(&mut self, now: Timestamp) {
        self.proposed_at.retain(|_, at| now.ms_since(*at) < 10 * PROPOSE_AGAIN_MS);
    }
}
