//! Processes of the project's node, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::lines::{Heard, Lines};
use crate::record::Record;

/// A loopback address with a port that is free now.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The command under `run` in the deploy file.
pub fn run_command(root: &Path) -> std::io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next()).unwrap_or_default();
    Ok(command.to_owned())
}

fn command(root: &Path, config: &Path, tmpdir: &Path, admin: SocketAddr) -> std::io::Result<Command> {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &run_command(root)?])
        .current_dir(root)
        .env("ROUTER_CONFIG", config)
        .env("ROUTER_ADMIN", admin.to_string())
        .env("TMPDIR", tmpdir)
        .stdin(Stdio::null());
    Ok(command)
}

/// The process that collects a node's log through a pipe.
pub struct Collector {
    child: Child,
    record: Record,
}

impl Collector {
    fn start(record: &Record, pipe: ChildStderr, file: &Path) -> std::io::Result<Collector> {
        let file = File::create(file)?;
        let child =
            Command::new("cat").stdin(Stdio::from(pipe)).stdout(file).stderr(Stdio::null()).spawn()?;
        note_running(&child);
        Ok(Collector { child, record: record.clone() })
    }

    /// The collector stands still, or goes on.
    pub fn signal(&self, signal: &str) {
        self.record.note(format!("the log collector gets SIG{signal}"));
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// The collector dies; nobody reads the log any more.
    pub fn die(&mut self) {
        self.record.note("the log collector dies");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(&self.child);
    }
}

/// The processes that still run, to be ended also when a case runs out of time.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_running(child: &Child) {
    if let Ok(mut running) = RUNNING.lock() {
        running.push(child.id());
    }
}

fn note_ended(child: &Child) {
    if let Ok(mut running) = RUNNING.lock() {
        running.retain(|id| *id != child.id());
    }
}

/// Ends all processes that a case has left.
pub fn end_all() {
    let running = RUNNING.lock().map(|mut running| std::mem::take(&mut *running)).unwrap_or_default();
    for id in running {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

/// A process that is killed when the test ends.
pub struct Node {
    pub name: String,
    child: Child,
    record: Record,
}

impl Node {
    /// Starts a process from the root, with this configuration file and admin address.
    pub fn start(
        record: &Record,
        root: &Path,
        name: &str,
        config: &Path,
        tmpdir: &Path,
        admin: SocketAddr,
    ) -> std::io::Result<Node> {
        let log = File::create(tmpdir.join(format!("{name}.log")))?;
        let child = command(root, config, tmpdir, admin)?
            .env("GLENDECK_LOG", "debug")
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_running(&child);
        record.note(format!("node process {name} started"));
        Ok(Node { name: name.to_owned(), child, record: record.clone() })
    }

    /// Starts a process whose log, at this level, goes through a pipe to a collector.
    pub fn start_with_collector(
        level: &str,
        record: &Record,
        root: &Path,
        name: &str,
        config: &Path,
        tmpdir: &Path,
        admin: SocketAddr,
    ) -> std::io::Result<(Node, Collector)> {
        let mut child = command(root, config, tmpdir, admin)?
            .env("GLENDECK_LOG", level)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        note_running(&child);
        record.note(format!("node process {name} started, its log goes to a collector"));
        let pipe = child.stderr.take().ok_or_else(|| std::io::Error::other("no pipe"))?;
        let collector = Collector::start(record, pipe, &tmpdir.join(format!("{name}.log")))?;
        Ok((Node { name: name.to_owned(), child, record: record.clone() }, collector))
    }

    pub fn signal(&self, signal: &str) {
        self.record.note(format!("node process {} gets SIG{signal}", self.name));
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    pub fn kill(&mut self) {
        self.record.note(format!("node process {} gets SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it has exited, with its code.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if self.exit_code().is_none() {
            self.record.note(format!("the test is over and ends node process {}", self.name));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(&self.child);
    }
}

/// Whether `PING` at the clients' address is answered `PONG`; `None` without an answer.
pub fn ping(address: SocketAddr) -> Option<bool> {
    let mut lines = Lines::new(TcpStream::connect(address).ok()?);
    lines.send("PING");
    match lines.hear(Duration::from_millis(1_000)) {
        Heard::Line(line) => Some(line == "PONG"),
        _ => None,
    }
}

/// The status of a call at the admin interface.
pub fn admin(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reply = String::new();
    let _ = stream.read_to_string(&mut reply);
    let status = reply.split(' ').nth(1)?.parse().ok()?;
    Some((status, reply.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned()))
}

/// Waits until a condition holds, for at most so long.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    holds()
}

/// Waits until the admin interface says that the process takes clients.
pub fn until_ready(address: SocketAddr, limit: Duration) -> bool {
    until(limit, || admin(address, "GET", "/v1/readyz", "").is_some_and(|(status, _)| status == 200))
}

/// A folder that is removed when the test ends.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> std::io::Result<TempFolder> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
