//! The frontend and its clients. The frontend asks each node whether it takes clients, and deals them out among those that
//! do; clients count what they were answered.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::{CALL_DEADLINE, LATE_ANSWER_TOLERANCE, spawn};

/// The frontend asks this often, and a node that says nothing for so long is not there.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// What the frontend and its clients saw.
#[derive(Clone, Debug, Default)]
pub struct ClientStats {
    pub answered: u64,
    pub busy: u64,
    pub failed: u64,
    pub moved: u64,
    /// Calls that had no answer, a second one, or whose open connection broke without a word while its node lived.
    pub lost: Vec<String>,
    /// Most nodes at once that took no clients, of those that nobody had made to.
    pub most_out: usize,
}

#[derive(Default)]
struct Frontend {
    /// Takes clients, and since when it does or does not.
    accepts_clients: BTreeMap<usize, (bool, Instant)>,
}

/// What the frontend knows of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAvailability {
    pub accepts_clients: bool,
    pub since: Instant,
}

pub struct Clients {
    nodes: Vec<SocketAddr>,
    frontend: Arc<Mutex<Frontend>>,
    /// Nodes that the harness itself has harmed: they count neither as out nor for what breaks there.
    pub disrupted: Arc<Mutex<BTreeMap<usize, Instant>>>,
    stats: Arc<Mutex<ClientStats>>,
    stop: Arc<AtomicBool>,
    ids: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
    started: u64,
}

