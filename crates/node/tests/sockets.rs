//! Plays the scenarios of `scenarios/` against the program itself, on loopback, with stand-ins for its peers;
//! `scenarios/README.md` describes their notation.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rustix::net;
use rustix::net::sockopt::{self, set_socket_linger};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use test_case::test_case;

/// No step takes longer, however busy the machine.
const PATIENCE: Duration = Duration::from_secs(10);

static RUNS: AtomicU32 = AtomicU32::new(0);

/// The host list, as its service holds it: every entry with the version that brought it.
#[derive(Default)]
struct Registry {
    index: u64,
    entries: Vec<(u64, Value)>,
    down: bool,
    /// What becomes of the next questions, the next one last.
    spoilt: Vec<Spoilt>,
    /// Connections that have come.
    lines: u32,
    /// The version that the last question went on from.
    asked_after: Option<u64>,
    /// What becomes of watches that waited at the last change of it.
    watches: (u32, Option<Spoilt>),
}

/// How a question for the list can go wrong.
#[derive(Clone, Copy)]
enum Spoilt {
    /// It is taken and never answered.
    Mute,
    /// 503.
    Refused,
    Reset,
    /// Half of the answer comes, and no more.
    Half,
    /// The answer goes on and on.
    Endless,
    /// It waits in a queue for almost as long as services let questions wait, and is answered.
    Slow,
}

impl Spoilt {
    fn named(name: &str) -> Spoilt {
        match name {
            "mute" => Spoilt::Mute,
            "refused" => Spoilt::Refused,
            "reset" => Spoilt::Reset,
            "half" => Spoilt::Half,
            "endless" => Spoilt::Endless,
            "slow" => Spoilt::Slow,
            other => panic!("no way to spoil an answer: {other}"),
        }
    }

