//! Clients that stay: each is of a group, asks for a load that its host tells, and comes again when its connection
//! breaks. What is counted is what hosts saw.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::clients::{Clients, FrontView};
use crate::spawn;

const GUARD: Duration = Duration::from_millis(1_500);

/// A host is still a group's home so long after its last connection of it.
const HOME: Duration = Duration::from_secs(10);

/// What hosts saw of groups.
#[derive(Debug, Default)]
pub struct Groups {
    /// Connections of each group at each host, and since when there are none.
    at: BTreeMap<(String, u64), (u32, Instant)>,
    /// Clients whose connection broke, until they are up again.
    broke: BTreeSet<u64>,
    /// Those that came again, and those of them that found a host which had some of their group.
    pub again: u64,
    pub home: u64,
}

impl Groups {
    /// Hosts that have some of a group, over all groups: each pays for each.
    pub fn pairs(&self) -> usize {
        self.at.values().filter(|(open, _)| *open > 0).count()
    }

    pub(crate) fn opened(&mut self, host: &str, group: u64, key: &str) {
        let again = u64::from_str_radix(key, 16).is_ok_and(|key| self.broke.remove(&key));
        let now = Instant::now();
        let known = self.at.get(&(host.to_owned(), group));
        let home = known.is_some_and(|(open, since)| *open > 0 || since.elapsed() < HOME);
        self.again += u64::from(again);
        self.home += u64::from(again && home);
        self.at.entry((host.to_owned(), group)).or_insert((0, now)).0 += 1;
    }

    pub(crate) fn closed(&mut self, host: &str, group: u64) {
        if let Some(of) = self.at.get_mut(&(host.to_owned(), group)) {
            *of = (of.0.saturating_sub(1), Instant::now());
        }
    }
}

pub type Homes = Arc<Mutex<Groups>>;

/// What the line of a client says of its group.
pub(crate) fn group_of(list: &str) -> Option<u64> {
    let value = list.split(',').find_map(|field| field.strip_prefix("g="))?;
    u64::from_str_radix(value.trim_end(), 16).ok()
}

/// Millionths of work a second that a client's connection asks for: one in ten asks for six times as much.
pub(crate) fn load_of(key: &str) -> u64 {
    let number = u64::from_str_radix(key, 16).unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    if number.is_multiple_of(10) { 60_000 } else { 10_000 }
}

/// As their clients saw it.
#[derive(Debug, Default)]
pub struct Standing {
    /// Milliseconds from a break to being up again, one for each break.
    pub back_ms: Vec<u64>,
    pub broke: u64,
    pub turned_away: u64,
    pub moved: u64,
}

pub struct Agencies {
    pub seen: Arc<Mutex<Standing>>,
    stop: Arc<AtomicBool>,
    /// Connections that stand, node by node.
    up: Arc<[AtomicU64]>,
    pub count: u64,
}

impl Agencies {
    /// So many clients, dealt out over so many groups.
    pub fn start(clients: &Clients, homes: &Homes, count: u64, groups: u64, seed: u64) -> Agencies {
        let up = clients.nodes().iter().map(|_| AtomicU64::new(0)).collect();
        let agencies = Agencies { seen: Arc::default(), stop: Arc::default(), up, count };
        for number in 0..count {
            let (nodes, front, homes) = (clients.nodes().to_vec(), clients.front(), homes.clone());
            let (seen, stop, up) = (agencies.seen.clone(), agencies.stop.clone(), agencies.up.clone());
            let mut chance = WyRand::new_seed(seed << 32 | number);
            let (key, group) = ((seed << 32) | (number + 1), chance.generate_range(1..=groups));
            spawn(move || {
                let client = One { nodes, front, homes, seen, stop, up, key, group };
                client.live(&mut chance);
            });
        }
        agencies
    }

    /// Connections that stand.
    pub fn up(&self) -> u64 {
        (0..self.up.len()).map(|at| self.up_at(at)).sum()
    }

    /// Those of them at one node.
    pub fn up_at(&self, at: usize) -> u64 {
        self.up[at].load(Ordering::Relaxed)
    }

    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

struct One {
    nodes: Vec<SocketAddr>,
    front: FrontView,
    homes: Homes,
    seen: Arc<Mutex<Standing>>,
    stop: Arc<AtomicBool>,
    up: Arc<[AtomicU64]>,
    key: u64,
    group: u64,
}

impl One {
    fn live(&self, chance: &mut WyRand) {
        let mut broke: Option<Instant> = None;
        while !self.stop.load(Ordering::Relaxed) {
            if let Some(at) = self.front.pick(chance) {
                let id = chance.generate::<u64>() | 1;
                if self.come(at, id, &mut broke).is_err() {
                    broke = broke.or(Some(Instant::now()));
                }
            }
            std::thread::sleep(Duration::from_millis(chance.generate_range(60..600)));
        }
    }

    fn come(&self, at: usize, id: u64, broke: &mut Option<Instant>) -> std::io::Result<()> {
        let stream = TcpStream::connect_timeout(&self.nodes[at], GUARD)?;
        stream.set_read_timeout(Some(GUARD + Duration::from_millis(500)))?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let again = if broke.is_some() { ",again=1" } else { "" };
        let (key, group, guard) = (self.key, self.group, GUARD.as_millis());
        let open = format!("OPEN {id:016x} {key:x} c=chat,t=one,d={guard},g={group:x}{again}\r\n");
        reader.get_mut().write_all(open.as_bytes())?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("UP") {
            if let Ok(mut seen) = self.seen.lock() {
                seen.turned_away += 1;
            }
            return Ok(());
        }
        if let (Some(since), Ok(mut seen)) = (broke.take(), self.seen.lock()) {
            seen.back_ms.push(since.elapsed().as_millis() as u64);
        }
        self.up[at].fetch_add(1, Ordering::Relaxed);
        let stays = self.stay(&mut reader);
        self.up[at].fetch_sub(1, Ordering::Relaxed);
        if let Ok(mut seen) = self.seen.lock() {
            match &stays {
                // It comes again at once, as told.
                Ok(()) if !self.stop.load(Ordering::Relaxed) => seen.moved += 1,
                Ok(()) => {}
                Err(_) => seen.broke += 1,
            }
        }
        if let (Err(_), Ok(mut homes)) = (&stays, self.homes.lock()) {
            homes.broke.insert(self.key);
        }
        *broke = Some(Instant::now());
        stays
    }

    /// Until it is told to move; an error if it breaks.
    fn stay(&self, reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let mut line = String::new();
        while !self.stop.load(Ordering::Relaxed) {
            reader.get_mut().write_all(b"still here\r\n")?;
            loop {
                line.clear();
                if reader.read_line(&mut line)? == 0 {
                    return Err(std::io::Error::other("cut off"));
                }
                match line.split_whitespace().next() {
                    Some("MOVE") => return Ok(()),
                    Some("LOAD") => {}
                    _ => break,
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }
}
