//! Calls that wait for a host.

use crate::domain::Time;
use crate::state::call::CallIndex;

/// Calls for which no host is open, and those of them that are being retried now.
#[derive(Default)]
pub(crate) struct WaitingQueue {
    pub calls: Vec<CallIndex>,
    /// Calls of the retry round under way, the next one last.
    pub retrying: Vec<CallIndex>,
    /// When the earliest timer for this queue fires.
    pub wakeup_at: Option<Time>,
}

impl WaitingQueue {
    /// All calls that wait.
    pub(crate) fn len(&self) -> usize {
        self.calls.len() + self.retrying.len()
    }

    /// Makes the calls that wait the retry round; the two buffers change places.
    pub(crate) fn start_round(&mut self, round: Vec<CallIndex>) {
        self.calls = std::mem::replace(&mut self.retrying, round);
    }
}
