//! Times and lengths of time. Wall-clock types are not used: the program that runs a node supplies the time.

use std::ops::{Add, AddAssign, Sub};

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A length of time in whole nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

/// A point on the node's clock, in whole nanoseconds since an origin that the program chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Span {
    /// A span of zero length.
    pub const ZERO: Span = Span(0);

    /// A span of whole milliseconds.
    pub const fn ms(ms: u64) -> Span {
        Span(ms * NANOSECONDS_PER_MILLISECOND)
    }

    /// The span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / NANOSECONDS_PER_SECOND
    }

    /// A span of `seconds` seconds; negative values and NaN give zero, too large ones the longest span.
    pub fn from_seconds(seconds: f64) -> Span {
        Span((seconds * NANOSECONDS_PER_SECOND).round() as u64)
    }

    /// The span times a factor, with the same bounds as [`Span::from_seconds`].
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as u64)
    }
}

impl Time {
    /// The time from `earlier` to this one; zero if `earlier` is the later one.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}
