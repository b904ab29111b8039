//! Releases: halts, rollbacks and repeated requests.

use glendeck_fleet::policy::{Act, OnHalt};
use glendeck_fleet::state::{Command, ReleaseState};

use crate::common::{name, release, release_state, started_fleet};
use crate::world::{Fault, plan};

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
