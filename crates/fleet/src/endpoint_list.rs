//! The endpoint list that this node has received.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::{Place, UnitName};
use crate::state::{EndpointState, Host, HostUpdate, ListedHost};

/// How long, in ms, the list must show a host as ready before it counts as ready; as long as a unit must be
/// silent to be lost.
const READY_MS: u64 = 5_000;

/// Maximum number of hosts in one log entry. A list of thousands is split, so that no entry saturates a link.
const MAX_UPDATES: usize = 100;

struct ListedEndpoint {
    place: Place,
    endpoint_state: EndpointState,
    since: Timestamp,
}

/// The endpoint list.
#[derive(Default)]
pub(crate) struct EndpointList {
    endpoints: BTreeMap<UnitName, ListedEndpoint>,
    is_connected: bool,
}

impl EndpointList {
    /// Replaces the whole list. Hosts that it no longer contains are kept as gone.
    pub(crate) fn replace(&mut self, now: Timestamp, listed: Vec<(UnitName, Place, EndpointState)>) {
        let mut before = std::mem::take(&mut self.endpoints);
        for (name, place, endpoint_state) in listed {
            let known = before.remove(&name).filter(|known| known.endpoint_state == endpoint_state);
            let since = known.map_or(now, |known| known.since);
            self.endpoints.insert(name, ListedEndpoint { place, endpoint_state, since });
        }
        for (name, mut endpoint) in before {
            if endpoint.endpoint_state != EndpointState::Gone {
                endpoint.endpoint_state = EndpointState::Gone;
                endpoint.since = now;
            }
            self.endpoints.insert(name, endpoint);
        }
        self.is_connected = true;
    }

    /// Records that discovery does not respond, so the list may be out of date.
    pub(crate) fn disconnect(&mut self) {
        self.is_connected = false;
    }

    /// Whether changes of the list are being received. A stale list would show only the first host of a
    /// rolling deploy as draining.
    pub(crate) fn is_current(&self) -> bool {
        self.is_connected
    }

    /// Whether a request to drain a host may be proposed.
    pub(crate) fn may_drain_hosts(&self) -> bool {
        self.is_connected || is_injected(InjectedFault::ListNotCounted)
    }

    /// The differences between this list and the replicated state, at most [`MAX_UPDATES`] hosts at once. A
    /// host that has been gone for `forget_ms` is removed.
    pub(crate) fn updates(
        &mut self,
        now: Timestamp,
        hosts: &BTreeMap<UnitName, Host>,
        forget_ms: u64,
    ) -> Vec<HostUpdate> {
        self.add_unlisted(now, hosts);
        let updates = self.endpoints.iter().filter_map(|(name, endpoint)| {
            let listed = endpoint.update_of(hosts.get(name), now, forget_ms)?;
            Some(HostUpdate { host: name.clone(), listed: listed.into() })
        });
        updates.take(MAX_UPDATES).collect()
    }

    /// Adds hosts of the replicated state that this list never contained, as gone since now.
    fn add_unlisted(&mut self, now: Timestamp, hosts: &BTreeMap<UnitName, Host>) {
        for (name, host) in hosts {
            self.endpoints.entry(name.clone()).or_insert_with(|| ListedEndpoint {
                place: host.place.clone(),
                endpoint_state: EndpointState::Gone,
                since: now,
            });
        }
    }
}

/// A change of one host.
enum EndpointUpdate {
    Set(ListedHost),
    Remove,
}

impl From<EndpointUpdate> for Option<ListedHost> {
    fn from(update: EndpointUpdate) -> Option<ListedHost> {
        match update {
            EndpointUpdate::Set(listed) => Some(listed),
            EndpointUpdate::Remove => None,
        }
    }
}

impl ListedEndpoint {
    /// The change to propose for this host, given its replicated state; `None` if there is none.
    fn update_of(&self, agreed: Option<&Host>, now: Timestamp, forget_ms: u64) -> Option<EndpointUpdate> {
        let unchanged_ms = now.ms_since(self.since);
        let is_agreed = |host: &Host| host.listed == self.endpoint_state && host.place == self.place;
        match self.endpoint_state {
            EndpointState::Gone => {
                let agreed = agreed?;
                if agreed.listed == EndpointState::Gone && unchanged_ms >= forget_ms {
                    return Some(EndpointUpdate::Remove);
                }
            }
            // A host that flaps between ready and draining must not count as ready each time.
            EndpointState::Ready if unchanged_ms < READY_MS => return None,
            EndpointState::Ready | EndpointState::Draining => {}
        }
        if agreed.is_some_and(is_agreed) {
            return None;
        }
        let listed = ListedHost { place: self.place.clone(), endpoint_state: self.endpoint_state };
        Some(EndpointUpdate::Set(listed))
    }
}
