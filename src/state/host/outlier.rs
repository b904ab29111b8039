//! Failures, ejection and trial of one host.

use crate::domain::{Span, Time};

/// Weight of each result in the failure rate. With the ejection threshold, two failures in a row eject a
/// previously healthy host, and one failure ejects a host on trial.
const FAILURE_SMOOTHING: f64 = 0.3;
/// Failure rate above which a failing host is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Failure rate of a host that is readmitted after an ejection.
const TRIAL_FAILURE_RATE: f64 = 0.3;
/// Number of calls that a readmitted host receives one at a time.
const TRIAL_CALLS: u32 = 3;
/// Successful probes in a row that end an ejection.
const PROBES_TO_READMIT: u32 = 2;
const MIN_EJECTION: Span = Span::ms(1000);
const MAX_EJECTION: Span = Span::ms(8000);
/// Wait until the next probe after a successful one.
const NEXT_PROBE_AFTER_SUCCESS: Span = Span::ms(500);
/// Broken connections eject a host only if at least this many broke since the last tick; fewer may be
/// coincidence.
const MIN_BREAKS: u32 = 3;
/// Broken connections eject a host only if they are at least one in this many of its connections; a smaller
/// part may be coincidence.
const BREAK_DIVISOR: usize = 3;
const MIN_REJECT_BACKOFF: Span = Span::ms(200);
const MAX_REJECT_BACKOFF: Span = Span::ms(8000);
/// Ejection time to start from for a host that the previous process had ejected.
const RESTORED_EJECTION: Span = Span::ms(1000);

/// State of an ejected host.
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
    /// Wait before the first probe and after failed ones; doubles with each ejection and each failed probe.
    ejection_time: Span,
    /// Number of calls that must still succeed, one at a time, after an ejection.
    pub trial_calls_left: u32,
    /// Connections that broke since the last tick.
    broken_connections: u32,
    /// The host receives no new attempts before this time, since it rejected one.
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

    /// Whether the host is ejected: except in panic mode, it receives no attempts until it is readmitted.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Restores an ejection by the previous process.
    pub(crate) fn restore_ejection(&mut self, now: Time) {
        self.ejection_time = RESTORED_EJECTION;
        self.ejection = Some(Ejection { next_probe: now, probe_successes: 0 });
    }

    /// Records a failed attempt or probe; returns whether the host should be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
        self.failure_rate > EJECTION_THRESHOLD
    }

    /// Records a successful setup. The last one of a trial resets the ejection time.
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

    /// Records a broken connection, with `connections_left` remaining; returns whether the host should be
    /// ejected, since several connections broke within a second and they are a large part of those it had.
    pub(crate) fn record_broken_connection(&mut self, connections_left: usize) -> bool {
        self.broken_connections += 1;
        let broken = self.broken_connections as usize;
        let is_large_part = broken * BREAK_DIVISOR >= connections_left + broken;
        self.broken_connections >= MIN_BREAKS && is_large_part
    }

    /// Resets the count of broken connections; called once per second.
    pub(crate) fn tick(&mut self) {
        self.broken_connections = 0;
    }

    /// Starts a backoff after the host rejected an attempt, longer each time. A host that rejects immediately
    /// loses its connections, gets a low score and would attract every call.
    pub(crate) fn back_off_after_reject(&mut self, now: Time, jitter: f64) {
        if self.rejecting_until <= now {
            self.reject_backoff =
                self.reject_backoff.times(2.0).clamp(MIN_REJECT_BACKOFF, MAX_REJECT_BACKOFF);
            self.rejecting_until = now + self.reject_backoff.times(jitter);
        }
    }

    /// Ejects the host; returns false if it was ejected already.
    pub(crate) fn eject(&mut self, now: Time, jitter: f64) -> bool {
        if self.is_ejected() {
            return false;
        }
        self.ejection_time = self.ejection_time.times(2.0).clamp(MIN_EJECTION, MAX_EJECTION);
        let next_probe = now + self.ejection_time.times(jitter);
        self.ejection = Some(Ejection { next_probe, probe_successes: 0 });
        true
    }

    /// If a probe of the ejected host is due, schedules the next one and returns true.
    pub(crate) fn schedule_probe(&mut self, now: Time, jitter: f64) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        if ejection.next_probe > now {
            return false;
        }
        ejection.next_probe = now + self.ejection_time.times(jitter);
        true
    }

    /// Records a probe of the ejected host; returns whether the host should be readmitted.
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

    /// Ends the ejection and puts the host on trial.
    pub(crate) fn readmit(&mut self) {
        self.ejection = None;
        self.trial_calls_left = TRIAL_CALLS;
        self.failure_rate = TRIAL_FAILURE_RATE;
    }
}
