//! Thousands of seeded schedules of faults in simulated time, the checker's own check by injected faults, and the hard
//! cases one by one.

mod world;

use glendeck_fleet::fault_injection::InjectedFault;
use glendeck_fleet::hosts::{EndpointState, HoldState};
use glendeck_fleet::policy::{Act, OnHalt, UnitName};
use glendeck_fleet::state::{Command, ReleaseState, UnitState};
use test_case::test_case;
use world::{Fault, LinkState, World, plan, policy};

/// Faults fall between these, in seconds; after the last there is time to settle.
const FIRST: u64 = 10;
const LAST: u64 = 50;

fn halt(why: &str) -> Command {
    Command::Halt { why: why.into() }
}

fn name(at: usize) -> UnitName {
    UnitName(format!("n{at}"))
}

/// One of three kinds of days.
fn draw(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = match seed / 10 % 3 {
        1 => draw_crossings(seed, nodes, voters),
        2 if voters >= 3 => draw_forgetting(seed, nodes, voters),
        _ => draw_mixed(seed, nodes, voters),
    };
    add_hosts(&mut world, nodes);
    world
}

fn host(at: usize) -> UnitName {
    UnitName(format!("h{at}"))
}

/// Hosts are wanted out and taken back, the list shows a deploy, and some nodes' lists stand still.
fn add_hosts(world: &mut World, nodes: usize) {
    const HOSTS: u64 = 6;
    world.with_hosts(HOSTS as usize);
    let when = |world: &mut World| FIRST * 1_000 + world.roll((LAST - FIRST) * 1_000);
    for no in 0..world.roll(14) {
        let (at, node) = (when(world), world.roll(nodes as u64) as usize);
        let unit = host(world.roll(HOSTS) as usize);
        let command = match world.roll(9) {
            0..5 => Command::Drain { unit },
            5..8 => Command::Activate { unit },
            _ => Command::Override { unit, reason: "a drawn day".into() },
        };
        world.order(at, node, &format!("host {no}"), command);
    }
    for _ in 0..world.roll(4) {
        let (at, of, lasts) = (when(world), world.roll(HOSTS) as usize, world.roll(40_000));
        world.fault(at, Fault::EndpointState(of, EndpointState::Draining));
        if world.roll(2) == 0 {
            world.fault(at + lasts / 2, Fault::EndpointState(of, EndpointState::Gone));
        }
        world.fault(at + lasts, Fault::EndpointState(of, EndpointState::Ready));
    }
    if world.roll(3) == 0 {
        let (at, node) = (when(world), world.roll(nodes as u64) as usize);
        world.fault(at, Fault::ListStands(node, true));
    }
}

/// Orders that cross grants: halts and resumes in quick turn, while words to single nodes come late.
fn draw_crossings(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    let act = if world.roll(2) == 0 { Act::Drain } else { Act::Exit };
    let on_halt = if world.roll(2) == 0 { OnHalt::Hold } else { OnHalt::Return };
    let mut plan = plan("v2", act, on_halt);
    plan.gates.most_lost = world.roll(3) as u32 * 100;
    world.order(8_000, 0, "start", Command::StartRelease { plan });
    let mut when = FIRST * 1_000;
    let mut no = 0;
    while when < LAST * 1_000 {
        when += 300 + world.roll(2_500);
        no += 1;
        let (at, unit) = (world.roll(nodes as u64) as usize, name(world.roll(nodes as u64) as usize));
        let command = match world.roll(10) {
            0..4 => halt("an operator"),
            4..8 => Command::Resume,
            8 => Command::Drain { unit },
            _ => Command::Activate { unit },
        };
        world.order(when, at, &format!("order {no}"), command);
        let (slow, lasts) = (world.roll(nodes as u64) as usize, when + 300 + world.roll(5_000));
        let state = if world.roll(3) == 0 { LinkState::Slow } else { LinkState::Stalled };
        let (before, inwards) = (world.roll(2_000), world.roll(2) == 0);
        if world.roll(4) == 0 {
            world.fault(when - before, Fault::Stop(slow));
            world.fault(lasts, Fault::Continue(slow));
        } else {
            for other in (0..nodes).filter(|other| *other != slow) {
                let (from, to) = if inwards { (other, slow) } else { (slow, other) };
                world.fault(when - before, Fault::Link(from, to, state));
                world.fault(lasts, Fault::Link(from, to, LinkState::Up));
            }
        }
    }
    world
}

