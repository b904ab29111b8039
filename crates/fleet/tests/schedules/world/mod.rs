//! A fleet in simulated time: processes with disks, links between them, faults of a seeded schedule, and a
//! checker that verifies the invariants against what the processes really did. Instants are in nanoseconds of
//! simulated time unless a name or comment says otherwise; nodes are given by index.

pub(crate) mod hosts;
mod replacement;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use glendeck_fleet::hosts::EndpointState;
use glendeck_fleet::message::{Envelope, Message, VoterStatus};
use glendeck_fleet::policy::{Act, Amount, FleetPolicy, Limit, Limits, OnHalt, Place, Plan, Scope, UnitName};
use glendeck_fleet::state::{
    Cause, Command, CommandResult, Incarnation, Lease, Nonce, ReleaseState, RequestId, UnitState,
};
use glendeck_fleet::{
    Action, Fleet, FleetConfig, NodeStatus, RequestResult, StoreWrite, StoredState, Timestamp,
};
use nanorand::{Rng, WyRand};

/// Nanoseconds per millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// Longest time until a halt takes effect, in ms: a request to begin is valid for 2 s and a tick takes 0.1 s,
/// by clocks that may be 4 % slow.
const HALT_HOLDS_MS: u64 = 2_260;

/// Time after which the leader must know that a unit is lost, in ms: 5 s without a heartbeat, and the last
/// heartbeat may still have been in transit.
const LOSS_KNOWN_MS: u64 = 7_500;

enum Event {
    Tick(usize, Incarnation),
    DeliverMessage {
        to: usize,
        incarnation: Incarnation,
        from: usize,
        sender: Incarnation,
        envelope: Box<Envelope>,
    },
    /// The batch of this number is on disk.
    BatchWritten(usize, Incarnation, u64, Vec<StoreWrite>),
    StartServing(usize, Incarnation),
    Drained(usize, Incarnation, Lease),
    /// A process of this version starts.
    Start(usize, String),
    DeliverList(usize, Incarnation),
    /// The node notices that its endpoint list is stalled.
    NoticeStalledList(usize, Incarnation),
    /// The node moves one connection off an avoided host.
    MoveConnection(usize, Incarnation),
    Fault(Fault),
    /// An operator's request to this node, with its id.
    Request(usize, String, Command),
}

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Sets the link from one node to another.
    Link(usize, usize, LinkState),
    /// Restores links, lists, hosts and write times, continues stopped nodes, and restarts nodes that are
    /// down or have no store.
    Heal,
    /// Killed, and started again later.
    Kill(usize),
    /// Killed, and not started again.
    KillForGood(usize),
    /// The process is paused, as by SIGSTOP.
    Stop(usize),
    Continue(usize),
    /// Killed, and started again with the older copy of its store that [`Fault::CopyDisk`] made.
    RestoreDiskCopy(usize),
    /// Killed, and started again with an empty store.
    EraseDisk(usize),
    /// From now on its syncs report success, but the data is lost when the process ends.
    DropSyncs(usize),
    /// Its sync fails, and no write completes until the process is started again.
    DiskFails(usize),
    /// Each write takes this long, in ms.
    DiskSlow(usize, u64),
    /// Copies its store, for [`Fault::RestoreDiskCopy`].
    CopyDisk(usize),
    /// An operator confirms that its store is complete.
    Trust(usize),
    /// Sets what the endpoint list shows for a host.
    SetListed(usize, EndpointState),
    /// This node's endpoint list stalls, or is updated again.
    StallList(usize, bool),
}

/// The state of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkState {
    Up,
    Cut,
    /// Messages wait until the link is up again.
    Stalled,
    /// Messages take 200 to 500 ms.
    Slow,
}

struct Process {
    name: UnitName,
    fleet: Option<Fleet>,
    incarnation: Incarnation,
    version: String,
    stopped: bool,
    serving: bool,
    drained: bool,
    /// The lease under which it is out, from going out until it, or its next process, takes clients again.
    out: Option<Lease>,
    /// It is out by an override, which limits do not count.
    out_beyond_limits: bool,
    /// Since when it has been down or stopped without being out by a lease.
    unavailable_since: Option<u64>,
    disk: StoredState,
    /// What the disk claims to hold while it drops syncs; `disk` is what remains after a restart.
    reported_disk: Option<StoredState>,
    disk_copy: StoredState,
    disk_write_ms: u64,
    disk_failed: bool,
    /// Events that arrived while it was stopped.
    held_events: Vec<Event>,
    /// Its disk was replaced by an older copy. No check reads this.
    disk_restored: bool,
    node_hosts: hosts::NodeHosts,
    /// Its clock: the reading in nanoseconds at the start of the simulation, and its rate in thousandths.
    clock: (u64, u64),
}

