//! Derives hosts' sizes, and the connections that all nodes have on them, from listed weights.

use rustc_hash::FxHashMap;

use crate::domain::{Condition, Kind, Size, Weight, WeightKind};
use crate::state::host::Host;

/// Learns nominal sizes where listed weights decrease with load.
#[derive(Default)]
pub(crate) struct SizeEstimator {
    /// Highest weight seen on any host of a kind, taken as that of an empty host.
    size_by_kind: FxHashMap<Kind, f64>,
    /// Number of fleet connections that one reported connection per core stands for; 0 until known.
    connections_per_report: f64,
}

impl SizeEstimator {
    /// Applies a listed weight to the host. Weights that decrease with load are not used as sizes: loaded
    /// hosts would look small and cold ones large, and budgets, homes and all totals over the fleet would
    /// shift with each list, at all nodes alike.
    pub(crate) fn read_weight(&mut self, host: &mut Host, weight: Weight, weight_kind: WeightKind) {
        if weight_kind == WeightKind::Sizes {
            host.size = Size(weight.0);
            host.reported_connections = None;
            return;
        }
        let known_size = host.kind.map_or(host.size.0, |kind| *self.size_by_kind.entry(kind).or_default());
        host.size = Size(known_size.max(weight.0));
        if let Some(kind) = host.kind {
            self.size_by_kind.insert(kind, host.size.0);
        }
        host.reported_connections = Some(host.size.0 / weight.0.max(1e-6) - 1.0);
        host.attempts_since_list = [0.0, host.attempts_since_list[0]];
    }

    /// Adopts the hosts' sizes as known before a change of settings or from another process.
    pub(crate) fn learn_sizes(&mut self, hosts: &[Host]) {
        for host in hosts {
            let Some(kind) = host.kind else { continue };
            let known_size = self.size_by_kind.entry(kind).or_default();
            *known_size = known_size.max(host.size.0);
        }
    }

    /// Updates the number of connections that one reported connection per core stands for: this node's
    /// connections times the number of nodes, divided by the sum of all reports.
    pub(crate) fn tick(&mut self, hosts: &[Host], node_count: f64, connections: f64, smoothing: f64) {
        let listed = hosts.iter().filter(|host| host.condition != Condition::Gone);
        let reported: f64 = listed.filter_map(|host| host.reported_connections).sum();
        if reported > 0.0 {
            let per_report = connections * node_count / reported;
            self.connections_per_report += (per_report - self.connections_per_report) * smoothing;
        }
    }

    /// Connections of the other nodes on a host, if the list tells.
    pub(crate) fn remote_connections(&self, host: &Host) -> Option<f64> {
        let reported = host.reported_connections?;
        Some((reported * self.connections_per_report - host.connections()).max(0.0))
    }
}
