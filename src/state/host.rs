//! State that a node keeps about one host.

mod outlier;
mod overload;
mod probe_times;
mod slow_start_budget;
mod work;

pub(crate) use outlier::OutlierState;
pub(crate) use overload::OverloadState;
pub(crate) use probe_times::ProbeTimes;
pub(crate) use slow_start_budget::SlowStartBudget;
pub(crate) use work::WorkMeter;

use crate::domain::{
    Cell, Condition, Endpoint, HostId, HostSnapshot, Kind, Size, SlowStart, Span, Time, Zone,
};
use crate::state::call::CallIndex;

/// Index of a host in the node's table of hosts. Hosts are never removed.
pub(crate) type HostIndex = usize;

/// A host and this node's connections to it.
pub(crate) struct Host {
    pub id: HostId,
    pub zone: Zone,
    pub cell: Cell,
    pub condition: Condition,
    /// Its capacity when warm and empty, relative to other hosts.
    pub size: Size,
    pub kind: Option<Kind>,
    /// Latest possible time of its last start.
    started_at: Option<Time>,
    /// When it last started, according to the list.
    listed_start: Option<Time>,
    /// Connections per core that all nodes have here, if the list tells.
    pub reported_connections: Option<f64>,
    /// Attempts sent here since the last list, and between that list and the previous one.
    pub attempts_since_list: [f64; 2],
    /// Calls with an attempt here, in arbitrary order.
    pub calls: Vec<CallIndex>,
    /// Setups in progress here.
    pub pending_setups: u32,
    /// Connections that the previous process of this node still has here.
    pub predecessor_connections: f64,
    /// Sum of the loads reported for connections here, in seconds of work per second.
    pub reported_load: f64,
    /// Number of connections here with a reported load.
    pub reported_count: u32,
    pub work: WorkMeter,
    pub outlier: OutlierState,
    pub overload: OverloadState,
    pub probe_times: ProbeTimes,
    pub slow_start_budget: SlowStartBudget,
    /// Part of a connection added to this node's score of the host, so that nodes begin at different hosts.
    pub score_offset: f64,
    /// Estimate of other nodes' connections here, as a multiple of the usual connections per unit of size.
    pub remote_load: f64,
}

impl Host {
    /// A host that is new in the list, with the smoothed load to start from.
    pub(crate) fn new(endpoint: &Endpoint, smoothed_load: f64, now: Time) -> Host {
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
            work: WorkMeter::new(smoothed_load, now),
            outlier: OutlierState::new(now),
            overload: OverloadState::default(),
            probe_times: ProbeTimes::default(),
            slow_start_budget: SlowStartBudget::new(0.0, now),
            score_offset: 0.0,
            remote_load: 0.0,
        }
    }

    /// This node's connections and setups in progress here, including its previous process's connections.
    pub(crate) fn connections(&self) -> f64 {
        self.calls.len() as f64 + self.predecessor_connections
    }

    /// This node's current load on the host, in connections of the mean load.
    pub(crate) fn load(&self, mean_load: f64) -> f64 {
        if mean_load <= 0.0 {
            return self.connections();
        }
        self.reported_load / mean_load + self.connections() - f64::from(self.reported_count)
    }

    /// Updates the sum of work up to `now`. A connection without a reported load counts with the mean.
    pub(crate) fn update_work(&mut self, now: Time, mean_load: f64) {
        let unreported = self.connections() - f64::from(self.reported_count);
        self.work.update(self.reported_load + unreported * mean_load, now);
    }

    /// Records the listed start time; returns whether it differs from the previous one. Where clocks differ,
    /// a host that has just started could look warm, so the latest possible start is assumed: the listed one
    /// plus the uncertainty, but not later than now. Without uncertainty, it is the listed one.
    pub(crate) fn record_start(&mut self, listed: Option<Time>, uncertainty: Span, now: Time) -> bool {
        if self.listed_start == listed {
            return false;
        }
        self.listed_start = listed;
        self.started_at =
            listed.map(|start| if uncertainty > Span::ZERO { now.min(start + uncertainty) } else { start });
        true
    }

    /// Share of its capacity that the host certainly has by now; it grows linearly to 1.
    pub(crate) fn slow_start_share(&self, slow_start: &SlowStart, now: Time) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = now.since(started_at).seconds() / slow_start.duration.seconds().max(1e-9);
        slow_start.initial_share + (1.0 - slow_start.initial_share) * progress.min(1.0)
    }

    /// State of this host for the node's next process.
    pub(crate) fn snapshot(&self) -> HostSnapshot {
        HostSnapshot {
            host: self.id,
            connections: self.connections(),
            smoothed_load: self.work.smoothed_rate,
            load_limit: Some(self.overload.load_limit).filter(|limit| limit.is_finite()),
            overload_penalty: self.overload.penalty,
            is_ejected: self.outlier.is_ejected(),
            slow_start_budget: self.slow_start_budget.attempts,
            remote_load: self.remote_load,
            usual_probe_time: self.probe_times.usual(),
            size: Some(self.size),
        }
    }

    /// Restores the state that the previous process handed over. An ejected host stays ejected until it
    /// answers probes.
    pub(crate) fn restore(&mut self, snapshot: &HostSnapshot, now: Time) {
        self.predecessor_connections = snapshot.connections;
        self.work.smoothed_rate = snapshot.smoothed_load;
        self.overload.restore(snapshot.overload_penalty, snapshot.load_limit, snapshot.connections);
        self.remote_load = snapshot.remote_load;
        self.probe_times = ProbeTimes::from_usual(snapshot.usual_probe_time);
        self.slow_start_budget = SlowStartBudget::new(snapshot.slow_start_budget, now);
        if snapshot.is_ejected {
            self.outlier.restore_ejection(now);
        }
    }
}
