//! Adaptive limit on attempts that set up at the same time, over all hosts.

/// The limit while nothing has shown that more setups do well.
const MIN_LIMIT: f64 = 2.0;
/// Share of the setup target beyond which a setup was too slow.
const SLOW_SHARE: f64 = 0.67;
/// Share of the setup target below which more setups are tried.
const FAST_SHARE: f64 = 0.33;
/// What remains of the limit after a slow setup, and after a second without any.
const DECREASE: f64 = 0.8;

/// Setups in progress and how many are allowed: additive increase, multiplicative decrease.
pub(crate) struct ConcurrencyLimit {
    pub in_progress: u32,
    pub limit: f64,
}

impl ConcurrencyLimit {
    /// The limit of a node that has just started.
    pub(crate) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit { in_progress: 0, limit: MIN_LIMIT }
    }

    /// Whether no further setup may start.
    pub(crate) fn is_reached(&self) -> bool {
        f64::from(self.in_progress) >= self.limit
    }

    /// Adapts the limit to a setup that took this share of its target; infinite if it failed. Without this, clients that
    /// return together fill the queue of a store that all setups share: attempts given up there are worked on all the
    /// same, and nothing completes in time any more.
    pub(crate) fn record(&mut self, share_of_target: f64) {
        if share_of_target > SLOW_SHARE {
            self.limit = (DECREASE * self.limit).max(1.0);
        } else if share_of_target < FAST_SHARE && f64::from(self.in_progress) >= 0.5 * self.limit {
            self.limit += 1.0;
        }
    }

    /// Lowers the limit towards its minimum; called once a second.
    pub(crate) fn decay(&mut self) {
        self.limit = (DECREASE * self.limit).max(MIN_LIMIT.min(self.limit));
    }
}
