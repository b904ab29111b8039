//! What a node knows of one host.

use crate::domain::{
    Cell, Condition, Endpoint, HostId, HostSnapshot, Kind, Size, SlowStart, Span, Time, Zone,
};
use crate::state::call::CallIndex;

/// Index of a host in the node's table of hosts. Hosts are never removed.
pub(crate) type HostIndex = usize;

/// How long a host that a process before had ejected stays out at least.
const RESTORED_EJECTION: Span = Span::ms(1000);
/// The usual time of probes follows each by this share.
const PROBE_TIME_SMOOTHING: f64 = 0.1;
/// A probe counts as at most this many times the usual, so that the usual does not follow a slow spell.
const MAX_PROBE_TIME_RATIO: f64 = 1.33;

/// A host that gets no attempts until probes succeed.
pub(crate) struct Ejection {
    pub next_probe: Time,
    /// Successful probes in a row.
    pub probe_successes: u32,
}

/// A host with this node's connections on it.
pub(crate) struct Host {
    pub id: HostId,
    pub zone: Zone,
    pub cell: Cell,
    pub condition: Condition,
    /// How much it can do when warm and empty.
    pub size: Size,
    pub kind: Option<Kind>,
    /// When it last started, at the latest.
    pub started_at: Option<Time>,
    /// When it last started, as listed.
    listed_start: Option<Time>,
    /// Connections a core that all nodes have here, as far as the list tells.
    pub reported_connections: Option<f64>,
    /// Attempts sent here since the last list, and between that list and the one before.
    pub attempts_since_list: [f64; 2],
    /// Calls with an attempt here, in arbitrary order.
    pub calls: Vec<CallIndex>,
    /// Attempts here that are setting up.
    pub pending_setups: u32,
    /// Connections that the process of this node before this one still has here.
    pub predecessor_connections: f64,
    /// Sum of the loads that were reported for connections here, in seconds of work a second.
    pub reported_load: f64,
    /// How many connections here reported a load.
    pub reported_count: u32,
    /// Work that connections here have asked for so far, in seconds.
    work: f64,
    work_updated_at: Time,
    work_at_last_tick: f64,
    /// Smoothed work a second.
    pub smoothed_load: f64,
    /// Smoothed share of failed attempts and probes.
    pub failure_rate: f64,
    pub ejection: Option<Ejection>,
    /// How long the last ejection lasted; doubles from one to the next.
    pub ejection_time: Span,
    /// Calls that must succeed one at a time after an ejection.
    pub trial_calls_left: u32,
    /// By how much its score is raised while messages take long there.
    pub overload_penalty: f64,
    /// It was found overloaded since the last tick.
    pub is_overloaded: bool,
    /// It gets nothing new until then, since it was found overloaded.
    pub overloaded_until: Time,
    /// The most load it has coped with, in connections; infinite until that has shown.
    pub load_limit: f64,
    pub load_at_last_tick: f64,
    /// What a message took when last reported, in seconds.
    pub message_time: f64,
    pub message_time_at: Time,
    /// What probes usually take, in seconds; 0 before the first.
    usual_probe_time: f64,
    last_probe_time: f64,
    /// By how many seconds the last setup took too long.
    last_setup_excess: f64,
    /// It gets nothing new until then, since it rejected an attempt.
    pub rejecting_until: Time,
    pub reject_backoff: Span,
    /// Connections that broke since the last tick.
    pub broken_connections: u32,
    /// Part of a connection that this node's score of the host starts at, so that nodes begin at different hosts.
    pub score_offset: f64,
    /// Attempts that may be sent here while it is cold.
    pub slow_start_budget: f64,
    pub budget_updated_at: Time,
    /// Estimate of other nodes' connections here; 1 is what a unit of size usually carries.
    pub remote_load: f64,
}

impl Host {
    /// A host that the list has just named, with the smoothed load to start from.
    pub fn new(endpoint: &Endpoint, smoothed_load: f64, now: Time) -> Host {
        Host {
            id: endpoint.host,
            zone: endpoint.zone,
            cell: endpoint.cell,
            condition: endpoint.condition,
            size: Size(endpoint.weight.0),
            kind: endpoint.kind,
            started_at: None,
            listed_start: None,
            reported_connections: None,
            attempts_since_list: [0.0; 2],
            calls: Vec::new(),
            pending_setups: 0,
            predecessor_connections: 0.0,
            reported_load: 0.0,
            reported_count: 0,
            work: 0.0,
            work_updated_at: now,
            work_at_last_tick: 0.0,
            smoothed_load,
            failure_rate: 0.0,
            ejection: None,
            ejection_time: Span::ZERO,
            trial_calls_left: 0,
            overload_penalty: 0.0,
            is_overloaded: false,
            overloaded_until: Time(0),
            load_limit: f64::INFINITY,
            load_at_last_tick: 0.0,
            message_time: 0.0,
            message_time_at: Time(0),
            usual_probe_time: 0.0,
            last_probe_time: 0.0,
            last_setup_excess: 0.0,
            rejecting_until: now,
            reject_backoff: Span::ZERO,
            broken_connections: 0,
            score_offset: 0.0,
            slow_start_budget: 0.0,
            budget_updated_at: now,
            remote_load: 0.0,
        }
    }

