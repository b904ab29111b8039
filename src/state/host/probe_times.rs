//! Response times of a host's probes.

use crate::domain::Span;

/// Weight of each probe in the usual time.
const SMOOTHING: f64 = 0.1;
/// Cap on a probe's time when it enters the usual time, as a multiple of the usual time, so that a slow
/// period does not become usual.
const MAX_RATIO: f64 = 1.33;

/// Usual and last response time of probes, in seconds; 0 before the first probe.
#[derive(Default)]
pub(crate) struct ProbeTimes {
    usual: f64,
    last: f64,
}

impl ProbeTimes {
    /// Probe times that start from a known usual time.
    pub(crate) fn from_usual(usual: f64) -> ProbeTimes {
        ProbeTimes { usual, last: usual }
    }

    /// Usual response time of probes, in seconds.
    pub(crate) fn usual(&self) -> f64 {
        self.usual
    }

    /// Records a probe's response time; returns the mean of the last two as a multiple of the usual time.
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
