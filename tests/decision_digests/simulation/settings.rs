//! Random settings for a simulation.

use glendeck::domain::{
    Idempotency, RetryBudget, Scope, Settings, SlowStart, Span, TrafficClass, WeightKind, Zone,
};
use nanorand::{Rng, WyRand};

pub(super) fn random_settings(rng: &mut WyRand, nodes: u32) -> Settings {
    let mut chance = |probability: f64| f64::from(rng.generate::<f32>()) < probability;
    let scope = match (chance(0.4), chance(0.5)) {
        (true, _) => Scope::All,
        (false, true) => Scope::Zone,
        (false, false) => Scope::Cell,
    };
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::Keyed { scope, window: Span::ms(if chance(0.5) { 2_000 } else { 8_000 }) },
        Idempotency::NonIdempotent,
    ];
    let traffic_classes = idempotencies.iter().enumerate().map(|(index, idempotency)| TrafficClass {
        idempotency: *idempotency,
        setup_target: Span::ms(300 + 200 * index as u64),
        message_target: Some(Span::ms(50 + 50 * index as u64)),
        revenue: 1.0 + index as f64,
    });
    let traffic_classes: Vec<TrafficClass> = traffic_classes.collect();
    Settings {
        classes: traffic_classes,
        zone: Zone(u16::from(chance(0.5))),
        node_index: 0,
        node_count: nodes,
        clock_granularity: Span::ms(5),
        max_attempts: if chance(0.5) { 3 } else { 5 },
        can_probe: chance(0.8),
        can_cancel: chance(0.7),
        weight_kind: if chance(0.3) { WeightKind::Live } else { WeightKind::Sizes },
        reports_message_times: chance(0.5),
        retry_after: chance(0.5).then_some(Span::ms(2_000)),
        poll_interval: chance(0.7).then_some(Span::ms(4_000)),
        slow_start: SlowStart {
            initial_share: 0.2,
            duration: Span::ms(15_000),
            capacity_multiple: 4.0,
            window: Span::ms(1_000),
        },
        retry_budget: chance(0.6).then_some(RetryBudget {
            min_retries: 5.0,
            ratio: 0.2,
            window: Span::ms(10_000),
        }),
        start_uncertainty: if chance(0.3) { Span::ms(500) } else { Span::ZERO },
        cross_zone_price: if chance(0.5) { 0.05 } else { 0.0 },
        overall_service_weight: if chance(0.5) { 0.5 } else { 1.0 },
    }
}
