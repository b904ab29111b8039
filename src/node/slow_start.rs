//! Slow start: all nodes together must not overload a host that has just started. Each node sends it no more
//! than its own share of what the host can take, kept as a budget of attempts.

use super::Node;
use crate::domain::{Condition, HostId};
use crate::state::call::CallIndex;
use crate::state::host::{Host, HostIndex};
use crate::state::remote_connections::{FillLimit, redistribute};
use crate::state::unit_hash::unit_hash;

/// Minimum smoothing factor of the rate of new clients.
const MIN_RATE_SMOOTHING: f64 = 0.06;
/// Time that the count of recent attempts covers, in seconds: it falls to four fifths each second.
const RECENT_ATTEMPTS_SECONDS: f64 = 5.0;
/// Lower bound of the rate of new clients per second, since a lower rate is no usable estimate.
const MIN_NEW_CLIENT_RATE: f64 = 0.01;
/// Multiple of the rate that fills a cold host once during its slow start.
const FILL_MULTIPLE: f64 = 3.0;
/// Maximum share of a cold host's limit for new clients without budget, since they arrive at random and in
/// bursts.
const NEW_CLIENT_SHARE: f64 = 0.1;
/// Lower bound of the demand ratio when budgets are filled, as a share of the slow-start share.
const MIN_DEMAND_RATIO_SHARE: f64 = 0.67;

impl Node {
    /// Share of its capacity that a host is certain to have by now.
    pub(super) fn slow_start_share(&self, host: HostIndex) -> f64 {
        self.hosts[host].slow_start_share(&self.settings.slow_start, self.now)
    }

    /// Whether the host is warm, or the call is within what this node may send to a cold one.
    pub(super) fn slow_start_allows(&self, call_index: CallIndex, host: HostIndex) -> bool {
        self.slow_start_share(host) >= 1.0
            || self.has_budget(host)
            || self.allows_new_client(call_index, host)
    }

    /// Whether the budget allows an attempt. If each node of a large fleet had to save up for a whole
    /// attempt, a cold host would stay empty: where a node's fair share is less than one connection, that
    /// share is enough to send one. In a surge, all nodes together would overload the host that way; each
    /// then needs a whole attempt saved up.
    fn has_budget(&self, host: HostIndex) -> bool {
        let fair_share = self.fleet.local_load_per_size * self.size(host);
        let fair_share = fair_share.clamp(1.0 - self.settings.remote_share(), 1.0);
        let required = fair_share + self.settings.shared_limit_factor() * (1.0 - fair_share);
        self.hosts[host].slow_start_budget.attempts
            >= if self.usual_demand_ratio() >= 1.0 { required } else { 1.0 }
    }

    /// Ratio of the usual to the current demand of this node's calls, at most 1; below 1 there is a surge.
    /// The usual demand is half the slow-start multiple of the settings times the usual arrivals within
    /// [`RECENT_ATTEMPTS_SECONDS`], scaled by the open share of the fleet.
    fn usual_demand_ratio(&self) -> f64 {
        let usual = 0.5
            * self.settings.slow_start.capacity_multiple
            * self.fleet.open_share
            * self.traffic.new_client_rate
            * RECENT_ATTEMPTS_SECONDS;
        let current = self.traffic.recent_attempts.max(1.0) + self.waiting.len() as f64;
        (usual / current).min(1.0)
    }

    /// Whether a new client may go to a cold host at random, without budget. Saved budgets lapse, as a surge
    /// would otherwise spend them all at once; without a surge, hardly any call meets a saved budget, and the
    /// host would stay empty beside crowded ones. Surges consist of returning clients, not of new ones: each
    /// of many nodes sends a cold host such a share of its new clients that all nodes together send it what
    /// they may.
    fn allows_new_client(&self, call_index: CallIndex, host: HostIndex) -> bool {
        let call = &self.calls[call_index].call;
        let fill_rate = self.traffic.connections_per_size * self.fill_per_second(host);
        let rate = fill_rate.min(NEW_CLIENT_SHARE * self.max_rate(host));
        let allowed_share = rate / self.traffic.new_client_rate.max(MIN_NEW_CLIENT_RATE);
        let draw = unit_hash(call.id.0, self.hosts[host].id.0 ^ u64::from(self.settings.node_index));
        let is_new = !call.is_returning && !call.is_mid_flow;
        is_new && draw < self.settings.large_fleet_factor().powi(2) * allowed_share
    }

