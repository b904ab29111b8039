//! Releases: halts, rollbacks and repeated requests.

use glendeck_fleet::policy::{Act, OnHalt};
use glendeck_fleet::state::{Command, ReleaseState, UnitState};

use crate::common::{name, release, release_state, started_fleet};
use crate::world::{Fault, World, plan};

#[test]
fn a_version_that_fails_calls_halts_its_release_and_is_rolled_back() {
    let (mut world, leader) = started_fleet(5, 3);
    world.fail_calls_of("v2");
    release(&mut world, leader, "v2");
    assert!(world.wait_for(60_000, |world| matches!(release_state(world), Some(ReleaseState::Halted(_)))));
    let Some(ReleaseState::Halted(why)) = release_state(&world) else { panic!() };
    assert!(why.contains("calls fail"), "{why}");
    assert_eq!(world.versions().iter().filter(|version| **version == "v2").count(), 1);
    let at = world.leader().unwrap();
    world.request_now(at, "back", Command::RollBack);
    assert!(world.wait_for(60_000, |world| release_state(world) == Some(ReleaseState::Finished)));
    assert!(
        world.is_done("back") && world.versions().iter().all(|version| *version == "v1"),
        "{:?}",
        world.versions()
    );
    assert_eq!(world.violation, None);
}

#[test]
fn a_repeated_plan_is_one_release_and_rollback_needs_a_halt() {
    let (mut world, leader) = started_fleet(5, 3);
    release(&mut world, leader, "v2");
    world.run_until(world.now_ms() + 500);
    release(&mut world, (leader + 1) % 5, "v2");
    world.request_now(
        (leader + 2) % 5,
        "other",
        Command::StartRelease { plan: plan("v3", Act::Exit, OnHalt::Hold) },
    );
    world.request_now((leader + 3) % 5, "back", Command::RollBack);
    world.run_until(world.now_ms() + 1_500);
    assert!(world.is_done("v2") && !world.is_done("other") && !world.is_done("back"), "{:?}", world.answers);
    assert_eq!(world.newest_state().unwrap().releases, 1);
}

#[test]
fn a_unit_that_never_returns_halts_the_release() {
    let (mut world, leader) = started_fleet(5, 3);
    let mut plan = plan("v2", Act::Exit, OnHalt::Hold);
    (plan.units, plan.unit_limit_s) = (vec![name(3), name(4)], 30);
    world.request_now(leader, "v2", Command::StartRelease { plan });
    assert!(world.wait_for(5_000, |world| world.is_out(3)));
    world.apply_fault_now(Fault::KillForGood(3));
    assert!(world.wait_for(45_000, |world| matches!(release_state(world), Some(ReleaseState::Halted(_)))));
    assert!(!world.is_out(4) && world.violation.is_none());
}

/// The process that began the drain took the lease with it, and nothing ended the drain of the next one.
#[test]
fn a_process_that_inherits_a_drain_takes_clients_again_when_its_lease_ends() {
    let (mut world, leader) = started_fleet(5, 3);
    for (round, out_before_ms) in [0, 1_500, 6_000].into_iter().enumerate() {
        world.request_now(leader, &format!("drain {round}"), Command::Drain { unit: name(4) });
        assert!(world.wait_for(5_000, |world| world.is_out(4)));
        world.run_until(world.now_ms() + out_before_ms);
        world.replace_drained_now(4, "v1");
        world.run_until(world.now_ms() + 4_000);
        assert!(world.is_out(4), "the drain ended without the lease");
        world.request_now(leader, &format!("activate {round}"), Command::Activate { unit: name(4) });
        assert!(world.wait_for(3_000, |world| !world.is_out(4)), "the drain outlived its lease");
        let serves =
            |world: &World| world.newest_state().unwrap().units[&name(4)].unit_state == UnitState::Serving;
        assert!(world.wait_for(15_000, serves), "not marked as serving");
    }
    assert_eq!(world.violation, None);
}

/// While the next process drains, its order may already be over: it must not wait for another one.
#[test]
fn a_process_that_starts_while_its_inherited_lease_ends_takes_clients_again() {
    let (mut world, leader) = started_fleet(5, 3);
    world.request_now(leader, "drain", Command::Drain { unit: name(4) });
    assert!(world.wait_for(5_000, |world| world.is_out(4)));
    world.request_now(leader, "activate", Command::Activate { unit: name(4) });
    world.replace_drained_now(4, "v1");
    assert!(world.wait_for(3_000, |world| !world.is_out(4)), "the drain outlived its lease");
    assert_eq!(world.violation, None);
}

#[test]
fn a_process_that_inherits_the_drain_of_a_release_exits_for_its_version() {
    let (mut world, leader) = started_fleet(5, 3);
    release(&mut world, leader, "v2");
    assert!(world.wait_for(5_000, |world| world.count_out() > 0));
    let node = (0..5).find(|node| world.is_out(*node)).unwrap();
    world.replace_drained_now(node, "v1");
    assert!(world.wait_for(120_000, |world| release_state(world) == Some(ReleaseState::Finished)));
    assert!(world.versions().iter().all(|version| *version == "v2"), "{:?}", world.versions());
    assert_eq!(world.violation, None);
}
