//! Links to other nodes of the fleet: frames over TCP, each node dialling the voters. A peer that is slow, silent or
//! says what cannot be read loses its link and gets another; nobody waits for it.

use std::collections::{BTreeMap, BTreeSet};
use std::os::fd::OwnedFd;

use glendeck::domain::{Span, Time};
use glendeck_fleet::message::{Envelope, Hello, VERSION};
use glendeck_fleet::policy::UnitName;
use glendeck_takeover::ReplicaMessage;
use glendeck_takeover::warm_state::WarmStateMessage;
use nanorand::Rng;
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use tracing::{debug, warn};

use crate::connection::{Connection, ReadOutcome};
use crate::reactor::PEERS;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};

/// One letter at most: a whole state of 300 units takes some 60 KiB, a log to be taken anew a few hundred.
const LONGEST_FRAME: usize = 8 << 20;

/// More than this waiting to go: the peer does not read, and what waits is old by now.
const MOST_UNSENT: usize = 2 << 20;

/// A link that brings nothing for so long is not one: voters answer each heartbeat, and one comes a second.
const SILENT: Span = Span::ms(3_500);

/// A link has this long to come up and say whom it leads to.
const COME_UP: Span = Span::ms(2_000);

/// A peer that cannot be reached is dialled again after this, doubling up to that, each time at a moment drawn within.
/// Danger: a fleet whose voter comes back would come back to it all at once.
const DIAL_AGAIN: Span = Span::ms(100);
const DIAL_LATEST: Span = Span::ms(1_600);

/// What goes over a link once both ends have said who they are.
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Frame {
    ConsensusMessage(Box<Envelope>),
    /// All of one turn's.
    Words(Vec<ReplicaMessage>),
    /// To those alone whose greeting says that they speak of estates.
    WarmState(WarmStateMessage),
}

/// Follows the greeting: 1, speaks of estates; 2, its frames carry sums. Danger: in a rolling release nodes of a version
/// before end a link that brings what they cannot read; these read no further than the greeting, and send nothing after it.
const SPEAKS: u32 = 2;
const SUMS: u32 = 2;

/// Danger: one bit turned over on the way would make another host, attempt or term of what is kept, and a work could be done
/// twice. TCP's own sum misses one in 65,536 of what is damaged, and middle boxes make it anew.
pub fn seal(bytes: &mut Vec<u8>) {
    let sum = crc32fast::hash(bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
}

/// What was sealed, if it is as it was.
pub fn unseal(bytes: &[u8]) -> Option<&[u8]> {
    let (inner, sum) = bytes.split_last_chunk::<4>()?;
    (crc32fast::hash(inner).to_le_bytes() == *sum).then_some(inner)
}

struct Link {
    /// Whom it leads to, once that has been said.
    peer: Option<UnitName>,
    /// Dialled from here, to this peer.
    dialled: Option<UnitName>,
    heard: Time,
    speaks: u32,
}

#[derive(Default)]
struct Dial {
    connection: Option<ConnectionId>,
    next: Time,
    wait: Span,
}

/// Frames sent to and received from peers, greetings among the received ones, and their bytes without lengths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames sent.
    pub frames_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

#[derive(Default)]
pub struct Peers {
    pub listener: Option<OwnedFd>,
    links: BTreeMap<ConnectionId, Link>,
    dials: BTreeMap<UnitName, Dial>,
    /// The link that a peer has dialled last.
    incoming: BTreeMap<UnitName, ConnectionId>,
    /// What has been sent and received.
    pub traffic: Traffic,
}

impl Peers {
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Who has a link to this node and speaks of estates.
    pub fn speakers(&self) -> BTreeSet<UnitName> {
        let speaks = self.links.values().filter(|link| link.speaks >= 1);
        speaks.filter_map(|link| link.peer.clone()).collect()
    }

    /// The one that it was heard on last. Danger: two voters dial each other at once, and if each spoke on its own link each
    /// would hear nothing on it, take it for silent, and dial again every few seconds.
    fn link_to(&self, peer: &UnitName) -> Option<ConnectionId> {
        let dialled = self.dials.get(peer).and_then(|dial| dial.connection);
        let incoming = self.incoming.get(peer).copied();
        let up = |connection: ConnectionId| {
            Some((self.links.get(&connection).filter(|link| link.peer.is_some())?.heard, connection))
        };
        dialled.and_then(up).max(incoming.and_then(up)).map(|(_, connection)| connection)
    }
}

fn write_greeting(hello: Hello) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&(hello, SPEAKS)).unwrap_or_default();
    seal(&mut bytes);
    bytes
}

