//! The score of a host: this node's connections and their smoothed load, relative to the host's size.

use super::Node;
use crate::domain::WeightKind;
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

/// Cost of a group on a host that has none of its connections yet, in connections. Deployments do not state
/// it, so it is fixed.
const GROUP_COST: f64 = 5.0;
/// Weight of other nodes' connections where the list reports them: they count once as connections and once
/// for their load, which the list does not report.
const REMOTE_CONNECTION_WEIGHT: f64 = 2.0;
/// Minimum size of a host, so that dividing by sizes is safe.
const MIN_SIZE: f64 = 1e-6;
/// Minimum load of a call, as a share of the mean, when its revenue per load is computed.
const MIN_LOAD_SHARE: f64 = 0.1;

impl Node {
    /// Own connections plus the smoothed load as a multiple of a connection's mean load.
    ///
    /// Where the list reports the connections of all nodes on a host, all nodes see the same outdated figure,
    /// and each would fill the whole of the same gap. To prevent that, the score is the mean over all nodes
    /// there, and this node's attempts since that list count as if every node had sent as many.
    fn score(&self, host_index: HostIndex) -> f64 {
        let host = &self.hosts[host_index];
        let smoothed = if self.loads.mean > 0.0 { host.work.smoothed_rate / self.loads.mean } else { 0.0 };
        let own = host.connections() + smoothed;
        let Some(remote) = self.sizes.remote_connections(host) else { return own };
        let node_count = f64::from(self.settings.node_count.max(1));
        let since_list = host.attempts_since_list[0] + host.attempts_since_list[1];
        (own + REMOTE_CONNECTION_WEIGHT * remote) / node_count + self.settings.remote_share() * since_list
    }

    /// The score per unit of size, raised while the host is overloaded. Hosts of another zone carry load of
    /// that zone which this node does not see: the more expensive a crossing is, the more is assumed there,
    /// up to as much as in this node's zone.
    pub(super) fn relative_load(&self, host_index: HostIndex, remote_zone_load: f64) -> f64 {
        let host = &self.hosts[host_index];
        let crossing_cost =
            if host.zone == self.settings.zone { 0.0 } else { self.settings.crossing_cost().min(1.0) };
        let score = self.score(host_index) + self.settings.remote_share() * host.score_offset;
        (score / self.size(host_index) + crossing_cost * remote_zone_load) * (1.0 + host.overload.penalty)
    }

    /// Estimate of the other nodes' load per unit of size, assuming that each has as much as this node in
    /// total, scaled by the large-fleet factor. It is 0 where the list reports that load, since the score
    /// then includes it.
    pub(super) fn remote_load(&self, host_index: HostIndex) -> f64 {
        let host = &self.hosts[host_index];
        if host.reported_connections.is_some() {
            return 0.0;
        }
        let other_nodes = f64::from(self.settings.node_count.max(1)) - 1.0;
        let large_fleet = self.settings.large_fleet_factor();
        large_fleet * other_nodes * self.traffic.connections_per_size * host.remote_load
            / self.size(host_index)
    }

    /// Load that the call itself adds: its expected load, scaled by this node's share of the traffic, and the
    /// cost of its group where the host has none of it.
    pub(super) fn added_load(&self, call_index: CallIndex, host: HostIndex) -> f64 {
        let remote_share = self.settings.remote_share();
        let size = self.size(host);
        let load = self.expected_load(call_index) * (1.0 - remote_share) / size;
        let distance = self.home_order.distance(host);
        if distance == 0.0 {
            return load;
        }
        let distance_factor =
            if distance <= 1.0 { 1.0 - remote_share } else { 1.0 - remote_share + remote_share * distance };
        let group = GROUP_COST * distance_factor;
        load + group * ((1.0 - remote_share) / size + remote_share / self.fleet.mean_size)
    }

    /// Load per unit of size that hosts of other zones are assumed to carry unseen: each zone as much as this
    /// one, on its own hosts, less with displaced clients. Without it, a node in a zone with few hosts would
    /// crowd them while others are idle. Zones are assumed to be numbered from 0 without gaps. With live
    /// weights, it is the mean score per unit of size of all available hosts.
    pub(super) fn remote_zone_load(&self) -> f64 {
        let is_reported = self.settings.weight_kind == WeightKind::Live;
        let mut local_score = 0.0;
        let mut local_size = 0.0;
        let mut remote_size = 0.0;
        let mut last_zone = 0;
        for host in (0..self.hosts.len()).filter(|host| self.is_available(*host)) {
            let zone = self.hosts[host].zone;
            let size = self.size(host);
            last_zone = last_zone.max(zone.0);
            if zone == self.settings.zone || is_reported {
                local_score += self.score(host);
                local_size += size;
            } else {
                remote_size += size;
            }
        }
        if is_reported {
            return local_score / local_size.max(1e-9);
        }
        if local_size <= 0.0 || remote_size <= 0.0 {
            return 0.0;
        }
        let own_share = (1.0 - 2.0 * self.displaced_share()).max(0.0);
        let other_zones = f64::from(last_zone.max(self.settings.zone.0));
        local_score * own_share * other_zones / remote_size
    }

    /// Current size of the host, which grows during slow start.
    pub(super) fn size(&self, host: HostIndex) -> f64 {
        self.hosts[host].size.0.max(MIN_SIZE) * self.slow_start_share(host)
    }

    /// Load that this node currently has on the host, as a multiple of a connection's mean load.
    pub(super) fn load(&self, host: HostIndex) -> f64 {
        self.hosts[host].load(self.loads.mean)
    }

    /// Expected load of a call, as a multiple of a connection's mean load; 0 if no load was ever reported.
    pub(super) fn expected_load(&self, call_index: CallIndex) -> f64 {
        if self.loads.mean <= 0.0 {
            return 0.0;
        }
        let call = &self.calls[call_index];
        let class_mean = self.loads.mean_by_class[call.class_index()];
        let default_load = if class_mean > 0.0 { class_mean } else { self.loads.mean };
        call.load.unwrap_or(default_load) / self.loads.mean
    }

    /// Revenue of a call per unit of load.
    pub(super) fn revenue_per_load(&self, call_index: CallIndex) -> f64 {
        let call = &self.calls[call_index];
        let class = call.class_index();
        let known_load = call.load.unwrap_or(self.loads.mean_by_class[class]);
        let load = known_load.max(MIN_LOAD_SHARE * self.loads.mean).max(1e-9);
        self.settings.classes[class].revenue / load
    }
}
