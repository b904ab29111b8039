//! Load limits of hosts, and shedding.
//!
//! An overloaded host serves nobody in time and drops connections, which return as even more work. So a host
//! gets no more load than it has coped with, and the load above that is shed at once.

use nanorand::Rng;

use super::Node;
use crate::domain::Span;
use crate::port::Port;
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

/// Growth of message times, in seconds per second, above which a host counts as stalled.
const STALL_GROWTH: f64 = 0.8;
/// Time within which a host's backlog is to be cleared, in seconds.
const BACKLOG_CLEAR_SECONDS: f64 = 0.8;
/// Share of the message target below which nothing is shed. Shedding only from a higher share had far higher
/// losses.
const HEALTHY_SHARE: f64 = 0.3;
/// Maximum share of a host's load that is shed at once, unless the host is stalled and no call has a group.
const MAX_SHED_SHARE: f64 = 0.5;
/// Load limits grow at least as fast as if they were at this multiple of the mean load.
const MEAN_LOAD_MULTIPLE: f64 = 1.5;
/// Open share of the fleet below which connections with a low revenue per load are shed first.
const NEARLY_CLOSED_SHARE: f64 = 0.6;
/// Number of connections drawn to find one with a low revenue per load.
const SHED_CANDIDATES: u32 = 6;

impl Node {
    /// Handles the time that a message takes at a host. If that time grows by some fraction of a second per
    /// second, the same fraction of the load is too much, and the backlog is to be cleared soon. Where hosts
    /// report message times, all nodes receive the same report; otherwise the time is this node's estimate
    /// from setups and probes.
    pub(super) fn record_message_time(&mut self, host_index: HostIndex, took: Span, port: &mut dyn Port) {
        let target = self.settings.message_target_seconds();
        let took = took.seconds();
        let load = self.load(host_index);
        let growth = self.hosts[host_index].overload.record_message_time(took, self.now);
        let is_stalled = growth > STALL_GROWTH;
        if !is_stalled {
            self.hosts[host_index].overload.raise_penalty(took / target);
        }
        if took < HEALTHY_SHARE * target {
            return;
        }
        // A stalled host does not show its capacity, and limits cut because of it would close the fleet. All
        // its connections are served sooner elsewhere, unless groups make moving them expensive.
        let max_share = if is_stalled && self.groups.total == 0 { 1.0 } else { MAX_SHED_SHARE };
        // Where most hosts are closed, a connection that leaves one only moves its load to another like it.
        let share = (growth + self.fleet.open_share * took / BACKLOG_CLEAR_SECONDS).clamp(0.0, max_share);
        let new_limit = if is_stalled { f64::INFINITY } else { load * (1.0 - growth.max(0.0)) };
        self.cut_load_limit(host_index, new_limit);
        self.shed(host_index, load * share, port);
    }

    /// Migrates connections until the given load, in connections, has left. Each one counts as at least one
    /// connection, as otherwise many light ones would leave for little load. A remainder below one connection
    /// is decided at random.
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

    /// Asks a client to connect again.
    pub(super) fn migrate(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        let call = &mut self.calls[call_index];
        call.is_migrating = true;
        port.migrate(call.call.id);
    }

    /// A connection's load as a multiple of the mean load; 1 if none was reported.
    fn reported_load(&self, call_index: CallIndex) -> f64 {
        let mean = self.loads.mean;
        self.calls[call_index].load.filter(|_| mean > 0.0).map_or(1.0, |load| load / mean)
    }

    /// Lowers a host's load limit to the given load and closes the host for a short time.
    pub(super) fn cut_load_limit(&mut self, host: HostIndex, load: f64) {
        self.hosts[host].overload.cut_limit(load, self.now);
    }

    /// Chooses a random connection. Where much of the fleet is closed, a connection that leaves does not soon
    /// find another host, so the one with the lowest revenue per load is chosen out of several random ones.
    fn choose_to_shed(&mut self, host: HostIndex) -> Option<CallIndex> {
        let mut chosen = self.random_open_call(host)?;
        let candidates = if self.fleet.open_share < NEARLY_CLOSED_SHARE { SHED_CANDIDATES } else { 1 };
        for _ in 1..candidates {
            let other = self.random_open_call(host)?;
            if self.revenue_per_load(other) < self.revenue_per_load(chosen) {
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

    /// Raises the limits of hosts that were not overloaded since the last tick.
    pub(super) fn grow_load_limits(&mut self) {
        for host_index in 0..self.hosts.len() {
            let load = self.load(host_index);
            let min_growth_load = MEAN_LOAD_MULTIPLE * self.fleet.local_load_per_size * self.size(host_index);
            self.hosts[host_index].overload.grow_limit(load, min_growth_load);
        }
    }
}
