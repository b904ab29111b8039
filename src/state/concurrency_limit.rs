//! Adaptive limit on concurrent setups over all hosts.

/// Number of concurrent setups allowed until fast setups show that more are possible. The limit decays to it;
/// slow setups lower it further, down to 1.
const INITIAL_LIMIT: f64 = 2.0;
/// Share of the setup target above which a setup counts as slow.
const SLOW_SHARE: f64 = 0.67;
/// Share of the setup target below which a setup counts as fast and the limit may grow.
const FAST_SHARE: f64 = 0.33;
/// Factor applied to the limit after a slow setup, and every second.
const DECREASE_FACTOR: f64 = 0.8;

/// Setups in progress and their limit, with additive increase and multiplicative decrease.
pub(crate) struct ConcurrencyLimit {
    pub in_progress: u32,
    pub limit: f64,
}

impl ConcurrencyLimit {
    /// The limit of a node that has just started.
    pub(crate) fn new() -> ConcurrencyLimit {
        ConcurrencyLimit { in_progress: 0, limit: INITIAL_LIMIT }
    }

    /// Whether no further setup may start.
    pub(crate) fn is_reached(&self) -> bool {
        f64::from(self.in_progress) >= self.limit
    }

    /// Adapts the limit to a setup that took `share_of_target`, which is infinite if the setup failed.
    /// Without the limit, clients that return together fill the queue of a store that all setups share:
    /// abandoned attempts are still processed there, and nothing completes in time any more.
    pub(crate) fn record(&mut self, share_of_target: f64) {
        if share_of_target > SLOW_SHARE {
            self.limit = (DECREASE_FACTOR * self.limit).max(1.0);
        } else if share_of_target < FAST_SHARE && f64::from(self.in_progress) >= 0.5 * self.limit {
            self.limit += 1.0;
        }
    }

    /// Lowers the limit towards its initial value; called once per second.
    pub(crate) fn decay(&mut self) {
        self.limit = (DECREASE_FACTOR * self.limit).max(INITIAL_LIMIT.min(self.limit));
    }
}
