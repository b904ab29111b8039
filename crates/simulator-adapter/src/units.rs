//! The simulator's units: times are fractional milliseconds, loads are milliseconds or microseconds of work
//! per second.

use glendeck::domain::Time;

/// Nanoseconds, the unit of [`Time`], in a millisecond.
pub(crate) const NANOS_PER_MS: f64 = 1e6;

/// Milliseconds in a second.
pub(crate) const MS_PER_SECOND: f64 = 1e3;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// Times of this value or above are invalid, in ms.
const TIME_LIMIT_MS: f64 = 1e12;

/// Converts a time of the simulator; `None` if it is not a valid time.
pub(crate) fn time_from_ms(ms: f64) -> Option<Time> {
    let is_valid = ms.is_finite() && (0.0..TIME_LIMIT_MS).contains(&ms);
    is_valid.then(|| Time((ms * NANOS_PER_MS).round() as u64))
}
