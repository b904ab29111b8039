//! What a node knows of a host's failures.

use crate::domain::{Span, Time};

/// The failure rate follows each result by this share. With the threshold, two failures in a row eject a host that was
/// well before, and one a host on trial.
const FAILURE_SMOOTHING: f64 = 0.3;
/// Failure rate above which a failing host is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Failure rate of a host that returns from an ejection.
const TRIAL_FAILURE_RATE: f64 = 0.3;
/// Calls that a returning host gets one at a time.
const TRIAL_CALLS: u32 = 3;
/// Successful probes in a row that end an ejection.
const PROBES_TO_READMIT: u32 = 2;
const MIN_EJECTION: Span = Span::ms(1000);
const MAX_EJECTION: Span = Span::ms(8000);
/// Wait after a probe that succeeded.
const NEXT_PROBE_AFTER_SUCCESS: Span = Span::ms(500);
/// Fewer breaks within a second may be coincidence.
const MIN_BREAKS: u32 = 3;
/// Breaks that are at least one in so many of the connections are no coincidence.
const BREAK_DIVISOR: usize = 3;
const MIN_REJECT_BACKOFF: Span = Span::ms(200);
const MAX_REJECT_BACKOFF: Span = Span::ms(8000);
/// How long a host that a process before had ejected stays out at least.
const RESTORED_EJECTION: Span = Span::ms(1000);

/// A host that gets no attempts until probes succeed.
struct Ejection {
    next_probe: Time,
    /// Successful probes in a row.
    probe_successes: u32,
}

/// Failures, ejection and trial of one host.
pub(crate) struct OutlierState {
    /// Smoothed share of failed attempts and probes.
    failure_rate: f64,
    ejection: Option<Ejection>,
    /// How long the last ejection lasted; doubles from one to the next.
    ejection_time: Span,
    /// Calls that must succeed one at a time after an ejection.
    pub trial_calls_left: u32,
    /// Connections that broke since the last tick.
    broken_connections: u32,
    /// The host gets nothing new until then, since it rejected an attempt.
    pub rejecting_until: Time,
    pub reject_backoff: Span,
}

impl OutlierState {
    /// A host without any failure.
    pub(crate) fn new(now: Time) -> OutlierState {
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
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Ejects the host again, as the process before had.
    pub(crate) fn restore_ejection(&mut self, now: Time) {
        self.ejection_time = RESTORED_EJECTION;
        self.ejection = Some(Ejection { next_probe: now, probe_successes: 0 });
    }

    /// Records a failed attempt or probe; returns whether the host is to be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
        self.failure_rate > EJECTION_THRESHOLD
    }

    /// Records an attempt that was set up. The last one of a trial forgets how long the host was ejected.
    pub(crate) fn record_success(&mut self) {
        self.reject_backoff = Span::ZERO;
        self.failure_rate += FAILURE_SMOOTHING * (0.0 - self.failure_rate);
        if self.trial_calls_left > 0 {
            self.trial_calls_left -= 1;
            if self.trial_calls_left == 0 {
                self.ejection_time = Span::ZERO;
            }
        }
    }

    /// Records a connection that broke, with so many left; returns whether the host is to be ejected: several broke
    /// within a second and are a large part of what it had.
    pub(crate) fn record_broken_connection(&mut self, connections_left: usize) -> bool {
        self.broken_connections += 1;
        let broken = self.broken_connections as usize;
        let is_large_part = broken * BREAK_DIVISOR >= connections_left + broken;
        self.broken_connections >= MIN_BREAKS && is_large_part
    }

    /// Forgets the connections that broke; called once a second.
    pub(crate) fn tick(&mut self) {
        self.broken_connections = 0;
    }

    /// Lets the host rest after it rejected an attempt, longer each time. One that rejects at once empties, scores low and
    /// would draw every call.
    pub(crate) fn back_off_after_reject(&mut self, now: Time, jitter: f64) {
        if self.rejecting_until <= now {
            self.reject_backoff =
                self.reject_backoff.times(2.0).clamp(MIN_REJECT_BACKOFF, MAX_REJECT_BACKOFF);
            self.rejecting_until = now + self.reject_backoff.times(jitter);
        }
    }

    /// Ejects the host; returns whether it was in service.
    pub(crate) fn eject(&mut self, now: Time, jitter: f64) -> bool {
        if self.is_ejected() {
            return false;
        }
        self.ejection_time = self.ejection_time.times(2.0).clamp(MIN_EJECTION, MAX_EJECTION);
        let next_probe = now + self.ejection_time.times(jitter);
        self.ejection = Some(Ejection { next_probe, probe_successes: 0 });
        true
    }

    /// If a probe of the ejected host is due, sets the time of the next one and returns true.
    pub(crate) fn schedule_probe(&mut self, now: Time, jitter: f64) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        if ejection.next_probe > now {
            return false;
        }
        ejection.next_probe = now + self.ejection_time.times(jitter);
        true
    }

    /// Records a probe of the ejected host; returns whether it is to be readmitted.
    pub(crate) fn record_probe(&mut self, is_success: bool, now: Time) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        if !is_success {
            ejection.probe_successes = 0;
            self.ejection_time = self.ejection_time.times(2.0).min(MAX_EJECTION);
            return false;
        }
        ejection.probe_successes += 1;
        ejection.next_probe = now + NEXT_PROBE_AFTER_SUCCESS;
        ejection.probe_successes >= PROBES_TO_READMIT
    }

    /// Ends the ejection; the host is on trial.
    pub(crate) fn readmit(&mut self) {
        self.ejection = None;
        self.trial_calls_left = TRIAL_CALLS;
        self.failure_rate = TRIAL_FAILURE_RATE;
    }
}
