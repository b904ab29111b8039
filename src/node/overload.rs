//! Load limit of each host and shedding.
//!
//! A host past what it can do serves nobody in time, drops connections, and these return as more work still. It takes no
//! more than it coped with, and what it has above that leaves at once.

use nanorand::Rng;

use super::Node;
use crate::domain::Span;
use crate::port::Port;
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

/// Growth of message times, in seconds a second, from which a host stands still.
const STANDSTILL_GROWTH: f64 = 0.8;
/// Time in which what has piled up at a host is to be gone, in seconds.
const CLEAR_TIME: f64 = 0.8;
/// Part of the message target below which all is well. Shedding from a higher one lost far more.
const HEALTHY_SHARE: f64 = 0.3;
/// Largest part of a host's load that is shed at once, unless it stands still.
const MAX_SHED_SHARE: f64 = 0.5;
/// Multiple of the mean load from which limits grow at least.
const MEAN_LOAD_MULTIPLE: f64 = 1.5;
/// Open share of the fleet below which the connection that earns least for its load leaves first.
const NEARLY_CLOSED_SHARE: f64 = 0.6;
/// Connections drawn to find the one that earns least.
const SHED_CANDIDATES: u32 = 6;

impl Node {
    /// Takes up a report of what a message takes at a host: when that time grows by so much a second, that share of the
    /// load is too much, and what has piled up is to be gone soon. All nodes hear the same.
    pub(super) fn record_message_time(&mut self, host_index: HostIndex, took: Span, port: &mut dyn Port) {
        let target = self.settings.message_target_seconds();
        let took = took.seconds();
        let load = self.load(host_index);
        let growth = self.hosts[host_index].overload.record_message_time(took, self.now);
        let stands_still = growth > STANDSTILL_GROWTH;
        if !stands_still {
            self.hosts[host_index].overload.raise_penalty(took / target);
        }
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

    /// Lowers a host's limit to a load and closes it for a moment.
    pub(super) fn cut_load_limit(&mut self, host: HostIndex, load: f64) {
        self.hosts[host].overload.cut_limit(load, self.now);
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

    /// Lets the limits of hosts that were not overloaded since the last tick grow.
    pub(super) fn grow_load_limits(&mut self) {
        for host_index in 0..self.hosts.len() {
            let load = self.load(host_index);
            let mean_load = MEAN_LOAD_MULTIPLE * self.fleet.local_load_per_size * self.size(host_index);
            self.hosts[host_index].overload.grow_limit(load, mean_load);
        }
    }
}
