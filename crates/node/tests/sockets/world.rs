//! A node under test with the stand-ins for its peers.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::PATIENCE;
use crate::connection::{Connection, ReservedAddress};
use crate::discovery::{AnswerFault, Discovery, Entry, Registry};
use crate::front::SteadyFront;
use crate::log_collector::{LogCollector, LogSetup};
use crate::node_config::{NodeAddresses, NodeOptions, node_config};

static RUNS: AtomicU32 = AtomicU32::new(0);

/// A process of the node, killed at the end of the scenario.
pub(crate) struct NodeProcess {
    pub child: Child,
    pub admin: ReservedAddress,
}

impl NodeProcess {
    pub(crate) fn start(
        config: &Path,
        discovery: SocketAddr,
        folder: &Path,
        admin: ReservedAddress,
        log: LogSetup,
    ) -> NodeProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_glendeck-node"));
        for key in ["ROUTER_NAME", "ROUTER_LISTEN", "GLENDECK_LOG"] {
            command.env_remove(key);
        }
        command.env("ROUTER_CONFIG", config);
        command.env("ROUTER_DISCOVERY", discovery.to_string());
        command.env("TMPDIR", folder);
        command.env("ROUTER_ADMIN", admin.address.to_string());
        if let Some(level) = log.level {
            command.env("GLENDECK_LOG", level);
        }
        let child = command.stderr(log.output).spawn().unwrap();
        NodeProcess { child, admin }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the stand-ins saw of a process, to be compared with its metrics.
#[derive(Default)]
pub(crate) struct Tally {
    pub opened: u64,
    pub established: u64,
    pub busy: u64,
    pub attempts: u64,
    /// Clients whose first answer has come.
    pub answered: HashSet<String>,
}

pub(crate) struct World {
    pub process: NodeProcess,
    /// Collects the log of the first process, if the scenario has one for it.
    pub collector: Option<LogCollector>,
    /// Processes of the same node before this one, the oldest first.
    pub predecessors: Vec<NodeProcess>,
    pub folder: PathBuf,
    pub steady_front: Option<SteadyFront>,
    /// Connections that are held open and say nothing more.
    pub held_open: Vec<TcpStream>,
    pub config_path: PathBuf,
    pub config: Value,
    listen: ReservedAddress,
    pub discovery: Discovery,
    pub hosts: HashMap<String, TcpListener>,
    /// Addresses of hosts that have gone.
    pub reserved: Vec<ReservedAddress>,
    pub clients: HashMap<String, Connection>,
    /// The hosts' ends of attempts, by the client's name.
    pub attempts: HashMap<String, Connection>,
    /// The start of the times that a scenario checks.
    pub timer_start: Instant,
    pub tally: Tally,
}

impl Drop for World {
    fn drop(&mut self) {
        // No process may write to the folder any more.
        for process in self.predecessors.iter_mut().chain([&mut self.process]) {
            process.kill();
        }
        let _ = std::fs::remove_file(&self.config_path);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// Starts a node as a scenario's `node` line says.
    pub(crate) fn start(words: &[&str]) -> World {
        let options = NodeOptions::parse(words);
        let listen_anywhere = || TcpListener::bind("127.0.0.1:0").unwrap();
        let hosts: HashMap<String, TcpListener> =
            options.hosts().into_iter().map(|name| (name.to_owned(), listen_anywhere())).collect();
        let listed = list_entries(&options, &hosts);
        let known: Vec<&Value> = match options.text("known") {
            Some("none") => vec![],
            _ => listed.iter().map(|entry| &entry.value).collect(),
        };
        let listen = ReservedAddress::new();
        let admin = ReservedAddress::new();
        let discovery = Discovery::start(initial_registry(&options, &listed));
        let addresses =
            NodeAddresses { listen: listen.address, admin: admin.address, discovery: discovery.address };
        let config = node_config(&options, &addresses, &known);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let config_path = std::env::temp_dir().join(format!("glendeck-{}-{run}.json", std::process::id()));
        std::fs::write(&config_path, config.to_string()).unwrap();
        let folder = config_path.with_extension("tmp");
        std::fs::create_dir_all(&folder).unwrap();
        let log = LogSetup::from_options(&options);
        let mut process = NodeProcess::start(&config_path, discovery.address, &folder, admin, log);
        World {
            collector: process.child.stderr.take().map(LogCollector::new),
            process,
            predecessors: vec![],
            folder,
            steady_front: None,
            held_open: vec![],
            config_path,
            config,
            listen,
            discovery,
            hosts,
            reserved: vec![],
            clients: HashMap::new(),
            attempts: HashMap::new(),
            timer_start: Instant::now(),
            tally: Tally::default(),
        }
    }

    pub(crate) fn restart_timer(&mut self) {
        self.timer_start = Instant::now();
    }

    /// Where the node takes clients.
    pub(crate) fn listen_address(&self) -> SocketAddr {
        self.listen.address
    }

    pub(crate) fn connect(&self) -> Connection {
        let deadline = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect(self.listen.address) {
                Ok(stream) => return Connection::new(stream),
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Takes the next connection at a host, which must come within the patience.
    pub(crate) fn accept(&mut self, host: &str) -> Connection {
        let listener = &self.hosts[host];
        let deadline = Instant::now() + PATIENCE;
        listener.set_nonblocking(true).unwrap();
        loop {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                return Connection::new(stream);
            }
            assert!(Instant::now() < deadline, "no connection came to host {host}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The client's or the host's end of a client's connection.
    pub(crate) fn connection(&mut self, side: &str, name: &str) -> &mut Connection {
        let connections = if side == "client" { &mut self.clients } else { &mut self.attempts };
        connections.get_mut(name).unwrap_or_else(|| panic!("no {side} {name}"))
    }

    /// Writes a configuration, which the next process reads.
    pub(crate) fn write_config(&self, config: &Value) {
        std::fs::write(&self.config_path, config.to_string()).unwrap();
    }

    /// Writes a configuration and has the node read it.
    pub(crate) fn reload(&self, config: &Value) {
        self.write_config(config);
        self.process.signal(Signal::HUP);
    }
}

/// The entries of all hosts, as of the first version.
fn list_entries(options: &NodeOptions, hosts: &HashMap<String, TcpListener>) -> Vec<Entry> {
    let entry = |name: &str| {
        let address = hosts[name].local_addr().unwrap().to_string();
        let value = json!({
            "name": name, "address": address, "zone": "here", "type": "m", "group": 0,
            "status": "in_service", "weight": 1.0, "since_ms": 0,
        });
        Entry { version: 1, value }
    };
    options.hosts().into_iter().map(entry).collect()
}

/// The list as its service has it: a host may have begun to drain since the node last heard.
fn initial_registry(options: &NodeOptions, listed: &[Entry]) -> Registry {
    let mute = vec![AnswerFault::Mute; options.number("mute", 0)];
    let slow = vec![AnswerFault::Slow; options.number("slow", 0)];
    let faults = [slow, mute].concat();
    let mut registry = Registry { index: 1, entries: listed.to_vec(), faults, ..Registry::default() };
    let draining = options.text("drains");
    for entry in registry.entries.iter_mut().filter(|entry| draining == entry.value["name"].as_str()) {
        registry.index = 2;
        entry.version = 2;
        entry.value["status"] = "terminating".into();
    }
    registry
}
