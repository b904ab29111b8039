//! Generates random schedules from a seed and runs them to their end.
//!
//! Request ids, reasons and versions are part of the recorded digests and must not change.

use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::policy::{Act, OnHalt};
use glendeck_fleet::state::{Cause, Command, ReleaseState, UnitState};

use crate::common::{halt, host, name};
use crate::world::{Fault, LinkState, World, plan, policy};

/// Faults are drawn to start between these, in seconds. Some are prepared up to 3 s earlier and some last
/// longer; [`Fault::Heal`] ends most of them 13 s after the period.
const FIRST_S: u64 = 10;
const LAST_S: u64 = 50;

/// Generates a schedule of one of three kinds: requests that race with grants, voters that lose data, or
/// mixed faults.
pub(crate) fn random_schedule(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = match seed / 10 % 3 {
        1 => requests_during_grants(seed, nodes, voters),
        2 if voters >= 3 => voters_losing_data(seed, nodes, voters),
        _ => mixed_faults(seed, nodes, voters),
    };
    add_host_faults(&mut world, nodes);
    world
}

/// Adds requests to drain and activate hosts, a deploy that the endpoint list shows, and nodes whose list
/// stalls.
pub(crate) fn add_host_faults(world: &mut World, nodes: usize) {
    const HOSTS: u64 = 6;
    world.create_hosts(HOSTS as usize);
    let when = |world: &mut World| FIRST_S * 1_000 + world.random_below((LAST_S - FIRST_S) * 1_000);
    for no in 0..world.random_below(14) {
        let (at, node) = (when(world), world.random_below(nodes as u64) as usize);
        let unit = host(world.random_below(HOSTS) as usize);
        let command = match world.random_below(9) {
            0..5 => Command::Drain { unit },
            5..8 => Command::Activate { unit },
            _ => Command::Override { unit, reason: "a drawn day".into() },
        };
        world.request_at(at, node, &format!("host {no}"), command);
    }
    for _ in 0..world.random_below(4) {
        let (at, of, lasts) = (when(world), world.random_below(HOSTS) as usize, world.random_below(40_000));
        world.fault_at(at, Fault::SetListed(of, EndpointState::Draining));
        if world.random_below(2) == 0 {
            world.fault_at(at + lasts / 2, Fault::SetListed(of, EndpointState::Gone));
        }
        world.fault_at(at + lasts, Fault::SetListed(of, EndpointState::Ready));
    }
    if world.random_below(3) == 0 {
        let (at, node) = (when(world), world.random_below(nodes as u64) as usize);
        world.fault_at(at, Fault::StallList(node, true));
    }
}

/// Requests that race with grants: halts and resumes in quick succession, while single nodes are stopped or
/// their messages are delayed.
pub(crate) fn requests_during_grants(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    let act = if world.random_below(2) == 0 { Act::Drain } else { Act::Exit };
    let on_halt = if world.random_below(2) == 0 { OnHalt::Hold } else { OnHalt::Return };
    let mut plan = plan("v2", act, on_halt);
    plan.gates.most_lost = world.random_below(3) as u32 * 100;
    world.request_at(8_000, 0, "start", Command::StartRelease { plan });
    let mut when = FIRST_S * 1_000;
    let mut no = 0;
    while when < LAST_S * 1_000 {
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
        world.request_at(when, at, &format!("order {no}"), command);
        let (slow, lasts) =
            (world.random_below(nodes as u64) as usize, when + 300 + world.random_below(5_000));
        let state = if world.random_below(3) == 0 { LinkState::Slow } else { LinkState::Stalled };
        let (before, inwards) = (world.random_below(2_000), world.random_below(2) == 0);
        if world.random_below(4) == 0 {
            world.fault_at(when - before, Fault::Stop(slow));
            world.fault_at(lasts, Fault::Continue(slow));
        } else {
            for other in (0..nodes).filter(|other| *other != slow) {
                let (from, to) = if inwards { (other, slow) } else { (slow, other) };
                world.fault_at(when - before, Fault::Link(from, to, state));
                world.fault_at(lasts, Fault::Link(from, to, LinkState::Up));
            }
        }
    }
    world
}

