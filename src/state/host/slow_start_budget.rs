//! Attempts that a node may send a cold host.

use crate::domain::{Span, Time};

/// A budget that fills over time and lapses.
pub(crate) struct SlowStartBudget {
    /// Attempts saved up; below 0 while more were sent.
    pub attempts: f64,
    updated_at: Time,
}

impl SlowStartBudget {
    /// A budget that starts at so many attempts.
    pub(crate) fn new(attempts: f64, now: Time) -> SlowStartBudget {
        SlowStartBudget { attempts, updated_at: now }
    }

    /// Adds `rate` attempts a second. What is not used within the window lapses, or all nodes would have a call ready for
    /// the same moment.
    pub(crate) fn fill(&mut self, rate: f64, window: Span, now: Time) {
        self.attempts += rate * now.since(self.updated_at).seconds();
        if self.attempts > 1.0 + rate * window.seconds() {
            self.attempts -= 1.0;
        }
        self.updated_at = now;
    }
}
