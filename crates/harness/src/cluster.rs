//! Processes of the program, and who starts them again.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::clients::Clients;
use crate::fake_discovery::FakeDiscovery;
use crate::fake_host::{FakeHost, KEY_WINDOW_MS};
use crate::grouped_clients::SharedGroupObservations;
use crate::links::{LinkFault, Links};
use crate::observations::{Attempts, Executions, Observations};
use crate::scripted_clients::HostScript;
use crate::{reserve, spawn};

static RUNS: AtomicU32 = AtomicU32::new(0);

/// Who supervises a node starts its next process after this.
const START_AGAIN: Duration = Duration::from_millis(200);

/// What is to be started.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    pub nodes: usize,
    pub voters: usize,
    pub zones: usize,
    pub hosts: usize,
    /// Most nodes out at once.
    pub most_out: u32,
    /// Work in hand outlives its node.
    pub work: bool,
    /// The program, which takes `HARNESS_DISK` if its disk is to fail.
    pub program: PathBuf,
    /// What nodes log goes there, one file each; nowhere if none.
    pub logs: Option<PathBuf>,
}

struct Node {
    child: Option<Child>,
    version: String,
    /// Nobody starts it again.
    is_held_down: bool,
    starts: u32,
    /// Set while the harness kills it: its end is no exit of its own.
    was_killed: bool,
    /// Seconds that its next process's wall clock is ahead.
    ahead_s: i64,
    failed_exits: Option<String>,
}

type Nodes = Arc<Mutex<Vec<Node>>>;

/// An answer at a admin interface: its status and body.
pub type AdminReply = (u16, Value);

pub struct Cluster {
    pub spec: ClusterSpec,
    pub clients: Clients,
    pub links: Links,
    attempts: Attempts,
    /// What hosts did for each work that is not to be done twice.
    pub executions: Executions,
    /// What hosts saw of clients' groups.
    pub groups: SharedGroupObservations,
    /// What hosts are told to do with single works.
    pub host_script: HostScript,
    nodes: Nodes,
    admin_addresses: Vec<SocketAddr>,
    folder: PathBuf,
    _reserved: Vec<OwnedFd>,
    pub hosts: Vec<FakeHost>,
    pub list: FakeDiscovery,
}

fn settings(nodes: usize, me: usize) -> Value {
    json!({
        "caps": {"connectTimeoutMs": 200.0, "maxLegs": 4, "mayCancel": true, "mayProbe": true, "retryAfter": true,
                 "maxRetryAfterMs": 900.0},
        "dcs": ["here"], "extra": {"groups": true, "messageAimMs": [100.0]}, "fleetSize": nodes, "me": me,
        "membershipMode": "on_request", "myZone": 0, "projects": [{"name": "one"}],
        "safety": {"askWithinMs": 10000.0, "coldFrom": 0.2, "fallMs": 1000.0, "fallMultiple": 4.0,
                   "warmAfterMs": 20000.0},
        "tickMs": 5.0,
        "clients": {"marksRetry": true},
        "trafficTypes": [{"name": "chat", "effect": "retryable", "group": "all", "windowMs": 5000.0,
                          "setupTargetMs": 400.0, "guardTimeMs": 1500.0, "revenue": 1.0},
                         {"name": "pay", "effect": "fragile", "group": "all", "windowMs": 5000.0,
                          "setupTargetMs": 400.0, "guardTimeMs": 1500.0, "revenue": 1.0},
                         {"name": "edit", "effect": "dedup", "group": "cell", "windowMs": KEY_WINDOW_MS,
                          "setupTargetMs": 400.0, "guardTimeMs": 1500.0, "revenue": 1.0}],
    })
}

fn policy(spec: &ClusterSpec) -> String {
    let mut text = String::from("group = \"rig\"\nvoters = [");
    text += &(0..spec.voters).map(|at| format!("\"n{at}\"")).collect::<Vec<_>>().join(", ");
    text += &format!(
        "]\n\n[limits.fleet]\nmost_out = {}\n\n[hosts.limits.fleet]\nmost_out = 1\n\n[units]\n",
        spec.most_out
    );
    if spec.work {
        text = text.replace("[units]", "[work]\nrecall_s = 6\n\n[units]");
    }
    for at in 0..spec.nodes {
        text +=
            &format!("n{at} = {{ zone = \"z{}\", cell = \"\", kind = \"node\" }}\n", at % spec.zones.max(1));
    }
    text
}

