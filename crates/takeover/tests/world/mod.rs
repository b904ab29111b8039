//! Nodes, hosts and clients in simulated time, and the guarantees that are checked: no work runs twice, and every call has
//! its answer in time.

mod clients;
mod day;
mod hosts;
mod nodes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{PriorAttempt, ReplicaMessage, Takeover};
use nanorand::{Rng, WyRand};

pub(crate) use day::Day;
use day::{Fault, Link};

const NODES: usize = 5;
const VOTERS: usize = 3;
const HOSTS: u64 = 4;
const WORKS: usize = 70;
/// Hosts of one cell recognise a key for so long.
const KEY_WINDOW_MS: u64 = 3_000;
const RETENTION_MS: u64 = 8_000;
const CALL_TIMEOUT_MS: u64 = 2_000;
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;
/// The fleet declares a node lost, or back, after so long.
const LOST_AFTER_MS: u64 = 5_000;
const LEADER_CONTACT_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Idempotency {
    NonIdempotent,
    Keyed,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    /// A client comes to a node with this work, and how often it has come before.
    ClientArrives(usize, usize, u32),
    MessageArrives(usize, u64, usize, ReplicaMessage),
    /// A node reads a client's request, or notices that the client has gone.
    RequestRead(usize, u64, u64),
    ClientClosed(usize, u64, u64),
    /// An attempt of a node's call reaches its host.
    AttemptArrives(usize, u64, u64, u32, u64),
    HostReplied(usize, u64, u64, u32, HostReply),
    AttemptDeadline(usize, u64, u64, u32),
    /// A client has its answer; none if the connection broke.
    ClientAnswered(usize, u32, Option<ClientAnswer>),
    ClientGivesUp(usize, u32),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HostReply {
    Established,
    Rejected,
    Error,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientAnswer {
    Established,
    Rejected,
    Failed,
}

struct InFlightCall {
    work: usize,
    time: u32,
    deadline_at: u64,
    attempts: u32,
    before: Option<PriorAttempt>,
    ran: Option<PriorAttempt>,
    /// The host of the attempt that is to go or is out; whether it is out.
    out: Option<(u64, bool)>,
}

struct Node {
    takeover: Option<Takeover>,
    incarnation: u64,
    stopped: bool,
    held: Vec<Event>,
    calls: BTreeMap<u64, InFlightCall>,
    next: u64,
    connected: u64,
    apart: u64,
    lost: bool,
    term: u64,
    /// What it showed at the world's beginning, and thousandths that it goes by.
    clock: (u64, u64),
    left: Option<glendeck_takeover::ReplicaHandover>,
}

struct Work {
    idempotency: Idempotency,
    /// What hosts did for it: when, and in which cell.
    ran: Vec<(u64, u64)>,
    times: u32,
    /// When its client first heard an end, or gave up.
    first_end: Option<u64>,
    /// Its comings that have not ended: at which node.
    open: BTreeMap<u32, usize>,
    done: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub up: u64,
    pub busy: u64,
    pub released: u64,
    pub broke: u64,
    /// Repeats that met a record, that met another at the same moment, and that were placed after a record.
    pub over: u64,
    pub raced: u64,
    pub placed_again: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, of: &Totals) {
        self.up += of.up;
        self.busy += of.busy;
        self.released += of.released;
        self.broke += of.broke;
        self.over += of.over;
        self.raced += of.raced;
        self.placed_again += of.placed_again;
    }
}

pub(crate) struct World {
    /// The percentage of messages with a flipped bit, and whether checksums show that.
    pub damaged: (u64, bool),
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    chance: WyRand,
    day: Day,
    nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    works: Vec<Work>,
    pub totals: Totals,
    pub violation: Option<String>,
    pub verbose: bool,
    pub log_lines: Vec<String>,
}

fn name(at: usize) -> UnitName {
    UnitName(format!("n{at}"))
}

impl World {
    pub(crate) fn new(seed: u64, day: Day) -> World {
        let mut world = World {
            damaged: (0, true),
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            chance: WyRand::new_seed(seed),
            day,
            nodes: Vec::new(),
            links: BTreeMap::new(),
            works: Vec::new(),
            totals: Totals::default(),
            violation: None,
            verbose: false,
            log_lines: Vec::new(),
        };
        for at in 0..NODES {
            world.nodes.push(Node {
                takeover: None,
                incarnation: 0,
                stopped: false,
                held: vec![],
                calls: BTreeMap::new(),
                next: 0,
                connected: 0,
                apart: 0,
                lost: false,
                term: 0,
                clock: (0, 1_000),
                left: None,
            });
            world.start(at);
        }
        world.schedule(0, Event::Tick);
        for (at, fault) in std::mem::take(&mut world.day.faults) {
            world.schedule(at, Event::Fault(fault));
        }
        for work in 0..WORKS {
            let idempotency =
                if world.roll(2) == 0 { Idempotency::NonIdempotent } else { Idempotency::Keyed };
            world.works.push(Work {
                idempotency,
                ran: vec![],
                times: 0,
                first_end: None,
                open: BTreeMap::new(),
                done: false,
            });
            // Early ones come before replicas that have just begun answer for repeats.
            let (at, node) = match world.day.crowd {
                Some((node, from, to)) => (from + world.roll(to - from), node),
                None => (1_000 + world.roll(32_000), world.roll(NODES as u64) as usize),
            };
            world.schedule(at, Event::ClientArrives(node, work, 0));
        }
        world
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.chance.generate_range(0..below)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + delay_ms, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn log(&mut self, text: impl FnOnce() -> String) {
        if self.verbose {
            self.log_lines.push(format!("{:7.3} {}", self.now as f64 / 1e3, text()));
        }
    }

    fn report_violation(&mut self, text: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {:.3} s: {text}", self.now as f64 / 1e3));
        }
    }

    pub(crate) fn run(&mut self) {
        self.idle(45_000);
    }

    pub(crate) fn idle(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > until || self.violation.is_some() {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&seq) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    pub(crate) fn record_count(&self) -> usize {
        self.nodes
            .iter()
            .filter_map(|node| node.takeover.as_ref())
            .map(|of| of.replica().record_count())
            .sum()
    }

    /// What a node's own clock shows. Clocks are apart by hours, and none goes right.
    fn timestamp(&self, at: usize) -> Timestamp {
        self.then(at, self.now)
    }

    fn then(&self, at: usize, ms: u64) -> Timestamp {
        let (began, rate) = self.nodes[at].clock;
        Timestamp(began + ms * rate * 1_000)
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].takeover.is_some() {
            return;
        }
        let seed = self.roll(1 << 40);
        self.nodes[at].clock = ((90_000_000 + self.roll(20_000_000)) * 1_000_000, 985 + self.roll(31));
        let timestamp = self.timestamp(at);
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        let incarnation = Incarnation(node.incarnation * 10 + at as u64);
        let mut takeover = Takeover::new(timestamp, name(at), incarnation, seed, RETENTION_MS, 3_000);
        if let Some(left) = node.left.take() {
            takeover.restore(timestamp, left);
        }
        node.takeover = Some(takeover);
        (node.stopped, node.held) = (false, vec![]);
        // What it knows of the group is as old as can be until it hears of it.
        self.log(|| format!("n{at} starts"));
    }

    fn link(&self, from: usize, to: usize) -> Link {
        self.links.get(&(from, to)).copied().unwrap_or(Link::Up)
    }

    fn runs(&self, at: usize) -> bool {
        self.nodes[at].takeover.is_some() && !self.nodes[at].stopped
    }

    /// The group: who has a way to and fro to most seats, whose holders have one to each other.
    fn update_membership(&mut self) {
        let both = |one: usize, other: usize| {
            one == other || (self.link(one, other) != Link::Cut && self.link(other, one) != Link::Cut)
        };
        let lead = (0..VOTERS).find(|at| {
            self.runs(*at) && (0..VOTERS).filter(|of| self.runs(*of) && both(*at, *of)).count() * 2 > VOTERS
        });
        let log_position: Vec<bool> =
            (0..NODES).map(|at| lead.is_some_and(|lead| self.runs(at) && both(at, lead))).collect();
        for (at, reaches) in log_position.iter().copied().enumerate() {
            let now = self.now;
            let node = &mut self.nodes[at];
            if lead.is_some() && !reaches {
                if !node.lost && now >= node.connected + LOST_AFTER_MS {
                    (node.lost, node.term) = (true, node.term + 1);
                }
                node.apart = now;
            } else if reaches {
                if node.lost && now >= node.apart + LOST_AFTER_MS {
                    node.lost = false;
                }
                node.connected = now;
            }
        }
        let terms: BTreeMap<UnitName, u64> = (0..NODES).map(|at| (name(at), self.nodes[at].term)).collect();
        for (at, reaches) in log_position.into_iter().enumerate() {
            let timestamp = self.timestamp(at);
            let hears = self.now < self.nodes[at].connected + LEADER_CONTACT_MS;
            if !self.runs(at) {
                continue;
            }
            let node = &mut self.nodes[at];
            let Some(takeover) = &mut node.takeover else { continue };
            let mut view = takeover.view().clone();
            view.hears_leader = hears;
            if reaches {
                view.voter_slots = (0..VOTERS).map(name).collect();
                view.terms = terms.clone();
            }
            takeover.membership_changed(timestamp, view);
            takeover.tick(timestamp);
            self.carry_out(at);
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm an event")]
    fn handle(&mut self, event: Event) {
        let whose = match &event {
            Event::MessageArrives(to, incarnation, ..) => Some((*to, *incarnation)),
            Event::HostReplied(at, incarnation, ..) | Event::AttemptDeadline(at, incarnation, ..) => {
                Some((*at, *incarnation))
            }
            Event::RequestRead(at, incarnation, _) | Event::ClientClosed(at, incarnation, _) => {
                Some((*at, *incarnation))
            }
            _ => None,
        };
        if let Some((at, incarnation)) = whose {
            let node = &mut self.nodes[at];
            if node.incarnation != incarnation || node.takeover.is_none() {
                return;
            }
            if node.stopped {
                return node.held.push(event);
            }
        }
        match event {
            Event::Tick => {
                self.update_membership();
                self.check_parked();
                self.schedule(100, Event::Tick);
            }
            Event::ClientArrives(node, work, time) => self.client_arrives(node, work, time),
            Event::MessageArrives(to, _, from, message) => {
                let timestamp = self.timestamp(to);
                if let Some(takeover) = &mut self.nodes[to].takeover {
                    takeover.message_received(timestamp, &name(from), message);
                }
                self.carry_out(to);
            }
            Event::RequestRead(node, _, call) => self.read_request(node, call),
            Event::ClientClosed(node, _, call) => self.end(node, call),
            Event::AttemptArrives(node, incarnation, call, attempt, host) => {
                self.attempt_arrives(node, incarnation, call, attempt, host)
            }
            Event::HostReplied(at, _, call, attempt, reply) => self.host_replied(at, call, attempt, reply),
            Event::AttemptDeadline(at, _, call, attempt) => {
                let timestamp = self.timestamp(at);
                let Some(held) = self.nodes[at].calls.get_mut(&call) else { return };
                if held.attempts == attempt
                    && let Some((host, true)) = held.out
                {
                    held.out = None;
                    held.ran.get_or_insert(PriorAttempt {
                        host,
                        sent_at: timestamp_before(timestamp, ATTEMPT_TIMEOUT_MS),
                    });
                    self.place(at, call);
                }
            }
            Event::ClientAnswered(work, time, answer) => self.client_answered(work, time, answer),
            Event::ClientGivesUp(work, time) => {
                if let Some(node) = self.works[work].open.remove(&time) {
                    self.totals.broke += 1;
                    self.client_leaves(node, work, time);
                    self.schedule_repeat(work);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        self.log(|| format!("fault {fault:?}"));
        match fault {
            Fault::Kill(at) => {
                if self.nodes[at].takeover.take().is_none() {
                    return;
                }
                let calls = std::mem::take(&mut self.nodes[at].calls);
                self.nodes[at].held.clear();
                for held in calls.into_values() {
                    let ms = 1 + self.roll(40);
                    self.schedule(ms, Event::ClientAnswered(held.work, held.time, None));
                }
            }
            Fault::Leave(at) => {
                if !self.runs(at) {
                    return;
                }
                let timestamp = self.timestamp(at);
                let calls: Vec<u64> = self.nodes[at].calls.keys().copied().collect();
                for call in calls {
                    let Some(held) = self.nodes[at].calls.get(&call) else { continue };
                    let ran = held.out.is_some() || held.ran.is_some() || held.before.is_some();
                    self.answer(at, call, if ran { ClientAnswer::Failed } else { ClientAnswer::Rejected });
                }
                let left = self.nodes[at].takeover.as_mut().map(|takeover| takeover.hand_over(timestamp));
                self.nodes[at].left = left;
                self.apply_fault(Fault::Kill(at));
            }
            Fault::Start(at) => self.start(at),
            Fault::Stop(at) => self.nodes[at].stopped = self.nodes[at].takeover.is_some(),
            Fault::Continue(at) => {
                if std::mem::take(&mut self.nodes[at].stopped) {
                    for event in std::mem::take(&mut self.nodes[at].held) {
                        self.schedule(0, event);
                    }
                }
            }
            Fault::Link(from, to, link) => drop(self.links.insert((from, to), link)),
        }
    }

    /// A call that a running node has is answered in its time.
    fn check_parked(&mut self) {
        for at in 0..NODES {
            if !self.runs(at) {
                continue;
            }
            let late = |held: &&InFlightCall| {
                self.now > held.deadline_at + 150 && held.out.is_none_or(|(_, out)| !out)
            };
            let parked = self.nodes[at].calls.values().find(late);
            if let Some(held) = parked.filter(|held| self.works[held.work].open.contains_key(&held.time)) {
                let text = format!("w{} is parked at n{at}", held.work);
                return self.report_violation(text);
            }
        }
    }
}

fn timestamp_before(timestamp: Timestamp, ms: u64) -> Timestamp {
    Timestamp(timestamp.0.saturating_sub(ms * 1_000_000))
}
