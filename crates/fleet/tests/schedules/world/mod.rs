//! A fleet in simulated time: processes with disks, links between them, faults by a seeded schedule, and a checker that
//! judges by what processes really did.

pub(crate) mod hosts;

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

const MS: u64 = 1_000_000;

/// How long a halt may take to hold: a begin counts for 2 s, and a tick is 0.1 s; by clocks that are slow by a 25th.
const HALT_HOLDS_MS: u64 = 2_260;

/// A loss is known to whoever grants after 5 s without a heartbeat; the last heartbeat may have been on its way.
const LOSS_KNOWN_MS: u64 = 7_500;

enum Event {
    Tick(usize, Incarnation),
    Arrive {
        to: usize,
        incarnation: Incarnation,
        from: usize,
        sender: Incarnation,
        envelope: Box<Envelope>,
    },
    Written(usize, Incarnation, u64, Vec<StoreWrite>),
    Served(usize, Incarnation),
    Drained(usize, Incarnation, Lease),
    Start(usize, String),
    List(usize, Incarnation),
    ListLost(usize, Incarnation),
    Ease(usize, Incarnation),
    Fault(Fault),
    /// An operator at this process.
    Order(usize, String, Command),
}

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Link(usize, usize, LinkState),
    Heal,
    Kill(usize),
    /// Killed, and nobody starts it again.
    Gone(usize),
    Stop(usize),
    Continue(usize),
    /// Killed, and started again with an older copy of its folder.
    OlderCopy(usize),
    /// Killed, and started again without its folder.
    NoFolder(usize),
    /// From here on its syncs say yes and forget.
    Lies(usize),
    DiskFails(usize),
    /// It takes this long, in ms, to write anything.
    DiskSlow(usize, u64),
    Copy(usize),
    /// An operator vouches for its disk.
    Trust(usize),
    /// What the list says of a host.
    Listed(usize, EndpointState),
    /// This node's list stands still, or is told again.
    ListStands(usize, bool),
}

/// How a link is, in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkState {
    Up,
    Cut,
    /// Messages wait until it is up again.
    Stalled,
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
    /// Out by lease: from going out until it, or its next process, takes clients again.
    out: Option<Lease>,
    beyond: bool,
    /// Since when it has been of no use, unplanned.
    gone: Option<u64>,
    disk: StoredState,
    /// Where its disk is by its own word, if that lies.
    lied: Option<StoredState>,
    copy: StoredState,
    disk_ms: u64,
    disk_dead: bool,
    held: Vec<Event>,
    unlucky: bool,
    side: hosts::Side,
    /// Its clock: what it showed at the world's beginning, and thousandths that it goes fast or slow by.
    clock: (u64, u64),
}

pub(crate) struct World {
    pub now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    procs: Vec<Process>,
    links: BTreeMap<(usize, usize), LinkState>,
    last: BTreeMap<(usize, usize), u64>,
    waiting: BTreeMap<(usize, usize), Vec<Event>>,
    chance: WyRand,
    policy: FleetPolicy,
    lives: u64,
    states: BTreeMap<u64, u64>,
    permits: u64,
    halted: BTreeMap<u64, u64>,
    went: BTreeMap<Lease, Incarnation>,
    /// Units that operators wanted out.
    wanted: BTreeSet<UnitName>,
    /// The last state seen: how far, which release it held halted, and what had begun.
    before: (u64, Option<u64>, BTreeSet<Nonce>),
    /// Running when all voters were down at once, and nobody has said that it may go on.
    interrupted: Option<u64>,
    /// Answers operators heard.
    pub answers: BTreeMap<RequestId, RequestResult>,
    pub broken: Option<String>,
    pub most_out: usize,
    pub sent: u64,
    pub trace: u64,
    /// Versions that serve badly.
    bad: BTreeSet<String>,
    pub log: Vec<String>,
    pub verbose: bool,
    pub hosts: hosts::Hosts,
    /// Of a thousand messages so many are lost.
    pub lost: u64,
    /// What is lost is sent again, as TCP does: after 0.2 s, then twice as long, with all that follows waiting behind it.
    pub sent_again: bool,
    /// Voters' links among each other lose nothing.
    pub spares_voters: bool,
}

