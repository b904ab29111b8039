//! Outlier detection: hosts that fail are ejected until probes succeed, and return on trial.

use std::ops::ControlFlow;

use super::Node;
use crate::domain::{AttemptOutcome, Condition, HostId, Span, Time};
use crate::port::Port;
use crate::state::call::{AttemptEnd, CallIndex};
use crate::state::host::{Ejection, HostIndex};

/// The failure rate follows each result by this share. With the threshold, two failures in a row eject a host that was
/// well before, and one a host on trial.
const FAILURE_SMOOTHING: f64 = 0.3;
/// Failure rate above which a failing host is ejected.
const EJECTION_THRESHOLD: f64 = 0.5;
/// Failure rate of a host that returns from an ejection.
const TRIAL_FAILURE_RATE: f64 = 0.3;
/// Calls that a returning host gets one at a time.
const TRIAL_CALLS: u32 = 3;
/// Successful probes in a row that end an ejection.
const PROBES_TO_READMIT: u32 = 2;
const MIN_EJECTION: Span = Span::ms(1000);
const MAX_EJECTION: Span = Span::ms(8000);
/// Wait after a probe that succeeded.
const NEXT_PROBE_AFTER_SUCCESS: Span = Span::ms(500);
/// Part of an attempt that a probe counts as for a cold host.
const PROBE_COST: f64 = 0.1;
/// Breaks within a second, and their part of the host's connections as a divisor, that are no coincidence.
const MIN_BREAKS: u32 = 3;
const BREAK_DIVISOR: usize = 3;
const MIN_REJECT_BACKOFF: Span = Span::ms(200);
const MAX_REJECT_BACKOFF: Span = Span::ms(8000);
/// Probes of hosts in service for each new client.
const PROBES_PER_NEW_CLIENT: f64 = 3.0;

impl Node {
    /// Second step of an attempt's end: what it says of the host.
    pub(super) fn learn_from_attempt(
        &mut self,
        call_index: CallIndex,
        end: AttemptEnd,
        _: &mut dyn Port,
    ) -> ControlFlow<()> {
        let is_failed_setup = matches!(end.outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut);
        if !end.was_established && is_failed_setup {
            self.record_setup_time(call_index, None);
        }
        match (end.outcome, end.was_established) {
            (AttemptOutcome::Broken, true) => self.record_broken_connection(end.host),
            (
                AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Unreachable
                | AttemptOutcome::Broken,
                false,
            ) => self.record_failure(end.host),
            (AttemptOutcome::Rejected, _) => self.back_off_after_reject(end.host),
            (
                AttemptOutcome::Completed
                | AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Unreachable
                | AttemptOutcome::Canceled
                | AttemptOutcome::NeverSent,
                _,
            ) => {}
        }
        ControlFlow::Continue(())
    }

    /// A host that died takes all its connections along, and the list tells seconds later: several that break within a
    /// second and are a large part of the host's eject it.
    fn record_broken_connection(&mut self, host_index: HostIndex) {
        self.cut_load_limit(host_index, self.load(host_index));
        self.traffic.recent_breaks += 1.0;
        let host = &mut self.hosts[host_index];
        host.broken_connections += 1;
        let broken = host.broken_connections as usize;
        let is_large_part = broken * BREAK_DIVISOR >= host.calls.len() + broken;
        if host.broken_connections >= MIN_BREAKS && is_large_part {
            self.eject(host_index);
        }
    }

    /// A host that turns calls away at once empties, scores low and would draw every call: it rests, longer each time.
    fn back_off_after_reject(&mut self, host_index: HostIndex) {
        let jitter = self.jitter();
        let host = &mut self.hosts[host_index];
        if host.rejecting_until <= self.now {
            host.reject_backoff =
                host.reject_backoff.times(2.0).clamp(MIN_REJECT_BACKOFF, MAX_REJECT_BACKOFF);
            host.rejecting_until = self.now + host.reject_backoff.times(jitter);
        }
    }

    /// Records a failed attempt or probe. A host that fails fast has few connections and would draw every call.
    pub(super) fn record_failure(&mut self, host_index: HostIndex) {
        let host = &mut self.hosts[host_index];
        host.failure_rate += FAILURE_SMOOTHING * (1.0 - host.failure_rate);
        if host.failure_rate > EJECTION_THRESHOLD {
            self.eject(host_index);
        }
    }

    /// Records an attempt that was set up.
    pub(super) fn record_success(&mut self, host_index: HostIndex) {
        let host = &mut self.hosts[host_index];
        host.failure_rate += FAILURE_SMOOTHING * (0.0 - host.failure_rate);
        if host.trial_calls_left > 0 {
            host.trial_calls_left -= 1;
            if host.trial_calls_left == 0 {
                host.ejection_time = Span::ZERO;
            }
        }
    }