/// The first version says nothing after it, the second no sum; neither reads further than it knows.
fn read_greeting(bytes: &[u8]) -> Option<(Hello, u32)> {
    let (hello, rest) = postcard::take_from_bytes::<Hello>(bytes).ok()?;
    let speaks = if rest.is_empty() { 0 } else { postcard::from_bytes(rest).ok()? };
    (speaks < SUMS || unseal(bytes).is_some()).then_some((hello, speaks))
}

fn frame(bytes: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(bytes);
}

/// The first whole frame, taken out; an error if it is longer than any of ours.
fn take_frame(inbox: &mut Vec<u8>) -> Result<Option<Vec<u8>>, ()> {
    let Some((length, _)) = inbox.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > LONGEST_FRAME {
        return Err(());
    }
    if inbox.len() < 4 + length {
        return Ok(None);
    }
    let frame = inbox[4..4 + length].to_vec();
    inbox.drain(..4 + length);
    Ok(Some(frame))
}

impl Service {
    pub fn accept_peers(&mut self) {
        for _ in 0..64 {
            let Some(membership) = &self.membership else { return };
            let Some(listener) = &membership.peers.listener else { return };
            match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    // Danger: whoever connects and says nothing must not hold all descriptors.
                    if membership.peers.links() >= membership.most_links() {
                        continue;
                    }
                    if let Some(id) = self.add_connection(Connection::new(fd, false), SocketRole::Peer) {
                        let link = Link { peer: None, dialled: None, heard: self.now, speaks: 0 };
                        self.links_mut(|links| drop(links.insert(id, link)));
                    }
                }
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                // Full tables show again with the next who comes; the ones that dial try again.
                Err(_) => return,
            }
        }
    }

    fn links_mut(&mut self, change: impl FnOnce(&mut BTreeMap<ConnectionId, Link>)) {
        if let Some(membership) = &mut self.membership {
            change(&mut membership.peers.links);
        }
    }

    fn hello(&self) -> Vec<u8> {
        let Some(membership) = &self.membership else { return vec![] };
        let hello = Hello {
            version: VERSION,
            group: membership.group.clone(),
            name: membership.name.clone(),
            incarnation: membership.incarnation,
        };
        write_greeting(hello)
    }

    /// Dials whom it has no link to, and ends links that have gone silent.
    pub fn tend_links(&mut self) {
        let (now, Some(membership)) = (self.now, &mut self.membership) else { return };
        let voters = membership.fleet.voters();
        let peers = &mut membership.peers;
        peers.dials.retain(|peer, dial| voters.contains(peer) || dial.connection.is_some());
        for voter in &voters {
            peers.dials.entry(voter.clone()).or_default();
        }
        let silent = |link: &Link| now.since(link.heard) > if link.peer.is_some() { SILENT } else { COME_UP };
        let old = peers.links.iter().filter(|(_, link)| silent(link)).map(|(id, _)| *id);
        let mut old: Vec<ConnectionId> = old.collect();
        old.sort_unstable();
        let due = |(peer, dial): &(&UnitName, &Dial)| {
            dial.connection.is_none() && dial.next <= now && peers.link_to(peer).is_none()
        };
        let due = peers.dials.iter().filter(due);
        let due: Vec<UnitName> = due.map(|(peer, _)| peer.clone()).collect();
        for id in old {
            self.peer_lost(id);
        }
        for peer in due {
            self.dial(&peer);
        }
    }

    fn dial(&mut self, peer: &UnitName) {
        let now = self.now;
        let address = self.config.fleet.as_ref().and_then(|fleet| fleet.peers.get(peer)).copied();
        let connection = address.and_then(|address| Connection::connect(address).ok());
        let id = connection.and_then(|connection| self.add_connection(connection, SocketRole::Peer));
        let Some(membership) = &mut self.membership else { return };
        let Some(dial) = membership.peers.dials.get_mut(peer) else { return };
        dial.wait = dial.wait.times(2.0).clamp(DIAL_AGAIN, DIAL_LATEST);
        dial.connection = id;
        dial.next = now + dial.wait.times(0.5 + f64::from(membership.chance.generate::<f32>()) / 2.0);
        let Some(id) = id else { return };
        let link = Link { peer: None, dialled: Some(peer.clone()), heard: now, speaks: 0 };
        membership.peers.links.insert(id, link);
        let hello = self.hello();
        if let Some(seat) = self.sockets.get_mut(id.0) {
            frame(&hello, &mut seat.connection.outbox);
        }
    }

    pub fn peer_up(&mut self, id: ConnectionId) {
        self.flush_connection(id);
    }

    pub fn peer_lost(&mut self, id: ConnectionId) {
        self.close_connection(id);
        let Some(membership) = &mut self.membership else { return };
        let Some(link) = membership.peers.links.remove(&id) else { return };
        if let Some(dial) = link.dialled.as_ref().and_then(|peer| membership.peers.dials.get_mut(peer))
            && dial.connection == Some(id)
        {
            dial.connection = None;
        }
        membership.peers.incoming.retain(|_, connection| *connection != id);
    }

    pub fn peer_came(&mut self, id: ConnectionId, got: ReadOutcome) {
        let now = self.now;
        let Some(seat) = self.sockets.get_mut(id.0) else { return };
        match got {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => return self.peer_lost(id),
            ReadOutcome::Bytes(n) => seat.connection.inbox.extend_from_slice(&self.read_buffer[..n]),
        }
        loop {
            let Some(seat) = self.sockets.get_mut(id.0) else { return };
            match take_frame(&mut seat.connection.inbox) {
                Ok(None) => return,
                Ok(Some(bytes)) => {
                    let Some(membership) = &mut self.membership else { return };
                    membership.peers.traffic.frames_received += 1;
                    membership.peers.traffic.bytes_received += bytes.len() as u64;
                    let Some(link) = membership.peers.links.get_mut(&id) else { return };
                    link.heard = now;
                    match link.peer.clone() {
                        None => self.greeted(id, &bytes),
                        Some(peer) => self.consensus_message(id, &peer, &bytes),
                    }
                }
                Err(()) => {
                    warn!("a peer's frame is too long");
                    return self.peer_lost(id);
                }
            }
        }
    }

    /// The first frame of a link says who is at its other end.
    fn greeted(&mut self, id: ConnectionId, bytes: &[u8]) {
        let hello = read_greeting(bytes).filter(|(hello, _)| hello.version == VERSION);
        let Some(membership) = &mut self.membership else { return };
        let Some(link) = membership.peers.links.get_mut(&id) else { return };
        let known = hello.filter(|(hello, _)| {
            let expected = link.dialled.as_ref().is_none_or(|peer| *peer == hello.name);
            expected && hello.group == membership.group && hello.name != membership.name
        });
        let Some((hello, speaks)) = known else {
            debug!("a peer of another fleet, name or version");
            return self.peer_lost(id);
        };
        link.peer = Some(hello.name.clone());
        link.speaks = speaks;
        let answers = link.dialled.is_none();
        if let Some(dial) = membership.peers.dials.get_mut(&hello.name)
            && !answers
        {
            dial.wait = Span::ZERO;
        }
        if answers {
            membership.peers.incoming.insert(hello.name.clone(), id);
            let back = self.hello();
            if let Some(seat) = self.sockets.get_mut(id.0) {
                frame(&back, &mut seat.connection.outbox);
            }
            self.flush_connection(id);
        }
        self.peer_linked(&hello.name);
    }

    fn consensus_message(&mut self, id: ConnectionId, peer: &UnitName, bytes: &[u8]) {
        let links = self.membership.as_ref().map(|membership| &membership.peers.links);
        let sums = links.and_then(|links| links.get(&id)).is_some_and(|link| link.speaks >= SUMS);
        let Some(bytes) = (if sums { unseal(bytes) } else { Some(bytes) }) else {
            warn!(%peer, "a letter is damaged");
            return self.peer_lost(id);
        };
        match postcard::take_from_bytes::<Frame>(bytes) {
            Ok((Frame::ConsensusMessage(envelope), [])) => self.peer_said(peer, *envelope),
            Ok((Frame::Words(messages), [])) => self.peer_keeps(peer, messages),
            Ok((Frame::WarmState(said), [])) => self.peer_told(peer, said),
            Ok(_) => {
                warn!(%peer, "a letter has more than its end");
                self.peer_lost(id);
            }
            Err(fault) => {
                warn!(%peer, %fault, "a letter cannot be read");
                self.peer_lost(id);
            }
        }
    }

    /// Without a link the letter is lost; whoever needs an answer asks again.
    pub fn send_peer(&mut self, peer: &UnitName, said: &Frame) {
        let Some(membership) = &mut self.membership else { return };
        let Some(id) = membership.peers.link_to(peer) else { return };
        let Some(seat) = self.sockets.get_mut(id.0) else { return };
        if seat.connection.unsent() > MOST_UNSENT {
            debug!(%peer, "does not read");
            return self.peer_lost(id);
        }
        let Ok(mut bytes) = postcard::to_stdvec(said) else { return };
        if membership.peers.links.get(&id).is_some_and(|link| link.speaks >= SUMS) {
            seal(&mut bytes);
        }
        membership.peers.traffic.frames_sent += 1;
        membership.peers.traffic.bytes_sent += bytes.len() as u64;
        frame(&bytes, &mut seat.connection.outbox);
        self.flush_connection(id);
    }

    pub fn listen_for_peers(&mut self, address: std::net::SocketAddr) -> Result<(), Errno> {
        let listener = crate::connection::listen(address)?;
        self.watch_listener(&listener, PEERS)?;
        if let Some(membership) = &mut self.membership {
            membership.peers.listener = Some(listener);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
