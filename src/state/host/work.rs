//! Work that a host's connections request, and its smoothed rate.

use crate::domain::Time;

/// Sum of work, in seconds, and its smoothed rate, in seconds of work per second.
pub(crate) struct WorkMeter {
    /// Work requested so far, in seconds.
    total: f64,
    updated_at: Time,
    total_at_last_tick: f64,
    pub smoothed_rate: f64,
}

impl WorkMeter {
    /// A meter that starts at a smoothed rate.
    pub(crate) fn new(smoothed_rate: f64, now: Time) -> WorkMeter {
        WorkMeter { total: 0.0, updated_at: now, total_at_last_tick: 0.0, smoothed_rate }
    }

    /// Adds the work since the last update, during which the rate was `rate`.
    pub(crate) fn update(&mut self, rate: f64, now: Time) {
        self.total += rate * now.since(self.updated_at).seconds();
        self.updated_at = now;
    }

    /// Updates the smoothed rate with the work since the last tick, `elapsed` seconds ago.
    pub(crate) fn tick(&mut self, smoothing: f64, elapsed: f64) {
        let work_since = self.total - self.total_at_last_tick;
        self.smoothed_rate = self.smoothed_rate * (1.0 - smoothing) + work_since * smoothing / elapsed;
        self.total_at_last_tick = self.total;
    }
}
