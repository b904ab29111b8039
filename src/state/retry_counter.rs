//! Counts calls and retries against the deployment's retry budget.
//!
//! The budget holds for any span of its length. Counts are kept in slots of it, so memory does not grow with traffic.

use crate::domain::{RetryBudget, Settings, Time};

/// Slots that the budget's span is divided into.
const SLOTS: u64 = 20;

#[derive(Clone, Copy, Default)]
struct SlotCount {
    slot: u64,
    calls: u32,
    retries: u32,
}

/// Calls admitted and retries sent during the last span of the budget.
#[derive(Default)]
pub(crate) struct RetryCounter {
    counts: [SlotCount; SLOTS as usize + 1],
    /// No retry is sent before.
    blocked_until: Time,
}

impl RetryCounter {
    /// A counter for a budget that has changed. What was sent under the old budget counts against the new one for a
    /// span, and is not known slot by slot; so no retry is sent meanwhile.
    pub(crate) fn after_budget_change(settings: &Settings, now: Time) -> RetryCounter {
        let blocked_until = settings.retry_budget.map_or(Time(0), |budget| now + budget.window);
        RetryCounter { blocked_until, ..RetryCounter::default() }
    }

    fn slot(budget: &RetryBudget, now: Time) -> u64 {
        now.0 / (budget.window.0 / SLOTS).max(1)
    }

    fn current_count(&mut self, budget: &RetryBudget, now: Time) -> &mut SlotCount {
        let slot = RetryCounter::slot(budget, now);
        let count = &mut self.counts[(slot % (SLOTS + 1)) as usize];
        if count.slot != slot {
            *count = SlotCount { slot, calls: 0, retries: 0 };
        }
        count
    }

    /// Counts a call that arrived.
    pub(crate) fn record_call(&mut self, settings: &Settings, now: Time) {
        if let Some(budget) = &settings.retry_budget {
            self.current_count(budget, now).calls += 1;
        }
    }

    /// Counts an attempt that is about to be sent, if the call has had others before.
    pub(crate) fn record_attempt(&mut self, settings: &Settings, now: Time, attempts_before: u16) {
        if let Some(budget) = settings.retry_budget.as_ref().filter(|_| attempts_before > 0) {
            self.current_count(budget, now).retries += 1;
        }
    }

    /// Whether another retry keeps within the budget in every span that includes now: retries count over all slots that
    /// such a span touches, calls only over those that lie in it completely.
    pub(crate) fn allows_retry(&self, settings: &Settings, now: Time) -> bool {
        let Some(budget) = &settings.retry_budget else { return true };
        let slot = RetryCounter::slot(budget, now);
        let last_slots = |slots: u64| {
            self.counts.iter().filter(move |count| count.slot + slots > slot && count.slot <= slot)
        };
        let calls: u32 = last_slots(SLOTS).map(|count| count.calls).sum();
        let retries: u32 = last_slots(SLOTS + 1).map(|count| count.retries).sum();
        now >= self.blocked_until
            && f64::from(retries) + 1.0 <= budget.min_retries + budget.ratio * f64::from(calls)
    }
}