/// Entries that a bare majority of the voters has agreed on, two of three, are lost from the disk of one
/// while the rest of that majority is stopped.
pub(crate) fn voters_losing_data(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    world.request_at(7_000, 0, "start", Command::StartRelease { plan: plan("v2", Act::Exit, OnHalt::Hold) });
    let mut when = FIRST_S * 1_000;
    while when + 20_000 < LAST_S * 1_000 {
        let lossy = world.random_below(voters as u64) as usize;
        // The largest minority does not receive the entries; the others, except the one that loses data, are
        // stopped afterwards.
        let behind: Vec<usize> = (0..voters).filter(|at| *at != lossy).take(voters / 2).collect();
        let others: Vec<usize> = (0..voters).filter(|at| *at != lossy && !behind.contains(at)).collect();
        let slow = world.random_below(2) == 0;
        if slow {
            let ms = 300 + world.random_below(600);
            world.fault_at(when, Fault::DiskSlow(lossy, ms));
        } else {
            world.fault_at(when, Fault::CopyDisk(lossy));
        }
        let cut = when + 1_500;
        for one in &behind {
            for other in (0..nodes).filter(|other| !behind.contains(other)) {
                world.fault_at(cut, Fault::Link(*one, other, LinkState::Cut));
                world.fault_at(cut, Fault::Link(other, *one, LinkState::Cut));
            }
        }
        for no in 0..6 {
            let at = others[world.random_below(others.len() as u64) as usize];
            world.request_at(cut + 1_500 + no * 250, at, &format!("{when} {no}"), Command::Confirm);
        }
        let lost = cut + 2_600 + world.random_below(900);
        world.fault_at(lost, if slow { Fault::Kill(lossy) } else { Fault::RestoreDiskCopy(lossy) });
        for at in &others {
            let soon = lost + 20 + world.random_below(60);
            world.fault_at(soon, Fault::Stop(*at));
        }
        for one in &behind {
            for other in 0..nodes {
                world.fault_at(lost + 200, Fault::Link(*one, other, LinkState::Up));
                world.fault_at(lost + 200, Fault::Link(other, *one, LinkState::Up));
            }
        }
        for no in 0..8 {
            let at = behind[world.random_below(behind.len() as u64) as usize];
            world.request_at(lost + 4_000 + no * 600, at, &format!("{lost} {no}"), Command::Confirm);
        }
        if slow {
            // The disk was slow but reported no false success, so an operator may vouch for it.
            world.fault_at(lost + 8_000, Fault::Trust(lossy));
        }
        for at in &others {
            world.fault_at(lost + 12_000, Fault::Continue(*at));
        }
        when = lost + 16_000;
    }
    world
}

/// All kinds of faults at any time.
#[expect(clippy::too_many_lines, reason = "one match arm per kind of event")]
pub(crate) fn mixed_faults(seed: u64, nodes: usize, voters: usize) -> World {
    let mut world = World::new(seed, policy(nodes, voters));
    let acts = if world.random_below(4) == 0 { Act::Drain } else { Act::Exit };
    let on_halt = if world.random_below(2) == 0 { OnHalt::Hold } else { OnHalt::Return };
    if world.random_below(6) == 0 {
        world.fail_calls_of("v2");
    }
    let start = 8_000 + world.random_below(8_000);
    let at = world.random_below(nodes as u64) as usize;
    world.request_at(start, at, "start", Command::StartRelease { plan: plan("v2", acts, on_halt) });
    if world.random_below(2) == 0 {
        // The request is repeated at another node, and another operator starts a second release there.
        let at = world.random_below(nodes as u64) as usize;
        world.request_at(start + 300, at, "start", Command::StartRelease { plan: plan("v2", acts, on_halt) });
        world.request_at(start + 200, at, "other", Command::StartRelease { plan: plan("v3", acts, on_halt) });
    }
    for request_no in 0..(1 + world.random_below(8)) {
        let when = FIRST_S * 1_000 + world.random_below((LAST_S - FIRST_S) * 1_000);
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
        world.request_at(when, at, &format!("order {request_no}"), command);
    }
    let fault_count = 2 + world.random_below(10);
    // Only one voter at a time loses data, and it gets time to be admitted again.
    let mut data_loss_at = FIRST_S * 1_000 + world.random_below(10_000);
    for _ in 0..fault_count {
        let when = FIRST_S * 1_000 + world.random_below((LAST_S - FIRST_S) * 1_000);
        let (a, b) = (world.random_below(nodes as u64) as usize, world.random_below(nodes as u64) as usize);
        let lasts = when + 200 + world.random_below(12_000);
        match world.random_below(13) {
            0 => world.fault_at(when, Fault::Kill(a)),
            1 | 2 => {
                world.fault_at(when, Fault::Stop(a));
                world.fault_at(lasts, Fault::Continue(a));
            }
            3 => {
                let state =
                    [LinkState::Cut, LinkState::Stalled, LinkState::Slow][world.random_below(3) as usize];
                world.fault_at(when, Fault::Link(a, b, state));
                world.fault_at(lasts, Fault::Link(a, b, LinkState::Up));
            }
            4 => {
                // A partition into two sides; one node may reach both.
                let bridge = world.random_below(2 * nodes as u64) as usize;
                let side = world.random_below(1 << nodes.min(60));
                for one in 0..nodes {
                    for other in 0..nodes {
                        let apart = (side >> (one % 60)) & 1 != (side >> (other % 60)) & 1;
                        if apart && one != bridge && other != bridge {
                            world.fault_at(when, Fault::Link(one, other, LinkState::Cut));
                            world.fault_at(lasts, Fault::Link(one, other, LinkState::Up));
                        }
                    }
                }
            }
            5 => {
                // One node receives nothing but can send, or the other way round.
                let receives_nothing = world.random_below(2) == 0;
                for other in (0..nodes).filter(|other| *other != a) {
                    let (from, to) = if receives_nothing { (other, a) } else { (a, other) };
                    world.fault_at(when, Fault::Link(from, to, LinkState::Cut));
                    world.fault_at(lasts, Fault::Link(from, to, LinkState::Up));
                }
            }
            6 => {
                for turn in 0..6 {
                    let state = if turn % 2 == 0 { LinkState::Cut } else { LinkState::Up };
                    world.fault_at(when + turn * 1_000, Fault::Link(a, b, state));
                    world.fault_at(when + turn * 1_000, Fault::Link(b, a, state));
                }
            }
            7 => {
                let zone = world.random_below(3) as usize;
                for at in (0..nodes).filter(|at| at % 3 == zone) {
                    world.fault_at(when, Fault::Kill(at));
                }
            }
            8 if world.random_below(2) == 0 => {
                (0..nodes).for_each(|at| world.fault_at(when, Fault::Kill(at)))
            }
            9 => {
                let ms = [50, 500, 10_000][world.random_below(3) as usize];
                world.fault_at(when, Fault::DiskSlow(a, ms));
                world.fault_at(lasts, Fault::DiskSlow(a, 2));
            }
            10 if voters > 2 => {
                world.fault_at(when, Fault::DiskFails(a));
                world.fault_at(lasts, Fault::Kill(a));
            }
            11 | 12 if voters > 2 && data_loss_at < LAST_S * 1_000 => {
                let voter = world.random_below(voters as u64) as usize;
                let fault = match world.random_below(3) {
                    0 => {
                        world.fault_at(data_loss_at - 3_000, Fault::CopyDisk(voter));
                        Fault::RestoreDiskCopy(voter)
                    }
                    1 => Fault::EraseDisk(voter),
                    _ => {
                        world.fault_at(data_loss_at - 3_000, Fault::DropSyncs(voter));
                        Fault::Kill(voter)
                    }
                };
                world.fault_at(data_loss_at, fault);
                data_loss_at += 25_000;
            }
            _ => world.fault_at(when, Fault::Kill(a)),
        }
    }
    world
}

