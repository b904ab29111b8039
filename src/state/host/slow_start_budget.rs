//! Budget of attempts that a node may send to a cold host.

use crate::domain::{Span, Time};

/// A budget that fills over time; unused attempts lapse.
pub(crate) struct SlowStartBudget {
    /// Attempts available; negative while more were sent.
    pub attempts: f64,
    updated_at: Time,
}

impl SlowStartBudget {
    /// A budget that starts with the given attempts.
    pub(crate) fn new(attempts: f64, now: Time) -> SlowStartBudget {
        SlowStartBudget { attempts, updated_at: now }
    }

    /// Adds `rate` attempts per second. Attempts that are not used within the window lapse; otherwise all
    /// nodes would have a call saved up for the same moment.
    pub(crate) fn fill(&mut self, rate: f64, window: Span, now: Time) {
        self.attempts += rate * now.since(self.updated_at).seconds();
        if self.attempts > 1.0 + rate * window.seconds() {
            self.attempts -= 1.0;
        }
        self.updated_at = now;
    }
}
