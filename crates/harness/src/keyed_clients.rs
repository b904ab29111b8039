//! Clients whose calls must not run twice. Each call has a key of its own and is sent again with it, marked as a repeat, to
//! whichever node the frontend picks, until it has an answer.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::clients::Clients;
use crate::frontend::FrontendView;
use crate::{CALL_DEADLINE, LATE_ANSWER_TOLERANCE, spawn};

/// A call is sent so often at most, and never later than its record is kept.
const MAX_SENDS: u32 = 4;
const LAST_SEND: Duration = Duration::from_millis(3_500);

/// How long [`KeyedClients::end`] waits for calls that are still out.
const PATIENCE: Duration = Duration::from_secs(12);

/// How calls ended, as their clients saw it.
#[derive(Clone, Debug, Default)]
pub struct KeyedClientStats {
    /// Calls that were served.
    pub up: u64,
    /// Calls that failed: they may have run.
    pub failed: u64,
    /// Calls rejected at their last send: nothing ran.
    pub busy: u64,
    /// Calls without an answer at their last send.
    pub unanswered: u64,
    /// Calls that were served after their first node had been lost.
    pub up_again: u64,
    /// Of those, milliseconds from the first loss to the answer.
    pub again_ms: Vec<u64>,
    /// Milliseconds from the first loss to the last answer, of all calls whose node was lost and that were answered at all.
    pub settled_ms: Vec<u64>,
    /// Milliseconds that a first send took to be served: keyed calls, and non-idempotent ones.
    pub first_ms: [Vec<u64>; 2],
    /// Calls that a node which nobody had disrupted did not answer in time, or broke off.
    pub lost: Vec<String>,
}

/// Clients that send one keyed call after another.
pub struct KeyedClients {
    /// What they have seen so far.
    pub stats: Arc<Mutex<KeyedClientStats>>,
    stop: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
}

/// The answer to one send of a call.
pub(crate) enum CallResult {
    /// It is open, after this long.
    Up(Duration),
    Busy,
    Failed,
    /// Why there was none.
    NoAnswer(String),
}

impl KeyedClients {
    /// Starts `count` clients at the nodes that `clients` are at.
    pub fn start(clients: &Clients, count: u64, seed: u64) -> KeyedClients {
        let keyed_clients = KeyedClients {
            stats: Arc::default(),
            stop: Arc::default(),
            running: Arc::new(AtomicU64::new(count)),
        };
        for number in 0..count {
            let mut client = Client {
                nodes: clients.nodes().to_vec(),
                frontend: clients.frontend(),
                stats: keyed_clients.stats.clone(),
                rng: WyRand::new_seed(seed + number),
            };
            let stop = keyed_clients.stop.clone();
            let running = keyed_clients.running.clone();
            spawn(move || {
                let mut call = 0;
                while !stop.load(Ordering::Relaxed) {
                    call += 1;
                    client.run_call((number + 1) << 32 | seed << 20 | call);
                    std::thread::sleep(Duration::from_millis(client.rng.generate_range(10..150)));
                }
                running.fetch_sub(1, Ordering::Relaxed);
            });
        }
        keyed_clients
    }

    /// Stops all clients and returns how their calls ended.
    pub fn end(&self) -> KeyedClientStats {
        self.stop.store(true, Ordering::Relaxed);
        let until = Instant::now() + PATIENCE;
        while self.running.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.stats.lock().map(|stats| stats.clone()).unwrap_or_default()
    }
}

struct Client {
    nodes: Vec<SocketAddr>,
    frontend: FrontendView,
    stats: Arc<Mutex<KeyedClientStats>>,
    rng: WyRand,
}

impl Client {
    fn record(&self, change: impl FnOnce(&mut KeyedClientStats)) {
        if let Ok(mut stats) = self.stats.lock() {
            change(&mut stats);
        }
    }

    /// Sends one call until it is answered for good.
    fn run_call(&mut self, key: u64) {
        let is_non_idempotent = self.rng.generate_range(0..2u32) == 0;
        let mut first_loss: Option<Instant> = None;
        let mut last = None;
        let began = Instant::now();
        for send in 0..MAX_SENDS {
            if send > 0 && began.elapsed() > LAST_SEND {
                break;
            }
            let Some(node) = self.frontend.pick(&mut self.rng) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let result = self.send(node, key, is_non_idempotent, send > 0);
            let is_over = match &result {
                CallResult::Up(took) => {
                    return self.record_served(*took, send == 0, is_non_idempotent, first_loss);
                }
                // A non-idempotent call that may have run is not sent again.
                CallResult::Failed => is_non_idempotent,
                CallResult::Busy => false,
                CallResult::NoAnswer(_) => {
                    first_loss.get_or_insert_with(Instant::now);
                    false
                }
            };
            last = Some(result);
            if is_over {
                break;
            }
            std::thread::sleep(Duration::from_millis(self.rng.generate_range(5..300)));
        }
        self.record_unserved(last, first_loss);
    }

