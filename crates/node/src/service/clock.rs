//! The node's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use glendeck::domain::{Span, Time};

const NANOSECONDS_PER_SECOND: i128 = 1_000_000_000;

/// Wall time at the start plus the monotonic time since then. Wall time is needed because the start times of
/// hosts are wall times, but timers must not jump when the wall clock is set.
pub(super) struct Clock {
    start: Instant,
    wall_start: Time,
}

impl Clock {
    /// Starts a clock that is `ahead_s` seconds ahead of the system's.
    pub(super) fn start(ahead_s: i64) -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ahead = i128::from(ahead_s) * NANOSECONDS_PER_SECOND;
        let nanoseconds = (since_epoch.as_nanos() as i128 + ahead).max(0) as u64;
        Clock { start: Instant::now(), wall_start: Time(nanoseconds) }
    }

    /// Nanoseconds since the Unix epoch, without changes of the wall clock since the start.
    pub(super) fn now(&self) -> Time {
        self.wall_start + Span(self.start.elapsed().as_nanos() as u64)
    }
}
