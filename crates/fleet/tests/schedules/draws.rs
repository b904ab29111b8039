//! Schedules drawn from a seed, and how they are played to their end.

use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::policy::{Act, OnHalt};
use glendeck_fleet::state::{Cause, Command, ReleaseState, UnitState};

use crate::common::{halt, host, name};
use crate::world::{Fault, LinkState, World, plan, policy};

/// Faults fall between these, in seconds; after the last there is time to settle.
const FIRST: u64 = 10;
const LAST: u64 = 50;

/// One of three kinds of days.
pub(crate) fn draw(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = match seed / 10 % 3 {
        1 => draw_crossings(seed, nodes, voters),
        2 if voters >= 3 => draw_forgetting(seed, nodes, voters),
        _ => draw_mixed(seed, nodes, voters),
    };
    add_hosts(&mut world, nodes);
    world
}

/// Hosts are wanted out and taken back, the list shows a deploy, and some nodes' lists stand still.
pub(crate) fn add_hosts(world: &mut World, nodes: usize) {
    const HOSTS: u64 = 6;
    world.create_hosts(HOSTS as usize);
    let when = |world: &mut World| FIRST * 1_000 + world.random_below((LAST - FIRST) * 1_000);
    for no in 0..world.random_below(14) {
        let (at, node) = (when(world), world.random_below(nodes as u64) as usize);
        let unit = host(world.random_below(HOSTS) as usize);
        let command = match world.random_below(9) {
            0..5 => Command::Drain { unit },
            5..8 => Command::Activate { unit },
            _ => Command::Override { unit, reason: "a drawn day".into() },
        };
        world.schedule_request(at, node, &format!("host {no}"), command);
    }
    for _ in 0..world.random_below(4) {
        let (at, of, lasts) = (when(world), world.random_below(HOSTS) as usize, world.random_below(40_000));
        world.schedule_fault(at, Fault::SetListed(of, EndpointState::Draining));
        if world.random_below(2) == 0 {
            world.schedule_fault(at + lasts / 2, Fault::SetListed(of, EndpointState::Gone));
        }
        world.schedule_fault(at + lasts, Fault::SetListed(of, EndpointState::Ready));
    }
    if world.random_below(3) == 0 {
        let (at, node) = (when(world), world.random_below(nodes as u64) as usize);
        world.schedule_fault(at, Fault::StallList(node, true));
    }
}

/// Orders that cross grants: halts and resumes in quick turn, while words to single nodes come late.
pub(crate) fn draw_crossings(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    let act = if world.random_below(2) == 0 { Act::Drain } else { Act::Exit };
    let on_halt = if world.random_below(2) == 0 { OnHalt::Hold } else { OnHalt::Return };
    let mut plan = plan("v2", act, on_halt);
    plan.gates.most_lost = world.random_below(3) as u32 * 100;
    world.schedule_request(8_000, 0, "start", Command::StartRelease { plan });
    let mut when = FIRST * 1_000;
    let mut no = 0;
    while when < LAST * 1_000 {
        when += 300 + world.random_below(2_500);
        no += 1;
        let (at, unit) =
            (world.random_below(nodes as u64) as usize, name(world.random_below(nodes as u64) as usize));
        let command = match world.random_below(10) {
            0..4 => halt("an operator"),
            4..8 => Command::Resume,
            8 => Command::Drain { unit },
            _ => Command::Activate { unit },
        };
        world.schedule_request(when, at, &format!("order {no}"), command);
        let (slow, lasts) =
            (world.random_below(nodes as u64) as usize, when + 300 + world.random_below(5_000));
        let state = if world.random_below(3) == 0 { LinkState::Slow } else { LinkState::Stalled };
        let (before, inwards) = (world.random_below(2_000), world.random_below(2) == 0);
        if world.random_below(4) == 0 {
            world.schedule_fault(when - before, Fault::Stop(slow));
            world.schedule_fault(lasts, Fault::Continue(slow));
        } else {
            for other in (0..nodes).filter(|other| *other != slow) {
                let (from, to) = if inwards { (other, slow) } else { (slow, other) };
                world.schedule_fault(when - before, Fault::Link(from, to, state));
                world.schedule_fault(lasts, Fault::Link(from, to, LinkState::Up));
            }
        }
    }
    world
}

