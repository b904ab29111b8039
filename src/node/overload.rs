//! Load limit of each host and shedding.
//!
//! A host past what it can do serves nobody in time, drops connections, and these return as more work still. It takes no
//! more than it coped with, and what it has above that leaves at once.

use nanorand::Rng;

use super::Node;
use crate::domain::{Condition, Span};
use crate::port::Port;
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

/// Growth of message times, in seconds a second, from which a host stands still.
const STANDSTILL_GROWTH: f64 = 0.8;
/// Time in which what has piled up at a host is to be gone, in seconds.
const CLEAR_TIME: f64 = 0.8;
/// Reports older than this, in seconds, say nothing of the growth since.
const MAX_REPORT_AGE: f64 = 1.5;
/// Highest overload penalty.
const MAX_PENALTY: f64 = 4.0;
/// Part of the message target below which all is well. Shedding from a higher one lost far more.
const HEALTHY_SHARE: f64 = 0.3;
/// Largest part of a host's load that is shed at once, unless it stands still.
const MAX_SHED_SHARE: f64 = 0.5;
/// What remains at least of the load at the last tick when a limit is cut.
const MIN_LIMIT_SHARE: f64 = 0.7;
/// How long an overloaded host gets nothing new: a little longer than the second between reports.
const CLOSED_AFTER_REPORT: Span = Span::ms(1200);
/// Growth of a limit a second.
const LIMIT_GROWTH: f64 = 0.02;
/// Load from which limits grow at least, in connections: where all broke, limit and mean are nothing, and nothing grows
/// from that.
const MIN_GROWTH_BASE: f64 = 0.1;
/// Multiple of the mean load from which limits grow at least.
const MEAN_LOAD_MULTIPLE: f64 = 1.5;
/// Open share of the fleet below which the connection that earns least for its load leaves first.
const NEARLY_CLOSED_SHARE: f64 = 0.6;
/// Connections drawn to find the one that earns least.
const SHED_CANDIDATES: u32 = 6;

impl Node {
    /// Adapts the limit of setups to one that took so long, or failed (`None`).
    pub(super) fn record_setup_time(&mut self, call_index: CallIndex, took: Option<Span>) {
        let class = self.calls[call_index].class_index();
        let target = self.settings.traffic[class].setup_target.seconds();
        let share_of_target = took.map_or(f64::INFINITY, |took| took.seconds() / target.max(1e-3));
        self.setup_limit.record(share_of_target);
    }

    /// Takes up a report of what a message takes at a host: when that time grows by so much a second, that share of the
    /// load is too much, and what has piled up is to be gone soon. All nodes hear the same.
    pub(super) fn record_message_time(&mut self, host_index: HostIndex, took: Span, port: &mut dyn Port) {
        let target = self.settings.message_target_seconds();
        let took = took.seconds();
        let load = self.load(host_index);
        let growth = self.message_time_growth(host_index, took);
        let stands_still = growth > STANDSTILL_GROWTH;
        let host = &mut self.hosts[host_index];
        let penalty = if stands_still { 0.0 } else { (took / target).min(MAX_PENALTY) };
        host.overload_penalty = host.overload_penalty.max(penalty);
        if took < HEALTHY_SHARE * target {
            return;
        }
        // A host that stands still shows nothing of what it can do, and limits cut by it would close the fleet. All
        // there is served sooner elsewhere, unless groups make that dear.
        let max_share = if stands_still && self.groups.total == 0 { 1.0 } else { MAX_SHED_SHARE };
        // Where most hosts are closed, what leaves one comes back to another like it.
        let share = (growth + self.fleet.open_share * took / CLEAR_TIME).clamp(0.0, max_share);
        let new_limit = if stands_still { f64::INFINITY } else { load * (1.0 - growth.max(0.0)) };
        self.cut_load_limit(host_index, new_limit);
        self.shed(host_index, load * share, port);
    }

    /// By how many seconds a second the message time has grown since the report before.
    fn message_time_growth(&mut self, host_index: HostIndex, took: f64) -> f64 {
        let host = &mut self.hosts[host_index];
        let age = self.now.since(host.message_time_at).seconds();
        let previous = if age < MAX_REPORT_AGE { host.message_time } else { 0.0 };
        host.message_time = took;
        host.message_time_at = self.now;
        (took - previous) / age.clamp(0.5, 1.0)
    }

