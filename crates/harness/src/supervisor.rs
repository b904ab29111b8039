//! The processes of a cluster's nodes, and a supervisor that starts again what has exited by itself.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::cluster::ClusterSpec;
use crate::spawn;

/// The supervisor looks so often, and starts a node's next process after this.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const RESTART_DELAY: Duration = Duration::from_millis(200);

struct NodeProcess {
    child: Option<Child>,
    /// The process that `child` replaces, until it is told to end.
    predecessor: Option<Child>,
    /// Where `child` listens for operators.
    admin: SocketAddr,
    version: String,
    /// It is not started again.
    is_held_down: bool,
    starts: u32,
    /// The harness kills it: its end is no exit of its own.
    was_killed: bool,
    /// Seconds that its next process's wall clock is ahead.
    ahead_s: i64,
    failed_exit: Option<String>,
}

impl NodeProcess {
    fn not_running(admin: SocketAddr) -> NodeProcess {
        NodeProcess {
            child: None,
            predecessor: None,
            admin,
            version: "v1".into(),
            is_held_down: false,
            starts: 0,
            was_killed: false,
            ahead_s: 0,
            failed_exit: None,
        }
    }

    fn kill_all(&mut self) {
        self.child.take().into_iter().chain(self.predecessor.take()).for_each(kill_and_reap);
    }
}

/// All processes of a cluster.
pub(crate) struct Supervisor {
    spec: ClusterSpec,
    folder: PathBuf,
    nodes: Arc<Mutex<Vec<NodeProcess>>>,
}

impl Supervisor {
    /// A supervisor of nodes that are not running yet, with the addresses where they listen for operators.
    pub(crate) fn new(spec: &ClusterSpec, folder: &Path, admin: &[SocketAddr]) -> Supervisor {
        let nodes = admin.iter().copied().map(NodeProcess::not_running).collect();
        Supervisor { spec: spec.clone(), folder: folder.to_owned(), nodes: Arc::new(Mutex::new(nodes)) }
    }

    /// Starts again what exits by itself, in the version that it asked for, until this supervisor is dropped.
    pub(crate) fn watch(&self) {
        let nodes = self.nodes.clone();
        let folder = self.folder.clone();
        let spec = self.spec.clone();
        spawn(move || {
            loop {
                std::thread::sleep(CHECK_INTERVAL);
                let Ok(mut all) = nodes.lock() else { return };
                let is_dropped = Arc::strong_count(&nodes) == 1 || all.is_empty();
                if is_dropped {
                    return;
                }
                for (node, process) in all.iter_mut().enumerate() {
                    let exit = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
                    if let Some(status) = exit {
                        restart(&spec, &folder, node, process, status);
                    }
                }
            }
        });
    }

    /// Starts a node that is not running.
    ///
    /// # Errors
    /// The system grants no process.
    pub(crate) fn start(&self, node: usize) -> std::io::Result<()> {
        let Ok(mut nodes) = self.nodes.lock() else { return Ok(()) };
        let process = &mut nodes[node];
        process.is_held_down = false;
        if process.child.is_none() {
            launch(&self.spec, &self.folder, node, process)?;
        }
        Ok(())
    }

    /// Starts a node's next process beside the one that runs, which listens for operators at another address.
    ///
    /// # Errors
    /// The system grants no process.
    pub(crate) fn start_successor(&self, node: usize, admin: SocketAddr) -> std::io::Result<()> {
        let Ok(mut nodes) = self.nodes.lock() else { return Ok(()) };
        let process = &mut nodes[node];
        process.predecessor = process.child.take();
        process.admin = admin;
        launch(&self.spec, &self.folder, node, process)
    }

    /// Tells the process that was replaced to end, and waits until it has.
    ///
    /// # Errors
    /// No process was replaced, or it cannot be waited for.
    pub(crate) fn end_predecessor(&self, node: usize) -> std::io::Result<()> {
        let predecessor = self.nodes.lock().ok().and_then(|mut nodes| nodes[node].predecessor.take());
        let mut predecessor = predecessor.ok_or_else(|| std::io::Error::other("no process was replaced"))?;
        kill_process(Pid::from_child(&predecessor), Signal::TERM)?;
        let status = predecessor.wait()?;
        if !status.success()
            && let Ok(mut nodes) = self.nodes.lock()
        {
            nodes[node].failed_exit = Some(format!("n{node} ended with {status}"));
        }
        Ok(())
    }

