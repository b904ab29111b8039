//! What the node shows of itself: counted where a thing happens, put together when somebody asks.

use glendeck::domain::ClassId;
use serde_json::{Map, Value, json};

use crate::call::CallStage;
use crate::service::Service;

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its connection came up.
    Success,
    /// Turned away: a new try does no harm.
    Busy,
    Failure,
}

#[derive(Clone, Default)]
struct Outcomes {
    success: u64,
    busy: u64,
    failure: u64,
}

/// Counts since the start of the process.
pub struct Metrics {
    of_type: Vec<(String, Outcomes)>,
    /// Attempts whose line was written to a host whole.
    pub attempts: u64,
}

impl Metrics {
    /// All types are there from the start, with 0.
    pub fn new(names: &[String]) -> Metrics {
        Metrics {
            of_type: names.iter().map(|name| (name.clone(), Outcomes::default())).collect(),
            attempts: 0,
        }
    }

    /// Types that the settings name since they changed begin with 0.
    pub fn name(&mut self, names: &[String]) {
        let new = names.iter().skip(self.of_type.len());
        self.of_type.extend(new.map(|name| (name.clone(), Outcomes::default())));
    }

    /// Danger: called once for each call that was read, or sums would drift from what clients saw: when its
    /// connection comes up, when it is turned away unread by the decisions, or when it is forgotten unopened.
    pub fn count(&mut self, traffic: ClassId, outcome: Outcome) {
        if let Some((_, counts)) = self.of_type.get_mut(usize::from(traffic.0)) {
            match outcome {
                Outcome::Success => counts.success += 1,
                Outcome::Busy => counts.busy += 1,
                Outcome::Failure => counts.failure += 1,
            }
        }
    }
}

impl Metrics {
    /// All calls that ended or opened, those of them that failed, and those that were turned away.
    pub fn totals(&self) -> (u64, u64, u64) {
        self.of_type.iter().fold((0, 0, 0), |(all, failed, busy), (_, n)| {
            (all + n.success + n.busy + n.failure, failed + n.failure, busy + n.busy)
        })
    }
}

impl Service {
    /// Calls that have had no answer yet.
    pub fn waiting(&self) -> usize {
        self.calls
            .iter()
            .filter(|(_, held)| matches!(held.stage, CallStage::Waiting | CallStage::Returning))
            .count()
    }

    pub fn metrics(&mut self) -> Value {
        let of_type = self.metrics.of_type.iter().map(|(name, n)| {
            (name.clone(), json!({"success": n.success, "busy": n.busy, "failure": n.failure}))
        });
        let calls: Map<String, Value> = of_type.collect();
        let slowest = std::mem::take(&mut self.slowest_turn);
        json!({
            "calls": calls,
            "backend_calls": self.metrics.attempts,
            "inflight": self.calls.len(),
            "waiting": self.waiting(),
            "hosts_listed": self.hosts.listed().count(),
            "hosts_down": self.hosts.listed().filter(|host| self.avoids(*host)).count(),
            "slowest_turn_ms": slowest.seconds() * 1e3,
        })
    }
}
