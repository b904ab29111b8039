//! Voters: partitions, stopped leaders, replacements and the loss of all of them.

use glendeck_fleet::state::{Command, Incarnation, ReleaseState, RequestId};
use glendeck_fleet::{
    Action, Fleet, FleetConfig, LONGEST_LOG, NodeStatus, RequestResult, StoredState, Timestamp,
};

use crate::common::{name, release, release_state, started_fleet};
use crate::world::{Fault, LinkState, World, policy};

#[test]
fn in_a_partition_only_the_majority_decides() {
    let (mut world, leader) = started_fleet(5, 3);
    let minority_node = (0..3).find(|at| *at != leader).unwrap();
    world.set_links(minority_node, true, true, LinkState::Cut);
    release(&mut world, minority_node, "v2");
    release(&mut world, leader, "v3");
    world.run_until(world.now_ms() + 2_000);
    assert!(
        world.is_done("v3") && world.answer_to("v2") == Some(&RequestResult::Unknown),
        "{:?}",
        world.answers
    );
    world.set_links(minority_node, true, true, LinkState::Up);
    world.run_until(world.now_ms() + 3_000);
    assert_eq!(world.newest_state().unwrap().release.as_ref().unwrap().plan.version, "v3");
}

/// A leader that was stopped for longer than an election takes still believes that it leads. It decides
/// nothing. The status that it reports to an operator is not confirmed either, which is not checked here.
#[test]
fn a_leader_that_was_stopped_decides_nothing() {
    let (mut world, leader) = started_fleet(5, 3);
    world.apply_fault_now(Fault::Stop(leader));
    assert!(world.wait_for(6_000, |world| world.leader().is_some_and(|at| at != leader)), "no new leader");
    let next = world.leader().unwrap();
    world.run_until(world.now_ms() + 6_000);
    world.request_now(next, "drain", Command::Drain { unit: name(3) });
    world.run_until(world.now_ms() + 500);
    world.apply_fault_now(Fault::Continue(leader));
    world.request_now(leader, "look", Command::Confirm);
    world.request_now(leader, "too many", Command::Drain { unit: name(4) });
    world.run_until(world.now_ms() + 3_000);
    // The stopped node counts as lost and uses up the limit.
    assert!(!world.is_done("drain") && !world.is_done("too many"), "{:?}", world.answers);
    assert!(!world.is_out(4));
    assert_eq!(world.violation, None);
}

#[test]
fn without_a_majority_no_further_unit_goes_out_and_the_release_continues_afterwards() {
    let (mut world, leader) = started_fleet(5, 3);
    release(&mut world, leader, "v2");
    assert!(world.wait_for(5_000, |world| world.count_out() == 1));
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    for at in &others {
        world.set_links(*at, true, true, LinkState::Cut);
    }
    world.run_until(world.now_ms() + 4_000);
    let out = world.most_out;
    world.request_now(leader, "drain", Command::Drain { unit: name(4) });
    world.run_until(world.now_ms() + 20_000);
    assert_eq!((world.most_out, world.answer_to("drain")), (out, Some(&RequestResult::Unknown)));
    for at in &others {
        world.set_links(*at, true, true, LinkState::Up);
    }
    // Units that were cut off count as lost until they are seen to serve. The release's gate may halt it for
    // that; otherwise it continues.
    world.run_until(world.now_ms() + 20_000);
    let at = world.leader().expect("a leader is elected once the links are up");
    if matches!(release_state(&world), Some(ReleaseState::Halted(_))) {
        world.request_now(at, "resume", Command::Resume);
    }
    assert!(
        world.wait_for(150_000, |world| release_state(world) == Some(ReleaseState::Finished)),
        "{:?}",
        release_state(&world)
    );
    assert_eq!(world.violation, None);
}

#[test]
fn a_voter_is_replaced_for_good() {
    let (mut world, leader) = started_fleet(5, 3);
    let old = (0..3).find(|at| *at != leader).unwrap();
    world.apply_fault_now(Fault::KillForGood(old));
    world.request_now(leader, "replace", Command::ReplaceVoter { old: name(old), new: name(4) });
    assert!(world.wait_for(15_000, |world| world.newest_state().unwrap().voter_slot_of(&name(4)).is_some()));
    world.run_until(world.now_ms() + 5_000);
    // One more voter is killed; the remaining two of three, among them the new one, decide.
    let at = world.leader().unwrap();
    let other = (0..3).find(|other| *other != old && *other != at).unwrap_or(at);
    world.apply_fault_now(Fault::KillForGood(if at == 4 {
        other
    } else {
        (0..3).find(|of| ![old, at].contains(of)).unwrap()
    }));
    world.run_until(world.now_ms() + 3_000);
    let at = world.leader().expect("the new voter completes the majority");
    world.request_now(at, "confirm", Command::Confirm);
    world.run_until(world.now_ms() + 1_000);
    assert!(world.is_done("confirm"), "{:?}", world.answers);
}

/// All voters are in one zone, and that zone is lost. After their restart the release is halted where it
/// stood.
#[test]
fn a_release_is_halted_after_all_voters_are_lost() {
    let mut of = policy(9, 3);
    of.voters = vec![name(0), name(3), name(6)];
    let mut world = World::new(3, of);
    world.run_until(14_000);
    release(&mut world, 1, "v2");
    let one =
        |world: &World| world.newest_state().and_then(|state| Some(state.release.as_ref()?.done.len() == 1));
    assert!(world.wait_for(30_000, |world| one(world) == Some(true)));
    for at in [0, 3, 6] {
        world.apply_fault_now(Fault::Kill(at));
    }
    let out = world.most_out;
    world.run_until(world.now_ms() + 20_000);
    assert!(world.fleet(0).is_some() && world.leader().is_some());
    assert!(matches!(release_state(&world), Some(ReleaseState::Halted(_))), "{:?}", release_state(&world));
    assert_eq!((world.most_out, world.violation.clone()), (out, None));
}

/// The store becomes free when the process before ends. A request that came shortly before that was forgotten: its
/// operator had no answer, and the node sent no further status requests.
#[test]
fn a_request_is_answered_although_its_node_joins_anew_with_its_store() {
    let config = |saved: Option<StoredState>| FleetConfig {
        name: name(2),
        policy: policy(3, 3),
        incarnation: Incarnation(9),
        seed: 9,
        version: "v1".into(),
        saved,
        spoilt: false,
        longest_log: LONGEST_LOG,
    };
    let at_ms = |ms: u64| Timestamp(0).plus_ms(ms);
    let mut fleet = Fleet::new(config(None), at_ms(0));
    fleet.ask(at_ms(100), RequestId("order".into()), Command::Drain { unit: name(1) });
    fleet.tick(at_ms(200), NodeStatus::default());
    fleet.rejoin(config(Some(StoredState::default())), at_ms(250));
    let mut replies = Vec::new();
    for ms in (300..1_200).step_by(100) {
        fleet.tick(at_ms(ms), NodeStatus::default());
        replies.extend(fleet.take_actions().into_iter().filter_map(|action| match action {
            Action::Reply(id, result) => Some((id.0, result)),
            _ => None,
        }));
    }
    assert_eq!(replies, [("order".to_owned(), RequestResult::Unknown)]);
}
