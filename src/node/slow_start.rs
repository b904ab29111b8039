//! Slow start: all nodes together must not push over a host that has just started. Each node sends it no more than its
//! own part of what the host can take, kept as a budget of attempts.

use super::Node;
use crate::domain::{Condition, HostId};
use crate::state::call::CallIndex;
use crate::state::host::{Host, HostIndex};
use crate::state::remote_connections::{FillLimit, redistribute};
use crate::state::unit_hash::unit_hash;

/// Lowest smoothing of the rate of new clients.
const RATE_SMOOTHING: f64 = 0.06;
/// Seconds that recent attempts are counted over: each second leaves four fifths.
const RECENT_ATTEMPTS_SECONDS: f64 = 5.0;
/// Fewer new clients a second than this say nothing of how many there are.
const MIN_NEW_CLIENT_RATE: f64 = 0.01;
/// Multiple of what fills a cold host once in its slow start.
const FILL_MULTIPLE: f64 = 3.0;
/// Part of a cold host's limit that new clients may add, who come by chance and in bursts.
const NEW_CLIENT_SHARE: f64 = 0.1;
/// Least calm for a budget, as a part of the slow-start share.
const MIN_CALM_SHARE: f64 = 0.67;

impl Node {
    /// Share of its capacity that a host has for certain by now.
    pub(super) fn slow_start_share(&self, host: HostIndex) -> f64 {
        self.hosts[host].slow_start_share(&self.settings.slow_start, self.now)
    }

    /// Whether the host is warm, or the call is within what this node may send it.
    pub(super) fn slow_start_allows(&self, call_index: CallIndex, host: HostIndex) -> bool {
        self.slow_start_share(host) >= 1.0
            || self.has_budget(host)
            || self.new_client_may_go(call_index, host)
    }

    /// Whether the budget allows an attempt. In a large fleet each node would have to save up for a whole call, and a
    /// cold host would stay empty: where a node's fair part is less than one connection, that part is enough to send
    /// one. In a rush all nodes together would push the host over so; then each needs a whole call saved up.
    fn has_budget(&self, host: HostIndex) -> bool {
        let fair_part = self.fleet.local_load_per_size * self.size(host);
        let fair_part = fair_part.clamp(1.0 - self.settings.remote_share(), 1.0);
        let required = fair_part + self.settings.shared_limit_factor() * (1.0 - fair_part);
        self.hosts[host].slow_start_budget.attempts >= if self.calm() >= 1.0 { required } else { 1.0 }
    }

    /// Half the allowed multiple of the usual arrivals over what wants a host now, as far as hosts are open; 1 at most.
    /// Below 1 there is a rush.
    fn calm(&self) -> f64 {
        let usual = 0.5
            * self.settings.slow_start.capacity_multiple
            * self.fleet.open_share
            * self.traffic.new_client_rate
            * RECENT_ATTEMPTS_SECONDS;
        let wanted = self.traffic.recent_attempts.max(1.0) + self.waiting.len() as f64;
        (usual / wanted).min(1.0)
    }

    /// Whether a new client may go to a cold host by chance. What a node saves up lapses, or a rush would spend it all
    /// at once; in a calm hardly a call meets a saved budget, and the host stays empty beside crowded ones. New clients
    /// do not come in rushes: of many nodes each sends a cold host such a part of them that all together send it what
    /// they may.
    fn new_client_may_go(&self, call_index: CallIndex, host: HostIndex) -> bool {
        let call = &self.calls[call_index].call;
        let fill_rate = self.traffic.connections_per_size * self.fill_per_second(host);
        let rate = fill_rate.min(NEW_CLIENT_SHARE * self.max_rate(host));
        let part = rate / self.traffic.new_client_rate.max(MIN_NEW_CLIENT_RATE);
        let draw = unit_hash(call.id.0, self.hosts[host].id.0 ^ u64::from(self.settings.node_index));
        let is_new = !call.is_returning && !call.is_mid_flow;
        is_new && draw < self.settings.large_fleet_factor().powi(2) * part
    }

