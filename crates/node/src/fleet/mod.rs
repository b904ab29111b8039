//! The node's membership in its fleet: reports events to [`glendeck_fleet::Fleet`], the fleet logic, and
//! carries out its actions: sends messages, writes to the store, drains and resumes the node.
//!
//! [`store`] runs the thread that writes to disk, [`hosts`] handles the endpoint list and the hosts that the
//! fleet drains, and [`requests`] handles operators' requests.

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
    /// The address on which it listens for peers is in use, or not an address of this machine.
    #[error("cannot listen for peers on {address}: {fault}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        fault: Errno,
    },
    /// The store cannot be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store's thread cannot be started.
    #[error("cannot start the store's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The event loop cannot watch the store's thread.
    #[error("cannot watch the store's thread: {0}")]
    Watch(#[from] Errno),
}

/// This process's timestamp at its start. If it were 0, events that other nodes report from before the start
/// would seem more recent than they are.
const START_OFFSET: Span = Span::ms(86_400_000);

/// Interval between ticks of the fleet logic. Urgent events arrive as messages; everything else may take
/// seconds.
const TICK_INTERVAL: Span = Span::ms(100);

/// File descriptors other than those of links: the listener, the store's file and lock, both ends of the
/// socket pair that wakes the event loop, and one for accepting.
const OWN_DESCRIPTORS: usize = 6;

/// This node as a member of its fleet.
pub(crate) struct Membership {
    /// The fleet logic.
    pub fleet: Fleet,
    /// The connections to other nodes.
    pub peers: Peers,
    /// The node's name in the fleet.
    pub name: UnitName,
    /// The fleet's name.
    pub group: String,
    /// Distinguishes this process from all other processes of the node.
    pub incarnation: Incarnation,
    /// Random numbers for request ids, delays and intervals. The fleet logic and the takeover logic have
    /// their own.
    pub rng: WyRand,
    /// The moment at which this process's timestamps are 0.
    pub time_origin: Time,
    /// The store's folder. A node without a folder never votes.
    pub folder: Option<PathBuf>,
    /// Replicated work, if the fleet's policy asks for it.
    pub work: Option<Work>,
    /// Warm state of other nodes, if the fleet's policy asks for it.
    pub warm_state: Option<WarmState>,
    store: Option<StoreThread>,
    /// Ticks to skip before opening the store is tried again, if it was in use at the start.
    store_retry_ticks: Option<u32>,
    faults: Option<Arc<dyn DiskFaults>>,
    pending: PendingRequests,
    hosts: FleetHosts,
    max_links: usize,
}

impl Membership {
    fn new(
        fleet: Fleet,
        settings: &FleetSettings,
        name: UnitName,
        incarnation: Incarnation,
        now: Time,
        longest_ms: u64,
    ) -> Membership {
        let start = Timestamp(START_OFFSET.0);
        let policy = &settings.policy;
        let work = policy.work.as_ref().map(|work| {
            let recall_ms = u64::from(work.recall_s) * 1_000;
            Work::new(start, name.clone(), incarnation, recall_ms, longest_ms)
        });
        // Warm state is enabled together with replicated work, whose view of the fleet it uses.
        let warm_state = policy.work.as_ref().map(|_| WarmState::new(now, start, name.clone(), incarnation));
        // Every node dials the voters, so a voter also accepts a link from each node. Each link counts twice,
        // as an old one may still exist beside a new one.
        let accepted_links = if policy.voters.contains(&name) { 2 * policy.units.len() } else { 0 };
        Membership {
            fleet,
            peers: Peers::default(),
            group: policy.group.clone(),
            incarnation,
            rng: WyRand::new_seed(incarnation.0),
            time_origin: now - START_OFFSET,
            folder: settings.folder.clone(),
            work,
            warm_state,
            store: None,
            store_retry_ticks: None,
            faults: None,
            pending: PendingRequests::new(now),
            hosts: FleetHosts::default(),
            max_links: 2 * policy.voters.len() + accepted_links,
            name,
        }
    }

    /// Maximum number of links to other nodes.
    pub(crate) fn max_links(&self) -> usize {
        self.max_links
    }

    /// Maximum number of file descriptors of the membership.
    pub(crate) fn descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.max_links
    }

    fn draw_request_id(&mut self) -> RequestId {
        RequestId(format!("{:016x}", self.rng.generate::<u64>()))
    }
}

/// Draws an incarnation that differs from those of the node's other processes.
fn draw_incarnation(seed: u64) -> Incarnation {
    // The standard library seeds its hash maps from the system's random numbers, anew in each process.
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(seed);
    hasher.write_u32(std::process::id());
    Incarnation(hasher.finish())
}

