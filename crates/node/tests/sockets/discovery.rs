//! A stand-in for the endpoint list's service.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use serde_json::{Value, json};

use crate::PATIENCE;

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Almost as long as services let requests wait.
const SLOW_ANSWER: Duration = Duration::from_millis(2_900);

/// How a request for the list can go wrong.
#[derive(Clone, Copy)]
pub(crate) enum AnswerFault {
    /// It is taken and never answered.
    Mute,
    /// 503.
    Refused,
    Reset,
    /// Half of the answer comes, and no more.
    Half,
    /// The answer goes on and on.
    Endless,
    /// It waits in a queue for long, and is answered.
    Slow,
}

impl AnswerFault {
    pub(crate) fn parse(name: &str) -> AnswerFault {
        match name {
            "mute" => AnswerFault::Mute,
            "refused" => AnswerFault::Refused,
            "reset" => AnswerFault::Reset,
            "half" => AnswerFault::Half,
            "endless" => AnswerFault::Endless,
            "slow" => AnswerFault::Slow,
            other => panic!("no such answer fault: {other}"),
        }
    }

    /// Answers so, until the node ends the connection.
    fn play(self, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) -> std::io::Result<()> {
        match self {
            AnswerFault::Mute | AnswerFault::Slow => {}
            AnswerFault::Refused => {
                write!(writer, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
            }
            AnswerFault::Reset => {
                return set_socket_linger(&*writer, Some(Duration::ZERO)).map_err(Into::into);
            }
            AnswerFault::Half => write!(writer, "{CHUNKED_HEAD}40\r\n{{\"index\":7,")?,
            AnswerFault::Endless => {
                write!(writer, "{CHUNKED_HEAD}")?;
                loop {
                    write!(writer, "1\r\n \r\n")?;
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        }
        reader.read_line(&mut String::new()).map(drop)
    }
}

/// A host's entry and the version of the list that brought it.
#[derive(Clone)]
pub(crate) struct Entry {
    pub version: u64,
    pub value: Value,
}

/// The list as its service holds it.
#[derive(Default)]
pub(crate) struct Registry {
    pub index: u64,
    pub entries: Vec<Entry>,
    pub is_down: bool,
    /// What becomes of the next requests, the next one last.
    pub faults: Vec<AnswerFault>,
    /// Connections that have come.
    pub connection_count: u32,
    /// The version that the last request went on from.
    pub last_requested_after: Option<u64>,
    /// Rises when all waiting watches are to end with `watch_fault`.
    pub watch_round: u32,
    pub watch_fault: Option<AnswerFault>,
}

impl Registry {
    /// The answer to a request for what came after a version.
    fn answer(&self, after: Option<u64>) -> String {
        let is_complete = after.is_none_or(|after| after > self.index);
        let is_newer = |entry: &&Entry| is_complete || after < Some(entry.version);
        let entries: Vec<&Value> = self.entries.iter().filter(is_newer).map(|entry| &entry.value).collect();
        json!({"index": self.index, "snapshot": is_complete, "endpoints": entries}).to_string()
    }
}

#[derive(Default)]
struct Shared {
    registry: Mutex<Registry>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap()
    }
}

/// A list's service at an address of its own, until the process ends.
pub(crate) struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Discovery {
    pub(crate) fn start(registry: Registry) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared { registry: Mutex::new(registry), changed: Condvar::new() });
        let acceptor = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = acceptor.clone();
                shared.lock().connection_count += 1;
                std::thread::spawn(move || serve_connection(stream, &shared));
            }
        });
        Discovery { address, shared }
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Registry)) {
        change(&mut self.shared.lock());
        self.shared.changed.notify_all();
    }

    pub(crate) fn connection_count(&self) -> u32 {
        self.shared.lock().connection_count
    }

    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.shared.lock().entries.clone()
    }

    /// Changes one host's entry, as the next version.
    pub(crate) fn change_entry(&self, name: &str, change: impl FnOnce(&mut Value)) {
        self.update(|registry| {
            registry.index += 1;
            let index = registry.index;
            let entry = registry.entries.iter_mut().find(|entry| entry.value["name"] == name).unwrap();
            entry.version = index;
            change(&mut entry.value);
        });
    }

    /// Counts versions from the start again, as soon as the node has heard all: a version that it still
    /// stands at would come again and mean another list.
    pub(crate) fn restart_versions(&self) {
        let is_behind = |registry: &mut Registry| registry.last_requested_after != Some(registry.index);
        let waited = self.shared.changed.wait_timeout_while(self.shared.lock(), PATIENCE, is_behind).unwrap();
        assert!(!waited.1.timed_out(), "the node does not hear what was listed");
        let mut registry = waited.0;
        registry.index = 0;
        registry.entries.iter_mut().for_each(|entry| entry.version = 0);
        self.shared.changed.notify_all();
    }
}

struct Request {
    after: Option<u64>,
    wait: Duration,
}

/// The next request, unless the connection has ended.
fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    let number = |key: &str| -> Option<u64> {
        let rest = first.split_once(key)?.1;
        rest[..rest.find(|c: char| !c.is_ascii_digit())?].parse().ok()
    };
    let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0));
    Ok(Some(Request { after: number("after="), wait }))
}

/// Writes a body in two chunks, so that they have to be put together again.
fn write_answer(writer: &mut TcpStream, body: &str) -> std::io::Result<()> {
    let (first, second) = body.split_at(body.len() / 2);
    write!(
        writer,
        "{CHUNKED_HEAD}{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    )
}

/// Answers requests on one connection until it ends or the service goes down.
fn serve_connection(stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    let round = shared.lock().watch_round;
    while let Some(request) = read_request(&mut reader)? {
        let mut registry = shared.lock();
        registry.last_requested_after = request.after;
        shared.changed.notify_all();
        match registry.faults.pop() {
            None => {}
            Some(AnswerFault::Slow) => {
                drop(registry);
                std::thread::sleep(SLOW_ANSWER);
                registry = shared.lock();
            }
            Some(fault) => {
                drop(registry);
                return fault.play(&mut reader, &mut writer);
            }
        }
        let has_to_wait = |registry: &mut Registry| {
            !registry.is_down && registry.watch_round == round && Some(registry.index) == request.after
        };
        let registry = shared.changed.wait_timeout_while(registry, request.wait, has_to_wait).unwrap().0;
        if registry.is_down {
            return Ok(());
        }
        if let Some(fault) = registry.watch_fault
            && registry.watch_round != round
        {
            drop(registry);
            return fault.play(&mut reader, &mut writer);
        }
        let body = registry.answer(request.after);
        drop(registry);
        write_answer(&mut writer, &body)?;
    }
    Ok(())
}
