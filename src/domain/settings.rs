//! The deployment's settings that the decisions use.

use super::{Idempotency, Span, WeightKind, Zone};

/// Largest node count at which the fleet-wide limit on attempts to a cold host applies in full.
const SHARED_LIMIT_FULL_NODES: f64 = 30.0;
/// Number of additional nodes over which that limit fades to nothing.
const SHARED_LIMIT_FADE_NODES: f64 = 90.0;
/// Exponent of the remote share; it separates large fleets from small ones.
const LARGE_FLEET_POWER: i32 = 8;
/// Multiplier of the cross-zone price. At a price of 0.1, hosts of another zone are assumed to carry, unseen
/// by this node, as much load as those of its own zone, which keeps calls in their zone until hosts there are
/// overloaded.
const CROSSING_COST_FACTOR: f64 = 10.0;
/// The message target if no class has one.
const DEFAULT_MESSAGE_TARGET: Span = Span::ms(1000);

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The traffic classes, by index.
    pub classes: Vec<TrafficClass>,
    /// The node's own zone.
    pub zone: Zone,
    /// Index of this node in its fleet.
    pub node_index: u32,
    /// Number of nodes in the fleet.
    pub node_count: u32,
    /// Granularity of the node's clock.
    pub clock_granularity: Span,
    /// Maximum number of attempts per call.
    pub max_attempts: u16,
    /// Whether hosts answer probes.
    pub can_probe: bool,
    /// Whether outstanding attempts can be cancelled.
    pub can_cancel: bool,
    /// What the weights of the endpoint list mean.
    pub weight_kind: WeightKind,
    /// Whether hosts report message times while messages take long.
    pub reports_message_times: bool,
    /// Longest wait that a rejected client may be told before it retries; `None` if it cannot be told one.
    pub retry_after: Option<Span>,
    /// Longest time between requests for the endpoint list without a watch; `None` if the list is pushed.
    pub poll_interval: Option<Span>,
    /// How hosts warm up, and how much they may be sent meanwhile.
    pub slow_start: SlowStart,
    /// Limit on retries; if `None`, only `max_attempts` limits them.
    pub retry_budget: Option<RetryBudget>,
    /// Maximum error of a listed start time, in either direction.
    pub start_uncertainty: Span,
    /// Cost of an attempt that crosses zones, as a fraction of the value of a first attempt.
    pub cross_zone_price: f64,
    /// Weight of the service to all classes in the deployment's objective, 0 to 1; the worst-served class has
    /// the rest.
    pub overall_service_weight: f64,
}

/// Settings of a traffic class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether its calls may run more than once.
    pub idempotency: Idempotency,
    /// Time within which a connection should be set up.
    pub setup_target: Span,
    /// Time within which a message should be answered.
    pub message_target: Option<Span>,
    /// Revenue of its connections, relative to other classes.
    pub revenue: f64,
}

/// How a cold host warms up, and how much it may be sent meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that a host has at its start.
    pub initial_share: f64,
    /// Time from its start until it has all of its capacity.
    pub duration: Span,
    /// Attempts that a host may be sent while it warms up, as a multiple of the connections that fill it.
    pub capacity_multiple: f64,
    /// Length of the windows in which attempts to a cold host are counted.
    pub window: Span,
}

impl SlowStart {
    /// Highest rate that does not overload a cold host whose nominal allowance is `allowed`, both in attempts
    /// per second.
    ///
    /// With N allowed in a window, the host is overloaded above N + 2 sqrt(N) + 2 attempts. The result stays
    /// one below that, at (sqrt(N) + 1)^2, because an attempt that is due on the edge of a window counts
    /// twice.
    pub fn max_rate(&self, allowed: f64) -> f64 {
        let window = self.window.seconds().max(1e-3);
        ((allowed * window).sqrt() + 1.0).powi(2) / window
    }
}

/// Limit on the retries of a node in any window of a given length: a fixed number, plus a share of the calls
/// that reached it in the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in each window without any call.
    pub min_retries: f64,
    /// Retries allowed per call.
    pub ratio: f64,
    /// Length of the window.
    pub window: Span,
}

impl Settings {
    /// Share of the traffic that other nodes place: 0 for a single node, close to 1 for many.
    pub fn remote_share(&self) -> f64 {
        1.0 - 1.0 / f64::from(self.node_count.max(1))
    }

    /// A factor that is near 0 for a few nodes and near 1 for hundreds.
    pub fn large_fleet_factor(&self) -> f64 {
        self.remote_share().powi(LARGE_FLEET_POWER)
    }

    /// A factor that is near 1 for a few nodes and 0 from a dozen on.
    pub fn small_fleet_factor(&self) -> f64 {
        (1.0 - 2.0 * self.large_fleet_factor()).max(0.0)
    }

    /// How strictly the fleet-wide limit on attempts to a cold host applies: near 0 for a few nodes, whose
    /// budgets stay far below the limit; 1 for 12 to 30 nodes; 0 from 120 on, where a node sees a call in so
    /// few windows that it hardly uses its budget.
    pub fn shared_limit_factor(&self) -> f64 {
        let beyond = f64::from(self.node_count) - SHARED_LIMIT_FULL_NODES;
        (1.0 - self.small_fleet_factor()) * (1.0 - beyond / SHARED_LIMIT_FADE_NODES).clamp(0.0, 1.0)
    }

    /// Cost of crossing zones, as a share of the load that a host of the node's own zone carries.
    pub fn crossing_cost(&self) -> f64 {
        CROSSING_COST_FACTOR * self.cross_zone_price
    }

    /// Raises each class's revenue to the power of `overall_service_weight`. Choosing by revenue alone
    /// starves the class that earns least: the more the worst-served class weighs, the less revenue counts.
    pub(crate) fn with_effective_revenue(mut self) -> Settings {
        for class in &mut self.classes {
            class.revenue = class.revenue.powf(self.overall_service_weight);
        }
        self
    }

    /// The shortest message target of any traffic class, in seconds.
    pub fn message_target_seconds(&self) -> f64 {
        let targets = self.classes.iter().filter_map(|class| class.message_target);
        targets.min().unwrap_or(DEFAULT_MESSAGE_TARGET).seconds().max(1e-3)
    }
}
