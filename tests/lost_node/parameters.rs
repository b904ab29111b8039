//! Parameters of a simulated fleet and its clients.

/// Clients with a higher load than the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeavyClients {
    pub percent: u64,
    /// Their load, as a multiple of the others' load.
    pub factor: f64,
}

/// Groups of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Groups {
    /// Number of groups; 0 if clients have none.
    pub count: u64,
    /// Load on a host for each group that has connections there, in connections of the mean load.
    pub cost: f64,
}

/// Parameters of the nodes, hosts and clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetParameters {
    pub nodes: usize,
    pub hosts: usize,
    /// Connections of the mean load that fill a host.
    pub capacity: f64,
    /// Load of the clients' connections as a share of the hosts' capacity, not counting groups and setups.
    pub fill: f64,
    pub heavy_clients: HeavyClients,
    pub groups: Groups,
    /// Mean of the exponential lifetime of a client's first connection, and of half of its later ones; 200 ms
    /// are added.
    pub mean_lifetime_seconds: f64,
    /// Whether the node keeps running although its warm state is sent to the others.
    pub is_false_alarm: bool,
}