pub(crate) fn policy(nodes: usize, voters: usize) -> FleetPolicy {
    let name = |at: usize| UnitName(format!("n{at}"));
    let place = |at: usize| Place {
        zone: format!("z{}", at % 3),
        cell: format!("c{}", at % 6),
        kind: if at.is_multiple_of(2) { "big".into() } else { "small".into() },
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
        units: (0..nodes).map(|at| (name(at), place(at))).collect(),
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
            seq: 0,
            queue: BinaryHeap::new(),
            events: vec![],
            free: vec![],
            procs: vec![],
            links: BTreeMap::new(),
            last: BTreeMap::new(),
            waiting: BTreeMap::new(),
            chance: WyRand::new_seed(seed),
            lives: 0,
            states: BTreeMap::new(),
            permits: 0,
            halted: BTreeMap::new(),
            went: BTreeMap::new(),
            interrupted: None,
            wanted: BTreeSet::new(),
            before: (0, None, BTreeSet::new()),
            answers: BTreeMap::new(),
            broken: None,
            most_out: 0,
            sent: 0,
            trace: 0,
            bad: BTreeSet::new(),
            log: vec![],
            verbose: false,
            hosts: hosts::Hosts::default(),
            lost: 0,
            sent_again: false,
            spares_voters: false,
            policy,
        };
        for at in 0..nodes {
            let process = Process {
                name: UnitName(format!("n{at}")),
                fleet: None,
                incarnation: Incarnation(0),
                version: "v1".into(),
                stopped: false,
                serving: false,
                drained: false,
                out: None,
                beyond: false,
                gone: None,
                disk: StoredState::default(),
                lied: None,
                copy: StoredState::default(),
                disk_ms: 2,
                disk_dead: false,
                held: vec![],
                unlucky: false,
                side: hosts::Side::default(),
                clock: (0, 1_000),
            };
            world.procs.push(process);
            world.at(at as u64, Event::Start(at, "v1".into()));
        }
        world
    }

    pub(crate) fn roll(&mut self, below: u64) -> u64 {
        self.chance.generate_range(0..below)
    }

    /// What a process's own clock shows. Clocks are apart by hours, and none goes right.
    fn clock(&self, at: usize) -> Timestamp {
        let (began, rate) = self.procs[at].clock;
        Timestamp(began + self.now / 1_000 * rate)
    }

    fn at(&mut self, ms: u64, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.seq += 1;
        self.queue.push(Reverse((self.now + ms * MS, self.seq, slot)));
    }

    pub(crate) fn fault(&mut self, at_ms: u64, fault: Fault) {
        self.at((at_ms * MS - self.now) / MS, Event::Fault(fault));
    }

    pub(crate) fn order(&mut self, at_ms: u64, process: usize, id: &str, command: Command) {
        self.at((at_ms * MS - self.now) / MS, Event::Order(process, id.into(), command));
    }

    pub(crate) fn serves_badly(&mut self, version: &str) {
        self.bad.insert(version.into());
    }

    fn say(&mut self, text: impl FnOnce() -> String) {
        if self.verbose {
            let line = format!("{:9.3} {}", self.now as f64 / 1e9, text());
            self.log.push(line);
        }
    }

    fn break_rule(&mut self, text: String) {
        if self.broken.is_none() {
            self.broken = Some(format!("at {:.3} s: {text}", self.now as f64 / 1e9));
        }
    }

    pub(crate) fn run_until(&mut self, ms: u64) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > ms * MS || self.broken.is_some() {
                break;
            }
            self.queue.pop();
            self.now = at;
            self.free.push(slot);
            if let Some(event) = self.events[slot].take() {
                self.happen(event);
            }
        }
        self.now = self.now.max(ms * MS);
    }

    #[expect(clippy::too_many_lines, reason = "one arm an event")]
    fn happen(&mut self, event: Event) {
        let whose = match &event {
            Event::Tick(at, incarnation)
            | Event::Written(at, incarnation, ..)
            | Event::Served(at, incarnation) => Some((*at, *incarnation)),
            Event::Drained(at, incarnation, _) => Some((*at, *incarnation)),
            Event::List(at, incarnation)
            | Event::ListLost(at, incarnation)
            | Event::Ease(at, incarnation) => Some((*at, *incarnation)),
            Event::Arrive { to, incarnation, .. } => Some((*to, *incarnation)),
            _ => None,
        };
        if let Some((at, incarnation)) = whose {
            let process = &mut self.procs[at];
            if process.incarnation != incarnation || process.fleet.is_none() {
                return;
            }
            if process.stopped {
                return process.held.push(event);
            }
        }
        let now = whose.map_or(Timestamp(0), |(at, _)| self.clock(at));
        match event {
            Event::Start(at, version) => self.start(at, version),
            Event::List(at, _) => self.list_came(at),
            Event::ListLost(at, _) => self.list_lost(at),
            Event::Ease(at, _) => self.ease(at),
            Event::Tick(at, incarnation) => {
                self.serve(at);
                let node_status = self.node_status(at);
                if let Some(fleet) = &mut self.procs[at].fleet {
                    fleet.tick(now, node_status);
                }
                self.act(at);
                self.at(100, Event::Tick(at, incarnation));
            }
            Event::Arrive { to, from, sender, envelope, .. } => {
                if self.procs[from].incarnation != sender && self.procs[from].fleet.is_none() {
                    // Its process has gone; what was on the way may still come.
                }
                let name = self.procs[from].name.clone();
                if let Some(fleet) = &mut self.procs[to].fleet {
                    fleet.heard(now, &name, *envelope);
                }
                self.act(to);
            }
            Event::Written(at, _, batch, writes) => {
                let process = &mut self.procs[at];
                if process.disk_dead {
                    return;
                }
                match &mut process.lied {
                    Some(lied) => lied.apply(&writes),
                    None => process.disk.apply(&writes),
                }
                if let Some(fleet) = &mut process.fleet {
                    fleet.written(now, batch);
                }
                self.act(at);
            }
            Event::Served(at, _) => {
                let process = &mut self.procs[at];
                (process.serving, process.drained, process.out, process.beyond) = (true, false, None, false);
                process.gone = None;
            }
            Event::Drained(at, _, lease) => {
                if self.procs[at].out == Some(lease) {
                    self.procs[at].drained = true;
                }
            }
            Event::Fault(fault) => self.strike(fault),
            Event::Order(at, id, command) => {
                let now = self.clock(at);
                self.say(|| format!("order at n{at}: {id} {command:?}"));
                if let Command::Drain { unit } | Command::Override { unit, .. } = &command {
                    self.wanted.insert(unit.clone());
                }
                if matches!(command, Command::Resume | Command::RollBack) {
                    self.interrupted = None;
                }
                if let Some(fleet) = &mut self.procs[at].fleet {
                    fleet.ask(now, RequestId(id), command);
                }
                self.act(at);
            }
        }
    }

    fn node_status(&mut self, at: usize) -> NodeStatus {
        let (now, bad) = (self.now / MS, self.bad.contains(&self.procs[at].version));
        let process = &self.procs[at];
        let calls = now / 20;
        NodeStatus {
            serving: process.serving && process.out.is_none(),
            drained: process.drained,
            calls,
            failed: if bad { calls / 4 } else { calls / 200 },
            busy: 0,
            waiting: 0,
            hosts_down: 0,
            holds: self.holds(at),
        }
    }

    fn start(&mut self, at: usize, version: String) {
        if self.procs[at].fleet.is_some() {
            return;
        }
        self.lives += 1;
        let (incarnation, seed) = (Incarnation(self.lives), self.roll(1 << 40));
        let small = self.procs.len() < 50;
        self.procs[at].clock = (self.roll(20_000_000) * MS, 960 + self.roll(81));
        let now = self.clock(at);
        let process = &mut self.procs[at];
        process.incarnation = incarnation;
        process.version = version;
        process.stopped = false;
        process.serving = false;
        process.drained = false;
        process.disk_dead = false;
        process.disk_ms = 2;
        process.lied = None;
        process.held.clear();
        let setup = FleetConfig {
            name: process.name.clone(),
            policy: self.policy.clone(),
            incarnation,
            seed,
            version: process.version.clone(),
            saved: Some(process.disk.clone()),
            spoilt: false,
            // Small fleets have short days, which are to see many epochs.
            longest_log: if small { 40 } else { glendeck_fleet::LONGEST_LOG },
        };
        process.fleet = Some(Fleet::new(setup, now));
        self.begin_side(at);
        self.say(|| format!("n{at} starts, life {}", incarnation.0));
        self.act(at);
        for other in 0..self.procs.len() {
            if other != at {
                self.relink(at, other);
            }
        }
        self.at(at as u64 % 100, Event::Tick(at, incarnation));
        self.at(500, Event::Served(at, incarnation));
    }

    fn relink(&mut self, a: usize, b: usize) {
        for (one, other) in [(a, b), (b, a)] {
            let now = self.clock(one);
            let name = self.procs[other].name.clone();
            if let Some(fleet) = self.procs[one].fleet.as_mut() {
                fleet.linked(now, &name);
                self.act(one);
            }
        }
    }

    fn end(&mut self, at: usize) {
        let running = self.newest().and_then(|state| {
            let release =
                state.release.as_ref().filter(|release| release.release_state == ReleaseState::Running)?;
            let is_left = |voter_slot: &glendeck_fleet::state::VoterSlot| {
                let of = |process: &&Process| process.name == voter_slot.name;
                let begun = matches!(state.units[&voter_slot.name].unit_state, UnitState::Begun { .. });
                // Its own leaving was planned, and it is the only voter.
                (voter_slot.name == self.procs[at].name && !begun)
                    || self.procs.iter().find(of).is_some_and(|process| process.fleet.is_none())
            };
            state.voter_slots.iter().all(is_left).then_some(release.number)
        });
        if running.is_some() {
            self.interrupted = running;
        }
        let process = &mut self.procs[at];
        process.fleet = None;
        process.stopped = false;
        process.serving = false;
        process.drained = false;
        process.lied = None;
        process.held.clear();
        process.side.conns.fill(0);
        if process.out.is_none() {
            process.gone.get_or_insert(self.now);
        }
        for other in 0..self.procs.len() {
            self.waiting.remove(&(at, other));
            self.waiting.remove(&(other, at));
        }
    }

    /// Carries out what a process wants done.
    fn act(&mut self, at: usize) {
        let incarnation = self.procs[at].incarnation;
        let Some(fleet) = self.procs[at].fleet.as_mut() else { return };
        let actions = fleet.take_actions();
        for action in actions {
            self.trace_action(at, &action);
            match action {
                Action::Send(to, envelope) => self.send(at, &to, *envelope),
                Action::Persist(batch, writes) => {
                    let ms = self.procs[at].disk_ms;
                    self.at(ms, Event::Written(at, incarnation, batch, writes));
                }
                Action::StartDrain { lease, cause } => self.goes_out(at, lease, cause),
                Action::Resume => {
                    self.say(|| format!("n{at} returns"));
                    let process = &mut self.procs[at];
                    (process.out, process.drained, process.serving, process.beyond) =
                        (None, false, true, false);
                }
                Action::Exit { version } => {
                    self.say(|| format!("n{at} leaves for {version}"));
                    self.end(at);
                    let ms = 1_000 + self.roll(2_000);
                    self.at(ms, Event::Start(at, version));
                    return;
                }
                Action::Reply(id, seen) => {
                    self.say(|| format!("n{at} answers {id:?}: {seen:?}"));
                    self.answers.insert(id, seen);
                }
                Action::AvoidHosts { hosts, every_ms } => self.keep_from(at, &hosts, every_ms),
                Action::Log(text) => self.say(|| format!("n{at}: {text}")),
            }
        }
        self.check_state(at);
        self.check_empty(at);
    }

    /// Takes an action into the digest of all that the processes did: what goes out by its bytes, the rest by value.
    /// Log texts are left out, as they may change without a change of behaviour.
    fn trace_action(&mut self, at: usize, action: &Action) {
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
        let header = [self.trace, self.now, at as u64].map(u64::to_le_bytes).concat();
        self.trace = fnv(&[header, bytes].concat());
    }

    fn send(&mut self, from: usize, to: &UnitName, envelope: Envelope) {
        let Some(to) = to.0[1..].parse::<usize>().ok().filter(|to| *to < self.procs.len()) else { return };
        self.sent += 1;
        if let (true, Message::Consensus { consensus_message, .. }) = (self.verbose, &envelope.message)
            && !format!("{consensus_message:?}").starts_with("BLE")
        {
            let text = format!("{consensus_message:?}");
            self.say(|| format!("n{from} -> {to}: {}", &text[..text.len().min(420)]));
        }
        let link = self.links.get(&(from, to)).copied().unwrap_or(LinkState::Up);
        let (incarnation, sender) = (self.procs[to].incarnation, self.procs[from].incarnation);
        if self.procs[to].fleet.is_none() {
            return;
        }
        let envelope = Envelope::decode(&envelope.encode()).expect("what is said can be read");
        let event = Event::Arrive { to, incarnation, from, sender, envelope: Box::new(envelope) };
        let mut again = 0;
        let spared = self.spares_voters && from.max(to) < self.policy.voters.len();
        while self.lost > 0 && !spared && self.roll(1_000) < self.lost {
            if !self.sent_again {
                return;
            }
            again = (2 * again + 200).min(60_000);
        }
        let ms = match link {
            LinkState::Cut => return,
            LinkState::Stalled => return self.waiting.entry((from, to)).or_default().push(event),
            LinkState::Slow => 200 + self.roll(300),
            LinkState::Up => 1 + self.roll(4) + again,
        };
        // What goes over one link keeps its order.
        let due = (self.now / MS + ms).max(self.last.get(&(from, to)).copied().unwrap_or(0));
        self.last.insert((from, to), due);
        self.at(due - self.now / MS, event);
    }

    fn goes_out(&mut self, at: usize, lease: Lease, cause: Cause) {
        self.say(|| format!("n{at} goes out by {lease:?} for {cause:?}"));
        let incarnation = self.procs[at].incarnation;
        self.procs[at].out = Some(lease);
        self.procs[at].beyond = cause == Cause::Override;
        let ms = 500 + self.roll(3_000);
        self.at(ms, Event::Drained(at, incarnation, lease));
        if cause == Cause::Drain && !self.wanted.contains(&self.procs[at].name) {
            self.break_rule(format!("n{at} went out as drained, and no operator had asked"));
        }
        if let Cause::Release(number) = cause {
            if self.went.insert(lease, incarnation).is_some_and(|before| before != incarnation) {
                self.break_rule(format!("n{at} went out by permit {} that another process used", lease.0));
            }
            if self.interrupted == Some(number) {
                self.break_rule(format!("n{at} went out for release {number} after all voters were lost"));
            }
            if let Some(halted) = self.halted.get(&number).copied()
                && self.now > halted + HALT_HOLDS_MS * MS
            {
                let late = (self.now - halted) / MS;
                self.break_rule(format!("n{at} went out for release {number}, {late} ms after its halt"));
            }
        }
        let out: BTreeSet<UnitName> = self
            .procs
            .iter()
            .filter(|process| process.out.is_some() && !process.beyond)
            .map(|process| process.name.clone())
            .collect();
        self.most_out = self.most_out.max(out.len());
        self.check_room(at, &out, "really out");
    }

    fn check_room(&mut self, at: usize, out: &BTreeSet<UnitName>, what: &str) {
        let policy = self.policy.clone();
        for Scope { name: scope, limit, members: units } in policy.scopes_of(&UnitName(format!("n{at}"))) {
            let (of, room) = (units.len() as u32, limit.room(units.len() as u32));
            let count = units.iter().filter(|name| out.contains(**name)).count();
            if count as u32 > room {
                self.break_rule(format!(
                    "{count} of {of} units in {scope} are {what}, {room} may be: {out:?}"
                ));
            }
        }
    }

    /// The same log gives the same state everywhere, and what is granted counts what is lost.
    #[expect(clippy::too_many_lines, reason = "all invariants of one look at the fleet")]
    fn check_state(&mut self, at: usize) {
        let Some(fleet) = self.procs[at].fleet.as_ref() else { return };
        let state = fleet.state();
        if state.policy.is_none() {
            return;
        }
        let applied = state.applied;
        if !self.states.contains_key(&applied) || applied.is_multiple_of(7) {
            let hash = fnv(&postcard::to_stdvec(state).unwrap());
            match self.states.insert(applied, hash) {
                Some(known) if known != hash => {
                    return self.break_rule(format!("two states after entry {applied}, one at n{at}"));
                }
                Some(_) => {}
                None => {
                    self.trace =
                        fnv(&[self.trace.to_le_bytes(), hash.to_le_bytes(), self.now.to_le_bytes()].concat());
                }
            }
        }
        let Some(fleet) = self.procs[at].fleet.as_ref() else { return };
        let state = fleet.state();
        if let Some(release) = &state.release {
            let late = state.units.iter().find(|(_, unit)| {
                let ours = Cause::Release(release.number);
                matches!(unit.unit_state, UnitState::Granted { cause, .. } if cause == ours)
                    && matches!(release.release_state, ReleaseState::Halted(_))
            });
            if let Some((name, _)) = late {
                let text = format!("{name} has a grant of the halted release {}", release.number);
                return self.break_rule(text);
            }
            let halted = matches!(release.release_state, ReleaseState::Halted(_)).then_some(release.number);
            let begun = |unit: &glendeck_fleet::state::Unit| match unit.unit_state {
                UnitState::Begun { nonce, cause: Cause::Release(_), .. } => Some(nonce),
                _ => None,
            };
            let begun: BTreeSet<Nonce> = state.units.values().filter_map(begun).collect();
            let (applied, before, had) = &self.before;
            if halted.is_some() && *before == halted && state.applied == applied + 1 && !begun.is_subset(had)
            {
                return self.break_rule("a unit began after its release had been halted".into());
            }
            if state.applied > *applied {
                self.before = (state.applied, halted, begun);
            }
            let Some(fleet) = self.procs[at].fleet.as_ref() else { return };
            let state = fleet.state();
            let Some(release) = &state.release else { return };
            match release.release_state {
                ReleaseState::Halted(_) => drop(self.halted.entry(release.number).or_insert(self.now)),
                ReleaseState::Running
                    if state.applied >= self.states.keys().next_back().copied().unwrap_or(0) =>
                {
                    self.halted.remove(&release.number);
                }
                _ => {}
            }
        }
        if state.next_lease > self.permits {
            let fresh = self.permits;
            self.permits = state.next_lease;
            let granted: Vec<(usize, Lease)> = state
                .units
                .iter()
                .filter_map(|(name, unit)| match unit.unit_state {
                    UnitState::Granted { lease, cause } if lease.0 >= fresh && cause != Cause::Override => {
                        Some((name.0[1..].parse().ok()?, lease))
                    }
                    _ => None,
                })
                .collect();
            // Units of no use for so long that whoever grants must know of it, and those that are out.
            let known = |process: &&Process| {
                process.out.is_some() && !process.beyond
                    || process.gone.is_some_and(|since| self.now >= since + LOSS_KNOWN_MS * MS)
            };
            let out: BTreeSet<UnitName> =
                self.procs.iter().filter(known).map(|process| process.name.clone()).collect();
            for (at, lease) in granted {
                let mut with = out.clone();
                with.insert(UnitName(format!("n{at}")));
                self.check_room(at, &with, &format!("out or lost with permit {}", lease.0));
            }
        }
    }

    /// No more than one voter's disk is forgetful at a time: what the note promises is promised for a minority.
    fn may_forget(&self, at: usize) -> bool {
        let Some(state) = self.newest() else { return false };
        state.voter_slots.iter().all(|voter_slot| {
            let process = self.procs.iter().find(|process| process.name == voter_slot.name);
            process.is_some_and(|process| {
                let sits = process
                    .fleet
                    .as_ref()
                    .is_some_and(|fleet| fleet.voter_status() == VoterStatus::Active(voter_slot.number));
                process.name == self.procs[at].name || sits && process.lied.is_none()
            })
        })
    }

    #[expect(clippy::too_many_lines, reason = "one arm a kind of fault")]
    fn strike(&mut self, fault: Fault) {
        let forgets = match fault {
            Fault::OlderCopy(at) | Fault::NoFolder(at) | Fault::Lies(at) => Some(at),
            _ => None,
        };
        if forgets.is_some_and(|at| !self.may_forget(at)) {
            return;
        }
        self.say(|| format!("fault {fault:?}"));
        match fault {
            Fault::Link(from, to, link) => {
                let before = self.links.insert((from, to), link).unwrap_or(LinkState::Up);
                if link == LinkState::Up {
                    for event in self.waiting.remove(&(from, to)).unwrap_or_default() {
                        self.at(1, event);
                    }
                    if before == LinkState::Cut {
                        self.relink(from, to);
                    }
                }
            }
            Fault::Heal => {
                for (from, to) in self.links.keys().copied().collect::<Vec<_>>() {
                    self.strike(Fault::Link(from, to, LinkState::Up));
                }
                for host in 0..self.hosts.hosts.len() {
                    self.list_says(host, EndpointState::Ready);
                }
                for at in 0..self.procs.len() {
                    self.list_stands(at, false);
                    self.strike(Fault::Continue(at));
                    if self.procs[at]
                        .fleet
                        .as_ref()
                        .is_some_and(|fleet| fleet.voter_status() == VoterStatus::NoStore)
                    {
                        self.end(at);
                    }
                    self.procs[at].disk_ms = 2;
                    if self.procs[at].fleet.is_none() {
                        let version = self.procs[at].version.clone();
                        self.at(1, Event::Start(at, version));
                    }
                }
            }
            Fault::Listed(host, listed) => self.list_says(host, listed),
            Fault::ListStands(at, stands) => self.list_stands(at, stands),
            Fault::Gone(at) => self.end(at),
            Fault::Kill(at) => {
                self.end(at);
                let (ms, version) = (500 + self.roll(6_000), self.procs[at].version.clone());
                self.at(ms, Event::Start(at, version));
            }
            Fault::Stop(at) => {
                let process = &mut self.procs[at];
                if process.fleet.is_some() {
                    process.stopped = true;
                    if process.out.is_none() {
                        process.gone.get_or_insert(self.now);
                    }
                }
            }
            Fault::Continue(at) => {
                if std::mem::take(&mut self.procs[at].stopped) {
                    if self.procs[at].serving {
                        self.procs[at].gone = None;
                    }
                    // It finds all that came meanwhile at once, and may look at the clock first or at its sockets.
                    let mut held = std::mem::take(&mut self.procs[at].held);
                    if self.roll(2) == 0 {
                        held.sort_by_key(|event| matches!(event, Event::Tick(..)));
                    }
                    for event in held {
                        self.at(0, event);
                    }
                }
            }
            Fault::Trust(at) => {
                let now = self.clock(at);
                if let Some(fleet) = &mut self.procs[at].fleet {
                    fleet.trust(now);
                }
            }
            Fault::Copy(at) => self.procs[at].copy = self.procs[at].disk.clone(),
            Fault::OlderCopy(at) => {
                self.procs[at].disk = self.procs[at].copy.clone();
                self.procs[at].unlucky = true;
                self.strike(Fault::Kill(at));
            }
            Fault::NoFolder(at) => {
                self.procs[at].disk = StoredState::default();
                self.strike(Fault::Kill(at));
            }
            Fault::Lies(at) => {
                let disk = self.procs[at].disk.clone();
                self.procs[at].lied.get_or_insert(disk);
            }
            Fault::DiskFails(at) => {
                self.procs[at].disk_dead = true;
                let now = self.clock(at);
                if let Some(fleet) = &mut self.procs[at].fleet {
                    fleet.disk_died(now, "sync failed");
                }
                self.act(at);
            }
            Fault::DiskSlow(at, ms) => self.procs[at].disk_ms = ms,
        }
    }

    // What tests ask.

    pub(crate) fn fleet(&self, at: usize) -> Option<&Fleet> {
        self.procs[at].fleet.as_ref()
    }

    /// The state that goes furthest.
    pub(crate) fn newest(&self) -> Option<&glendeck_fleet::state::State> {
        let fleets = self.procs.iter().filter_map(|process| process.fleet.as_ref());
        fleets.map(Fleet::state).max_by_key(|state| state.applied)
    }

    /// Runs on until something holds, for so long at most.
    pub(crate) fn run_to(&mut self, most_ms: u64, holds: impl Fn(&World) -> bool) -> bool {
        let until = self.now / MS + most_ms;
        while self.now / MS < until && self.broken.is_none() {
            if holds(self) {
                return true;
            }
            self.run_until(self.now / MS + 1);
        }
        holds(self)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now / MS
    }

    /// All links to it, from it, or both.
    pub(crate) fn around(&mut self, at: usize, inwards: bool, outwards: bool, state: LinkState) {
        for other in (0..self.procs.len()).filter(|other| *other != at) {
            if inwards {
                self.strike(Fault::Link(other, at, state));
            }
            if outwards {
                self.strike(Fault::Link(at, other, state));
            }
        }
    }

    pub(crate) fn strike_now(&mut self, fault: Fault) {
        self.strike(fault);
    }

    pub(crate) fn order_now(&mut self, at: usize, id: &str, command: Command) {
        self.happen(Event::Order(at, id.into(), command));
    }

    /// How this process knows a unit to stand.
    pub(crate) fn unit_state(&self, at: usize, unit: usize) -> Option<UnitState> {
        let state = self.procs[at].fleet.as_ref()?.state();
        Some(state.units.get(&UnitName(format!("n{unit}")))?.unit_state.clone())
    }

    pub(crate) fn is_out(&self, at: usize) -> bool {
        self.procs[at].out.is_some()
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        self.procs
            .iter()
            .position(|process| !process.stopped && process.fleet.as_ref().is_some_and(Fleet::leads))
    }

    pub(crate) fn answered(&self, id: &str) -> Option<&RequestResult> {
        self.answers.get(&RequestId(id.into()))
    }

    pub(crate) fn done(&self, id: &str) -> bool {
        matches!(self.answered(id), Some(RequestResult::Answered(CommandResult::Done(_))))
    }

    pub(crate) fn versions(&self) -> Vec<&str> {
        self.procs.iter().map(|process| process.version.as_str()).collect()
    }

    pub(crate) fn really_out(&self) -> usize {
        self.procs.iter().filter(|process| process.out.is_some()).count()
    }
}

fn fnv(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}
