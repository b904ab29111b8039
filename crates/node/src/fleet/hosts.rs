//! Hosts in the fleet's eyes: the endpoint list goes to the decisions, and hosts that they want out are left.

use std::collections::{BTreeMap, BTreeSet};

use glendeck::domain::{AttemptOutcome, Condition, HostId, ListUpdate, Span};
use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::policy::{Place, UnitName};
use nanorand::Rng;
use serde_json::Value;
use tracing::info;

use super::START;
use crate::config::host_id;
use crate::endpoint_list::{self, EndpointListUpdate};
use crate::service::Service;
use crate::timers::TimerEvent;

/// A node that has just started waits so long for a voter. A leader answers within a round trip once a link
/// is up, and links come up within a tick or two. Where none does: what the predecessor told last counts at
/// the leader for 3.5 s, and until then a host may be called empty because of it.
const FIRST_CONTACT: Span = Span::ms(4_000);

/// What a member knows of hosts.
#[derive(Default)]
pub(super) struct FleetHosts {
    /// The endpoint list, by the names that the fleet knows hosts by.
    endpoints: BTreeMap<UnitName, (Place, EndpointState)>,
    /// Hosts that the fleet wants out.
    avoided: BTreeMap<HostId, UnitName>,
    /// One connection leaves the avoided hosts so often.
    migration_interval: Span,
    /// The timer for the next of them is set.
    is_migrating: bool,
}

impl Service {
    /// Connections and attempts at hosts that the fleet wants out. All calls are gone through, but only while
    /// there are such hosts.
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

    /// Whether the node waits for a voter before it serves. From its list alone it knows which hosts are
    /// ready, and would go to one that the fleet has called empty. It does not wait for long: calls are
    /// served without a fleet too.
    pub(crate) fn waits_for_fleet(&self) -> bool {
        let Some(membership) = &self.membership else { return false };
        let is_recent = self.now.since(membership.began) < Span(START.0 + FIRST_CONTACT.0);
        !membership.fleet.is_current() && is_recent
    }

    /// Tells the decisions of an update of the endpoint list, which comes with its JSON for the hosts' names.
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
        self.tell_endpoints();
    }

    /// Tells the decisions the whole list as it is known.
    pub(super) fn tell_endpoints(&mut self) {
        let Some(membership) = &self.membership else { return };
        let endpoints = &membership.hosts.endpoints;
        if endpoints.is_empty() {
            return;
        }
        let endpoints = endpoints.iter().map(|(name, (place, state))| (name.clone(), place.clone(), *state));
        let endpoints: Vec<_> = endpoints.collect();
        self.tell_fleet(|fleet, now| fleet.hosts_listed(now, endpoints));
    }

    /// The list can no longer be had.
    pub(crate) fn endpoint_list_lost(&mut self) {
        self.tell_fleet(|fleet, now| fleet.list_lost(now));
    }

    /// Opens nothing new at these hosts, and migrates one connection from them in each interval.
    pub(super) fn avoid_hosts(&mut self, names: BTreeSet<UnitName>, interval: Span) {
        let Some(membership) = &mut self.membership else { return };
        info!(hosts = ?names, interval_ms = interval.0 / 1_000_000, "avoiding the hosts that the fleet wants out");
        let hosts = &mut membership.hosts;
        hosts.avoided = names.into_iter().map(|name| (host_id(&name.0), name)).collect();
        hosts.migration_interval = interval;
        let host_ids = hosts.avoided.keys().copied().collect();
        // Nodes that hear of it at once would migrate their first client at once.
        let first = interval.times(f64::from(membership.chance.generate::<f32>()));
        if !hosts.avoided.is_empty() && !hosts.is_migrating {
            hosts.is_migrating = true;
            self.timers.set(self.now + first, TimerEvent::MigrateFromDraining);
        }
        let now = self.now;
        let endpoints = self.hosts.set_drained_by_fleet(host_ids);
        self.with_node(|node, port| node.endpoints_changed(now, ListUpdate::Delta, &endpoints, port));
    }

    /// Migrates one connection from the hosts that the fleet wants out.
    pub(crate) fn migrate_from_avoided_hosts(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let hosts = &mut membership.hosts;
        if hosts.avoided.is_empty() {
            hosts.is_migrating = false;
            return;
        }
        self.timers.set(self.now + hosts.migration_interval, TimerEvent::MigrateFromDraining);
        if let Some(call) = self.hosts.next_to_migrate() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
    }
}

/// None for an entry of an unknown condition.
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
