//! What clients that stay come back to when their node is killed: `warm-state-bench NODES VOTERS HOSTS [KILLS]`, where nodes
//! keep what they know of them for each other and where they do not. Bounded, loopback only; counted is what hosts and
//! clients saw. Beside it stands `harness-node`, which it starts.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use glendeck_harness::{Cluster, ClusterSpec, GroupedClients};

fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(60);
    while !holds() {
        if Instant::now() > until {
            return Err(format!("not within 60 s: {what}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

#[expect(clippy::too_many_lines, reason = "one measurement, step by step")]
fn measure(nodes: usize, voters: usize, hosts: usize, kills: usize, work: bool) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|fault| fault.to_string())?.with_file_name("harness-node");
    let logs = std::env::var_os("RIG_LOGS").map(Into::into);
    let spec =
        ClusterSpec { nodes, voters, zones: 1, hosts, most_out: 1, stores_intents: work, program, logs };
    let cluster = Cluster::start(spec).map_err(|fault| fault.to_string())?;
    let accepts_clients =
        |at: usize| cluster.clients.frontend().availability(at).is_some_and(|of| of.accepts_clients);
    wait("all serve", || (0..nodes).all(accepts_clients))?;
    wait("somebody leads", || cluster.leader().is_some())?;
    let (count, groups) = (24 * nodes as u64, 4 * hosts as u64);
    let grouped_clients = GroupedClients::start(&cluster.clients, &cluster.groups, count, groups, 5);
    wait("all are up", || grouped_clients.open() == count)?;
    std::thread::sleep(Duration::from_secs(8));
    let bytes = || -> u64 {
        let sent =
            |at: usize| cluster.status(at).and_then(|of| of["links"]["bytes_sent"].as_u64()).unwrap_or(0);
        (0..nodes).map(sent).sum()
    };
    let before = bytes();
    std::thread::sleep(Duration::from_secs(5));
    let a_second = (bytes() - before) / 5 / nodes as u64;
    let group_counts = || {
        cluster
            .groups
            .lock()
            .map(|groups| (groups.reconnected, groups.reconnected_to_group, groups.pairs()))
            .unwrap_or_default()
    };
    let (mut again, mut home, mut paid) = (0, 0, 0i64);
    for round in 0..kills {
        let before = group_counts();
        let at = round % nodes;
        cluster.kill(at);
        wait("all are up again", || grouped_clients.open() == count)?;
        std::thread::sleep(Duration::from_secs(2));
        let after = group_counts();
        (again, home) = (again + after.0 - before.0, home + after.1 - before.1);
        paid += after.2 as i64 - before.2 as i64;
        cluster.start_node(at).map_err(|fault| fault.to_string())?;
        wait("it serves again", || accepts_clients(at))?;
        std::thread::sleep(Duration::from_secs(6));
        cluster.clear_recovered();
    }
    grouped_clients.end();
    let stats = grouped_clients.stats.lock().map_err(|fault| fault.to_string())?;
    let mut back = stats.back_ms.clone();
    back.sort_unstable();
    let at = |part: f64| back.get((back.len() as f64 * part) as usize).or(back.last()).copied().unwrap_or(0);
    println!(
        "{nodes} nodes, {voters} voters, {hosts} hosts, {count} clients of {groups} groups, {}: {kills} kills; {again} came \
         again, {home} to a host that had some of their group ({:.3}); pairs of host and group {paid:+} over all kills; back \
         after p50 {} ms, p99 {} ms; {} broke, {} moved, {} turned away; {a_second} bytes a second and node before",
        if work { "kept" } else { "not kept" },
        home as f64 / again.max(1) as f64,
        at(0.5),
        at(0.99),
        stats.broke,
        stats.moved,
        stats.rejected,
    );
    Ok(())
}

fn main() -> ExitCode {
    let began = Instant::now();
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [nodes, voters, hosts, rest @ ..] = given.as_slice() else {
        eprintln!("warm-state-bench NODES VOTERS HOSTS [KILLS]");
        return ExitCode::from(2);
    };
    for work in [true, false] {
        if let Err(why) = measure(*nodes, *voters, *hosts, rest.first().copied().unwrap_or(4), work) {
            eprintln!("{why}");
            return ExitCode::FAILURE;
        }
    }
    println!("{:.0} s", began.elapsed().as_secs_f64());
    ExitCode::SUCCESS
}
