//! The last steps of the log, for nodes that are a little behind.

use std::collections::VecDeque;

use crate::message::{LogPosition, LogUpdate};
use crate::state::{LogStep, State};

/// Steps kept.
const MAX_STEPS: usize = 512;

/// The last steps that were applied to the state, the oldest first.
#[derive(Default)]
pub(crate) struct LogTail {
    steps: VecDeque<LogStep>,
}

impl LogTail {
    /// Adds the step that was just applied.
    pub(crate) fn push(&mut self, step: LogStep) {
        self.steps.push_back(step);
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// The state was replaced as a whole.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
    }

    /// What brings a node from its position to this state.
    pub(crate) fn update_for(&self, state: &State, position: LogPosition) -> LogUpdate {
        if state.policy.is_none() || position.applied >= state.applied {
            return LogUpdate::None;
        }
        // What came before the epoch's start is no entry of its log: a voter that has fallen behind enters it whole. A
        // node that has nothing starts from the fleet's founding, not from the voters that its own file names.
        let needs_whole_state = position.epoch < state.epoch || position.applied == 0;
        let missing = (state.applied - position.applied) as usize;
        if needs_whole_state || missing > self.steps.len() {
            return LogUpdate::Whole(Box::new(state.clone()));
        }
        let steps = self.steps.iter().skip(self.steps.len() - missing).cloned().collect();
        LogUpdate::Since(position, steps)
    }
}
