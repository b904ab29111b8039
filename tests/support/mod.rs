//! Shared test support: a recording port, default settings, and a queue of events in simulated time.

// Each test program uses only part of this module.
#![allow(dead_code)]

mod event_queue;

pub(crate) use event_queue::EventQueue;

use glendeck::domain::{
    AttemptNumber, CallId, Cell, Condition, Endpoint, HostId, Idempotency, Settings, SlowStart, Span, Time,
    TimerToken, TrafficClass, Weight, WeightKind, Zone,
};
use glendeck::port::Port;

/// An action that a node requested on its port.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    SendAttempt { call: CallId, host: HostId, timeout: Span },
    Reject { call: CallId, retry_after: Option<Span> },
    Fail { call: CallId },
    Cancel { call: CallId, attempt: AttemptNumber },
    Migrate { call: CallId },
    Probe { host: HostId },
    FetchEndpoints,
    WatchEndpoints,
    SetTimer { time: Time, token: TimerToken },
}

/// A port that records all actions in order.
#[derive(Default)]
pub(crate) struct RecordingPort {
    pub actions: Vec<Action>,
}

impl Port for RecordingPort {
    fn send_attempt(&mut self, call: CallId, host: HostId, timeout: Span) {
        self.actions.push(Action::SendAttempt { call, host, timeout });
    }
    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        self.actions.push(Action::Reject { call, retry_after });
    }
    fn fail(&mut self, call: CallId) {
        self.actions.push(Action::Fail { call });
    }
    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.actions.push(Action::Cancel { call, attempt });
    }
    fn migrate(&mut self, call: CallId) {
        self.actions.push(Action::Migrate { call });
    }
    fn probe(&mut self, host: HostId) {
        self.actions.push(Action::Probe { host });
    }
    fn fetch_endpoints(&mut self) {
        self.actions.push(Action::FetchEndpoints);
    }
    fn watch_endpoints(&mut self) {
        self.actions.push(Action::WatchEndpoints);
    }
    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.actions.push(Action::SetTimer { time, token });
    }
}

/// Settings of a node in a fleet, with one idempotent class and an endpoint list that is pushed.
pub(crate) fn default_settings(node_index: usize, node_count: usize) -> Settings {
    Settings {
        classes: vec![TrafficClass {
            idempotency: Idempotency::Idempotent,
            setup_target: Span::ms(500),
            message_target: Some(Span::ms(100)),
            revenue: 1.0,
        }],
        zone: Zone(0),
        node_index: node_index as u32,
        node_count: node_count as u32,
        clock_granularity: Span::ms(5),
        max_attempts: 4,
        can_probe: true,
        can_cancel: true,
        weight_kind: WeightKind::Sizes,
        reports_message_times: true,
        retry_after: None,
        poll_interval: None,
        slow_start: SlowStart {
            initial_share: 0.2,
            duration: Span::ms(20_000),
            capacity_multiple: 3.0,
            window: Span::ms(1_000),
        },
        retry_budget: None,
        start_uncertainty: Span::ZERO,
        cross_zone_price: 0.0,
        overall_service_weight: 0.5,
    }
}

/// A ready host of weight 1 that started long ago.
pub(crate) fn default_endpoint(host: HostId) -> Endpoint {
    Endpoint {
        host,
        zone: Zone(0),
        cell: Cell(0),
        condition: Condition::Ready,
        weight: Weight(1.0),
        kind: None,
        started_at: None,
    }
}
