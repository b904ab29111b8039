//! The node's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use glendeck::domain::{Span, Time};

/// Wall time at the start and steady time since: hosts tell their start in wall time, and what is due here
/// must not jump with it.
pub struct Clock {
    began: Instant,
    at: Time,
}

impl Clock {
    pub fn start(ahead_s: i64) -> Clock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ahead = i128::from(ahead_s) * 1_000_000_000;
        Clock { began: Instant::now(), at: Time((since.as_nanos() as i128 + ahead).max(0) as u64) }
    }

    pub fn now(&self) -> Time {
        self.at + Span(self.began.elapsed().as_nanos() as u64)
    }
}
