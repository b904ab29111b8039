//! Clients with long connections: each belongs to a group, asks for a load that its host reports, and connects anew when its
//! connection breaks. What hosts saw of groups is counted too.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::clients::Clients;
use crate::frontend::FrontendView;
use crate::{CALL_DEADLINE, LATE_ANSWER_TOLERANCE, spawn};

/// A host still has a group's state so long after its last connection of it.
const GROUP_RETENTION: Duration = Duration::from_secs(10);

/// A client says something to its host so often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);

/// What clients ask for, in millionths of work a second; one in ten is heavy.
const USUAL_LOAD: u64 = 10_000;
const HEAVY_LOAD: u64 = 60_000;

/// Connections of one group at one host.
#[derive(Debug)]
struct GroupAtHost {
    open: u32,
    changed_at: Instant,
}

/// What hosts saw of client groups.
#[derive(Debug, Default)]
pub struct GroupObservations {
    by_host: BTreeMap<(String, u64), GroupAtHost>,
    /// Keys of clients whose connection broke, until they are open again.
    broken_clients: BTreeSet<u64>,
    /// Clients that connected anew after a break.
    pub reconnected: u64,
    /// Those of them that reached a host which had some of their group.
    pub reconnected_to_group: u64,
}

/// Group observations, shared by all hosts and clients of a cluster.
pub(crate) type SharedGroupObservations = Arc<Mutex<GroupObservations>>;

impl GroupObservations {
    /// Pairs of host and group with at least one connection: each host pays for each of its groups.
    pub fn pairs(&self) -> usize {
        self.by_host.values().filter(|group| group.open > 0).count()
    }

    pub(crate) fn opened(&mut self, host: &str, group: u64, key: &str) {
        let is_reconnect = u64::from_str_radix(key, 16).is_ok_and(|key| self.broken_clients.remove(&key));
        let at_host = (host.to_owned(), group);
        let has_group = self
            .by_host
            .get(&at_host)
            .is_some_and(|known| known.open > 0 || known.changed_at.elapsed() < GROUP_RETENTION);
        self.reconnected += u64::from(is_reconnect);
        self.reconnected_to_group += u64::from(is_reconnect && has_group);
        let fresh = GroupAtHost { open: 0, changed_at: Instant::now() };
        self.by_host.entry(at_host).or_insert(fresh).open += 1;
    }

    pub(crate) fn closed(&mut self, host: &str, group: u64) {
        if let Some(known) = self.by_host.get_mut(&(host.to_owned(), group)) {
            known.open = known.open.saturating_sub(1);
            known.changed_at = Instant::now();
        }
    }
}

/// The group that the fields of an `OPEN` line name.
pub(crate) fn group_of(fields: &str) -> Option<u64> {
    let value = fields.split(',').find_map(|field| field.strip_prefix("g="))?;
    u64::from_str_radix(value.trim_end(), 16).ok()
}

/// Millionths of work a second that the client of this key asks for.
pub(crate) fn load_of(key: &str) -> u64 {
    let number = u64::from_str_radix(key, 16).unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    if number.is_multiple_of(10) { HEAVY_LOAD } else { USUAL_LOAD }
}

/// What grouped clients saw.
#[derive(Debug, Default)]
pub struct GroupedClientStats {
    /// Milliseconds from a break to being open again, one entry for each break.
    pub back_ms: Vec<u64>,
    /// Connections that broke.
    pub broke: u64,
    /// Attempts that were rejected or failed.
    pub rejected: u64,
    /// Connections that were told to move.
    pub moved: u64,
}

/// A number of grouped clients at the nodes of a cluster.
pub struct GroupedClients {
    /// What they have seen so far.
    pub stats: Arc<Mutex<GroupedClientStats>>,
    /// How many there are.
    pub count: u64,
    stop: Arc<AtomicBool>,
    /// Open connections, by node.
    open: Arc<[AtomicU64]>,
}

impl GroupedClients {
    /// Starts `count` clients, dealt out over `groups` groups.
    pub fn start(
        clients: &Clients,
        observations: &SharedGroupObservations,
        count: u64,
        groups: u64,
        seed: u64,
    ) -> GroupedClients {
        let open: Arc<[AtomicU64]> = clients.nodes().iter().map(|_| AtomicU64::new(0)).collect();
        let grouped_clients =
            GroupedClients { stats: Arc::default(), count, stop: Arc::default(), open: open.clone() };
        for number in 0..count {
            let mut rng = WyRand::new_seed(seed << 32 | number);
            let client = GroupedClient {
                nodes: clients.nodes().to_vec(),
                frontend: clients.frontend(),
                observations: observations.clone(),
                stats: grouped_clients.stats.clone(),
                stop: grouped_clients.stop.clone(),
                open: open.clone(),
                key: (seed << 32) | (number + 1),
                group: rng.generate_range(1..=groups),
            };
            spawn(move || client.run(&mut rng));
        }
        grouped_clients
    }