/// What two voters of three have agreed is forgotten by one of them while the other is away.
fn draw_forgetting(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    world.order(7_000, 0, "start", Command::StartRelease { plan: plan("v2", Act::Exit, OnHalt::Hold) });
    let mut when = FIRST * 1_000;
    while when + 20_000 < LAST * 1_000 {
        let forgetful = world.roll(voters as u64) as usize;
        // As many as may be missing know nothing of it, and the rest but the forgetful go away afterwards.
        let behind: Vec<usize> = (0..voters).filter(|at| *at != forgetful).take(voters / 2).collect();
        let others: Vec<usize> = (0..voters).filter(|at| *at != forgetful && !behind.contains(at)).collect();
        let slow = world.roll(2) == 0;
        if slow {
            let ms = 300 + world.roll(600);
            world.fault(when, Fault::DiskSlow(forgetful, ms));
        } else {
            world.fault(when, Fault::Copy(forgetful));
        }
        let cut = when + 1_500;
        for one in &behind {
            for other in (0..nodes).filter(|other| !behind.contains(other)) {
                world.fault(cut, Fault::Link(*one, other, LinkState::Cut));
                world.fault(cut, Fault::Link(other, *one, LinkState::Cut));
            }
        }
        for no in 0..6 {
            let at = others[world.roll(others.len() as u64) as usize];
            world.order(cut + 1_500 + no * 250, at, &format!("{when} {no}"), Command::Confirm);
        }
        let lost = cut + 2_600 + world.roll(900);
        world.fault(lost, if slow { Fault::Kill(forgetful) } else { Fault::OlderCopy(forgetful) });
        for at in &others {
            let soon = lost + 20 + world.roll(60);
            world.fault(soon, Fault::Stop(*at));
        }
        for one in &behind {
            for other in 0..nodes {
                world.fault(lost + 200, Fault::Link(*one, other, LinkState::Up));
                world.fault(lost + 200, Fault::Link(other, *one, LinkState::Up));
            }
        }
        for no in 0..8 {
            let at = behind[world.roll(behind.len() as u64) as usize];
            world.order(lost + 4_000 + no * 600, at, &format!("{lost} {no}"), Command::Confirm);
        }
        if slow {
            // Its disk was slow, and never untrue: an operator may vouch for it.
            world.fault(lost + 8_000, Fault::Trust(forgetful));
        }
        for at in &others {
            world.fault(lost + 12_000, Fault::Continue(*at));
        }
        when = lost + 16_000;
    }
    world
}

