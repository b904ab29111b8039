//! The node's metrics: counted where events happen, put together when the metrics page is requested.

use std::collections::BTreeMap;

use glendeck::domain::ClassId;
use serde::Serialize;

use crate::call::CallStage;
use crate::service::Service;

/// The outcome of a call's setup, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Its connection was established.
    Success,
    /// It was rejected; a retry is safe.
    Busy,
    /// It failed, or may have run without an answer.
    Failure,
}

/// Calls of one class by their outcome, since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CallCounts {
    success: u64,
    busy: u64,
    failure: u64,
}

/// Calls of all classes, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallTotals {
    /// Calls that ended or were established.
    pub calls: u64,
    /// Those of them that failed.
    pub failed: u64,
    /// Those of them that were rejected.
    pub busy: u64,
}

/// Counts since the start of the process.
pub(crate) struct Metrics {
    /// Name and counts of each class, in the order of their numbers.
    classes: Vec<(String, CallCounts)>,
    /// Attempts whose line was completely written to a host.
    pub attempts: u64,
}

impl Metrics {
    /// Creates metrics with a count of 0 for every class.
    pub(crate) fn new(class_names: &[String]) -> Metrics {
        let mut metrics = Metrics { classes: Vec::new(), attempts: 0 };
        metrics.name(class_names);
        metrics
    }

    /// Adds the classes that are new in changed settings, with counts of 0.
    pub(crate) fn name(&mut self, class_names: &[String]) {
        let new_names = class_names.iter().skip(self.classes.len());
        self.classes.extend(new_names.map(|name| (name.clone(), CallCounts::default())));
    }

    /// Counts a call. Must be called once for each call that was read, or the sums would differ from what
    /// clients saw: when its connection is established, when it is rejected before it reaches the decisions,
    /// or when it is removed without having been established.
    pub(crate) fn count(&mut self, class: ClassId, outcome: Outcome) {
        let Some((_, counts)) = self.classes.get_mut(usize::from(class.0)) else { return };
        match outcome {
            Outcome::Success => counts.success += 1,
            Outcome::Busy => counts.busy += 1,
            Outcome::Failure => counts.failure += 1,
        }
    }

    /// Sums over all classes.
    pub(crate) fn totals(&self) -> CallTotals {
        let mut totals = CallTotals::default();
        for (_, counts) in &self.classes {
            totals.calls += counts.success + counts.busy + counts.failure;
            totals.failed += counts.failure;
            totals.busy += counts.busy;
        }
        totals
    }

    /// The counts of each class by its name.
    pub(crate) fn by_class(&self) -> BTreeMap<String, CallCounts> {
        self.classes.iter().cloned().collect()
    }
}

/// The body of the admin interface's metrics page. Its field names are the keys of the page.
#[derive(Debug, Serialize)]
pub(crate) struct MetricsPage {
    /// Calls by class and outcome.
    pub calls: BTreeMap<String, CallCounts>,
    /// Attempts whose line was completely written to a host.
    pub backend_calls: u64,
    /// Calls in flight, including open ones.
    pub inflight: usize,
    /// Calls that have had no answer yet.
    pub waiting: usize,
    /// Hosts in the endpoint list.
    pub hosts_listed: usize,
    /// Hosts in the list that are ejected.
    pub hosts_down: usize,
    /// The longest iteration of the event loop since the page was last read, in milliseconds.
    pub slowest_turn_ms: f64,
    /// Log lines that were lost, as whatever collects the log did not take them.
    pub log_lines_lost: u64,
}

impl Service {
    /// Number of calls that have had no answer yet.
    pub(crate) fn waiting(&self) -> usize {
        let is_waiting = |stage| matches!(stage, CallStage::Waiting | CallStage::Returning);
        self.calls.iter().filter(|(_, call)| is_waiting(call.stage)).count()
    }

    /// Number of hosts in the endpoint list that are ejected.
    pub(crate) fn hosts_down(&self) -> usize {
        self.hosts.listed().filter(|host| self.is_host_ejected(*host)).count()
    }

    /// The current metrics. Resets the longest iteration of the event loop.
    pub(crate) fn metrics_page(&mut self) -> MetricsPage {
        let slowest_turn = std::mem::take(&mut self.slowest_turn);
        MetricsPage {
            calls: self.metrics.by_class(),
            backend_calls: self.metrics.attempts,
            inflight: self.calls.len(),
            waiting: self.waiting(),
            hosts_listed: self.hosts.listed().count(),
            hosts_down: self.hosts_down(),
            slowest_turn_ms: slowest_turn.seconds() * 1e3,
            log_lines_lost: self.lost_log_lines.total(),
        }
    }
}
