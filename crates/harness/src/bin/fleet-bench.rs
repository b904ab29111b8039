//! Figures of a fleet of processes on this machine: `cluster-bench NODES VOTERS [ROUNDS]`. Bounded, loopback only; what is
//! timed is what the frontend and the admin interface saw. Beside it stands `harness-node`, which it starts.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use glendeck_harness::{AdminReply, Cluster, ClusterSpec, LinkFault};
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(150);

fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<Duration, String> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > PATIENCE {
            return Err(format!("not within {PATIENCE:?}: {what}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(began.elapsed())
}

/// Processor time in ms, and resident memory in KiB.
fn cost(process: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let rest: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| rest.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let memory =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
    // The system counts in hundredths of a second.
    ((ticks(11) + ticks(12)) * 10, memory.unwrap_or(0))
}

fn said(status: &Value) -> (u64, u64) {
    let of = |key: &str| status["links"][key].as_u64().unwrap_or(0);
    (of("frames_sent") + of("frames_heard"), of("bytes_sent") + of("bytes_heard"))
}

fn spread(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |part: f64| times.get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)));
    let show = |time: Option<&Duration>| time.map_or("-".into(), |time| format!("{:.2}", time.as_secs_f64()));
    let worst = show(times.last());
    println!(
        "{name}: p50 {} s, p99 {} s, worst {worst} s, of {}",
        show(at(0.5)),
        show(at(0.99)),
        times.len()
    );
}

fn order(cluster: &Cluster, path: &str, mut body: Value, id: &str) -> Result<(), String> {
    body["id"] = id.into();
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        let at = cluster.leader().unwrap_or(0);
        match cluster.call(at, "POST", path, &body) {
            Ok(AdminReply { status: 200, .. }) => return Ok(()),
            Ok(AdminReply { status: 503, .. }) | Err(_) if Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(50))
            }
            other => return Err(format!("{path}: {other:?}")),
        }
    }
}

fn is_settled(cluster: &Cluster) -> bool {
    let status = cluster.leader().and_then(|at| cluster.status(at)).unwrap_or_default();
    let units = status["state"]["units"].as_object().cloned().unwrap_or_default();
    units.len() == cluster.spec.nodes
        && units.values().all(|unit| unit["lost"] == false && unit["standing"] == "Serving")
}

/// Until another voter leads, and has decided something.
fn replaced(cluster: &Cluster, leader: usize) -> Result<Duration, String> {
    wait("a new leader", || {
        (0..cluster.spec.voters).filter(|at| *at != leader).any(|at| {
            let status = cluster.status(at).unwrap_or_default();
            status["leads"] == true && status["confirmed"] == true
        })
    })
}

fn accepts_clients(cluster: &Cluster, at: usize) -> bool {
    cluster.clients.frontend().availability(at).is_some_and(|of| of.accepts_clients)
}

