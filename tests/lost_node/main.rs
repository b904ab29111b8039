//! Compares how clients are served after the loss of a node, with and without its warm state at the other
//! nodes. Real nodes run in simulated time with simulated hosts and clients. Without the warm state, the
//! other nodes do not know the returning clients' loads, nor on which hosts the lost node had connections of
//! their groups.

mod parameters;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use parameters::{FleetParameters, Groups, HeavyClients};
use simulation::{Service, Simulation};
use test_case::test_case;

/// Simulation runs for each set of parameters, unless the environment variable SEEDS sets another number.
const DEFAULT_RUNS: u64 = 60;
/// Time from the loss of the node until its warm state is sent to the others.
const EARLY_DELAY_MS: u64 = 300;
/// The same, if the warm state is sent only after the fleet has decided that the node is lost.
const FLEET_DECISION_DELAY_MS: u64 = 5_000;

const BASE: FleetParameters = FleetParameters {
    nodes: 5,
    hosts: 12,
    capacity: 20.0,
    fill: 0.75,
    heavy_clients: HeavyClients { percent: 0, factor: 1.0 },
    groups: Groups { count: 0, cost: 0.0 },
    mean_lifetime_seconds: 60.0,
    is_false_alarm: false,
};
const HEAVY_CLIENTS: FleetParameters =
    FleetParameters { heavy_clients: HeavyClients { percent: 10, factor: 6.0 }, fill: 0.85, ..BASE };
const GROUPED_CLIENTS: FleetParameters =
    FleetParameters { groups: Groups { count: 30, cost: 2.0 }, fill: 0.5, ..BASE };

/// Share of the time that clients want service, summed over clients in the 10 s after the loss, in which they
/// were served well; with the same seeds for both.
struct Comparison {
    without_warm_state: f64,
    with_warm_state: f64,
    /// Standard error of the difference.
    error: f64,
}

fn compare(parameters: FleetParameters, delay_ms: u64) -> Comparison {
    let runs = std::env::var("SEEDS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(DEFAULT_RUNS);
    let share = |service: Service| service.served / service.wanted;
    let run_both =
        |seed| move || [None, Some(delay_ms)].map(|delay| Simulation::new(seed, parameters, delay).run());
    let shares: Vec<(f64, f64)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..runs).map(|seed| scope.spawn(run_both(seed))).collect();
        let results = handles.into_iter().map(|handle| handle.join().expect("the simulation does not panic"));
        results.map(|[without, with]| (share(without), share(with))).collect()
    });
    let mean = |value: &dyn Fn(&(f64, f64)) -> f64| shares.iter().map(value).sum::<f64>() / runs as f64;
    let without = mean(&|shares| shares.0);
    let with = mean(&|shares| shares.1);
    let variance = mean(&|shares| (shares.1 - shares.0 - (with - without)).powi(2));
    let error = (variance / runs as f64).sqrt();
    println!("{parameters:?} sent after {delay_ms} ms: {without:.4} -> {with:.4}, +- {error:.4}");
    Comparison { without_warm_state: without, with_warm_state: with, error }
}

/// Each minimum gain is below the gain over 240 runs by more than the standard error over 60 runs.
#[test_case(GROUPED_CLIENTS, 0.005; "clients in groups")]
#[test_case(HEAVY_CLIENTS, 0.002; "heavy clients")]
fn warm_state_improves_service_after_a_node_loss(parameters: FleetParameters, min_gain: f64) {
    let served = compare(parameters, EARLY_DELAY_MS);
    assert!(served.with_warm_state > served.without_warm_state + min_gain);
}

#[test_case(BASE; "equal loads and no groups so nothing useful in the warm state")]
#[test_case(FleetParameters { nodes: 3, ..GROUPED_CLIENTS }; "three nodes that each know most homes")]
#[test_case(FleetParameters { is_false_alarm: true, ..GROUPED_CLIENTS }; "a false alarm with groups")]
#[test_case(FleetParameters { is_false_alarm: true, ..HEAVY_CLIENTS }; "a false alarm with heavy clients")]
fn warm_state_does_not_degrade_service(parameters: FleetParameters) {
    let served = compare(parameters, EARLY_DELAY_MS);
    assert!(served.with_warm_state > served.without_warm_state - 0.001 - 2.0 * served.error);
}

/// Warm state is sent when a connection to the node ends, and not when the fleet has decided that the node is
/// lost, because it helps less by then.
#[test]
fn warm_state_sent_after_the_fleet_decision_improves_service_less() {
    let early = compare(GROUPED_CLIENTS, EARLY_DELAY_MS);
    let late = compare(GROUPED_CLIENTS, FLEET_DECISION_DELAY_MS);
    assert!(early.with_warm_state > late.with_warm_state + 0.003);
}