impl Cluster {
    /// Starts all processes, their peers and their front.
    ///
    /// # Errors
    /// Sockets, files or processes that the system does not grant.
    pub fn start(spec: ClusterSpec) -> std::io::Result<Cluster> {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("glendeck-harness-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("fleet.toml"), policy(&spec))?;
        let observations = Observations::default();
        let hosts = (0..spec.hosts).map(|at| FakeHost::start(&format!("h{at}"), at % 2, &observations));
        let hosts = hosts.collect::<Result<Vec<_>, _>>()?;
        let list = FakeDiscovery::start(&hosts)?;
        let (mut reserved, mut places) = (Vec::new(), Vec::new());
        for _ in 0..spec.nodes {
            let place = [reserve()?, reserve()?, reserve()?];
            places.push([place[0].1, place[1].1, place[2].1]);
            reserved.extend(place.map(|(fd, _)| fd));
        }
        let links = Links::default();
        for at in 0..spec.nodes {
            let [listen, door, peers_at] = places[at];
            let mut peers = BTreeMap::new();
            // Any node may come to hold a seat, but dials none that does not.
            let dialled = (0..spec.nodes).filter(|to| *to != at && (*to < spec.voters || spec.nodes <= 12));
            for to in dialled {
                peers.insert(format!("n{to}"), links.between(at, to, places[to][2])?.to_string());
            }
            let of = folder.join(format!("n{at}"));
            std::fs::create_dir_all(of.join("store"))?;
            std::fs::create_dir_all(of.join("tmp"))?;
            let config = json!({
                "name": format!("n{at}"), "listen": listen.to_string(), "admin": door.to_string(),
                "seed": format!("{:016x}", at + 1), "discovery": list.address.to_string(),
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024 + 4 * spec.nodes}, "known": null,
                "settings": settings(spec.nodes, at),
                "fleet": {"listen": peers_at.to_string(), "peers": peers, "version": "v1",
                          "folder": of.join("store"), "charter": folder.join("fleet.toml")},
            });
            std::fs::write(of.join("node.json"), config.to_string())?;
        }
        let fresh = |_| Node {
            child: None,
            version: "v1".into(),
            is_held_down: false,
            starts: 0,
            was_killed: false,
            ahead_s: 0,
            failed_exits: None,
        };
        let cluster = Cluster {
            clients: Clients::start(places.iter().map(|place| place[0]).collect()),
            links,
            attempts: observations.attempts,
            executions: observations.executions,
            groups: observations.groups,
            host_script: observations.host_script,
            nodes: Arc::new(Mutex::new((0..spec.nodes).map(fresh).collect())),
            admin_addresses: places.iter().map(|place| place[1]).collect(),
            folder,
            _reserved: reserved,
            hosts,
            list,
            spec,
        };
        for at in 0..cluster.spec.nodes {
            cluster.start_node(at)?;
        }
        cluster.supervise();
        Ok(cluster)
    }

