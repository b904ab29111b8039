//! What a node knows of a host's failures.

use crate::domain::{Span, Time};

/// How long a host that a process before had ejected stays out at least.
const RESTORED_EJECTION: Span = Span::ms(1000);

/// A host that gets no attempts until probes succeed.
pub(crate) struct Ejection {
    pub next_probe: Time,
    /// Successful probes in a row.
    pub probe_successes: u32,
}

/// Failures, ejection and trial of one host.
pub(crate) struct OutlierState {
    /// Smoothed share of failed attempts and probes.
    pub failure_rate: f64,
    pub ejection: Option<Ejection>,
    /// How long the last ejection lasted; doubles from one to the next.
    pub ejection_time: Span,
    /// Calls that must succeed one at a time after an ejection.
    pub trial_calls_left: u32,
    /// Connections that broke since the last tick.
    pub broken_connections: u32,
    /// The host gets nothing new until then, since it rejected an attempt.
    pub rejecting_until: Time,
    pub reject_backoff: Span,
}

impl OutlierState {
    /// A host without any failure.
    pub fn new(now: Time) -> OutlierState {
        OutlierState {
            failure_rate: 0.0,
            ejection: None,
            ejection_time: Span::ZERO,
            trial_calls_left: 0,
            broken_connections: 0,
            rejecting_until: now,
            reject_backoff: Span::ZERO,
        }
    }

    /// Whether the host gets no attempts until probes succeed.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Ejects the host again, as the process before had.
    pub fn restore_ejection(&mut self, now: Time) {
        self.ejection_time = RESTORED_EJECTION;
        self.ejection = Some(Ejection { next_probe: now, probe_successes: 0 });
    }
}
