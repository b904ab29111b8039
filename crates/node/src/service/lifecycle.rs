//! When the node serves clients, and how it reloads its configuration.

use tracing::{error, info, warn};

use super::Service;
use super::shutdown::LAST_MIGRATIONS_BEFORE_EXIT;
use crate::config;
use crate::lifecycle::Phase;

impl Service {
    /// Starts to serve if a host is ready and the node need not wait for the list or the fleet.
    pub(crate) fn serve_if_ready(&mut self) {
        // The node waits, for a limited time, for a first answer with the list: after a predecessor, which
        // goes on accepting until then, and if the list is pushed, as the node is expected to know what the
        // discovery agent on this machine has from the start.
        let needs_list = self.handover.has_predecessor() || self.config.list_is_pushed;
        let awaits_list = needs_list && !self.list.has_answered && !self.handover.is_list_wait_over;
        let must_wait = awaits_list || self.waits_for_fleet();
        if self.phase == Phase::Starting && self.hosts.any_ready() && !must_wait {
            self.phase = Phase::Serving;
            info!(name = %self.config.name, "serving");
            self.take_over();
        }
    }

    /// Whether the node answers the front-end balancer that it takes new clients; also true while the
    /// successor accepts them.
    pub(crate) fn takes_clients(&self) -> bool {
        self.phase != Phase::Starting && self.accepts_calls() && !self.is_draining()
    }

    /// Whether calls of the connected clients are still accepted: the process is not leaving, or it is
    /// replaced and has enough time left to hand them over.
    pub(crate) fn accepts_calls(&self) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving | Phase::Replaced => true,
            Phase::Leaving { until } => {
                self.handover.is_replaced() && self.now + LAST_MIGRATIONS_BEFORE_EXIT < until
            }
            Phase::Flushing | Phase::Left => false,
        }
    }

    /// Whether this process, rather than its predecessor or successor, accepts new connections.
    pub(crate) fn accepts_connections(&self) -> bool {
        !self.handover.predecessor_serves() && !self.handover.is_replaced()
    }

    /// Reloads the configuration. The whole file is checked first; if it is invalid, nothing changes.
    pub(super) fn reload(&mut self) {
        match config::read_again() {
            Ok(config) => self.apply_config(config),
            Err(cause) => error!(%cause, "invalid configuration, keeping the current one"),
        }
        self.deliver_reports();
    }

    fn apply_config(&mut self, config: config::NodeConfig) {
        let is_list_elsewhere = config.discovery != self.config.discovery;
        let change = self.config.renew(config);
        info!(discovery = %self.config.discovery, "configuration reloaded");
        self.renew_longest_call();
        for key in change.later {
            warn!(key, "configuration change takes effect at the next start");
        }
        if change.settings {
            let now = self.now;
            let settings = self.config.settings.clone();
            info!(weights = ?settings.weight_kind, nodes = settings.node_count, "settings changed");
            self.metrics.name(&self.config.names.traffic);
            self.with_node(|node, port| node.update_settings(now, settings, port));
        }
        // Hosts of new zones were given a placeholder zone, so the whole list is needed again.
        if is_list_elsewhere || change.zones {
            self.restart_watch();
        } else {
            // Opens the watch again if it was lost; does nothing while it is open.
            self.begin_watch();
        }
    }
}
