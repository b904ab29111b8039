//! Aggregates over the ready hosts, updated once per second.

/// Aggregates over the ready hosts.
pub(crate) struct FleetEstimate {
    /// Share of their total present capacity that belongs to hosts that accept new attempts.
    pub open_share: f64,
    /// Their mean present capacity: size, reduced during slow start.
    pub mean_size: f64,
    /// This node's load on usable hosts of its own zone, in connections of the mean load per unit of
    /// capacity.
    pub local_load_per_size: f64,
}

impl Default for FleetEstimate {
    fn default() -> FleetEstimate {
        FleetEstimate { open_share: 1.0, mean_size: 1.0, local_load_per_size: 0.0 }
    }
}
