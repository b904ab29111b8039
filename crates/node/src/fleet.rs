//! The node's part in its fleet: tells the decisions of `glendeck_fleet` what happened, and carries out what they say
//! through the phases that there are.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write as _};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;

use glendeck::domain::{AttemptOutcome, Condition, HostId, ListUpdate, Span, Time};
use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::message::Envelope;
use glendeck_fleet::policy::{Place, Plan, UnitName};
use glendeck_fleet::state::{Command, CommandResult, Incarnation, RequestId};
use glendeck_fleet::{Action, Fleet, FleetConfig, LONGEST_LOG, NodeStatus, RequestResult, Timestamp};
use glendeck_store::{Faults, Outcome, Store, StoreError};
use nanorand::{Rng, WyRand};
use rustix::io::Errno;
use serde_json::{Value, json};
use tracing::{error, info, warn};

use crate::config::{FleetSettings, host_id};
use crate::endpoint_list::{self, EndpointListUpdate};
use crate::lifecycle::Phase;
use crate::peers::{Frame, Peers};
use crate::reactor::STORE;
use crate::service::Service;
use crate::socket::ConnectionId;
use crate::timers::TimerEvent;

#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("cannot listen for peers on {address}: {fault}")]
    Listen { address: std::net::SocketAddr, fault: Errno },
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("cannot start the store's thread: {0}")]
    Thread(#[from] std::io::Error),
    #[error("cannot watch the store: {0}")]
    Watch(#[from] Errno),
}

/// The fleet's moments begin here. Danger: what went before a process began, by the word of another, would look younger
/// than it is if its moments began with it.
const BEFORE: Span = Span::ms(86_400_000);

/// Ten looks a second: a halt and a begin are told by their arrival, the rest is counted in seconds.
const TICK: Span = Span::ms(100);

/// Questions for the state go out so often at most: those at the door wait a tick longer, and a node adds ten entries a
/// second, however many ask.
const LOOK_AGAIN: Span = Span::ms(100);

/// A leader answers within a round trip once a link is up, and links come up within a tick or two. Where none does: the
/// last word of the process before counts at the leader for 3.5 s, and a host may be called empty by it so long.
const FIRST_WORD: Span = Span::ms(4_000);

/// Another process of this node may still have the store: asked again after so many ticks.
const STORE_AGAIN: u32 = 10;

/// Someone at the door who waits for what the fleet decides.
enum Waiting {
    Orders(ConnectionId),
    /// All that want to see the state, and asked before this question of theirs went out.
    Look(Vec<ConnectionId>),
}

pub struct Membership {
    pub fleet: Fleet,
    pub peers: Peers,
    pub name: UnitName,
    pub group: String,
    pub incarnation: Incarnation,
    pub chance: WyRand,
    pub began: Time,
    pub folder: Option<PathBuf>,
    store: Option<Store>,
    wake: Option<UnixStream>,
    /// The store was in use at the start: so many ticks until it is tried again.
    store_wanted: Option<u32>,
    faults: Option<Arc<dyn Faults>>,
    waiting: BTreeMap<RequestId, Waiting>,
    /// They want to see the state, and a question that went out before they asked is still out.
    looking: Vec<ConnectionId>,
    next_look: Time,
    most_links: usize,
    /// The list's hosts by the names that the fleet knows them by.
    listed: BTreeMap<UnitName, (Place, EndpointState)>,
    /// Hosts that the fleet wants out, and how often one connection goes there.
    kept_from: BTreeMap<HostId, UnitName>,
    ease_every: Span,
    easing: bool,
    pub work: Option<crate::takeover::Work>,
    pub warm_state: Option<crate::warm_state::WarmState>,
}

impl Membership {
    pub fn most_links(&self) -> usize {
        self.most_links
    }

    /// Listener, store and its two ends, its lock, one to accept with, and the links.
    pub fn descriptors(&self) -> usize {
        6 + self.most_links
    }
}

/// What no other process of the node has been.
fn draw_incarnation(seed: u64) -> Incarnation {
    // The standard library's own keys are drawn from the system for each process.
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(seed);
    hasher.write_u32(std::process::id());
    Incarnation(hasher.finish())
}

/// The fleet's decisions and the store's thread, from what the configuration says.
fn begin(
    settings: &FleetSettings,
    name: &UnitName,
    incarnation: Incarnation,
    faults: Option<Arc<dyn Faults>>,
) -> Result<(FleetConfig, Option<(Store, UnixStream)>), FleetError> {
    let mut setup = FleetConfig {
        name: name.clone(),
        policy: settings.policy.clone(),
        incarnation,
        seed: incarnation.0,
        version: settings.version.clone(),
        saved: None,
        spoilt: false,
        longest_log: LONGEST_LOG,
    };
    let Some(folder) = &settings.folder else { return Ok((setup, None)) };
    let opened = glendeck_store::open(folder, faults)?;
    if let Some(why) = &opened.spoilt {
        error!(%why, "the store cannot be read: set aside, this node votes only under a new seat");
    }
    (setup.saved, setup.spoilt) = (Some(opened.saved.clone()), opened.spoilt.is_some());
    let (wake, from) = UnixStream::pair()?;
    wake.set_nonblocking(true)?;
    let store = opened.start(from)?;
    Ok((setup, Some((store, wake))))
}

impl Service {
    pub fn join_fleet(&mut self, faults: Option<Arc<dyn Faults>>) -> Result<(), FleetError> {
        let Some(settings) = self.config.fleet.clone() else { return Ok(()) };
        let (name, incarnation) = (UnitName(self.config.name.clone()), draw_incarnation(self.config.seed));
        let (setup, store, waits) = match begin(&settings, &name, incarnation, faults.clone()) {
            Ok((setup, store)) => (setup, store, false),
            Err(FleetError::Store(fault @ StoreError::InUse(_))) => {
                warn!(%fault, "waiting for it, without a vote");
                let without = FleetSettings { folder: None, ..settings.clone() };
                let (setup, _) = begin(&without, &name, incarnation, None)?;
                (setup, None, true)
            }
            Err(fault) => return Err(fault),
        };
        let (store, wake) = store.unzip();
        if let Some(wake) = &wake {
            self.watch_listener(wake, STORE)?;
        }
        let voters = settings.policy.voters.len();
        let is_voter = settings.policy.voters.contains(&name);
        let (began, start) = (self.now - BEFORE, Timestamp(BEFORE.0));
        self.membership = Some(Box::new(Membership {
            fleet: Fleet::new(setup, start),
            peers: Peers::default(),
            name: name.clone(),
            group: settings.policy.group.clone(),
            incarnation,
            chance: WyRand::new_seed(incarnation.0),
            began,
            folder: settings.folder.clone(),
            store,
            wake,
            store_wanted: waits.then_some(STORE_AGAIN),
            faults,
            waiting: BTreeMap::new(),
            looking: Vec::new(),
            next_look: self.now,
            listed: BTreeMap::new(),
            kept_from: BTreeMap::new(),
            ease_every: Span::ZERO,
            easing: false,
            work: settings.policy.work.as_ref().map(|work| {
                let longest_ms = self.config.longest_guard.0 / 1_000_000;
                crate::takeover::Work::new(
                    start,
                    name.clone(),
                    incarnation,
                    u64::from(work.recall_s) * 1_000,
                    longest_ms,
                )
            }),
            warm_state: settings.policy.work.as_ref().map(|_| {
                // Nothing is known before the first list.
                crate::warm_state::WarmState::new(self.now, start, name.clone(), incarnation)
            }),
            most_links: 2 * voters + if is_voter { 2 * settings.policy.units.len() } else { 0 },
        }));
        self.inherit_work();
        let address = settings.listen;
        self.listen_for_peers(address).map_err(|fault| FleetError::Listen { address, fault })?;
        self.fleet_tick();
        Ok(())
    }

    pub fn timestamp(&self) -> Timestamp {
        self.membership.as_ref().map_or(Timestamp(0), |membership| timestamp_of(self.now, membership.began))
    }

    fn node_status(&self) -> NodeStatus {
        let (calls, failed, busy) = self.metrics.totals();
        NodeStatus {
            serving: self.phase == Phase::Serving,
            drained: self.is_drained(),
            calls,
            failed,
            busy,
            waiting: self.waiting() as u32,
            hosts_down: self.hosts.listed().filter(|host| self.avoids(*host)).count() as u32,
            holds: self.holds(),
        }
    }

    // Hosts.

    /// Connections and attempts at hosts that are to be empty. Calls are gone through only while there are such hosts.
    fn holds(&self) -> Vec<(UnitName, u32)> {
        let Some(membership) = self.membership.as_ref().filter(|of| !of.kept_from.is_empty()) else {
            return vec![];
        };
        let mut counts: BTreeMap<&UnitName, u32> = BTreeMap::new();
        for (_, held) in self.calls.iter() {
            let host = held.attempt.as_ref().map(|attempt| attempt.host);
            if let Some(name) = host.and_then(|host| membership.kept_from.get(&host)) {
                *counts.entry(name).or_default() += 1;
            }
        }
        counts.into_iter().map(|(name, count)| (name.clone(), count)).collect()
    }

    /// Danger: a node that has just started knows from its list alone which hosts are ready, and would go to one that
    /// the fleet has called empty. It waits for a voter's word, but not long: calls are served without a fleet too.
    pub fn waits_for_fleet(&self) -> bool {
        self.membership.as_ref().is_some_and(|membership| {
            !membership.fleet.is_current() && self.now.since(membership.began) < Span(BEFORE.0 + FIRST_WORD.0)
        })
    }

    /// The list as it came, by name.
    pub fn tell_fleet_hosts(&mut self, told: &EndpointListUpdate, json: &Value) {
        let Some(membership) = &mut self.membership else { return };
        if told.update == ListUpdate::Complete {
            membership.listed.clear();
        }
        for entry in json["endpoints"].as_array().into_iter().flatten() {
            let text = |key: &str| entry[key].as_str().unwrap_or_default().to_owned();
            let listed = match endpoint_list::condition(entry) {
                Some(Condition::Ready) => EndpointState::Ready,
                Some(Condition::Draining) => EndpointState::Draining,
                Some(Condition::Gone) => EndpointState::Gone,
                None => continue,
            };
            let cell = entry["group"].as_u64().map(|cell| cell.to_string()).unwrap_or_default();
            let place = Place { zone: text("zone"), cell, kind: text("type") };
            membership.listed.insert(UnitName(text("name")), (place, listed));
        }
        self.retell_hosts();
    }

    fn retell_hosts(&mut self) {
        let Some(membership) = self.membership.as_ref().filter(|of| !of.listed.is_empty()) else { return };
        let lines = membership.listed.iter();
        let lines: Vec<_> =
            lines.map(|(name, (place, listed))| (name.clone(), place.clone(), *listed)).collect();
        self.tell_fleet(|fleet, now| fleet.hosts_listed(now, lines));
    }

    pub fn fleet_lost_list(&mut self) {
        self.tell_fleet(|fleet, now| fleet.list_lost(now));
    }

    fn keep_from(&mut self, hosts: BTreeSet<UnitName>, every: Span) {
        let Some(membership) = &mut self.membership else { return };
        info!(?hosts, every_ms = every.0 / 1_000_000, "the fleet wants hosts out");
        membership.kept_from = hosts.into_iter().map(|name| (host_id(&name.0), name)).collect();
        membership.ease_every = every;
        let ids = membership.kept_from.keys().copied().collect();
        // Danger: nodes that hear of it at once would each send their first client at once.
        let first = every.times(f64::from(membership.chance.generate::<f32>()));
        let begins = !membership.kept_from.is_empty() && !std::mem::replace(&mut membership.easing, true);
        if begins {
            self.timers.set(self.now + first, TimerEvent::MigrateFromDraining);
        }
        let (now, lines) = (self.now, self.hosts.set_drained_by_fleet(ids));
        self.tell(|node, port| node.endpoints_changed(now, ListUpdate::Delta, &lines, port));
    }

    pub fn ease_off(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        if membership.kept_from.is_empty() {
            membership.easing = false;
            return;
        }
        self.timers.set(self.now + membership.ease_every, TimerEvent::MigrateFromDraining);
        if let Some(call) = self.hosts.next_to_migrate() {
            self.migrate_call(call, AttemptOutcome::Canceled);
        }
    }

    /// Tells the fleet something, and does what comes of it.
    fn tell_fleet(&mut self, what: impl FnOnce(&mut Fleet, Timestamp)) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        what(&mut membership.fleet, now);
        let actions = membership.fleet.take_actions();
        for action in actions {
            self.do_for_fleet(action);
        }
    }

    pub fn fleet_tick(&mut self) {
        if self.phase == Phase::Left {
            return;
        }
        self.timers.set(self.now + TICK, TimerEvent::FleetTick);
        self.tend_links();
        self.try_store();
        self.look();
        let node_status = self.node_status();
        self.tell_fleet(|fleet, now| fleet.tick(now, node_status));
        self.work_tick();
        self.warm_state_tick();
        self.serve_if_ready();
    }

    /// The process before has let go of the store: this one begins anew in the fleet, with it.
    fn try_store(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        match &mut membership.store_wanted {
            None => return,
            Some(0) => membership.store_wanted = Some(STORE_AGAIN),
            Some(ticks) => {
                *ticks -= 1;
                return;
            }
        }
        let (name, incarnation, faults) =
            (membership.name.clone(), membership.incarnation, membership.faults.clone());
        let (out, Some(settings)) = (membership.fleet.is_out(), self.config.fleet.clone()) else { return };
        // What it has begun it ends as it is.
        if out.is_some() {
            return;
        }
        if let Ok((setup, Some((store, wake)))) = begin(&settings, &name, incarnation, faults) {
            info!("the store is free");
            let now = self.timestamp();
            let watched = self.watch_listener(&wake, STORE);
            let Some(membership) = &mut self.membership else { return };
            (membership.store, membership.wake, membership.store_wanted) = (Some(store), Some(wake), None);
            membership.fleet = Fleet::new(setup, now);
            self.keep_from(BTreeSet::new(), Span::ZERO);
            self.retell_hosts();
            if let Err(fault) = watched {
                self.tell_fleet(|fleet, now| fleet.disk_died(now, &fault.to_string()));
            }
        }
    }

    pub fn store_says(&mut self) {
        let mut outcomes = Vec::new();
        if let Some(membership) = &mut self.membership {
            if let Some(wake) = &mut membership.wake {
                let _ = wake.read(&mut [0; 64]);
            }
            while let Some(outcome) = membership.store.as_ref().and_then(Store::outcome) {
                outcomes.push(outcome);
            }
        }
        for outcome in outcomes {
            match outcome {
                Outcome::Written(batch) => self.tell_fleet(|fleet, now| fleet.written(now, batch)),
                Outcome::Dead(why) => {
                    if let Some(membership) = &mut self.membership {
                        // Its end of the pair goes with it: nothing more is to be watched.
                        (membership.store, membership.wake) = (None, None);
                    }
                    self.tell_fleet(|fleet, now| fleet.disk_died(now, &why));
                }
            }
        }
    }

    pub fn peer_linked(&mut self, peer: &UnitName) {
        let peer = peer.clone();
        self.tell_fleet(|fleet, now| fleet.linked(now, &peer));
    }

    pub fn peer_said(&mut self, peer: &UnitName, envelope: Envelope) {
        self.tell_fleet(|fleet, now| fleet.heard(now, peer, envelope));
    }

    fn do_for_fleet(&mut self, action: Action) {
        match action {
            Action::Send(to, envelope) => self.send_peer(&to, &Frame::ConsensusMessage(envelope)),
            Action::Persist(batch, writes) => {
                let membership = self.membership.as_ref();
                let taken = membership
                    .and_then(|of| of.store.as_ref())
                    .is_some_and(|store| store.write(batch, writes));
                if !taken {
                    self.tell_fleet(|fleet, now| fleet.disk_died(now, "its thread takes nothing more"));
                }
            }
            Action::StartDrain { lease, cause } => {
                info!(lease = lease.0, ?cause, "goes out");
                self.drain();
            }
            Action::AvoidHosts { hosts, every_ms } => self.keep_from(hosts, Span::ms(every_ms)),
            Action::Resume => {
                info!("comes back");
                self.activate();
            }
            Action::Exit { version } => {
                info!(%version, "leaves, to be started as");
                // Its clients have gone: nobody waits for this.
                if let Err(fault) = self.leave_word(&version) {
                    return error!(%fault, "cannot write down what is to be started: stays");
                }
                self.leave_drained();
            }
            Action::Reply(id, seen) => self.answer_waiting(&id, &seen),
            Action::Log(text) => info!("{text}"),
        }
    }

    /// Whoever starts the next process reads there which version it is to be.
    fn leave_word(&self, version: &str) -> std::io::Result<()> {
        let Some(folder) = self.membership.as_ref().and_then(|membership| membership.folder.as_ref()) else {
            return Err(std::io::Error::other("no folder is configured"));
        };
        let (fresh, path) = (folder.join("wanted.new"), folder.join("wanted"));
        let mut file = std::fs::File::create(&fresh)?;
        file.write_all(format!("{version}\n").as_bytes())?;
        file.sync_all()?;
        std::fs::rename(fresh, path)
    }

    // The operators' door.

    /// Takes a call about the fleet. What it is answered comes later, or is this.
    pub fn ask_fleet(&mut self, caller: ConnectionId, path: &str, body: &[u8]) -> Option<(u16, Value)> {
        let Some(membership) = &mut self.membership else {
            return Some((404, json!({"error": "this node is of no fleet"})));
        };
        let body: Value = match body {
            [] => json!({}),
            body => match serde_json::from_slice(body) {
                Ok(body) => body,
                Err(fault) => return Some((400, json!({"error": format!("no JSON: {fault}")}))),
            },
        };
        let text = |key: &str| body.get(key).and_then(Value::as_str).map(str::to_owned);
        let unit = |key: &str| {
            let name = text(key).ok_or_else(|| (400, json!({"error": format!("{key} is missing")})));
            name.map(UnitName)
        };
        let own = membership.name.clone();
        let command = match path {
            "/v1/fleet/status" => Ok(Command::Confirm),
            "/v1/fleet/trust" => {
                let done = membership.fleet.trust(timestamp_of(self.now, membership.began));
                return Some((if done { 200 } else { 409 }, json!({"done": done})));
            }
            "/v1/node/drain" => Ok(Command::Drain { unit: own }),
            "/v1/node/activate" => Ok(Command::Activate { unit: own }),
            "/v1/fleet/drain" => unit("unit").map(|unit| Command::Drain { unit }),
            "/v1/fleet/activate" => unit("unit").map(|unit| Command::Activate { unit }),
            "/v1/fleet/dead" => unit("unit").map(|unit| Command::ConfirmDead { unit }),
            "/v1/fleet/override" => unit("unit")
                .map(|unit| Command::Override { unit, reason: text("reason").unwrap_or_default() }),
            "/v1/fleet/replace" => {
                unit("old").and_then(|old| unit("new").map(|new| Command::ReplaceVoter { old, new }))
            }
            "/v1/fleet/release/start" => {
                let plan = body.get("plan").cloned().unwrap_or_default();
                serde_json::from_value::<Plan>(plan)
                    .map(|plan| Command::StartRelease { plan: Box::new(plan) })
                    .map_err(|fault| (400, json!({"error": format!("plan: {fault}")})))
            }
            "/v1/fleet/release/halt" => {
                let why = text("why").unwrap_or_else(|| "an operator".into());
                Ok(Command::Halt { why })
            }
            "/v1/fleet/release/resume" => Ok(Command::Resume),
            "/v1/fleet/release/back" => Ok(Command::RollBack),
            _ => Err((404, json!({"error": "no such path"}))),
        };
        let command = match command {
            Ok(command) => command,
            Err(reply) => return Some(reply),
        };
        if command == Command::Confirm {
            membership.looking.push(caller);
            self.look();
            return None;
        }
        let drawn = format!("{:016x}", membership.chance.generate::<u64>());
        let id = RequestId(text("id").unwrap_or(drawn));
        info!(call = path, id = %id.0, "operators");
        membership.waiting.insert(id.clone(), Waiting::Orders(caller));
        self.tell_fleet(|fleet, now| fleet.ask(now, id, command));
        None
    }

    /// Danger: each question is an entry of the log, and a page that is open at every desk asks each node each second.
    /// All who have come since the last question went out share the next.
    fn look(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let out = membership.waiting.values().any(|waiting| matches!(waiting, Waiting::Look(_)));
        if membership.looking.is_empty() || out || self.now < membership.next_look {
            return;
        }
        membership.next_look = self.now + LOOK_AGAIN;
        let id = RequestId(format!("{:016x}", membership.chance.generate::<u64>()));
        let callers = std::mem::take(&mut membership.looking);
        membership.waiting.insert(id.clone(), Waiting::Look(callers));
        self.tell_fleet(|fleet, now| fleet.ask(now, id, Command::Confirm));
    }

    fn answer_waiting(&mut self, id: &RequestId, result: &RequestResult) {
        let Some(waiting) = self.membership.as_mut().and_then(|membership| membership.waiting.remove(id))
        else {
            return;
        };
        let caller = match waiting {
            Waiting::Orders(caller) => caller,
            Waiting::Look(callers) => {
                let status = self.fleet_status(matches!(result, RequestResult::Answered(_)));
                for caller in callers {
                    self.answer_later(caller, 200, status.clone());
                }
                return self.look();
            }
        };
        let (status, body) = match result {
            RequestResult::Answered(CommandResult::Done(said)) => {
                (200, json!({"done": true, "id": id.0, "said": said}))
            }
            RequestResult::Answered(CommandResult::Refused(why)) => {
                (409, json!({"done": false, "id": id.0, "why": why}))
            }
            RequestResult::Unknown => {
                let misses = self.membership.as_ref().map(|membership| membership.fleet.view().misses.len());
                let why = "not decided in time: it may still be. Ask again with the same id";
                (503, json!({"done": false, "id": id.0, "why": why, "voters_not_heard": misses}))
            }
        };
        self.answer_later(caller, status, body);
    }

    fn fleet_status(&self, confirmed: bool) -> Value {
        let Some(membership) = &self.membership else { return Value::Null };
        let (sent, came) = (membership.peers.sent, membership.peers.came);
        let mut status = serde_json::to_value(membership.fleet.view()).unwrap_or_default();
        status["confirmed"] = confirmed.into();
        status["links"] = json!({
            "up": membership.peers.links(), "frames_sent": sent.0, "bytes_sent": sent.1, "frames_heard": came.0,
            "bytes_heard": came.1,
        });
        if let Some(work) = &membership.work {
            status["work"] = work.metrics(self.timestamp());
        }
        if let Some(warm_state) = &membership.warm_state {
            status["estates"] = warm_state.metrics();
        }
        status
    }
}

fn timestamp_of(now: Time, began: Time) -> Timestamp {
    Timestamp(now.since(began).0)
}