pub(crate) struct World {
    pub now: u64,
    /// Orders events that are due at the same time.
    next_sequence: u64,
    /// Due time, sequence number and index in `events`.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    /// Unused indexes of `events`.
    free_slots: Vec<usize>,
    processes: Vec<Process>,
    links: BTreeMap<(usize, usize), LinkState>,
    /// When the last message of each link arrives, in ms.
    last_due_ms: BTreeMap<(usize, usize), u64>,
    stalled_messages: BTreeMap<(usize, usize), Vec<Event>>,
    rng: WyRand,
    policy: FleetPolicy,
    incarnations_started: u64,
    /// Hash of the state after each log entry.
    state_hashes: BTreeMap<u64, u64>,
    /// Leases from this number on have not been checked against the limits.
    first_unchecked_lease: u64,
    /// When each halted release was first seen halted.
    halted_since: BTreeMap<u64, u64>,
    /// The process that went out under each release lease.
    lease_users: BTreeMap<Lease, Incarnation>,
    /// Units and hosts that operators asked to drain, within the limits or by an override.
    requested_out: BTreeSet<UnitName>,
    /// The newest state checked: entries applied, the release that was halted, and the drains that had begun.
    last_seen: (u64, Option<u64>, BTreeSet<Nonce>),
    /// The release that was running when all voters were down at once, until an operator requests a resume or
    /// rollback.
    interrupted_release: Option<u64>,
    /// Answers to operators' requests.
    pub answers: BTreeMap<RequestId, RequestResult>,
    /// The first invariant violation.
    pub violation: Option<String>,
    /// Most units out at once, without overrides.
    pub most_out: usize,
    pub messages_sent: u64,
    /// Digest of the actions and states of all processes.
    pub trace: u64,
    /// Versions that fail a quarter of their calls.
    failing_versions: BTreeSet<String>,
    /// Lines for `LOOK`, kept only if `verbose`.
    pub log: Vec<String>,
    pub verbose: bool,
    pub hosts: hosts::Hosts,
    /// Lost messages per thousand.
    pub loss_per_thousand: u64,
    /// Lost messages are retransmitted as by TCP: after 0.2 s, then with doubled delays, at most 60 s in
    /// total, while later messages of the link wait behind them. Only links that are up add this delay.
    /// If not set, lost messages are never delivered.
    pub retransmits: bool,
    /// Links between voters lose no messages.
    pub lossless_voter_links: bool,
}

pub(crate) fn policy(nodes: usize, voters: usize) -> FleetPolicy {
    let name = |node: usize| UnitName(format!("n{node}"));
    let place = |node: usize| Place {
        zone: format!("z{}", node % 3),
        cell: format!("c{}", node % 6),
        kind: if node.is_multiple_of(2) { "big".into() } else { "small".into() },
    };
    let limits = Limits {
        fleet: Limit {
            most_out: Some(if nodes < 5 { Amount::Count(1) } else { Amount::Part(250) }),
            least_left: None,
        },
        ..Limits::default()
    };
    FleetPolicy {
        group: "test".into(),
        voters: (0..voters).map(name).collect(),
        limits,
        hosts: Some(hosts::settings()),
        work: None,
        units: (0..nodes).map(|node| (name(node), place(node))).collect(),
    }
}

pub(crate) fn plan(version: &str, act: Act, on_halt: OnHalt) -> Box<Plan> {
    Box::new(Plan {
        version: version.into(),
        units: vec![],
        waves: vec![Amount::Count(1), Amount::Part(300), Amount::Part(1000)],
        watch_s: 3,
        unit_limit_s: 60,
        act,
        on_halt,
        gates: Default::default(),
    })
}

