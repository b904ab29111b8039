//! Mean load of connections, overall and by traffic class.

use crate::state::host::Host;

/// Smoothing factor of a class's mean load; averages over about twenty connections.
const CLASS_SMOOTHING: f64 = 0.05;

/// Sum and means of connections' loads, in seconds of work per second.
pub(crate) struct LoadStats {
    reported_load: f64,
    reported_count: u32,
    /// Mean reported load; 0 before the first report.
    pub mean: f64,
    /// Mean load by traffic class; 0 until the first call with a known load is over.
    pub mean_by_class: Vec<f64>,
}

impl LoadStats {
    /// Statistics without any report yet.
    pub(crate) fn new(classes: usize) -> LoadStats {
        LoadStats { reported_load: 0.0, reported_count: 0, mean: 0.0, mean_by_class: vec![0.0; classes] }
    }

    /// Adds (`sign` 1) or removes (-1) one connection's load at a host, if it was reported.
    pub(crate) fn count(&mut self, host: &mut Host, load: Option<f64>, sign: f64) {
        if let Some(load) = load {
            host.reported_load += sign * load;
            host.reported_count = host.reported_count.wrapping_add_signed(sign as i32);
            self.reported_load += sign * load;
            self.reported_count = self.reported_count.wrapping_add_signed(sign as i32);
        }
        if self.reported_count > 0 {
            self.mean = (self.reported_load / f64::from(self.reported_count)).max(0.0);
        }
    }

    /// Updates a class's mean with the load of a call that is over. It starts from the mean of all classes.
    pub(crate) fn record_class(&mut self, class_index: usize, load: f64) {
        let mean = &mut self.mean_by_class[class_index];
        if *mean <= 0.0 {
            *mean = self.mean;
        }
        *mean += CLASS_SMOOTHING * (load - *mean);
    }
}
