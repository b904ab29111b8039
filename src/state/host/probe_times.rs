//! What a host's answers to probes take.

use crate::domain::Span;

/// The usual time follows each probe by this share.
const SMOOTHING: f64 = 0.1;
/// A probe counts as at most this many times the usual, so that the usual does not follow a slow spell.
const MAX_RATIO: f64 = 1.33;

/// Usual and last time of probes, in seconds; 0 before the first.
#[derive(Default)]
pub(crate) struct ProbeTimes {
    usual: f64,
    last: f64,
}

impl ProbeTimes {
    /// Times that start from a usual one.
    pub(crate) fn from_usual(usual: f64) -> ProbeTimes {
        ProbeTimes { usual, last: usual }
    }

    /// What probes usually take, in seconds.
    pub(crate) fn usual(&self) -> f64 {
        self.usual
    }

    /// Records what a probe took; returns the mean of the last two as a multiple of the usual.
    pub(crate) fn record(&mut self, took: Span) -> f64 {
        let took = took.seconds().max(1e-6);
        let is_first = self.usual <= 0.0;
        let usual = if is_first { took } else { self.usual };
        let last = if is_first { took } else { self.last };
        let counted = took.min(MAX_RATIO * usual);
        self.usual = usual + SMOOTHING * (counted - usual);
        self.last = took;
        0.5 * (took + last) / usual
    }
}
