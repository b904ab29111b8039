//! The most recent log steps, for nodes that are a few steps behind.

use std::collections::VecDeque;

use crate::message::{LogPosition, LogUpdate};
use crate::state::{LogStep, State};

/// Maximum number of steps kept.
const MAX_STEPS: usize = 512;

/// The steps that were last applied to the state, oldest first.
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

    /// Drops all steps, after the whole state was replaced.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
    }

    /// The update that takes a node from its log position to this state.
    pub(crate) fn update_for(&self, state: &State, position: LogPosition) -> LogUpdate {
        if state.policy.is_none() || position.applied >= state.applied {
            return LogUpdate::None;
        }
        // Steps of earlier epochs are not in this epoch's log, so a voter that is an epoch behind needs the
        // whole state. A node that has applied nothing needs it too: its own state lists the voters of its
        // configuration file, which need not be those that the fleet was founded with.
        let needs_whole_state = position.epoch < state.epoch || position.applied == 0;
        let missing = (state.applied - position.applied) as usize;
        if needs_whole_state || missing > self.steps.len() {
            return LogUpdate::Whole(Box::new(state.clone()));
        }
        let steps = self.steps.iter().skip(self.steps.len() - missing).cloned().collect();
        LogUpdate::Since(position, steps)
    }
}
