//! What keeping work costs and what it saves: `takeover-bench NODES VOTERS [KILLS]`, with keepers and without. Bounded,
//! loopback only; what is counted is what clients and hosts saw. Beside it stands `harness-node`, which it starts.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use glendeck_harness::{Cluster, ClusterSpec, KeyedClientStats, KeyedClients};

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
fn spent(cluster: &Cluster) -> (u64, u64) {
    let cpu = |at: usize| {
        let process = cluster.process(at)?;
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let rest: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |at: usize| rest.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        Some((ticks(11) + ticks(12)) * 10)
    };
    let frames = |at: usize| cluster.status(at)?["links"]["frames_sent"].as_u64();
    let nodes = 0..cluster.spec.nodes;
    (nodes.clone().filter_map(cpu).sum(), nodes.filter_map(frames).sum())
}

fn bytes(cluster: &Cluster) -> u64 {
    let sent = |at: usize| cluster.status(at)?["links"]["bytes_sent"].as_u64();
    (0..cluster.spec.nodes).filter_map(sent).sum()
}

fn accepts_clients(cluster: &Cluster, at: usize) -> bool {
    cluster.clients.frontend().availability(at).is_some_and(|of| of.accepts_clients)
}

#[expect(clippy::too_many_lines, reason = "one measurement, step by step")]
fn measure(nodes: usize, voters: usize, kills: usize, work: bool) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|fault| fault.to_string())?.with_file_name("harness-node");
    let logs = std::env::var_os("RIG_LOGS").map(Into::into);
    let spec =
        ClusterSpec { nodes, voters, zones: 3, hosts: 4, most_out: 1, stores_intents: work, program, logs };
    let cluster = Cluster::start(spec).map_err(|fault| fault.to_string())?;
    wait("all serve", || (0..nodes).all(|at| accepts_clients(&cluster, at)))?;
    wait("somebody leads", || cluster.leader().is_some())?;
    std::thread::sleep(REMEMBER);
    cluster.clear_recovered();
    println!("{nodes} nodes, {voters} voters, {}", if work { "with keepers" } else { "without" });
    let before = (spent(&cluster), bytes(&cluster));
    std::thread::sleep(Duration::from_secs(10));
    let (after, sent) = (spent(&cluster), bytes(&cluster) - before.1);
    let each = 10.0 * nodes as f64;
    println!(
        "idle, a second and node: {:.2} ms of processor, {:.1} frames, {:.0} bytes",
        (after.0 - before.0.0) as f64 / each,
        (after.1 - before.0.1) as f64 / each,
        sent as f64 / each
    );
    let calm = KeyedClients::start(&cluster.clients, 30, 3);
    let before = spent(&cluster);
    std::thread::sleep(Duration::from_secs(15));
    let after = spent(&cluster);
    let ended = calm.end();
    let [referenced, once_only] = ended.first_ms;
    let all = (ended.up + ended.failed + ended.busy + ended.unanswered).max(1);
    println!(
        "calm: {} served, {} released, {} turned away; up after: referenced {}; once-only {}; {:.2} ms of processor and {:.1} frames a work",
        ended.up,
        ended.failed,
        ended.busy,
        spread(referenced),
        spread(once_only),
        (after.0 - before.0) as f64 / all as f64,
        (after.1 - before.1) as f64 / all as f64
    );
    let keyed_clients = KeyedClients::start(&cluster.clients, 30, 5);
    std::thread::sleep(Duration::from_secs(1));
    // Works served, released and turned away in the 10 s after each kill.
    let ends = || keyed_clients.stats.lock().map(|of| [of.up, of.failed, of.busy]).unwrap_or_default();
    let mut after_kills = [0; 3];
    for round in 0..kills {
        let at = (round * 7 + 1) % nodes;
        let (before, was_killed) = (ends(), Instant::now());
        cluster.kill(at);
        std::thread::sleep(Duration::from_millis(1_500));
        cluster.start_node(at).map_err(|fault| fault.to_string())?;
        std::thread::sleep(Duration::from_secs(10).saturating_sub(was_killed.elapsed()));
        let after = ends();
        (0..3).for_each(|of| after_kills[of] += after[of] - before[of]);
        wait("it serves again", || accepts_clients(&cluster, at))?;
        std::thread::sleep(REMEMBER);
        cluster.clear_recovered();
    }
    let KeyedClientStats { up, failed, busy, unanswered, up_again, again_ms, settled_ms, lost, .. } =
        keyed_clients.end();
    println!(
        "{kills} kills: {up} served, {up_again} of them after their node was lost, {}; {failed} released, {busy} turned \
         away, {unanswered} unanswered at their last coming, {} lost at nodes that lived",
        spread(again_ms),
        lost.len()
    );
    println!(
        "settled after their node was lost: first after {} ms, {}",
        settled_ms.iter().min().copied().unwrap_or(0),
        spread(settled_ms)
    );
    let [served, failed, busy] = after_kills;
    println!("in the 10 s after each kill: {served} served, {failed} released, {busy} turned away, in all");
    let executions = cluster.executions.lock().map_err(|fault| fault.to_string())?;
    let twice = executions
        .values()
        .filter(|executions| executions.iter().filter(|executions| executions.had_effect).count() > 1)
        .count();
    println!("works done at hosts: {}, done more than once: {twice}", executions.len());
    drop(executions);
    let badly = cluster.failed_exits();
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
