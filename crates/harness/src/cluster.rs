//! A cluster: node processes, their links, the frontend, fake hosts and fake discovery.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;

use crate::clients::Clients;
use crate::fake_discovery::FakeDiscovery;
use crate::fake_host::FakeHost;
use crate::grouped_clients::SharedGroupObservations;
use crate::links::{LinkFault, Links};
use crate::node_config::{NodeAddresses, fleet_policy, node_config};
use crate::observations::{Attempts, Executions, Observations};
use crate::reserve;
use crate::scripted_clients::HostScript;
use crate::supervisor::Supervisor;

/// Counts the clusters of this process, for their folders' names.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A disrupted node has recovered once it has accepted clients for so long.
const RECOVERED_AFTER: Duration = Duration::from_secs(1);

/// How long a node's admin interface may take to accept a connection, and to answer.
const ADMIN_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ADMIN_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// In a cluster of up to so many nodes each is linked to all others; in a larger one to voters alone.
const MOST_NODES_LINKED_TO_ALL: usize = 12;

/// What is to be started.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// How many nodes; they are named `n0`, `n1` and so on.
    pub nodes: usize,
    /// How many of them, from `n0` on, are voters.
    pub voters: usize,
    /// Zones that nodes are dealt out over.
    pub zones: usize,
    /// How many fake hosts.
    pub hosts: usize,
    /// Most nodes out at once, as the fleet policy has it.
    pub most_out: u32,
    /// Nodes store intents for each other (the policy has a `[work]` section).
    pub stores_intents: bool,
    /// The program, which takes `HARNESS_DISK` if its disk is to fail.
    pub program: PathBuf,
    /// The folder for the nodes' logs, one file each; they are dropped without one.
    pub logs: Option<PathBuf>,
}

/// An answer of a node's admin interface.
#[derive(Clone, Debug)]
pub struct AdminReply {
    /// The HTTP status.
    pub status: u16,
    /// The body; null if it is no JSON.
    pub body: Value,
}

/// A running cluster. Dropping it ends all its processes and removes its folder.
pub struct Cluster {
    /// What was started.
    pub spec: ClusterSpec,
    /// The frontend and its clients.
    pub clients: Clients,
    /// The proxies of the links between nodes.
    pub links: Links,
    /// What hosts executed of calls that must not run twice.
    pub executions: Executions,
    /// What hosts saw of client groups.
    pub groups: SharedGroupObservations,
    /// What hosts do with scripted calls.
    pub host_script: HostScript,
    /// The fake hosts.
    pub hosts: Vec<FakeHost>,
    /// The fake discovery service.
    pub discovery: FakeDiscovery,
    attempts: Attempts,
    supervisor: Supervisor,
    /// Where the newest process of each node listens for operators.
    admin_addresses: Vec<SocketAddr>,
    /// Where the next process of each node will.
    successor_admin_addresses: Vec<SocketAddr>,
    folder: PathBuf,
    _reserved: Vec<OwnedFd>,
}

