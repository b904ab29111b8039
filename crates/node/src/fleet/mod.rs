//! The node's membership in its fleet: it tells the decisions of `glendeck_fleet` what happened, and carries
//! out their actions through the phases of the node.
//!
//! [`store`] is the thread that writes to disk, [`hosts`] the endpoint list and the hosts that the fleet
//! wants out, [`requests`] what operators ask for.

mod hosts;
pub(crate) mod requests;
mod store;
#[cfg(test)]
mod tests;

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use glendeck::domain::{Span, Time};
use glendeck_fleet::message::Envelope;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::{Incarnation, RequestId};
use glendeck_fleet::{Action, Fleet, NodeStatus, Timestamp};
use glendeck_store::{DiskFaults, StoreError};
use nanorand::{Rng, WyRand};
use rustix::io::Errno;
use tracing::{error, info};

use self::hosts::FleetHosts;
use self::requests::PendingRequests;
use self::store::{StoreThread, open_fleet};
use crate::config::FleetSettings;
use crate::lifecycle::Phase;
use crate::peers::{Frame, Peers};
use crate::reactor::STORE;
use crate::service::Service;
use crate::takeover::Work;
use crate::timers::TimerEvent;
use crate::warm_state::WarmState;

/// Why a node cannot join its fleet.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetError {
    /// Its address for other nodes is in use, or is not one of this machine's.
    #[error("cannot listen for peers on {address}: {fault}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        fault: Errno,
    },
    /// Its store cannot be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store's thread cannot be started.
    #[error("cannot start the store's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The event loop cannot watch the store's thread.
    #[error("cannot watch the store: {0}")]
    Watch(#[from] Errno),
}

/// The timestamp at a process's start. Without it, what other nodes tell of the time before the start would
/// look younger than it is.
const START: Span = Span::ms(86_400_000);

/// The decisions get a turn this often: what must be quick arrives as a message, and the rest is counted in
/// seconds.
const TICK: Span = Span::ms(100);

/// Descriptors besides those of links: the listener, the store's file and lock, both ends of its wake-up
/// pair, and one to accept with.
const OWN_DESCRIPTORS: usize = 6;

/// This node as a member of its fleet.
pub(crate) struct Membership {
    /// The decisions.
    pub fleet: Fleet,
    /// The connections to other nodes.
    pub peers: Peers,
    /// The node's name in the fleet.
    pub name: UnitName,
    /// The fleet's name.
    pub group: String,
    /// This process among all processes of the node.
    pub incarnation: Incarnation,
    /// Random draws that are not the decisions'.
    pub chance: WyRand,
    /// When timestamps of this process are 0.
    pub began: Time,
    /// The store's folder. A node without one never votes.
    pub folder: Option<PathBuf>,
    /// Replicated work, if the fleet's policy asks for it.
    pub work: Option<Work>,
    /// Warm state of other nodes, if the fleet's policy asks for it.
    pub warm_state: Option<WarmState>,
    store: Option<StoreThread>,
    /// The store was in use at the start: ticks until it is tried again.
    store_retry: Option<u32>,
    faults: Option<Arc<dyn DiskFaults>>,
    pending: PendingRequests,
    hosts: FleetHosts,
    most_links: usize,
}

impl Membership {
    fn new(
        fleet: Fleet,
        settings: &FleetSettings,
        name: UnitName,
        incarnation: Incarnation,
        now: Time,
        longest_wait: Span,
    ) -> Membership {
        let start = Timestamp(START.0);
        let policy = &settings.policy;
        let work = policy.work.as_ref().map(|work| {
            let recall_ms = u64::from(work.recall_s) * 1_000;
            let longest_ms = longest_wait.0 / 1_000_000;
            Work::new(start, name.clone(), incarnation, recall_ms, longest_ms)
        });
        // Both go together: what clients come back to is sent along the same view of the fleet.
        let warm_state = policy.work.as_ref().map(|_| WarmState::new(now, start, name.clone(), incarnation));
        // Each node dials the voters, and voters are dialled by all; an old link may stand beside a new one.
        let accepted_links = if policy.voters.contains(&name) { 2 * policy.units.len() } else { 0 };
        Membership {
            fleet,
            peers: Peers::default(),
            group: policy.group.clone(),
            incarnation,
            chance: WyRand::new_seed(incarnation.0),
            began: now - START,
            folder: settings.folder.clone(),
            work,
            warm_state,
            store: None,
            store_retry: None,
            faults: None,
            pending: PendingRequests::new(now),
            hosts: FleetHosts::default(),
            most_links: 2 * policy.voters.len() + accepted_links,
            name,
        }
    }

    /// Links to other nodes at most.
    pub(crate) fn most_links(&self) -> usize {
        self.most_links
    }

    /// File descriptors that the membership may take.
    pub(crate) fn descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.most_links
    }

    fn draw_request_id(&mut self) -> RequestId {
        RequestId(format!("{:016x}", self.chance.generate::<u64>()))
    }
}

/// An incarnation that no other process of the node has.
fn draw_incarnation(seed: u64) -> Incarnation {
    // The standard library draws the keys of its hash maps from the system, for each process anew.
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(seed);
    hasher.write_u32(std::process::id());
    Incarnation(hasher.finish())
}

