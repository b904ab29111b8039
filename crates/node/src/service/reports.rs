//! Events that are waiting to be reported to the decision logic.

use std::collections::VecDeque;

use glendeck::domain::HostId;

use crate::call::AttemptEnd;

/// An event for the decision logic.
pub(crate) enum Report {
    /// An attempt, or an open connection, has ended.
    AttemptEnded(AttemptEnd),
    /// A probe could not be sent.
    ProbeFailed(HostId),
    /// The watch on the endpoint list could not be opened.
    WatchFailed,
}

/// Events that occurred while the decision logic was running, or that have not been delivered yet.
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

    /// Removes and returns the next event: ends of attempts first, in the order in which they occurred.
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
