//! Timestamps on a process's monotonic clock.

/// Nanoseconds per millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// Nanoseconds on this process's monotonic clock. It is not wall-clock time, and is never compared with
/// another process's timestamps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time this many milliseconds after the clock's zero.
    pub fn ms(ms: u64) -> Timestamp {
        Timestamp(ms * NANOS_PER_MS)
    }

    /// Milliseconds from `earlier` to this time; 0 if `earlier` is later than this time.
    pub fn ms_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0) / NANOS_PER_MS
    }

    /// The time this many milliseconds later.
    pub fn plus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0 + ms * NANOS_PER_MS)
    }

    /// The time this many milliseconds earlier, or the clock's zero if that is later.
    pub(crate) fn minus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_sub(ms * NANOS_PER_MS))
    }
}