/// All kinds of faults at any time.
fn draw_mixed(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    let acts = if world.roll(4) == 0 { Act::Drain } else { Act::Exit };
    let on_halt = if world.roll(2) == 0 { OnHalt::Hold } else { OnHalt::Return };
    if world.roll(6) == 0 {
        world.serves_badly("v2");
    }
    let start = 8_000 + world.roll(8_000);
    let at = world.roll(nodes as u64) as usize;
    world.order(start, at, "start", Command::StartRelease { plan: plan("v2", acts, on_halt) });
    if world.roll(2) == 0 {
        // Sent twice, and by another at another node.
        let at = world.roll(nodes as u64) as usize;
        world.order(start + 300, at, "start", Command::StartRelease { plan: plan("v2", acts, on_halt) });
        world.order(start + 200, at, "other", Command::StartRelease { plan: plan("v3", acts, on_halt) });
    }
    for at_ms in 0..(1 + world.roll(8)) {
        let when = FIRST * 1_000 + world.roll((LAST - FIRST) * 1_000);
        let at = world.roll(nodes as u64) as usize;
        let unit = name(world.roll(nodes as u64) as usize);
        let command = match world.roll(8) {
            0 | 1 => halt("an operator"),
            2 => Command::Resume,
            3 => Command::RollBack,
            4 | 5 => Command::Drain { unit },
            6 => Command::Activate { unit },
            _ => Command::Confirm,
        };
        world.order(when, at, &format!("order {at_ms}"), command);
    }
    let some = 2 + world.roll(10);
    // One voter at a time may forget, and gets time to be admitted again.
    let mut forgets_at = FIRST * 1_000 + world.roll(10_000);
    for _ in 0..some {
        let when = FIRST * 1_000 + world.roll((LAST - FIRST) * 1_000);
        let (a, b) = (world.roll(nodes as u64) as usize, world.roll(nodes as u64) as usize);
        let lasts = when + 200 + world.roll(12_000);
        match world.roll(13) {
            0 => world.fault(when, Fault::Kill(a)),
            1 | 2 => {
                world.fault(when, Fault::Stop(a));
                world.fault(lasts, Fault::Continue(a));
            }
            3 => {
                let state = [LinkState::Cut, LinkState::Stalled, LinkState::Slow][world.roll(3) as usize];
                world.fault(when, Fault::Link(a, b, state));
                world.fault(lasts, Fault::Link(a, b, LinkState::Up));
            }
            4 => {
                // Two sides that do not hear each other; one node may hear both.
                let bridge = world.roll(2 * nodes as u64) as usize;
                let side = world.roll(1 << nodes.min(60));
                for one in 0..nodes {
                    for other in 0..nodes {
                        let apart = (side >> (one % 60)) & 1 != (side >> (other % 60)) & 1;
                        if apart && one != bridge && other != bridge {
                            world.fault(when, Fault::Link(one, other, LinkState::Cut));
                            world.fault(lasts, Fault::Link(one, other, LinkState::Up));
                        }
                    }
                }
            }
            5 => {
                // It reaches all and hears none, or the other way round.
                let deaf = world.roll(2) == 0;
                for other in (0..nodes).filter(|other| *other != a) {
                    let (from, to) = if deaf { (other, a) } else { (a, other) };
                    world.fault(when, Fault::Link(from, to, LinkState::Cut));
                    world.fault(lasts, Fault::Link(from, to, LinkState::Up));
                }
            }
            6 => {
                for turn in 0..6 {
                    let state = if turn % 2 == 0 { LinkState::Cut } else { LinkState::Up };
                    world.fault(when + turn * 1_000, Fault::Link(a, b, state));
                    world.fault(when + turn * 1_000, Fault::Link(b, a, state));
                }
            }
            7 => {
                let zone = world.roll(3) as usize;
                for at in (0..nodes).filter(|at| at % 3 == zone) {
                    world.fault(when, Fault::Kill(at));
                }
            }
            8 if world.roll(2) == 0 => (0..nodes).for_each(|at| world.fault(when, Fault::Kill(at))),
            9 => {
                let ms = [50, 500, 10_000][world.roll(3) as usize];
                world.fault(when, Fault::DiskSlow(a, ms));
                world.fault(lasts, Fault::DiskSlow(a, 2));
            }
            10 if voters > 2 => {
                world.fault(when, Fault::DiskFails(a));
                world.fault(lasts, Fault::Kill(a));
            }
            11 | 12 if voters > 2 && forgets_at < LAST * 1_000 => {
                let voter = world.roll(voters as u64) as usize;
                let fault = match world.roll(3) {
                    0 => {
                        world.fault(forgets_at - 3_000, Fault::Copy(voter));
                        Fault::OlderCopy(voter)
                    }
                    1 => Fault::NoFolder(voter),
                    _ => {
                        world.fault(forgets_at - 3_000, Fault::Lies(voter));
                        Fault::Kill(voter)
                    }
                };
                world.fault(forgets_at, fault);
                forgets_at += 25_000;
            }
            _ => world.fault(when, Fault::Kill(a)),
        }
    }
    world
}

