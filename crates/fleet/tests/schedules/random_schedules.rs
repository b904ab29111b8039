//! Random schedules: thousands are run by the checker, some are compared with their recorded actions.

use crate::common::in_parallel;
use crate::schedule_generator::{fleet_size, random_schedule, run_schedule};

fn print_log(seed: u64) {
    let (nodes, voters) = fleet_size(seed);
    let mut world = random_schedule(seed, nodes, voters);
    world.verbose = true;
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run_schedule(&mut world, nodes)));
    for line in &world.log {
        println!("{line}");
    }
    println!("seed {seed}, {nodes} nodes, {voters} voters: {ended:?}");
}

/// `SEEDS=from..to` runs other seeds, `LOOK=seed` prints the whole log of one schedule.
#[test]
fn random_schedules_violate_no_invariant() {
    if let Some(seed) = std::env::var("LOOK").ok().and_then(|seed| seed.parse().ok()) {
        return print_log(seed);
    }
    let given = std::env::var("SEEDS").ok();
    let (from, to) = given
        .as_deref()
        .and_then(|text| text.split_once(".."))
        .and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)))
        .unwrap_or((0, 2_000));
    let failed = in_parallel(from, to, |seed| {
        let (nodes, voters) = fleet_size(seed);
        let mut world = random_schedule(seed, nodes, voters);
        run_schedule(&mut world, nodes)
            .err()
            .map(|why| format!("seed {seed} ({nodes} nodes, {voters} voters): {why}"))
    });
    assert!(
        failed.is_empty(),
        "{} of {} schedules failed, the first of them: {:#?}",
        failed.len(),
        to - from,
        &failed[..failed.len().min(12)]
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let traces: Vec<(u64, u64)> = (0..2)
        .map(|_| {
            let mut world = random_schedule(3, 5, 3);
            let _ = run_schedule(&mut world, 5);
            (world.trace, world.messages_sent)
        })
        .collect();
    assert_eq!(traces[0], traces[1]);
}

/// Seed, nodes, voters, and the recorded digest of the actions and states of all processes. An intended
/// change of behaviour changes the digests; a refactoring must not.
const RECORDED_TRACES: [(u64, usize, usize, u64); 8] = [
    (3, 5, 3, 0x8892_66fb_4a28_d54d),
    (4, 1, 1, 0x253f_c20e_7b6b_546d),
    (7, 12, 5, 0x3dd4_6bc0_4161_b050),
    (11, 5, 3, 0xbecb_e914_70ff_2dca),
    (15, 6, 5, 0x7f80_c72f_a3a5_5652),
    (21, 5, 3, 0x697f_7f51_9442_0356),
    (25, 7, 3, 0x5920_8914_ec00_a2ee),
    (32, 9, 5, 0x96d9_6637_62e4_c01f),
];

#[test]
fn recorded_schedules_give_the_recorded_actions() {
    let recorded: Vec<String> = RECORDED_TRACES.iter().map(|(.., trace)| format!("{trace:#018x}")).collect();
    let traces: Vec<String> = RECORDED_TRACES
        .iter()
        .map(|(seed, nodes, voters, _)| {
            let mut world = random_schedule(*seed, *nodes, *voters);
            let _ = run_schedule(&mut world, *nodes);
            format!("{:#018x}", world.trace)
        })
        .collect();
    assert_eq!(traces, recorded);
}