fn accepts_clients_now(address: SocketAddr) -> std::io::Result<bool> {
    let stream = TcpStream::connect_timeout(&address, POLL_TIMEOUT)?;
    stream.set_read_timeout(Some(POLL_TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    reader.get_mut().write_all(b"PING\r\n")?;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end() == "PONG")
}

impl Clients {
    /// A front before these nodes; no clients yet.
    pub fn start(nodes: Vec<SocketAddr>) -> Clients {
        let clients = Clients {
            frontend: Arc::default(),
            disrupted: Arc::default(),
            stats: Arc::default(),
            stop: Arc::default(),
            ids: Arc::new(AtomicU64::new(1)),
            ended: Arc::default(),
            started: 0,
            nodes,
        };
        for (at, address) in clients.nodes.iter().copied().enumerate() {
            let (frontend, stop, stats, disrupted) = (
                clients.frontend.clone(),
                clients.stop.clone(),
                clients.stats.clone(),
                clients.disrupted.clone(),
            );
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let accepts_clients = accepts_clients_now(address).unwrap_or(false);
                    let (Ok(mut frontend), Ok(disrupted), Ok(mut stats)) =
                        (frontend.lock(), disrupted.lock(), stats.lock())
                    else {
                        return;
                    };
                    let fresh = (accepts_clients, Instant::now());
                    let known = frontend.accepts_clients.entry(at).or_insert(fresh);
                    if known.0 != accepts_clients {
                        *known = fresh;
                    }
                    let out = frontend
                        .accepts_clients
                        .iter()
                        .filter(|(at, of)| !of.0 && !disrupted.contains_key(at))
                        .count();
                    stats.most_out = stats.most_out.max(out);
                    drop((frontend, disrupted, stats));
                    std::thread::sleep(POLL_INTERVAL);
                }
            });
        }
        clients
    }

    /// So many clients come, stay for a while, and come again.
    pub fn add_clients(&mut self, count: u64, seed: u64) {
        for number in 0..count {
            let client = Client {
                nodes: self.nodes.clone(),
                frontend: self.frontend.clone(),
                disrupted: self.disrupted.clone(),
                stats: self.stats.clone(),
                stop: self.stop.clone(),
                ids: self.ids.clone(),
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

    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    pub fn frontend(&self) -> FrontendView {
        FrontendView { frontend: self.frontend.clone(), disrupted: self.disrupted.clone() }
    }

    pub fn availability(&self, at: usize) -> Option<NodeAvailability> {
        let frontend = self.frontend.lock().ok()?;
        frontend.accepts_clients.get(&at).map(|(accepts_clients, since)| NodeAvailability {
            accepts_clients: *accepts_clients,
            since: *since,
        })
    }

    pub fn stats(&self) -> ClientStats {
        self.stats.lock().map(|stats| stats.clone()).unwrap_or_default()
    }

    /// From here on the most that were out at once is counted anew.
    pub fn reset_most_out(&self) {
        if let Ok(mut stats) = self.stats.lock() {
            stats.most_out = 0;
        }
    }

    /// Ends all clients and says what was seen.
    pub fn end(&self) -> ClientStats {
        self.stop.store(true, Ordering::Relaxed);
        let until = Instant::now() + Duration::from_secs(8);
        while self.ended.load(Ordering::Relaxed) < self.started && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.stats()
    }
}

/// What the frontend knows, for other kinds of clients.
#[derive(Clone)]
pub struct FrontendView {
    frontend: Arc<Mutex<Frontend>>,
    disrupted: Arc<Mutex<BTreeMap<usize, Instant>>>,
}

impl FrontendView {
    /// One of those that said they take clients.
    pub fn pick(&self, rng: &mut WyRand) -> Option<usize> {
        let frontend = self.frontend.lock().ok()?;
        let taking: Vec<usize> =
            frontend.accepts_clients.iter().filter(|(_, of)| of.0).map(|(at, _)| *at).collect();
        let chosen = rng.generate_range(0..taking.len().max(1));
        taking.get(chosen).copied()
    }

    pub fn is_disrupted(&self, at: usize) -> bool {
        self.disrupted.lock().is_ok_and(|disrupted| disrupted.contains_key(&at))
    }
}

struct Client {
    nodes: Vec<SocketAddr>,
    frontend: Arc<Mutex<Frontend>>,
    disrupted: Arc<Mutex<BTreeMap<usize, Instant>>>,
    stats: Arc<Mutex<ClientStats>>,
    stop: Arc<AtomicBool>,
    ids: Arc<AtomicU64>,
    rng: WyRand,
}

impl Client {
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Some(at) = self.pick() else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let id = format!("{:016x}", self.ids.fetch_add(1, Ordering::Relaxed));
            let began = Instant::now();
            if let Err(why) = self.call(at, &id) {
                // What a process that was killed had in hand goes with it.
                let disrupted = self.disrupted.lock().is_ok_and(|disrupted| disrupted.contains_key(&at));
                if !disrupted && let Ok(mut stats) = self.stats.lock() {
                    stats.lost.push(format!("call {id} at node {at} after {:?}: {why}", began.elapsed()));
                }
            }
            std::thread::sleep(Duration::from_millis(self.rng.generate_range(20..120)));
        }
    }

    /// The frontend deals clients out among those that said they take them.
    fn pick(&mut self) -> Option<usize> {
        let view = FrontendView { frontend: self.frontend.clone(), disrupted: self.disrupted.clone() };
        view.pick(&mut self.rng)
    }

    fn record(&self, what: impl FnOnce(&mut ClientStats)) {
        if let Ok(mut stats) = self.stats.lock() {
            what(&mut stats);
        }
    }

    fn call(&mut self, at: usize, id: &str) -> Result<(), String> {
        let text = |fault: std::io::Error| fault.to_string();
        // A connection that never comes up was never taken.
        let Ok(stream) = TcpStream::connect_timeout(&self.nodes[at], CALL_DEADLINE) else { return Ok(()) };
        stream.set_read_timeout(Some(CALL_DEADLINE + LATE_ANSWER_TOLERANCE)).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let mut reader = BufReader::new(stream);
        let guard = CALL_DEADLINE.as_millis();
        let line = format!("OPEN {id} 7f3a9c21e0b4d655 c=chat,t=one,d={guard}\r\n");
        reader.get_mut().write_all(line.as_bytes()).map_err(text)?;
        let mut line = String::new();
        let heard = reader.read_line(&mut line).map_err(|fault| format!("no answer: {fault}"))?;
        match line.split_whitespace().next() {
            Some("UP") if line.trim_end() == format!("UP {id}") => self.record(|stats| stats.answered += 1),
            Some("BUSY") => {
                self.record(|stats| stats.busy += 1);
                return Ok(());
            }
            Some(_) => {
                self.record(|stats| stats.failed += 1);
                return Ok(());
            }
            None => return Err(format!("closed without an answer ({heard} bytes)")),
        }
        // It stays for a while, says a line now and then and hears it back.
        let stays = Instant::now() + Duration::from_millis(self.rng.generate_range(200..3_000));
        let mut number = 0;
        reader.get_mut().set_read_timeout(Some(Duration::from_secs(7))).map_err(text)?;
        while Instant::now() < stays && !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let said = format!("line {number} of {id}");
            if reader.get_mut().write_all(format!("{said}\r\n").as_bytes()).is_err() {
                // It may have been moved a moment ago.
            }
            let mut heard = String::new();
            match reader.read_line(&mut heard) {
                Ok(0) => return Err("cut off without a word".into()),
                Ok(_) if heard.trim_end() == "MOVE" => {
                    self.record(|stats| stats.moved += 1);
                    return Ok(());
                }
                Ok(_) if heard.trim_end() == said => {}
                Ok(_) => return Err(format!("heard {heard:?} for {said:?}")),
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    return Err("nothing came back for 7 s".into());
                }
                Err(fault) => return Err(format!("broke: {fault}")),
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        Ok(())
    }
}
