//! Admission: whether a call is tried, waits for a host, or is answered at once to shed load.

use std::cmp::Reverse;

use super::Node;
use crate::domain::{Call, Span};
use crate::port::Port;
use crate::state::call::{CallIndex, InFlightCall, PossibleRun};
use crate::state::host::Host;
use crate::state::timers::QUEUE_TIMER;
use crate::state::unit_hash::unit_hash;

/// Maximum delay before waiting calls are tried again: short compared with any setup target, and long enough
/// to cost little CPU.
const MAX_RETRY_DELAY: Span = Span::ms(40);
/// Number of calls that return to the queue after which a round of waiting calls ends, in a small fleet.
const MAX_FAILURES_PER_ROUND: usize = 8;
/// Reduction of [`MAX_FAILURES_PER_ROUND`] in a large fleet.
const LARGE_FLEET_FAILURE_REDUCTION: f64 = 6.0;
/// Returning clients are admitted up to this multiple of the share of the usual fleet size that remains.
/// Higher and lower values served fewer clients.
const READMISSION_FACTOR: f64 = 1.3;
/// Decaying count of broken connections at which a node assumes that part of the fleet was lost.
const MIN_RECENT_BREAKS: f64 = 0.3;

impl Node {
    /// Records a call as in flight. A call without a known load gets that of its subject's previous
    /// connection, since a heavy connection that was migrated would otherwise look like any other when its
    /// client returns.
    pub(super) fn admit(&mut self, call: Call) -> CallIndex {
        let local_load = call.load.or_else(|| self.load_cache.local_load(call.subject?));
        let is_displaced = call.is_returning && local_load.is_none();
        let load = local_load.or_else(|| self.load_cache.lost_node_load(call.subject?));
        let first_run = call.prior_attempt.and_then(|(host, sent_at)| {
            let host = *self.host_index.get(&host)?;
            Some(PossibleRun { host, sent_at })
        });
        let in_flight = InFlightCall { is_displaced, first_run, ..InFlightCall::new(call, load, self.now) };
        let call_index = self.calls.insert(in_flight);
        self.call_index.insert(call.id, call_index);
        self.traffic.displaced_calls += f64::from(u8::from(is_displaced));
        if is_displaced && self.displaced_share() > 0.0 {
            self.raise_load_limits();
        }
        call_index
    }

    /// Raises the load limits of all hosts in proportion to their sizes, by about one connection in total
    /// over the ready hosts of a small fleet. The limits were learned while other nodes also had connections
    /// on these hosts, and would keep those nodes' clients out.
    fn raise_load_limits(&mut self) {
        for host in 0..self.hosts.len() {
            let small_fleet = self.settings.small_fleet_factor();
            let increase = small_fleet * self.size(host) / self.traffic.ready_size.max(1e-9);
            self.hosts[host].overload.load_limit += increase;
        }
    }

    /// Share of the in-flight calls, beyond the usual, that had a connection at another node: their client
    /// returns, but this node does not know its load. When a node drains or fails, its clients come to a node
    /// that prefers its own zone and keeps its load limits; this share relaxes both. It is 0 in a large
    /// fleet, where a node has too few calls to estimate it.
    pub(super) fn displaced_share(&self) -> f64 {
        let displaced = self.traffic.displaced_beyond_usual(self.calls.len());
        self.settings.small_fleet_factor() * displaced / self.calls.len().max(1) as f64
    }

    /// Whether a returning client is refused at once. When a large part of a large fleet is lost or cold, its
    /// clients return to the remaining hosts and overload them. So a node on which connections broke recently
    /// admits returning clients only up to the share of its usual connections that the hosts can carry; the
    /// others are told when to return. New clients and connections that are already open (`is_mid_flow`) are
    /// exempt.
    pub(super) fn exceeds_remaining_capacity(&mut self, call_index: CallIndex) -> bool {
        let call = self.calls[call_index].call;
        let remaining_share =
            READMISSION_FACTOR * self.traffic.ready_size / self.traffic.usual_ready_size.max(1e-9);
        let is_exempt = !call.is_returning || call.is_mid_flow;
        if is_exempt || remaining_share >= 1.0 || self.traffic.recent_breaks < MIN_RECENT_BREAKS {
            return false;
        }
        let connections = self.hosts.iter().map(Host::connections).sum::<f64>();
        unit_hash(call.id.0, self.settings.node_index.into()) < self.settings.large_fleet_factor()
            && connections + self.random() > remaining_share * self.traffic.usual_connections.max(1.0)
    }

