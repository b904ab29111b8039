//! Counts calls and retries against the deployment's retry budget.
//!
//! The budget applies to any window of its length. Counts are kept for slots of the window, so memory use
//! does not grow with traffic.

use crate::domain::{RetryBudget, Settings, Time};

/// Number of slots that the budget's window is divided into.
const SLOTS: u64 = 20;

#[derive(Clone, Copy, Default)]
struct SlotCount {
    slot: u64,
    calls: u32,
    retries: u32,
}

/// Calls that arrived and retries sent during the last window of the budget.
#[derive(Default)]
pub(crate) struct RetryCounter {
    counts: [SlotCount; SLOTS as usize + 1],
    /// No retry is sent before this time.
    blocked_until: Time,
}

impl RetryCounter {
    /// A counter for a budget that has changed. Retries sent under the old budget count against the new one
    /// for one window, and their slots are not known; so no retry is sent during that window.
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

    /// Counts an attempt that is about to be sent as a retry, if the call had earlier attempts.
    pub(crate) fn record_attempt(&mut self, settings: &Settings, now: Time, attempts_before: u16) {
        if let Some(budget) = settings.retry_budget.as_ref().filter(|_| attempts_before > 0) {
            self.current_count(budget, now).retries += 1;
        }
    }

    /// Whether another retry stays within the budget in every window that includes now: retries count in all
    /// slots that such a window touches, calls only in those that lie completely within it.
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
