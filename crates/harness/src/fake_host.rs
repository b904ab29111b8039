//! A host on loopback: takes every connection, answers calls and echoes each further line.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::grouped_clients::{group_of, load_of};
use crate::observations::{Execution, Executions, Observations};
use crate::scripted_clients::HostBehaviour;
use crate::{loopback, spawn};

/// Hosts of one cell recognise a key for so long, in ms.
pub(crate) const KEY_WINDOW_MS: f64 = 3_000.0;

/// The class of calls that must not run twice, and the one whose repeats hosts recognise by their key.
const NON_IDEMPOTENT: &str = "c=pay";
const KEYED: &str = "c=edit";

/// How a host answers a call; its key draws it, so that each run is the same.
enum Response {
    AnswerAfterMs(u64),
    /// It executes the call and never answers.
    Silent,
    /// It rejects the call without executing it.
    Busy,
}

/// A host of the cluster.
pub struct FakeHost {
    /// As discovery lists it.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Hosts of one cell share the keys that they recognise.
    pub cell: usize,
    counts: Arc<ConnectionCounts>,
    is_dead: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

#[derive(Default)]
struct ConnectionCounts {
    open: AtomicI64,
    opened: AtomicU64,
}

/// What one connection needs to serve its lines.
struct Session {
    host: String,
    cell: usize,
    observations: Observations,
    counts: Arc<ConnectionCounts>,
    has_opened: bool,
    group: Option<u64>,
}

impl FakeHost {
    /// Starts a host that records into `observations`.
    ///
    /// # Errors
    /// No socket is granted.
    pub fn start(name: &str, cell: usize, observations: &Observations) -> std::io::Result<FakeHost> {
        let listener = loopback()?;
        let host = FakeHost {
            name: name.to_owned(),
            address: listener.local_addr()?,
            cell,
            counts: Arc::default(),
            is_dead: Arc::default(),
            streams: Arc::default(),
        };
        let observations = observations.clone();
        let host_name = host.name.clone();
        let counts = host.counts.clone();
        let is_dead = host.is_dead.clone();
        let streams = host.streams.clone();
        spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming().flatten()) {
                if is_dead.load(Ordering::SeqCst) {
                    continue;
                }
                if let (Ok(mut streams), Ok(stream)) = (streams.lock(), stream.try_clone()) {
                    streams.insert(number, stream);
                }
                let session = Session {
                    host: host_name.clone(),
                    cell,
                    observations: observations.clone(),
                    counts: counts.clone(),
                    has_opened: false,
                    group: None,
                };
                let streams = streams.clone();
                spawn(move || {
                    session.run(&stream);
                    let _ = stream.shutdown(Shutdown::Both);
                    if let Ok(mut streams) = streams.lock() {
                        streams.remove(&number);
                    }
                });
            }
        });
        Ok(host)
    }

    /// Ends its connections and takes no other, or takes connections again; it remembers what it executed.
    pub fn set_dead(&self, is_dead: bool) {
        self.is_dead.store(is_dead, Ordering::SeqCst);
        if let (true, Ok(mut streams)) = (is_dead, self.streams.lock()) {
            for (_, stream) in streams.drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> i64 {
        self.counts.open.load(Ordering::SeqCst)
    }

    /// Connections that were ever opened.
    pub fn opened_connections(&self) -> u64 {
        self.counts.opened.load(Ordering::SeqCst)
    }
}

impl Session {
    fn run(mut self, stream: &TcpStream) {
        // A connection that breaks ends the session, which is all that a host does about it.
        let _ = self.serve(stream);
        if self.has_opened {
            self.counts.open.fetch_sub(1, Ordering::SeqCst);
        }
        if let (Some(group), Ok(mut groups)) = (self.group, self.observations.groups.lock()) {
            groups.closed(&self.host, group);
        }
    }

    fn serve(&mut self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 {
            let mut words = line.split_whitespace();
            match (words.next(), words.next()) {
                (Some("PING"), _) => writer.write_all(b"PONG\r\n")?,
                (Some("OPEN"), Some(id)) => {
                    let key = words.next().unwrap_or_default();
                    let fields = words.next().unwrap_or_default();
                    if !self.open(writer, id, key, fields)? {
                        return Ok(());
                    }
                }
                _ => writer.write_all(line.as_bytes())?,
            }
            line.clear();
        }
        Ok(())
    }

    /// Serves an `OPEN` line; returns whether the connection goes on.
    fn open(&mut self, mut writer: &TcpStream, id: &str, key: &str, fields: &str) -> std::io::Result<bool> {
        let script = self.observations.host_script.behaviour(key);
        // A line that did not arrive in full was never read: nothing of the call is known here.
        if script == Some(HostBehaviour::ReceiveHalf) {
            self.observations.host_script.count_partial_line(key);
            return Ok(true);
        }
        if let Ok(mut attempts) = self.observations.attempts.lock() {
            *attempts.entry(id.to_owned()).or_default() += 1;
        }
        if !std::mem::replace(&mut self.has_opened, true) {
            self.counts.open.fetch_add(1, Ordering::SeqCst);
        }
        self.counts.opened.fetch_add(1, Ordering::SeqCst);
        let class = [NON_IDEMPOTENT, KEYED].into_iter().find(|class| fields.starts_with(*class));
        if let Some(class) = class {
            let response = self.execute(class, key, script.is_some());
            match response {
                _ if script.is_some() => self.observations.host_script.wait_until_released(key),
                Response::AnswerAfterMs(ms) => std::thread::sleep(Duration::from_millis(ms)),
                Response::Silent => return Ok(true),
                Response::Busy => {
                    writer.write_all(b"BUSY\r\n")?;
                    return Ok(false);
                }
            }
        }
        let Some(group) = group_of(fields) else {
            writer.write_all(format!("UP {id}\r\n").as_bytes())?;
            return Ok(true);
        };
        if let Ok(mut groups) = self.observations.groups.lock() {
            groups.opened(&self.host, group, key);
        }
        self.group = Some(group);
        writer.write_all(format!("UP {id}\r\nLOAD {}\r\n", load_of(key)).as_bytes())?;
        Ok(true)
    }

    /// Executes a call unless it rejects it; a key that a host of its cell executed lately has no further effect.
    fn execute(&self, class: &str, key: &str, is_scripted: bool) -> Response {
        let executions: &Executions = &self.observations.executions;
        let Ok(mut executions) = executions.lock() else { return Response::Silent };
        let executions = executions.entry(format!("{class} {key}")).or_default();
        let response =
            if is_scripted { Response::AnswerAfterMs(0) } else { draw_response(key, executions.len()) };
        if !matches!(response, Response::Busy) {
            let window = Duration::from_millis(KEY_WINDOW_MS as u64);
            let is_recognised =
                executions.iter().any(|known| known.cell == self.cell && known.at.elapsed() < window);
            executions.push(Execution {
                at: Instant::now(),
                host: self.host.clone(),
                cell: self.cell,
                had_effect: class == NON_IDEMPOTENT || !is_recognised,
            });
        }
        response
    }
}

fn draw_response(key: &str, executions: usize) -> Response {
    let number = u64::from_str_radix(key, 16).unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    match number % 20 {
        0 => Response::Silent,
        1 | 2 if executions == 0 => Response::Busy,
        _ => Response::AnswerAfterMs(20 + number / 20 % 300),
    }
}