    /// Updates the traffic statistics and adds to the budgets of cold hosts; called once a second.
    ///
    /// Calls that wait, or hosts that are lost, would raise what a host seems to carry, and with it what cold ones are
    /// sent: only established connections count, and the usual follows them slowly.
    pub(super) fn fill_budgets(&mut self, elapsed: f64) {
        let first = 1.0 / self.ticks as f64;
        self.traffic.update_rate(elapsed, first.max(RATE_SMOOTHING));
        let established = |host: &Host| host.connections() - f64::from(host.pending_setups);
        let connections = self.hosts.iter().map(established).sum::<f64>();
        let mut nominal_size = 0.0;
        let mut ready_size = 0.0;
        for host in 0..self.hosts.len() {
            if self.hosts[host].condition == Condition::Ready {
                nominal_size += self.hosts[host].size.0;
                ready_size += self.size(host);
            }
        }
        self.traffic.update_usual(connections, nominal_size, ready_size, first);
        let node_count = f64::from(self.settings.node_count);
        self.sizes.tick(&self.hosts, node_count, connections, first.max(RATE_SMOOTHING));
        let window_factor = 1.0 - 0.5 * self.settings.shared_limit_factor();
        let window = self.settings.slow_start.window.times(window_factor);
        for host in 0..self.hosts.len() {
            if self.slow_start_share(host) < 1.0 {
                let rate = self.budget_rate(host, nominal_size);
                self.hosts[host].slow_start_budget.fill(rate, window, self.now);
            }
        }
    }

    /// Attempts a second that this node may send a cold host: its part of what a host carries in the mean, times what
    /// the cold host can do by now and the multiple allowed.
    fn budget_rate(&self, host: HostIndex, nominal_size: f64) -> f64 {
        let slow_start_share = self.slow_start_share(host);
        let large_fleet = self.settings.large_fleet_factor();
        let size_share = self.hosts[host].size.0 / nominal_size.max(1e-6);
        let arrivals = size_share * self.traffic.new_client_rate;
        // Twice what a host carries came to half of the limit; nodes of a large fleet use up theirs: once.
        let by_arrivals =
            self.settings.slow_start.capacity_multiple * slow_start_share * arrivals * (2.0 - large_fleet);
        // In a rush all nodes use their budgets in full, and together would push the host over.
        let usual = large_fleet * self.traffic.connections_per_size * self.fill_per_second(host);
        let by_usual = self.calm().max(MIN_CALM_SHARE * slow_start_share) * usual;
        by_arrivals.max(by_usual).min(self.max_rate(host))
    }

    /// How much a second all nodes may send a cold host, in what a unit of size usually carries: three times the allowed
    /// multiple of what fills it once in its slow start. With few calls a node, most nodes let lapse what they saved up
    /// by their arrivals, and hosts that came back would stay empty.
    fn fill_per_second(&self, host: HostIndex) -> f64 {
        let slow_start = &self.settings.slow_start;
        FILL_MULTIPLE * slow_start.capacity_multiple * self.hosts[host].size.0
            / slow_start.duration.seconds().max(1e-9)
    }

    /// This node's part of the attempts a second that a cold host can take from all nodes, judged by what hosts carry
    /// where half of them is free. Budgets come due at even steps and lapse after half a window, which leaves room for
    /// new clients beside them.
    fn max_rate(&self, host: HostIndex) -> f64 {
        let node_count = f64::from(self.settings.node_count.max(1));
        let fill = self.fill_per_second(host) / FILL_MULTIPLE * self.slow_start_share(host);
        let allowed = fill * self.traffic.connections_per_size * node_count;
        let max_rate = self.settings.slow_start.max_rate(allowed);
        max_rate / (node_count * self.settings.shared_limit_factor().max(1e-9))
    }

    /// Advances the estimate of other nodes' connections. To a node with less than a connection a host, one that started
    /// just now looks like any other: connections elsewhere end as this node's do or with their host, and go to cold
    /// hosts first.
    pub(super) fn update_remote_load(&mut self, elapsed: f64) {
        let in_flight = (self.calls.len() as f64).max(1.0);
        let ending_share = (self.traffic.new_client_rate / in_flight * elapsed).min(1.0);
        let fill_limits: Vec<FillLimit> = (0..self.hosts.len())
            .map(|host| FillLimit {
                slow_start_share: self.slow_start_share(host),
                max_fill: self.fill_per_second(host) * elapsed,
            })
            .collect();
        redistribute(&mut self.hosts, ending_share, &fill_limits);
    }

    /// The budget that a host begins with. With the same one at all nodes, they would send a cold host their first call
    /// in one window: each starts another part of a call below zero; in a large fleet, below one.
    pub(super) fn first_budget(&self, host: HostId) -> f64 {
        let node_part = f64::from(self.settings.node_index) / f64::from(self.settings.node_count.max(1));
        let shared = self.settings.large_fleet_factor().max(self.settings.shared_limit_factor());
        shared * (node_part + unit_hash(host.0, 0)).fract() - (1.0 - shared) * node_part
    }
}
