//! Last stage: the only place that sends attempts. Each attempt is checked here against four rules: no call
//! is lost, no effect happens twice, drains are respected, and all nodes together do not overload a cold
//! host.

use std::ops::ControlFlow;

use super::{Node, StageResult};
use crate::domain::{Condition, Span};
use crate::port::Port;
use crate::state::call::{AttemptEnd, AttemptSlot, CallIndex, PossibleRun};
use crate::state::host::HostIndex;

/// Share of the remaining time that an attempt may take, which leaves time for another.
const TIMEOUT_SHARE: f64 = 0.5;
/// Multiple of the recent setup time that an attempt may take.
const SETUP_TIME_MULTIPLE: f64 = 3.0;

impl Node {
    /// Sends an attempt to the chosen host.
    pub(super) fn send(&mut self, call_index: CallIndex, port: &mut dyn Port) -> StageResult {
        let host = self.calls[call_index].chosen_host;
        if !self.is_permitted(call_index, host) || !self.is_within_retry_budget(call_index) {
            return StageResult::Enqueue;
        }
        self.retries.record_attempt(&self.settings, self.now, self.calls[call_index].attempts);
        if self.slow_start_share(host) < 1.0 {
            self.hosts[host].slow_start_budget.attempts -= 1.0;
        }
        let timeout = self.attempt_timeout(call_index);
        self.traffic.recent_attempts += 1.0;
        let call = &mut self.calls[call_index];
        call.sent_at = self.now;
        call.is_established = false;
        call.setups_ahead = self.hosts[host].pending_setups;
        let call_id = call.call.id;
        self.hosts[host].pending_setups += 1;
        self.setup_limit.in_progress += 1;
        self.hosts[host].attempts_since_list[0] += 1.0;
        self.occupy_slot(call_index, host);
        port.send_attempt(call_id, self.hosts[host].id, timeout);
        StageResult::Continue
    }

    /// Whether an attempt keeps all rules; checked when a host is chosen and again before sending.
    pub(super) fn is_permitted(&self, call_index: CallIndex, host: HostIndex) -> bool {
        let call = &self.calls[call_index];
        call.outstanding.is_none()
            && !call.is_answered
            && call.attempts < self.settings.max_attempts
            && self.time_left(call_index) > Span::ZERO
            && self.hosts[host].condition == Condition::Ready
            && self.slow_start_allows(call_index, host)
            && self.may_repeat_on(call_index, host)
    }

    /// Time that the next attempt may take: the setup target, half of the remaining time (which leaves time
    /// for another attempt), or three times the recent setup time, whichever is longest, but never more than
    /// the remaining time. The last permitted attempt gets all of it. Where all setups are slow, hosts still
    /// work on an attempt that was cut off before they start the next one, so a shorter timeout would only
    /// add work.
    fn attempt_timeout(&self, call_index: CallIndex) -> Span {
        let call = &self.calls[call_index];
        let time_left = self.time_left(call_index);
        if call.attempts + 1 >= self.settings.max_attempts {
            return time_left;
        }
        let setup_target = self.settings.classes[call.class_index()].setup_target;
        let recent_setups = Span::from_seconds(SETUP_TIME_MULTIPLE * self.traffic.setup_time);
        time_left.times(TIMEOUT_SHARE).max(setup_target).max(recent_setups).min(time_left)
    }

    /// Records an outstanding attempt at a host.
    pub(super) fn occupy_slot(&mut self, call_index: CallIndex, host: HostIndex) {
        self.hosts[host].update_work(self.now, self.loads.mean);
        let call = &mut self.calls[call_index];
        call.attempts += 1;
        call.outstanding = Some(AttemptSlot { host, position: self.hosts[host].calls.len() });
        self.groups.count(call.call.group, host, 1);
        self.hosts[host].calls.push(call_index);
        self.count_load(call_index, host, 1.0);
    }

    /// First step of an attempt's end: frees its slot at the host.
    pub(super) fn release_slot(
        &mut self,
        call_index: CallIndex,
        end: AttemptEnd,
        _: &mut dyn Port,
    ) -> ControlFlow<()> {
        let Some(AttemptSlot { host, position }) = self.calls[call_index].outstanding.take() else {
            return ControlFlow::Break(());
        };
        if !end.was_established {
            self.hosts[host].pending_setups -= 1;
            self.setup_limit.in_progress -= 1;
        }
        self.hosts[host].update_work(self.now, self.loads.mean);
        self.hosts[host].calls.swap_remove(position);
        if let Some(moved) = self.hosts[host].calls.get(position).copied() {
            self.calls[moved].outstanding = Some(AttemptSlot { host, position });
        }
        self.count_load(call_index, host, -1.0);
        self.groups.count(self.calls[call_index].call.group, host, -1);
        let call = &mut self.calls[call_index];
        if !end.outcome.never_ran() && call.first_run.is_none() {
            call.first_run = Some(PossibleRun { host, sent_at: call.sent_at });
        }
        if !end.is_final {
            call.failed_hosts.push(host);
        }
        ControlFlow::Continue(())
    }

    /// Adds (`sign` 1) or subtracts (-1) a connection's load at a host.
    pub(super) fn count_load(&mut self, call_index: CallIndex, host: HostIndex, sign: f64) {
        self.hosts[host].update_work(self.now, self.loads.mean);
        self.loads.count(&mut self.hosts[host], self.calls[call_index].load, sign);
    }
}
