//! The endpoint list: updates of the known hosts, and when to request the list.

use super::Node;
use crate::domain::{Condition, Endpoint, ListUpdate, Span, Time};
use crate::port::Port;
use crate::state::endpoint_watch::{FIRST_FETCH_BACKOFF, request_spread};
use crate::state::host::{Host, HostIndex, SlowStartBudget};
use crate::state::remote_connections::remote_load_per_size;
use crate::state::timers::WATCH_TIMER;
use crate::state::unit_hash::unit_hash;

/// Maximum backoff after failed requests, as a share of the poll interval; the request spread of a large
/// fleet may exceed it.
const MAX_RETRY_SHARE: f64 = 0.3;
/// Time after which an unanswered request is repeated, and maximum backoff between fetches before jitter, as
/// a share of the poll interval.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Base of the delay after failed requests; each failure doubles it.
const RETRY_DELAY_BASE: Span = Span::ms(250);
/// Number of failures after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 6;

impl Node {
    /// Handles a response or an update of the endpoint list.
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
        let initial_budget = self.initial_budget(endpoint.host);
        let host = &mut self.hosts[host_index];
        if host.record_start(endpoint.started_at, self.settings.start_uncertainty, self.now) {
            host.slow_start_budget = SlowStartBudget::new(initial_budget, self.now);
            host.remote_load = 0.0;
        }
        host.condition = endpoint.condition;
        host.zone = endpoint.zone;
        host.cell = endpoint.cell;
        host.kind = endpoint.kind;
        self.sizes.read_weight(host, endpoint.weight, self.settings.weight_kind);
    }

    /// Adds a host that the list names for the first time. Its smoothed load starts at the mean of the other
    /// hosts. If it is ready and warm, other nodes are assumed to have as much load there per unit of size as
    /// elsewhere.
    fn add_host(&mut self, endpoint: &Endpoint) {
        let smoothed_loads = self.hosts.iter().map(|host| host.work.smoothed_rate).sum::<f64>();
        let mean_load = smoothed_loads / self.hosts.len().max(1) as f64;
        let host_index = self.hosts.len();
        self.host_index.insert(endpoint.host, host_index);
        let position = self.hosts_by_id.partition_point(|host| self.hosts[*host].id < endpoint.host);
        self.hosts_by_id.insert(position, host_index);
        let mut host = Host::new(endpoint, mean_load, self.now);
        host.slow_start_budget = SlowStartBudget::new(self.initial_budget(endpoint.host), self.now);
        host.record_start(endpoint.started_at, self.settings.start_uncertainty, self.now);
        self.sizes.read_weight(&mut host, endpoint.weight, self.settings.weight_kind);
        let remote_load = host.size.0 * remote_load_per_size(&self.hosts);
        self.hosts.push(host);
        if endpoint.condition == Condition::Ready && self.slow_start_share(host_index) >= 1.0 {
            self.hosts[host_index].remote_load = remote_load;
        }
    }

    /// Sets score offsets that make nodes begin at different hosts: a node with fewer calls than ready hosts
    /// begins with every n-th host by id, starting from a host that depends on its node index.
    fn assign_score_offsets(&mut self) {
        let is_ready = |host: &Host| host.condition == Condition::Ready;
        let ready_hosts = self.hosts_by_id.iter().filter(|host| is_ready(&self.hosts[**host])).count();
        let step = ready_hosts.div_ceil(self.calls.len().max(1)).max(1);
        let mut rank = self.settings.node_index as usize;
        for host in self.hosts_by_id.iter().copied() {
            let host = &mut self.hosts[host];
            let draw = unit_hash(host.id.0, self.settings.node_index.into());
            host.score_offset = ((rank % step) as f64 + draw) / step as f64;
            rank += usize::from(host.condition == Condition::Ready);
        }
    }

    /// Requests the list when it may have become stale unnoticed; called once a second. Without any host, the
    /// first request does not wait for the node's offset. In panic mode or without a ready host, the whole
    /// list is fetched, with growing delays. A request without an answer is repeated.
    pub(super) fn poll_endpoints(&mut self, port: &mut dyn Port) {
        let Some(poll_interval) = self.settings.poll_interval else { return };
        if self.hosts.is_empty() && self.endpoint_watch.is_new() {
            self.endpoint_watch.record_request();
            port.watch_endpoints();
        }
        self.fetch_while_list_in_doubt(poll_interval, port);
        let request_age = self.now.since(self.endpoint_watch.request_at);
        if self.endpoint_watch.is_requested() && request_age > poll_interval.times(MAX_WAIT_SHARE) {
            self.endpoint_watch.request_at = self.now;
            port.watch_endpoints();
        }
    }

    fn fetch_while_list_in_doubt(&mut self, poll_interval: Span, port: &mut dyn Port) {
        let is_any_ready = self.hosts.iter().any(|host| host.condition == Condition::Ready);
        if is_any_ready && !self.is_in_panic_mode {
            self.endpoint_watch.fetch_backoff = FIRST_FETCH_BACKOFF;
            let spread = request_spread(&self.settings).times(self.random());
            self.endpoint_watch.fetch_at = self.now + spread;
        } else if self.now >= self.endpoint_watch.fetch_at {
            let longest = poll_interval.times(MAX_WAIT_SHARE);
            let backoff = self.endpoint_watch.fetch_backoff.times(2.0).min(longest);
            self.endpoint_watch.fetch_backoff = backoff;
            self.endpoint_watch.fetch_at = self.now + backoff.times(self.jitter());
            port.fetch_endpoints();
        }
    }

    /// Sends the next request if it is due; called when its timer fires.
    pub(super) fn watch_timer_fired(&mut self, port: &mut dyn Port) {
        let watch = &mut self.endpoint_watch;
        if watch.is_due(self.now) {
            watch.record_request();
            port.watch_endpoints();
        }
    }

    /// Handles a failed request for the list or a lost watch. The delays grow and differ between nodes: nodes
    /// that retried at the same times would keep the list's service overloaded.
    pub fn watch_failed(&mut self, now: Time, port: &mut dyn Port) {
        self.now = now;
        self.endpoint_watch.record_failure();
        let Some(poll_interval) = self.settings.poll_interval else { return };
        let doublings = self.endpoint_watch.failures.min(MAX_DOUBLINGS);
        let backoff = RETRY_DELAY_BASE.times(f64::from(1u32 << doublings));
        let longest = poll_interval.times(MAX_RETRY_SHARE);
        let wait = backoff.min(longest).max(request_spread(&self.settings));
        let spread = self.second_half_jitter();
        self.endpoint_watch.request_at = now + wait.times(spread);
        port.set_timer(self.endpoint_watch.request_at, WATCH_TIMER);
    }
}
