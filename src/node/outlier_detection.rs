//! Outlier detection: hosts that fail are ejected until probes succeed, then return on trial.

use std::ops::ControlFlow;

use super::Node;
use crate::domain::{AttemptOutcome, Condition, HostId, Span, Time};
use crate::port::Port;
use crate::state::call::{AttemptEnd, CallIndex};
use crate::state::host::HostIndex;

/// Cost of a probe to a cold host's slow-start budget, in attempts.
const PROBE_COST: f64 = 0.1;
/// Probes of hosts in service per new client.
const PROBES_PER_NEW_CLIENT: f64 = 3.0;

impl Node {
    /// Second step of an attempt's end: records what the outcome shows about the host.
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

    /// Records a connection that broke. When a host dies, all its connections break, seconds before the list
    /// reports it.
    fn record_broken_connection(&mut self, host_index: HostIndex) {
        self.cut_load_limit(host_index, self.load(host_index));
        self.traffic.recent_breaks += 1.0;
        let host = &mut self.hosts[host_index];
        if host.outlier.record_broken_connection(host.calls.len()) {
            self.eject(host_index);
        }
    }

    fn back_off_after_reject(&mut self, host_index: HostIndex) {
        let jitter = self.jitter();
        self.hosts[host_index].outlier.back_off_after_reject(self.now, jitter);
    }

    /// Records a failed attempt or probe. Without ejection, a host that fails fast has few connections and so
    /// would attract every call.
    fn record_failure(&mut self, host_index: HostIndex) {
        if self.hosts[host_index].outlier.record_failure() {
            self.eject(host_index);
        }
    }

    fn eject(&mut self, host_index: HostIndex) {
        let jitter = self.jitter();
        if self.hosts[host_index].outlier.eject(self.now, jitter) {
            self.update_panic_mode();
        }
    }

    /// Ends an ejection and starts the trial, during which the host gets one setup at a time.
    fn readmit(&mut self, host_index: HostIndex) {
        self.hosts[host_index].outlier.readmit();
        self.update_panic_mode();
    }

    /// Ignores ejections while more than half of the ready hosts are ejected, as Envoy's panic mode does: the
    /// cause is then more likely this node's own view, and the remaining hosts would be overloaded.
    pub(super) fn update_panic_mode(&mut self) {
        let mut ready = 0;
        let mut ejected = 0;
        for host in self.hosts.iter().filter(|host| host.condition == Condition::Ready) {
            ready += 1;
            ejected += usize::from(host.outlier.is_ejected());
        }
        self.is_in_panic_mode = ejected * 2 > ready;
    }

    /// Whether a host is currently ejected; for operators and tests.
    pub fn is_ejected(&self, host: HostId) -> bool {
        self.host_index.get(&host).is_some_and(|host| self.hosts[*host].outlier.is_ejected())
    }

    /// Probes the ejected hosts whose probe is due; readmits them where hosts cannot be probed.
    pub(super) fn probe_ejected_hosts(&mut self, port: &mut dyn Port) {
        for host_index in 0..self.hosts.len() {
            let jitter = self.jitter();
            let host = &mut self.hosts[host_index];
            if host.condition != Condition::Ready || !host.outlier.schedule_probe(self.now, jitter) {
                continue;
            }
            if self.settings.can_probe {
                host.slow_start_budget.attempts -= PROBE_COST;
                port.probe(host.id);
            } else {
                self.readmit(host_index);
            }
        }
    }

    /// Probes some hosts in service that have calls of this node, in turn. Where message times are not
    /// reported, only the answers to probes show that other work on the same machine slows a host down, and
    /// they slow down at once.
    pub(super) fn probe_hosts_in_service(&mut self, port: &mut dyn Port) {
        if self.settings.reports_message_times || !self.settings.can_probe {
            return;
        }
        let probe_count = (PROBES_PER_NEW_CLIENT * self.traffic.new_client_rate) as usize + 1;
        for _ in 0..probe_count.min(self.hosts.len()) {
            self.probe_cursor = (self.probe_cursor + 1) % self.hosts.len();
            let host = &mut self.hosts[self.probe_cursor];
            let is_in_service = host.condition == Condition::Ready && !host.outlier.is_ejected();
            if is_in_service && !host.calls.is_empty() {
                host.slow_start_budget.attempts -= PROBE_COST;
                port.probe(host.id);
            }
        }
    }

    /// Handles the end of a probe after the time `took`.
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
        let outlier = &mut self.hosts[host_index].outlier;
        if !outlier.is_ejected() {
            self.record_service_probe(host_index, outcome, took, port);
        } else if outlier.record_probe(outcome == AttemptOutcome::Completed, now) {
            self.readmit(host_index);
        }
    }

    /// Records a probe of a host in service. A host that hangs still accepts connections, and each call there
    /// waits for its attempt to time out; so a failed probe counts as a failure. A slow probe counts as a
    /// slow message.
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
            let multiple_of_usual = self.hosts[host_index].probe_times.record(took);
            let excess = self.settings.message_target_seconds() * (multiple_of_usual - 1.0);
            self.record_message_time(host_index, Span::from_seconds(excess), port);
        }
    }
}
