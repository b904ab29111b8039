//! Links to other nodes of the fleet: TCP connections, with each node dialling the voters. The link of a peer
//! that is slow, silent or sends invalid frames is closed and replaced by a new one, without blocking the
//! node.
//!
//! [`frame`] defines the frames of a link.

mod frame;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use glendeck::domain::{Span, Time};
use glendeck_fleet::message::{Hello, VERSION};
use glendeck_fleet::policy::UnitName;
use nanorand::Rng;
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use tracing::{debug, warn};

use self::frame::{Features, append_frame, decode_greeting, encode_greeting, take_frame};
use crate::connection::{self, Connection, ReadOutcome};
use crate::reactor::PEERS;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};

pub(crate) use self::frame::{Frame, append_checksum, strip_checksum};

/// Maximum number of unsent bytes of a link. A link with more is closed: the peer does not read, and the
/// queued frames are outdated.
const MAX_UNSENT_BYTES: usize = 2 << 20;

/// A link without a frame for this time is closed; heartbeats are sent every second, and voters reply to
/// each.
const SILENCE_TIMEOUT: Span = Span::ms(3_500);

/// Time for a link to come up and to receive the peer's greeting.
const GREETING_TIMEOUT: Span = Span::ms(2_000);

/// Delay before an unreachable peer is dialled again, doubled up to the maximum. The wait is a random half to
/// all of it, so that the nodes do not all dial a returning voter at the same moment.
const INITIAL_REDIAL_DELAY: Span = Span::ms(100);
const MAX_REDIAL_DELAY: Span = Span::ms(1_600);

/// Maximum number of connections that are accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// One connection to a peer, in either direction.
struct Link {
    /// The peer, once its greeting has been received.
    peer: Option<UnitName>,
    /// The peer that this node dialled; `None` for an accepted link.
    dialled: Option<UnitName>,
    /// When the last frame was received; before the first, when the link was created.
    last_received: Time,
    features: Features,
}

impl Link {
    fn new(dialled: Option<UnitName>, now: Time) -> Link {
        Link { peer: None, dialled, last_received: now, features: Features::NONE }
    }

    fn is_silent(&self, now: Time) -> bool {
        let timeout = if self.peer.is_some() { SILENCE_TIMEOUT } else { GREETING_TIMEOUT };
        now.since(self.last_received) > timeout
    }
}

/// State of dialling a peer.
#[derive(Default)]
struct Dial {
    connection: Option<ConnectionId>,
    next: Time,
    redial_delay: Span,
}

/// Counts of the frames sent to and received from peers, and of their bytes without length prefixes.
/// Greetings are counted only when received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Frames sent.
    pub frames_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// All links of this node.
#[derive(Default)]
pub(crate) struct Peers {
    listener: Option<OwnedFd>,
    links: BTreeMap<ConnectionId, Link>,
    /// The peers that this node dials.
    dials: BTreeMap<UnitName, Dial>,
    /// The newest link that each peer has dialled.
    incoming: BTreeMap<UnitName, ConnectionId>,
    /// Frames and bytes sent and received.
    pub traffic: Traffic,
}

impl Peers {
    /// Number of links, including those that have not received a greeting yet.
    pub(crate) fn links(&self) -> usize {
        self.links.len()
    }

    /// The linked peers that support warm state.
    pub(crate) fn warm_state_peers(&self) -> BTreeSet<UnitName> {
        let links = self.links.values().filter(|link| link.features.has(Features::WARM_STATE));
        links.filter_map(|link| link.peer.clone()).collect()
    }

    /// The link to a peer on which a frame was received last. Two voters may dial each other at the same
    /// time; if each sent on the link that it dialled, it would receive nothing there, close it as silent and
    /// dial again every few seconds.
    fn link_to(&self, peer: &UnitName) -> Option<ConnectionId> {
        let dialled = self.dials.get(peer).and_then(|dial| dial.connection);
        let incoming = self.incoming.get(peer).copied();
        let last_receipt = |id: ConnectionId| {
            let link = self.links.get(&id).filter(|link| link.peer.is_some())?;
            Some((link.last_received, id))
        };
        let newest = dialled.and_then(last_receipt).max(incoming.and_then(last_receipt));
        newest.map(|(_, id)| id)
    }

    fn silent_links(&self, now: Time) -> Vec<ConnectionId> {
        self.links.iter().filter(|(_, link)| link.is_silent(now)).map(|(id, _)| *id).collect()
    }

