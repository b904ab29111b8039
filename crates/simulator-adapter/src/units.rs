//! The simulator's units: milliseconds, with fractions.

use glendeck::domain::Time;

/// Nanoseconds, the unit of [`Time`], in a millisecond.
pub(crate) const NANOS_PER_MS: f64 = 1e6;

/// Milliseconds in a second.
pub(crate) const MS_PER_SECOND: f64 = 1e3;

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// Times from here on are not usable, in ms.
const TIME_LIMIT_MS: f64 = 1e12;

/// A time of the simulator, if it is one.
pub(crate) fn time_from_ms(ms: f64) -> Option<Time> {
    let is_usable = ms.is_finite() && (0.0..TIME_LIMIT_MS).contains(&ms);
    is_usable.then(|| Time((ms * NANOS_PER_MS).round() as u64))
}