/// Plays a day to its end: no rule broken, and once faults have ended all that was begun ends.
fn play(world: &mut World, nodes: usize) -> Result<(), String> {
    let check = |world: &World| world.broken.clone().map_or(Ok(()), Err);
    world.run_until(LAST * 1_000 + 13_000);
    world.fault(LAST * 1_000 + 13_001, Fault::Heal);
    let mut at = LAST * 1_000 + 40_000;
    world.run_until(at);
    check(world)?;
    // Operators take back what they drained, and let the release go on or back.
    for round in 0..6 {
        // It may be its own turn just now.
        let waits = (0..5).find(|_| {
            at += 1_000;
            world.run_until(at);
            world.leader().is_some()
        });
        check(world)?;
        let Some(leader) = waits.and(world.leader()) else {
            return Err("nobody leads 27 s after the last fault".into());
        };
        let state = world.newest().ok_or("no state")?.clone();
        for (unit, of) in &state.units {
            if of
                .unit_state
                .cause()
                .is_some_and(|cause| !matches!(cause, glendeck_fleet::state::Cause::Release(_)))
            {
                let id = format!("take back {unit} {round}");
                world.order(at + 1, leader, &id, Command::Activate { unit: unit.clone() });
            }
        }
        for (unit, of) in &state.hosts {
            if of.held.is_some() {
                let id = format!("take back {unit} {round}");
                world.order(at + 1, leader, &id, Command::Activate { unit: unit.clone() });
            }
        }
        if let Some(release) = &state.release
            && matches!(release.release_state, ReleaseState::Halted(_))
        {
            let command =
                if release.back.is_none() && round > 1 { Command::RollBack } else { Command::Resume };
            world.order(at + 2, leader, &format!("end {round}"), command);
        }
        at += 40_000 + nodes as u64 * 3_000;
        world.run_until(at);
        check(world)?;
        let state = world.newest().ok_or("no state")?;
        let all_back = state.units.values().all(|unit| unit.unit_state == UnitState::Serving && !unit.lost);
        let over =
            state.release.as_ref().is_none_or(|release| release.release_state == ReleaseState::Finished);
        let hosts_back = state.hosts.values().all(|host| !host.is_out());
        if all_back && over && hosts_back && world.really_out() == 0 {
            return Ok(());
        }
    }
    let state = world.newest().ok_or("no state")?;
    let left: Vec<_> = state.units_out().collect();
    let release = state
        .release
        .as_ref()
        .map(|of| (of.number, &of.release_state, of.wave, &of.waves, of.back.is_some()));
    let hosts: Vec<_> = state.hosts.iter().filter(|(_, host)| host.is_out()).collect();
    Err(format!("not over at {at} ms: {left:?}, {hosts:?}, release {release:?}, out {}", world.really_out()))
}

fn sizes(seed: u64) -> (usize, usize) {
    [(3, 3), (5, 3), (5, 5), (7, 5), (4, 3), (9, 5), (2, 2), (6, 3), (1, 1), (12, 5)][(seed % 10) as usize]
}

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

/// A release whose first unit has asked to begin, and does not hear what came of it. Who leads, and who asks.
fn begin_unheard(seed: u64, act: Act) -> Option<(World, usize, usize)> {
    let mut world = World::new(seed, policy(5, 3));
    world.run_until(10_000);
    let mut plan = plan("v2", act, OnHalt::Hold);
    plan.units = vec![name(3), name(4)];
    world.order_now(0, "start", Command::StartRelease { plan });
    let asks = |world: &World| {
        (0..5).find(|at| matches!(world.unit_state(*at, *at), Some(UnitState::Granted { .. })))
    };
    if !world.run_to(3_000, |world| asks(world).is_some()) {
        return None;
    }
    let unit = asks(&world)?;
    // What it has asked is on its way; what is said to it waits, as it does itself.
    world.strike_now(Fault::Stop(unit));
    world.run_until(world.now_ms() + 300);
    let leader = world.leader().filter(|leader| *leader != unit)?;
    Some((world, leader, unit))
}