    /// The peers without a link that are due to be dialled.
    fn peers_to_dial(&self, now: Time) -> Vec<UnitName> {
        let is_due = |(peer, dial): &(&UnitName, &Dial)| {
            dial.connection.is_none() && dial.next <= now && self.link_to(peer).is_none()
        };
        self.dials.iter().filter(is_due).map(|(peer, _)| peer.clone()).collect()
    }

    /// Sets the voters as the peers to dial. A peer that is no longer a voter stays while its link is open.
    fn set_voters_to_dial(&mut self, voters: &BTreeSet<UnitName>) {
        self.dials.retain(|peer, dial| voters.contains(peer) || dial.connection.is_some());
        for voter in voters {
            self.dials.entry(voter.clone()).or_default();
        }
    }

    /// Removes a closed link.
    fn remove(&mut self, id: ConnectionId) {
        let Some(link) = self.links.remove(&id) else { return };
        if let Some(dial) = link.dialled.as_ref().and_then(|peer| self.dials.get_mut(peer))
            && dial.connection == Some(id)
        {
            dial.connection = None;
        }
        self.incoming.retain(|_, connection| *connection != id);
    }

    /// Records the greeting received on a link. Returns whether this node has to reply with its own.
    fn record_greeting(&mut self, id: ConnectionId, name: &UnitName, features: Features) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        link.peer = Some(name.clone());
        link.features = features;
        if link.dialled.is_none() {
            self.incoming.insert(name.clone(), id);
            return true;
        }
        if let Some(dial) = self.dials.get_mut(name) {
            dial.redial_delay = Span::ZERO;
        }
        false
    }
}

impl Service {
    /// Listens for peers at this address.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or not one of this machine, or if the listener cannot be watched.
    pub(crate) fn listen_for_peers(&mut self, address: SocketAddr) -> Result<(), Errno> {
        let listener = connection::listen(address)?;
        self.watch_listener(&listener, PEERS)?;
        if let Some(membership) = &mut self.membership {
            membership.peers.listener = Some(listener);
        }
        Ok(())
    }

