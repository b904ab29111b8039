//! Random scenarios of faults in simulated time: nodes replicate intents, hosts run the attempts that they
//! are sent, and clients repeat calls at other nodes. The checks look at what hosts ran, at attempts in
//! flight at two nodes and at calls past their deadline.

mod world;

use glendeck_takeover::fault_injection::{InjectedFault, inject};
use test_case::test_case;
use world::{Scenario, World};

fn in_parallel<T: Send>(from: u64, to: u64, job: impl Fn(u64) -> Option<T> + Sync) -> Vec<(u64, T)> {
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
    found
}

fn simulate(seed: u64, verbose: bool) -> World {
    let mut world = World::new(seed, Scenario::from_seed(seed));
    world.verbose = verbose;
    world.run();
    world
}

/// `SEEDS=from..to` runs other seeds, `LOOK=seed` prints the log of one scenario.
#[test]
fn no_work_item_runs_twice_in_random_scenarios() {
    if let Some(seed) = std::env::var("LOOK").ok().and_then(|seed| seed.parse().ok()) {
        let world = simulate(seed, true);
        world.log_lines.iter().for_each(|line| println!("{line}"));
        return println!("{:?} {:?}", world.violation, world.totals);
    }
    let given = std::env::var("SEEDS").ok();
    let (from, to) = given
        .as_deref()
        .and_then(|text| text.split_once(".."))
        .and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)))
        .unwrap_or((0, 3_000));
    let scenarios = in_parallel(from, to, |seed| {
        let world = simulate(seed, false);
        Some((world.violation.clone(), world.totals))
    });
    let broken: Vec<_> =
        scenarios.iter().filter_map(|(seed, (why, _))| Some((seed, why.as_ref()?))).collect();
    assert!(
        broken.is_empty(),
        "{} of {} scenarios violate a guarantee: {:#?}",
        broken.len(),
        to - from,
        &broken[..broken.len().min(8)]
    );
    let mut all = world::Totals::default();
    scenarios.iter().for_each(|(_, (_, seen))| all.add(seen));
    println!("{} scenarios: {all:?}", to - from);
    // The checks prove nothing about a case that never occurred, so each of these has to occur.
    assert!(
        all.admitted_after_record > 0 && all.conflicted > 0 && all.failed > 0 && all.sent_after_record > 0,
        "{all:?}"
    );
}

/// Each injected fault is caught in a random scenario.
#[test_case(InjectedFault::SendBeforeReplicated; "an attempt is sent before its intent is replicated")]
#[test_case(InjectedFault::SingleReplicaSuffices; "one replica counts as a majority")]
#[test_case(InjectedFault::SendAfterWindow; "an attempt is sent after its send window")]
#[test_case(InjectedFault::NoFencing; "intents of older terms are accepted")]
#[test_case(InjectedFault::RecordDroppedOnAnswer; "a record is dropped when its call is answered")]
#[test_case(InjectedFault::AnswersWithoutHistory; "a replica that just started answers queries")]
#[test_case(InjectedFault::ConflictAccepted; "two simultaneous repeats are both accepted")]
#[test_case(InjectedFault::OpenRecordTakenOver; "a record is taken over while it is open")]
#[test_case(InjectedFault::WindowFromRepeat; "the key window is counted from the repeat")]
fn an_injected_fault_is_caught(fault: InjectedFault) {
    let caught = std::sync::atomic::AtomicBool::new(false);
    let found = in_parallel(0, 6_000, |seed| {
        if caught.load(std::sync::atomic::Ordering::Relaxed) {
            return None;
        }
        inject(Some(fault));
        // Missed deadlines do not count here, only second runs and second attempts in flight.
        let broken = simulate(seed, false).violation.filter(|why| !why.contains("past its deadline"));
        inject(None);
        caught.fetch_or(broken.is_some(), std::sync::atomic::Ordering::Relaxed);
        broken
    });
    println!("{fault:?}: {:?}", found.first());
    assert!(!found.is_empty(), "{fault:?} is not caught");
}

/// With checksums, messages with flipped bits are dropped; without them, work items run twice.
#[test_case(true, 1_000)]
#[test_case(false, 3_000)]
fn flipped_bits_break_guarantees_only_without_checksums(has_checksums: bool, scenarios: u64) {
    let broken = in_parallel(0, scenarios, |seed| {
        let mut world = World::new(seed, Scenario::from_seed(seed));
        world.bit_flips = (10, has_checksums);
        world.run();
        world.violation.filter(|why| !why.contains("past its deadline"))
    });
    println!(
        "checksums {has_checksums}: {} of {scenarios} scenarios violate a guarantee, {:?}",
        broken.len(),
        broken.first()
    );
    assert_eq!(broken.is_empty(), has_checksums, "{:?}", broken.first());
}

#[test]
fn the_same_seed_gives_the_same_log() {
    let trace = || simulate(11, true).log_lines;
    assert_eq!(trace(), trace());
}

/// Without faults every call is served, and no record outlives its retention.
#[test]
fn without_faults_all_calls_are_served_and_all_records_expire() {
    let mut world = World::new(1, Scenario::without_faults());
    world.run();
    assert_eq!(world.violation, None);
    assert!(world.totals.established == 70 && world.totals.failed == 0, "{:?}", world.totals);
    world.run_for(60_000);
    assert_eq!(world.record_count(), 0);
}