    fn play(self, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) -> std::io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match self {
            Spoilt::Mute | Spoilt::Slow => {}
            Spoilt::Refused => {
                write!(writer, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?
            }
            Spoilt::Reset => return set_socket_linger(&*writer, Some(Duration::ZERO)).map_err(Into::into),
            Spoilt::Half => write!(writer, "{head}40\r\n{{\"index\":7,")?,
            Spoilt::Endless => {
                write!(writer, "{head}")?;
                loop {
                    write!(writer, "1\r\n \r\n")?;
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        // Until the node ends it.
        reader.read_line(&mut String::new()).map(drop)
    }
}

type Shared = Arc<(Mutex<Registry>, Condvar)>;

/// Answers calls on one connection until it ends or the service goes down.
fn serve_list(stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    let before = shared.0.lock().unwrap().watches.0;
    loop {
        let (mut first, mut line) = (String::new(), String::new());
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let number = |key: &str| -> Option<u64> {
            let rest = first.split_once(key)?.1;
            rest[..rest.find(|c: char| !c.is_ascii_digit())?].parse().ok()
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
        let idle = |registry: &mut Registry| {
            !registry.down && registry.watches.0 == before && Some(registry.index) == after
        };
        let mut guard = shared.0.lock().unwrap();
        guard.asked_after = after;
        shared.1.notify_all();
        match guard.spoilt.pop() {
            None => {}
            Some(Spoilt::Slow) => {
                drop(guard);
                std::thread::sleep(Duration::from_millis(2_900));
                guard = shared.0.lock().unwrap();
            }
            Some(spoilt) => {
                drop(guard);
                return spoilt.play(&mut reader, &mut writer);
            }
        }
        let registry = shared.1.wait_timeout_while(guard, Duration::from_millis(wait), idle).unwrap().0;
        if registry.down {
            return Ok(());
        }
        if let (now, Some(how)) = registry.watches
            && now != before
        {
            drop(registry);
            return how.play(&mut reader, &mut writer);
        }
        let whole = after.is_none_or(|after| after > registry.index);
        let newer = |entry: &&(u64, Value)| whole || after < Some(entry.0);
        let entries: Vec<&Value> = registry.entries.iter().filter(newer).map(|entry| &entry.1).collect();
        let body = json!({"index": registry.index, "snapshot": whole, "endpoints": entries});
        let body = body.to_string();
        // In two chunks, so that they are put together again.
        let (one, two) = body.split_at(body.len() / 2);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
             {:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
            one.len(),
            two.len()
        )?;
    }
}

/// A list's service, at the address of this socket.
fn serve_lists(discovery: TcpListener, registry: Registry) -> Shared {
    let registry: Shared = Arc::new((Mutex::new(registry), Condvar::new()));
    let shared = registry.clone();
    std::thread::spawn(move || {
        for stream in discovery.incoming().flatten() {
            let shared = shared.clone();
            shared.0.lock().unwrap().lines += 1;
            std::thread::spawn(move || serve_list(stream, &shared));
        }
    });
    registry
}

/// One end of a connection that the scenario holds.
struct End(BufReader<TcpStream>);

impl End {
    fn new(stream: TcpStream) -> End {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        End(BufReader::new(stream))
    }

    fn say(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    /// The next line, `end` or `reset`.
    fn hear(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().to_owned(),
            Err(fault) if fault.kind() == ErrorKind::ConnectionReset => "reset".into(),
            Err(fault) => panic!("{fault}"),
        }
    }
}

/// An address that stays this run's own: bound and never listened at. Danger: nodes share their port, so one
/// that was only free a moment ago may be another run's by now, and each gets the other's clients.
fn reserve() -> (OwnedFd, SocketAddr) {
    let fd = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None).unwrap();
    sockopt::set_socket_reuseaddr(&fd, true).unwrap();
    sockopt::set_socket_reuseport(&fd, true).unwrap();
    net::bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = SocketAddr::try_from(net::getsockname(&fd).unwrap()).unwrap();
    (fd, address)
}

/// Connects, asks and connects again until it is told to stop; counts what was said, and what was not.
struct Steady {
    stop: Arc<AtomicU32>,
    thread: std::thread::JoinHandle<(u32, Vec<String>)>,
}

impl Steady {
    fn start(address: SocketAddr) -> Steady {
        let stop = Arc::new(AtomicU32::new(0));
        let told = stop.clone();
        let ask = move || -> std::io::Result<String> {
            let mut end = End::new(TcpStream::connect(address)?);
            end.0.get_mut().write_all(b"PING\r\n")?;
            let mut line = String::new();
            end.0.read_line(&mut line)?;
            Ok(line.trim_end().to_owned())
        };
        let thread = std::thread::spawn(move || {
            let (mut well, mut bad) = (0, vec![]);
            while told.load(Ordering::Relaxed) == 0 {
                match ask() {
                    Ok(line) if line == "PONG" => well += 1,
                    other => bad.push(format!("{other:?}")),
                }
                std::thread::sleep(Duration::from_micros(500));
            }
            (well, bad)
        });
        Steady { stop, thread }
    }

    fn end(self) {
        self.stop.store(1, Ordering::Relaxed);
        let (well, bad) = self.thread.join().unwrap();
        assert!(bad.is_empty(), "{well} well, not so {bad:?}");
        assert!(well >= 40, "only {well} in all");
    }
}

struct World {
    child: Child,
    /// Processes of the same node before this one, and where operators called them.
    before: Vec<Child>,
    doors: Vec<SocketAddr>,
    folder: std::path::PathBuf,
    admin: SocketAddr,
    reserved: Vec<OwnedFd>,
    steady: Option<Steady>,
    slow: Vec<TcpStream>,
    config: std::path::PathBuf,
    told: Value,
    listen: SocketAddr,
    registry: Shared,
    hosts: HashMap<String, TcpListener>,
    clients: HashMap<String, End>,
    attempts: HashMap<String, End>,
    asked: Instant,
    tally: Tally,
}

/// What the stand-ins saw of a process, to be held against its figures.
#[derive(Default)]
struct Tally {
    opened: u64,
    ups: u64,
    busy: u64,
    attempts: u64,
    /// Whose first answer has been heard.
    heard: std::collections::HashSet<String>,
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.before.iter_mut().chain([&mut self.child]) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start(config: &Path, discovery: &str, folder: &Path, admin: SocketAddr) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_glendeck-node"));
    for key in ["ROUTER_NAME", "ROUTER_LISTEN", "GLENDECK_LOG"] {
        command.env_remove(key);
    }
    command.env("ROUTER_CONFIG", config).env("ROUTER_DISCOVERY", discovery).env("TMPDIR", folder);
    command.env("ROUTER_ADMIN", admin.to_string()).stderr(Stdio::null()).spawn().unwrap()
}

fn settings(given: &HashMap<&str, &str>) -> Value {
    let guard: f64 = given.get("guard").map_or(1500.0, |ms| ms.parse().unwrap());
    let traffic = |name: &str, idempotency: &str| {
        json!({"name": name, "effect": idempotency, "group": "all", "windowMs": 5000.0, "setupTargetMs": 400.0,
               "guardTimeMs": guard, "revenue": 1.0})
    };
    json!({
        "caps": {"connectTimeoutMs": given.get("connect").map_or(200.0, |ms| ms.parse().unwrap()), "maxLegs": given.get("legs").map_or(4, |n| n.parse().unwrap()),
                 "mayCancel": true, "mayProbe": true, "retryAfter": true, "maxRetryAfterMs": 900.0},
        "dcs": ["here"], "extra": {"groups": true, "messageAimMs": [100.0, null]},
        "fleetSize": given.get("fleet").map_or(1, |n| n.parse().unwrap()), "me": 0,
        "membershipMode": given.get("list").unwrap_or(&"on_request"), "myZone": 0, "projects": [{"name": "one"}, {"name": "two"}],
        "safety": {"askWithinMs": 10000.0, "coldFrom": 0.2, "fallMs": 1000.0, "fallMultiple": 4.0,
                   "warmAfterMs": 20000.0},
        "tickMs": 5.0, "trafficTypes": [traffic("chat", "retryable"), traffic("pay", "fragile")],
    })
}

impl World {
    fn start(words: &[&str]) -> World {
        let given: HashMap<&str, &str> = words.iter().filter_map(|word| word.split_once('=')).collect();
        let loopback = || TcpListener::bind("127.0.0.1:0").unwrap();
        let names: Vec<&str> = given.get("hosts").map_or(vec![], |names| names.split(',').collect());
        let hosts: HashMap<String, TcpListener> =
            names.iter().map(|name| ((*name).to_owned(), loopback())).collect();
        let entry = |name: &&str| {
            let address = hosts[*name].local_addr().unwrap().to_string();
            (
                1,
                json!({"name": name, "address": address, "zone": "here", "type": "m", "group": 0,
                       "status": "in_service", "weight": 1.0, "since_ms": 0}),
            )
        };
        let mute = given.get("mute").map_or(0, |n| n.parse().unwrap());
        let entries: Vec<(u64, Value)> = names.iter().map(entry).collect();
        let slow = given.get("slow").map_or(0, |n| n.parse().unwrap());
        let spoilt = [vec![Spoilt::Slow; slow], vec![Spoilt::Mute; mute]].concat();
        let mut registry = Registry { index: 1, entries: entries.clone(), spoilt, ..Registry::default() };
        let known: Vec<&Value> = match given.get("known") {
            Some(&"none") => vec![],
            _ => entries.iter().map(|entry| &entry.1).collect(),
        };
        // What has begun to drain since the node last heard.
        for entry in registry
            .entries
            .iter_mut()
            .filter(|entry| given.get("drains") == entry.1["name"].as_str().as_ref())
        {
            (registry.index, entry.0) = (2, 2);
            entry.1["status"] = "terminating".into();
        }
        let index = if known.is_empty() { 0 } else { 1 };
        let discovery = loopback();
        let ((fd, listen), (other_fd, admin)) = (reserve(), reserve());
        let sockets: u64 = given.get("sockets").map_or(256, |n| n.parse().unwrap());
        let config = json!({
            "name": "n0", "listen": listen.to_string(), "admin": admin.to_string(), "seed": "00000000000000ff",
            "discovery": discovery.local_addr().unwrap().to_string(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "known": {"index": index, "snapshot": true, "endpoints": known}, "settings": settings(&given),
        });
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("glendeck-{}-{run}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let at = discovery.local_addr().unwrap().to_string();
        let registry = serve_lists(discovery, registry);
        let folder = path.with_extension("tmp");
        std::fs::create_dir_all(&folder).unwrap();
        let child = start(&path, &at, &folder, admin);
        let (clients, attempts) = Default::default();
        World {
            child,
            before: vec![],
            doors: vec![],
            folder,
            admin,
            reserved: vec![fd, other_fd],
            steady: None,
            slow: vec![],
            config: path,
            told: config,
            listen,
            registry,
            hosts,
            clients,
            attempts,
            asked: Instant::now(),
            tally: Tally::default(),
        }
    }

    /// What was read was answered once or waits, and nothing was counted that nobody saw. Scenarios that write
    /// calls by other means than `opens`, or more than one process, are not held to it.
    fn check_figures(&mut self) {
        if !self.before.is_empty() || !matches!(self.child.try_wait(), Ok(None)) {
            return;
        }
        let until = Instant::now() + Duration::from_secs(3);
        loop {
            let figures = self.figures();
            let sum = |name: &str| -> u64 {
                figures["calls"].as_object().unwrap().values().map(|of| of[name].as_u64().unwrap()).sum()
            };
            let (success, busy, failure) = (sum("success"), sum("busy"), sum("failure"));
            let waiting = figures["waiting"].as_u64().unwrap();
            let (seen, attempts) = (&self.tally, figures["backend_calls"].as_u64().unwrap());
            let told = success >= seen.ups && busy >= seen.busy && attempts >= seen.attempts;
            if told && success + busy + failure + waiting == seen.opened {
                return;
            }
            assert!(
                Instant::now() < until,
                "opened {}, heard {} up, {} busy, {} legs: {figures}",
                seen.opened,
                seen.ups,
                seen.busy,
                seen.attempts
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn connect(&self) -> End {
        let until = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect(self.listen) {
                Ok(stream) => return End::new(stream),
                Err(fault) => assert!(Instant::now() < until, "{fault}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn change(&mut self, name: &str, what: impl Fn(&mut Value)) {
        let (lock, changed) = &*self.registry;
        let mut registry = lock.lock().unwrap();
        registry.index += 1;
        let index = registry.index;
        let entry = registry.entries.iter_mut().find(|entry| entry.1["name"] == name).unwrap();
        entry.0 = index;
        what(&mut entry.1);
        changed.notify_all();
    }

    /// Takes the next connection at a host, which must come within the patience.
    fn accept(&mut self, host: &str) -> End {
        let (listener, until) = (&self.hosts[host], Instant::now() + PATIENCE);
        listener.set_nonblocking(true).unwrap();
        loop {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                return End::new(stream);
            }
            assert!(Instant::now() < until, "no connection came to host {host}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn end(&mut self, side: &str, name: &str) -> &mut End {
        let ends = if side == "client" { &mut self.clients } else { &mut self.attempts };
        ends.get_mut(name).unwrap_or_else(|| panic!("no {side} {name}"))
    }

    /// One call at the operators' door, whole as it comes back.
    fn call_door(&self, method: &str, path: &str) -> std::io::Result<String> {
        // It may have been started a moment ago.
        let until = Instant::now() + PATIENCE;
        let mut stream = loop {
            match TcpStream::connect(self.admin) {
                Err(fault) if fault.kind() == ErrorKind::ConnectionRefused && Instant::now() < until => {}
                other => break other?,
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        stream.set_read_timeout(Some(PATIENCE))?;
        let began = Instant::now();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 2\r\n\r\n{{}}")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        assert!(began.elapsed() < Duration::from_secs(1), "the door took {:?}", began.elapsed());
        Ok(text)
    }

    fn figures(&self) -> Value {
        let text = self.call_door("GET", "/v1/metrics").unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        assert!(head.contains(&format!("Content-Length: {}", body.len())), "{text}");
        serde_json::from_str(body).unwrap()
    }

    fn play(&mut self, words: &[&str]) {
        match words {
            ["door", "hears", status, text] => {
                let mut stream = TcpStream::connect(self.admin).unwrap();
                stream.write_all(text.replace("\\r\\n", "\r\n").replace('_', " ").as_bytes()).unwrap();
                let mut said = String::new();
                stream.read_to_string(&mut said).unwrap();
                assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{said}");
            }
            ["door", method, path, status] => {
                let said = self.call_door(method, path).unwrap();
                assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{said}");
            }
            ["door", "until", status] => {
                let until = Instant::now() + PATIENCE;
                while !self
                    .call_door("GET", "/v1/readyz")
                    .is_ok_and(|said| said.starts_with(&format!("HTTP/1.1 {status} ")))
                {
                    assert!(Instant::now() < until, "never {status}");
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            ["door", "slow", count] => {
                for _ in 0..count.parse::<u32>().unwrap() {
                    let mut slow = TcpStream::connect(self.admin).unwrap();
                    slow.write_all(b"GET /v1/me").unwrap();
                    self.slow.push(slow);
                }
            }
            // Counts may lag while what ended is still told.
            ["figures", rest @ ..] => {
                let until = Instant::now() + Duration::from_secs(2);
                loop {
                    let figures = self.figures();
                    let wrong = rest.iter().find(|want| {
                        let (name, number) = want.split_once('=').unwrap();
                        let path = format!("/{}", name.replace('.', "/"));
                        let found = figures.pointer(&path).or(figures.pointer(&format!("/calls{path}")));
                        found.and_then(Value::as_u64) != number.parse().ok()
                    });
                    let Some(wrong) = wrong else { break };
                    assert!(Instant::now() < until, "{figures} lacks {wrong}");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            ["next"] => {
                let (fd, admin) = reserve();
                let discovery = self.told["discovery"].as_str().unwrap().to_owned();
                let next = start(&self.config, &discovery, &self.folder, admin);
                self.before.push(std::mem::replace(&mut self.child, next));
                self.doors.push(std::mem::replace(&mut self.admin, admin));
                self.asked = Instant::now();
                self.reserved.push(fd);
            }
            ["old", "term"] => {
                kill_process(Pid::from_child(self.before.last().unwrap()), Signal::TERM).unwrap();
                self.asked = Instant::now();
            }
            ["old", "exit", code] => {
                let status = self.before.last_mut().unwrap().wait().unwrap();
                assert_eq!(status.code(), Some(code.parse().unwrap()));
            }
            ["kill"] => self.child.kill().unwrap(),
            ["old", "kill"] => self.before.last_mut().unwrap().kill().unwrap(),
            // The next process dies, and the one before is this node's again.
            ["next", "kill"] => {
                self.child.kill().unwrap();
                self.child.wait().unwrap();
                self.child = self.before.pop().unwrap();
                self.admin = self.doors.pop().unwrap();
            }
            // The process before the one before: told to end it leaves at once, as nobody came to it again.
            ["first", "exits"] => {
                std::thread::sleep(Duration::from_millis(50));
                let at = self.before.len() - 2;
                kill_process(Pid::from_child(&self.before[at]), Signal::TERM).unwrap();
                let (status, began) = (self.before[at].wait().unwrap(), Instant::now());
                assert!(status.success() && began.elapsed() < Duration::from_millis(1500));
            }
            ["steady", "start"] => self.steady = Some(Steady::start(self.listen)),
            ["steady", "stop"] => self.steady.take().unwrap().end(),
            ["folder", "gone"] => {
                std::fs::remove_dir_all(&self.folder).unwrap();
            }
            ["pause", s] => std::thread::sleep(Duration::from_secs_f64(s.parse().unwrap())),
            ["pong"] => {
                let until = Instant::now() + PATIENCE;
                let mut front = self.connect();
                loop {
                    front.say(b"PING\r\n");
                    match front.hear().as_str() {
                        "PONG" => break,
                        other => assert_eq!(other, "ERR"),
                    }
                    assert!(Instant::now() < until, "never ready");
                }
            }
            ["unready"] => {
                let mut front = self.connect();
                front.say(b"PING\r\n");
                assert_eq!(front.hear(), "ERR");
            }
            ["client", name, "opens", rest @ ..] => {
                let mut client = self.connect();
                client.say(format!("OPEN {name:0>16} 7f3a9c21e0b4d655 {}\r\n", rest.join(" ")).as_bytes());
                self.tally.opened += 1;
                self.clients.insert((*name).to_owned(), client);
                self.asked = Instant::now();
            }
            ["clients", count, "open", rest @ ..] => {
                for name in 0..count.parse::<u32>().unwrap() {
                    let name = (100 + name).to_string();
                    self.play(&[&["client", &name, "opens"], rest].concat());
                }
            }
            ["client", name, "connects"] => {
                let client = self.connect();
                self.clients.insert((*name).to_owned(), client);
                self.asked = Instant::now();
            }
            ["crowd", count, rest @ ..] => {
                for name in 0..count.parse::<u32>().unwrap() {
                    let name = format!("crowd{name}");
                    self.play(&["client", &name, "connects"]);
                    if !rest.is_empty() {
                        self.play(&[&["client", &name], rest].concat());
                    }
                }
            }
            [side @ ("client" | "host"), name, "writes", rest @ ..] => {
                self.end(side, name).say(rest.join(" ").as_bytes());
            }
            ["leg", name, "at", host, rest @ ..] => {
                let (attempt, line) = loop {
                    let mut conn = self.accept(host);
                    match conn.hear() {
                        line if line == "PING" => conn.say(b"PONG\r\n"),
                        line => break (conn, line),
                    }
                };
                let fields: Vec<&str> = line.split(' ').collect();
                assert_eq!(fields[..2], ["OPEN", &format!("{name:0>16}")], "{line}");
                for want in rest {
                    let wait = |text: &str| text.strip_prefix("d<=").and_then(|d| d.parse::<u64>().ok());
                    let parts = || fields[3].split(',');
                    let fits = match wait(want) {
                        Some(most) => parts().any(|part| {
                            part.strip_prefix("d=").is_some_and(|d| (1..=most).contains(&d.parse().unwrap()))
                        }),
                        None => parts().any(|part| part == *want),
                    };
                    assert!(fits, "{line} lacks {want}");
                }
                self.tally.attempts += 1;
                self.attempts.insert((*name).to_owned(), attempt);
            }
            [side @ ("client" | "host"), name, "says", rest @ ..] => {
                self.end(side, name).say(format!("{}\r\n", rest.join(" ")).as_bytes());
                self.asked = Instant::now();
            }
            [side @ ("client" | "host"), name, "splits", rest @ ..] => {
                for byte in format!("{}\r\n", rest.join(" ")).bytes() {
                    self.end(side, name).say(&[byte]);
                }
            }
            [side @ ("client" | "host"), name, "sends", count, "bytes"] => {
                let bytes = vec![b'x'; count.parse().unwrap()];
                let _ = self.end(side, name).0.get_mut().write_all(&bytes);
            }
            [side @ ("client" | "host"), name, "hears", rest @ ..] => {
                let heard = self.end(side, name).hear();
                let opened = self.tally.opened > 0 && *side == "client" && !heard.starts_with("PONG");
                if opened && self.tally.heard.insert((*name).to_owned()) {
                    match heard.split(' ').next() {
                        Some("UP") => self.tally.ups += 1,
                        Some("BUSY") => self.tally.busy += 1,
                        _ => {}
                    }
                }
                let fits = match rest {
                    ["BUSY", "wait"] => {
                        heard.strip_prefix("BUSY ").is_some_and(|ms| (1..=900).contains(&ms.parse().unwrap()))
                    }
                    rest => heard == rest.join(" "),
                };
                assert!(fits, "{side} {name} heard {heard:?}, not {rest:?}");
            }
            ["flood", name, count] => {
                // Far more than the node may keep: it must stop reading, and lose nothing.
                let (count, line) = (count.parse::<usize>().unwrap(), [b'y'; 1022]);
                let mut from = self.clients.get(*name).unwrap().0.get_ref().try_clone().unwrap();
                let sender = std::thread::spawn(move || {
                    for _ in 0..count {
                        from.write_all(&line).unwrap();
                        from.write_all(b"\r\n").unwrap();
                    }
                });
                std::thread::sleep(Duration::from_millis(100));
                let mut got = vec![0; count * 1024];
                self.end("host", name).0.read_exact(&mut got).unwrap();
                sender.join().unwrap();
                assert!(got.chunks(1024).all(|chunk| chunk.ends_with(b"y\r\n")));
            }
            ["client" | "host", name, "leaves"] => drop(match words[0] {
                "client" => self.clients.remove(*name),
                _ => self.attempts.remove(*name),
            }),
            [side @ ("client" | "host"), name, "ends"] => {
                self.end(side, name).0.get_mut().shutdown(std::net::Shutdown::Write).unwrap();
                self.asked = Instant::now();
            }
            [side @ ("client" | "host"), name, "resets"] => {
                set_socket_linger(self.end(side, name).0.get_ref(), Some(Duration::ZERO)).unwrap();
                self.play(&[side, name, "leaves"]);
                self.asked = Instant::now();
            }
            ["within", most] => {
                let took = self.asked.elapsed().as_secs_f64();
                assert!(took <= most.parse().unwrap(), "took {took} s, not {most}");
            }
            ["after", least] => assert!(self.asked.elapsed().as_secs_f64() >= least.parse().unwrap()),
            ["host", name, "gone"] => drop(self.hosts.remove(*name)),
            ["list", name, "weighs", weight] => {
                let weight: f64 = weight.parse().unwrap();
                self.change(name, |entry| entry["weight"] = weight.into());
            }
            ["list", "within", most] => {
                let took = self.asked.elapsed().as_secs_f64();
                assert!(took <= most.parse().unwrap(), "the list took {took} s, not {most}");
            }
            // What happens while it is stopped lies there when it goes on, in this order.
            ["stop"] => {
                kill_process(Pid::from_child(&self.child), Signal::STOP).unwrap();
                let stat = format!("/proc/{}/stat", self.child.id());
                let until = Instant::now() + PATIENCE;
                while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
                    assert!(Instant::now() < until, "it does not stop");
                    std::thread::yield_now();
                }
            }
            ["go"] => kill_process(Pid::from_child(&self.child), Signal::CONT).unwrap(),
            // Its queue is full: what connects now comes up later.
            ["host", name, "full"] => {
                net::listen(&self.hosts[*name], 0).unwrap();
                let address = self.hosts[*name].local_addr().unwrap();
                self.slow.push(TcpStream::connect(address).unwrap());
            }
            // What came after that comes up now, and is not read yet.
            ["host", name, "takes", client] => {
                drop(self.accept(name));
                let conn = self.accept(name);
                self.attempts.insert((*client).to_owned(), conn);
            }
            // Until so long after the last opening, saying, ending or `term`.
            ["until", s] => {
                let at = self.asked + Duration::from_secs_f64(s.parse().unwrap());
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
            }
            ["clients", count, "hear", rest @ ..] => {
                for name in 0..count.parse::<u32>().unwrap() {
                    let name = (100 + name).to_string();
                    self.play(&[&["client", &name, "hears"], rest].concat());
                }
            }
            ["list", name, status] => self.change(name, |entry| entry["status"] = (*status).into()),
            ["discovery", "anew"] => {
                // Not before the node has heard all: a version that it still stands at would come again and mean another list.
                let behind = |registry: &mut Registry| registry.asked_after != Some(registry.index);
                let registry = self.registry.0.lock().unwrap();
                let waited = self.registry.1.wait_timeout_while(registry, PATIENCE, behind).unwrap();
                assert!(!waited.1.timed_out(), "the node does not hear what was listed");
                let mut registry = waited.0;
                registry.index = 0;
                registry.entries.iter_mut().for_each(|entry| entry.0 = 0);
                self.registry.1.notify_all();
            }
            ["discovery", "watches", how] => {
                let mut registry = self.registry.0.lock().unwrap();
                registry.watches = (registry.watches.0 + 1, Some(Spoilt::named(how)));
                drop(registry);
                self.registry.1.notify_all();
                self.asked = Instant::now();
            }
            ["discovery", "lines", count] => {
                assert_eq!(self.registry.0.lock().unwrap().lines, count.parse::<u32>().unwrap());
            }
            ["discovery", "spoils", how @ ..] => {
                let spoilt = how.iter().rev().map(|name| Spoilt::named(name)).collect();
                self.registry.0.lock().unwrap().spoilt = spoilt;
            }
            ["discovery", "up"] => {
                self.registry.0.lock().unwrap().down = false;
                self.asked = Instant::now();
            }
            ["discovery", "down"] => {
                self.registry.0.lock().unwrap().down = true;
                self.registry.1.notify_all();
            }
            ["reload", "elsewhere"] => {
                // The new service has its own versions, from the start; the old one ends its watches.
                let entries: Vec<(u64, Value)> = self
                    .registry
                    .0
                    .lock()
                    .unwrap()
                    .entries
                    .iter()
                    .map(|entry| (0, entry.1.clone()))
                    .collect();
                self.play(&["discovery", "down"]);
                let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
                self.told["discovery"] = discovery.local_addr().unwrap().to_string().into();
                self.registry = serve_lists(discovery, Registry { entries, ..Registry::default() });
                std::fs::write(&self.config, self.told.to_string()).unwrap();
                kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
                self.asked = Instant::now();
            }
            ["reload", "bad"] => {
                // A key before the fault has changed too: nothing of such a file counts.
                let mut told = self.told.clone();
                (told["discovery"], told["settings"]) = ("127.0.0.1:9".into(), 7.into());
                std::fs::write(&self.config, told.to_string()).unwrap();
                kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
            }
            ["reload", "settings", changes @ ..] => {
                // From the settings of the start, so that none at all is the way back.
                let mut told = self.told.clone();
                for change in changes {
                    let (path, value) = change.split_once('=').unwrap();
                    let (parent, key) = path.rsplit_once('/').unwrap();
                    let value: Value = serde_json::from_str(value).unwrap();
                    let parent = told["settings"].pointer_mut(parent).unwrap();
                    if let Some(list) = parent.as_array_mut().filter(|_| key == "-") {
                        // Another of the same, under this name, and before the others.
                        list.insert(0, list[0].clone());
                        list[0]["name"] = value;
                    } else {
                        parent[key] = value;
                    }
                }
                std::fs::write(&self.config, told.to_string()).unwrap();
                kill_process(Pid::from_child(&self.child), Signal::HUP).unwrap();
                // The signal is there before the first caller, and what is there in one turn is done in it.
                for _ in 0..2 {
                    self.call_door("GET", "/v1/readyz").unwrap();
                }
            }
            ["client", name, "finishes", rest] => {
                self.tally.opened += 1;
                self.end("client", name).say(format!("{rest}\r\n").as_bytes());
                self.asked = Instant::now();
            }
            ["term"] => {
                kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
                self.asked = Instant::now();
            }
            ["exit", code] => {
                let until = Instant::now() + PATIENCE;
                let left = loop {
                    if let Some(status) = self.child.try_wait().unwrap() {
                        break status;
                    }
                    assert!(Instant::now() < until, "still running");
                    std::thread::sleep(Duration::from_millis(5));
                };
                assert_eq!(left.code(), Some(code.parse().unwrap()));
            }
            other => panic!("unknown line {other:?}"),
        }
    }
}

#[test_case("serves"; "a call is set up, its lines pass unchanged and its end is passed on")]
#[test_case("splits"; "lines may come in any pieces")]
#[test_case("again"; "a leg that fails is followed by one elsewhere")]
#[test_case("once_only"; "a once-only call that may have run is not sent again")]
#[test_case("unready"; "the front hears PONG once a host is known")]
#[test_case("returning"; "a connection from before goes to its host")]
#[test_case("silent"; "a client of a host that says nothing is sent away")]
#[test_case("leaving_host"; "clients of a leaving host are sent away before it goes")]
#[test_case("given_up"; "a client that leaves early takes its leg along")]
#[test_case("garbage"; "garbage ends its connection only")]
#[test_case("pressure"; "a host that does not read is not flooded, and nothing is lost")]
#[test_case("crowded"; "near the limit of descriptors clients are told to come back")]
#[test_case("restart"; "told to end, it sends all clients away and exits")]
#[test_case("rude"; "who says nothing, half a line or another's id is turned away and disturbs nobody")]
#[test_case("switch"; "settings change in a running node, there and back, and no call is lost or sent twice")]
#[test_case("switch_upgrade"; "a process whose settings changed hands over by name")]
#[test_case("reload"; "a new configuration is followed under load, a bad one is not")]
#[test_case("door"; "the operators' door answers whatever comes there, and its figures hold")]
#[test_case("drain"; "a drained node sends its clients away, stays, and comes back")]
#[test_case("upgrade"; "the next process takes over and no connection meets a closed door")]
#[test_case("upgrade_alone"; "without a folder for it the next process listens beside the old one")]
#[test_case("upgrade_undone"; "a next process that dies leaves the clients to the old one")]
#[test_case("upgrade_ended"; "a next process that is told to end early takes no clients along")]
#[test_case("upgrade_crowd"; "a crowd and slow callers keep nobody from taking over")]
#[test_case("upgrade_drained"; "a drain holds across a replacement")]
#[test_case("discovery"; "a node goes on without the list's service")]
#[test_case("gone"; "for a client that has gone no attempt begins, wherever its end was met")]
#[test_case("gone_between"; "a client that goes as its attempt fails has no further one")]
#[test_case("spoke_on"; "a client that speaks as its attempt fails has an answer and no further attempt")]
#[test_case("gone_late"; "a connection that comes up after its client has gone carries nothing")]
#[test_case("late_drain"; "a connection that comes up after its host began to drain carries nothing")]
#[test_case("left_queue"; "whoever was in the queue when a leaving node stops accepting has an answer")]
#[test_case("crowd_speaks"; "an idle client whose line lies there is not closed to make room")]
#[test_case("queued"; "a client that waited to be accepted has waited")]
#[test_case("queued_over"; "once the queue was empty nobody has waited in it")]
#[test_case("list_age"; "whatever befalls the list, a change is known within six seconds")]
#[test_case("list_crowd"; "idle clients that fill the descriptors keep nobody from asking for the list")]
#[test_case("pushed"; "what the node's agent has counts from its first moment")]
#[test_case("slow_list"; "a question that waits in its queue for long is not put again")]
#[test_case("silent_list"; "a list question that is never answered is put again before hosts drain")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap();
    let mut world: Option<World> = None;
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["node", rest @ ..] => {
                drop(world.take());
                world = Some(World::start(rest));
            }
            words => {
                println!("{name}.txt:{}: {line}", at + 1);
                world.as_mut().expect("a scenario starts with `node`").play(words);
            }
        }
    }
    // Those that write calls in other ways than `opens`.
    if !["garbage", "rude", "splits", "door", "crowd_speaks"].contains(&name) {
        world.expect("a scenario starts a node").check_figures();
    }
}
