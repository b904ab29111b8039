//! Moments of a process.

/// Nanoseconds per millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// Nanoseconds on a clock that only rises and belongs to this process alone. Never a wall clock, and never compared
/// with another process's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The moment so many milliseconds after the clock's zero.
    pub fn ms(ms: u64) -> Timestamp {
        Timestamp(ms * NANOS_PER_MS)
    }

    /// Milliseconds from an earlier moment to this one; 0 if that moment is still to come.
    pub fn ms_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0) / NANOS_PER_MS
    }

    /// The moment so many milliseconds later.
    pub fn plus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0 + ms * NANOS_PER_MS)
    }

    /// The moment so many milliseconds earlier, or the clock's zero.
    pub(crate) fn minus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_sub(ms * NANOS_PER_MS))
    }
}