impl Cluster {
    /// Starts all processes, their peers and their frontend.
    ///
    /// # Errors
    /// Sockets, files or processes that the system does not grant.
    pub fn start(spec: ClusterSpec) -> std::io::Result<Cluster> {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("glendeck-harness-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("fleet.toml"), fleet_policy(&spec))?;
        let observations = Observations::default();
        let hosts = (0..spec.hosts).map(|host| FakeHost::start(&format!("h{host}"), host % 2, &observations));
        let hosts = hosts.collect::<Result<Vec<_>, _>>()?;
        let discovery = FakeDiscovery::start(&hosts)?;
        let (addresses, mut reserved) = reserve_addresses(spec.nodes)?;
        let (successor_fds, successor_admin_addresses) = reserve_successor_addresses(spec.nodes)?;
        reserved.extend(successor_fds);
        let links = Links::default();
        for (node, own) in addresses.iter().enumerate() {
            let peers = link_to_peers(&spec, node, &addresses, &links)?;
            let node_folder = folder.join(format!("n{node}"));
            std::fs::create_dir_all(node_folder.join("store"))?;
            std::fs::create_dir_all(node_folder.join("tmp"))?;
            let config = node_config(&spec, node, *own, &peers, discovery.address, &folder);
            std::fs::write(node_folder.join("node.json"), config.to_string())?;
        }
        let admin_addresses: Vec<SocketAddr> = addresses.iter().map(|own| own.admin).collect();
        let cluster = Cluster {
            clients: Clients::start(addresses.iter().map(|own| own.clients).collect()),
            links,
            executions: observations.executions,
            groups: observations.groups,
            host_script: observations.host_script,
            hosts,
            discovery,
            attempts: observations.attempts,
            supervisor: Supervisor::new(&spec, &folder, &admin_addresses),
            admin_addresses,
            successor_admin_addresses,
            folder,
            _reserved: reserved,
            spec,
        };
        for node in 0..cluster.spec.nodes {
            cluster.supervisor.start(node)?;
        }
        cluster.supervisor.watch();
        Ok(cluster)
    }

    /// Starts a node that is not running.
    ///
    /// # Errors
    /// The system grants no process.
    pub fn start_node(&self, node: usize) -> std::io::Result<()> {
        self.supervisor.start(node)
    }

    /// Starts the next process of a node beside the one that runs. Orders go to the next one from here on.
    ///
    /// # Errors
    /// The system grants no process.
    pub fn start_successor(&mut self, node: usize) -> std::io::Result<()> {
        std::mem::swap(&mut self.admin_addresses[node], &mut self.successor_admin_addresses[node]);
        self.supervisor.start_successor(node, self.admin_addresses[node])
    }

    /// Whether a node's process before the newest one says that it is replaced.
    pub fn is_predecessor_replaced(&self, node: usize) -> bool {
        let reply = call_admin(self.successor_admin_addresses[node], "GET", "/v1/readyz", &Value::Null);
        reply.is_ok_and(|reply| reply.body["phase"] == "replaced")
    }

    /// Tells the process that was replaced to end, and waits until it has.
    ///
    /// # Errors
    /// No process was replaced, or it cannot be waited for.
    pub fn end_predecessor(&self, node: usize) -> std::io::Result<()> {
        self.supervisor.end_predecessor(node)
    }

    /// Nodes that serve again count again.
    pub fn clear_recovered(&self) {
        self.clients.frontend().clear_recovered(RECOVERED_AFTER);
    }

    /// Kills a node outright; it stays down.
    pub fn kill(&self, node: usize) {
        self.clients.frontend().mark_disrupted(node);
        self.supervisor.kill(node);
    }

    /// Sends a signal to a node's process, if there is one.
    pub fn signal(&self, node: usize, signal: Signal) {
        if signal != Signal::CONT {
            self.clients.frontend().mark_disrupted(node);
        }
        self.supervisor.signal(node, signal);
    }

    /// Gives all classes this guard time in the configurations of all nodes, which reload them.
    ///
    /// # Errors
    /// A configuration cannot be read or written.
    pub fn reload_guard_time(&self, guard_ms: f64) -> std::io::Result<()> {
        for node in 0..self.spec.nodes {
            let path = self.folder.join(format!("n{node}/node.json"));
            let mut config: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
            for class in config["settings"]["trafficTypes"].as_array_mut().into_iter().flatten() {
                class["guardTimeMs"] = guard_ms.into();
            }
            let fresh = path.with_extension("new");
            std::fs::write(&fresh, config.to_string())?;
            std::fs::rename(fresh, path)?;
            self.supervisor.signal(node, Signal::HUP);
        }
        Ok(())
    }

    /// The folder of a node's store.
    pub fn store(&self, node: usize) -> PathBuf {
        self.folder.join(format!("n{node}/store"))
    }

    /// What a node's disk does from here on: `fails`, `full`, `stalls`, or nothing.
    ///
    /// # Errors
    /// The file that says so cannot be written.
    pub fn set_disk_fault(&self, node: usize, fault: &str) -> std::io::Result<()> {
        let fresh = self.folder.join(format!("n{node}/disk.new"));
        std::fs::write(&fresh, fault)?;
        std::fs::rename(fresh, self.folder.join(format!("n{node}/disk")))
    }

    /// Sets the wall clock of a node's processes so many seconds ahead from their next start on, and further with each
    /// start: a clock that steps.
    pub fn set_clock(&self, node: usize, ahead_s: i64) {
        self.supervisor.set_clock(node, ahead_s);
    }

    /// Injects a fault into all links to and from a node.
    pub fn set_all_links(&self, node: usize, fault: LinkFault) {
        for other in (0..self.spec.nodes).filter(|other| *other != node) {
            self.links.set(node, other, fault);
            self.links.set(other, node, fault);
        }
    }

    /// The versions that were started last, by node.
    pub fn versions(&self) -> Vec<String> {
        self.supervisor.versions()
    }

    /// How often a node was started.
    pub fn starts(&self, node: usize) -> u32 {
        self.supervisor.starts(node)
    }

    /// The id of a node's process, if it runs.
    pub fn process(&self, node: usize) -> Option<u32> {
        self.supervisor.process_id(node)
    }

    /// Sends one request to a node's admin interface.
    ///
    /// # Errors
    /// The admin interface is not there, or its answer is no HTTP.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &Value) -> std::io::Result<AdminReply> {
        call_admin(self.admin_addresses[node], method, path, body)
    }