/// Schedules made for one danger each. The sound program passes all of them.
fn script(fault: InjectedFault, seed: u64) -> Option<World> {
    match fault {
        // Begun, halted, and heard of only much later.
        InjectedFault::AnyAge => {
            let (mut world, leader, unit) = begin_unheard(seed, Act::Exit)?;
            world.order_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 4_000);
            world.strike_now(Fault::Continue(unit));
            world.run_until(world.now_ms() + 6_000);
            Some(world)
        }
        // It hears late that it has begun, asks anew, and that arrives after the halt.
        InjectedFault::HaltForgotten => {
            let (mut world, leader, unit) = begin_unheard(seed, Act::Exit)?;
            world.run_until(world.now_ms() + 2_500);
            world.around(unit, false, true, LinkState::Stalled);
            world.strike_now(Fault::Continue(unit));
            world.run_until(world.now_ms() + 150);
            world.around(unit, true, false, LinkState::Stalled);
            world.order_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 200);
            world.around(unit, true, true, LinkState::Up);
            world.run_until(world.now_ms() + 6_000);
            Some(world)
        }
        // It asks with a lease that is gone by the time it arrives.
        InjectedFault::OldLeaseBegins => {
            let mut world = World::new(seed, policy(5, 3));
            world.run_until(10_000);
            let leader = world.leader()?;
            let unit = (0..5).find(|at| *at != leader)?;
            world.around(unit, false, true, LinkState::Stalled);
            let mut plan = plan("v2", Act::Exit, OnHalt::Hold);
            plan.units = vec![name(unit)];
            world.order_now(leader, "start", Command::StartRelease { plan });
            world.run_to(3_000, |world| {
                matches!(world.unit_state(unit, unit), Some(UnitState::Granted { .. }))
            });
            world.run_until(world.now_ms() + 300);
            world.order_now(leader, "halt", halt("an operator"));
            world.run_until(world.now_ms() + 300);
            world.around(unit, false, true, LinkState::Up);
            world.run_until(world.now_ms() + 8_000);
            Some(world)
        }
        // One is gone, another is wanted out, and only one may be.
        InjectedFault::LostNotCounted => {
            let mut world = World::new(seed, policy(5, 3));
            world.run_until(10_000);
            let leader = world.leader()?;
            world.strike_now(Fault::Stop((leader + 1) % 5));
            world.run_until(20_000);
            world.order_now(leader, "drain", Command::Drain { unit: name((leader + 2) % 5) });
            world.run_until(26_000);
            Some(world)
        }
        // A node cut off from the group goes on with the clients that it has at the host.
        InjectedFault::EmptyWithoutLost => {
            let mut world = World::new(seed, policy(5, 3));
            world.with_hosts(6);
            world.run_until(16_000);
            world.around(4, true, true, LinkState::Cut);
            world.run_until(24_000);
            let leader = world.leader()?;
            world.order_now(leader, "drain", Command::Drain { unit: host(1) });
            world.run_until(45_000);
            Some(world)
        }
        // The list shows one as out, for long.
        InjectedFault::ListNotCounted => {
            let mut world = World::new(seed, policy(5, 3));
            world.with_hosts(6);
            world.run_until(16_000);
            world.strike_now(Fault::EndpointState(1, EndpointState::Draining));
            world.run_until(50_000);
            let leader = world.leader()?;
            // Of the same zone.
            world.order_now(leader, "drain", Command::Drain { unit: host(4) });
            world.run_until(55_000);
            Some(world)
        }
        // Taken back, and one node has not heard so.
        InjectedFault::HostBackAtOnce => {
            let mut world = World::new(seed, policy(5, 3));
            world.with_hosts(6);
            world.run_until(16_000);
            let leader = world.leader()?;
            world.order_now(leader, "drain", Command::Drain { unit: host(1) });
            world.run_until(22_000);
            world.around(4, true, false, LinkState::Stalled);
            world.order_now(leader, "back", Command::Activate { unit: host(1) });
            world.run_until(22_300);
            world.order_now(leader, "next", Command::Drain { unit: host(4) });
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
fn is_injected(fault: InjectedFault) {
    let scripts = (0..10).filter_map(|seed| {
        let sound = script(fault, seed)?;
        assert_eq!(sound.broken, None, "the sound program on the day for {fault:?}, seed {seed}");
        glendeck_fleet::fault_injection::inject(Some(fault));
        let spoilt = script(fault, seed);
        glendeck_fleet::fault_injection::inject(None);
        spoilt?.broken.map(|why| (seed, why))
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
        glendeck_fleet::fault_injection::inject(Some(fault));
        let (nodes, voters) = sizes(seed);
        let mut world = draw(seed, nodes, voters);
        let why = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&mut world, nodes).err()));
        glendeck_fleet::fault_injection::inject(None);
        // Only what breaks a rule counts, not what does not end.
        let why = why.unwrap_or_else(|_| Some("it panicked".into()));
        let broken = why.filter(|why| !why.starts_with("not over") && !why.starts_with("nobody"))?;
        caught.store(true, std::sync::atomic::Ordering::Relaxed);
        Some((seed, broken))
    });
    println!("{fault:?}: caught on drawn day {:?}", found.first());
    assert!(!found.is_empty(), "{fault:?} is not caught");
}

/// A fleet that has been founded and whose leader knows who is there.
fn settled(nodes: usize, voters: usize) -> (World, usize) {
    let mut world = World::new(7, policy(nodes, voters));
    world.run_until(14_000);
    let leader = world.leader().expect("somebody leads");
    (world, leader)
}

fn release_state(world: &World) -> Option<ReleaseState> {
    world.newest()?.release.as_ref().map(|release| release.release_state.clone())
}

fn release(world: &mut World, at: usize, version: &str) {
    world.order_now(at, version, Command::StartRelease { plan: plan(version, Act::Exit, OnHalt::Hold) });
}