    /// Open connections at all nodes.
    pub fn open(&self) -> u64 {
        (0..self.open.len()).map(|node| self.open_at(node)).sum()
    }

    /// Open connections at one node.
    pub fn open_at(&self, node: usize) -> u64 {
        self.open[node].load(Ordering::Relaxed)
    }

    /// Tells all clients to stop.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

struct GroupedClient {
    nodes: Vec<SocketAddr>,
    frontend: FrontendView,
    observations: SharedGroupObservations,
    stats: Arc<Mutex<GroupedClientStats>>,
    stop: Arc<AtomicBool>,
    open: Arc<[AtomicU64]>,
    key: u64,
    group: u64,
}

impl GroupedClient {
    fn run(&self, rng: &mut WyRand) {
        let mut broke_at: Option<Instant> = None;
        while !self.stop.load(Ordering::Relaxed) {
            if let Some(node) = self.frontend.pick(rng) {
                let id = rng.generate::<u64>() | 1;
                if self.connect(node, id, &mut broke_at).is_err() {
                    broke_at = broke_at.or(Some(Instant::now()));
                }
            }
            std::thread::sleep(Duration::from_millis(rng.generate_range(60..600)));
        }
    }

    fn record(&self, change: impl FnOnce(&mut GroupedClientStats)) {
        if let Ok(mut stats) = self.stats.lock() {
            change(&mut stats);
        }
    }

    fn connect(&self, node: usize, id: u64, broke_at: &mut Option<Instant>) -> std::io::Result<()> {
        let stream = TcpStream::connect_timeout(&self.nodes[node], CALL_DEADLINE)?;
        stream.set_read_timeout(Some(CALL_DEADLINE + LATE_ANSWER_TOLERANCE))?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        reader.get_mut().write_all(self.open_line(id, broke_at.is_some()).as_bytes())?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("UP") {
            self.record(|stats| stats.rejected += 1);
            return Ok(());
        }
        if let Some(since) = broke_at.take() {
            self.record(|stats| stats.back_ms.push(since.elapsed().as_millis() as u64));
        }
        self.open[node].fetch_add(1, Ordering::Relaxed);
        let result = self.stay(&mut reader);
        self.open[node].fetch_sub(1, Ordering::Relaxed);
        match &result {
            // It connects anew at once, as told.
            Ok(()) if !self.stop.load(Ordering::Relaxed) => self.record(|stats| stats.moved += 1),
            Ok(()) => {}
            Err(_) => self.record_break(),
        }
        *broke_at = Some(Instant::now());
        result
    }

    fn record_break(&self) {
        self.record(|stats| stats.broke += 1);
        if let Ok(mut observations) = self.observations.lock() {
            observations.broken_clients.insert(self.key);
        }
    }

    fn open_line(&self, id: u64, is_returning: bool) -> String {
        let returning = if is_returning { ",again=1" } else { "" };
        let deadline_ms = CALL_DEADLINE.as_millis();
        let GroupedClient { key, group, .. } = self;
        format!("OPEN {id:016x} {key:x} c=chat,t=one,d={deadline_ms},g={group:x}{returning}\r\n")
    }

    /// Keeps the connection until it is told to move; an error if it breaks.
    fn stay(&self, reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        while !self.stop.load(Ordering::Relaxed) {
            reader.get_mut().write_all(b"still here\r\n")?;
            if self.read_echo(reader)? == Echo::Moved {
                return Ok(());
            }
            std::thread::sleep(KEEPALIVE_INTERVAL);
        }
        Ok(())
    }

    fn read_echo(&self, reader: &mut BufReader<TcpStream>) -> std::io::Result<Echo> {
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::Error::other("cut off"));
            }
            match line.split_whitespace().next() {
                Some("MOVE") => return Ok(Echo::Moved),
                Some("LOAD") => {}
                _ => return Ok(Echo::Answered),
            }
        }
    }
}

#[derive(PartialEq, Eq)]
enum Echo {
    Answered,
    Moved,
}
