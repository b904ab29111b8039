//! What keeping work costs and what it saves: `takeover-bench NODES VOTERS [KILLS]`, with keepers and without. Bounded,
//! loopback only; what is counted is what clients and hosts saw. Beside it stands `harness-node`, which it starts.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use glendeck_harness::{Ended, Fleet, Shape, Workers};

const PATIENCE: Duration = Duration::from_secs(120);

/// Keepers that have just begun answer for repeats after this: `recall_s`, the longest deadline and what is left alone.
const REMEMBER: Duration = Duration::from_millis(8_500);

fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        if Instant::now() > until {
            return Err(format!("not within {PATIENCE:?}: {what}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn spread(mut ms: Vec<u64>) -> String {
    ms.sort_unstable();
    let at = |part: f64| ms.get(((ms.len() as f64 * part) as usize).min(ms.len().saturating_sub(1)));
    let show = |ms: Option<&u64>| ms.map_or("-".into(), u64::to_string);
    let (half, most, worst) = (show(at(0.5)), show(at(0.99)), show(ms.last()));
    format!("p50 {half} ms, p99 {most} ms, worst {worst} ms, of {}", ms.len())
}

/// Processor time of all nodes in ms, and frames that they sent.
fn spent(fleet: &Fleet) -> (u64, u64) {
    let cpu = |at: usize| {
        let process = fleet.process(at)?;
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let rest: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |at: usize| rest.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        Some((ticks(11) + ticks(12)) * 10)
    };
    let frames = |at: usize| fleet.status(at)?["links"]["frames_sent"].as_u64();
    let nodes = 0..fleet.shape.nodes;
    (nodes.clone().filter_map(cpu).sum(), nodes.filter_map(frames).sum())
}

fn bytes(fleet: &Fleet) -> u64 {
    let sent = |at: usize| fleet.status(at)?["links"]["bytes_sent"].as_u64();
    (0..fleet.shape.nodes).filter_map(sent).sum()
}

fn takes(fleet: &Fleet, at: usize) -> bool {
    fleet.clients.standing(at).is_some_and(|of| of.takes)
}

fn measure(nodes: usize, voters: usize, kills: usize, work: bool) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|fault| fault.to_string())?.with_file_name("harness-node");
    let logs = std::env::var_os("RIG_LOGS").map(Into::into);
    let shape = Shape { nodes, voters, zones: 3, hosts: 4, most_out: 1, work, program, logs };
    let fleet = Fleet::start(shape).map_err(|fault| fault.to_string())?;
    wait("all serve", || (0..nodes).all(|at| takes(&fleet, at)))?;
    wait("somebody leads", || fleet.leader().is_some())?;
    std::thread::sleep(REMEMBER);
    fleet.forgive();
    println!("{nodes} nodes, {voters} voters, {}", if work { "with keepers" } else { "without" });
    let before = (spent(&fleet), bytes(&fleet));
    std::thread::sleep(Duration::from_secs(10));
    let (after, sent) = (spent(&fleet), bytes(&fleet) - before.1);
    let each = 10.0 * nodes as f64;
    println!(
        "idle, a second and node: {:.2} ms of processor, {:.1} frames, {:.0} bytes",
        (after.0 - before.0.0) as f64 / each,
        (after.1 - before.0.1) as f64 / each,
        sent as f64 / each
    );
    let calm = Workers::start(&fleet.clients, 30, 3);
    let before = spent(&fleet);
    std::thread::sleep(Duration::from_secs(15));
    let after = spent(&fleet);
    let ended = calm.end();
    let [referenced, once_only] = ended.first_ms;
    let all = (ended.up + ended.released + ended.busy + ended.unanswered).max(1);
    println!(
        "calm: {} served, {} released, {} turned away; up after: referenced {}; once-only {}; {:.2} ms of processor and {:.1} frames a work",
        ended.up,
        ended.released,
        ended.busy,
        spread(referenced),
        spread(once_only),
        (after.0 - before.0) as f64 / all as f64,
        (after.1 - before.1) as f64 / all as f64
    );
    let workers = Workers::start(&fleet.clients, 30, 5);
    std::thread::sleep(Duration::from_secs(1));
    // Works served, released and turned away in the 10 s after each kill.
    let ends = || workers.ended.lock().map(|of| [of.up, of.released, of.busy]).unwrap_or_default();
    let mut after_kills = [0; 3];
    for round in 0..kills {
        let at = (round * 7 + 1) % nodes;
        let (before, killed) = (ends(), Instant::now());
        fleet.kill(at);
        std::thread::sleep(Duration::from_millis(1_500));
        fleet.begin(at).map_err(|fault| fault.to_string())?;
        std::thread::sleep(Duration::from_secs(10).saturating_sub(killed.elapsed()));
        let after = ends();
        (0..3).for_each(|of| after_kills[of] += after[of] - before[of]);
        wait("it serves again", || takes(&fleet, at))?;
        std::thread::sleep(REMEMBER);
        fleet.forgive();
    }
    let Ended { up, released, busy, unanswered, up_again, again_ms, settled_ms, lost, .. } = workers.end();
    println!(
        "{kills} kills: {up} served, {up_again} of them after their node was lost, {}; {released} released, {busy} turned \
         away, {unanswered} unanswered at their last coming, {} lost at nodes that lived",
        spread(again_ms),
        lost.len()
    );
    println!(
        "settled after their node was lost: first after {} ms, {}",
        settled_ms.iter().min().copied().unwrap_or(0),
        spread(settled_ms)
    );
    let [served, released, busy] = after_kills;
    println!("in the 10 s after each kill: {served} served, {released} released, {busy} turned away, in all");
    let effects = fleet.effects.lock().map_err(|fault| fault.to_string())?;
    let twice = effects.values().filter(|did| did.iter().filter(|did| did.anew).count() > 1).count();
    println!("works done at hosts: {}, done more than once: {twice}", effects.len());
    drop(effects);
    let badly = fleet.ended_badly();
    if badly.is_empty() { Ok(()) } else { Err(format!("{badly:?}")) }
}

fn main() -> ExitCode {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [nodes, voters, rest @ ..] = given.as_slice() else {
        eprintln!("takeover-bench NODES VOTERS [KILLS]");
        return ExitCode::from(2);
    };
    let kills = rest.first().copied().unwrap_or(4);
    for work in [true, false] {
        if let Err(why) = measure(*nodes, *voters, kills, work) {
            eprintln!("{why}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
