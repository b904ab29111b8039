//! The front and its clients. The front asks each node whether it takes clients, and deals them out among those that
//! do; clients count what they were answered.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::spawn;

/// The front asks this often, and a node that says nothing for so long is not there.
const ASKS: Duration = Duration::from_millis(40);
const SILENT: Duration = Duration::from_millis(400);

/// How long a client waits for its answer, and how much later one still counts.
const GUARD: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(500);

/// What the front and its clients saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
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
struct Front {
    /// Takes clients, and since when it does or does not.
    takes: BTreeMap<usize, (bool, Instant)>,
}

/// What the front knows of one node.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    pub takes: bool,
    pub since: Instant,
}

pub struct Clients {
    nodes: Vec<SocketAddr>,
    front: Arc<Mutex<Front>>,
    /// Nodes that the rig itself has harmed: they count neither as out nor for what breaks there.
    pub harmed: Arc<Mutex<BTreeMap<usize, Instant>>>,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    ids: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
    started: u64,
}

fn asks(address: SocketAddr) -> std::io::Result<bool> {
    let stream = TcpStream::connect_timeout(&address, SILENT)?;
    stream.set_read_timeout(Some(SILENT))?;
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
            front: Arc::default(),
            harmed: Arc::default(),
            seen: Arc::default(),
            stop: Arc::default(),
            ids: Arc::new(AtomicU64::new(1)),
            ended: Arc::default(),
            started: 0,
            nodes,
        };
        for (at, address) in clients.nodes.iter().copied().enumerate() {
            let (front, stop, seen, harmed) =
                (clients.front.clone(), clients.stop.clone(), clients.seen.clone(), clients.harmed.clone());
            spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let takes = asks(address).unwrap_or(false);
                    let (Ok(mut front), Ok(harmed), Ok(mut seen)) =
                        (front.lock(), harmed.lock(), seen.lock())
                    else {
                        return;
                    };
                    let fresh = (takes, Instant::now());
                    let known = front.takes.entry(at).or_insert(fresh);
                    if known.0 != takes {
                        *known = fresh;
                    }
                    let out = front.takes.iter().filter(|(at, of)| !of.0 && !harmed.contains_key(at)).count();
                    seen.most_out = seen.most_out.max(out);
                    drop((front, harmed, seen));
                    std::thread::sleep(ASKS);
                }
            });
        }
        clients
    }

    /// So many clients come, stay for a while, and come again.
    pub fn come(&mut self, count: u64, seed: u64) {
        for number in 0..count {
            let client = Client {
                nodes: self.nodes.clone(),
                front: self.front.clone(),
                harmed: self.harmed.clone(),
                seen: self.seen.clone(),
                stop: self.stop.clone(),
                ids: self.ids.clone(),
                chance: WyRand::new_seed(seed + number),
            };
            let ended = self.ended.clone();
            self.started += 1;
            spawn(move || {
                client.live();
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
    }

    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    pub fn front(&self) -> FrontView {
        FrontView { front: self.front.clone(), harmed: self.harmed.clone() }
    }

    pub fn standing(&self, at: usize) -> Option<Standing> {
        let front = self.front.lock().ok()?;
        front.takes.get(&at).map(|(takes, since)| Standing { takes: *takes, since: *since })
    }

    pub fn seen(&self) -> Seen {
        self.seen.lock().map(|seen| seen.clone()).unwrap_or_default()
    }

    /// From here on the most that were out at once is counted anew.
    pub fn count_anew(&self) {
        if let Ok(mut seen) = self.seen.lock() {
            seen.most_out = 0;
        }
    }

    /// Ends all clients and says what was seen.
    pub fn end(&self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        let until = Instant::now() + Duration::from_secs(8);
        while self.ended.load(Ordering::Relaxed) < self.started && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.seen()
    }
}

/// What the front knows, for other kinds of clients.
#[derive(Clone)]
pub struct FrontView {
    front: Arc<Mutex<Front>>,
    harmed: Arc<Mutex<BTreeMap<usize, Instant>>>,
}

impl FrontView {
    /// One of those that said they take clients.
    pub fn pick(&self, chance: &mut WyRand) -> Option<usize> {
        let front = self.front.lock().ok()?;
        let taking: Vec<usize> = front.takes.iter().filter(|(_, of)| of.0).map(|(at, _)| *at).collect();
        let chosen = chance.generate_range(0..taking.len().max(1));
        taking.get(chosen).copied()
    }

    pub fn is_harmed(&self, at: usize) -> bool {
        self.harmed.lock().is_ok_and(|harmed| harmed.contains_key(&at))
    }
}

struct Client {
    nodes: Vec<SocketAddr>,
    front: Arc<Mutex<Front>>,
    harmed: Arc<Mutex<BTreeMap<usize, Instant>>>,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    ids: Arc<AtomicU64>,
    chance: WyRand,
}

impl Client {
    fn live(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Some(at) = self.pick() else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let id = format!("{:016x}", self.ids.fetch_add(1, Ordering::Relaxed));
            let began = Instant::now();
            if let Err(why) = self.call(at, &id) {
                // What a process that was killed had in hand goes with it.
                let harmed = self.harmed.lock().is_ok_and(|harmed| harmed.contains_key(&at));
                if !harmed && let Ok(mut seen) = self.seen.lock() {
                    seen.lost.push(format!("call {id} at node {at} after {:?}: {why}", began.elapsed()));
                }
            }
            std::thread::sleep(Duration::from_millis(self.chance.generate_range(20..120)));
        }
    }

    /// The front deals clients out among those that said they take them.
    fn pick(&mut self) -> Option<usize> {
        let view = FrontView { front: self.front.clone(), harmed: self.harmed.clone() };
        view.pick(&mut self.chance)
    }

    fn note(&self, what: impl FnOnce(&mut Seen)) {
        if let Ok(mut seen) = self.seen.lock() {
            what(&mut seen);
        }
    }

    fn call(&mut self, at: usize, id: &str) -> Result<(), String> {
        let text = |fault: std::io::Error| fault.to_string();
        // A connection that never comes up was never taken.
        let Ok(stream) = TcpStream::connect_timeout(&self.nodes[at], GUARD) else { return Ok(()) };
        stream.set_read_timeout(Some(GUARD + SLACK)).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let mut reader = BufReader::new(stream);
        let guard = GUARD.as_millis();
        let line = format!("OPEN {id} 7f3a9c21e0b4d655 c=chat,t=one,d={guard}\r\n");
        reader.get_mut().write_all(line.as_bytes()).map_err(text)?;
        let mut line = String::new();
        let heard = reader.read_line(&mut line).map_err(|fault| format!("no answer: {fault}"))?;
        match line.split_whitespace().next() {
            Some("UP") if line.trim_end() == format!("UP {id}") => self.note(|seen| seen.answered += 1),
            Some("BUSY") => {
                self.note(|seen| seen.busy += 1);
                return Ok(());
            }
            Some(_) => {
                self.note(|seen| seen.failed += 1);
                return Ok(());
            }
            None => return Err(format!("closed without an answer ({heard} bytes)")),
        }
        // It stays for a while, says a line now and then and hears it back.
        let stays = Instant::now() + Duration::from_millis(self.chance.generate_range(200..3_000));
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
                    self.note(|seen| seen.moved += 1);
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
