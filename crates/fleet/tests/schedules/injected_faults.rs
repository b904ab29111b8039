//! The checker detects each injected fault.

use glendeck_fleet::fault_injection::{InjectedFault, inject};
use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::policy::{Act, OnHalt};
use glendeck_fleet::state::{Command, UnitState};
use test_case::test_case;

use crate::common::{halt, host, in_parallel, name};
use crate::schedule_generator::{fleet_size, random_schedule, run_schedule};
use crate::world::{Fault, LinkState, World, plan, policy};

/// Starts a release and stops its first granted unit before the answer to its request to begin arrives.
/// Returns the world, the leader and the unit; `None` if no unit is granted within 3 s or no other node
/// leads.
fn begin_without_answer(seed: u64, act: Act) -> Option<(World, usize, usize)> {
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
    // The unit's request is in transit; the answer waits until the unit continues.
    world.apply_fault_now(Fault::Stop(unit));
    world.run_until(world.now_ms() + 300);
    let leader = world.leader().filter(|leader| *leader != unit)?;
    Some((world, leader, unit))
}

/// Runs a schedule written for one injected fault. Without the fault, no invariant is violated on any of
/// them.
#[expect(clippy::too_many_lines, reason = "one schedule per fault, side by side")]
fn run_written_schedule(fault: InjectedFault, seed: u64) -> Option<World> {
    match fault {
        // The drain begins and the release is halted, but the unit receives both only much later.
        InjectedFault::StaleBeginRequest => {
            let (mut world, leader, unit) = begin_without_answer(seed, Act::Exit)?;
            world.request_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 4_000);
            world.apply_fault_now(Fault::Continue(unit));
            world.run_until(world.now_ms() + 6_000);
            Some(world)
        }
        // The unit learns late that its drain has begun and asks again; that request arrives after the halt.
        InjectedFault::BeginWhileHalted => {
            let (mut world, leader, unit) = begin_without_answer(seed, Act::Exit)?;
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
        // The unit asks to begin under a lease that is withdrawn before the request arrives.
        InjectedFault::StaleLeaseBegins => {
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
        // One unit is lost, an operator drains another, and only one may be out.
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
        // A node that is cut off from the fleet keeps its connections at the host.
        InjectedFault::EmptyIgnoresLost => {
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
        // The endpoint list shows one host as out for a long time.
        InjectedFault::ListNotCounted => {
            let mut world = World::new(seed, policy(5, 3));
            world.create_hosts(6);
            world.run_until(16_000);
            world.apply_fault_now(Fault::SetListed(1, EndpointState::Draining));
            world.run_until(50_000);
            let leader = world.leader()?;
            // A host of the same zone.
            world.request_now(leader, "drain", Command::Drain { unit: host(4) });
            world.run_until(55_000);
            Some(world)
        }
        // A host is activated, and one node has not been told.
        InjectedFault::HostReturnedEarly => {
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

/// The checker detects each injected fault, on a schedule written for it or else on a random one. Without the
/// fault the program passes the written schedule here, and the random one in `random_schedules`.
#[test_case(InjectedFault::LostNotCounted; "limits do not count lost units")]
#[test_case(InjectedFault::GrantWhileHalted; "turns are granted while halted")]
#[test_case(InjectedFault::StaleLeaseBegins; "an old lease begins a drain")]
#[test_case(InjectedFault::BeginWhileHalted; "units of a halted release may begin")]
#[test_case(InjectedFault::NoHaltAfterRestart; "a halt is not kept after the loss of all processes")]
#[test_case(InjectedFault::StaleBeginRequest; "a begin of any age is valid")]
#[test_case(InjectedFault::DrainOnGrant; "a unit goes out on its grant alone")]
#[test_case(InjectedFault::OutdatedStoreVotes; "a voter with an older disk votes")]
#[test_case(InjectedFault::SendBeforeDurable; "messages are sent before the disk is synced")]
#[test_case(InjectedFault::ServingWhenHeard; "a unit is back as soon as it is heard")]
#[test_case(InjectedFault::EmptyIgnoresLost; "a host is empty while a lost node holds connections")]
#[test_case(InjectedFault::ListNotCounted; "limits do not count hosts out by the list")]
#[test_case(InjectedFault::HostReturnedEarly; "a host is back before all nodes know")]
fn checker_detects_injected_fault(fault: InjectedFault) {
    let detected_violations = (0..10).filter_map(|seed| {
        let correct = run_written_schedule(fault, seed)?;
        assert_eq!(
            correct.violation, None,
            "without a fault, the schedule for {fault:?} violates an invariant, seed {seed}"
        );
        inject(Some(fault));
        let faulty = run_written_schedule(fault, seed);
        inject(None);
        faulty?.violation.map(|why| (seed, why))
    });
    let detections: Vec<(u64, String)> = detected_violations.collect();
    if let Some(first) = detections.first() {
        return println!(
            "{fault:?}: detected on {} of 10 schedules written for it, first {first:?}",
            detections.len()
        );
    }
    let is_detected = std::sync::atomic::AtomicBool::new(false);
    let found = in_parallel(0, 2_000, |seed| {
        if is_detected.load(std::sync::atomic::Ordering::Relaxed) {
            return None;
        }
        inject(Some(fault));
        let (nodes, voters) = fleet_size(seed);
        let mut world = random_schedule(seed, nodes, voters);
        let why =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run_schedule(&mut world, nodes).err()));
        inject(None);
        // A violated invariant or a panic counts, not a schedule that does not finish.
        let why = why.unwrap_or_else(|_| Some("it panicked".into()));
        let violation =
            why.filter(|why| !why.starts_with("not finished") && !why.starts_with("no leader"))?;
        is_detected.store(true, std::sync::atomic::Ordering::Relaxed);
        Some((seed, violation))
    });
    println!("{fault:?}: detected on random schedule {:?}", found.first());
    assert!(!found.is_empty(), "{fault:?} is not detected");
}