    /// Kills a node outright; it stays down.
    pub(crate) fn kill(&self, node: usize) {
        let Ok(mut nodes) = self.nodes.lock() else { return };
        let process = &mut nodes[node];
        process.is_held_down = true;
        process.was_killed = true;
        process.kill_all();
    }

    /// Sends a signal to a node's process, if there is one.
    pub(crate) fn signal(&self, node: usize, signal: Signal) {
        let Ok(nodes) = self.nodes.lock() else { return };
        if let Some(child) = &nodes[node].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Sets the wall clock of a node's processes ahead from their next start on.
    pub(crate) fn set_clock(&self, node: usize, ahead_s: i64) {
        if let Ok(mut nodes) = self.nodes.lock() {
            nodes[node].ahead_s = ahead_s;
        }
    }

    /// The versions that were started last, by node.
    pub(crate) fn versions(&self) -> Vec<String> {
        let Ok(nodes) = self.nodes.lock() else { return Vec::new() };
        nodes.iter().map(|process| process.version.clone()).collect()
    }

    /// How often a node was started.
    pub(crate) fn starts(&self, node: usize) -> u32 {
        self.nodes.lock().map_or(0, |nodes| nodes[node].starts)
    }

    /// The id of a node's process, if it runs.
    pub(crate) fn process_id(&self, node: usize) -> Option<u32> {
        self.nodes.lock().ok()?.get(node)?.child.as_ref().map(Child::id)
    }

    /// Nodes whose process exited with an error and was not killed, and how.
    pub(crate) fn failed_exits(&self) -> Vec<String> {
        let Ok(nodes) = self.nodes.lock() else { return Vec::new() };
        nodes.iter().filter_map(|process| process.failed_exit.clone()).collect()
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let Ok(mut nodes) = self.nodes.lock() else { return };
        nodes.iter_mut().for_each(NodeProcess::kill_all);
        nodes.clear();
    }
}

fn kill_and_reap(mut child: Child) {
    // Either fails only if the process has ended by itself.
    let _ = child.kill();
    let _ = child.wait();
}

fn restart(spec: &ClusterSpec, folder: &Path, node: usize, process: &mut NodeProcess, status: ExitStatus) {
    process.child = None;
    if !status.success() && !process.was_killed {
        process.failed_exit = Some(format!("n{node} ended with {status}"));
    }
    if process.is_held_down {
        return;
    }
    let wanted = std::fs::read_to_string(folder.join(format!("n{node}/store/wanted")));
    if let (true, Ok(version)) = (status.success(), wanted) {
        process.version = version.trim().to_owned();
    }
    std::thread::sleep(RESTART_DELAY);
    let _ = launch(spec, folder, node, process);
}

fn launch(spec: &ClusterSpec, folder: &Path, node: usize, process: &mut NodeProcess) -> std::io::Result<()> {
    let node_folder = folder.join(format!("n{node}"));
    let mut command = Command::new(&spec.program);
    for key in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
        command.env_remove(key);
    }
    let ahead_s = process.ahead_s * i64::from(process.starts + 1);
    command
        .env("ROUTER_CONFIG", node_folder.join("node.json"))
        .env("ROUTER_ADMIN", process.admin.to_string())
        .env("TMPDIR", node_folder.join("tmp"))
        .env("ROUTER_FLEET_VERSION", &process.version)
        .env("HARNESS_CLOCK", ahead_s.to_string())
        .env("HARNESS_DISK", node_folder.join("disk"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log_file(spec, node)?);
    process.child = Some(command.spawn()?);
    process.starts += 1;
    process.was_killed = false;
    Ok(())
}

fn log_file(spec: &ClusterSpec, node: usize) -> std::io::Result<Stdio> {
    let Some(logs) = &spec.logs else { return Ok(Stdio::null()) };
    std::fs::create_dir_all(logs)?;
    let path = logs.join(format!("n{node}.log"));
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
    Ok(Stdio::from(file))
}