    /// This node's connections here, with those of the process before it.
    pub fn connections(&self) -> f64 {
        self.calls.len() as f64 + self.predecessor_connections
    }

    /// What the host carries for this node now, in connections of the mean load.
    pub fn load(&self, mean_load: f64) -> f64 {
        if mean_load <= 0.0 {
            return self.connections();
        }
        self.reported_load / mean_load + self.connections() - f64::from(self.reported_count)
    }

    /// Brings the sum of work up to now. A connection that reported no load counts as the mean.
    pub fn update_work(&mut self, now: Time, mean_load: f64) {
        let unreported = self.connections() - f64::from(self.reported_count);
        let elapsed = now.since(self.work_updated_at).seconds();
        self.work += (self.reported_load + unreported * mean_load) * elapsed;
        self.work_updated_at = now;
    }

    /// Updates the smoothed load by the work since the last tick, `elapsed` seconds ago.
    pub fn smooth_load(&mut self, smoothing: f64, elapsed: f64) {
        let work_since = self.work - self.work_at_last_tick;
        self.smoothed_load = self.smoothed_load * (1.0 - smoothing) + work_since * smoothing / elapsed;
        self.work_at_last_tick = self.work;
    }

    /// Records the listed start; returns whether it differs from the one before. With clocks that differ, a host that
    /// has just started would look warm: it started no later than now, nor than the listed start and its uncertainty.
    pub fn record_start(&mut self, listed: Option<Time>, uncertainty: Span, now: Time) -> bool {
        if self.listed_start == listed {
            return false;
        }
        self.listed_start = listed;
        self.started_at =
            listed.map(|start| if uncertainty > Span::ZERO { now.min(start + uncertainty) } else { start });
        true
    }

    /// Share of its capacity that the host has for certain by now: it grows linearly to 1.
    pub fn slow_start_share(&self, slow_start: &SlowStart, now: Time) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let done = now.since(started_at).seconds() / slow_start.after.seconds().max(1e-9);
        slow_start.from + (1.0 - slow_start.from) * done.min(1.0)
    }

    /// Adds to the slow-start budget at `rate` attempts a second. What is not used within the window lapses, or all
    /// nodes would have a call ready for the same moment.
    pub fn fill_budget(&mut self, rate: f64, window: Span, now: Time) {
        self.slow_start_budget += rate * now.since(self.budget_updated_at).seconds();
        if self.slow_start_budget > 1.0 + rate * window.seconds() {
            self.slow_start_budget -= 1.0;
        }
        self.budget_updated_at = now;
    }

    /// Records by how many seconds a setup took too long; returns the mean of the last two, as a single one may have
    /// met a pause.
    pub fn record_setup_excess(&mut self, seconds: f64) -> Span {
        let previous = self.last_setup_excess;
        self.last_setup_excess = seconds.max(0.0);
        Span::from_seconds(0.5 * (previous + self.last_setup_excess))
    }

    /// Records what a probe took; returns the mean of the last two as a multiple of the usual.
    pub fn record_probe_time(&mut self, took: Span) -> f64 {
        let took = took.seconds().max(1e-6);
        let is_first = self.usual_probe_time <= 0.0;
        let usual = if is_first { took } else { self.usual_probe_time };
        let last = if is_first { took } else { self.last_probe_time };
        let counted = took.min(MAX_PROBE_TIME_RATIO * usual);
        self.usual_probe_time = usual + PROBE_TIME_SMOOTHING * (counted - usual);
        self.last_probe_time = took;
        0.5 * (took + last) / usual
    }

    /// What the next process of the node has to know of this host.
    pub fn snapshot(&self) -> HostSnapshot {
        HostSnapshot {
            host: self.id,
            open: self.connections(),
            smoothed: self.smoothed_load,
            limit: Some(self.load_limit).filter(|limit| limit.is_finite()),
            strain: self.overload_penalty,
            aside: self.ejection.is_some(),
            budget: self.slow_start_budget,
            held: self.remote_load,
            answers: self.usual_probe_time,
            nominal: Some(self.size),
        }
    }

    /// Adopts what the process before knew. An ejected host stays ejected until it answers probes.
    pub fn restore(&mut self, snapshot: &HostSnapshot, now: Time) {
        self.predecessor_connections = snapshot.open;
        self.smoothed_load = snapshot.smoothed;
        self.overload_penalty = snapshot.strain;
        self.load_limit = snapshot.limit.unwrap_or(f64::INFINITY);
        self.load_at_last_tick = snapshot.open;
        self.remote_load = snapshot.held;
        self.usual_probe_time = snapshot.answers;
        self.last_probe_time = snapshot.answers;
        self.slow_start_budget = snapshot.budget;
        self.budget_updated_at = now;
        if snapshot.aside {
            self.ejection_time = RESTORED_EJECTION;
            self.ejection = Some(Ejection { next_probe: now, probe_successes: 0 });
        }
    }
}