    /// Accepts connections of peers.
    pub(crate) fn accept_peers(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(membership) = &self.membership else { return };
            let Some(listener) = &membership.peers.listener else { return };
            match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                // At the limit the socket is closed, so that strangers cannot use up all descriptors.
                Ok(_) if membership.peers.links() >= membership.max_links() => {}
                Ok(socket) => self.add_accepted_link(socket),
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                // No more peers wait, or accepting failed, as with a full descriptor table. A failure recurs
                // with the next peer, and peers dial again.
                Err(_) => return,
            }
        }
    }

    fn add_accepted_link(&mut self, socket: OwnedFd) {
        let connection = Connection::new(socket, false);
        let Some(id) = self.add_connection(connection, SocketRole::Peer) else { return };
        if let Some(membership) = &mut self.membership {
            membership.peers.links.insert(id, Link::new(None, self.now));
        }
    }

    /// Dials the voters without a link, and closes silent links.
    pub(crate) fn maintain_links(&mut self) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        let voters = membership.fleet.voters();
        membership.peers.set_voters_to_dial(&voters);
        let silent = membership.peers.silent_links(now);
        let due = membership.peers.peers_to_dial(now);
        for id in silent {
            self.close_link(id);
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
        dial.redial_delay = dial.redial_delay.times(2.0).clamp(INITIAL_REDIAL_DELAY, MAX_REDIAL_DELAY);
        dial.connection = id;
        let jitter_factor = 0.5 + f64::from(membership.rng.generate::<f32>()) / 2.0;
        dial.next = now + dial.redial_delay.times(jitter_factor);
        let Some(id) = id else { return };
        membership.peers.links.insert(id, Link::new(Some(peer.clone()), now));
        self.append_greeting(id);
    }

    /// Appends this node's greeting to the outbox of a link.
    fn append_greeting(&mut self, id: ConnectionId) {
        let Some(membership) = &self.membership else { return };
        let hello = Hello {
            version: VERSION,
            group: membership.group.clone(),
            name: membership.name.clone(),
            incarnation: membership.incarnation,
        };
        let Ok(greeting) = encode_greeting(&hello) else { return };
        if let Some(entry) = self.sockets.get_mut(id.0) {
            append_frame(&greeting, &mut entry.connection.outbox);
        }
    }

    /// Sends the greeting on a dialled link that has come up.
    pub(crate) fn peer_connected(&mut self, id: ConnectionId) {
        self.flush_connection(id);
    }

    /// Closes a link.
    pub(crate) fn close_link(&mut self, id: ConnectionId) {
        self.close_connection(id);
        if let Some(membership) = &mut self.membership {
            membership.peers.remove(id);
        }
    }

    /// Handles bytes received on a link, or its end.
    pub(crate) fn peer_readable(&mut self, id: ConnectionId, outcome: ReadOutcome) {
        let Some(entry) = self.sockets.get_mut(id.0) else { return };
        match outcome {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => return self.close_link(id),
            ReadOutcome::Bytes(length) => {
                entry.connection.inbox.extend_from_slice(&self.read_buffer[..length])
            }
        }
        // Handling a frame may close the link and its socket.
        while let Some(entry) = self.sockets.get_mut(id.0) {
            match take_frame(&mut entry.connection.inbox) {
                Ok(None) => return,
                Ok(Some(bytes)) => self.handle_frame(id, &bytes),
                Err(cause) => {
                    warn!(%cause, "invalid frame of a peer, closing the link");
                    return self.close_link(id);
                }
            }
        }
    }

    fn handle_frame(&mut self, id: ConnectionId, bytes: &[u8]) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        let peers = &mut membership.peers;
        peers.traffic.frames_received += 1;
        peers.traffic.bytes_received += bytes.len() as u64;
        let Some(link) = peers.links.get_mut(&id) else { return };
        link.last_received = now;
        let features = link.features;
        match link.peer.clone() {
            None => self.handle_greeting(id, bytes),
            Some(peer) => self.handle_message(id, &peer, bytes, features),
        }
    }

    /// Handles the first frame of a link, which names the peer.
    fn handle_greeting(&mut self, id: ConnectionId, bytes: &[u8]) {
        let (hello, features) = match decode_greeting(bytes) {
            Ok(greeting) => greeting,
            Err(cause) => {
                debug!(%cause, "invalid greeting of a peer, closing the link");
                return self.close_link(id);
            }
        };
        if !self.is_expected(id, &hello) {
            debug!(peer = %hello.name, fleet = %hello.group, "unexpected peer, closing the link");
            return self.close_link(id);
        }
        let Some(membership) = &mut self.membership else { return };
        if membership.peers.record_greeting(id, &hello.name, features) {
            self.append_greeting(id);
            self.flush_connection(id);
        }
        self.peer_linked(&hello.name);
    }

    /// Whether the peer is another node of the same fleet and, on a dialled link, the node that was dialled.
    fn is_expected(&self, id: ConnectionId, hello: &Hello) -> bool {
        let Some(membership) = &self.membership else { return false };
        let Some(link) = membership.peers.links.get(&id) else { return false };
        let is_dialled = link.dialled.as_ref().is_none_or(|peer| *peer == hello.name);
        is_dialled && hello.group == membership.group && hello.name != membership.name
    }

    fn handle_message(&mut self, id: ConnectionId, peer: &UnitName, bytes: &[u8], features: Features) {
        match Frame::decode(bytes, features) {
            Ok(Frame::ConsensusMessage(envelope)) => self.handle_consensus_message(peer, *envelope),
            Ok(Frame::ReplicaMessages(messages)) => self.handle_replica_messages(peer, messages),
            Ok(Frame::WarmState(message)) => self.handle_warm_state_message(peer, message),
            Err(cause) => {
                warn!(%peer, %cause, "invalid message of a peer, closing the link");
                self.close_link(id);
            }
        }
    }

    /// Sends a message to a peer. Without a link it is dropped; senders that need a reply retry.
    pub(crate) fn send_peer(&mut self, peer: &UnitName, message: &Frame) {
        let Some(membership) = &mut self.membership else { return };
        let peers = &mut membership.peers;
        let Some(id) = peers.link_to(peer) else { return };
        let Some(entry) = self.sockets.get_mut(id.0) else { return };
        if entry.connection.unsent() > MAX_UNSENT_BYTES {
            debug!(%peer, "a peer does not read, closing the link");
            return self.close_link(id);
        }
        let features = peers.links.get(&id).map_or(Features::NONE, |link| link.features);
        let Ok(bytes) = message.encode(features) else { return };
        peers.traffic.frames_sent += 1;
        peers.traffic.bytes_sent += bytes.len() as u64;
        append_frame(&bytes, &mut entry.connection.outbox);
        self.flush_connection(id);
    }
}
