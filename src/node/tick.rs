//! Periodic work, once a second.

use super::Node;
use crate::domain::{Condition, Span};
use crate::port::Port;
use crate::state::timers::{TICK_PERIOD, TICK_TIMER};

/// Smoothing factor of a host's load, from the paper named in docs/design.md.
const LOAD_SMOOTHING: f64 = 0.06;
/// Minimum smoothing factor of the similarity of groups.
const MIN_GROUP_SMOOTHING: f64 = 0.06;
/// Share of an overload penalty that remains after a second: half after 5 s, the time between two rebalancing
/// moves.
const PENALTY_DECAY: f64 = 0.87;
/// The same for a host without connections of this node, about which it hears nothing, good or bad.
const UNSEEN_PENALTY_DECAY: f64 = 0.97;
/// Share of the counts of recent attempts and breaks that remains after a second.
const RECENT_DECAY: f64 = 0.8;
/// Ticks between two generations of the load cache.
const LOAD_CACHE_PERIOD: u64 = 30;
/// Ticks between two rebalancing moves.
const REBALANCE_PERIOD: u64 = 5;

impl Node {
    /// Updates all estimates, sends probes, polls the endpoint list, and rebalances.
    pub(super) fn tick(&mut self, port: &mut dyn Port) {
        let elapsed = self.now.since(self.last_tick).seconds().max(1e-3);
        self.last_tick = self.now;
        self.ticks += 1;
        self.update_hosts(elapsed);
        self.groups.tick((1.0 / self.ticks as f64).max(MIN_GROUP_SMOOTHING));
        self.traffic.fade(RECENT_DECAY);
        self.setup_limit.decay();
        self.fill_budgets(elapsed);
        self.update_remote_load(elapsed);
        if self.ticks.is_multiple_of(LOAD_CACHE_PERIOD) {
            self.load_cache.rotate();
        }
        self.probe_hosts_in_service(port);
        self.probe_ejected_hosts(port);
        self.poll_endpoints(port);
        self.update_fleet_estimate();
        self.grow_load_limits();
        if self.ticks.is_multiple_of(REBALANCE_PERIOD) {
            self.rebalance(port);
        }
        port.set_timer(self.now + TICK_PERIOD, TICK_TIMER);
    }

    fn update_hosts(&mut self, elapsed: f64) {
        for host in &mut self.hosts {
            host.update_work(self.now, self.loads.mean);
            host.work.tick(LOAD_SMOOTHING, elapsed);
            host.outlier.tick();
            let is_unseen = host.calls.is_empty();
            host.overload.penalty *= if is_unseen { UNSEEN_PENALTY_DECAY } else { PENALTY_DECAY };
        }
    }

    /// Refreshes the estimate over all ready hosts.
    fn update_fleet_estimate(&mut self) {
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
            let is_usable = !host.outlier.is_ejected() && host.outlier.reject_backoff == Span::ZERO;
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
}
