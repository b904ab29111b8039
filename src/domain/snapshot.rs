//! State that a process of a node hands to its successor, and to other nodes if the node is lost.

use super::{GroupId, HostId, Size, SubjectId};

/// State of one host, as a process of a node hands it to its successor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostSnapshot {
    /// Id of the host.
    pub host: HostId,
    /// Connections and setups in progress at the host, of the process and its predecessor.
    pub connections: f64,
    /// Smoothed load, in seconds of work per second.
    pub smoothed_load: f64,
    /// Load limit, in connections of the mean load; `None` if none is known yet.
    pub load_limit: Option<f64>,
    /// Relative increase of the host's score for overload; 0 for none.
    pub overload_penalty: f64,
    /// Whether it is ejected until it answers probes.
    pub is_ejected: bool,
    /// Slow-start budget, in attempts.
    pub slow_start_budget: f64,
    /// Estimate of other nodes' connections, as a multiple of the usual connections per unit of size.
    pub remote_load: f64,
    /// Usual time that it takes to answer a probe, in seconds.
    pub usual_probe_time: f64,
    /// Nominal size; `None` in a snapshot by an early version, which has none.
    pub size: Option<Size>,
}

/// State that a process of a node hands to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSnapshot {
    /// The hosts that the process knows.
    pub hosts: Vec<HostSnapshot>,
    /// Loads by client, in seconds of work per second.
    pub loads: Vec<(SubjectId, f64)>,
    /// Mean load of a connection, in seconds of work per second.
    pub mean_load: f64,
    /// Mean load by traffic class, in seconds of work per second.
    pub mean_load_by_class: Vec<f64>,
    /// New clients per second.
    pub new_client_rate: f64,
    /// Connections per unit of nominal size of the ready hosts.
    pub connections_per_size: f64,
    /// Usual number of connections of the node.
    pub usual_connections: f64,
    /// Total present capacity of the ready hosts: their sizes, reduced during slow start.
    pub ready_size: f64,
    /// Usual total capacity of the ready hosts.
    pub usual_ready_size: f64,
    /// Usual setup time, in seconds.
    pub setup_time: f64,
}

/// State of a lost node for the nodes that its clients connect to. The entries are hints and may be wrong.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WarmState {
    /// Hosts that had connections of each group.
    pub homes: Vec<(GroupId, HostId)>,
    /// Loads by client, in seconds of work per second.
    pub loads: Vec<(SubjectId, f64)>,
}
