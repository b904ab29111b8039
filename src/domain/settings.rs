//! What a deployment allows, asks and pays, as far as the decisions read it.

use super::{Idempotency, Span, WeightKind, Zone};

/// Node count up to which all nodes together are bound strictly in what they send a cold host.
const SHARED_LIMIT_FULL_NODES: f64 = 30.0;
/// By how many more nodes that fades to nothing.
const SHARED_LIMIT_FADE_NODES: f64 = 90.0;
/// Power of the remote share that tells large fleets from small ones.
const LARGE_FLEET_POWER: i32 = 8;
/// Multiple of the crossing price at which another zone counts as loaded as the node's own: a price of a tenth keeps calls
/// in their zone until hosts there are overloaded.
const CROSSING_COST_FACTOR: f64 = 10.0;
/// The message target where no class has one.
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
    /// Nodes of the fleet.
    pub node_count: u32,
    /// Granularity of the instance's clock.
    pub clock_granularity: Span,
    /// Attempts that a call may have.
    pub max_attempts: u16,
    /// Hosts answer probes.
    pub can_probe: bool,
    /// Outstanding attempts can be cancelled.
    pub can_cancel: bool,
    /// What the list's weights stand for.
    pub weight_kind: WeightKind,
    /// Hosts report what a message takes while it takes long.
    pub reports_message_times: bool,
    /// The longest wait that clients follow after a reject, where they are told one.
    pub retry_after: Option<Span>,
    /// The list must be asked for, at least this often without a watch; `None` if it comes by itself.
    pub poll_interval: Option<Span>,
    /// How cold hosts are spared.
    pub slow_start: SlowStart,
    /// Limit on retries; without one, as many as a call may have.
    pub retry_budget: Option<RetryBudget>,
    /// A listed start may be off by so much, either way.
    pub start_uncertainty: Span,
    /// Cost of an attempt that crosses zones, as a fraction of first attempts.
    pub cross_zone_price: f64,
    /// What the whole run weighs in how service is judged, beside the worst-served traffic class.
    pub overall_service_weight: f64,
}

/// What the deployment says of a traffic class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether its calls may run again.
    pub idempotency: Idempotency,
    /// In what time a connection is to be set up.
    pub setup_target: Span,
    /// In what time a message is to be answered.
    pub message_target: Option<Span>,
    /// What its connections earn, beside those of other classes.
    pub revenue: f64,
}

/// How a cold host warms up and what overloads it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that a host has when it starts.
    pub initial_share: f64,
    /// When it has all of it.
    pub duration: Span,
    /// Multiple of what fills a host once that it may be sent while it warms up.
    pub capacity_multiple: f64,
    /// Window in which attempts to a cold host are counted.
    pub window: Span,
}

impl SlowStart {
    /// Attempts a second that a cold host stands, if `allowed` of them a second are allowed.
    ///
    /// With N allowed in a window, the host is overloaded past N + 2 sqrt(N) + 2. One less is (sqrt(N) + 1)^2: what comes
    /// due on an edge of the window counts twice.
    pub fn max_rate(&self, allowed: f64) -> f64 {
        let window = self.window.seconds().max(1e-3);
        ((allowed * window).sqrt() + 1.0).powi(2) / window
    }
}

/// Retries that a node may send in any span of this length: so many, and a part of the calls that it admitted in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed without any call.
    pub min_retries: f64,
    /// Retries allowed for each call.
    pub ratio: f64,
    /// Length of the span.
    pub window: Span,
}

impl Settings {
    /// Part of the traffic that other nodes place: 0 for a node alone, towards 1 for many.
    pub fn remote_share(&self) -> f64 {
        1.0 - 1.0 / f64::from(self.node_count.max(1))
    }

    /// Near 0 for a few nodes, near 1 for hundreds.
    pub fn large_fleet_factor(&self) -> f64 {
        self.remote_share().powi(LARGE_FLEET_POWER)
    }

    /// Near 1 for a few nodes, 0 from a dozen on.
    pub fn small_fleet_factor(&self) -> f64 {
        (1.0 - 2.0 * self.large_fleet_factor()).max(0.0)
    }

    /// How far all nodes together are bound strictly in what they send a cold host: near 0 for a few nodes, whose budgets
    /// stay far below the limit; 1 for 12 to 30; 0 from 120 on, where a node sees a call in so few windows that it hardly
    /// uses what it may.
    pub fn shared_limit_factor(&self) -> f64 {
        let beyond = f64::from(self.node_count) - SHARED_LIMIT_FULL_NODES;
        (1.0 - self.small_fleet_factor()) * (1.0 - beyond / SHARED_LIMIT_FADE_NODES).clamp(0.0, 1.0)
    }

    /// Cost of crossing zones, as a part of what a host of the node's own zone carries.
    pub fn crossing_cost(&self) -> f64 {
        CROSSING_COST_FACTOR * self.cross_zone_price
    }

    /// These settings with the classes' revenue raised to the power of the whole run's weight. Choosing by revenue alone
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
