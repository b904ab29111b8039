//! Calls that wait for a host.

use crate::domain::Time;
use crate::state::call::CallIndex;

/// Calls that wait until a host accepts them, and those that the current round tries to place again.
#[derive(Default)]
pub(crate) struct WaitingQueue {
    pub calls: Vec<CallIndex>,
    /// Calls of the current round; the last one is tried next.
    pub retrying: Vec<CallIndex>,
    /// When the earliest timer of this queue fires.
    pub wakeup_at: Option<Time>,
}

impl WaitingQueue {
    /// Number of waiting calls, including those of the current round.
    pub(crate) fn len(&self) -> usize {
        self.calls.len() + self.retrying.len()
    }

    /// Starts a round with the given calls; the previous round's buffer is reused for waiting calls.
    pub(crate) fn start_round(&mut self, round: Vec<CallIndex>) {
        self.calls = std::mem::replace(&mut self.retrying, round);
    }
}
