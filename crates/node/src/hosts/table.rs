//! What is known of each host, and which calls have an open connection there.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use glendeck::domain::{CallId, Condition, Endpoint, HostId, ListUpdate};
use rustc_hash::FxHashMap;

use crate::endpoint_list::EndpointListUpdate;

struct KnownHost {
    address: SocketAddr,
    /// As listed, and gone once a complete list lacks the host.
    condition: Condition,
    /// What the list said of it last.
    listed: Option<Endpoint>,
    /// Calls whose connection is open there.
    open: BTreeSet<CallId>,
}

impl KnownHost {
    fn new(address: SocketAddr) -> KnownHost {
        KnownHost { address, condition: Condition::Ready, listed: None, open: BTreeSet::new() }
    }
}

/// Hosts by their ids, and those that the fleet drains.
#[derive(Default)]
pub(crate) struct HostTable {
    hosts: FxHashMap<HostId, KnownHost>,
    drained_by_fleet: BTreeSet<HostId>,
}

impl HostTable {
    /// Takes in an update of the endpoint list, and returns the hosts that have begun to drain.
    pub(crate) fn apply(&mut self, update: &EndpointListUpdate) -> Vec<HostId> {
        for (id, address) in &update.addresses {
            let host = self.hosts.entry(*id).or_insert_with(|| KnownHost::new(*address));
            host.address = *address;
        }
        let mut draining = Vec::new();
        for endpoint in &update.endpoints {
            let Some(host) = self.hosts.get_mut(&endpoint.host) else { continue };
            if endpoint.condition == Condition::Draining && host.condition == Condition::Ready {
                draining.push(endpoint.host);
            }
            host.condition = endpoint.condition;
            host.listed = Some(*endpoint);
        }
        if update.update == ListUpdate::Complete {
            let listed: BTreeSet<HostId> = update.endpoints.iter().map(|endpoint| endpoint.host).collect();
            for (_, host) in self.hosts.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                host.condition = Condition::Gone;
            }
        }
        draining
    }

    /// What the decisions are told of an endpoint: a host that the fleet drains is draining, whatever the
    /// list says.
    pub(crate) fn effective(&self, endpoint: &Endpoint) -> Endpoint {
        let is_drained =
            endpoint.condition == Condition::Ready && self.drained_by_fleet.contains(&endpoint.host);
        let condition = if is_drained { Condition::Draining } else { endpoint.condition };
        Endpoint { condition, ..*endpoint }
    }

    /// Takes in which hosts the fleet drains, and returns the endpoints that this has changed.
    pub(crate) fn set_drained_by_fleet(&mut self, hosts: BTreeSet<HostId>) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.drained_by_fleet, hosts);
        let changed = before.symmetric_difference(&self.drained_by_fleet);
        let listed = changed.filter_map(|id| self.hosts.get(id)?.listed);
        listed.map(|endpoint| self.effective(&endpoint)).collect()
    }

    /// An open connection to a host that the fleet drains, if there is one.
    pub(crate) fn next_to_migrate(&self) -> Option<CallId> {
        let mut open = self.drained_by_fleet.iter().filter_map(|id| self.hosts.get(id)?.open.first());
        open.next().copied()
    }

    /// Where a host listens.
    pub(crate) fn address(&self, id: HostId) -> Option<SocketAddr> {
        self.hosts.get(&id).map(|host| host.address)
    }

    /// Whether any listed host takes calls.
    pub(crate) fn any_ready(&self) -> bool {
        self.hosts.values().any(|host| host.condition == Condition::Ready)
    }

    /// The hosts in the list.
    pub(crate) fn listed(&self) -> impl Iterator<Item = HostId> {
        self.hosts.iter().filter(|(_, host)| host.condition != Condition::Gone).map(|(id, _)| *id)
    }

    /// The whole list as it is known, with this index.
    pub(crate) fn to_update(&self, index: u64) -> EndpointListUpdate {
        let mut endpoints = Vec::new();
        let mut addresses = Vec::new();
        for host in self.hosts.values().filter(|host| host.condition != Condition::Gone) {
            let Some(endpoint) = host.listed else { continue };
            endpoints.push(endpoint);
            addresses.push((endpoint.host, host.address));
        }
        EndpointListUpdate { index, update: ListUpdate::Complete, endpoints, addresses }
    }

    /// How many connections are open at a host.
    pub(crate) fn open_call_count(&self, id: HostId) -> usize {
        self.hosts.get(&id).map_or(0, |host| host.open.len())
    }

    /// The calls whose connections are open at a host.
    pub(crate) fn open_calls(&self, id: HostId) -> Vec<CallId> {
        self.hosts.get(&id).map(|host| host.open.iter().copied().collect()).unwrap_or_default()
    }

    /// Whether the list says that the host drains.
    pub(crate) fn is_leaving(&self, id: HostId) -> bool {
        self.hosts.get(&id).is_some_and(|host| host.condition == Condition::Draining)
    }

    /// Whether a new call may go there now.
    pub(crate) fn is_ready(&self, id: HostId) -> bool {
        let is_listed_ready = self.hosts.get(&id).is_some_and(|host| host.condition == Condition::Ready);
        is_listed_ready && !self.drained_by_fleet.contains(&id)
    }

    /// A connection has opened at a host.
    pub(crate) fn connection_opened(&mut self, id: HostId, call: CallId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.open.insert(call);
        }
    }

    /// A connection at a host has ended.
    pub(crate) fn connection_closed(&mut self, id: HostId, call: CallId) {
        if let Some(host) = self.hosts.get_mut(&id) {
            host.open.remove(&call);
        }
    }
}
