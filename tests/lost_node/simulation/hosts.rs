//! Simulated hosts: their load and backlog, and how well they serve clients.

use std::collections::BTreeSet;

use glendeck::domain::{AttemptNumber, AttemptReport, GroupId, Span};

use super::{CallState, Event, HostIndex, NodeIndex, Simulation};

/// Time after the loss during which service is measured.
const MEASUREMENT_PERIOD: Span = Span::ms(10_000);
/// A host's state advances in steps of this length.
const STEP_MS: u64 = 100;
const STEP_SECONDS: f64 = 0.1;
/// Number of steps between a host's reports of message times.
const STEPS_PER_REPORT: u64 = 10;
/// Backlog above which a host reports message times.
const REPORTED_BACKLOG_SECONDS: f64 = 0.03;
/// Backlog up to which clients count as served well.
const GOOD_BACKLOG_SECONDS: f64 = 0.1;
const MAX_BACKLOG_SECONDS: f64 = 2.0;
/// Load of a setup in progress, in connections of the mean load.
const SETUP_LOAD: f64 = 0.2;

impl Simulation {
    /// Setup time at a host: it grows with utilisation, and with the backlog that an overloaded host builds
    /// up.
    pub(super) fn setup_time_ms(&self, host: HostIndex) -> u64 {
        let utilisation = self.utilisation(host);
        let by_utilisation_ms = if utilisation < 0.9 {
            20.0 / (1.0 - utilisation)
        } else {
            200.0 + 2_000.0 * (utilisation - 0.9)
        };
        (by_utilisation_ms + 1_000.0 * self.hosts[host].backlog) as u64
    }

    pub(super) fn utilisation(&self, host: HostIndex) -> f64 {
        let host = &self.hosts[host];
        (host.load + SETUP_LOAD * f64::from(host.pending_setups)) / self.parameters.capacity
    }

    /// Updates each host's load: that of its open connections and of the groups among them.
    pub(super) fn update_loads(&mut self) {
        for host in &mut self.hosts {
            host.load = 0.0;
        }
        let mut groups: BTreeSet<(HostIndex, GroupId)> = BTreeSet::new();
        for client in self.clients.iter().filter(|client| client.is_open) {
            let Some(host) = client.host else { continue };
            self.hosts[host].load += client.load;
            groups.extend(client.group.map(|group| (host, group)));
        }
        for (host, _) in groups {
            self.hosts[host].load += self.parameters.groups.cost;
        }
    }

    pub(super) fn release_setup(&mut self, host: HostIndex) {
        let pending_setups = &mut self.hosts[host].pending_setups;
        *pending_setups = pending_setups.saturating_sub(1);
    }

    pub(super) fn hosts_step(&mut self) {
        self.update_loads();
        let steps = self.now.0 / Span::ms(STEP_MS).0;
        let mut reports = Vec::new();
        for host in 0..self.hosts.len() {
            let utilisation = self.utilisation(host);
            let backlog = self.hosts[host].backlog + STEP_SECONDS * (utilisation - 1.0);
            let backlog = backlog.clamp(0.0, MAX_BACKLOG_SECONDS);
            self.hosts[host].backlog = backlog;
            if backlog > REPORTED_BACKLOG_SECONDS && steps.is_multiple_of(STEPS_PER_REPORT) {
                reports.push((host, backlog));
            }
        }
        for (host, backlog) in reports {
            for node in 0..self.nodes.len() {
                self.report_message_time(node, host, backlog);
            }
        }
        self.measure_service();
        self.schedule(STEP_MS, Event::HostsStep);
    }

    /// Reports a host's message time to a node, on one of the node's connections there.
    pub(super) fn report_message_time(&mut self, node: NodeIndex, host: HostIndex, backlog: f64) {
        let is_open_at_host = |state: &CallState| state.host == host && self.clients[state.client].is_open;
        let Some((call, state)) = self.calls[node].iter().find(|(_, state)| is_open_at_host(state)) else {
            return;
        };
        let call = *call;
        let attempt = AttemptNumber(state.attempts - 1);
        let report = AttemptReport::MessageTime(Span::from_seconds(backlog));
        self.notify(node, |node, now, port| node.attempt_report(now, call, attempt, report, port));
    }

    pub(super) fn measure_service(&mut self) {
        if self.lost_at.is_none_or(|lost_at| self.now >= lost_at + MEASUREMENT_PERIOD) {
            return;
        }
        for client in self.clients.iter().filter(|client| client.wants_service) {
            let serves_well = |host: HostIndex| self.hosts[host].backlog <= GOOD_BACKLOG_SECONDS;
            let is_served = client.is_open && client.host.is_some_and(serves_well);
            self.service.wanted += STEP_SECONDS;
            self.service.served += if is_served { STEP_SECONDS } else { 0.0 };
        }
    }
}
