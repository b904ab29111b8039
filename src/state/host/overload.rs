//! Load limit and overload penalty of one host.

use crate::domain::{Span, Time};

/// Highest overload penalty.
const MAX_PENALTY: f64 = 4.0;
/// Lower bound of a limit after a cut, as a share of the load at the last tick.
const MIN_LIMIT_SHARE: f64 = 0.7;
/// How long an overloaded host receives no new attempts: slightly longer than the second between reports.
const CLOSED_AFTER_REPORT: Span = Span::ms(1200);
/// Growth of the limit per second, as a share of the limit, the base load or the least base, whichever is most.
const LIMIT_GROWTH: f64 = 0.02;
/// Least base of that growth, in connections. Without it, the limit could not grow after all connections
/// broke, when the limit and the base load are zero.
const MIN_GROWTH_BASE: f64 = 0.1;
/// Age from which the previous report says nothing about recent growth, which is then measured from zero.
const MAX_REPORT_AGE_SECONDS: f64 = 1.5;

/// Message times and load limit of one host.
pub(crate) struct OverloadState {
    /// Relative increase of the host's score while messages take long there.
    pub penalty: f64,
    /// Whether the limit was cut since the last tick, for overload or a broken connection.
    is_overloaded: bool,
    /// The host receives no new attempts before this time, since its limit was cut.
    pub closed_until: Time,
    /// Load at which the host receives no new attempts, in connections of the mean load: about what it has
    /// coped with so far; infinite until the first cut.
    pub load_limit: f64,
    load_at_last_tick: f64,
    /// Last reported message time, in seconds.
    message_time: f64,
    reported_at: Time,
    /// Seconds by which the last setup exceeded its allowed time.
    last_setup_excess: f64,
}

impl Default for OverloadState {
    fn default() -> OverloadState {
        OverloadState {
            penalty: 0.0,
            is_overloaded: false,
            closed_until: Time(0),
            load_limit: f64::INFINITY,
            load_at_last_tick: 0.0,
            message_time: 0.0,
            reported_at: Time(0),
            last_setup_excess: 0.0,
        }
    }
}

impl OverloadState {
    /// Records a message time in seconds; returns its growth since the last report, in seconds per second. It
    /// is measured from zero if that report is too old, and the interval counts as 0.5 to 1 s.
    pub(crate) fn record_message_time(&mut self, took: f64, now: Time) -> f64 {
        let age = now.since(self.reported_at).seconds();
        let previous = if age < MAX_REPORT_AGE_SECONDS { self.message_time } else { 0.0 };
        self.message_time = took;
        self.reported_at = now;
        (took - previous) / age.clamp(0.5, 1.0)
    }

    /// Records by how many seconds a setup exceeded its allowed time; returns the mean of the last two, as a
    /// single one may have coincided with a pause.
    pub(crate) fn record_setup_excess(&mut self, seconds: f64) -> Span {
        let previous = self.last_setup_excess;
        self.last_setup_excess = seconds.max(0.0);
        Span::from_seconds(0.5 * (previous + self.last_setup_excess))
    }

    /// Raises the penalty to the ratio of the message time to its target, if it is lower.
    pub(crate) fn raise_penalty(&mut self, message_time_ratio: f64) {
        self.penalty = self.penalty.max(message_time_ratio.min(MAX_PENALTY));
    }

    /// Lowers the limit and briefly closes the host to new attempts. While a host empties, its current load
    /// does not show what it can sustain, and a limit taken from that load would keep the host idle; so the
    /// cuts of one second take the limit to no less than seven tenths of the load at the last tick.
    pub(crate) fn cut_limit(&mut self, load: f64, now: Time) {
        self.load_limit = self.load_limit.min(load.max(MIN_LIMIT_SHARE * self.load_at_last_tick));
        self.is_overloaded = true;
        self.closed_until = now + CLOSED_AFTER_REPORT;
    }

    /// Raises the limit if it was not cut since the last tick; called once per second with the host's load
    /// and with a base load that follows from the local mean for the host's size.
    pub(crate) fn grow_limit(&mut self, load: f64, base_load: f64) {
        let was_overloaded = std::mem::take(&mut self.is_overloaded);
        if !was_overloaded && self.load_limit.is_finite() {
            self.load_limit += LIMIT_GROWTH * self.load_limit.max(base_load).max(MIN_GROWTH_BASE);
        }
        self.load_at_last_tick = load;
    }

    /// Restores the state that the previous process handed over.
    pub(crate) fn restore(&mut self, penalty: f64, load_limit: Option<f64>, load: f64) {
        self.penalty = penalty;
        self.load_limit = load_limit.unwrap_or(f64::INFINITY);
        self.load_at_last_tick = load;
    }
}
