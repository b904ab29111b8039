//! Hosts that are drained and come back.

use glendeck_fleet::hosts::{EndpointState, HoldState};
use glendeck_fleet::state::Command;

use crate::common::{host, name};
use crate::world::{Fault, World, policy};

#[test]
fn a_host_is_drained_reported_as_empty_and_activated() {
    let mut world = World::new(5, policy(5, 3));
    world.create_hosts(6);
    world.run_until(16_000);
    let leader = world.leader().unwrap();
    world.request_now((leader + 1) % 5, "drain", Command::Drain { unit: host(1) });
    world.run_until(17_000);
    assert!(world.is_done("drain") && world.connections_at(1) > 0, "{:?}", world.answers);
    // A second host of its zone has to wait, as does a host of a zone where the list shows one as out.
    world.apply_fault_now(Fault::SetListed(2, EndpointState::Draining));
    world.run_until(20_000);
    for (unit, id) in [(4, "same zone"), (5, "the list's zone")] {
        world.request_now(leader, id, Command::Drain { unit: host(unit) });
    }
    world.run_until(21_500);
    assert!(!world.is_done("same zone") && !world.is_done("the list's zone"), "{:?}", world.answers);
    assert!(
        world.wait_for(20_000, |world| world.hold_of(1) == Some(HoldState::Empty)),
        "{:?}",
        world.hold_of(1)
    );
    assert_eq!(world.connections_at(1), 0);
    world.request_now(leader, "back", Command::Activate { unit: host(1) });
    assert!(world.wait_for(10_000, |world| world.hold_of(1).is_none()));
    world.request_now(leader, "same zone", Command::Drain { unit: host(4) });
    world.run_until(world.now_ms() + 1_000);
    assert!(world.is_done("same zone"), "{:?}", world.answers);
    world.run_until(world.now_ms() + 10_000);
    assert!(world.connections_at(1) > 0 && world.violation.is_none(), "{:?}", world.violation);
}

/// While a node is not heard, it may still hold connections at the host. The host counts as empty once an
/// operator has confirmed that the node is dead.
#[test]
fn a_host_is_not_reported_as_empty_while_a_node_is_not_heard() {
    let mut world = World::new(5, policy(5, 3));
    world.create_hosts(6);
    world.run_until(16_000);
    world.apply_fault_now(Fault::KillForGood(4));
    world.run_until(25_000);
    let leader = world.leader().unwrap();
    world.request_now(leader, "drain", Command::Drain { unit: host(1) });
    world.request_now(leader, "too early", Command::ConfirmDead { unit: name(3) });
    world.run_until(50_000);
    assert_eq!((world.hold_of(1), world.is_done("too early")), (Some(HoldState::Out), false));
    world.request_now(leader, "dead", Command::ConfirmDead { unit: name(4) });
    assert!(world.wait_for(5_000, |world| world.hold_of(1) == Some(HoldState::Empty)));
    assert_eq!(world.violation, None);
}
