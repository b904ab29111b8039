//! Clients of idempotent calls. Each calls a node that the frontend picks, keeps its connection for a while, and counts what
//! it was answered.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::frontend::FrontendView;
use crate::{CALL_DEADLINE, LATE_ANSWER_TOLERANCE, spawn};

/// How long [`Clients::end`] waits for calls that are still out.
const PATIENCE: Duration = Duration::from_secs(8);

/// An open connection whose line is not echoed for so long is broken.
const ECHO_TIMEOUT: Duration = Duration::from_secs(7);

/// What the frontend and the clients saw.
#[derive(Clone, Debug, Default)]
pub struct ClientStats {
    /// Calls that were served.
    pub answered: u64,
    /// Calls that were rejected: nothing ran.
    pub busy: u64,
    /// Calls that failed: they may have run.
    pub failed: u64,
    /// Open connections that were told to move.
    pub moved: u64,
    /// Calls that had no answer, a second one, or whose open connection broke without a line while its node lived.
    pub lost: Vec<String>,
    /// Most nodes at once that accepted no clients, of those that nobody had disrupted.
    pub most_out: usize,
}

/// All clients of a cluster, and the frontend before its nodes.
pub struct Clients {
    nodes: Vec<SocketAddr>,
    frontend: FrontendView,
    stats: Arc<Mutex<ClientStats>>,
    stop: Arc<AtomicBool>,
    next_call_id: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
    started: u64,
}

impl Clients {
    /// Starts a frontend before these nodes, and no clients yet.
    pub fn start(nodes: Vec<SocketAddr>) -> Clients {
        let stop = Arc::default();
        Clients {
            frontend: FrontendView::watch(&nodes, &stop),
            stats: Arc::default(),
            stop,
            next_call_id: Arc::new(AtomicU64::new(1)),
            ended: Arc::default(),
            started: 0,
            nodes,
        }
    }

    /// Adds clients that make one call after another.
    pub fn add_clients(&mut self, count: u64, seed: u64) {
        for number in 0..count {
            let client = Client {
                nodes: self.nodes.clone(),
                frontend: self.frontend.clone(),
                stats: self.stats.clone(),
                stop: self.stop.clone(),
                next_call_id: self.next_call_id.clone(),
                rng: WyRand::new_seed(seed + number),
            };
            let ended = self.ended.clone();
            self.started += 1;
            spawn(move || {
                client.run();
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
    }

    /// The clients' addresses of the nodes.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// The frontend before the nodes.
    pub fn frontend(&self) -> FrontendView {
        self.frontend.clone()
    }

    /// What was seen so far.
    pub fn stats(&self) -> ClientStats {
        let mut stats = self.stats.lock().map(|stats| stats.clone()).unwrap_or_default();
        stats.most_out = self.frontend.most_out();
        stats
    }

    /// Counts [`ClientStats::most_out`] anew from here on.
    pub fn reset_most_out(&self) {
        self.frontend.reset_most_out();
    }

    /// Stops all clients and returns what was seen.
    pub fn end(&self) -> ClientStats {
        self.stop.store(true, Ordering::Relaxed);
        let until = Instant::now() + PATIENCE;
        while self.ended.load(Ordering::Relaxed) < self.started && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.stats()
    }
}

struct Client {
    nodes: Vec<SocketAddr>,
    frontend: FrontendView,
    stats: Arc<Mutex<ClientStats>>,
    stop: Arc<AtomicBool>,
    next_call_id: Arc<AtomicU64>,
    rng: WyRand,
}

/// Why a call counts as lost.
#[derive(Debug, thiserror::Error)]
enum LostCall {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("no answer: {0}")]
    NoAnswer(std::io::Error),
    #[error("closed without an answer ({bytes} bytes)")]
    Closed { bytes: usize },
    #[error("cut off without a line")]
    CutOff,
    #[error("got {got:?} for {sent:?}")]
    WrongEcho { got: String, sent: String },
    #[error("nothing came back within {ECHO_TIMEOUT:?}")]
    NoEcho,
    #[error("broke: {0}")]
    Broke(std::io::Error),
}

impl Client {
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Some(node) = self.frontend.pick(&mut self.rng) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let id = format!("{:016x}", self.next_call_id.fetch_add(1, Ordering::Relaxed));
            let began = Instant::now();
            if let Err(why) = self.call(node, &id) {
                // What a process that was killed had in flight goes with it.
                if !self.frontend.is_disrupted(node) {
                    let took = began.elapsed();
                    self.record(|stats| {
                        stats.lost.push(format!("call {id} at node {node} after {took:?}: {why}"));
                    });
                }
            }
            std::thread::sleep(Duration::from_millis(self.rng.generate_range(20..120)));
        }
    }

    fn record(&self, change: impl FnOnce(&mut ClientStats)) {
        if let Ok(mut stats) = self.stats.lock() {
            change(&mut stats);
        }
    }

    fn call(&mut self, node: usize, id: &str) -> Result<(), LostCall> {
        // A connection that does not come up was never accepted.
        let Ok(stream) = TcpStream::connect_timeout(&self.nodes[node], CALL_DEADLINE) else { return Ok(()) };
        stream.set_read_timeout(Some(CALL_DEADLINE + LATE_ANSWER_TOLERANCE))?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let deadline_ms = CALL_DEADLINE.as_millis();
        let line = format!("OPEN {id} 7f3a9c21e0b4d655 c=chat,t=one,d={deadline_ms}\r\n");
        reader.get_mut().write_all(line.as_bytes())?;
        let mut answer = String::new();
        let bytes = reader.read_line(&mut answer).map_err(LostCall::NoAnswer)?;
        match answer.split_whitespace().next() {
            Some("UP") if answer.trim_end() == format!("UP {id}") => {
                self.record(|stats| stats.answered += 1);
            }
            Some("BUSY") => {
                self.record(|stats| stats.busy += 1);
                return Ok(());
            }
            Some(_) => {
                self.record(|stats| stats.failed += 1);
                return Ok(());
            }
            None => return Err(LostCall::Closed { bytes }),
        }
        self.stay(&mut reader, id)
    }

    /// Keeps the connection for a while, sending a line now and then and reading its echo.
    fn stay(&mut self, reader: &mut BufReader<TcpStream>, id: &str) -> Result<(), LostCall> {
        let until = Instant::now() + Duration::from_millis(self.rng.generate_range(200..3_000));
        reader.get_mut().set_read_timeout(Some(ECHO_TIMEOUT))?;
        let mut number = 0;
        while Instant::now() < until && !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let sent = format!("line {number} of {id}");
            // A write may fail because the client was told to move a moment ago: the read shows it.
            let _ = reader.get_mut().write_all(format!("{sent}\r\n").as_bytes());
            let mut got = String::new();
            match reader.read_line(&mut got) {
                Ok(0) => return Err(LostCall::CutOff),
                Ok(_) if got.trim_end() == "MOVE" => {
                    self.record(|stats| stats.moved += 1);
                    return Ok(());
                }
                Ok(_) if got.trim_end() == sent => {}
                Ok(_) => return Err(LostCall::WrongEcho { got, sent }),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(LostCall::NoEcho),
                Err(error) => return Err(LostCall::Broke(error)),
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        Ok(())
    }
}
