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
pub enum LinkFault {
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

impl LinkFault {
    fn of(number: u8) -> LinkFault {
        [
            LinkFault::Open,
            LinkFault::Cut,
            LinkFault::Stalled,
            LinkFault::Slow,
            LinkFault::Trickle,
            LinkFault::Garbled,
        ][usize::from(number).min(5)]
    }
}

/// One direction between two nodes, whoever of them dialled.
struct LinkDirection {
    way: AtomicU8,
    /// Rises when connections over it are to be reset.
    resets: AtomicU32,
}

type LinkDirections = Arc<Mutex<BTreeMap<(usize, usize), Arc<LinkDirection>>>>;

#[derive(Clone, Default)]
pub struct Links {
    directions: LinkDirections,
    dials: Arc<AtomicU64>,
}

impl Links {
    fn direction(&self, from: usize, to: usize) -> Arc<LinkDirection> {
        let fresh = || Arc::new(LinkDirection { way: AtomicU8::new(0), resets: AtomicU32::new(0) });
        match self.directions.lock() {
            Ok(mut directions) => directions.entry((from, to)).or_insert_with(fresh).clone(),
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
        let (there, back, dials) = (self.direction(from, to), self.direction(to, from), self.dials.clone());
        spawn(move || {
            for near in listener.incoming().flatten() {
                dials.fetch_add(1, Ordering::Relaxed);
                // One that is refused is reset, as it would have been without us.
                let Ok(far) = TcpStream::connect(address) else {
                    let _ = set_socket_linger(&near, Some(Duration::ZERO));
                    continue;
                };
                for (from, to, direction) in [(&near, &far, &there), (&far, &near, &back)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let direction = direction.clone();
                        spawn(move || pump(from, to, &direction));
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

    pub fn set(&self, from: usize, to: usize, way: LinkFault) {
        let direction = self.direction(from, to);
        let before = LinkFault::of(direction.way.swap(way as u8, Ordering::Relaxed));
        // What has vanished leaves half a frame behind: such a connection is of no use any more.
        if before == LinkFault::Cut && way != LinkFault::Cut {
            direction.resets.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn reset(&self, from: usize, to: usize) {
        self.direction(from, to).resets.fetch_add(1, Ordering::Relaxed);
    }

    /// All is as it was.
    pub fn heal(&self) {
        let all: Vec<(usize, usize)> =
            self.directions.lock().map(|directions| directions.keys().copied().collect()).unwrap_or_default();
        for (from, to) in all {
            self.set(from, to, LinkFault::Open);
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, direction: &LinkDirection) {
    let resets = direction.resets.load(Ordering::Relaxed);
    let _ = (from.set_read_timeout(Some(Duration::from_millis(20))), to.set_nodelay(true));
    let mut buffer = [0; 16 << 10];
    let mut rng = WyRand::new_seed(from.peer_addr().map_or(1, |of| u64::from(of.port())));
    loop {
        if direction.resets.load(Ordering::Relaxed) != resets {
            for stream in [&from, &to] {
                let _ = set_socket_linger(stream, Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
            return;
        }
        let way = LinkFault::of(direction.way.load(Ordering::Relaxed));
        if way == LinkFault::Stalled {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        }
        let most = if way == LinkFault::Trickle { 16 } else { buffer.len() };
        match from.read(&mut buffer[..most]) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => {
                // Danger: it may have waited here since before the fault.
                let mut way = LinkFault::of(direction.way.load(Ordering::Relaxed));
                while way == LinkFault::Stalled && direction.resets.load(Ordering::Relaxed) == resets {
                    std::thread::sleep(Duration::from_millis(10));
                    way = LinkFault::of(direction.way.load(Ordering::Relaxed));
                }
                match way {
                    LinkFault::Cut => continue,
                    LinkFault::Slow => std::thread::sleep(Duration::from_millis(200)),
                    LinkFault::Trickle => std::thread::sleep(Duration::from_millis(2)),
                    LinkFault::Garbled if rng.generate_range(0..GARBLES) == 0 => {
                        buffer[rng.generate_range(0..n)] ^= 1 << rng.generate_range(0..8_u32);
                    }
                    LinkFault::Open | LinkFault::Stalled | LinkFault::Garbled => {}
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
