//! Hosts as the fleet knows them: reports the endpoint list to the fleet logic, and migrates connections from
//! the hosts that the fleet drains.

use std::collections::{BTreeMap, BTreeSet};

use glendeck::domain::{AttemptOutcome, Condition, HostId, ListUpdate, Span};
use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::policy::{Place, UnitName};
use nanorand::Rng;
use serde_json::Value;
use tracing::info;

use super::START_OFFSET;
use crate::config::host_id;
use crate::endpoint_list::{self, EndpointListUpdate};
use crate::service::Service;
use crate::timers::TimerEvent;

/// Maximum wait of a new process for a voter that tells it the fleet's state. Links come up within two ticks,
/// and a leader then replies within a round trip. Without a reply the wait has to exceed 3.5 s: until then
/// the leader counts the predecessor's last report, and may declare a host empty because of it.
const FIRST_CONTACT_TIMEOUT: Span = Span::ms(4_000);

/// A member's knowledge of hosts.
#[derive(Default)]
pub(super) struct FleetHosts {
    /// The endpoint list, by the hosts' names in the fleet.
    endpoints: BTreeMap<UnitName, (Place, EndpointState)>,
    /// Hosts that the fleet drains, whatever their condition in the endpoint list. Nodes avoid them.
    avoided: BTreeMap<HostId, UnitName>,
    /// Interval between migrations of single connections from the avoided hosts.
    migration_interval: Span,
    /// The timer for the next migration is set.
    is_migration_scheduled: bool,
}

impl Service {
    /// Number of connections and attempts at each host that the fleet drains. Iterates over all calls, but
    /// only while there are such hosts.
    pub(super) fn connections_at_avoided_hosts(&self) -> Vec<(UnitName, u32)> {
        let Some(membership) = &self.membership else { return vec![] };
        let avoided = &membership.hosts.avoided;
        if avoided.is_empty() {
            return vec![];
        }
        let mut counts: BTreeMap<&UnitName, u32> = BTreeMap::new();
        for (_, call) in self.calls.iter() {
            let host = call.attempt.as_ref().map(|attempt| attempt.host);
            if let Some(name) = host.and_then(|host| avoided.get(&host)) {
                *counts.entry(name).or_default() += 1;
            }
        }
        counts.into_iter().map(|(name, count)| (name.clone(), count)).collect()
    }

    /// Whether the node waits for the fleet's state before it serves. By its endpoint list alone it would
    /// send attempts to a host that is listed as ready, but that the fleet has drained and found empty of
    /// connections. The wait is limited, as calls are served without a fleet too.
    pub(crate) fn waits_for_fleet(&self) -> bool {
        let Some(membership) = &self.membership else { return false };
        let is_recent =
            self.now.since(membership.time_origin) < Span(START_OFFSET.0 + FIRST_CONTACT_TIMEOUT.0);
        !membership.fleet.is_current() && is_recent
    }

    /// Reports an update of the endpoint list to the fleet logic. The hosts' names are read from its JSON.
    pub(crate) fn update_fleet_hosts(&mut self, update: &EndpointListUpdate, json: &Value) {
        let Some(membership) = &mut self.membership else { return };
        let endpoints = &mut membership.hosts.endpoints;
        if update.update == ListUpdate::Complete {
            endpoints.clear();
        }
        for entry in json["endpoints"].as_array().into_iter().flatten() {
            if let Some((name, place, state)) = decode_endpoint(entry) {
                endpoints.insert(name, (place, state));
            }
        }
        self.report_endpoints();
    }

    /// Reports the whole known endpoint list to the fleet logic.
    pub(super) fn report_endpoints(&mut self) {
        let Some(membership) = &self.membership else { return };
        let endpoints = &membership.hosts.endpoints;
        if endpoints.is_empty() {
            return;
        }
        let endpoints = endpoints.iter().map(|(name, (place, state))| (name.clone(), place.clone(), *state));
        let endpoints: Vec<_> = endpoints.collect();
        self.with_fleet(|fleet, now| fleet.hosts_listed(now, endpoints));
    }

    /// Reports that a request to the discovery service failed, so that the endpoint list may be outdated.
    pub(crate) fn endpoint_list_lost(&mut self) {
        self.with_fleet(|fleet, now| fleet.list_lost(now));
    }

    /// Stops opening connections to these hosts, and migrates one connection from them per interval.
    pub(super) fn avoid_hosts(&mut self, names: BTreeSet<UnitName>, interval: Span) {
        let Some(membership) = &mut self.membership else { return };
        info!(hosts = ?names, interval_ms = interval.0 / 1_000_000, "avoiding the hosts that the fleet drains");
        let hosts = &mut membership.hosts;
        hosts.avoided = names.into_iter().map(|name| (host_id(&name.0), name)).collect();
        hosts.migration_interval = interval;
        let host_ids = hosts.avoided.keys().copied().collect();
        // The first delay is random: all nodes learn of it at the same time, and must not migrate in step.
        let first = interval.times(f64::from(membership.rng.generate::<f32>()));
        if !hosts.avoided.is_empty() && !hosts.is_migration_scheduled {
            hosts.is_migration_scheduled = true;
            self.timers.set(self.now + first, TimerEvent::MigrateFromDraining);
        }
        let now = self.now;
        let endpoints = self.hosts.set_drained_by_fleet(host_ids);
        self.with_node(|node, port| node.endpoints_changed(now, ListUpdate::Delta, &endpoints, port));
    }

    /// Migrates one connection from the hosts that the fleet drains.
    pub(crate) fn migrate_from_avoided_hosts(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let hosts = &mut membership.hosts;
        if hosts.avoided.is_empty() {
            hosts.is_migration_scheduled = false;
            return;
        }
        self.timers.set(self.now + hosts.migration_interval, TimerEvent::MigrateFromDraining);
        if let Some(call) = self.hosts.next_to_migrate() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
    }
}

/// Returns `None` for an entry whose condition is unknown.
fn decode_endpoint(entry: &Value) -> Option<(UnitName, Place, EndpointState)> {
    let text = |key: &str| entry[key].as_str().unwrap_or_default().to_owned();
    let state = match endpoint_list::condition(entry)? {
        Condition::Ready => EndpointState::Ready,
        Condition::Draining => EndpointState::Draining,
        Condition::Gone => EndpointState::Gone,
    };
    let cell = entry["group"].as_u64().map(|cell| cell.to_string()).unwrap_or_default();
    let place = Place { zone: text("zone"), cell, kind: text("type") };
    Some((UnitName(text("name")), place, state))
}
