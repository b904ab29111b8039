//! Helpers for the schedules.

use glendeck_fleet::policy::{Act, OnHalt, UnitName};
use glendeck_fleet::state::{Command, ReleaseState};

use crate::world::{World, plan, policy};

pub(crate) fn halt(why: &str) -> Command {
    Command::Halt { why: why.into() }
}

pub(crate) fn name(at: usize) -> UnitName {
    UnitName(format!("n{at}"))
}

pub(crate) fn host(at: usize) -> UnitName {
    UnitName(format!("h{at}"))
}

/// Runs a new fleet for 14 s, by when it is founded and its leader knows all members; returns it and the
/// leader.
pub(crate) fn started_fleet(nodes: usize, voters: usize) -> (World, usize) {
    let mut world = World::new(7, policy(nodes, voters));
    world.run_until(14_000);
    let leader = world.leader().expect("a leader is elected");
    (world, leader)
}

pub(crate) fn release_state(world: &World) -> Option<ReleaseState> {
    world.newest_state()?.release.as_ref().map(|release| release.release_state.clone())
}

pub(crate) fn release(world: &mut World, at: usize, version: &str) {
    world.request_now(at, version, Command::StartRelease { plan: plan(version, Act::Exit, OnHalt::Hold) });
}

/// Runs the job for the seeds from `from` up to but excluding `to`, in parallel; returns the results that are
/// `Some`, in the order of the seeds.
pub(crate) fn in_parallel<T: Send>(from: u64, to: u64, job: impl Fn(u64) -> Option<T> + Sync) -> Vec<T> {
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
