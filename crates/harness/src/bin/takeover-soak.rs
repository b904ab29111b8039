//! Seeded faults at fleets of processes that keep work: `takeover-soak FLEETS ROUNDS [SEED]`. So many fleets at once, each
//! with so many faults one after the other; what is counted is what hosts and clients saw. Bounded, loopback only.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use glendeck_harness::{Cluster, ClusterSpec, KeyedClientStats, KeyedClients, LinkFault};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;

const NODES: usize = 5;
const VOTERS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(60);

fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        if Instant::now() > until {
            return Err(format!("not within {PATIENCE:?}: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// One fault, and its end.
#[expect(clippy::too_many_lines, reason = "one arm a kind of fault")]
fn strike(cluster: &Cluster, rng: &mut WyRand) -> Result<&'static str, String> {
    let mut roll = |below: u64| rng.generate_range(0..below);
    let (one, other) = (roll(NODES as u64) as usize, roll(NODES as u64) as usize);
    let short = 200 + roll(1_200);
    let long = 5_500 + roll(2_000);
    let start_node = |at: usize| cluster.start_node(at).map_err(|fault| fault.to_string());
    let what = match roll(11) {
        0..3 => {
            cluster.kill(one);
            pause(short);
            start_node(one)?;
            "a node killed"
        }
        3 => {
            cluster.kill(one);
            pause(roll(400));
            cluster.kill(other);
            pause(short);
            start_node(one)?;
            start_node(other)?;
            "two nodes killed"
        }
        4 => {
            cluster.signal(one, Signal::STOP);
            pause(short);
            cluster.signal(one, Signal::CONT);
            "a node stopped for a second"
        }
        5 => {
            cluster.signal(one, Signal::STOP);
            pause(long);
            cluster.signal(one, Signal::CONT);
            "a node stopped for longer than a verdict takes"
        }
        6 => {
            cluster.set_all_links(one, LinkFault::Cut);
            pause(if roll(2) == 0 { short } else { long });
            cluster.links.heal();
            "a node cut off from its peers"
        }
        9 => {
            for at in (0..NODES).filter(|at| *at != one) {
                cluster.links.set(at, one, LinkFault::Cut);
            }
            pause(long);
            cluster.links.heal();
            "a node that hears no peer"
        }
        7 | 8 => {
            cluster.set_all_links(one, LinkFault::Garbled);
            cluster.set_all_links(other, LinkFault::Garbled);
            pause(long);
            cluster.links.heal();
            "two nodes' links turn bits over"
        }
        _ => {
            cluster.set_all_links(one, if roll(2) == 0 { LinkFault::Slow } else { LinkFault::Stalled });
            pause(2_000 + roll(3_000));
            cluster.links.heal();
            "a node's links slow or stalled"
        }
    };
    Ok(what)
}

/// What came of one fleet's faults.
struct Day {
    faults: Vec<&'static str>,
    works: usize,
    ended: KeyedClientStats,
    wrong: Vec<String>,
}

fn play(rounds: usize, seed: u64) -> Result<Day, String> {
    let program = std::env::current_exe().map_err(|fault| fault.to_string())?.with_file_name("harness-node");
    let spec = ClusterSpec {
        nodes: NODES,
        voters: VOTERS,
        zones: 3,
        hosts: 4,
        most_out: 1,
        stores_intents: true,
        program,
        logs: std::env::var_os("RIG_LOGS").map(|logs| std::path::PathBuf::from(logs).join(seed.to_string())),
    };
    let cluster = Cluster::start(spec).map_err(|fault| fault.to_string())?;
    let serve = || {
        (0..NODES).all(|at| cluster.clients.frontend().availability(at).is_some_and(|of| of.accepts_clients))
    };
    wait("all serve", serve)?;
    wait("somebody leads", || cluster.leader().is_some())?;
    cluster.clear_recovered();
    let keyed_clients = KeyedClients::start(&cluster.clients, 12, seed);
    let mut rng = WyRand::new_seed(seed);
    let mut played = Vec::new();
    for _ in 0..rounds {
        played.push(strike(&cluster, &mut rng)?);
        wait("all serve", serve)?;
        let until = Instant::now() + Duration::from_millis(1_200 + rng.generate_range(0..2_000));
        while Instant::now() < until {
            cluster.clear_recovered();
            pause(50);
        }
    }
    let ended = keyed_clients.end();
    let executions = cluster.executions.lock().map_err(|fault| fault.to_string())?;
    let twice = executions
        .iter()
        .filter(|(_, executions)| executions.iter().filter(|executions| executions.had_effect).count() > 1);
    let mut wrong: Vec<String> =
        twice.map(|(work, executions)| format!("{work} done more than once: {executions:?}")).collect();
    wrong.extend(ended.lost.iter().cloned());
    wrong.extend(cluster.failed_exits());
    Ok(Day { faults: played, works: executions.len(), ended, wrong })
}

fn main() -> ExitCode {
    let given: Vec<u64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [fleets, rounds, rest @ ..] = given.as_slice() else {
        eprintln!("takeover-soak FLEETS ROUNDS [SEED]");
        return ExitCode::from(2);
    };
    let first = rest.first().copied().unwrap_or(1);
    let played: Vec<_> = std::thread::scope(|scope| {
        let days = (0..*fleets).map(|at| scope.spawn(move || play(*rounds as usize, first + at)));
        let days: Vec<_> = days.collect();
        days.into_iter().map(|day| day.join().unwrap_or_else(|_| Err("it panicked".into()))).collect()
    });
    let mut kinds = std::collections::BTreeMap::new();
    let (mut works, mut sum, mut sound) = (0, KeyedClientStats::default(), true);
    for (at, day) in played.into_iter().enumerate() {
        match day {
            Ok(Day { faults, works: done, ended, wrong }) => {
                faults.into_iter().for_each(|fault| *kinds.entry(fault).or_insert(0u32) += 1);
                works += done;
                sum.up += ended.up;
                sum.up_again += ended.up_again;
                sum.failed += ended.failed;
                sum.busy += ended.busy;
                sum.unanswered += ended.unanswered;
                sound &= wrong.is_empty();
                wrong.iter().for_each(|why| println!("seed {}: {why}", first + at as u64));
            }
            Err(why) => {
                sound = false;
                println!("seed {}: {why}", first + at as u64);
            }
        }
    }
    println!("{} faults: {kinds:?}", kinds.values().sum::<u32>());
    println!(
        "{works} works at hosts; {} served, {} of them after a loss, {} released, {} turned away, {} without an answer",
        sum.up, sum.up_again, sum.failed, sum.busy, sum.unanswered
    );
    if sound { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