impl Service {
    /// Makes the node a member of the fleet that its configuration names, if any.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot listen for its peers, or its store cannot be opened. A store that another
    /// process still uses is no error: the node waits for it, and does not vote meanwhile.
    pub(crate) fn join_fleet(&mut self, faults: Option<Arc<dyn DiskFaults>>) -> Result<(), FleetError> {
        let Some(settings) = self.config.fleet.clone() else { return Ok(()) };
        let name = UnitName(self.config.name.clone());
        let incarnation = draw_incarnation(self.config.seed);
        let opened = open_fleet(&settings, &name, incarnation, faults.clone())?;
        if let Some(store) = &opened.store {
            self.watch_listener(&store.wake, STORE)?;
        }
        let fleet = Fleet::new(opened.config, Timestamp(START.0));
        let longest_wait = self.config.longest_guard;
        let mut membership = Membership::new(fleet, &settings, name, incarnation, self.now, longest_wait);
        membership.store = opened.store;
        membership.store_retry = opened.retry;
        membership.faults = faults;
        self.membership = Some(Box::new(membership));
        self.read_work_handover();
        let address = settings.listen;
        self.listen_for_peers(address).map_err(|fault| FleetError::Listen { address, fault })?;
        self.fleet_tick();
        Ok(())
    }

    /// Now, in the fleet's time of this process.
    pub(crate) fn timestamp(&self) -> Timestamp {
        self.timestamp_of(self.now)
    }

    /// A moment in the fleet's time of this process.
    pub(crate) fn timestamp_of(&self, time: Time) -> Timestamp {
        self.membership.as_ref().map_or(Timestamp(0), |membership| Timestamp(time.since(membership.began).0))
    }

    fn node_status(&self) -> NodeStatus {
        let totals = self.metrics.totals();
        NodeStatus {
            serving: self.phase == Phase::Serving,
            drained: self.is_drained(),
            calls: totals.calls,
            failed: totals.failed,
            busy: totals.busy,
            waiting: self.waiting() as u32,
            hosts_down: self.hosts_down() as u32,
            holds: self.connections_at_avoided_hosts(),
        }
    }

    /// Tells the decisions something, and carries out what comes of it.
    fn tell_fleet(&mut self, tell: impl FnOnce(&mut Fleet, Timestamp)) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        tell(&mut membership.fleet, now);
        let actions = membership.fleet.take_actions();
        for action in actions {
            self.perform_fleet_action(action);
        }
    }

    /// What is due with time: links, the store, requests, and the decisions' own turn.
    pub(crate) fn fleet_tick(&mut self) {
        if self.phase == Phase::Left {
            return;
        }
        self.timers.set(self.now + TICK, TimerEvent::FleetTick);
        self.tend_links();
        self.retry_store();
        self.request_status();
        let node_status = self.node_status();
        self.tell_fleet(|fleet, now| fleet.tick(now, node_status));
        self.work_tick();
        self.warm_state_tick();
        self.serve_if_ready();
    }

    /// A link to this peer has come up.
    pub(crate) fn peer_linked(&mut self, peer: &UnitName) {
        let peer = peer.clone();
        self.tell_fleet(|fleet, now| fleet.linked(now, &peer));
    }

    /// A message of this peer's for the decisions has come.
    pub(crate) fn handle_consensus_message(&mut self, peer: &UnitName, envelope: Envelope) {
        self.tell_fleet(|fleet, now| fleet.heard(now, peer, envelope));
    }

    fn perform_fleet_action(&mut self, action: Action) {
        match action {
            Action::Send(peer, envelope) => self.send_peer(&peer, &Frame::ConsensusMessage(envelope)),
            Action::Persist(batch, writes) => self.persist(batch, writes),
            Action::StartDrain { lease, cause } => {
                info!(lease = lease.0, ?cause, "draining, as the fleet has granted a lease");
                self.drain();
            }
            Action::AvoidHosts { hosts, every_ms } => self.avoid_hosts(hosts, Span::ms(every_ms)),
            Action::Resume => {
                info!("serving again, as the fleet has ended the lease");
                self.activate();
            }
            Action::Exit { version } => self.exit_for_version(&version),
            Action::Reply(id, result) => self.reply_to_request(&id, &result),
            Action::Log(text) => info!("{text}"),
        }
    }

    /// Ends this drained process so that one of another version is started; it has no clients that would
    /// wait.
    fn exit_for_version(&mut self, version: &str) {
        info!(%version, "exiting, to be started as another version");
        match self.write_wanted_version(version) {
            Ok(()) => self.leave_drained(),
            Err(cause) => error!(%cause, "cannot write the version to be started: this process stays"),
        }
    }

    /// Writes the file in which whoever starts the next process reads its version.
    fn write_wanted_version(&self, version: &str) -> std::io::Result<()> {
        let folder = self.membership.as_ref().and_then(|membership| membership.folder.as_ref());
        let folder = folder.ok_or_else(|| std::io::Error::other("no folder is configured"))?;
        let new_path = folder.join("wanted.new");
        let mut file = std::fs::File::create(&new_path)?;
        file.write_all(format!("{version}\n").as_bytes())?;
        file.sync_all()?;
        std::fs::rename(new_path, folder.join("wanted"))
    }
}
