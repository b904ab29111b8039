//! A node of several is killed, in simulated time: the nodes are the real ones, hosts and clients are simulated. Compares
//! how clients are served afterwards, with the warm state of the lost node told to the others and without.

mod shape;
#[path = "../support/mod.rs"]
mod support;
mod world;

use shape::{Groups, HeavyClients, Shape};
use test_case::test_case;
use world::{Service, World};

/// Days that are drawn for each shape, unless the environment variable SEEDS says otherwise.
const USUAL_DAYS: u64 = 60;
/// When the warm state is told, after the node was lost.
const SOON_MS: u64 = 300;
/// When it would be told after a verdict of the fleet.
const AFTER_VERDICT_MS: u64 = 5_000;

const PLAIN: Shape = Shape {
    nodes: 5,
    hosts: 12,
    capacity: 20.0,
    fill: 0.75,
    heavy_clients: HeavyClients { percent: 0, factor: 1.0 },
    groups: Groups { count: 0, cost: 0.0 },
    mean_stay_seconds: 60.0,
    is_false_alarm: false,
};
const HEAVY: Shape = Shape { heavy_clients: HeavyClients { percent: 10, factor: 6.0 }, fill: 0.85, ..PLAIN };
const GROUPS: Shape = Shape { groups: Groups { count: 30, cost: 2.0 }, fill: 0.5, ..PLAIN };

/// Part of all client seconds in the 10 s after the loss that was served well, over the same days.
struct Comparison {
    without_warm_state: f64,
    with_warm_state: f64,
    /// Standard error of the difference.
    error: f64,
}

fn compare(shape: Shape, told_after_ms: u64) -> Comparison {
    let days = std::env::var("SEEDS").ok().and_then(|days| days.parse().ok()).unwrap_or(USUAL_DAYS);
    let share = |service: Service| service.served / service.wanted;
    let play = |seed| move || [None, Some(told_after_ms)].map(|told| World::new(seed, shape, told).run());
    let shares: Vec<(f64, f64)> = std::thread::scope(|scope| {
        let jobs: Vec<_> = (0..days).map(|seed| scope.spawn(play(seed))).collect();
        let played = jobs.into_iter().map(|job| job.join().expect("a day can be played"));
        played.map(|[without, with]| (share(without), share(with))).collect()
    });
    let mean = |value: &dyn Fn(&(f64, f64)) -> f64| shares.iter().map(value).sum::<f64>() / days as f64;
    let without = mean(&|shares| shares.0);
    let with = mean(&|shares| shares.1);
    let variance = mean(&|shares| (shares.1 - shares.0 - (with - without)).powi(2));
    let error = (variance / days as f64).sqrt();
    println!("{shape:?} told after {told_after_ms} ms: {without:.4} -> {with:.4}, +- {error:.4}");
    Comparison { without_warm_state: without, with_warm_state: with, error }
}

/// The least gains are below those seen over 240 days by more than the error over 60.
#[test_case(GROUPS, 0.005; "groups find their homes")]
#[test_case(HEAVY, 0.002; "heavy clients find room")]
fn warm_state_of_a_lost_node_serves_its_clients(shape: Shape, least_gain: f64) {
    let served = compare(shape, SOON_MS);
    assert!(served.with_warm_state > served.without_warm_state + least_gain);
}

#[test_case(PLAIN; "nothing to tell")]
#[test_case(Shape { nodes: 3, ..GROUPS }; "of three nodes each knows most homes itself")]
#[test_case(Shape { is_false_alarm: true, ..GROUPS }; "a false alarm with groups")]
#[test_case(Shape { is_false_alarm: true, ..HEAVY }; "a false alarm with heavy clients")]
fn warm_state_does_no_harm(shape: Shape) {
    let served = compare(shape, SOON_MS);
    assert!(served.with_warm_state > served.without_warm_state - 0.001 - 2.0 * served.error);
}

/// The reason to act on the end of a connection to the node, and not to wait for the fleet's verdict.
#[test]
fn warm_state_told_after_a_verdict_is_late() {
    let soon = compare(GROUPS, SOON_MS);
    let late = compare(GROUPS, AFTER_VERDICT_MS);
    assert!(soon.with_warm_state > late.with_warm_state + 0.003);
}
