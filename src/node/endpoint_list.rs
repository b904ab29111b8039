//! The endpoint list: its hosts, and when to ask for it.

use super::Node;
use crate::domain::{Condition, Endpoint, ListUpdate, Span, Time};
use crate::port::Port;
use crate::state::endpoint_watch::{FIRST_FETCH_BACKOFF, request_spread};
use crate::state::host::{Host, HostIndex, SlowStartBudget};
use crate::state::remote_connections::remote_load_per_size;
use crate::state::timers::WATCH_TIMER;
use crate::state::unit_hash::unit_hash;

/// Longest wait after failed requests, as a part of the poll interval.
const MAX_RETRY_SHARE: f64 = 0.3;
/// Part of the poll interval after which an unanswered request is repeated, and the longest wait between fetches.
const HALF_INTERVAL: f64 = 0.5;
/// Wait after the first failed request; it doubles.
const FIRST_RETRY: Span = Span::ms(250);
/// Failures after which the wait does not double any more.
const MAX_DOUBLINGS: u32 = 6;

impl Node {
    /// The endpoint list has answered or changed.
    pub fn endpoints_changed(
        &mut self,
        now: Time,
        update: ListUpdate,
        endpoints: &[Endpoint],
        port: &mut dyn Port,
    ) {
        self.now = now;
        if update != ListUpdate::Cached && self.endpoint_watch.is_requested() {
            self.endpoint_watch.record_answer();
        }
        if update != ListUpdate::Delta {
            self.drop_unlisted_hosts(endpoints);
        }
        for endpoint in endpoints {
            match self.host_index.get(&endpoint.host).copied() {
                Some(host) => self.update_host(host, endpoint),
                None => self.add_host(endpoint),
            }
        }
        self.update_panic_mode();
        self.assign_score_offsets();
        self.retry_waiting_calls(port);
    }

    fn drop_unlisted_hosts(&mut self, endpoints: &[Endpoint]) {
        for host in &mut self.hosts {
            if !endpoints.iter().any(|endpoint| endpoint.host == host.id) {
                host.condition = Condition::Gone;
            }
        }
    }

    fn update_host(&mut self, host_index: HostIndex, endpoint: &Endpoint) {
        let first_budget = self.first_budget(endpoint.host);
        let host = &mut self.hosts[host_index];
        if host.record_start(endpoint.started_at, self.settings.start_uncertainty, self.now) {
            host.slow_start_budget = SlowStartBudget::new(first_budget, self.now);
            host.remote_load = 0.0;
        }
        host.condition = endpoint.condition;
        host.zone = endpoint.zone;
        host.cell = endpoint.cell;
        host.kind = endpoint.kind;
        self.sizes.read_weight(host, endpoint.weight, self.settings.weight_kind);
    }

    /// The smoothed load of a new host starts at the others' mean. Unless it is cold, other nodes are assumed to have as
    /// much there for its size as elsewhere.
    fn add_host(&mut self, endpoint: &Endpoint) {
        let smoothed_loads = self.hosts.iter().map(|host| host.work.smoothed_rate).sum::<f64>();
        let mean_load = smoothed_loads / self.hosts.len().max(1) as f64;
        let host_index = self.hosts.len();
        self.host_index.insert(endpoint.host, host_index);
        let position = self.hosts_by_id.partition_point(|host| self.hosts[*host].id < endpoint.host);
        self.hosts_by_id.insert(position, host_index);
        let mut host = Host::new(endpoint, mean_load, self.now);
        host.slow_start_budget = SlowStartBudget::new(self.first_budget(endpoint.host), self.now);
        host.record_start(endpoint.started_at, self.settings.start_uncertainty, self.now);
        self.sizes.read_weight(&mut host, endpoint.weight, self.settings.weight_kind);
        let remote_load = host.size.0 * remote_load_per_size(&self.hosts);
        self.hosts.push(host);
        if endpoint.condition == Condition::Ready && self.slow_start_share(host_index) >= 1.0 {
            self.hosts[host_index].remote_load = remote_load;
        }
    }

    /// Lets nodes begin at different hosts: a node with fewer calls than ready hosts begins with every n-th host by id,
    /// from a start of its own.
    fn assign_score_offsets(&mut self) {
        let is_ready = |host: &Host| host.condition == Condition::Ready;
        let ready_hosts = self.hosts_by_id.iter().filter(|host| is_ready(&self.hosts[**host])).count();
        let step = ready_hosts.div_ceil(self.calls.len().max(1)).max(1);
        let mut turn = self.settings.node_index as usize;
        for host in self.hosts_by_id.iter().copied() {
            let host = &mut self.hosts[host];
            let draw = unit_hash(host.id.0, self.settings.node_index.into());
            host.score_offset = ((turn % step) as f64 + draw) / step as f64;
            turn += usize::from(host.condition == Condition::Ready);
        }
    }

    /// Asks for the list where it may have gone stale unnoticed; called once a second. While most hosts look bad or none
    /// is ready, the whole list is fetched, at growing waits; a request that nobody answers is repeated.
    pub(super) fn poll_endpoints(&mut self, port: &mut dyn Port) {
        let Some(poll_interval) = self.settings.poll_interval else { return };
        if self.hosts.is_empty() && self.endpoint_watch.is_new() {
            self.endpoint_watch.record_request();
            port.watch_endpoints();
        }
        self.fetch_if_suspicious(poll_interval, port);
        let request_age = self.now.since(self.endpoint_watch.request_at);
        if self.endpoint_watch.is_requested() && request_age > poll_interval.times(HALF_INTERVAL) {
            self.endpoint_watch.request_at = self.now;
            port.watch_endpoints();
        }
    }

    fn fetch_if_suspicious(&mut self, poll_interval: Span, port: &mut dyn Port) {
        let is_any_ready = self.hosts.iter().any(|host| host.condition == Condition::Ready);
        if is_any_ready && !self.is_in_panic_mode {
            self.endpoint_watch.fetch_backoff = FIRST_FETCH_BACKOFF;
            let spread = request_spread(&self.settings).times(self.random());
            self.endpoint_watch.fetch_at = self.now + spread;
        } else if self.now >= self.endpoint_watch.fetch_at {
            let longest = poll_interval.times(HALF_INTERVAL);
            let backoff = self.endpoint_watch.fetch_backoff.times(2.0).min(longest);
            self.endpoint_watch.fetch_backoff = backoff;
            self.endpoint_watch.fetch_at = self.now + backoff.times(self.jitter());
            port.fetch_endpoints();
        }
    }

    /// The timer of the next request has fired.
    pub(super) fn watch_timer_fired(&mut self, port: &mut dyn Port) {
        let watch = &mut self.endpoint_watch;
        if watch.is_due(self.now) {
            watch.record_request();
            port.watch_endpoints();
        }
    }

    /// A request for the list failed or the watch was lost. The waits grow and differ from node to node: nodes that ask
    /// again in step would keep the list's service crowded.
    pub fn watch_failed(&mut self, now: Time, port: &mut dyn Port) {
        self.now = now;
        self.endpoint_watch.record_failure();
        let Some(poll_interval) = self.settings.poll_interval else { return };
        let doublings = self.endpoint_watch.failures.min(MAX_DOUBLINGS);
        let backoff = FIRST_RETRY.times(f64::from(1u32 << doublings));
        let longest = poll_interval.times(MAX_RETRY_SHARE);
        let wait = backoff.min(longest).max(request_spread(&self.settings));
        let spread = self.second_half_jitter();
        self.endpoint_watch.request_at = now + wait.times(spread);
        port.set_timer(self.endpoint_watch.request_at, WATCH_TIMER);
    }
}
