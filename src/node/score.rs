//! The score of a host: this node's connections and their smoothed load, compared by the host's size.

use super::Node;
use crate::domain::WeightKind;
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

/// What a host pays once for a group, in connections. Deployments do not tell; 1 to 9 were tried.
const GROUP_COST: f64 = 5.0;
/// Other nodes' connections count twice where the list tells them: as connections, and as the load that comes with them,
/// which the list does not tell.
const REMOTE_CONNECTION_WEIGHT: f64 = 2.0;
/// Least size of a host, so that sizes can be divided by.
const MIN_SIZE: f64 = 1e-6;
/// Least load of a call, as a part of the mean, when its worth is judged.
const MIN_LOAD_SHARE: f64 = 0.1;

impl Node {
    /// Own connections plus smoothed load, in connections of the mean load.
    ///
    /// Where the list tells what all nodes have on a host, all nodes see the same late figure and would fill the same
    /// gap, each the whole of it. There the score is the mean of what all nodes have, and this node's own attempts since
    /// that list count as if every node had sent the same.
    fn score(&self, host_index: HostIndex) -> f64 {
        let host = &self.hosts[host_index];
        let smoothed = if self.loads.mean > 0.0 { host.work.smoothed_rate / self.loads.mean } else { 0.0 };
        let own = host.connections() + smoothed;
        let Some(remote) = self.sizes.remote_connections(host) else { return own };
        let node_count = f64::from(self.settings.node_count.max(1));
        let since_list = host.attempts_since_list[0] + host.attempts_since_list[1];
        (own + REMOTE_CONNECTION_WEIGHT * remote) / node_count + self.settings.remote_share() * since_list
    }

    /// The score for each unit of size, raised while the host is overloaded. Hosts of another zone carry load of their
    /// own that this node does not see: as much as its own zone, where a crossing is dear.
    pub(super) fn relative_load(&self, host_index: HostIndex, remote_zone_load: f64) -> f64 {
        let host = &self.hosts[host_index];
        let crossing_cost =
            if host.zone == self.settings.zone { 0.0 } else { self.settings.crossing_cost().min(1.0) };
        let score = self.score(host_index) + self.settings.remote_share() * host.score_offset;
        (score / self.size(host_index) + crossing_cost * remote_zone_load) * (1.0 + host.overload.penalty)
    }

    /// Estimate of the other nodes' load for each unit of size, each with as much as this node in all. Nothing where the
    /// list tells it, which is in the score then.
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

    /// What the call itself adds: its load where that is known, and the cost of its group where the host has none of it.
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

    /// Load for each unit of size that hosts of other zones are assumed to carry unseen: each zone as much as this one,
    /// on its own hosts. Without this, a node beside few hosts would crowd these while others idle.
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
        let own_part = (1.0 - 2.0 * self.displaced_share()).max(0.0);
        let other_zones = f64::from(last_zone.max(self.settings.zone.0));
        local_score * own_part * other_zones / remote_size
    }

    /// What the host can do by now.
    pub(super) fn size(&self, host: HostIndex) -> f64 {
        self.hosts[host].size.0.max(MIN_SIZE) * self.slow_start_share(host)
    }

    /// What the host carries for this node now, in connections of the mean load.
    pub(super) fn load(&self, host: HostIndex) -> f64 {
        self.hosts[host].load(self.loads.mean)
    }

    /// The load to expect of a call, in connections of the mean load; 0 where no load was ever reported.
    pub(super) fn expected_load(&self, call_index: CallIndex) -> f64 {
        if self.loads.mean <= 0.0 {
            return 0.0;
        }
        let call = &self.calls[call_index];
        let class_mean = self.loads.mean_by_class[call.class_index()];
        let default_load = if class_mean > 0.0 { class_mean } else { self.loads.mean };
        call.load.unwrap_or(default_load) / self.loads.mean
    }

    /// Revenue of a call for its load.
    pub(super) fn worth(&self, call_index: CallIndex) -> f64 {
        let call = &self.calls[call_index];
        let class = call.class_index();
        let known_load = call.load.unwrap_or(self.loads.mean_by_class[class]);
        let load = known_load.max(MIN_LOAD_SHARE * self.loads.mean).max(1e-9);
        self.settings.classes[class].revenue / load
    }
}
