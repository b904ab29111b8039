//! A proxy on every link between nodes, with faults for each direction.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nanorand::{Rng, WyRand};
use rustix::net::sockopt::set_socket_linger;

use crate::{loopback, spawn};

/// What becomes of bytes in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Way {
    Open,
    /// They vanish, and nobody is told.
    Cut,
    /// They wait, with the connection up.
    Stalled,
    /// Each piece takes 0.2 s more.
    Slow,
    /// A few bytes at a time.
    Trickle,
    /// One bit of every so-manieth piece turns over.
    Garbled,
}

/// Of so many pieces one has a bit turned over: a voter's link carries some five a second.
const GARBLES: u64 = 20;

impl Way {
    fn of(number: u8) -> Way {
        [Way::Open, Way::Cut, Way::Stalled, Way::Slow, Way::Trickle, Way::Garbled][usize::from(number).min(5)]
    }
}

/// One direction between two nodes, whoever of them dialled.
struct Lane {
    way: AtomicU8,
    /// Rises when connections over it are to be reset.
    resets: AtomicU32,
}

type Lanes = Arc<Mutex<BTreeMap<(usize, usize), Arc<Lane>>>>;

#[derive(Clone, Default)]
pub struct Links {
    lanes: Lanes,
    dials: Arc<AtomicU64>,
}

impl Links {
    fn lane(&self, from: usize, to: usize) -> Arc<Lane> {
        let fresh = || Arc::new(Lane { way: AtomicU8::new(0), resets: AtomicU32::new(0) });
        match self.lanes.lock() {
            Ok(mut lanes) => lanes.entry((from, to)).or_insert_with(fresh).clone(),
            Err(_) => fresh(),
        }
    }

    /// Where node `from` is to dial node `to`, whose own address this is.
    ///
    /// # Errors
    /// No socket is granted.
    pub fn between(&self, from: usize, to: usize, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = loopback()?;
        let at = listener.local_addr()?;
        let (there, back, dials) = (self.lane(from, to), self.lane(to, from), self.dials.clone());
        spawn(move || {
            for near in listener.incoming().flatten() {
                dials.fetch_add(1, Ordering::Relaxed);
                // One that is refused is reset, as it would have been without us.
                let Ok(far) = TcpStream::connect(address) else {
                    let _ = set_socket_linger(&near, Some(Duration::ZERO));
                    continue;
                };
                for (from, to, lane) in [(&near, &far, &there), (&far, &near, &back)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let lane = lane.clone();
                        spawn(move || pump(from, to, &lane));
                    }
                }
            }
        });
        Ok(at)
    }

    /// Connections that nodes have opened to each other so far.
    pub fn dials(&self) -> u64 {
        self.dials.load(Ordering::Relaxed)
    }

    pub fn set(&self, from: usize, to: usize, way: Way) {
        let lane = self.lane(from, to);
        let before = Way::of(lane.way.swap(way as u8, Ordering::Relaxed));
        // What has vanished leaves half a frame behind: such a connection is of no use any more.
        if before == Way::Cut && way != Way::Cut {
            lane.resets.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn reset(&self, from: usize, to: usize) {
        self.lane(from, to).resets.fetch_add(1, Ordering::Relaxed);
    }

    /// All is as it was.
    pub fn heal(&self) {
        let all: Vec<(usize, usize)> =
            self.lanes.lock().map(|lanes| lanes.keys().copied().collect()).unwrap_or_default();
        for (from, to) in all {
            self.set(from, to, Way::Open);
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, lane: &Lane) {
    let resets = lane.resets.load(Ordering::Relaxed);
    let _ = (from.set_read_timeout(Some(Duration::from_millis(20))), to.set_nodelay(true));
    let mut buffer = [0; 16 << 10];
    let mut chance = WyRand::new_seed(from.peer_addr().map_or(1, |of| u64::from(of.port())));
    loop {
        if lane.resets.load(Ordering::Relaxed) != resets {
            for stream in [&from, &to] {
                let _ = set_socket_linger(stream, Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
            return;
        }
        let way = Way::of(lane.way.load(Ordering::Relaxed));
        if way == Way::Stalled {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        }
        let most = if way == Way::Trickle { 16 } else { buffer.len() };
        match from.read(&mut buffer[..most]) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => {
                // Danger: it may have waited here since before the fault.
                let mut way = Way::of(lane.way.load(Ordering::Relaxed));
                while way == Way::Stalled && lane.resets.load(Ordering::Relaxed) == resets {
                    std::thread::sleep(Duration::from_millis(10));
                    way = Way::of(lane.way.load(Ordering::Relaxed));
                }
                match way {
                    Way::Cut => continue,
                    Way::Slow => std::thread::sleep(Duration::from_millis(200)),
                    Way::Trickle => std::thread::sleep(Duration::from_millis(2)),
                    Way::Garbled if chance.generate_range(0..GARBLES) == 0 => {
                        buffer[chance.generate_range(0..n)] ^= 1 << chance.generate_range(0..8_u32);
                    }
                    Way::Open | Way::Stalled | Way::Garbled => {}
                }
                if to.write_all(&buffer[..n]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