    fn eject(&mut self, host_index: HostIndex) {
        let jitter = self.jitter();
        let host = &mut self.hosts[host_index];
        if host.ejection.is_some() {
            return;
        }
        host.ejection_time = host.ejection_time.times(2.0).clamp(MIN_EJECTION, MAX_EJECTION);
        let next_probe = self.now + host.ejection_time.times(jitter);
        host.ejection = Some(Ejection { next_probe, probe_successes: 0 });
        self.update_panic_mode();
    }

    /// Ends an ejection; the host is tried with one call at a time before it is trusted.
    fn readmit(&mut self, host_index: HostIndex) {
        let host = &mut self.hosts[host_index];
        host.ejection = None;
        host.trial_calls_left = TRIAL_CALLS;
        host.failure_rate = TRIAL_FAILURE_RATE;
        self.update_panic_mode();
    }

    /// Ignores ejections while more than half of the ready hosts are ejected, as Envoy's panic mode does: it is more
    /// likely this node's own view, and the rest would be crushed.
    pub(super) fn update_panic_mode(&mut self) {
        let mut ready = 0;
        let mut ejected = 0;
        for host in self.hosts.iter().filter(|host| host.condition == Condition::Ready) {
            ready += 1;
            ejected += usize::from(host.ejection.is_some());
        }
        self.is_in_panic_mode = ejected * 2 > ready;
    }

    /// Whether a host is ejected now; for operators and tests.
    pub fn is_ejected(&self, host: HostId) -> bool {
        self.host_index.get(&host).is_some_and(|host| self.hosts[*host].ejection.is_some())
    }

    /// Probes ejected hosts that are due; where hosts cannot be probed, readmits them.
    pub(super) fn probe_ejected_hosts(&mut self, port: &mut dyn Port) {
        for host_index in 0..self.hosts.len() {
            let jitter = self.jitter();
            let host = &mut self.hosts[host_index];
            let Some(ejection) = &mut host.ejection else { continue };
            if host.condition != Condition::Ready || ejection.next_probe > self.now {
                continue;
            }
            ejection.next_probe = self.now + host.ejection_time.times(jitter);
            if self.settings.can_probe {
                host.slow_start_budget -= PROBE_COST;
                port.probe(host.id);
            } else {
                self.readmit(host_index);
            }
        }
    }

    /// Probes some hosts in service, in turn. Where message times are not reported, nothing else shows that other work
    /// on the same machine slows a host; it slows answers to probes at once.
    pub(super) fn probe_hosts_in_service(&mut self, port: &mut dyn Port) {
        if self.settings.reports_message_times || !self.settings.can_probe {
            return;
        }
        let by_rate = (PROBES_PER_NEW_CLIENT * self.traffic.new_client_rate) as usize + 1;
        for _ in 0..by_rate.min(self.hosts.len()) {
            self.probe_cursor = (self.probe_cursor + 1) % self.hosts.len();
            let host = &mut self.hosts[self.probe_cursor];
            let is_in_service = host.condition == Condition::Ready && host.ejection.is_none();
            if is_in_service && !host.calls.is_empty() {
                host.slow_start_budget -= PROBE_COST;
                port.probe(host.id);
            }
        }
    }

    /// A probe has ended after the time it took.
    pub fn probe_finished(
        &mut self,
        now: Time,
        host: HostId,
        outcome: AttemptOutcome,
        took: Span,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some(host_index) = self.host_index.get(&host).copied() else { return };
        if self.hosts[host_index].ejection.is_some() {
            self.record_ejected_probe(host_index, outcome);
        } else {
            self.record_service_probe(host_index, outcome, took, port);
        }
    }

    fn record_ejected_probe(&mut self, host_index: HostIndex, outcome: AttemptOutcome) {
        let host = &mut self.hosts[host_index];
        let Some(ejection) = &mut host.ejection else { return };
        if outcome != AttemptOutcome::Completed {
            ejection.probe_successes = 0;
            host.ejection_time = host.ejection_time.times(2.0).min(MAX_EJECTION);
            return;
        }
        ejection.probe_successes += 1;
        ejection.next_probe = self.now + NEXT_PROBE_AFTER_SUCCESS;
        if ejection.probe_successes >= PROBES_TO_READMIT {
            self.readmit(host_index);
        }
    }

    /// A host that hangs still accepts connections, and each call there waits for its attempt to time out; so a failed
    /// probe counts as a failure. A slow one counts as a slow message.
    fn record_service_probe(
        &mut self,
        host_index: HostIndex,
        outcome: AttemptOutcome,
        took: Span,
        port: &mut dyn Port,
    ) {
        if outcome != AttemptOutcome::Completed {
            self.record_failure(host_index);
        } else if !self.settings.reports_message_times {
            let multiple_of_usual = self.hosts[host_index].record_probe_time(took);
            let excess = self.settings.message_target_seconds() * (multiple_of_usual - 1.0);
            self.record_message_time(host_index, Span::from_seconds(excess), port);
        }
    }
}
