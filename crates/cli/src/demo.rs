//! `glendeck demo`: starts three nodes on loopback with simulated hosts, discovery, front end and clients,
//! and runs a drain and a release, usually in under a minute.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use glendeck_harness::{AdminReply, Cluster, ClusterSpec};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::output::print_line;
use crate::show;
use crate::status::{ReleaseState, Status};

const NODES: usize = 3;
const CLIENTS: u64 = 30;

/// Limit for each step of the demo.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the drained node stays out, so that its clients can be seen to reconnect to other nodes.
const OUT_TIME: Duration = Duration::from_secs(4);

/// Runs the demo with this node program, and keeps the cluster running for `stay` afterwards.
pub(crate) fn run(program: Option<&Path>, stay: Duration) -> Result<(), CommandError> {
    let program = program.map_or_else(default_program, |program| Ok(program.to_owned()))?;
    let cluster = start(program)?;
    drain_and_activate(&cluster)?;
    release(&cluster)?;
    if !stay.is_zero() {
        print_line(format_args!(
            "\nthe cluster keeps running for {} s: try `glendeck fleet status --door {}`",
            stay.as_secs(),
            cluster.admin_address(0)
        ))?;
        std::thread::sleep(stay);
    }
    report_clients(cluster)
}

/// The node's program in the directory of this one; both are built together.
fn default_program() -> Result<PathBuf, CommandError> {
    let this_program = std::env::current_exe().map_err(unanswered)?;
    let program = this_program.with_file_name("glendeck-node");
    if program.exists() {
        return Ok(program);
    }
    let place = program.display();
    Err(CommandError::Invalid(format!(
        "no node program at {place}: build glendeck-node, or give its path with --program"
    )))
}

fn start(program: PathBuf) -> Result<Cluster, CommandError> {
    let spec = ClusterSpec {
        nodes: NODES,
        voters: 3,
        zones: 3,
        hosts: 3,
        most_out: 1,
        stores_intents: true,
        program,
        logs: None,
    };
    print_line(
        "starting three nodes, three hosts, a discovery service, a front end and 30 clients on loopback",
    )?;
    let mut cluster = Cluster::start(spec).map_err(unanswered)?;
    cluster.clients.add_clients(CLIENTS, 1);
    wait("all nodes are serving", || (0..NODES).all(|node| is_serving(&cluster, node)))?;
    // Resets the maximum of nodes out at once, since nodes that had not started yet were counted as out.
    cluster.clients.reset_most_out();
    print_line(
        "forming the fleet; the fleet counts a node as serving after it has been seen to serve for 5 s",
    )?;
    wait("the fleet sees all nodes as serving", || is_settled(&cluster))?;
    for node in 0..NODES {
        print_line(format_args!("  n{node}: admin interface at {}", cluster.admin_address(node)))?;
    }
    print_line(format_args!("{}\n", show::status(&status(&cluster).unwrap_or_default())))?;
    Ok(cluster)
}

fn drain_and_activate(cluster: &Cluster) -> Result<(), CommandError> {
    order(cluster, "/v1/fleet/drain", &json!({"unit": "n2", "id": "demo drain"}))?;
    order(cluster, "/v1/fleet/drain", &json!({"unit": "n1", "id": "demo second drain"}))?;
    wait("n2 is out", || !is_serving(cluster, 2))?;
    print_line("the front end sends no clients to n2; its clients reconnect to the other nodes")?;
    std::thread::sleep(OUT_TIME);
    order(cluster, "/v1/fleet/activate", &json!({"unit": "n2", "id": "demo activate"}))?;
    wait("n2 is back", || is_settled(cluster))?;
    print_line("n2 is back\n")
}

fn release(cluster: &Cluster) -> Result<(), CommandError> {
    // A node that has just returned rejects some of the demo's many clients until it knows the hosts, so the
    // gate on rejected calls is set to its maximum.
    let gates = json!({"busy_per_thousand": 1000});
    let plan = json!({
        "version": "v2", "waves": [1, "100%"], "watch_s": 3, "unit_limit_s": 60, "gates": gates,
    });
    order(cluster, "/v1/fleet/release/start", &json!({"plan": plan, "id": "demo release"}))?;
    let mut printed = String::new();
    wait("the release is finished", || {
        let Some(status) = status(cluster) else { return false };
        let text = show::release(&status);
        if text != printed {
            // The next line that is printed reports an error of this one.
            let _ = print_line(&text);
            printed = text;
        }
        let state = status.state.release.map(|release| release.state);
        matches!(state, Some(ReleaseState::Finished))
    })
}

fn report_clients(cluster: Cluster) -> Result<(), CommandError> {
    let seen = cluster.clients.end();
    print_line(format_args!(
        "\nclients: {} calls answered, {} rejected, {} failed, {} moved, {} lost; most nodes out at once: {}",
        seen.answered,
        seen.busy,
        seen.failed,
        seen.moved,
        seen.lost.len(),
        seen.most_out
    ))?;
    if seen.lost.is_empty() { Ok(()) } else { Err(CommandError::Refused(seen.lost.join("\n"))) }
}

/// The status as the leader reports it.
fn status(cluster: &Cluster) -> Option<Status> {
    let json = cluster.leader().and_then(|leader| cluster.status(leader))?;
    Status::deserialize(&json).ok()
}

fn is_serving(cluster: &Cluster, node: usize) -> bool {
    cluster.clients.frontend().availability(node).is_some_and(|availability| availability.accepts_clients)
}

fn is_settled(cluster: &Cluster) -> bool {
    let units = status(cluster).unwrap_or_default().state.units;
    units.len() == NODES && units.values().all(|unit| unit.is_serving() && !unit.is_lost)
}

/// Sends an order to the first node, and prints it with the reply.
fn order(cluster: &Cluster, path: &str, body: &Value) -> Result<(), CommandError> {
    #[derive(Default, Deserialize)]
    struct Reply {
        said: Option<String>,
        why: Option<String>,
    }
    let AdminReply { status: code, body: json } = cluster.call(0, "POST", path, body).map_err(unanswered)?;
    let reply = Reply::deserialize(&json).unwrap_or_default();
    let text = reply.said.or(reply.why).unwrap_or_else(|| "-".into());
    print_line(format_args!("POST {path} {body} -> {code} {text}"))
}

fn wait(condition: &str, mut holds: impl FnMut() -> bool) -> Result<(), CommandError> {
    let until = Instant::now() + STEP_TIMEOUT;
    while !holds() {
        if Instant::now() > until {
            return Err(CommandError::Unanswered(format!(
                "timed out after {STEP_TIMEOUT:?} waiting for: {condition}"
            )));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn unanswered(error: impl Display) -> CommandError {
    CommandError::Unanswered(error.to_string())
}
