//! What has happened that the decisions have not been told of yet.

use std::collections::VecDeque;

use glendeck::domain::HostId;

use crate::call::AttemptEnd;

/// One event for the decisions.
pub(crate) enum Report {
    /// An attempt, or an open connection, has ended.
    AttemptEnded(AttemptEnd),
    /// A probe could not be sent.
    ProbeFailed(HostId),
    /// The watch on the endpoint list could not be opened.
    WatchFailed,
}

/// Events that came while the decisions were at work, or before they could be told.
#[derive(Default)]
pub(crate) struct PendingReports {
    attempt_ends: VecDeque<AttemptEnd>,
    failed_probes: Vec<HostId>,
    watch_failures: u32,
}

impl PendingReports {
    /// Adds an event.
    pub(crate) fn push(&mut self, report: Report) {
        match report {
            Report::AttemptEnded(end) => self.attempt_ends.push_back(end),
            Report::ProbeFailed(host) => self.failed_probes.push(host),
            Report::WatchFailed => self.watch_failures += 1,
        }
    }

    /// Takes the next event: ends of attempts first, in their order.
    pub(crate) fn pop(&mut self) -> Option<Report> {
        if let Some(end) = self.attempt_ends.pop_front() {
            return Some(Report::AttemptEnded(end));
        }
        if let Some(host) = self.failed_probes.pop() {
            return Some(Report::ProbeFailed(host));
        }
        self.watch_failures = self.watch_failures.checked_sub(1)?;
        Some(Report::WatchFailed)
    }
}