    /// Updates the traffic statistics and fills the budgets of cold hosts; called once a second.
    ///
    /// Only established connections count, and the usual values follow them slowly: waiting calls or lost
    /// hosts would otherwise raise what a host seems to carry, and with it what cold hosts are sent.
    pub(super) fn fill_budgets(&mut self, elapsed: f64) {
        let initial_smoothing = 1.0 / self.ticks as f64;
        self.traffic.update_rate(elapsed, initial_smoothing.max(MIN_RATE_SMOOTHING));
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
        self.traffic.update_usual(connections, nominal_size, ready_size, initial_smoothing);
        let node_count = f64::from(self.settings.node_count);
        self.sizes.tick(&self.hosts, node_count, connections, initial_smoothing.max(MIN_RATE_SMOOTHING));
        let window_factor = 1.0 - 0.5 * self.settings.shared_limit_factor();
        let window = self.settings.slow_start.window.times(window_factor);
        for host in 0..self.hosts.len() {
            if self.slow_start_share(host) < 1.0 {
                let rate = self.budget_rate(host, nominal_size);
                self.hosts[host].slow_start_budget.fill(rate, window, self.now);
            }
        }
    }

    /// Attempts per second that this node may send a cold host: the larger of a rate from the arrivals and a
    /// rate from what hosts usually carry, at most `max_rate`. The first is this node's share of a host's
    /// mean arrivals, times what the cold host can do by now and the slow-start multiple of the settings.
    fn budget_rate(&self, host: HostIndex, nominal_size: f64) -> f64 {
        let slow_start_share = self.slow_start_share(host);
        let large_fleet = self.settings.large_fleet_factor();
        let size_share = self.hosts[host].size.0 / nominal_size.max(1e-6);
        let arrivals = size_share * self.traffic.new_client_rate;
        // Twice the mean arrivals reach only half of the limit, so small fleets get that. Nodes of a large
        // fleet use up their budgets and get the mean arrivals once.
        let rate_from_arrivals =
            self.settings.slow_start.capacity_multiple * slow_start_share * arrivals * (2.0 - large_fleet);
        // In a surge, all nodes use up their budgets, and together would overload the host.
        let usual = large_fleet * self.traffic.connections_per_size * self.fill_per_second(host);
        let rate_from_usual =
            self.usual_demand_ratio().max(MIN_DEMAND_RATIO_SHARE * slow_start_share) * usual;
        rate_from_arrivals.max(rate_from_usual).min(self.max_rate(host))
    }

    /// How much per second all nodes together may send a cold host, in units of what a unit of size usually
    /// carries: three times the slow-start multiple of the rate that fills it once during its slow start.
    /// Without this, hosts that return would stay empty: with few calls per node, most nodes let the budget
    /// from their arrivals lapse.
    fn fill_per_second(&self, host: HostIndex) -> f64 {
        let slow_start = &self.settings.slow_start;
        FILL_MULTIPLE * slow_start.capacity_multiple * self.hosts[host].size.0
            / slow_start.duration.seconds().max(1e-9)
    }

    /// This node's share of the attempts per second that a cold host can take from all nodes, based on what
    /// hosts carry when half of their capacity is free; the less strictly nodes share the limit, the higher
    /// the rate. Budgets become available at even intervals and lapse after as little as half a window, which
    /// leaves room for new clients besides them.
    fn max_rate(&self, host: HostIndex) -> f64 {
        let node_count = f64::from(self.settings.node_count.max(1));
        let fill = self.fill_per_second(host) / FILL_MULTIPLE * self.slow_start_share(host);
        let allowed = fill * self.traffic.connections_per_size * node_count;
        let max_rate = self.settings.slow_start.max_rate(allowed);
        max_rate / (node_count * self.settings.shared_limit_factor().max(1e-9))
    }

    /// Advances the estimate of other nodes' connections. A node with less than one connection per host
    /// cannot tell a host that has just started from any other by its own connections. So connections
    /// elsewhere are assumed to end at the rate of this node's own or with their host, and to go to cold
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

    /// The initial budget of a host, in attempts. With equal initial budgets, all nodes would send a cold
    /// host their first call in the same window. So each node starts at a different value: between -1 and 0
    /// in a small fleet, between 0 and 1 in a large one.
    pub(super) fn initial_budget(&self, host: HostId) -> f64 {
        let node_fraction = f64::from(self.settings.node_index) / f64::from(self.settings.node_count.max(1));
        let shared = self.settings.large_fleet_factor().max(self.settings.shared_limit_factor());
        shared * (node_fraction + unit_hash(host.0, 0)).fract() - (1.0 - shared) * node_fraction
    }
}