    /// Migrates connections until so much load, in connections, has left. What leaves counts as one connection at the
    /// least, or many light ones would leave for little. A remainder below one connection is decided by chance.
    fn shed(&mut self, host: HostIndex, excess_load: f64, port: &mut dyn Port) {
        let mut remaining = excess_load;
        while remaining > 0.0 {
            let Some(call_index) = self.choose_to_shed(host) else { break };
            let load = self.reported_load(call_index).max(1.0);
            if remaining < load && self.random() * load >= remaining {
                break;
            }
            remaining -= load;
            self.migrate(call_index, port);
        }
    }

    /// Asks a client to connect anew.
    pub(super) fn migrate(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        let call = &mut self.calls[call_index];
        call.is_migrating = true;
        port.migrate(call.call.id);
    }

    /// A connection's load in connections of the mean load; 1 where none was reported.
    fn reported_load(&self, call_index: CallIndex) -> f64 {
        let mean = self.loads.mean;
        self.calls[call_index].load.filter(|_| mean > 0.0).map_or(1.0, |load| load / mean)
    }

    /// Lowers a host's limit and closes it for a moment. While a host empties, its load of the moment says nothing of
    /// what it can do, and a limit taken from that would keep it idle: so a second cuts it by three tenths at most.
    pub(super) fn cut_load_limit(&mut self, host_index: HostIndex, load: f64) {
        let host = &mut self.hosts[host_index];
        host.load_limit = host.load_limit.min(load.max(MIN_LIMIT_SHARE * host.load_at_last_tick));
        host.is_overloaded = true;
        host.overloaded_until = self.now + CLOSED_AFTER_REPORT;
    }

    /// A random connection; where much of the fleet is closed, of several drawn the one that earns least for its load,
    /// since what leaves then finds no place soon.
    fn choose_to_shed(&mut self, host: HostIndex) -> Option<CallIndex> {
        let mut chosen = self.random_open_call(host)?;
        let candidates = if self.fleet.open_share < NEARLY_CLOSED_SHARE { SHED_CANDIDATES } else { 1 };
        for _ in 1..candidates {
            let other = self.random_open_call(host)?;
            if self.worth(other) < self.worth(chosen) {
                chosen = other;
            }
        }
        Some(chosen)
    }

    /// A random open connection of this node at a host.
    pub(super) fn random_open_call(&mut self, host: HostIndex) -> Option<CallIndex> {
        let is_open = |call_index: &&CallIndex| self.calls[**call_index].is_open();
        let open_count = self.hosts[host].calls.iter().filter(is_open).count();
        if open_count == 0 {
            return None;
        }
        let position = self.rng.generate_range(0..open_count as u64) as usize;
        self.hosts[host].calls.iter().filter(is_open).nth(position).copied()
    }

    /// Refreshes the sums over the fleet.
    pub(super) fn update_fleet_estimate(&mut self) {
        let mut local_load = 0.0;
        let mut local_size = 0.0;
        let mut open_size = 0.0;
        let mut ready_size = 0.0;
        let mut ready_hosts = 0.0;
        for host_index in 0..self.hosts.len() {
            let host = &self.hosts[host_index];
            if host.condition != Condition::Ready {
                continue;
            }
            let size = self.size(host_index);
            let is_usable = host.ejection.is_none() && host.reject_backoff == Span::ZERO;
            if is_usable && host.zone == self.settings.zone {
                local_load += self.load(host_index);
                local_size += size;
            }
            if self.is_available(host_index) {
                open_size += size;
            }
            ready_size += size;
            ready_hosts += 1.0;
        }
        let has_ready_size = ready_size > 0.0;
        self.fleet.open_share = if has_ready_size { open_size / ready_size } else { 1.0 };
        self.fleet.mean_size = if has_ready_size { ready_size / ready_hosts } else { 1.0 };
        self.fleet.local_load_per_size = local_load / local_size.max(1e-9);
    }

    /// Lets the limits of hosts that were not overloaded since the last tick grow.
    pub(super) fn grow_load_limits(&mut self) {
        for host_index in 0..self.hosts.len() {
            let load = self.load(host_index);
            let mean_load = MEAN_LOAD_MULTIPLE * self.fleet.local_load_per_size * self.size(host_index);
            let host = &mut self.hosts[host_index];
            let was_overloaded = std::mem::take(&mut host.is_overloaded);
            if !was_overloaded && host.load_limit.is_finite() {
                host.load_limit += LIMIT_GROWTH * host.load_limit.max(mean_load).max(MIN_GROWTH_BASE);
            }
            host.load_at_last_tick = load;
        }
    }
}
