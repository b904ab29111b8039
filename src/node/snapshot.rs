//! State that a node passes on to its next process, and to other nodes if it is lost.

use super::Node;
use crate::domain::{GroupId, HostId, NodeSnapshot, Size, SubjectId, Time, WarmState, WeightKind};
use crate::state::host::Host;

/// Tick count of a restored node: past the initial period, in which means are taken over all seconds so far.
const TICKS_AFTER_RESTORE: u64 = 50;
/// How long hosts with connections of a lost node's groups count as homes, in seconds.
const INHERITED_HOME_SECONDS: u32 = 10;
/// Only loads that differ from the mean by more than this share of it are passed to other nodes, which would
/// assume the mean anyway.
const MIN_LOAD_DEVIATION: f64 = 0.1;

impl Node {
    /// The state from which the next process continues.
    pub fn snapshot(&self) -> NodeSnapshot {
        NodeSnapshot {
            hosts: self.hosts.iter().map(Host::snapshot).collect(),
            loads: self.known_loads().collect(),
            ..self.traffic.snapshot(&self.loads)
        }
    }

    /// Adopts the state of the previous process; called after the endpoint list is known. A process without
    /// it would take hosts for empty and healthy, send cold hosts a second budget, and take the clients that
    /// the old process hands over for clients of another node.
    pub fn restore(&mut self, snapshot: &NodeSnapshot) {
        for host_snapshot in &snapshot.hosts {
            if let Some(host) = self.host_index.get(&host_snapshot.host) {
                self.hosts[*host].restore(host_snapshot, self.now);
            }
        }
        if self.settings.weight_kind == WeightKind::Live {
            self.restore_sizes(snapshot);
        }
        for (subject, load) in &snapshot.loads {
            self.load_cache.insert_local(*subject, *load);
        }
        self.traffic.restore(&mut self.loads, snapshot);
        self.ticks = TICKS_AFTER_RESTORE;
        self.update_panic_mode();
    }

    fn restore_sizes(&mut self, snapshot: &NodeSnapshot) {
        for host_snapshot in &snapshot.hosts {
            let Some(size) = host_snapshot.size else { continue };
            let Some(host) = self.host_index.get(&host_snapshot.host) else { continue };
            let host = &mut self.hosts[*host];
            let weight = host.size.0 / (1.0 + host.reported_connections.unwrap_or(0.0));
            host.size = Size(host.size.0.max(size.0));
            host.reported_connections = Some(host.size.0 / weight.max(1e-6) - 1.0);
        }
        self.sizes.learn_sizes(&self.hosts);
    }

    /// Sets how many connections the previous process now has at a host; `None` sets it for all hosts.
    pub fn set_predecessor_connections(&mut self, host: Option<HostId>, connections: f64) {
        for known in &mut self.hosts {
            if host.is_none_or(|host| host == known.id) {
                known.predecessor_connections = connections;
            }
        }
    }

    /// How many connections the previous process has, at all hosts together.
    pub fn predecessor_connections(&self) -> f64 {
        self.hosts.iter().map(|host| host.predecessor_connections).sum()
    }

    /// Hints for the nodes to which this node's clients go if it is lost: at most `limit` homes and `limit`
    /// loads. Loads that deviate most from the mean are kept.
    pub fn warm_state(&self, limit: usize) -> WarmState {
        let homes = self.groups.homes().map(|(group, host)| (group, self.hosts[host].id));
        let mut homes: Vec<(GroupId, HostId)> = homes.collect();
        homes.sort_unstable();
        homes.truncate(limit);
        let deviation = |load: f64| (load / self.loads.mean.max(1e-9) - 1.0).abs();
        let unexpected = self.known_loads().filter(|(_, load)| deviation(*load) > MIN_LOAD_DEVIATION);
        let mut loads: Vec<(SubjectId, f64)> = unexpected.collect();
        loads.sort_unstable_by(|first, second| {
            let by_deviation = deviation(second.1).total_cmp(&deviation(first.1));
            by_deviation.then(first.0.cmp(&second.0))
        });
        loads.truncate(limit);
        WarmState { homes, loads }
    }

    /// Loads by subject, first of connections that ended, then of open ones.
    fn known_loads(&self) -> impl Iterator<Item = (SubjectId, f64)> {
        let open = self.calls.iter().filter_map(|(_, call)| call.call.subject.zip(call.load));
        self.load_cache.local_loads().chain(open)
    }

    /// Adopts the hints of a lost node, whose clients come to this node and others.
    pub fn adopt_warm_state(&mut self, now: Time, warm_state: &WarmState) {
        self.now = now;
        for (group, host) in &warm_state.homes {
            if let Some(host) = self.host_index.get(host) {
                self.groups.inherit_home(*group, *host, INHERITED_HOME_SECONDS);
            }
        }
        for (subject, load) in &warm_state.loads {
            self.load_cache.insert_from_lost_node(*subject, *load);
        }
    }
}