#[test_case(1, 1, 60_000)]
#[test_case(2, 2, 90_000)]
#[test_case(3, 3, 120_000)]
#[test_case(60, 5, 400_000)]
#[test_case(300, 5, 400_000)]
fn fleets_of_many_sizes_are_released(nodes: usize, voters: usize, within_ms: u64) {
    let (mut world, _) = settled(nodes, voters);
    release(&mut world, nodes - 1, "v2");
    assert!(
        world.run_to(within_ms, |world| release_state(world) == Some(ReleaseState::Finished)),
        "{:?}",
        release_state(&world)
    );
    assert_eq!(world.broken, None);
    assert!(world.versions().iter().all(|version| *version == "v2"));
    println!("{nodes} nodes: over after {} s, most out {}", world.now_ms() / 1_000 - 14, world.most_out);
}

/// Nobody is lost, and so often somebody is called lost; and so often the leader changes.
fn false_verdicts(lost: u64, sent_again: bool, spares_voters: bool, seconds: u64) -> (u64, usize) {
    let (mut world, mut leader) = settled(300, 5);
    (world.lost, world.sent_again, world.spares_voters) = (lost, sent_again, spares_voters);
    let mut leaders = 0;
    for _ in 0..seconds {
        world.run_until(world.now_ms() + 1_000);
        if let Some(now) = world.leader().filter(|now| *now != leader) {
            (leader, leaders) = (now, leaders + 1);
        }
    }
    assert_eq!(world.broken, None);
    let settings = world.newest().unwrap().units.values().map(|unit| unit.term);
    (settings.sum(), leaders)
}

