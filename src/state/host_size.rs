//! Turns the weights of the endpoint list into sizes of hosts and into what all nodes have on them.

use rustc_hash::FxHashMap;

use crate::domain::{Condition, Kind, Size, Weight, WeightKind};
use crate::state::host::Host;

/// Learns nominal sizes where listed weights fall with load.
#[derive(Default)]
pub(crate) struct SizeEstimator {
    /// The highest weight that any host of a kind has shown: that of an empty one.
    size_by_kind: FxHashMap<Kind, f64>,
    /// The fleet's connections for each one that its hosts report a core; 0 before it is known.
    connections_per_report: f64,
}

impl SizeEstimator {
    /// Reads a listed weight. Where weights fall with load they are not taken for sizes: loaded hosts would look small
    /// and cold ones large, and budgets, homes and all sums would wander with each list, alike at all nodes.
    pub(crate) fn read_weight(&mut self, host: &mut Host, weight: Weight, weights: WeightKind) {
        if weights == WeightKind::Sizes {
            host.size = Size(weight.0);
            host.reported_connections = None;
            return;
        }
        let shown = host.kind.map_or(host.size.0, |kind| *self.size_by_kind.entry(kind).or_default());
        host.size = Size(shown.max(weight.0));
        if let Some(kind) = host.kind {
            self.size_by_kind.insert(kind, host.size.0);
        }
        host.reported_connections = Some(host.size.0 / weight.0.max(1e-6) - 1.0);
        host.attempts_since_list = [0.0, host.attempts_since_list[0]];
    }

    /// Adopts the known sizes of the hosts, from before a change of settings or from another process.
    pub(crate) fn learn_sizes(&mut self, hosts: &[Host]) {
        for host in hosts {
            let Some(kind) = host.kind else { continue };
            let shown = self.size_by_kind.entry(kind).or_default();
            *shown = shown.max(host.size.0);
        }
    }

    /// Updates what one reported connection a core stands for: this node's own connections times the nodes, over all
    /// that is reported.
    pub(crate) fn tick(&mut self, hosts: &[Host], node_count: f64, connections: f64, smoothing: f64) {
        let listed = hosts.iter().filter(|host| host.condition != Condition::Gone);
        let reported: f64 = listed.filter_map(|host| host.reported_connections).sum();
        if reported > 0.0 {
            let per_report = connections * node_count / reported;
            self.connections_per_report += (per_report - self.connections_per_report) * smoothing;
        }
    }

    /// Connections of the other nodes on a host, where the list tells.
    pub(crate) fn remote_connections(&self, host: &Host) -> Option<f64> {
        let reported = host.reported_connections?;
        Some((reported * self.connections_per_report - host.connections()).max(0.0))
    }
}
