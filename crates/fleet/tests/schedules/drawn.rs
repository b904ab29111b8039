//! Drawn schedules: thousands by the checker, some by their recorded actions.

use crate::common::in_parallel;
use crate::draws::{draw, play, sizes};

fn look(seed: u64) {
    let (nodes, voters) = sizes(seed);
    let mut world = draw(seed, nodes, voters);
    world.verbose = true;
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&mut world, nodes)));
    for line in &world.log {
        println!("{line}");
    }
    println!("seed {seed}, {nodes} nodes, {voters} voters: {ended:?}");
}

/// `SEEDS=from..to` plays others, `LOOK=seed` tells one day in full.
#[test]
fn drawn_days() {
    if let Some(seed) = std::env::var("LOOK").ok().and_then(|seed| seed.parse().ok()) {
        return look(seed);
    }
    let given = std::env::var("SEEDS").ok();
    let (from, to) = given
        .as_deref()
        .and_then(|text| text.split_once(".."))
        .and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)))
        .unwrap_or((0, 2_000));
    let failed = in_parallel(from, to, |seed| {
        let (nodes, voters) = sizes(seed);
        let mut world = draw(seed, nodes, voters);
        play(&mut world, nodes)
            .err()
            .map(|why| format!("seed {seed} ({nodes} nodes, {voters} voters): {why}"))
    });
    assert!(
        failed.is_empty(),
        "{} of {} days: {:#?}",
        failed.len(),
        to - from,
        &failed[..failed.len().min(12)]
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let traces: Vec<(u64, u64)> = (0..2)
        .map(|_| {
            let mut world = draw(3, 5, 3);
            let _ = play(&mut world, 5);
            (world.trace, world.messages_sent)
        })
        .collect();
    assert_eq!(traces[0], traces[1]);
}

/// Seed, nodes, voters, and the recorded digest of all that the processes did. A change of behaviour on purpose changes
/// these; a change of the code's shape must not.
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
            let mut world = draw(*seed, *nodes, *voters);
            let _ = play(&mut world, *nodes);
            format!("{:#018x}", world.trace)
        })
        .collect();
    assert_eq!(traces, recorded);
}
