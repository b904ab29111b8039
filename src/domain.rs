//! Values that the decisions speak in: ids, times, hosts, calls and the settings of a deployment.

use std::ops::{Add, AddAssign, Sub};

/// A length of time in whole nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

/// A point on the instance's clock, in whole nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn ms(ms: u64) -> Span {
        Span(ms * 1_000_000)
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Negative and non-finite values give zero; what is too long is cut to the longest span.
    pub fn from_seconds(s: f64) -> Span {
        Span((s * 1e9).round() as u64)
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as u64)
    }
}

impl Time {
    /// The time from `earlier` to this one, zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One try of a client; never used twice.
    CallId(u64);
    /// Number of an attempt within its call, from 0.
    AttemptNumber(u16);
    /// A host's address as one number; it carries no meaning.
    HostId(u64);
    /// Index of a zone.
    Zone(u16);
    /// A few hosts that share which references they have seen.
    Cell(u16);
    /// Index of a kind of machine.
    Kind(u64);
    /// Index of a traffic class.
    ClassId(u8);
    /// Index of a customer with a share of the fleet.
    TenantId(u32);
    /// What a call concerns; a client that comes again brings the same.
    SubjectId(u64);
    /// Connections of one group share work on a host.
    GroupId(u64);
    /// Index of a node of the same tier.
    Peer(u32);
    /// Names an alarm of the instance.
    TimerToken(u32);
}

/// What running a call twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// A repeat is recognised by the hosts of one scope for a while.
    Keyed {
        scope: Scope,
        window: Span,
    },
    NonIdempotent,
}

/// Which hosts discard the repeats of a referenced call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    Error,
    /// Turned away unseen: a full queue, or draining.
    Rejected,
    TimedOut,
    /// No connection came about.
    Unreachable,
    /// The connection broke while the attempt was out.
    Broken,
    Canceled,
    NeverSent,
}

impl AttemptOutcome {
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
    }
}

/// One line of the host list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    pub host: HostId,
    pub zone: Zone,
    pub cell: Cell,
    pub condition: Condition,
    pub weight: Weight,
    /// Hosts of one kind are of one nominal size; `None` where the list names none.
    pub kind: Option<Kind>,
    /// When it last started; `None` is long ago.
    pub up_since: Option<Time>,
}

/// What the list gives to compare hosts by; `Weights` says what it stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Weight(pub f64);

/// How much a host can do when warm and empty, beside other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Size(pub f64);

/// What the list's weights stand for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Sizes, or nothing to tell hosts apart by.
    #[default]
    Sizes,
    /// Sizes, each divided by one and the connections that the host holds a core; late.
    Live,
}

/// Whether a list names all hosts or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as last seen, maybe stale.
    Cached,
    Complete,
    Delta,
}

/// A call as it reaches the node, or a connection that was open when the node started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    pub id: CallId,
    pub traffic: ClassId,
    pub tenant: TenantId,
    pub subject: Option<SubjectId>,
    pub group: Option<GroupId>,
    pub guard: Time,
    /// Expected load in seconds of work a second.
    pub load: Option<f64>,
    /// The client has been here before: a repeat, or it returned after a break or a move.
    pub returning: bool,
    /// Packets of a connection that is already open on some host.
    pub mid_flow: bool,
    /// An attempt of it that may have run elsewhere, before it came here: its host, and when it went at the earliest.
    pub before: Option<(HostId, Time)>,
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// The connection's load now, in seconds of work a second.
    Load(f64),
    /// What a message takes at the host now.
    MessageTime(Span),
}

/// What the deployment says of a traffic class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficClass {
    pub idempotency: Idempotency,
    pub setup_target: Span,
    pub message_target: Option<Span>,
    pub revenue: f64,
}

/// How a cold host warms up and what pushes it over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    pub from: f64,
    pub after: Span,
    pub multiple: f64,
    pub window: Span,
}

impl SlowStart {
    /// What a cold host stands a second that by rule may be sent so much: it falls past N + 2 root of N + 2 in the window, N being
    /// what is allowed in it. One less, which is (root of N + 1) squared: what comes due on an edge counts twice.
    pub fn max_rate(&self, allowed: f64) -> f64 {
        let window = self.window.seconds().max(1e-3);
        ((allowed * window).sqrt() + 1.0).powi(2) / window
    }
}

