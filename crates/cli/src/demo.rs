//! Three nodes on loopback with all that they need, a drain and a release, in under a minute.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use glendeck_harness::{Cluster, ClusterSpec};
use serde_json::json;

use crate::{Failure, show};

const PATIENCE: Duration = Duration::from_secs(60);

fn fault(fault: impl std::fmt::Display) -> Failure {
    Failure::Unanswered(fault.to_string())
}

/// Beside this program, as both are built together.
fn beside() -> Result<PathBuf, Failure> {
    let here = std::env::current_exe().map_err(fault)?;
    let program = here.with_file_name("glendeck-node");
    if program.exists() {
        Ok(program)
    } else {
        Err(Failure::Wrong(format!(
            "no program at {}: build it, or name it with --program",
            program.display()
        )))
    }
}

fn wait(what: &str, mut holds: impl FnMut() -> bool) -> Result<(), Failure> {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        if Instant::now() > until {
            return Err(Failure::Unanswered(format!("not within {PATIENCE:?}: {what}")));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

pub fn play(program: Option<&Path>, stay: Duration) -> Result<(), Failure> {
    let program = program.map_or_else(beside, |program| Ok(program.to_owned()))?;
    let spec = ClusterSpec {
        nodes: 3,
        voters: 3,
        zones: 3,
        hosts: 3,
        most_out: 1,
        stores_intents: true,
        program,
        logs: None,
    };
    println!("starting three nodes, three hosts, a list, a front and 30 clients on loopback");
    let mut cluster = Cluster::start(spec).map_err(fault)?;
    cluster.clients.add_clients(30, 1);
    let accepts_clients = |cluster: &Cluster, at: usize| {
        cluster.clients.frontend().availability(at).is_some_and(|of| of.accepts_clients)
    };
    wait("all nodes serve", || (0..3).all(|at| accepts_clients(&cluster, at)))?;
    // Before that all were out.
    cluster.clients.reset_most_out();
    let status = |cluster: &Cluster| cluster.leader().and_then(|at| cluster.status(at));
    let settled = |cluster: &Cluster| {
        let units =
            status(cluster).unwrap_or_default()["state"]["units"].as_object().cloned().unwrap_or_default();
        units.len() == 3 && units.values().all(|unit| unit["lost"] == false && unit["standing"] == "Serving")
    };
    println!("the group is being founded; each node counts once it was seen to serve for 5 s");
    wait("all are seen to serve", || settled(&cluster))?;
    for at in 0..3 {
        println!("  n{at}: its operators' door is {}", cluster.admin_address(at));
    }
    println!("{}\n", show::status(&status(&cluster).unwrap_or_default()));
    let order = |path: &str, body: serde_json::Value| -> Result<(), Failure> {
        let answer = cluster.call(0, "POST", path, &body).map_err(fault)?;
        let (code, reply) = (answer.status, answer.body);
        println!(
            "POST {path} {body} -> {code} {}",
            reply["said"].as_str().or(reply["why"].as_str()).unwrap_or("-")
        );
        Ok(())
    };
    order("/v1/fleet/drain", json!({"unit": "n2", "id": "demo drain"}))?;
    order("/v1/fleet/drain", json!({"unit": "n1", "id": "demo second drain"}))?;
    wait("n2 is out", || !accepts_clients(&cluster, 2))?;
    println!("the front sends n2 nobody; its clients go to the others");
    std::thread::sleep(Duration::from_secs(4));
    order("/v1/fleet/activate", json!({"unit": "n2", "id": "demo activate"}))?;
    wait("n2 is back", || settled(&cluster))?;
    println!("n2 is back\n");
    let plan = json!({"version": "v2", "waves": [1, "100%"], "watch_s": 3, "unit_limit_s": 60,
                      // A node that has just come back turns some of the demo's crowd away until it knows its hosts.
                      "gates": {"busy_per_thousand": 1000}});
    order("/v1/fleet/release/start", json!({"plan": plan, "id": "demo release"}))?;
    let mut before = String::new();
    wait("the release is over", || {
        let now = status(&cluster).unwrap_or_default();
        let text = show::release(&now);
        if !now.is_null() && text != before {
            println!("{text}");
            before = text;
        }
        now["state"]["release"]["course"] == "Finished"
    })?;
    if !stay.is_zero() {
        println!(
            "\nit goes on for {} s: try `glendeck fleet status --door {}`",
            stay.as_secs(),
            cluster.admin_address(0)
        );
        std::thread::sleep(stay);
    }
    let stats = cluster.clients.end();
    println!(
        "\nclients: {} calls answered, {} turned away, {} failed, {} moved, {} lost; most nodes out at once: {}",
        stats.answered,
        stats.busy,
        stats.failed,
        stats.moved,
        stats.lost.len(),
        stats.most_out
    );
    if stats.lost.is_empty() { Ok(()) } else { Err(Failure::Refused(stats.lost.join("\n"))) }
}
