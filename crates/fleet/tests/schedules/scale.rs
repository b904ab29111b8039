//! Fleets of many sizes, and how often a living member is marked lost.

use glendeck_fleet::state::ReleaseState;
use test_case::test_case;

use crate::common::{release, release_state, settled};

#[test_case(1, 1, 60_000)]
#[test_case(2, 2, 90_000)]
#[test_case(3, 3, 120_000)]
#[test_case(60, 5, 400_000)]
#[test_case(300, 5, 400_000)]
fn fleets_of_many_sizes_are_released(nodes: usize, voters: usize, within_ms: u64) {
    let (mut world, _) = settled(nodes, voters);
    release(&mut world, nodes - 1, "v2");
    assert!(
        world.wait_for(within_ms, |world| release_state(world) == Some(ReleaseState::Finished)),
        "{:?}",
        release_state(&world)
    );
    assert_eq!(world.violation, None);
    assert!(world.versions().iter().all(|version| *version == "v2"));
    println!("{nodes} nodes: over after {} s, most out {}", world.now_ms() / 1_000 - 14, world.most_out);
}

/// Nobody is lost, and so often somebody is called lost; and so often the leader changes.
fn false_verdicts(lost: u64, retransmits: bool, lossless_voter_links: bool, seconds: u64) -> (u64, usize) {
    let (mut world, mut leader) = settled(300, 5);
    (world.loss_per_thousand, world.retransmits, world.lossless_voter_links) =
        (lost, retransmits, lossless_voter_links);
    let mut leaders = 0;
    for _ in 0..seconds {
        world.run_until(world.now_ms() + 1_000);
        if let Some(now) = world.leader().filter(|now| *now != leader) {
            (leader, leaders) = (now, leaders + 1);
        }
    }
    assert_eq!(world.violation, None);
    let settings = world.newest_state().unwrap().units.values().map(|unit| unit.term);
    (settings.sum(), leaders)
}

/// `LOST_S=seconds` plays so long at each rate; in CI it is short. That it can be more than none shows at the high rate.
#[test]
fn members_are_seldom_called_lost_that_live() {
    let given = std::env::var("LOST_S").ok().and_then(|text| text.parse().ok());
    let of = |lost, retransmits, lossless_voter_links, seconds| {
        let (called, leaders) = false_verdicts(lost, retransmits, lossless_voter_links, seconds);
        println!(
            "{lost} of 1000 lost, sent again {retransmits}, between voters none {lossless_voter_links}, {seconds} s: {called} called \
             lost, {leaders} new leaders"
        );
        called
    };
    assert_eq!(of(20, true, false, given.unwrap_or(60)), 0);
    assert_eq!(of(20, false, false, given.unwrap_or(20)), 0);
    if let Some(seconds) = given {
        for lost in [50, 100, 200, 300, 500] {
            of(lost, true, false, seconds);
            of(lost, true, true, seconds);
            of(lost, false, true, seconds);
        }
    }
    assert!(of(800, false, true, 20) > 0);
}
