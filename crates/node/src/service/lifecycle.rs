//! When the node takes clients, and what it does when its configuration is read anew.

use tracing::{error, info, warn};

use super::Service;
use super::shutdown::LAST_MIGRATIONS;
use crate::config;
use crate::lifecycle::Phase;

impl Service {
    /// Serves as soon as a host is ready and nothing else has to be waited for.
    pub(crate) fn serve_if_ready(&mut self) {
        // What an agent of the node's own has counts as known from the first moment, so its answer is waited
        // for.
        let needs_list = self.handover.has_predecessor() || self.config.list_is_pushed;
        let awaits_list = needs_list && !self.list.heard && !self.handover.is_list_wait_over;
        let must_wait = awaits_list || self.waits_for_fleet();
        if self.phase == Phase::Starting && self.hosts.any_ready() && !must_wait {
            self.phase = Phase::Serving;
            info!(name = %self.config.name, "serving");
            if std::mem::take(&mut self.handover.was_drained) {
                info!("the predecessor was draining");
                self.drain();
            }
            self.take_over();
        }
    }

    /// What the front is answered: whether clients are welcome. While the successor takes them, they are.
    pub(crate) fn takes_clients(&self) -> bool {
        match self.phase {
            Phase::Serving | Phase::Replaced => true,
            Phase::Leaving { until } => self.handover.is_replaced() && self.now + LAST_MIGRATIONS < until,
            Phase::Starting | Phase::Draining { .. } | Phase::Flushing | Phase::Left => false,
        }
    }

    /// Whether new connections are this process's to accept.
    pub(crate) fn accepts_connections(&self) -> bool {
        !self.handover.predecessor_serves() && !self.handover.is_replaced()
    }

    /// Reads the configuration again. The whole file is checked first; if it is bad, all stays as it was.
    pub(super) fn reload(&mut self) {
        match config::anew() {
            Ok(config) => self.apply_config(config),
            Err(cause) => error!(%cause, "bad configuration, the old one stays"),
        }
        self.deliver_reports();
    }

    fn apply_config(&mut self, config: config::NodeConfig) {
        let is_list_elsewhere = config.discovery != self.config.discovery;
        let change = self.config.renew(config);
        info!(discovery = %self.config.discovery, "configuration reloaded");
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
        // With more zones, hosts of a zone that had no number need the right one.
        if is_list_elsewhere || change.zones {
            self.restart_watch();
        } else {
            // While the watch stands this does nothing; if it is lost, this is when to try again.
            self.begin_watch();
        }
    }
}
