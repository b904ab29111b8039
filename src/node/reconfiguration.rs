//! Changes of the settings while the node runs.

use super::Node;
use crate::domain::{Settings, Time, WeightKind};
use crate::port::Port;
use crate::state::endpoint_watch::{EndpointWatch, request_spread};
use crate::state::host_size::SizeEstimator;
use crate::state::retry_counter::RetryCounter;
use crate::state::timers::WATCH_TIMER;

impl Node {
    /// Applies new settings from now on. In-flight calls keep their deadlines and attempts; hosts keep what
    /// is known about them, including slow-start budgets and ejections. Classes keep their indexes: the new
    /// settings may add classes but not remove any.
    pub fn update_settings(&mut self, now: Time, settings: Settings, port: &mut dyn Port) {
        self.now = now;
        let had_to_poll = self.settings.poll_interval.is_some();
        let had_live_weights = self.settings.weight_kind == WeightKind::Live;
        if settings.retry_budget != self.settings.retry_budget {
            self.retries = RetryCounter::after_budget_change(&settings, now);
        }
        self.settings = settings.with_effective_revenue();
        self.loads.mean_by_class.resize(self.settings.classes.len(), 0.0);
        self.change_weights(had_live_weights);
        self.change_polling(had_to_poll, port);
    }

    fn change_weights(&mut self, had_live_weights: bool) {
        match self.settings.weight_kind {
            // Connections reported through live weights would keep counting in the score and never be
            // updated.
            WeightKind::Sizes => {
                self.sizes = SizeEstimator::default();
                for host in &mut self.hosts {
                    host.reported_connections = None;
                    host.attempts_since_list = [0.0; 2];
                }
            }
            // Without the known sizes, the first weights that fall with load would be taken for sizes.
            WeightKind::Live if !had_live_weights => self.sizes.learn_sizes(&self.hosts),
            WeightKind::Live => {}
        }
    }

    fn change_polling(&mut self, had_to_poll: bool, port: &mut dyn Port) {
        let has_to_poll = self.settings.poll_interval.is_some();
        if had_to_poll && !has_to_poll {
            self.endpoint_watch = EndpointWatch::unneeded(self.now);
        } else if !had_to_poll && has_to_poll {
            // All nodes of a fleet receive new settings together, and would send their requests at the same
            // time.
            let spread = request_spread(&self.settings).times(self.random());
            let request_at = self.now + spread;
            self.endpoint_watch = EndpointWatch::due(request_at);
            port.set_timer(request_at, WATCH_TIMER);
        }
    }
}