    /// Puts a call into the waiting queue. A timer makes sure that it is answered in time if no host becomes
    /// available.
    pub(super) fn enqueue(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        self.calls[call_index].is_waiting = true;
        self.waiting.calls.push(call_index);
        let tick = self.settings.clock_granularity;
        let delay = self.time_left(call_index).clamp(tick, MAX_RETRY_DELAY.max(tick));
        let wakeup_at = self.now + delay;
        if self.waiting.wakeup_at.is_none_or(|earliest| wakeup_at < earliest) {
            self.waiting.wakeup_at = Some(wakeup_at);
            port.set_timer(wakeup_at, QUEUE_TIMER);
        }
    }

    /// Tries the waiting calls again, those with the highest revenue per load first, then the oldest first.
    ///
    /// With many calls waiting, checking every host for each of them costs more CPU than a node has. Once a
    /// call that accepts any host has returned to the queue, or several others have, the remaining calls keep
    /// waiting.
    pub(super) fn retry_waiting_calls(&mut self, port: &mut dyn Port) {
        self.start_retry_round();
        let reduction = (LARGE_FLEET_FAILURE_REDUCTION * self.settings.large_fleet_factor()) as usize;
        let max_failures = MAX_FAILURES_PER_ROUND - reduction;
        let mut failures = 0;
        let mut is_fleet_closed = false;
        while let Some(call_index) = self.waiting.retrying.pop() {
            self.calls[call_index].is_waiting = false;
            let is_round_over = is_fleet_closed || failures >= max_failures;
            if is_round_over && self.time_left(call_index) > Span::ZERO {
                self.requeue_or_answer(call_index, port);
                continue;
            }
            let accepts_any_host = self.accepts_any_host(call_index);
            let waiting_before = self.waiting.calls.len();
            self.forward(call_index, port);
            if self.waiting.calls.len() > waiting_before {
                failures += 1;
                is_fleet_closed |= accepts_any_host;
            }
        }
    }

    fn start_retry_round(&mut self) {
        let mut round = std::mem::take(&mut self.waiting.calls);
        round.sort_unstable_by(|first, second| {
            let by_revenue = self.revenue_per_load(*first).total_cmp(&self.revenue_per_load(*second));
            let arrival = |call_index: &CallIndex| Reverse(self.calls[*call_index].call.id);
            by_revenue.then_with(|| arrival(first).cmp(&arrival(second)))
        });
        self.waiting.start_round(round);
    }

    /// Whether neither a home, an attempt that may have run, nor a high load restricts the choice of host.
    fn accepts_any_host(&self, call_index: CallIndex) -> bool {
        !self.waits_for_home(call_index)
            && self.calls[call_index].first_run.is_none()
            && self.expected_load(call_index) <= 1.0
    }

    /// Requeues a call, or answers it if its turn to set up would come too late.
    fn requeue_or_answer(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        let expected_wait =
            self.waiting.calls.len() as f64 * self.traffic.setup_time / self.setup_limit.limit;
        let is_too_late =
            self.setup_limit.is_reached() && self.time_left(call_index).seconds() < expected_wait;
        if is_too_late {
            self.answer(call_index, port);
        } else {
            self.enqueue(call_index, port);
        }
    }

    /// Gives the call its final answer.
    pub(super) fn answer(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        let call_id = self.calls[call_index].call.id;
        if self.may_reject(call_index) {
            // Spreads the return of clients that are rejected together over the second half of the wait.
            let spread = self.second_half_jitter();
            port.reject(call_id, self.settings.retry_after.map(|longest| longest.times(spread)));
        } else {
            port.fail(call_id);
        }
        self.remove_call(call_index);
    }

    /// Removes a call that is over, and records its load for its class and for the client's return.
    pub(super) fn remove_call(&mut self, call_index: CallIndex) {
        let call = self.calls.remove(call_index);
        if let Some(load) = call.load {
            self.loads.record_class(call.class_index(), load);
            if let Some(subject) = call.call.subject {
                self.load_cache.insert_local(subject, load);
            }
        }
        self.call_index.remove(&call.call.id);
        self.traffic.displaced_calls -= f64::from(u8::from(call.is_displaced));
        if call.is_waiting {
            self.waiting.calls.retain(|waiting| *waiting != call_index);
        }
    }

    /// Adapts the setup limit to the duration of a setup; `None` means that the setup failed.
    pub(super) fn record_setup_time(&mut self, call_index: CallIndex, took: Option<Span>) {
        let class = self.calls[call_index].class_index();
        let target = self.settings.classes[class].setup_target.seconds();
        let share_of_target = took.map_or(f64::INFINITY, |took| took.seconds() / target.max(1e-3));
        self.setup_limit.record(share_of_target);
    }
}
