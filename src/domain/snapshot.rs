//! What a node leaves to its next process, and to other nodes should it be lost.

use super::{GroupId, HostId, Size, SubjectId};

/// What one process of a node leaves to the next, of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostSnapshot {
    /// Id of the host.
    pub host: HostId,
    /// Connections that are still open there.
    pub connections: f64,
    /// Smoothed load, in seconds of work a second.
    pub smoothed_load: f64,
    /// Load limit in connections of the mean load; `None` where none has shown.
    pub load_limit: Option<f64>,
    /// Overload penalty.
    pub overload_penalty: f64,
    /// It is ejected until it answers probes.
    pub is_ejected: bool,
    /// Slow-start budget, in attempts.
    pub slow_start_budget: f64,
    /// Estimate of other nodes' connections; 1 is what a unit of size usually carries.
    pub remote_load: f64,
    /// What its answers to probes usually take, in seconds.
    pub usual_probe_time: f64,
    /// Nominal size; `None` where a process before told none.
    pub size: Option<Size>,
}

/// What one process of a node leaves to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSnapshot {
    /// The hosts that it knows.
    pub hosts: Vec<HostSnapshot>,
    /// Loads by client, in seconds of work a second.
    pub loads: Vec<(SubjectId, f64)>,
    /// Mean load of a connection.
    pub mean_load: f64,
    /// Mean load by traffic class.
    pub mean_load_by_class: Vec<f64>,
    /// New clients a second.
    pub new_client_rate: f64,
    /// Connections for each unit of the ready hosts' size.
    pub connections_per_size: f64,
    /// Connections that the node usually has.
    pub usual_connections: f64,
    /// Size of all ready hosts.
    pub ready_size: f64,
    /// Size of all ready hosts as a rule.
    pub usual_ready_size: f64,
    /// What a setup usually takes, in seconds.
    pub setup_time: f64,
}

/// What a node that was lost knew, for those to whom its clients come: hints, never promises.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WarmState {
    /// Hosts that had some of each group.
    pub homes: Vec<(GroupId, HostId)>,
    /// What clients' connections asked for, in seconds of work a second.
    pub loads: Vec<(SubjectId, f64)>,
}