/// Attempts beyond each call's first that a node may send in any span of this length: so many, and a part of the calls that it
/// took in that span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub free: f64,
    pub part: f64,
    pub span: Span,
}

/// What the deployment allows, asks and pays, as far as the decisions read it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub traffic: Vec<TrafficClass>,
    pub zone: Zone,
    pub me: u32,
    pub nodes: u32,
    pub tick: Span,
    pub max_attempts: u16,
    pub can_probe: bool,
    pub can_cancel: bool,
    pub weights: Weights,
    /// Hosts tell what a message takes while it takes long.
    pub reports_message_times: bool,
    /// The longest wait that clients follow after a reject, where they are told one.
    pub retry_after: Option<Span>,
    /// The list must be asked for, at least this often without a subscription.
    pub poll_interval: Option<Span>,
    pub slow_start: SlowStart,
    /// Without one, as many as a call may have.
    pub retry_budget: Option<RetryBudget>,
    /// A listed start may be off by so much, either way.
    pub start_uncertainty: Span,
    pub cross_zone_price: f64,
    /// What the whole run weighs in how service is judged, beside the worst-served traffic class.
    pub whole_weight: f64,
}

impl Settings {
    /// The part of the traffic that other nodes place.
    pub fn remote_share(&self) -> f64 {
        1.0 - 1.0 / f64::from(self.nodes.max(1))
    }

    /// Near 0 for a few nodes, near 1 for hundreds.
    pub fn large_fleet_factor(&self) -> f64 {
        self.remote_share().powi(8)
    }

    /// How far all nodes together are bound strictly in what they send a cold host: near 0 for a few nodes, whose budgets were
    /// never near the limit; 1 for 12 to 30; 0 from 120 on, where a node sees a call in so few windows that it hardly uses what it
    /// may (bound as strictly, 300 nodes served 0.49 on roll and 0.46 on join, of 0.52 and 0.50).
    pub fn shared_limit_factor(&self) -> f64 {
        (1.0 - self.small_fleet_factor()) * (1.0 - (f64::from(self.nodes) - 30.0) / 90.0).clamp(0.0, 1.0)
    }

    /// Near 1 for a few nodes, 0 from a dozen on.
    pub fn small_fleet_factor(&self) -> f64 {
        (1.0 - 2.0 * self.large_fleet_factor()).max(0.0)
    }

    /// The shortest that any traffic class has for its messages, in seconds.
    pub fn message_target_seconds(&self) -> f64 {
        let targets = self.traffic.iter().filter_map(|traffic| traffic.message_target);
        targets.min().unwrap_or(Span::ms(1000)).seconds().max(1e-3)
    }
}

/// What one process of a node leaves to the next, of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostSnapshot {
    pub host: HostId,
    /// Connections that still stand there.
    pub open: f64,
    pub smoothed: f64,
    /// `None` where none has shown.
    pub limit: Option<f64>,
    pub strain: f64,
    /// It is set aside until it answers probes.
    pub aside: bool,
    pub budget: f64,
    pub held: f64,
    /// What its answers to probes take as a rule, in seconds.
    pub answers: f64,
    /// `None` where a process before told none.
    pub nominal: Option<Size>,
}

/// What one process of a node leaves to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSnapshot {
    pub hosts: Vec<HostSnapshot>,
    pub loads: Vec<(SubjectId, f64)>,
    pub mean_load: f64,
    pub of_type: Vec<f64>,
    pub arrival: f64,
    pub held: f64,
    pub usual_conns: f64,
    pub size: f64,
    pub usual_size: f64,
    pub setup: f64,
}

/// What a node that was lost had in hand, for those to whom its clients come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WarmState {
    /// Hosts that had some of each group.
    pub homes: Vec<(GroupId, HostId)>,
    /// What clients' connections asked for, in seconds of work a second.
    pub loads: Vec<(SubjectId, f64)>,
}
