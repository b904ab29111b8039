//! The shape of a simulated fleet and its clients.

/// Some clients ask for more than the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HeavyClients {
    pub percent: u64,
    /// What they ask for, in multiples of the others.
    pub factor: f64,
}

/// Clients' groups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Groups {
    /// 0 for none.
    pub count: u64,
    /// What a host pays for each group, in connections of the mean load.
    pub cost: f64,
}

/// Nodes, hosts and clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shape {
    pub nodes: usize,
    pub hosts: usize,
    /// Connections of the mean load that fill a host.
    pub capacity: f64,
    /// How full all hosts are in the mean.
    pub fill: f64,
    pub heavy_clients: HeavyClients,
    pub groups: Groups,
    pub mean_stay_seconds: f64,
    /// The node lives on, though its warm state is told.
    pub is_false_alarm: bool,
}
