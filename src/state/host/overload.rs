//! What a node knows of a host's load limit.

use crate::domain::{Span, Time};

/// Highest overload penalty.
const MAX_PENALTY: f64 = 4.0;
/// What remains at least of the load at the last tick when the limit is cut.
const MIN_LIMIT_SHARE: f64 = 0.7;
/// How long an overloaded host gets nothing new: a little longer than the second between reports.
const CLOSED_AFTER_REPORT: Span = Span::ms(1200);
/// Growth of the limit a second.
const LIMIT_GROWTH: f64 = 0.02;
/// Load from which the limit grows at least, in connections: where all broke, limit and mean are nothing, and nothing
/// grows from that.
const MIN_GROWTH_BASE: f64 = 0.1;
/// Reports older than this, in seconds, say nothing of the growth since.
const MAX_REPORT_AGE: f64 = 1.5;

/// Message times and load limit of one host.
pub(crate) struct OverloadState {
    /// By how much the host's score is raised while messages take long there.
    pub penalty: f64,
    /// It was found overloaded since the last tick.
    is_overloaded: bool,
    /// It gets nothing new until then, since it was found overloaded.
    pub closed_until: Time,
    /// The most load it has coped with, in connections; infinite until that has shown.
    pub load_limit: f64,
    load_at_last_tick: f64,
    /// What a message took when last reported, in seconds.
    message_time: f64,
    reported_at: Time,
    /// By how many seconds the last setup took too long.
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
    /// Records a message time in seconds; returns by how many seconds a second it has grown since the report before.
    pub(crate) fn record_message_time(&mut self, took: f64, now: Time) -> f64 {
        let age = now.since(self.reported_at).seconds();
        let previous = if age < MAX_REPORT_AGE { self.message_time } else { 0.0 };
        self.message_time = took;
        self.reported_at = now;
        (took - previous) / age.clamp(0.5, 1.0)
    }

    /// Records by how many seconds a setup took too long; returns the mean of the last two, as a single one may have
    /// met a pause.
    pub(crate) fn record_setup_excess(&mut self, seconds: f64) -> Span {
        let previous = self.last_setup_excess;
        self.last_setup_excess = seconds.max(0.0);
        Span::from_seconds(0.5 * (previous + self.last_setup_excess))
    }

    /// Raises the penalty to the message time over its target, if it is lower.
    pub(crate) fn raise_penalty(&mut self, message_time_share: f64) {
        self.penalty = self.penalty.max(message_time_share.min(MAX_PENALTY));
    }

    /// Lowers the limit and closes the host for a moment. While a host empties, its load of the moment says nothing of
    /// what it can do, and a limit taken from that would keep it idle: so a second cuts it by three tenths at most.
    pub(crate) fn cut_limit(&mut self, load: f64, now: Time) {
        self.load_limit = self.load_limit.min(load.max(MIN_LIMIT_SHARE * self.load_at_last_tick));
        self.is_overloaded = true;
        self.closed_until = now + CLOSED_AFTER_REPORT;
    }

    /// Lets the limit grow if the host was not overloaded since the last tick; called once a second with the host's load
    /// and the load that others of its size have.
    pub(crate) fn grow_limit(&mut self, load: f64, mean_load: f64) {
        let was_overloaded = std::mem::take(&mut self.is_overloaded);
        if !was_overloaded && self.load_limit.is_finite() {
            self.load_limit += LIMIT_GROWTH * self.load_limit.max(mean_load).max(MIN_GROWTH_BASE);
        }
        self.load_at_last_tick = load;
    }

    /// Adopts what the process before knew.
    pub(crate) fn restore(&mut self, penalty: f64, load_limit: Option<f64>, load: f64) {
        self.penalty = penalty;
        self.load_limit = load_limit.unwrap_or(f64::INFINITY);
        self.load_at_last_tick = load;
    }
}
