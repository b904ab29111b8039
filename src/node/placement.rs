//! Second stage: the choice of the host.

use nanorand::Rng;

use super::{Node, StageResult};
use crate::domain::Condition;
use crate::port::Port;
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

/// What a host costs a call: hosts at which it failed before come last.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct PlacementCost {
    has_failed_there: bool,
    cost: f64,
}

impl Node {
    /// Chooses the cheapest host that is open to the call; ties are broken at random.
    pub(super) fn place(&mut self, call_index: CallIndex, _: &mut dyn Port) -> StageResult {
        let remote_zone_load = self.remote_zone_load();
        self.order_homes(call_index);
        let waits_for_home = self.waits_for_home(call_index);
        let mut best: Option<(PlacementCost, HostIndex)> = None;
        let mut ties = 0u32;
        for host in 0..self.hosts.len() {
            if !self.is_candidate(call_index, host, waits_for_home) {
                continue;
            }
            let cost = self.placement_cost(call_index, host, remote_zone_load);
            match best {
                Some((lowest, _)) if cost > lowest => {}
                Some((lowest, _)) if cost == lowest => {
                    ties += 1;
                    if self.rng.generate_range(0..=ties) == 0 {
                        best = Some((cost, host));
                    }
                }
                _ => {
                    best = Some((cost, host));
                    ties = 0;
                }
            }
        }
        let Some((_, host)) = best else { return StageResult::Enqueue };
        self.calls[call_index].chosen_host = host;
        StageResult::Continue
    }

    fn is_candidate(&self, call_index: CallIndex, host: HostIndex, waits_for_home: bool) -> bool {
        let is_too_far = waits_for_home && self.home_order.distance(host) > 1.0;
        !is_too_far
            && self.is_available(host)
            && self.has_room(call_index, host)
            && self.is_permitted(call_index, host)
    }

    fn placement_cost(&self, call_index: CallIndex, host: HostIndex, remote_zone_load: f64) -> PlacementCost {
        let has_failed_there = self.calls[call_index].failed_hosts.contains(&host);
        let cost = self.relative_load(host, remote_zone_load)
            + self.remote_load(host)
            + self.added_load(call_index, host);
        PlacementCost { has_failed_there, cost }
    }

    /// Whether a host accepts new attempts: it is ready, not ejected (unless in panic mode), below its load
    /// limit, and not closed after a reject, an overload or a broken connection. After an ejection it gets
    /// one setup at a time.
    pub(super) fn is_available(&self, host_index: HostIndex) -> bool {
        let host = &self.hosts[host_index];
        host.condition == Condition::Ready
            && (self.is_in_panic_mode || !host.outlier.is_ejected())
            && (host.outlier.trial_calls_left == 0 || host.pending_setups == 0)
            && self.load(host_index) < host.overload.load_limit
            && host.outlier.rejecting_until.max(host.overload.closed_until) <= self.now
    }

    /// Whether the host has room for the whole load of a call that is expected to be heavier than the mean.
    fn has_room(&self, call_index: CallIndex, host: HostIndex) -> bool {
        let load_above_mean = (self.expected_load(call_index) - 1.0).max(0.0);
        self.load(host) + load_above_mean < self.hosts[host].overload.load_limit
    }
}
