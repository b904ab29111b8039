//! Group affinity: connections of one group prefer the same hosts, the homes of the group. All nodes draw the
//! homes from the ids in the same way, by weighted rendezvous hashing: each of many nodes sees few of a
//! group's connections, and without a common order the nodes together would spread the group over every host.

use super::Node;
use crate::domain::{Condition, GroupId};
use crate::state::call::CallIndex;
use crate::state::host::{Host, HostIndex};
use crate::state::unit_hash::unit_hash;

/// Weight, in connections, of the similarity of all groups when one group's share of the traffic is
/// estimated: a node's few connections say little about a single group.
const PRIOR_CONNECTIONS: f64 = 20.0;
/// Number of hosts of one zone that a group must fill to get homes in each zone. For a smaller group, homes
/// in each zone cost more than crossing zones does, so it gets homes across all zones.
const MIN_HOSTS_FOR_ZONE_HOMES: f64 = 0.25;
/// Added to the expected number of homes before it is rounded down to the homes beyond the first.
const HOME_ROUNDING: f64 = 0.75;
/// Open share of the fleet below which calls wait for a home; scaled by the remote share, so it is lower with
/// few nodes.
const WAIT_BELOW_OPEN_SHARE: f64 = 0.95;

/// Weights of the hosts when the homes of one group are drawn.
struct HomeWeights {
    /// Weight of hosts in other zones; hosts in this node's zone have weight 1.
    remote_zone: f64,
    /// How far a cold host counts with its full size: 0 is only its current size, 1 its full size. In a large
    /// fleet, a cold host that counted with its current size would be home to no group while it warms up.
    full_size_share: f64,
}

impl Node {
    /// Whether the call waits for a home, or for a host that already has connections of its group. If calls
    /// whose homes are closed went to any host, every host would bear the cost of every group. So they wait
    /// unless nearly the whole fleet is open; the less of the traffic a node sees, the higher that threshold.
    pub(super) fn waits_for_home(&self, call_index: CallIndex) -> bool {
        let has_group = self.calls[call_index].call.group.is_some();
        has_group && self.fleet.open_share < WAIT_BELOW_OPEN_SHARE * self.settings.remote_share()
    }

    /// Orders the hosts for the call's group. A group has at least one home, and more homes with a larger
    /// share of the traffic.
    pub(super) fn order_homes(&mut self, call_index: CallIndex) {
        // Taken out of `self`, since the keys are computed from the rest of the node.
        let mut order = std::mem::take(&mut self.home_order);
        order.clear();
        if let Some(group) = self.calls[call_index].call.group {
            let traffic_share = self.group_traffic_share(group);
            let weights = HomeWeights {
                remote_zone: self.remote_zone_weight(traffic_share),
                full_size_share: self.settings.large_fleet_factor(),
            };
            order.keys.extend((0..self.hosts.len()).map(|host| self.home_key(group, host, &weights)));
            let usable_hosts = order.keys.iter().filter(|key| !key.is_infinite()).count() as u32;
            let expected_homes = self.fleet.open_share * traffic_share * f64::from(usable_hosts);
            order.set_home_count(1 + (expected_homes + HOME_ROUNDING) as usize);
            for (key, connections) in order.keys.iter_mut().zip(self.groups.connections_by_host(group)) {
                *key = if *connections > 0 { 0.0 } else { *key };
            }
        }
        self.home_order = order;
    }

    /// The group's share of the traffic, shrunk towards the similarity of this node's groups: the probability
    /// that two connections belong to the same group.
    fn group_traffic_share(&self, group: GroupId) -> f64 {
        let own = f64::from(self.groups.connections(group));
        (own + PRIOR_CONNECTIONS * self.groups.similarity) / (self.groups.total as f64 + PRIOR_CONNECTIONS)
    }

    /// Weight of hosts in other zones when homes are drawn; hosts in this zone have weight 1.
    fn remote_zone_weight(&self, traffic_share: f64) -> f64 {
        let is_local = |host: &&Host| host.zone == self.settings.zone && host.condition == Condition::Ready;
        let local_hosts = self.hosts.iter().filter(is_local).count();
        if traffic_share * (local_hosts as f64) < MIN_HOSTS_FOR_ZONE_HOMES {
            return 1.0;
        }
        let price_weight = 1.0 - self.settings.crossing_cost();
        let displaced_weight = self.displaced_share() / self.settings.remote_share().max(0.1);
        price_weight.max(displaced_weight).clamp(0.0, 1.0)
    }

    /// Key of a host in the group's order, lowest first; infinite if the host cannot be a home.
    fn home_key(&self, group: GroupId, host_index: HostIndex, weights: &HomeWeights) -> f64 {
        let host = &self.hosts[host_index];
        let zone_weight = if host.zone == self.settings.zone { 1.0 } else { weights.remote_zone };
        let size_share =
            weights.full_size_share + (1.0 - weights.full_size_share) * self.slow_start_share(host_index);
        let weight = zone_weight * host.size.0 * size_share;
        if host.condition != Condition::Ready || host.outlier.is_ejected() || weight <= 0.0 {
            return f64::INFINITY;
        }
        (1.0 - unit_hash(group.0, host.id.0)) / weight
    }
}