impl Service {
    /// Joins the fleet that the configuration names, if any.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot listen for its peers, or its store cannot be opened. It is no error if
    /// another process still uses the store: the node retries, and does not vote until it succeeds.
    pub(crate) fn join_fleet(&mut self, faults: Option<Arc<dyn DiskFaults>>) -> Result<(), FleetError> {
        let Some(settings) = self.config.fleet.clone() else { return Ok(()) };
        let name = UnitName(self.config.name.clone());
        let incarnation = draw_incarnation(self.config.seed);
        let opened = open_fleet(&settings, &name, incarnation, faults.clone())?;
        if let Some(store) = &opened.store {
            self.watch_listener(&store.wake, STORE)?;
        }
        let fleet = Fleet::new(opened.config, Timestamp(START_OFFSET.0));
        let longest_ms = self.config.longest_deadline_ms();
        let mut membership = Membership::new(fleet, &settings, name, incarnation, self.now, longest_ms);
        membership.store = opened.store;
        membership.store_retry_ticks = opened.retry_ticks;
        membership.faults = faults;
        self.membership = Some(Box::new(membership));
        self.read_work_handover();
        let address = settings.listen;
        self.listen_for_peers(address).map_err(|fault| FleetError::Listen { address, fault })?;
        self.fleet_tick();
        Ok(())
    }

    /// The current time as a timestamp of this process.
    pub(crate) fn timestamp(&self) -> Timestamp {
        self.timestamp_of(self.now)
    }

    /// Converts a time to a timestamp of this process.
    pub(crate) fn timestamp_of(&self, time: Time) -> Timestamp {
        self.membership
            .as_ref()
            .map_or(Timestamp(0), |membership| Timestamp(time.since(membership.time_origin).0))
    }

    fn node_status(&self) -> NodeStatus {
        let totals = self.metrics.totals();
        let can_end_drain = matches!(self.phase, Phase::Starting | Phase::Serving);
        NodeStatus {
            serving: self.phase == Phase::Serving && !self.is_draining(),
            draining: self.is_draining() && can_end_drain,
            drained: self.is_drained(),
            calls: totals.calls,
            failed: totals.failed,
            busy: totals.busy,
            waiting: self.waiting() as u32,
            hosts_down: self.hosts_down() as u32,
            holds: self.connections_at_avoided_hosts(),
        }
    }

    /// Calls the fleet logic, and performs the actions that it returns.
    fn with_fleet(&mut self, call: impl FnOnce(&mut Fleet, Timestamp)) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        call(&mut membership.fleet, now);
        let actions = membership.fleet.take_actions();
        for action in actions {
            self.perform_fleet_action(action);
        }
    }

    /// Does the periodic work: links, the store, status requests, the fleet logic, replicated work and warm
    /// state.
    pub(crate) fn fleet_tick(&mut self) {
        if self.phase == Phase::Left {
            return;
        }
        self.timers.set(self.now + TICK_INTERVAL, TimerEvent::FleetTick);
        self.maintain_links();
        self.retry_store();
        self.request_status();
        let node_status = self.node_status();
        self.with_fleet(|fleet, now| fleet.tick(now, node_status));
        self.work_tick();
        self.warm_state_tick();
        self.serve_if_ready();
    }

    /// Reports a new link to a peer.
    pub(crate) fn peer_linked(&mut self, peer: &UnitName) {
        let peer = peer.clone();
        self.with_fleet(|fleet, now| fleet.linked(now, &peer));
    }

    /// Handles a peer's message for the fleet logic.
    pub(crate) fn handle_consensus_message(&mut self, peer: &UnitName, envelope: Envelope) {
        self.with_fleet(|fleet, now| fleet.heard(now, peer, envelope));
    }

    fn perform_fleet_action(&mut self, action: Action) {
        match action {
            Action::Send(peer, envelope) => self.send_peer(&peer, &Frame::ConsensusMessage(envelope)),
            Action::Persist(batch, writes) => self.persist(batch, writes),
            Action::StartDrain { lease, cause } => {
                info!(lease = lease.0, ?cause, "draining: the fleet granted a lease");
                self.drain();
            }
            Action::AvoidHosts { hosts, every_ms } => self.avoid_hosts(hosts, Span::ms(every_ms)),
            Action::Resume => {
                info!("serving again: the fleet ended the lease");
                self.activate();
            }
            Action::Exit { version } => self.exit_for_version(&version),
            Action::Reply(id, result) => self.reply_to_request(&id, &result),
            Action::Log(text) => info!("{text}"),
        }
    }

    /// Exits so that the supervisor of the node's processes can start another version. The process is
    /// drained, so it has no clients to wait for.
    fn exit_for_version(&mut self, version: &str) {
        info!(%version, "exiting to be restarted as another version");
        match self.write_wanted_version(version) {
            Ok(()) => self.leave_drained(),
            Err(cause) => error!(%cause, "cannot write the version to be started, not exiting"),
        }
    }

    /// Writes the file from which the supervisor reads the version of the next process.
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