/// Runs a schedule to its end. Fails if an invariant is violated, or if there is no leader or something that
/// was begun does not end once the faults are over.
pub(crate) fn run_schedule(world: &mut World, nodes: usize) -> Result<(), String> {
    let check = |world: &World| world.violation.clone().map_or(Ok(()), Err);
    world.run_until(LAST_S * 1_000 + 13_000);
    world.fault_at(LAST_S * 1_000 + 13_001, Fault::Heal);
    let mut at = LAST_S * 1_000 + 40_000;
    world.run_until(at);
    check(world)?;
    // Operators activate what they drained, and resume the release or roll it back.
    for round in 0..6 {
        // Waits up to 5 s for a leader, as the release may just be restarting the leader.
        let waits = (0..5).find(|_| {
            at += 1_000;
            world.run_until(at);
            world.leader().is_some()
        });
        check(world)?;
        let Some(leader) = waits.and(world.leader()) else {
            return Err("no leader after the faults have ended".into());
        };
        let state = world.newest_state().ok_or("no state")?.clone();
        for (unit, of) in &state.units {
            if of.unit_state.cause().is_some_and(|cause| !matches!(cause, Cause::Release(_))) {
                let id = format!("take back {unit} {round}");
                world.request_at(at + 1, leader, &id, Command::Activate { unit: unit.clone() });
            }
        }
        for (unit, of) in &state.hosts {
            if of.held.is_some() {
                let id = format!("take back {unit} {round}");
                world.request_at(at + 1, leader, &id, Command::Activate { unit: unit.clone() });
            }
        }
        if let Some(release) = &state.release
            && matches!(release.release_state, ReleaseState::Halted(_))
        {
            let command =
                if release.back.is_none() && round > 1 { Command::RollBack } else { Command::Resume };
            world.request_at(at + 2, leader, &format!("end {round}"), command);
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
    let still_out: Vec<_> = state.units_out().collect();
    let release = state
        .release
        .as_ref()
        .map(|of| (of.number, &of.release_state, of.wave, &of.waves, of.back.is_some()));
    let hosts: Vec<_> = state.hosts.iter().filter(|(_, host)| host.is_out()).collect();
    Err(format!(
        "not finished at {at} ms: units {still_out:?}, hosts {hosts:?}, release {release:?}, {} nodes out",
        world.count_out()
    ))
}

/// The numbers of nodes and voters for a seed.
pub(crate) fn fleet_size(seed: u64) -> (usize, usize) {
    [(3, 3), (5, 3), (5, 5), (7, 5), (4, 3), (9, 5), (2, 2), (6, 3), (1, 1), (12, 5)][(seed % 10) as usize]
}
