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

/// What happens to bytes in one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LinkFault {
    /// Nothing: they are passed on.
    None,
    /// They vanish, with the connection up.
    Cut,
    /// They wait, with the connection up.
    Stalled,
    /// Each piece takes 0.2 s more.
    Slow,
    /// They are passed on a few at a time.
    Trickle,
    /// One bit of every so-manieth piece is flipped.
    Garbled,
}

/// Of so many pieces one has a bit flipped: a voter's link carries some five a second.
const PIECES_PER_GARBLE: u64 = 20;

/// How much is passed on at a time, in bytes, on a healthy link and on one that trickles.
const PIECE: usize = 16 << 10;
const TRICKLE_PIECE: usize = 16;

impl LinkFault {
    fn from_code(code: u8) -> LinkFault {
        let all = [
            LinkFault::None,
            LinkFault::Cut,
            LinkFault::Stalled,
            LinkFault::Slow,
            LinkFault::Trickle,
            LinkFault::Garbled,
        ];
        all[usize::from(code).min(all.len() - 1)]
    }
}

/// One direction between two nodes, whoever of them dialled.
struct LinkDirection {
    fault_code: AtomicU8,
    /// Rises when connections over it are to be reset.
    resets: AtomicU32,
}

impl LinkDirection {
    fn healthy() -> LinkDirection {
        LinkDirection { fault_code: AtomicU8::new(LinkFault::None as u8), resets: AtomicU32::new(0) }
    }

    fn fault(&self) -> LinkFault {
        LinkFault::from_code(self.fault_code.load(Ordering::Relaxed))
    }
}

type LinkDirections = Arc<Mutex<BTreeMap<(usize, usize), Arc<LinkDirection>>>>;

/// The proxies of all links between nodes; clones share them.
#[derive(Clone, Default)]
pub struct Links {
    directions: LinkDirections,
    dials: Arc<AtomicU64>,
}

impl Links {
    fn direction(&self, from: usize, to: usize) -> Arc<LinkDirection> {
        match self.directions.lock() {
            Ok(mut directions) => {
                directions.entry((from, to)).or_insert_with(|| Arc::new(LinkDirection::healthy())).clone()
            }
            Err(_) => Arc::new(LinkDirection::healthy()),
        }
    }

    /// Starts the proxy at which node `from` dials node `to`, whose own address is given; returns the proxy's address.
    ///
    /// # Errors
    /// No socket is granted.
    pub fn between(&self, from: usize, to: usize, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = loopback()?;
        let proxy_address = listener.local_addr()?;
        let forward = self.direction(from, to);
        let backward = self.direction(to, from);
        let dials = self.dials.clone();
        spawn(move || {
            for near in listener.incoming().flatten() {
                dials.fetch_add(1, Ordering::Relaxed);
                // One that is refused is reset, as it would be without the proxy.
                let Ok(far) = TcpStream::connect(address) else {
                    let _ = set_socket_linger(&near, Some(Duration::ZERO));
                    continue;
                };
                for (from, to, direction) in [(&near, &far, &forward), (&far, &near, &backward)] {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let direction = direction.clone();
                        spawn(move || pump(from, to, &direction));
                    }
                }
            }
        });
        Ok(proxy_address)
    }

    /// Connections that nodes have opened to each other so far.
    pub fn dials(&self) -> u64 {
        self.dials.load(Ordering::Relaxed)
    }

    /// Injects a fault into one direction, or ends it with [`LinkFault::None`].
    pub fn set(&self, from: usize, to: usize, fault: LinkFault) {
        let direction = self.direction(from, to);
        let before = LinkFault::from_code(direction.fault_code.swap(fault as u8, Ordering::Relaxed));
        // Bytes that have vanished leave half a frame behind: such a connection is of no use any more.
        if before == LinkFault::Cut && fault != LinkFault::Cut {
            direction.resets.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Resets all connections that use this direction.
    pub fn reset(&self, from: usize, to: usize) {
        self.direction(from, to).resets.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        let all: Vec<(usize, usize)> =
            self.directions.lock().map(|directions| directions.keys().copied().collect()).unwrap_or_default();
        for (from, to) in all {
            self.set(from, to, LinkFault::None);
        }
    }
}

/// Passes bytes of one connection on, in one direction, as the direction's fault has it.
fn pump(mut from: TcpStream, mut to: TcpStream, direction: &LinkDirection) {
    let resets = direction.resets.load(Ordering::Relaxed);
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; PIECE];
    let mut rng = WyRand::new_seed(from.peer_addr().map_or(1, |address| u64::from(address.port())));
    loop {
        if direction.resets.load(Ordering::Relaxed) != resets {
            return reset_both(&from, &to);
        }
        let fault = direction.fault();
        if fault == LinkFault::Stalled {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        }
        let piece = if fault == LinkFault::Trickle { TRICKLE_PIECE } else { buffer.len() };
        match from.read(&mut buffer[..piece]) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(length) => {
                let fault = wait_while_stalled(direction, resets);
                if fault == LinkFault::Cut {
                    continue;
                }
                delay_or_garble(fault, &mut buffer[..length], &mut rng);
                if to.write_all(&buffer[..length]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn reset_both(from: &TcpStream, to: &TcpStream) {
    for stream in [from, to] {
        let _ = set_socket_linger(stream, Some(Duration::ZERO));
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// The fault for bytes that were just read: they may have waited in the socket since before it began.
fn wait_while_stalled(direction: &LinkDirection, resets: u32) -> LinkFault {
    let mut fault = direction.fault();
    while fault == LinkFault::Stalled && direction.resets.load(Ordering::Relaxed) == resets {
        std::thread::sleep(Duration::from_millis(10));
        fault = direction.fault();
    }
    fault
}

fn delay_or_garble(fault: LinkFault, bytes: &mut [u8], rng: &mut WyRand) {
    match fault {
        LinkFault::Slow => std::thread::sleep(Duration::from_millis(200)),
        LinkFault::Trickle => std::thread::sleep(Duration::from_millis(2)),
        LinkFault::Garbled if rng.generate_range(0..PIECES_PER_GARBLE) == 0 => {
            let at = rng.generate_range(0..bytes.len());
            bytes[at] ^= 1 << rng.generate_range(0..8_u32);
        }
        LinkFault::None | LinkFault::Cut | LinkFault::Stalled | LinkFault::Garbled => {}
    }
}