#[expect(clippy::too_many_lines, reason = "one measurement, step by step")]
fn measure(nodes: usize, voters: usize, rounds: usize) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|fault| fault.to_string())?.with_file_name("harness-node");
    let most_out = (nodes as u32 / 4).max(1);
    let spec = ClusterSpec {
        nodes,
        voters,
        zones: 3,
        hosts: 4,
        most_out,
        stores_intents: false,
        program,
        logs: std::env::var_os("RIG_LOGS").map(Into::into),
    };
    let mut cluster = Cluster::start(spec).map_err(|fault| fault.to_string())?;
    wait("all serve", || (0..nodes).all(|at| accepts_clients(&cluster, at)))?;
    let took = wait("all are seen to serve", || is_settled(&cluster))?;
    println!(
        "{nodes} nodes, {voters} voters, at most {most_out} out; founded and seen {:.1} s after all serve",
        took.as_secs_f64()
    );
    // Idle, without clients.
    let leader = cluster.leader().ok_or("nobody leads")?;
    let kinds = [
        ("leader", leader),
        ("voter", (0..voters).find(|at| *at != leader).unwrap_or(0)),
        ("member", nodes - 1),
    ];
    let look = |at: usize| {
        let status = cluster.status(at).unwrap_or_default();
        (said(&status), cluster.process(at).map(cost).unwrap_or_default())
    };
    let before: Vec<_> = kinds.iter().map(|(_, at)| look(*at)).collect();
    std::thread::sleep(Duration::from_secs(20));
    for ((name, at), (words, spent)) in kinds.iter().zip(before) {
        let (now, cost) = look(*at);
        println!(
            "idle {name}: {:.1} frames/s, {:.0} bytes/s, {:.2}% of a core, {:.1} MiB",
            (now.0 - words.0) as f64 / 20.0,
            (now.1 - words.1) as f64 / 20.0,
            (cost.0 - spent.0) as f64 / 200.0,
            cost.1 as f64 / 1024.0
        );
    }
    cluster.clients.add_clients(3 * nodes as u64, 1);
    std::thread::sleep(Duration::from_secs(3));
    if voters > 2 {
        let mut times = Vec::new();
        for _ in 0..rounds {
            let leader = cluster.leader().ok_or("nobody leads")?;
            cluster.kill(leader);
            times.push(replaced(&cluster, leader)?);
            cluster.start_node(leader).map_err(|fault| fault.to_string())?;
            wait("it serves again", || accepts_clients(&cluster, leader))?;
            wait("all are seen to serve", || is_settled(&cluster))?;
            cluster.clear_recovered();
        }
        spread("a leader is killed, until another has decided something", times);
        let mut times = Vec::new();
        for _ in 0..rounds {
            let leader = cluster.leader().ok_or("nobody leads")?;
            cluster.set_all_links(leader, LinkFault::Stalled);
            times.push(replaced(&cluster, leader)?);
            cluster.links.heal();
            wait("all are seen to serve", || is_settled(&cluster))?;
        }
        spread("all links of a leader stall, until another has decided something", times);
    }
    // A halt, from its being ordered until the last who goes out for all that, as the frontend sees.
    let plan = json!({"version": "v1", "waves": ["100%"], "watch_s": 3, "unit_limit_s": 200, "act": "drain",
                      "gates": {"most_lost": nodes, "failures_per_thousand": 1000, "busy_per_thousand": 1000}});
    let (mut times, mut answered) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        order(&cluster, "/v1/fleet/release/start", json!({"plan": plan}), &format!("start {round}"))?;
        wait("some are out", || (0..nodes).any(|at| !accepts_clients(&cluster, at)))?;
        let began = Instant::now();
        order(&cluster, "/v1/fleet/release/halt", json!({}), &format!("halt {round}"))?;
        answered.push(began.elapsed());
        std::thread::sleep(Duration::from_secs(5));
        let last = (0..nodes)
            .filter_map(|at| cluster.clients.frontend().availability(at))
            .filter(|of| !of.accepts_clients)
            .map(|of| of.since)
            .max();
        times.push(last.map_or(Duration::ZERO, |last| last.saturating_duration_since(began)));
        // What is out is taken back, and the release is ended by its way back.
        order(&cluster, "/v1/fleet/release/back", json!({}), &format!("back {round}"))?;
        wait("it is back", || {
            let status = cluster.leader().and_then(|at| cluster.status(at)).unwrap_or_default();
            status["state"]["release"]["course"] == "Finished" && is_settled(&cluster)
        })?;
    }
    spread("a halt is answered", answered);
    spread("a halt holds everywhere", times);
    let mut plan = plan;
    (plan["version"], plan["act"], plan["waves"]) = ("v2".into(), "exit".into(), json!([1, "100%"]));
    cluster.clients.reset_most_out();
    let began = Instant::now();
    order(&cluster, "/v1/fleet/release/start", json!({"plan": plan}), "release")?;
    wait("the release is over", || {
        let status = cluster.leader().and_then(|at| cluster.status(at)).unwrap_or_default();
        status["state"]["release"]["course"] == "Finished"
    })?;
    let took = began.elapsed();
    let stats = cluster.clients.end();
    println!(
        "a release of all: {:.0} s, most out at once {}; {} calls answered, {} turned away, {} failed, {} moved, {} lost",
        took.as_secs_f64(),
        stats.most_out,
        stats.answered,
        stats.busy,
        stats.failed,
        stats.moved,
        stats.lost.len()
    );
    for lost in stats.lost.iter().take(5) {
        println!("lost: {lost}");
    }
    let badly = cluster.failed_exits();
    if badly.is_empty() { Ok(()) } else { Err(format!("{badly:?}")) }
}

fn main() -> ExitCode {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let [nodes, voters, rest @ ..] = given.as_slice() else {
        eprintln!("fleet-bench NODES VOTERS [ROUNDS]");
        return ExitCode::from(2);
    };
    match measure(*nodes, (*voters).min(*nodes), rest.first().copied().unwrap_or(10)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("fleet-bench: {why}");
            ExitCode::FAILURE
        }
    }
}
