//! Sums over the ready hosts, refreshed once a second.

/// What the ready hosts come to.
pub(crate) struct FleetEstimate {
    /// Share of their size that takes new attempts.
    pub open_share: f64,
    /// Their mean size.
    pub mean_size: f64,
    /// This node's load on usable hosts of its own zone, in connections for each unit of size.
    pub local_load_per_size: f64,
}

impl Default for FleetEstimate {
    fn default() -> FleetEstimate {
        FleetEstimate { open_share: 1.0, mean_size: 1.0, local_load_per_size: 0.0 }
    }
}
