//! Admission and load shedding: whether a call is tried, waits for a host, or is answered at once.

use std::cmp::Reverse;

use super::Node;
use crate::domain::{Call, Span};
use crate::port::Port;
use crate::state::call::{CallIndex, InFlightCall, PossibleRun};
use crate::state::host::Host;
use crate::state::timers::QUEUE_TIMER;
use crate::state::unit_hash::unit_hash;

/// Longest wait until waiting calls are tried again: short against any setup target, and long enough to cost little CPU.
const MAX_RETRY_DELAY: Span = Span::ms(40);
/// Failures after which a round of waiting calls ends: in a small fleet, and by how many fewer in a large one.
const MAX_FAILURES_PER_ROUND: usize = 8;
const FEWER_FAILURES_IN_LARGE_FLEET: f64 = 6.0;
/// Returning clients are admitted up to this multiple of the part of the usual fleet that is left. Higher and lower ones
/// served fewer.
const READMISSION_FACTOR: f64 = 1.3;
/// Breaks of late from which a node takes it that part of the fleet was lost.
const MIN_RECENT_BREAKS: f64 = 0.3;

impl Node {
    /// Books a call as in flight. A heavy connection that was sent away would return looking like any other: what it
    /// asked for is remembered for the client's return.
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

    /// Raises all limits by one connection in sum. They were learnt while other nodes had connections there too, and
    /// would keep those nodes' clients out.
    fn raise_load_limits(&mut self) {
        for host in 0..self.hosts.len() {
            let small_fleet = self.settings.small_fleet_factor();
            let increase = small_fleet * self.size(host) / self.traffic.ready_size.max(1e-9);
            self.hosts[host].overload.load_limit += increase;
        }
    }

    /// Share of the in-flight calls that another node had before. When a node drains or dies, its clients come to one
    /// that prefers its own zone and keeps its limits. Nodes of a large fleet have too few calls to tell: 0 there.
    pub(super) fn displaced_share(&self) -> f64 {
        let displaced = self.traffic.displaced_beyond_usual(self.calls.len());
        self.settings.small_fleet_factor() * displaced / self.calls.len().max(1) as f64
    }

    /// Whether a returning client is turned away at once. When much of a large fleet is lost or cold, its clients return
    /// to the hosts that are left, and these go under. So a node on which connections broke just now admits returning
    /// clients only up to the part of its usual connections that the hosts can carry; the others hear when to return.
    pub(super) fn exceeds_remaining_capacity(&mut self, call_index: CallIndex) -> bool {
        let call = self.calls[call_index].call;
        let remaining_part =
            READMISSION_FACTOR * self.traffic.ready_size / self.traffic.usual_ready_size.max(1e-9);
        let is_new = !call.is_returning || call.is_mid_flow;
        if is_new || remaining_part >= 1.0 || self.traffic.recent_breaks < MIN_RECENT_BREAKS {
            return false;
        }
        let connections = self.hosts.iter().map(Host::connections).sum::<f64>();
        unit_hash(call.id.0, self.settings.node_index.into()) < self.settings.large_fleet_factor()
            && connections + self.random() > remaining_part * self.traffic.usual_connections.max(1.0)
    }

    /// Lets a call wait for a host. A timer makes sure that it is answered in time if none appears.
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

    /// Tries the waiting calls again: first what earns most for its load, then what waited longest.
    ///
    /// With many calls waiting, asking every host for each of them costs more CPU than a node has. Once a call that may
    /// go anywhere finds no host, or some others did not, the rest waits on.
    pub(super) fn retry_waiting_calls(&mut self, port: &mut dyn Port) {
        self.start_retry_round();
        let fewer_failures = (FEWER_FAILURES_IN_LARGE_FLEET * self.settings.large_fleet_factor()) as usize;
        let max_failures = MAX_FAILURES_PER_ROUND - fewer_failures;
        let mut failures = 0;
        let mut is_fleet_closed = false;
        while let Some(call_index) = self.waiting.retrying.pop() {
            self.calls[call_index].is_waiting = false;
            let is_round_over = is_fleet_closed || failures >= max_failures;
            if is_round_over && self.time_left(call_index) > Span::ZERO {
                self.requeue_or_answer(call_index, port);
                continue;
            }
            let may_go_anywhere = self.may_go_anywhere(call_index);
            let waiting_before = self.waiting.calls.len();
            self.forward(call_index, port);
            if self.waiting.calls.len() > waiting_before {
                failures += 1;
                is_fleet_closed |= may_go_anywhere;
            }
        }
    }

    fn start_retry_round(&mut self) {
        let mut round = std::mem::take(&mut self.waiting.calls);
        round.sort_unstable_by(|first, second| {
            let by_worth = self.worth(*first).total_cmp(&self.worth(*second));
            let arrival = |call_index: &CallIndex| Reverse(self.calls[*call_index].call.id);
            by_worth.then_with(|| arrival(first).cmp(&arrival(second)))
        });
        self.waiting.start_round(round);
    }

    fn may_go_anywhere(&self, call_index: CallIndex) -> bool {
        !self.waits_for_home(call_index)
            && self.calls[call_index].first_run.is_none()
            && self.expected_load(call_index) <= 1.0
    }

    /// Puts a call back, unless its turn to set up would come too late.
    fn requeue_or_answer(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        let turn_in = self.waiting.calls.len() as f64 * self.traffic.setup_time / self.setup_limit.limit;
        let is_too_late = self.setup_limit.is_reached() && self.time_left(call_index).seconds() < turn_in;
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
            // Clients that were turned away together return spread over the second half of the wait.
            let spread = self.second_half_jitter();
            port.reject(call_id, self.settings.retry_after.map(|longest| longest.times(spread)));
        } else {
            port.fail(call_id);
        }
        self.remove_call(call_index);
    }

    /// Forgets a call that is over.
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

    /// Adapts the limit of setups to one that took so long, or failed (`None`).
    pub(super) fn record_setup_time(&mut self, call_index: CallIndex, took: Option<Span>) {
        let class = self.calls[call_index].class_index();
        let target = self.settings.classes[class].setup_target.seconds();
        let share_of_target = took.map_or(f64::INFINITY, |took| took.seconds() / target.max(1e-3));
        self.setup_limit.record(share_of_target);
    }
}
