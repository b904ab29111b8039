//! What a node knows of a host's load limit.

use crate::domain::{Span, Time};

/// Reports older than this, in seconds, say nothing of the growth since.
const MAX_REPORT_AGE: f64 = 1.5;

/// Message times and load limit of one host.
pub(crate) struct OverloadState {
    /// By how much the host's score is raised while messages take long there.
    pub penalty: f64,
    /// It was found overloaded since the last tick.
    pub is_overloaded: bool,
    /// It gets nothing new until then, since it was found overloaded.
    pub closed_until: Time,
    /// The most load it has coped with, in connections; infinite until that has shown.
    pub load_limit: f64,
    pub load_at_last_tick: f64,
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
    pub fn record_message_time(&mut self, took: f64, now: Time) -> f64 {
        let age = now.since(self.reported_at).seconds();
        let previous = if age < MAX_REPORT_AGE { self.message_time } else { 0.0 };
        self.message_time = took;
        self.reported_at = now;
        (took - previous) / age.clamp(0.5, 1.0)
    }

    /// Records by how many seconds a setup took too long; returns the mean of the last two, as a single one may have
    /// met a pause.
    pub fn record_setup_excess(&mut self, seconds: f64) -> Span {
        let previous = self.last_setup_excess;
        self.last_setup_excess = seconds.max(0.0);
        Span::from_seconds(0.5 * (previous + self.last_setup_excess))
    }
}
