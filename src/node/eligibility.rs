//! First stage: whether a call may still be tried.

use std::ops::ControlFlow;

use super::{Node, StageResult};
use crate::domain::Span;
use crate::port::Port;
use crate::state::call::{AttemptEnd, CallIndex};

/// Ticks of the clock, not the node's one-second ticks, that are reserved before a deadline: an event at the
/// deadline itself is seen one tick later, and the answer must still be in time.
const RESERVED_TICKS: f64 = 2.0;

impl Node {
    /// Answers a call that can no longer succeed or whose retry exceeds the budget; enqueues it while too
    /// many setups are in progress.
    pub(super) fn check_eligibility(&mut self, call_index: CallIndex, _: &mut dyn Port) -> StageResult {
        let call = &self.calls[call_index];
        let setup_target = self.settings.classes[call.class_index()].setup_target;
        let time_left = self.time_left(call_index);
        let is_too_late = time_left < Span::from_seconds(self.traffic.setup_time).min(setup_target);
        let is_exhausted = call.attempts >= self.settings.max_attempts
            || time_left == Span::ZERO
            || !self.may_repeat(call_index);
        // Queueing a call until the retry budget allows a retry would only delay its answer.
        if is_exhausted || is_too_late || !self.is_within_retry_budget(call_index) {
            return StageResult::Answer;
        }
        if self.setup_limit.is_reached() { StageResult::Enqueue } else { StageResult::Continue }
    }

    /// Last step of an attempt's end: removes the call if it is over, retries it otherwise.
    pub(super) fn finish_or_retry(
        &mut self,
        call_index: CallIndex,
        end: AttemptEnd,
        port: &mut dyn Port,
    ) -> ControlFlow<()> {
        if end.is_final || self.calls[call_index].is_answered {
            self.remove_call(call_index);
        } else {
            self.forward(call_index, port);
        }
        ControlFlow::Break(())
    }

    /// Whether the call's next attempt is its first, or a retry that the retry budget allows.
    pub(super) fn is_within_retry_budget(&self, call_index: CallIndex) -> bool {
        self.calls[call_index].attempts == 0 || self.retries.allows_retry(&self.settings, self.now)
    }

    /// Time left for another attempt, without the reserve before the deadline.
    pub(super) fn time_left(&self, call_index: CallIndex) -> Span {
        let reserve = self.settings.clock_granularity.times(RESERVED_TICKS);
        (self.calls[call_index].call.deadline - reserve).since(self.now)
    }
}