/// `LOST_S=seconds` plays so long at each rate; in CI it is short. That it can be more than none shows at the high rate.
#[test]
fn members_are_seldom_called_lost_that_live() {
    let given = std::env::var("LOST_S").ok().and_then(|text| text.parse().ok());
    let of = |lost, sent_again, spares_voters, seconds| {
        let (called, leaders) = false_verdicts(lost, sent_again, spares_voters, seconds);
        println!(
            "{lost} of 1000 lost, sent again {sent_again}, between voters none {spares_voters}, {seconds} s: {called} called \
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

#[test]
fn the_same_events_give_the_same_actions() {
    let traces: Vec<(u64, u64)> = (0..2)
        .map(|_| {
            let mut world = draw(3, 5, 3);
            let _ = play(&mut world, 5);
            (world.trace, world.sent)
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

#[test]
fn a_build_that_serves_badly_halts_its_release_and_goes_back() {
    let (mut world, leader) = settled(5, 3);
    world.serves_badly("v2");
    release(&mut world, leader, "v2");
    assert!(world.run_to(60_000, |world| matches!(release_state(world), Some(ReleaseState::Halted(_)))));
    let Some(ReleaseState::Halted(why)) = release_state(&world) else { panic!() };
    assert!(why.contains("calls fail"), "{why}");
    assert_eq!(world.versions().iter().filter(|version| **version == "v2").count(), 1);
    let at = world.leader().unwrap();
    world.order_now(at, "back", Command::RollBack);
    assert!(world.run_to(60_000, |world| release_state(world) == Some(ReleaseState::Finished)));
    assert!(
        world.done("back") && world.versions().iter().all(|version| *version == "v1"),
        "{:?}",
        world.versions()
    );
    assert_eq!(world.broken, None);
}

#[test]
fn a_plan_sent_twice_is_one_release_and_back_needs_a_halt() {
    let (mut world, leader) = settled(5, 3);
    release(&mut world, leader, "v2");
    world.run_until(world.now_ms() + 500);
    release(&mut world, (leader + 1) % 5, "v2");
    world.order_now(
        (leader + 2) % 5,
        "other",
        Command::StartRelease { plan: plan("v3", Act::Exit, OnHalt::Hold) },
    );
    world.order_now((leader + 3) % 5, "back", Command::RollBack);
    world.run_until(world.now_ms() + 1_500);
    assert!(world.done("v2") && !world.done("other") && !world.done("back"), "{:?}", world.answers);
    assert_eq!(world.newest().unwrap().releases, 1);
}

#[test]
fn on_both_sides_of_a_split_only_the_majority_decides() {
    let (mut world, leader) = settled(5, 3);
    let lone = (0..3).find(|at| *at != leader).unwrap();
    world.around(lone, true, true, LinkState::Cut);
    release(&mut world, lone, "v2");
    release(&mut world, leader, "v3");
    world.run_until(world.now_ms() + 2_000);
    assert!(
        world.done("v3") && world.answered("v2") == Some(&glendeck_fleet::RequestResult::Unknown),
        "{:?}",
        world.answers
    );
    world.around(lone, true, true, LinkState::Up);
    world.run_until(world.now_ms() + 3_000);
    assert_eq!(world.newest().unwrap().release.as_ref().unwrap().plan.version, "v3");
}

/// A leader that was stopped for longer than an election believes that it leads. It decides nothing, and what it says to
/// an operator is not confirmed.
#[test]
fn a_leader_stopped_and_continued_decides_nothing() {
    let (mut world, leader) = settled(5, 3);
    world.strike_now(Fault::Stop(leader));
    assert!(world.run_to(6_000, |world| world.leader().is_some_and(|at| at != leader)), "nobody took over");
    let next = world.leader().unwrap();
    world.run_until(world.now_ms() + 6_000);
    world.order_now(next, "drain", Command::Drain { unit: name(3) });
    world.run_until(world.now_ms() + 500);
    world.strike_now(Fault::Continue(leader));
    world.order_now(leader, "look", Command::Confirm);
    world.order_now(leader, "too many", Command::Drain { unit: name(4) });
    world.run_until(world.now_ms() + 3_000);
    // The stopped one is lost, and uses up the room there is.
    assert!(!world.done("drain") && !world.done("too many"), "{:?}", world.answers);
    assert!(!world.is_out(4));
    assert_eq!(world.broken, None);
}

#[test]
fn without_a_majority_nothing_new_goes_out_and_it_goes_on_by_itself() {
    let (mut world, leader) = settled(5, 3);
    release(&mut world, leader, "v2");
    assert!(world.run_to(5_000, |world| world.really_out() == 1));
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    for at in &others {
        world.around(*at, true, true, LinkState::Cut);
    }
    world.run_until(world.now_ms() + 4_000);
    let out = world.most_out;
    world.order_now(leader, "drain", Command::Drain { unit: name(4) });
    world.run_until(world.now_ms() + 20_000);
    assert_eq!(
        (world.most_out, world.answered("drain")),
        (out, Some(&glendeck_fleet::RequestResult::Unknown))
    );
    for at in &others {
        world.around(*at, true, true, LinkState::Up);
    }
    // What was cut off counts as lost until it was seen: the release halts by its gate or goes on.
    world.run_until(world.now_ms() + 20_000);
    let at = world.leader().expect("a leader once healed");
    if matches!(release_state(&world), Some(ReleaseState::Halted(_))) {
        world.order_now(at, "resume", Command::Resume);
    }
    assert!(
        world.run_to(150_000, |world| release_state(world) == Some(ReleaseState::Finished)),
        "{:?}",
        release_state(&world)
    );
    assert_eq!(world.broken, None);
}

#[test]
fn a_unit_that_never_returns_halts_the_release() {
    let (mut world, leader) = settled(5, 3);
    let mut plan = plan("v2", Act::Exit, OnHalt::Hold);
    (plan.units, plan.unit_limit_s) = (vec![name(3), name(4)], 30);
    world.order_now(leader, "v2", Command::StartRelease { plan });
    assert!(world.run_to(5_000, |world| world.is_out(3)));
    world.strike_now(Fault::Gone(3));
    assert!(world.run_to(45_000, |world| matches!(release_state(world), Some(ReleaseState::Halted(_)))));
    assert!(!world.is_out(4) && world.broken.is_none());
}

#[test]
fn a_voter_is_replaced_for_good() {
    let (mut world, leader) = settled(5, 3);
    let old = (0..3).find(|at| *at != leader).unwrap();
    world.strike_now(Fault::Gone(old));
    world.order_now(leader, "replace", Command::ReplaceVoter { old: name(old), new: name(4) });
    assert!(world.run_to(15_000, |world| world.newest().unwrap().voter_slot_of(&name(4)).is_some()));
    world.run_until(world.now_ms() + 5_000);
    // Two of the three that are left decide, the new one among them.
    let at = world.leader().unwrap();
    let other = (0..3).find(|other| *other != old && *other != at).unwrap_or(at);
    world.strike_now(Fault::Gone(if at == 4 {
        other
    } else {
        (0..3).find(|of| ![old, at].contains(of)).unwrap()
    }));
    world.run_until(world.now_ms() + 3_000);
    let at = world.leader().expect("the new voter makes a majority");
    world.order_now(at, "confirm", Command::Confirm);
    world.run_until(world.now_ms() + 1_000);
    assert!(world.done("confirm"), "{:?}", world.answers);
}

/// All voters in one zone, and that zone lost: the release is found again where it stood, halted.
#[test]
fn a_release_is_halted_after_all_voters_were_lost() {
    let mut of = policy(9, 3);
    of.voters = vec![name(0), name(3), name(6)];
    let mut world = World::new(3, of);
    world.run_until(14_000);
    release(&mut world, 1, "v2");
    let one = |world: &World| world.newest().and_then(|state| Some(state.release.as_ref()?.done.len() == 1));
    assert!(world.run_to(30_000, |world| one(world) == Some(true)));
    for at in [0, 3, 6] {
        world.strike_now(Fault::Kill(at));
    }
    let out = world.most_out;
    world.run_until(world.now_ms() + 20_000);
    assert!(world.fleet(0).is_some() && world.leader().is_some());
    assert!(matches!(release_state(&world), Some(ReleaseState::Halted(_))), "{:?}", release_state(&world));
    assert_eq!((world.most_out, world.broken.clone()), (out, None));
}

#[test]
fn a_host_is_eased_off_said_to_be_empty_and_taken_back() {
    let mut world = World::new(5, policy(5, 3));
    world.with_hosts(6);
    world.run_until(16_000);
    let leader = world.leader().unwrap();
    world.order_now((leader + 1) % 5, "drain", Command::Drain { unit: host(1) });
    world.run_until(17_000);
    assert!(world.done("drain") && world.conns_at(1) > 0, "{:?}", world.answers);
    // Another of its zone has to wait, one of another zone need not; the list's own count too.
    world.strike_now(Fault::EndpointState(2, EndpointState::Draining));
    world.run_until(20_000);
    for (unit, id) in [(4, "same zone"), (5, "the list's zone")] {
        world.order_now(leader, id, Command::Drain { unit: host(unit) });
    }
    world.run_until(21_500);
    assert!(!world.done("same zone") && !world.done("the list's zone"), "{:?}", world.answers);
    assert!(
        world.run_to(20_000, |world| world.hold_of(1) == Some(HoldState::Empty)),
        "{:?}",
        world.hold_of(1)
    );
    assert_eq!(world.conns_at(1), 0);
    world.order_now(leader, "back", Command::Activate { unit: host(1) });
    assert!(world.run_to(10_000, |world| world.hold_of(1).is_none()));
    world.order_now(leader, "same zone", Command::Drain { unit: host(4) });
    world.run_until(world.now_ms() + 1_000);
    assert!(world.done("same zone"), "{:?}", world.answers);
    world.run_until(world.now_ms() + 10_000);
    assert!(world.conns_at(1) > 0 && world.broken.is_none(), "{:?}", world.broken);
}

/// While a node is not heard nobody knows what it holds; an operator who knows that it is dead says so.
#[test]
fn a_host_is_not_said_to_be_empty_while_a_node_is_not_heard() {
    let mut world = World::new(5, policy(5, 3));
    world.with_hosts(6);
    world.run_until(16_000);
    world.strike_now(Fault::Gone(4));
    world.run_until(25_000);
    let leader = world.leader().unwrap();
    world.order_now(leader, "drain", Command::Drain { unit: host(1) });
    world.order_now(leader, "too early", Command::ConfirmDead { unit: name(3) });
    world.run_until(50_000);
    assert_eq!((world.hold_of(1), world.done("too early")), (Some(HoldState::Out), false));
    world.order_now(leader, "dead", Command::ConfirmDead { unit: name(4) });
    assert!(world.run_to(5_000, |world| world.hold_of(1) == Some(HoldState::Empty)));
    assert_eq!(world.broken, None);
}

fn in_parallel<T: Send>(from: u64, to: u64, job: impl Fn(u64) -> Option<T> + Sync) -> Vec<T> {
    let next = std::sync::atomic::AtomicU64::new(from);
    let found = std::sync::Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    if let Some(one) = job(seed) {
                        found.lock().unwrap().push((seed, one));
                    }
                }
            });
        }
    });
    let mut found = found.into_inner().unwrap();
    found.sort_by_key(|(seed, _)| *seed);
    found.into_iter().map(|(_, one)| one).collect()
}