/// What two voters of three have agreed is forgotten by one of them while the other is away.
pub(crate) fn draw_forgetting(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    world.schedule_request(
        7_000,
        0,
        "start",
        Command::StartRelease { plan: plan("v2", Act::Exit, OnHalt::Hold) },
    );
    let mut when = FIRST * 1_000;
    while when + 20_000 < LAST * 1_000 {
        let forgetful = world.random_below(voters as u64) as usize;
        // As many as may be missing know nothing of it, and the rest but the forgetful go away afterwards.
        let behind: Vec<usize> = (0..voters).filter(|at| *at != forgetful).take(voters / 2).collect();
        let others: Vec<usize> = (0..voters).filter(|at| *at != forgetful && !behind.contains(at)).collect();
        let slow = world.random_below(2) == 0;
        if slow {
            let ms = 300 + world.random_below(600);
            world.schedule_fault(when, Fault::DiskSlow(forgetful, ms));
        } else {
            world.schedule_fault(when, Fault::CopyDisk(forgetful));
        }
        let cut = when + 1_500;
        for one in &behind {
            for other in (0..nodes).filter(|other| !behind.contains(other)) {
                world.schedule_fault(cut, Fault::Link(*one, other, LinkState::Cut));
                world.schedule_fault(cut, Fault::Link(other, *one, LinkState::Cut));
            }
        }
        for no in 0..6 {
            let at = others[world.random_below(others.len() as u64) as usize];
            world.schedule_request(cut + 1_500 + no * 250, at, &format!("{when} {no}"), Command::Confirm);
        }
        let lost = cut + 2_600 + world.random_below(900);
        world.schedule_fault(
            lost,
            if slow { Fault::Kill(forgetful) } else { Fault::RestoreDiskCopy(forgetful) },
        );
        for at in &others {
            let soon = lost + 20 + world.random_below(60);
            world.schedule_fault(soon, Fault::Stop(*at));
        }
        for one in &behind {
            for other in 0..nodes {
                world.schedule_fault(lost + 200, Fault::Link(*one, other, LinkState::Up));
                world.schedule_fault(lost + 200, Fault::Link(other, *one, LinkState::Up));
            }
        }
        for no in 0..8 {
            let at = behind[world.random_below(behind.len() as u64) as usize];
            world.schedule_request(lost + 4_000 + no * 600, at, &format!("{lost} {no}"), Command::Confirm);
        }
        if slow {
            // Its disk was slow, and never untrue: an operator may vouch for it.
            world.schedule_fault(lost + 8_000, Fault::Trust(forgetful));
        }
        for at in &others {
            world.schedule_fault(lost + 12_000, Fault::Continue(*at));
        }
        when = lost + 16_000;
    }
    world
}

/// All kinds of faults at any time.
#[expect(clippy::too_many_lines, reason = "one arm a kind of event")]
pub(crate) fn draw_mixed(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    let acts = if world.random_below(4) == 0 { Act::Drain } else { Act::Exit };
    let on_halt = if world.random_below(2) == 0 { OnHalt::Hold } else { OnHalt::Return };
    if world.random_below(6) == 0 {
        world.fail_calls_of("v2");
    }
    let start = 8_000 + world.random_below(8_000);
    let at = world.random_below(nodes as u64) as usize;
    world.schedule_request(start, at, "start", Command::StartRelease { plan: plan("v2", acts, on_halt) });
    if world.random_below(2) == 0 {
        // Sent twice, and by another at another node.
        let at = world.random_below(nodes as u64) as usize;
        world.schedule_request(
            start + 300,
            at,
            "start",
            Command::StartRelease { plan: plan("v2", acts, on_halt) },
        );
        world.schedule_request(
            start + 200,
            at,
            "other",
            Command::StartRelease { plan: plan("v3", acts, on_halt) },
        );
    }
    for at_ms in 0..(1 + world.random_below(8)) {
        let when = FIRST * 1_000 + world.random_below((LAST - FIRST) * 1_000);
        let at = world.random_below(nodes as u64) as usize;
        let unit = name(world.random_below(nodes as u64) as usize);
        let command = match world.random_below(8) {
            0 | 1 => halt("an operator"),
            2 => Command::Resume,
            3 => Command::RollBack,
            4 | 5 => Command::Drain { unit },
            6 => Command::Activate { unit },
            _ => Command::Confirm,
        };
        world.schedule_request(when, at, &format!("order {at_ms}"), command);
    }
    let some = 2 + world.random_below(10);
    // One voter at a time may forget, and gets time to be admitted again.
    let mut forgets_at = FIRST * 1_000 + world.random_below(10_000);
    for _ in 0..some {
        let when = FIRST * 1_000 + world.random_below((LAST - FIRST) * 1_000);
        let (a, b) = (world.random_below(nodes as u64) as usize, world.random_below(nodes as u64) as usize);
        let lasts = when + 200 + world.random_below(12_000);
        match world.random_below(13) {
            0 => world.schedule_fault(when, Fault::Kill(a)),
            1 | 2 => {
                world.schedule_fault(when, Fault::Stop(a));
                world.schedule_fault(lasts, Fault::Continue(a));
            }
            3 => {
                let state =
                    [LinkState::Cut, LinkState::Stalled, LinkState::Slow][world.random_below(3) as usize];
                world.schedule_fault(when, Fault::Link(a, b, state));
                world.schedule_fault(lasts, Fault::Link(a, b, LinkState::Up));
            }
            4 => {
                // Two sides that do not hear each other; one node may hear both.
                let bridge = world.random_below(2 * nodes as u64) as usize;
                let side = world.random_below(1 << nodes.min(60));
                for one in 0..nodes {
                    for other in 0..nodes {
                        let apart = (side >> (one % 60)) & 1 != (side >> (other % 60)) & 1;
                        if apart && one != bridge && other != bridge {
                            world.schedule_fault(when, Fault::Link(one, other, LinkState::Cut));
                            world.schedule_fault(lasts, Fault::Link(one, other, LinkState::Up));
                        }
                    }
                }
            }
            5 => {
                // It reaches all and hears none, or the other way round.
                let deaf = world.random_below(2) == 0;
                for other in (0..nodes).filter(|other| *other != a) {
                    let (from, to) = if deaf { (other, a) } else { (a, other) };
                    world.schedule_fault(when, Fault::Link(from, to, LinkState::Cut));
                    world.schedule_fault(lasts, Fault::Link(from, to, LinkState::Up));
                }
            }
            6 => {
                for turn in 0..6 {
                    let state = if turn % 2 == 0 { LinkState::Cut } else { LinkState::Up };
                    world.schedule_fault(when + turn * 1_000, Fault::Link(a, b, state));
                    world.schedule_fault(when + turn * 1_000, Fault::Link(b, a, state));
                }
            }
            7 => {
                let zone = world.random_below(3) as usize;
                for at in (0..nodes).filter(|at| at % 3 == zone) {
                    world.schedule_fault(when, Fault::Kill(at));
                }
            }
            8 if world.random_below(2) == 0 => {
                (0..nodes).for_each(|at| world.schedule_fault(when, Fault::Kill(at)))
            }
            9 => {
                let ms = [50, 500, 10_000][world.random_below(3) as usize];
                world.schedule_fault(when, Fault::DiskSlow(a, ms));
                world.schedule_fault(lasts, Fault::DiskSlow(a, 2));
            }
            10 if voters > 2 => {
                world.schedule_fault(when, Fault::DiskFails(a));
                world.schedule_fault(lasts, Fault::Kill(a));
            }
            11 | 12 if voters > 2 && forgets_at < LAST * 1_000 => {
                let voter = world.random_below(voters as u64) as usize;
                let fault = match world.random_below(3) {
                    0 => {
                        world.schedule_fault(forgets_at - 3_000, Fault::CopyDisk(voter));
                        Fault::RestoreDiskCopy(voter)
                    }
                    1 => Fault::EraseDisk(voter),
                    _ => {
                        world.schedule_fault(forgets_at - 3_000, Fault::DropSyncs(voter));
                        Fault::Kill(voter)
                    }
                };
                world.schedule_fault(forgets_at, fault);
                forgets_at += 25_000;
            }
            _ => world.schedule_fault(when, Fault::Kill(a)),
        }
    }
    world
}