impl World {
    pub(crate) fn new(seed: u64, policy: FleetPolicy) -> World {
        let nodes = policy.units.len();
        let mut world = World {
            now: 0,
            next_sequence: 0,
            queue: BinaryHeap::new(),
            events: vec![],
            free_slots: vec![],
            processes: vec![],
            links: BTreeMap::new(),
            last_due_ms: BTreeMap::new(),
            stalled_messages: BTreeMap::new(),
            rng: WyRand::new_seed(seed),
            incarnations_started: 0,
            state_hashes: BTreeMap::new(),
            first_unchecked_lease: 0,
            halted_since: BTreeMap::new(),
            lease_users: BTreeMap::new(),
            interrupted_release: None,
            requested_out: BTreeSet::new(),
            last_seen: (0, None, BTreeSet::new()),
            answers: BTreeMap::new(),
            violation: None,
            most_out: 0,
            messages_sent: 0,
            trace: 0,
            failing_versions: BTreeSet::new(),
            log: vec![],
            verbose: false,
            hosts: hosts::Hosts::default(),
            loss_per_thousand: 0,
            retransmits: false,
            lossless_voter_links: false,
            policy,
        };
        for node in 0..nodes {
            let process = Process {
                name: UnitName(format!("n{node}")),
                fleet: None,
                incarnation: Incarnation(0),
                version: "v1".into(),
                stopped: false,
                serving: false,
                drained: false,
                out: None,
                out_beyond_limits: false,
                unavailable_since: None,
                disk: StoredState::default(),
                reported_disk: None,
                disk_copy: StoredState::default(),
                disk_write_ms: 2,
                disk_failed: false,
                held_events: vec![],
                disk_restored: false,
                node_hosts: hosts::NodeHosts::default(),
                clock: (0, 1_000),
            };
            world.processes.push(process);
            world.schedule(node as u64, Event::Start(node, "v1".into()));
        }
        world
    }

    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.rng.generate_range(0..below)
    }

    /// The reading of the process's own clock. Clocks differ by hours and run up to 4 % fast or slow.
    fn clock(&self, node: usize) -> Timestamp {
        let (began, rate) = self.processes[node].clock;
        Timestamp(began + self.now / 1_000 * rate)
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next_sequence += 1;
        self.queue.push(Reverse((self.now + ms * NANOS_PER_MS, self.next_sequence, slot)));
    }

    pub(crate) fn fault_at(&mut self, at_ms: u64, fault: Fault) {
        self.schedule((at_ms * NANOS_PER_MS - self.now) / NANOS_PER_MS, Event::Fault(fault));
    }

    pub(crate) fn request_at(&mut self, at_ms: u64, process: usize, id: &str, command: Command) {
        self.schedule(
            (at_ms * NANOS_PER_MS - self.now) / NANOS_PER_MS,
            Event::Request(process, id.into(), command),
        );
    }

    pub(crate) fn fail_calls_of(&mut self, version: &str) {
        self.failing_versions.insert(version.into());
    }

    fn log_line(&mut self, text: impl FnOnce() -> String) {
        if self.verbose {
            let line = format!("{:9.3} {}", self.now as f64 / 1e9, text());
            self.log.push(line);
        }
    }

    fn report_violation(&mut self, text: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {:.3} s: {text}", self.now as f64 / 1e9));
        }
    }

    pub(crate) fn run_until(&mut self, ms: u64) {
        while let Some(Reverse((event_time, _, slot))) = self.queue.peek().copied() {
            if event_time > ms * NANOS_PER_MS || self.violation.is_some() {
                break;
            }
            self.queue.pop();
            self.now = event_time;
            self.free_slots.push(slot);
            if let Some(event) = self.events[slot].take() {
                self.handle_event(event);
            }
        }
        self.now = self.now.max(ms * NANOS_PER_MS);
    }

    #[expect(clippy::too_many_lines, reason = "one match arm per event")]
    fn handle_event(&mut self, event: Event) {
        let whose = match &event {
            Event::Tick(node, incarnation)
            | Event::BatchWritten(node, incarnation, ..)
            | Event::StartServing(node, incarnation) => Some((*node, *incarnation)),
            Event::Drained(node, incarnation, _) => Some((*node, *incarnation)),
            Event::DeliverList(node, incarnation)
            | Event::NoticeStalledList(node, incarnation)
            | Event::MoveConnection(node, incarnation) => Some((*node, *incarnation)),
            Event::DeliverMessage { to, incarnation, .. } => Some((*to, *incarnation)),
            _ => None,
        };
        if let Some((node, incarnation)) = whose {
            let process = &mut self.processes[node];
            if process.incarnation != incarnation || process.fleet.is_none() {
                return;
            }
            if process.stopped {
                return process.held_events.push(event);
            }
        }
        let now = whose.map_or(Timestamp(0), |(node, _)| self.clock(node));
        match event {
            Event::Start(node, version) => self.start(node, version),
            Event::DeliverList(node, _) => self.deliver_list(node),
            Event::NoticeStalledList(node, _) => self.notice_stalled_list(node),
            Event::MoveConnection(node, _) => self.move_connection(node),
            Event::Tick(node, incarnation) => {
                self.update_connections(node);
                let node_status = self.node_status(node);
                if let Some(fleet) = &mut self.processes[node].fleet {
                    fleet.tick(now, node_status);
                }
                self.run_actions(node);
                self.schedule(100, Event::Tick(node, incarnation));
            }
            Event::DeliverMessage { to, from, sender, envelope, .. } => {
                if self.processes[from].incarnation != sender && self.processes[from].fleet.is_none() {
                    // The sending process has ended; its messages in transit may still arrive.
                }
                let name = self.processes[from].name.clone();
                if let Some(fleet) = &mut self.processes[to].fleet {
                    fleet.heard(now, &name, *envelope);
                }
                self.run_actions(to);
            }
            Event::BatchWritten(node, _, batch, writes) => {
                let process = &mut self.processes[node];
                if process.disk_failed {
                    return;
                }
                match &mut process.reported_disk {
                    Some(reported_disk) => reported_disk.apply(&writes),
                    None => process.disk.apply(&writes),
                }
                if let Some(fleet) = &mut process.fleet {
                    fleet.written(now, batch);
                }
                self.run_actions(node);
            }
            Event::StartServing(node, _) => {
                let process = &mut self.processes[node];
                (process.serving, process.drained, process.out, process.out_beyond_limits) =
                    (true, false, None, false);
                process.unavailable_since = None;
            }
            Event::Drained(node, _, lease) => {
                if self.processes[node].out == Some(lease) {
                    self.processes[node].drained = true;
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Request(node, id, command) => {
                let now = self.clock(node);
                self.log_line(|| format!("request at n{node}: {id} {command:?}"));
                if let Command::Drain { unit } | Command::Override { unit, .. } = &command {
                    self.requested_out.insert(unit.clone());
                }
                if matches!(command, Command::Resume | Command::RollBack) {
                    self.interrupted_release = None;
                }
                if let Some(fleet) = &mut self.processes[node].fleet {
                    fleet.ask(now, RequestId(id), command);
                }
                self.run_actions(node);
            }
        }
    }

    fn node_status(&mut self, node: usize) -> NodeStatus {
        let (now, fails_calls) =
            (self.now / NANOS_PER_MS, self.failing_versions.contains(&self.processes[node].version));
        let process = &self.processes[node];
        let calls = now / 20;
        NodeStatus {
            serving: process.serving && process.out.is_none(),
            draining: process.serving && process.out.is_some(),
            drained: process.drained,
            calls,
            failed: if fails_calls { calls / 4 } else { calls / 200 },
            busy: 0,
            waiting: 0,
            hosts_down: 0,
            holds: self.held_connections(node),
        }
    }

    fn start(&mut self, node: usize, version: String) {
        if self.processes[node].fleet.is_some() {
            return;
        }
        let incarnation = self.launch(node, version);
        self.schedule(500, Event::StartServing(node, incarnation));
    }

    /// Starts a process, which does not serve yet, and returns its incarnation.
    fn launch(&mut self, node: usize, version: String) -> Incarnation {
        self.incarnations_started += 1;
        let (incarnation, seed) = (Incarnation(self.incarnations_started), self.random_below(1 << 40));
        let small = self.processes.len() < 50;
        self.processes[node].clock =
            (self.random_below(20_000_000) * NANOS_PER_MS, 960 + self.random_below(81));
        let now = self.clock(node);
        let process = &mut self.processes[node];
        process.incarnation = incarnation;
        process.version = version;
        process.stopped = false;
        process.serving = false;
        process.drained = false;
        process.disk_failed = false;
        process.disk_write_ms = 2;
        process.reported_disk = None;
        process.held_events.clear();
        let setup = FleetConfig {
            name: process.name.clone(),
            policy: self.policy.clone(),
            incarnation,
            seed,
            version: process.version.clone(),
            saved: Some(process.disk.clone()),
            spoilt: false,
            // Schedules of small fleets are short but should cover many epochs.
            longest_log: if small { 40 } else { glendeck_fleet::LONGEST_LOG },
        };
        process.fleet = Some(Fleet::new(setup, now));
        self.reset_node_hosts(node);
        self.log_line(|| format!("n{node} starts, incarnation {}", incarnation.0));
        self.run_actions(node);
        for other in 0..self.processes.len() {
            if other != node {
                self.notify_link_up(node, other);
            }
        }
        self.schedule(node as u64 % 100, Event::Tick(node, incarnation));
        incarnation
    }

    fn notify_link_up(&mut self, a: usize, b: usize) {
        for (one, other) in [(a, b), (b, a)] {
            let now = self.clock(one);
            let name = self.processes[other].name.clone();
            if let Some(fleet) = self.processes[one].fleet.as_mut() {
                fleet.linked(now, &name);
                self.run_actions(one);
            }
        }
    }

    fn terminate(&mut self, node: usize) {
        let running = self.newest_state().and_then(|state| {
            let release =
                state.release.as_ref().filter(|release| release.release_state == ReleaseState::Running)?;
            let is_down = |voter_slot: &glendeck_fleet::state::VoterSlot| {
                let of = |process: &&Process| process.name == voter_slot.name;
                let begun = matches!(state.units[&voter_slot.name].unit_state, UnitState::Begun { .. });
                // A planned exit, after the drain has begun, does not interrupt the release, even if this is
                // the only voter.
                (voter_slot.name == self.processes[node].name && !begun)
                    || self.processes.iter().find(of).is_some_and(|process| process.fleet.is_none())
            };
            state.voter_slots.iter().all(is_down).then_some(release.number)
        });
        if running.is_some() {
            self.interrupted_release = running;
        }
        let process = &mut self.processes[node];
        process.fleet = None;
        process.stopped = false;
        process.serving = false;
        process.drained = false;
        process.reported_disk = None;
        process.held_events.clear();
        process.node_hosts.connections.fill(0);
        if process.out.is_none() {
            process.unavailable_since.get_or_insert(self.now);
        }
        for other in 0..self.processes.len() {
            self.stalled_messages.remove(&(node, other));
            self.stalled_messages.remove(&(other, node));
        }
    }

    /// Carries out the actions of a process.
    fn run_actions(&mut self, node: usize) {
        let incarnation = self.processes[node].incarnation;
        let Some(fleet) = self.processes[node].fleet.as_mut() else { return };
        let actions = fleet.take_actions();
        for action in actions {
            self.trace_action(node, &action);
            match action {
                Action::Send(to, envelope) => self.send(node, &to, *envelope),
                Action::Persist(batch, writes) => {
                    let ms = self.processes[node].disk_write_ms;
                    self.schedule(ms, Event::BatchWritten(node, incarnation, batch, writes));
                }
                Action::StartDrain { lease, cause } => self.go_out(node, lease, cause),
                Action::Resume => {
                    self.log_line(|| format!("n{node} takes clients again"));
                    let process = &mut self.processes[node];
                    (process.out, process.drained, process.serving, process.out_beyond_limits) =
                        (None, false, true, false);
                }
                Action::Exit { version } => {
                    self.log_line(|| format!("n{node} exits to be replaced by {version}"));
                    self.terminate(node);
                    let ms = 1_000 + self.random_below(2_000);
                    self.schedule(ms, Event::Start(node, version));
                    return;
                }
                Action::Reply(id, seen) => {
                    self.log_line(|| format!("n{node} answers {id:?}: {seen:?}"));
                    self.answers.insert(id, seen);
                }
                Action::AvoidHosts { hosts, every_ms } => self.avoid_hosts(node, &hosts, every_ms),
                Action::Log(text) => self.log_line(|| format!("n{node}: {text}")),
            }
        }
        self.check_state(node);
        self.check_hosts_empty(node);
    }

    /// Adds an action to the digest of the processes' actions: messages by their bytes, the rest by value.
    /// Log texts are left out, as they may change without a change of behaviour.
    fn trace_action(&mut self, node: usize, action: &Action) {
        let bytes = match action {
            Action::Send(to, envelope) => [to.0.as_bytes(), &envelope.encode()].concat(),
            Action::Persist(batch, writes) => postcard::to_stdvec(&(batch, writes)).unwrap(),
            Action::StartDrain { lease, cause } => postcard::to_stdvec(&(lease, cause)).unwrap(),
            Action::AvoidHosts { hosts, every_ms } => postcard::to_stdvec(&(hosts, every_ms)).unwrap(),
            Action::Exit { version } => version.clone().into_bytes(),
            Action::Reply(id, RequestResult::Answered(result)) => postcard::to_stdvec(&(id, result)).unwrap(),
            Action::Reply(id, RequestResult::Unknown) => postcard::to_stdvec(id).unwrap(),
            Action::Resume => vec![],
            Action::Log(_) => return,
        };
        let header = [self.trace, self.now, node as u64].map(u64::to_le_bytes).concat();
        self.trace = fnv(&[header, bytes].concat());
    }

    fn send(&mut self, from: usize, to: &UnitName, envelope: Envelope) {
        let Some(to) = to.0[1..].parse::<usize>().ok().filter(|to| *to < self.processes.len()) else {
            return;
        };
        self.messages_sent += 1;
        if let (true, Message::Consensus { consensus_message, .. }) = (self.verbose, &envelope.message)
            && !format!("{consensus_message:?}").starts_with("BLE")
        {
            let text = format!("{consensus_message:?}");
            self.log_line(|| format!("n{from} -> {to}: {}", &text[..text.len().min(420)]));
        }
        let link = self.links.get(&(from, to)).copied().unwrap_or(LinkState::Up);
        let (incarnation, sender) = (self.processes[to].incarnation, self.processes[from].incarnation);
        if self.processes[to].fleet.is_none() {
            return;
        }
        let envelope = Envelope::decode(&envelope.encode()).expect("an encoded envelope can be decoded");
        let event = Event::DeliverMessage { to, incarnation, from, sender, envelope: Box::new(envelope) };
        let mut retransmit_delay_ms = 0;
        let spared = self.lossless_voter_links && from.max(to) < self.policy.voters.len();
        while self.loss_per_thousand > 0 && !spared && self.random_below(1_000) < self.loss_per_thousand {
            if !self.retransmits {
                return;
            }
            retransmit_delay_ms = (2 * retransmit_delay_ms + 200).min(60_000);
        }
        let ms = match link {
            LinkState::Cut => return,
            LinkState::Stalled => return self.stalled_messages.entry((from, to)).or_default().push(event),
            LinkState::Slow => 200 + self.random_below(300),
            LinkState::Up => 1 + self.random_below(4) + retransmit_delay_ms,
        };
        // Messages of one link arrive in order.
        let due = (self.now / NANOS_PER_MS + ms).max(self.last_due_ms.get(&(from, to)).copied().unwrap_or(0));
        self.last_due_ms.insert((from, to), due);
        self.schedule(due - self.now / NANOS_PER_MS, event);
    }

    fn go_out(&mut self, node: usize, lease: Lease, cause: Cause) {
        self.log_line(|| format!("n{node} goes out under {lease:?} for {cause:?}"));
        let incarnation = self.processes[node].incarnation;
        self.processes[node].out = Some(lease);
        self.processes[node].out_beyond_limits = cause == Cause::Override;
        let ms = 500 + self.random_below(3_000);
        self.schedule(ms, Event::Drained(node, incarnation, lease));
        if cause == Cause::Drain && !self.requested_out.contains(&self.processes[node].name) {
            self.report_violation(format!("n{node} went out for a drain that no operator requested"));
        }
        if let Cause::Release(number) = cause {
            if self.lease_users.insert(lease, incarnation).is_some_and(|before| before != incarnation) {
                self.report_violation(format!(
                    "n{node} went out under lease {} that another process had used",
                    lease.0
                ));
            }
            if self.interrupted_release == Some(number) {
                self.report_violation(format!(
                    "n{node} went out for release {number}, interrupted when all voters were down"
                ));
            }
            if let Some(halted) = self.halted_since.get(&number).copied()
                && self.now > halted + HALT_HOLDS_MS * NANOS_PER_MS
            {
                let late = (self.now - halted) / NANOS_PER_MS;
                self.report_violation(format!(
                    "n{node} went out for release {number}, {late} ms after its halt"
                ));
            }
        }
        let out: BTreeSet<UnitName> = self
            .processes
            .iter()
            .filter(|process| process.out.is_some() && !process.out_beyond_limits)
            .map(|process| process.name.clone())
            .collect();
        self.most_out = self.most_out.max(out.len());
        self.check_limits(node, &out, "out");
    }

    fn check_limits(&mut self, node: usize, out: &BTreeSet<UnitName>, what: &str) {
        let policy = self.policy.clone();
        for Scope { name: scope, limit, members: units } in policy.scopes_of(&UnitName(format!("n{node}"))) {
            let (of, room) = (units.len() as u32, limit.room(units.len() as u32));
            let count = units.iter().filter(|name| out.contains(**name)).count();
            if count as u32 > room {
                self.report_violation(format!(
                    "{count} of {of} units in {scope} are {what}, at most {room} may be: {out:?}"
                ));
            }
        }
    }

    /// Checks that the same log gives the same state at every node (compared after every seventh entry), that
    /// nothing is granted or begun for a halted release, and that the limits on granted leases count lost
    /// units.
    #[expect(clippy::too_many_lines, reason = "all invariants of the fleet's state in one function")]
    fn check_state(&mut self, node: usize) {
        let Some(fleet) = self.processes[node].fleet.as_ref() else { return };
        let state = fleet.state();
        if state.policy.is_none() {
            return;
        }
        let applied = state.applied;
        if !self.state_hashes.contains_key(&applied) || applied.is_multiple_of(7) {
            let hash = fnv(&postcard::to_stdvec(state).unwrap());
            match self.state_hashes.insert(applied, hash) {
                Some(known) if known != hash => {
                    return self.report_violation(format!(
                        "the state after entry {applied} at n{node} differs from another node's"
                    ));
                }
                Some(_) => {}
                None => {
                    self.trace =
                        fnv(&[self.trace.to_le_bytes(), hash.to_le_bytes(), self.now.to_le_bytes()].concat());
                }
            }
        }
        let Some(fleet) = self.processes[node].fleet.as_ref() else { return };
        let state = fleet.state();
        if let Some(release) = &state.release {
            let late = state.units.iter().find(|(_, unit)| {
                let ours = Cause::Release(release.number);
                matches!(unit.unit_state, UnitState::Granted { cause, .. } if cause == ours)
                    && matches!(release.release_state, ReleaseState::Halted(_))
            });
            if let Some((name, _)) = late {
                let text = format!("{name} holds a granted lease of halted release {}", release.number);
                return self.report_violation(text);
            }
            let halted = matches!(release.release_state, ReleaseState::Halted(_)).then_some(release.number);
            let begun = |unit: &glendeck_fleet::state::Unit| match unit.unit_state {
                UnitState::Begun { nonce, cause: Cause::Release(_), .. } => Some(nonce),
                _ => None,
            };
            let begun: BTreeSet<Nonce> = state.units.values().filter_map(begun).collect();
            let (applied, before, had) = &self.last_seen;
            if halted.is_some() && *before == halted && state.applied == applied + 1 && !begun.is_subset(had)
            {
                return self.report_violation("a unit began its drain after its release was halted".into());
            }
            if state.applied > *applied {
                self.last_seen = (state.applied, halted, begun);
            }
            let Some(fleet) = self.processes[node].fleet.as_ref() else { return };
            let state = fleet.state();
            let Some(release) = &state.release else { return };
            match release.release_state {
                ReleaseState::Halted(_) => drop(self.halted_since.entry(release.number).or_insert(self.now)),
                ReleaseState::Running
                    if state.applied >= self.state_hashes.keys().next_back().copied().unwrap_or(0) =>
                {
                    self.halted_since.remove(&release.number);
                }
                _ => {}
            }
        }
        if state.next_lease > self.first_unchecked_lease {
            let first_unchecked = self.first_unchecked_lease;
            self.first_unchecked_lease = state.next_lease;
            let granted: Vec<(usize, Lease)> = state
                .units
                .iter()
                .filter_map(|(name, unit)| match unit.unit_state {
                    UnitState::Granted { lease, cause }
                        if lease.0 >= first_unchecked && cause != Cause::Override =>
                    {
                        Some((name.0[1..].parse().ok()?, lease))
                    }
                    _ => None,
                })
                .collect();
            // Units that are out, and units that have been unavailable for so long that the leader must know.
            let known = |process: &&Process| {
                process.out.is_some() && !process.out_beyond_limits
                    || process
                        .unavailable_since
                        .is_some_and(|since| self.now >= since + LOSS_KNOWN_MS * NANOS_PER_MS)
            };
            let out: BTreeSet<UnitName> =
                self.processes.iter().filter(known).map(|process| process.name.clone()).collect();
            for (node, lease) in granted {
                let mut with = out.clone();
                with.insert(UnitName(format!("n{node}")));
                self.check_limits(node, &with, &format!("out or lost when lease {} is granted", lease.0));
            }
        }
    }

    /// Whether this node's disk may lose data now: at most one voter's disk may at a time, as the fleet
    /// guarantees its invariants only when a minority of the voters loses data.
    fn may_lose_data(&self, node: usize) -> bool {
        let Some(state) = self.newest_state() else { return false };
        state.voter_slots.iter().all(|voter_slot| {
            let process = self.processes.iter().find(|process| process.name == voter_slot.name);
            process.is_some_and(|process| {
                let is_active = process
                    .fleet
                    .as_ref()
                    .is_some_and(|fleet| fleet.voter_status() == VoterStatus::Active(voter_slot.number));
                process.name == self.processes[node].name || is_active && process.reported_disk.is_none()
            })
        })
    }

    #[expect(clippy::too_many_lines, reason = "one match arm per kind of fault")]
    fn apply_fault(&mut self, fault: Fault) {
        let loses_data = match fault {
            Fault::RestoreDiskCopy(node) | Fault::EraseDisk(node) | Fault::DropSyncs(node) => Some(node),
            _ => None,
        };
        if loses_data.is_some_and(|node| !self.may_lose_data(node)) {
            return;
        }
        self.log_line(|| format!("fault {fault:?}"));
        match fault {
            Fault::Link(from, to, link) => {
                let before = self.links.insert((from, to), link).unwrap_or(LinkState::Up);
                if link == LinkState::Up {
                    for event in self.stalled_messages.remove(&(from, to)).unwrap_or_default() {
                        self.schedule(1, event);
                    }
                    if before == LinkState::Cut {
                        self.notify_link_up(from, to);
                    }
                }
            }
            Fault::Heal => {
                for (from, to) in self.links.keys().copied().collect::<Vec<_>>() {
                    self.apply_fault(Fault::Link(from, to, LinkState::Up));
                }
                for host in 0..self.hosts.hosts.len() {
                    self.set_listed(host, EndpointState::Ready);
                }
                for node in 0..self.processes.len() {
                    self.set_list_stalled(node, false);
                    self.apply_fault(Fault::Continue(node));
                    if self.processes[node]
                        .fleet
                        .as_ref()
                        .is_some_and(|fleet| fleet.voter_status() == VoterStatus::NoStore)
                    {
                        self.terminate(node);
                    }
                    self.processes[node].disk_write_ms = 2;
                    if self.processes[node].fleet.is_none() {
                        let version = self.processes[node].version.clone();
                        self.schedule(1, Event::Start(node, version));
                    }
                }
            }
            Fault::SetListed(host, listed) => self.set_listed(host, listed),
            Fault::StallList(node, is_stalled) => self.set_list_stalled(node, is_stalled),
            Fault::KillForGood(node) => self.terminate(node),
            Fault::Kill(node) => {
                self.terminate(node);
                let (ms, version) = (500 + self.random_below(6_000), self.processes[node].version.clone());
                self.schedule(ms, Event::Start(node, version));
            }
            Fault::Stop(node) => {
                let process = &mut self.processes[node];
                if process.fleet.is_some() {
                    process.stopped = true;
                    if process.out.is_none() {
                        process.unavailable_since.get_or_insert(self.now);
                    }
                }
            }
            Fault::Continue(node) => {
                if std::mem::take(&mut self.processes[node].stopped) {
                    if self.processes[node].serving {
                        self.processes[node].unavailable_since = None;
                    }
                    // The process receives all held events at once: in the order of their arrival, or with
                    // the ticks last.
                    let mut held_events = std::mem::take(&mut self.processes[node].held_events);
                    if self.random_below(2) == 0 {
                        held_events.sort_by_key(|event| matches!(event, Event::Tick(..)));
                    }
                    for event in held_events {
                        self.schedule(0, event);
                    }
                }
            }
            Fault::Trust(node) => {
                let now = self.clock(node);
                if let Some(fleet) = &mut self.processes[node].fleet {
                    fleet.trust(now);
                }
            }
            Fault::CopyDisk(node) => self.processes[node].disk_copy = self.processes[node].disk.clone(),
            Fault::RestoreDiskCopy(node) => {
                self.processes[node].disk = self.processes[node].disk_copy.clone();
                self.processes[node].disk_restored = true;
                self.apply_fault(Fault::Kill(node));
            }
            Fault::EraseDisk(node) => {
                self.processes[node].disk = StoredState::default();
                self.apply_fault(Fault::Kill(node));
            }
            Fault::DropSyncs(node) => {
                let disk = self.processes[node].disk.clone();
                self.processes[node].reported_disk.get_or_insert(disk);
            }
            Fault::DiskFails(node) => {
                self.processes[node].disk_failed = true;
                let now = self.clock(node);
                if let Some(fleet) = &mut self.processes[node].fleet {
                    fleet.disk_died(now, "sync failed");
                }
                self.run_actions(node);
            }
            Fault::DiskSlow(node, ms) => self.processes[node].disk_write_ms = ms,
        }
    }

    // Queries and controls for tests.

    pub(crate) fn fleet(&self, node: usize) -> Option<&Fleet> {
        self.processes[node].fleet.as_ref()
    }

    /// The state with the most entries applied.
    pub(crate) fn newest_state(&self) -> Option<&glendeck_fleet::state::State> {
        let fleets = self.processes.iter().filter_map(|process| process.fleet.as_ref());
        fleets.map(Fleet::state).max_by_key(|state| state.applied)
    }

    /// Runs until the condition holds, an invariant is violated or `most_ms` have passed; returns whether the
    /// condition holds.
    pub(crate) fn wait_for(&mut self, most_ms: u64, condition: impl Fn(&World) -> bool) -> bool {
        let until = self.now / NANOS_PER_MS + most_ms;
        while self.now / NANOS_PER_MS < until && self.violation.is_none() {
            if condition(self) {
                return true;
            }
            self.run_until(self.now / NANOS_PER_MS + 1);
        }
        condition(self)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now / NANOS_PER_MS
    }

    /// Sets all links to a node, from it, or both.
    pub(crate) fn set_links(&mut self, node: usize, inwards: bool, outwards: bool, state: LinkState) {
        for other in (0..self.processes.len()).filter(|other| *other != node) {
            if inwards {
                self.apply_fault(Fault::Link(other, node, state));
            }
            if outwards {
                self.apply_fault(Fault::Link(node, other, state));
            }
        }
    }

    pub(crate) fn apply_fault_now(&mut self, fault: Fault) {
        self.apply_fault(fault);
    }

    pub(crate) fn request_now(&mut self, node: usize, id: &str, command: Command) {
        self.handle_event(Event::Request(node, id.into(), command));
    }

    /// The state of a unit as this node knows it.
    pub(crate) fn unit_state(&self, node: usize, unit: usize) -> Option<UnitState> {
        let state = self.processes[node].fleet.as_ref()?.state();
        Some(state.units.get(&UnitName(format!("n{unit}")))?.unit_state.clone())
    }

    pub(crate) fn is_out(&self, node: usize) -> bool {
        self.processes[node].out.is_some()
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        self.processes
            .iter()
            .position(|process| !process.stopped && process.fleet.as_ref().is_some_and(Fleet::leads))
    }

    pub(crate) fn answer_to(&self, id: &str) -> Option<&RequestResult> {
        self.answers.get(&RequestId(id.into()))
    }

    pub(crate) fn is_done(&self, id: &str) -> bool {
        matches!(self.answer_to(id), Some(RequestResult::Answered(CommandResult::Done(_))))
    }

    pub(crate) fn versions(&self) -> Vec<&str> {
        self.processes.iter().map(|process| process.version.as_str()).collect()
    }

    pub(crate) fn count_out(&self) -> usize {
        self.processes.iter().filter(|process| process.out.is_some()).count()
    }
}

/// FNV-1a hash.
fn fnv(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}
