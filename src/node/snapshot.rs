//! What a node leaves to its next process, and to other nodes should it be lost.

use super::Node;
use crate::domain::{GroupId, HostId, NodeSnapshot, Size, SubjectId, Time, WarmState, WeightKind};
use crate::state::host::Host;

/// Ticks that a restored node counts as having run: past the time in which means are those of all seconds so far.
const TICKS_AFTER_RESTORE: u64 = 50;
/// How long hosts of a lost node's groups count as homes, in seconds.
const INHERITED_HOME_SECONDS: u32 = 10;
/// Loads closer to the mean than this part of it are what anybody would expect, and not told.
const MIN_LOAD_DEVIATION: f64 = 0.1;

impl Node {
    /// What the next process has to know to go on from here.
    pub fn snapshot(&self) -> NodeSnapshot {
        NodeSnapshot {
            hosts: self.hosts.iter().map(Host::snapshot).collect(),
            loads: self.known_loads().collect(),
            ..self.traffic.snapshot(&self.loads)
        }
    }

    /// Adopts what the process before knew; called after the endpoint list is known. A process that begins with nothing
    /// takes hosts for empty and known to be well, sends cold ones a second budget, and takes the clients that the old
    /// one sends over for another node's.
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

    /// Says how many connections the process before has at a host now; without a host, at all of them.
    pub fn set_predecessor_connections(&mut self, host: Option<HostId>, connections: f64) {
        for known in &mut self.hosts {
            if host.is_none_or(|host| host == known.id) {
                known.predecessor_connections = connections;
            }
        }
    }

    /// What clients of this node come back to, should it be lost: at most `limit` homes and `limit` loads, of the loads
    /// those that are furthest from what anybody would expect.
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

    /// Loads by client: of connections that ended, then of those that are open.
    fn known_loads(&self) -> impl Iterator<Item = (SubjectId, f64)> {
        let open = self.calls.iter().filter_map(|(_, call)| call.call.subject.zip(call.load));
        self.load_cache.local_loads().chain(open)
    }

    /// A node was lost, and its clients come to this one and others.
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
