//! Clients whose work is not to be done twice. Each comes with a work of its own, and comes again with it, marked as a
//! repeat, at whichever node the front names, until it has an answer.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::clients::Clients;
use crate::spawn;

/// How long a client waits, and how much later an answer still counts.
pub(crate) const GUARD: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(500);

/// It comes so often at most, and never later than its record is kept.
const TIMES: u32 = 4;
const LATEST: Duration = Duration::from_millis(3_500);

/// How works ended, as their clients saw it.
#[derive(Clone, Debug, Default)]
pub struct Ended {
    pub up: u64,
    /// A final answer without any assurance.
    pub released: u64,
    /// Turned away, with an assurance, at their last coming.
    pub busy: u64,
    /// No answer, at their last coming.
    pub unanswered: u64,
    /// Served after their first node had been lost.
    pub up_again: u64,
    /// Milliseconds from the first loss to the answer, of those.
    pub again_ms: Vec<u64>,
    /// Milliseconds from the first loss to the last answer, of all whose node was lost and that were answered at all.
    pub settled_ms: Vec<u64>,
    /// Milliseconds that a first coming took to be up: referenced ones, and once-only ones.
    pub first_ms: [Vec<u64>; 2],
    /// A node that nobody had harmed did not answer in time, or broke off.
    pub lost: Vec<String>,
}

pub struct Workers {
    pub ended: Arc<Mutex<Ended>>,
    stop: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
}

pub(crate) enum Came {
    Up(Duration),
    Busy,
    Released,
    Nothing(String),
}

impl Workers {
    /// So many come at a time, one work after another.
    pub fn start(clients: &Clients, count: u64, seed: u64) -> Workers {
        let workers =
            Workers { ended: Arc::default(), stop: Arc::default(), running: Arc::new(AtomicU64::new(count)) };
        for number in 0..count {
            let (nodes, front) = (clients.nodes().to_vec(), clients.front());
            let (ended, stop, running) =
                (workers.ended.clone(), workers.stop.clone(), workers.running.clone());
            let mut chance = WyRand::new_seed(seed + number);
            spawn(move || {
                let mut work = 0;
                while !stop.load(Ordering::Relaxed) {
                    work += 1;
                    let key = (number + 1) << 32 | seed << 20 | work;
                    one(&nodes, &front, &ended, &mut chance, key);
                    std::thread::sleep(Duration::from_millis(chance.generate_range(10..150)));
                }
                running.fetch_sub(1, Ordering::Relaxed);
            });
        }
        workers
    }

    /// Ends them all and says how works ended.
    pub fn end(&self) -> Ended {
        self.stop.store(true, Ordering::Relaxed);
        let until = Instant::now() + Duration::from_secs(12);
        while self.running.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.ended.lock().map(|ended| ended.clone()).unwrap_or_default()
    }
}

fn one(
    nodes: &[SocketAddr],
    front: &crate::clients::FrontView,
    ended: &Mutex<Ended>,
    chance: &mut WyRand,
    key: u64,
) {
    let pays = chance.generate_range(0..2u32) == 0;
    let (mut broke, mut last) = (None, None);
    let began = Instant::now();
    for time in 0..TIMES {
        if time > 0 && began.elapsed() > LATEST {
            break;
        }
        let Some(at) = front.pick(chance) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let id = chance.generate::<u64>() | 1;
        // A node that was stopped reads the line later, and counts the call's time from then.
        let was_harmed = front.is_harmed(at);
        let came = come(nodes[at], id, key, pays, time > 0);
        // What a process that was harmed had in hand goes with it.
        if let (Came::Nothing(why), false) = (&came, was_harmed || front.is_harmed(at))
            && let Ok(mut ended) = ended.lock()
        {
            ended.lost.push(format!("work {key:x} at node {at}: {why}"));
        }
        let over = match &came {
            Came::Up(took) => {
                if let Ok(mut ended) = ended.lock() {
                    ended.up += 1;
                    if time == 0 {
                        ended.first_ms[usize::from(pays)].push(took.as_millis() as u64);
                    }
                    if let Some(broke) = broke {
                        ended.up_again += 1;
                        ended.again_ms.push(Instant::elapsed(&broke).as_millis() as u64);
                        ended.settled_ms.push(Instant::elapsed(&broke).as_millis() as u64);
                    }
                }
                return;
            }
            // What is once-only is not tried again after this.
            Came::Released => pays,
            Came::Busy => false,
            Came::Nothing(_) => {
                broke.get_or_insert_with(Instant::now);
                false
            }
        };
        last = Some(came);
        if over {
            break;
        }
        std::thread::sleep(Duration::from_millis(chance.generate_range(5..300)));
    }
    if let Ok(mut ended) = ended.lock() {
        if let (Some(broke), Some(Came::Released | Came::Busy)) = (broke, &last) {
            ended.settled_ms.push(Instant::elapsed(&broke).as_millis() as u64);
        }
        match last {
            Some(Came::Released) => ended.released += 1,
            Some(Came::Busy) => ended.busy += 1,
            Some(Came::Nothing(_)) => ended.unanswered += 1,
            _ => {}
        }
    }
}

/// As lines name a work's traffic class: what must not be done twice, and what hosts of a cell recall.
pub fn kind_of(pays: bool) -> &'static str {
    if pays { "pay" } else { "edit" }
}

pub(crate) fn opening(id: u64, key: u64, pays: bool, repeat: bool) -> String {
    let mark = if repeat { ",r=1" } else { "" };
    format!("OPEN {id:016x} {key:x} c={},t=one,d={}{mark}\r\n", kind_of(pays), GUARD.as_millis())
}

pub(crate) fn come(address: SocketAddr, id: u64, key: u64, pays: bool, repeat: bool) -> Came {
    let Ok(stream) = TcpStream::connect_timeout(&address, GUARD) else { return Came::Busy };
    let nothing = |fault: std::io::Error| Came::Nothing(fault.to_string());
    if let Err(fault) = stream.set_read_timeout(Some(GUARD + SLACK)).and_then(|()| stream.set_nodelay(true)) {
        return nothing(fault);
    }
    let line = opening(id, key, pays, repeat);
    let (began, mut reader) = (Instant::now(), BufReader::new(stream));
    if let Err(fault) = reader.get_mut().write_all(line.as_bytes()) {
        return nothing(fault);
    }
    let mut heard = String::new();
    match reader.read_line(&mut heard) {
        Ok(0) => return Came::Nothing("closed without an answer".into()),
        Ok(_) => {}
        Err(fault) => return nothing(fault),
    }
    match heard.split_whitespace().next() {
        Some("UP") => Came::Up(began.elapsed()),
        Some("BUSY") => Came::Busy,
        _ => Came::Released,
    }
}
