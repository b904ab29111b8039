//! Each injected fault is noticed by the checker.

use glendeck_fleet::fault_injection::{InjectedFault, inject};
use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::policy::{Act, OnHalt};
use glendeck_fleet::state::{Command, UnitState};
use test_case::test_case;

use crate::common::{halt, host, in_parallel, name};
use crate::draws::{draw, play, sizes};
use crate::world::{Fault, LinkState, World, plan, policy};

/// A release whose first unit has asked to begin, and does not hear what came of it. Who leads, and who asks.
fn begin_unheard(seed: u64, act: Act) -> Option<(World, usize, usize)> {
    let mut world = World::new(seed, policy(5, 3));
    world.run_until(10_000);
    let mut plan = plan("v2", act, OnHalt::Hold);
    plan.units = vec![name(3), name(4)];
    world.request_now(0, "start", Command::StartRelease { plan });
    let asks = |world: &World| {
        (0..5).find(|at| matches!(world.unit_state(*at, *at), Some(UnitState::Granted { .. })))
    };
    if !world.wait_for(3_000, |world| asks(world).is_some()) {
        return None;
    }
    let unit = asks(&world)?;
    // What it has asked is on its way; what is said to it waits, as it does itself.
    world.apply_fault_now(Fault::Stop(unit));
    world.run_until(world.now_ms() + 300);
    let leader = world.leader().filter(|leader| *leader != unit)?;
    Some((world, leader, unit))
}

/// A schedule made for one injected fault. The program without it passes all of them.
#[expect(clippy::too_many_lines, reason = "one schedule a fault, side by side")]
fn script(fault: InjectedFault, seed: u64) -> Option<World> {
    match fault {
        // Begun, halted, and heard of only much later.
        InjectedFault::AnyAge => {
            let (mut world, leader, unit) = begin_unheard(seed, Act::Exit)?;
            world.request_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 4_000);
            world.apply_fault_now(Fault::Continue(unit));
            world.run_until(world.now_ms() + 6_000);
            Some(world)
        }
        // It hears late that it has begun, asks anew, and that arrives after the halt.
        InjectedFault::HaltForgotten => {
            let (mut world, leader, unit) = begin_unheard(seed, Act::Exit)?;
            world.run_until(world.now_ms() + 2_500);
            world.set_links(unit, false, true, LinkState::Stalled);
            world.apply_fault_now(Fault::Continue(unit));
            world.run_until(world.now_ms() + 150);
            world.set_links(unit, true, false, LinkState::Stalled);
            world.request_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 200);
            world.set_links(unit, true, true, LinkState::Up);
            world.run_until(world.now_ms() + 6_000);
            Some(world)
        }
        // It asks with a lease that is gone by the time it arrives.
        InjectedFault::OldLeaseBegins => {
            let mut world = World::new(seed, policy(5, 3));
            world.run_until(10_000);
            let leader = world.leader()?;
            let unit = (0..5).find(|at| *at != leader)?;
            world.set_links(unit, false, true, LinkState::Stalled);
            let mut plan = plan("v2", Act::Exit, OnHalt::Hold);
            plan.units = vec![name(unit)];
            world.request_now(leader, "start", Command::StartRelease { plan });
            world.wait_for(3_000, |world| {
                matches!(world.unit_state(unit, unit), Some(UnitState::Granted { .. }))
            });
            world.run_until(world.now_ms() + 300);
            world.request_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 300);
            world.set_links(unit, false, true, LinkState::Up);
            world.run_until(world.now_ms() + 8_000);
            Some(world)
        }
        // One is gone, another is wanted out, and only one may be.
        InjectedFault::LostNotCounted => {
            let mut world = World::new(seed, policy(5, 3));
            world.run_until(10_000);
            let leader = world.leader()?;
            world.apply_fault_now(Fault::Stop((leader + 1) % 5));
            world.run_until(20_000);
            world.request_now(leader, "drain", Command::Drain { unit: name((leader + 2) % 5) });
            world.run_until(26_000);
            Some(world)
        }
        // A node cut off from the group goes on with the clients that it has at the host.
        InjectedFault::EmptyWithoutLost => {
            let mut world = World::new(seed, policy(5, 3));
            world.create_hosts(6);
            world.run_until(16_000);
            world.set_links(4, true, true, LinkState::Cut);
            world.run_until(24_000);
            let leader = world.leader()?;
            world.request_now(leader, "drain", Command::Drain { unit: host(1) });
            world.run_until(45_000);
            Some(world)
        }
        // The list shows one as out, for long.
        InjectedFault::ListNotCounted => {
            let mut world = World::new(seed, policy(5, 3));
            world.create_hosts(6);
            world.run_until(16_000);
            world.apply_fault_now(Fault::SetListed(1, EndpointState::Draining));
            world.run_until(50_000);
            let leader = world.leader()?;
            // Of the same zone.
            world.request_now(leader, "drain", Command::Drain { unit: host(4) });
            world.run_until(55_000);
            Some(world)
        }
        // Taken back, and one node has not heard so.
        InjectedFault::HostBackAtOnce => {
            let mut world = World::new(seed, policy(5, 3));
            world.create_hosts(6);
            world.run_until(16_000);
            let leader = world.leader()?;
            world.request_now(leader, "drain", Command::Drain { unit: host(1) });
            world.run_until(22_000);
            world.set_links(4, true, false, LinkState::Stalled);
            world.request_now(leader, "back", Command::Activate { unit: host(1) });
            world.run_until(22_300);
            world.request_now(leader, "next", Command::Drain { unit: host(4) });
            world.run_until(24_000);
            Some(world)
        }
        _ => None,
    }
}