    fn send(&mut self, node: usize, key: u64, is_non_idempotent: bool, is_repeat: bool) -> CallResult {
        let id = self.rng.generate::<u64>() | 1;
        // A node that was stopped reads the line later, and counts the call's time from then.
        let was_disrupted = self.frontend.is_disrupted(node);
        let result = send_call(self.nodes[node], id, key, is_non_idempotent, is_repeat);
        // What a process that was disrupted had in flight goes with it.
        let is_disrupted = was_disrupted || self.frontend.is_disrupted(node);
        if let (CallResult::NoAnswer(why), false) = (&result, is_disrupted) {
            self.record(|stats| stats.lost.push(format!("call {key:x} at node {node}: {why}")));
        }
        result
    }

    fn record_served(
        &self,
        took: Duration,
        is_first_send: bool,
        is_non_idempotent: bool,
        first_loss: Option<Instant>,
    ) {
        self.record(|stats| {
            stats.up += 1;
            if is_first_send {
                stats.first_ms[usize::from(is_non_idempotent)].push(took.as_millis() as u64);
            }
            if let Some(lost_at) = first_loss {
                stats.up_again += 1;
                stats.again_ms.push(lost_at.elapsed().as_millis() as u64);
                stats.settled_ms.push(lost_at.elapsed().as_millis() as u64);
            }
        });
    }

    fn record_unserved(&self, last: Option<CallResult>, first_loss: Option<Instant>) {
        self.record(|stats| {
            if let (Some(lost_at), Some(CallResult::Failed | CallResult::Busy)) = (first_loss, &last) {
                stats.settled_ms.push(lost_at.elapsed().as_millis() as u64);
            }
            match last {
                Some(CallResult::Failed) => stats.failed += 1,
                Some(CallResult::Busy) => stats.busy += 1,
                Some(CallResult::NoAnswer(_)) => stats.unanswered += 1,
                Some(CallResult::Up(_)) | None => {}
            }
        });
    }
}

/// The class of a call as lines name it: one that must not run twice, or one whose key hosts of a cell recognise.
pub fn class_of(is_non_idempotent: bool) -> &'static str {
    if is_non_idempotent { "pay" } else { "edit" }
}

/// The first line of a call.
pub(crate) fn open_line(id: u64, key: u64, is_non_idempotent: bool, is_repeat: bool) -> String {
    let class = class_of(is_non_idempotent);
    let deadline_ms = CALL_DEADLINE.as_millis();
    let repeat = if is_repeat { ",r=1" } else { "" };
    format!("OPEN {id:016x} {key:x} c={class},t=one,d={deadline_ms}{repeat}\r\n")
}

/// Sends a call to a node and waits for its answer.
pub(crate) fn send_call(
    address: SocketAddr,
    id: u64,
    key: u64,
    is_non_idempotent: bool,
    is_repeat: bool,
) -> CallResult {
    // A connection that does not come up was never accepted.
    let Ok(stream) = TcpStream::connect_timeout(&address, CALL_DEADLINE) else { return CallResult::Busy };
    let line = open_line(id, key, is_non_idempotent, is_repeat);
    let began = Instant::now();
    match exchange(stream, &line) {
        Ok(answer) if answer.is_empty() => CallResult::NoAnswer("closed without an answer".into()),
        Ok(answer) => match answer.split_whitespace().next() {
            Some("UP") => CallResult::Up(began.elapsed()),
            Some("BUSY") => CallResult::Busy,
            _ => CallResult::Failed,
        },
        Err(error) => CallResult::NoAnswer(error.to_string()),
    }
}

fn exchange(stream: TcpStream, line: &str) -> std::io::Result<String> {
    stream.set_read_timeout(Some(CALL_DEADLINE + LATE_ANSWER_TOLERANCE))?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    reader.get_mut().write_all(line.as_bytes())?;
    let mut answer = String::new();
    reader.read_line(&mut answer)?;
    Ok(answer)
}