    /// Starts what has exited by itself, as the word that it left says.
    fn supervise(&self) {
        let (nodes, folder, spec) = (self.nodes.clone(), self.folder.clone(), self.spec.clone());
        spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                let Ok(mut all) = nodes.lock() else { return };
                // The fleet has been dropped.
                if Arc::strong_count(&nodes) == 1 || all.is_empty() {
                    return;
                }
                for (at, node) in all.iter_mut().enumerate() {
                    let Some(status) = node.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
                    else {
                        continue;
                    };
                    node.child = None;
                    if !status.success() && !node.was_killed {
                        node.failed_exits = Some(format!("n{at} ended with {status}"));
                    }
                    if node.is_held_down {
                        continue;
                    }
                    let word = std::fs::read_to_string(folder.join(format!("n{at}/store/wanted")));
                    if let (true, Ok(version)) = (status.success(), word) {
                        node.version = version.trim().to_owned();
                    }
                    std::thread::sleep(START_AGAIN);
                    let _ = launch(&spec, &folder, at, node);
                }
            }
        });
    }

    /// Starts a node that is not running.
    ///
    /// # Errors
    /// The system grants no process.
    pub fn start_node(&self, at: usize) -> std::io::Result<()> {
        let Ok(mut nodes) = self.nodes.lock() else { return Ok(()) };
        let node = &mut nodes[at];
        node.is_held_down = false;
        if node.child.is_none() {
            launch(&self.spec, &self.folder, at, node)?;
        }
        drop(nodes);
        Ok(())
    }

    /// The harness harms it from here on: it counts neither as out nor for what breaks there, until it has served for a
    /// second again.
    fn mark_disrupted(&self, at: usize) {
        if let Ok(mut disrupted) = self.clients.disrupted.lock() {
            disrupted.insert(at, Instant::now());
        }
    }

    /// Nodes that serve again count again.
    pub fn clear_recovered(&self) {
        let Ok(mut disrupted) = self.clients.disrupted.lock() else { return };
        let well: Vec<usize> = disrupted
            .iter()
            .filter(|(at, since)| {
                let long = Duration::from_secs(1);
                let taking = |of: &crate::clients::NodeAvailability| {
                    of.accepts_clients && of.since.elapsed() >= long && of.since > **since
                };
                self.clients.availability(**at).as_ref().is_some_and(taking)
            })
            .map(|(at, _)| *at)
            .collect();
        for at in well {
            disrupted.remove(&at);
        }
    }

    /// Kills it outright; it stays down.
    pub fn kill(&self, at: usize) {
        self.mark_disrupted(at);
        let Ok(mut nodes) = self.nodes.lock() else { return };
        let node = &mut nodes[at];
        (node.is_held_down, node.was_killed) = (true, true);
        if let Some(mut child) = node.child.take() {
            let _ = (child.kill(), child.wait());
        }
    }

    pub fn signal(&self, at: usize, signal: Signal) {
        if signal != Signal::CONT {
            self.mark_disrupted(at);
        }
        let Ok(nodes) = self.nodes.lock() else { return };
        if let Some(child) = &nodes[at].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    pub fn store(&self, at: usize) -> PathBuf {
        self.folder.join(format!("n{at}/store"))
    }

    /// What its disk does from here on: `fails`, `full`, `stalls`, or nothing.
    ///
    /// # Errors
    /// The word cannot be written.
    pub fn disk(&self, at: usize, execute: &str) -> std::io::Result<()> {
        let (fresh, file) =
            (self.folder.join(format!("n{at}/disk.new")), self.folder.join(format!("n{at}/disk")));
        std::fs::write(&fresh, execute)?;
        std::fs::rename(fresh, file)
    }

    /// Its processes' wall clocks are so many seconds ahead from their next start on, and further with each start: a clock
    /// that steps.
    pub fn clock(&self, at: usize, ahead_s: i64) {
        if let Ok(mut nodes) = self.nodes.lock() {
            nodes[at].ahead_s = ahead_s;
        }
    }

    /// All links to and from it.
    pub fn set_all_links(&self, at: usize, fault: LinkFault) {
        for other in (0..self.spec.nodes).filter(|other| *other != at) {
            self.links.set(at, other, fault);
            self.links.set(other, at, fault);
        }
    }

    /// What supervisors have started last, node by node.
    pub fn versions(&self) -> Vec<String> {
        self.nodes
            .lock()
            .map(|nodes| nodes.iter().map(|node| node.version.clone()).collect())
            .unwrap_or_default()
    }

    pub fn starts(&self, at: usize) -> u32 {
        self.nodes.lock().map_or(0, |nodes| nodes[at].starts)
    }

    pub fn process(&self, at: usize) -> Option<u32> {
        self.nodes.lock().ok()?.get(at)?.child.as_ref().map(Child::id)
    }

    /// One call at a node's admin interface.
    ///
    /// # Errors
    /// The admin interface is not there, or says what is no answer.
    pub fn call(&self, at: usize, method: &str, path: &str, body: &Value) -> std::io::Result<AdminReply> {
        let mut stream = TcpStream::connect_timeout(&self.admin_addresses[at], Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let body = if body.is_null() { String::new() } else { body.to_string() };
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| std::io::Error::other("no answer at the door"))?;
        Ok((status, serde_json::from_str(body).unwrap_or(Value::Null)))
    }

    /// Where a node's operators call.
    pub fn admin_address(&self, at: usize) -> SocketAddr {
        self.admin_addresses[at]
    }

    /// What a node says of the fleet, and whether the group has confirmed it.
    pub fn status(&self, at: usize) -> Option<Value> {
        self.call(at, "GET", "/v1/fleet/status", &Value::Null).ok().map(|(_, body)| body)
    }

    /// Who says that it leads, confirmed by the group.
    pub fn leader(&self) -> Option<usize> {
        (0..self.spec.nodes).find(|at| {
            let status = self.status(*at).unwrap_or_default();
            status["leads"] == true && status["confirmed"] == true
        })
    }

    /// Attempts that hosts were sent for one call, at most.
    pub fn max_attempts(&self) -> u32 {
        self.attempts.lock().map_or(0, |attempts| attempts.values().copied().max().unwrap_or(0))
    }

    /// Processes that ended with an error, and were not killed.
    pub fn failed_exits(&self) -> Vec<String> {
        self.nodes
            .lock()
            .map(|nodes| nodes.iter().filter_map(|node| node.failed_exits.clone()).collect())
            .unwrap_or_default()
    }
}

fn launch(spec: &ClusterSpec, folder: &Path, at: usize, node: &mut Node) -> std::io::Result<()> {
    let of = folder.join(format!("n{at}"));
    let mut command = Command::new(&spec.program);
    for key in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_ADMIN"] {
        command.env_remove(key);
    }
    let log = match &spec.logs {
        Some(logs) => {
            std::fs::create_dir_all(logs)?;
            let file = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(logs.join(format!("n{at}.log")))?;
            Stdio::from(file)
        }
        None => Stdio::null(),
    };
    command.env("ROUTER_CONFIG", of.join("node.json")).env("TMPDIR", of.join("tmp"));
    let ahead_s = node.ahead_s * i64::from(node.starts + 1);
    command.env("HARNESS_CLOCK", ahead_s.to_string());
    command.env("ROUTER_FLEET_VERSION", &node.version).env("HARNESS_DISK", of.join("disk"));
    node.child = Some(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?);
    node.starts += 1;
    node.was_killed = false;
    Ok(())
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if let Ok(mut nodes) = self.nodes.lock() {
            for node in nodes.iter_mut() {
                if let Some(mut child) = node.child.take() {
                    let _ = (child.kill(), child.wait());
                }
            }
            nodes.clear();
        }
        self.clients.end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
