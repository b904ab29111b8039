//! A change of settings while the node runs.

use super::Node;
use crate::domain::{Settings, Time, WeightKind};
use crate::port::Port;
use crate::state::endpoint_watch::{EndpointWatch, request_spread};
use crate::state::host_size::SizeEstimator;
use crate::state::retry_counter::RetryCounter;
use crate::state::timers::WATCH_TIMER;

impl Node {
    /// Other settings hold from now on. In-flight calls keep the deadline and the attempts that they have; hosts keep
    /// what is known of them, their slow-start budgets and ejections too. Classes keep their numbers: the settings may
    /// name more of them than before, not fewer.
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
            // What was reported of loads would go on to count beside sizes, and never age.
            WeightKind::Sizes => {
                self.sizes = SizeEstimator::default();
                for host in &mut self.hosts {
                    host.reported_connections = None;
                    host.attempts_since_list = [0.0; 2];
                }
            }
            // Without the sizes of before, the first weights that fell with load would be taken for them.
            WeightKind::Live if !had_live_weights => self.sizes.learn_sizes(&self.hosts),
            WeightKind::Live => {}
        }
    }

    fn change_polling(&mut self, had_to_poll: bool, port: &mut dyn Port) {
        let has_to_poll = self.settings.poll_interval.is_some();
        if had_to_poll && !has_to_poll {
            self.endpoint_watch = EndpointWatch::unneeded(self.now);
        } else if !had_to_poll && has_to_poll {
            // A fleet is told its settings together, and would ask in step.
            let spread = request_spread(&self.settings).times(self.random());
            let request_at = self.now + spread;
            self.endpoint_watch = EndpointWatch::due(request_at);
            port.set_timer(request_at, WATCH_TIMER);
        }
    }
}
