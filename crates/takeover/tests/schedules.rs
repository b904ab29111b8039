//! Days of faults in simulated time: nodes that replicate intents, hosts that run what they are sent, clients that repeat
//! calls at other nodes. The truth is what hosts ran and what clients were answered.

mod world;

use glendeck_takeover::fault_injection::{InjectedFault, inject};
use test_case::test_case;
use world::{Day, World};

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

fn play(seed: u64, verbose: bool) -> World {
    let mut world = World::new(seed, Day::draw(seed));
    world.verbose = verbose;
    world.run();
    world
}

/// `SEEDS=from..to` plays others, `LOOK=seed` prints the log of one day.
#[test]
fn no_work_runs_twice_on_drawn_days() {
    if let Some(seed) = std::env::var("LOOK").ok().and_then(|seed| seed.parse().ok()) {
        let world = play(seed, true);
        world.log_lines.iter().for_each(|line| println!("{line}"));
        return println!("{:?} {:?}", world.violation, world.totals);
    }
    let given = std::env::var("SEEDS").ok();
    let (from, to) = given
        .as_deref()
        .and_then(|text| text.split_once(".."))
        .and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)))
        .unwrap_or((0, 3_000));
    let days = in_parallel(from, to, |seed| {
        let world = play(seed, false);
        Some((world.violation.clone(), world.totals))
    });
    let broken: Vec<_> = days.iter().filter_map(|(seed, (why, _))| Some((seed, why.as_ref()?))).collect();
    assert!(
        broken.is_empty(),
        "{} of {} days: {:#?}",
        broken.len(),
        to - from,
        &broken[..broken.len().min(8)]
    );
    let mut all = world::Totals::default();
    days.iter().for_each(|(_, (_, seen))| all.add(seen));
    println!("{} days: {all:?}", to - from);
    // A checker that sees nothing happen proves nothing.
    assert!(all.over > 0 && all.raced > 0 && all.released > 0 && all.placed_again > 0, "{all:?}");
}

/// Each injected fault is caught on a drawn day.
#[test_case(InjectedFault::SendBeforeReplicated; "an attempt sent before its intent is replicated")]
#[test_case(InjectedFault::SingleReplicaSuffices; "one replica is taken for a majority")]
#[test_case(InjectedFault::SendAfterWindow; "an intent replicated long ago lets an attempt be sent")]
#[test_case(InjectedFault::NoFencing; "intents of older terms are accepted")]
#[test_case(InjectedFault::RecordDroppedOnAnswer; "a record dropped with its answer")]
#[test_case(InjectedFault::AnswersWithoutHistory; "a replica that just started answers queries")]
#[test_case(InjectedFault::ConflictAccepted; "two repeats at once are both accepted")]
#[test_case(InjectedFault::OpenRecordTakenOver; "a record taken over while it is open")]
#[test_case(InjectedFault::WindowFromRepeat; "a window that counts from the repeat")]
fn an_injected_fault_is_caught(fault: InjectedFault) {
    let caught = std::sync::atomic::AtomicBool::new(false);
    let found = in_parallel(0, 6_000, |seed| {
        if caught.load(std::sync::atomic::Ordering::Relaxed) {
            return None;
        }
        inject(Some(fault));
        // What is done twice counts here, not what is late.
        let broken = play(seed, false).violation.filter(|why| !why.contains("parked"));
        inject(None);
        caught.fetch_or(broken.is_some(), std::sync::atomic::Ordering::Relaxed);
        broken
    });
    println!("{fault:?}: {:?}", found.first());
    assert!(!found.is_empty(), "{fault:?} is not caught");
}

/// Messages with flipped bits: with checksums they are lost, without them works run twice.
#[test_case(true, 1_000)]
#[test_case(false, 3_000)]
fn flipped_bits_do_harm_only_without_checksums(sums: bool, days: u64) {
    let broken = in_parallel(0, days, |seed| {
        let mut world = World::new(seed, Day::draw(seed));
        world.damaged = (10, sums);
        world.run();
        world.violation.filter(|why| !why.contains("parked"))
    });
    println!("sums {sums}: {} of {days} days broken, {:?}", broken.len(), broken.first());
    assert_eq!(broken.is_empty(), sums, "{:?}", broken.first());
}

#[test]
fn the_same_seed_gives_the_same_log() {
    let trace = || play(11, true).log_lines;
    assert_eq!(trace(), trace());
}

/// Without faults every call is served, and no record outlives its retention.
#[test]
fn a_calm_day_serves_all_calls_and_all_records_expire() {
    let mut world = World::new(1, Day::calm());
    world.run();
    assert_eq!(world.violation, None);
    assert!(world.totals.up == 70 && world.totals.released == 0, "{:?}", world.totals);
    world.idle(60_000);
    assert_eq!(world.record_count(), 0);
}