/// Plays a day to its end: no rule broken, and once faults have ended all that was begun ends.
pub(crate) fn play(world: &mut World, nodes: usize) -> Result<(), String> {
    let check = |world: &World| world.violation.clone().map_or(Ok(()), Err);
    world.run_until(LAST * 1_000 + 13_000);
    world.schedule_fault(LAST * 1_000 + 13_001, Fault::Heal);
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
        let state = world.newest_state().ok_or("no state")?.clone();
        for (unit, of) in &state.units {
            if of.unit_state.cause().is_some_and(|cause| !matches!(cause, Cause::Release(_))) {
                let id = format!("take back {unit} {round}");
                world.schedule_request(at + 1, leader, &id, Command::Activate { unit: unit.clone() });
            }
        }
        for (unit, of) in &state.hosts {
            if of.held.is_some() {
                let id = format!("take back {unit} {round}");
                world.schedule_request(at + 1, leader, &id, Command::Activate { unit: unit.clone() });
            }
        }
        if let Some(release) = &state.release
            && matches!(release.release_state, ReleaseState::Halted(_))
        {
            let command =
                if release.back.is_none() && round > 1 { Command::RollBack } else { Command::Resume };
            world.schedule_request(at + 2, leader, &format!("end {round}"), command);
        }
        at += 40_000 + nodes as u64 * 3_000;
        world.run_until(at);
        check(world)?;
        let state = world.newest_state().ok_or("no state")?;
        let all_back = state.units.values().all(|unit| unit.unit_state == UnitState::Serving && !unit.lost);
        let over =
            state.release.as_ref().is_none_or(|release| release.release_state == ReleaseState::Finished);
        let hosts_back = state.hosts.values().all(|host| !host.is_out());
        if all_back && over && hosts_back && world.count_out() == 0 {
            return Ok(());
        }
    }
    let state = world.newest_state().ok_or("no state")?;
    let left: Vec<_> = state.units_out().collect();
    let release = state
        .release
        .as_ref()
        .map(|of| (of.number, &of.release_state, of.wave, &of.waves, of.back.is_some()));
    let hosts: Vec<_> = state.hosts.iter().filter(|(_, host)| host.is_out()).collect();
    Err(format!("not over at {at} ms: {left:?}, {hosts:?}, release {release:?}, out {}", world.count_out()))
}

pub(crate) fn sizes(seed: u64) -> (usize, usize) {
    [(3, 3), (5, 3), (5, 5), (7, 5), (4, 3), (9, 5), (2, 2), (6, 3), (1, 1), (12, 5)][(seed % 10) as usize]
}