    /// The address of a node's admin interface.
    pub fn admin_address(&self, node: usize) -> SocketAddr {
        self.admin_addresses[node]
    }

    /// What a node says of the fleet, and whether the group has confirmed it.
    pub fn status(&self, node: usize) -> Option<Value> {
        self.call(node, "GET", "/v1/fleet/status", &Value::Null).ok().map(|reply| reply.body)
    }

    /// The node that says that it leads, confirmed by the group.
    pub fn leader(&self) -> Option<usize> {
        (0..self.spec.nodes).find(|node| {
            let status = self.status(*node).unwrap_or_default();
            status["leads"] == true && status["confirmed"] == true
        })
    }

    /// Most attempts that hosts were sent for one call.
    pub fn max_attempts(&self) -> u32 {
        self.attempts.lock().map_or(0, |attempts| attempts.values().copied().max().unwrap_or(0))
    }

    /// Nodes whose process exited with an error and was not killed, and how.
    pub fn failed_exits(&self) -> Vec<String> {
        self.supervisor.failed_exits()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in 0..self.spec.nodes {
            self.supervisor.kill(node);
        }
        self.clients.end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn reserve_addresses(nodes: usize) -> std::io::Result<(Vec<NodeAddresses>, Vec<OwnedFd>)> {
    let mut addresses = Vec::new();
    let mut reserved = Vec::new();
    for _ in 0..nodes {
        let (clients_fd, clients) = reserve()?;
        let (admin_fd, admin) = reserve()?;
        let (peers_fd, peers) = reserve()?;
        addresses.push(NodeAddresses { clients, admin, peers });
        reserved.extend([clients_fd, admin_fd, peers_fd]);
    }
    Ok((addresses, reserved))
}

/// The addresses where the nodes' next processes listen for operators.
fn reserve_successor_addresses(nodes: usize) -> std::io::Result<(Vec<OwnedFd>, Vec<SocketAddr>)> {
    let reserved: Vec<_> = (0..nodes).map(|_| reserve()).collect::<Result<_, _>>()?;
    Ok(reserved.into_iter().unzip())
}

/// Starts the proxies at which a node dials its peers; returns their addresses by the peers' names.
fn link_to_peers(
    spec: &ClusterSpec,
    node: usize,
    addresses: &[NodeAddresses],
    links: &Links,
) -> std::io::Result<BTreeMap<String, String>> {
    let mut peers = BTreeMap::new();
    for (peer, address) in addresses.iter().enumerate() {
        // Any node may come to hold a voter slot, but dials none that does not.
        let is_dialled = peer < spec.voters || spec.nodes <= MOST_NODES_LINKED_TO_ALL;
        if peer != node && is_dialled {
            peers.insert(format!("n{peer}"), links.between(node, peer, address.peers)?.to_string());
        }
    }
    Ok(peers)
}

fn call_admin(address: SocketAddr, method: &str, path: &str, body: &Value) -> std::io::Result<AdminReply> {
    let mut stream = TcpStream::connect_timeout(&address, ADMIN_CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ADMIN_READ_TIMEOUT))?;
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: {length}\r\n\r\n{body}")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("no answer at the admin interface"))?;
    Ok(AdminReply { status, body: serde_json::from_str(body).unwrap_or(Value::Null) })
}