/// Each injected fault is caught, on a day made for it or on one drawn, and the sound program passes that day.
#[test_case(InjectedFault::LostNotCounted; "limits that do not count what is lost")]
#[test_case(InjectedFault::TurnWhileHalted; "turns granted while halted")]
#[test_case(InjectedFault::OldLeaseBegins; "an old permit that begins")]
#[test_case(InjectedFault::HaltForgotten; "a halted release whose units may begin")]
#[test_case(InjectedFault::HaltNotKept; "a halt not kept over the loss of all processes")]
#[test_case(InjectedFault::AnyAge; "a begin of any age")]
#[test_case(InjectedFault::OutOnGrant; "a unit out on its grant alone")]
#[test_case(InjectedFault::OlderDiskVotes; "an older disk that votes")]
#[test_case(InjectedFault::SentBeforeSynced; "words out before the disk has them")]
#[test_case(InjectedFault::BackWhenHeard; "a unit back as soon as it is heard")]
#[test_case(InjectedFault::EmptyWithoutLost; "a host empty though a lost node holds connections")]
#[test_case(InjectedFault::ListNotCounted; "hosts out by the list that do not count")]
#[test_case(InjectedFault::HostBackAtOnce; "a host back before all have heard")]
fn checker_notices_injected_fault(fault: InjectedFault) {
    let scripts = (0..10).filter_map(|seed| {
        let correct = script(fault, seed)?;
        assert_eq!(
            correct.violation, None,
            "the program without a fault on the day for {fault:?}, seed {seed}"
        );
        inject(Some(fault));
        let faulty = script(fault, seed);
        inject(None);
        faulty?.violation.map(|why| (seed, why))
    });
    let scripted: Vec<(u64, String)> = scripts.collect();
    if let Some(first) = scripted.first() {
        return println!("{fault:?}: caught on {} of 10 days made for it, first {first:?}", scripted.len());
    }
    let caught = std::sync::atomic::AtomicBool::new(false);
    let found = in_parallel(0, 2_000, |seed| {
        if caught.load(std::sync::atomic::Ordering::Relaxed) {
            return None;
        }
        inject(Some(fault));
        let (nodes, voters) = sizes(seed);
        let mut world = draw(seed, nodes, voters);
        let why = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&mut world, nodes).err()));
        inject(None);
        // Only what breaks a rule counts, not what does not end.
        let why = why.unwrap_or_else(|_| Some("it panicked".into()));
        let violation = why.filter(|why| !why.starts_with("not over") && !why.starts_with("nobody"))?;
        caught.store(true, std::sync::atomic::Ordering::Relaxed);
        Some((seed, violation))
    });
    println!("{fault:?}: caught on drawn day {:?}", found.first());
    assert!(!found.is_empty(), "{fault:?} is not caught");
}
