//! Nodes, hosts and clients in simulated time, and what is held against them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{Action, Attempt, Outcome, PriorAttempt, ReplicaMessage, Takeover, WorkId};
use nanorand::{Rng, WyRand};

const NODES: usize = 5;
const SEATS: usize = 3;
const HOSTS: u64 = 4;
const WORKS: usize = 70;
/// Hosts of one cell recall a reference for so long.
const WINDOW: u64 = 3_000;
const RECALL: u64 = 8_000;
const GUARD: u64 = 2_000;
const LEG: u64 = 1_000;
/// The group calls a node lost, or hears it again, after so long.
const LOST: u64 = 5_000;
const HEARS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Idempotency {
    NonIdempotent,
    Keyed,
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    /// A client comes to a node with this work, for the so-manieth time.
    Come(usize, usize, u32),
    ReplicaMessage(usize, u64, usize, ReplicaMessage),
    /// A node reads what has come of a client: its line, or its end.
    Read(usize, u64, u64),
    ReplicaHandover(usize, u64, u64),
    /// An attempt of a node's call reaches its host.
    AtHost(usize, u64, u64, u32, u64),
    FromHost(usize, u64, u64, u32, WarmStateMessage),
    AttemptDeadline(usize, u64, u64, u32),
    /// A client hears how its coming ended; nothing if it broke.
    Heard(usize, u32, Option<Heard>),
    Patience(usize, u32),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum WarmStateMessage {
    Up,
    Busy,
    Error,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Heard {
    Up,
    Busy,
    Released,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Stop(usize),
    Continue(usize),
    /// It ends as planned, and leaves what it holds to its next process.
    Leave(usize),
    Link(usize, usize, Link),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Up,
    Cut,
    Slow,
}

pub struct Day {
    faults: Vec<(u64, Fault)>,
    /// Of a hundred hosts' answers: turned away unseen, ran and silent, ran and late, ran and failed.
    ways: [u64; 4],
    /// Of a hundred words: lost, said twice.
    noise: [u64; 2],
    /// Of a hundred clients that come again: to two nodes at once.
    twins: u64,
    /// Of a hundred clients: gone before their time, and their node sees it late.
    impatient: u64,
    /// All clients come to this node first, within this time.
    crowd: Option<(usize, u64, u64)>,
}

impl Day {
    pub fn calm() -> Day {
        Day { faults: vec![], ways: [0; 4], noise: [0; 2], twins: 0, impatient: 0, crowd: None }
    }

    pub fn draw(seed: u64) -> Day {
        if seed % 5 == 4 {
            return Day::false_verdict(seed);
        }
        let mut chance = WyRand::new_seed(seed ^ 0xda7);
        let mut roll = |below: u64| chance.generate_range(0..below);
        let mut faults = Vec::new();
        for _ in 0..2 + roll(9) {
            let (at, one, other) =
                (9_000 + roll(22_000), roll(NODES as u64) as usize, roll(NODES as u64) as usize);
            let lasts = at + [200 + roll(900), 1_000 + roll(5_000), 6_000 + roll(9_000)][roll(3) as usize];
            match roll(10) {
                8 | 9 => {
                    faults.push((at, Fault::Leave(one)));
                    faults.push((lasts, Fault::Start(one)));
                }
                0 | 1 => {
                    faults.push((at, Fault::Kill(one)));
                    faults.push((lasts, Fault::Start(one)));
                }
                2..4 => {
                    faults.push((at, Fault::Stop(one)));
                    faults.push((lasts, Fault::Continue(one)));
                }
                4 => {
                    for (from, to) in [(one, other), (other, one)] {
                        faults.push((at, Fault::Link(from, to, Link::Cut)));
                        faults.push((lasts, Fault::Link(from, to, Link::Up)));
                    }
                }
                5 => {
                    // Cut off from its peers, not from clients and hosts; or one way.
                    let ways = roll(3);
                    for to in (0..NODES).filter(|to| *to != one) {
                        for (way, from, to) in [(1, one, to), (2, to, one)] {
                            if ways != way {
                                faults.push((at, Fault::Link(from, to, Link::Cut)));
                                faults.push((lasts, Fault::Link(from, to, Link::Up)));
                            }
                        }
                    }
                }
                6 => {
                    for to in (0..NODES).filter(|to| *to != one) {
                        for (from, to) in [(one, to), (to, one)] {
                            faults.push((at, Fault::Link(from, to, Link::Slow)));
                            faults.push((lasts, Fault::Link(from, to, Link::Up)));
                        }
                    }
                }
                _ => {
                    // Some at once: replicas with their node, a zone, or all.
                    let some = 1 + roll((1 << NODES) - 1);
                    for at_once in (0..NODES).filter(|node| some >> node & 1 == 1) {
                        faults.push((at, Fault::Kill(at_once)));
                        faults.push((lasts, Fault::Start(at_once)));
                    }
                }
            }
        }
        let ways = [roll(30), roll(20), roll(20), roll(10)];
        Day {
            faults,
            ways,
            noise: [roll(4), roll(6)],
            twins: roll(60),
            impatient: roll(2) * roll(50),
            crowd: None,
        }
    }

    /// A node that serves and reaches two replicas is called lost: the leader does not hear it.
    fn false_verdict(seed: u64) -> Day {
        let mut chance = WyRand::new_seed(seed ^ 0xfa15e);
        let mut roll = |below: u64| chance.generate_range(0..below);
        let (one, cut) = (SEATS + roll(2) as usize, 12_000 + roll(1_000));
        let mut faults = Vec::new();
        for (from, to) in [(one, 0), (0, one)] {
            faults.push((cut, Fault::Link(from, to, Link::Cut)));
            faults.push((cut + 12_000, Fault::Link(from, to, Link::Up)));
        }
        let ways = [20 + roll(30), roll(30), roll(20), roll(10)];
        let crowd = Some((one, cut + LOST - 2_500, cut + LOST));
        Day { faults, ways, noise: [0, 0], twins: 0, impatient: 60 + roll(40), crowd }
    }
}

struct InHand {
    work: usize,
    time: u32,
    guard: u64,
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
    calls: BTreeMap<u64, InHand>,
    next: u64,
    connected: u64,
    apart: u64,
    lost: bool,
    term: u64,
    /// What it showed at the world's beginning, and thousandths that it goes by.
    clock: (u64, u64),
    left: Option<glendeck_takeover::ReplicaHandover>,
}

struct OneWork {
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
pub struct Seen {
    pub up: u64,
    pub busy: u64,
    pub released: u64,
    pub broke: u64,
    /// Repeats that met a record, that met another at the same moment, and that were placed after a record.
    pub over: u64,
    pub raced: u64,
    pub placed_again: u64,
}

impl Seen {
    pub fn add(&mut self, of: &Seen) {
        self.up += of.up;
        self.busy += of.busy;
        self.released += of.released;
        self.broke += of.broke;
        self.over += of.over;
        self.raced += of.raced;
        self.placed_again += of.placed_again;
    }
}

pub struct World {
    /// Of a hundred words so many have a bit turned over; and whether sums show that.
    pub damaged: (u64, bool),
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    chance: WyRand,
    day: Day,
    nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    works: Vec<OneWork>,
    pub seen: Seen,
    pub broken: Option<String>,
    pub verbose: bool,
    pub log: Vec<String>,
}

fn name(at: usize) -> UnitName {
    UnitName(format!("n{at}"))
}

impl World {
    pub fn new(seed: u64, day: Day) -> World {
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
            seen: Seen::default(),
            broken: None,
            verbose: false,
            log: Vec::new(),
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
        world.at(0, Event::Tick);
        for (at, fault) in std::mem::take(&mut world.day.faults) {
            world.at(at, Event::Fault(fault));
        }
        for work in 0..WORKS {
            let idempotency =
                if world.roll(2) == 0 { Idempotency::NonIdempotent } else { Idempotency::Keyed };
            world.works.push(OneWork {
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
            world.at(at, Event::Come(node, work, 0));
        }
        world
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.chance.generate_range(0..below)
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + ms, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn say(&mut self, text: impl FnOnce() -> String) {
        if self.verbose {
            self.log.push(format!("{:7.3} {}", self.now as f64 / 1e3, text()));
        }
    }

    fn break_rule(&mut self, text: String) {
        if self.broken.is_none() {
            self.broken = Some(format!("at {:.3} s: {text}", self.now as f64 / 1e3));
        }
    }

    pub fn run(&mut self) {
        self.idle(45_000);
    }

    pub fn idle(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > until || self.broken.is_some() {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&seq) {
                self.happen(event);
            }
        }
        self.now = until;
    }

    pub fn held(&self) -> usize {
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
        let mut takeover = Takeover::new(timestamp, name(at), incarnation, seed, RECALL, 3_000);
        if let Some(left) = node.left.take() {
            takeover.restore(timestamp, left);
        }
        node.takeover = Some(takeover);
        (node.stopped, node.held) = (false, vec![]);
        // What it knows of the group is as old as can be until it hears of it.
        self.say(|| format!("n{at} starts"));
    }

    fn link(&self, from: usize, to: usize) -> Link {
        self.links.get(&(from, to)).copied().unwrap_or(Link::Up)
    }

    fn runs(&self, at: usize) -> bool {
        self.nodes[at].takeover.is_some() && !self.nodes[at].stopped
    }

    /// The group: who has a way to and fro to most seats, whose holders have one to each other.
    fn agree(&mut self) {
        let both = |one: usize, other: usize| {
            one == other || (self.link(one, other) != Link::Cut && self.link(other, one) != Link::Cut)
        };
        let lead = (0..SEATS).find(|at| {
            self.runs(*at) && (0..SEATS).filter(|of| self.runs(*of) && both(*at, *of)).count() * 2 > SEATS
        });
        let log_position: Vec<bool> =
            (0..NODES).map(|at| lead.is_some_and(|lead| self.runs(at) && both(at, lead))).collect();
        for (at, reaches) in log_position.iter().copied().enumerate() {
            let now = self.now;
            let node = &mut self.nodes[at];
            if lead.is_some() && !reaches {
                if !node.lost && now >= node.connected + LOST {
                    (node.lost, node.term) = (true, node.term + 1);
                }
                node.apart = now;
            } else if reaches {
                if node.lost && now >= node.apart + LOST {
                    node.lost = false;
                }
                node.connected = now;
            }
        }
        let terms: BTreeMap<UnitName, u64> = (0..NODES).map(|at| (name(at), self.nodes[at].term)).collect();
        for (at, reaches) in log_position.into_iter().enumerate() {
            let timestamp = self.timestamp(at);
            let hears = self.now < self.nodes[at].connected + HEARS;
            if !self.runs(at) {
                continue;
            }
            let node = &mut self.nodes[at];
            let Some(takeover) = &mut node.takeover else { continue };
            let mut view = takeover.view().clone();
            view.hears_leader = hears;
            if reaches {
                view.voter_slots = (0..SEATS).map(name).collect();
                view.terms = terms.clone();
            }
            takeover.membership_changed(timestamp, view);
            takeover.tick(timestamp);
            self.act(at);
        }
    }

    fn happen(&mut self, event: Event) {
        let whose = match &event {
            Event::ReplicaMessage(to, incarnation, ..) => Some((*to, *incarnation)),
            Event::FromHost(at, incarnation, ..) | Event::AttemptDeadline(at, incarnation, ..) => {
                Some((*at, *incarnation))
            }
            Event::Read(at, incarnation, _) | Event::ReplicaHandover(at, incarnation, _) => {
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
                self.agree();
                self.check_parked();
                self.at(100, Event::Tick);
            }
            Event::Come(node, work, time) => self.come(node, work, time),
            Event::ReplicaMessage(to, _, from, message) => {
                let timestamp = self.timestamp(to);
                if let Some(takeover) = &mut self.nodes[to].takeover {
                    takeover.message_received(timestamp, &name(from), message);
                }
                self.act(to);
            }
            Event::Read(node, _, call) => self.read(node, call),
            Event::ReplicaHandover(node, _, call) => self.end(node, call),
            Event::AtHost(node, incarnation, call, attempt, host) => {
                self.at_host(node, incarnation, call, attempt, host)
            }
            Event::FromHost(at, _, call, attempt, said) => self.host_said(at, call, attempt, said),
            Event::AttemptDeadline(at, _, call, attempt) => {
                let timestamp = self.timestamp(at);
                let Some(held) = self.nodes[at].calls.get_mut(&call) else { return };
                if held.attempts == attempt
                    && let Some((host, true)) = held.out
                {
                    held.out = None;
                    held.ran.get_or_insert(PriorAttempt { host, sent_at: moment_back(timestamp, LEG) });
                    self.place(at, call);
                }
            }
            Event::Heard(work, time, heard) => self.client_hears(work, time, heard),
            Event::Patience(work, time) => {
                if let Some(node) = self.works[work].open.remove(&time) {
                    self.seen.broke += 1;
                    self.leave(node, work, time);
                    self.come_again(work);
                }
            }
            Event::Fault(fault) => self.strike(fault),
        }
    }

    fn strike(&mut self, fault: Fault) {
        self.say(|| format!("fault {fault:?}"));
        match fault {
            Fault::Kill(at) => {
                if self.nodes[at].takeover.take().is_none() {
                    return;
                }
                let calls = std::mem::take(&mut self.nodes[at].calls);
                self.nodes[at].held.clear();
                for held in calls.into_values() {
                    let ms = 1 + self.roll(40);
                    self.at(ms, Event::Heard(held.work, held.time, None));
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
                    self.answer(at, call, if ran { Heard::Released } else { Heard::Busy });
                }
                let left = self.nodes[at].takeover.as_mut().map(|takeover| takeover.hand_over(timestamp));
                self.nodes[at].left = left;
                self.strike(Fault::Kill(at));
            }
            Fault::Start(at) => self.start(at),
            Fault::Stop(at) => self.nodes[at].stopped = self.nodes[at].takeover.is_some(),
            Fault::Continue(at) => {
                if std::mem::take(&mut self.nodes[at].stopped) {
                    for event in std::mem::take(&mut self.nodes[at].held) {
                        self.at(0, event);
                    }
                }
            }
            Fault::Link(from, to, link) => drop(self.links.insert((from, to), link)),
        }
    }

    // Clients.

    fn come(&mut self, node: usize, work: usize, time: u32) {
        if self.works[work].done {
            return;
        }
        if self.nodes[node].takeover.is_none() {
            let (ms, other) = (50 + self.roll(300), self.roll(NODES as u64) as usize);
            return self.at(ms, Event::Come(other, work, time));
        }
        self.say(|| format!("w{work} comes to n{node}, time {time}"));
        self.works[work].open.insert(time, node);
        // Some have gone long before their node knows.
        let patience = if self.roll(100) < self.day.impatient { 300 + self.roll(1_500) } else { GUARD + 200 };
        self.at(patience, Event::Patience(work, time));
        let held = &mut self.nodes[node];
        held.next += 1;
        let (call, guard, incarnation) = (held.next, u64::MAX / 2, held.incarnation);
        held.calls
            .insert(call, InHand { work, time, guard, attempts: 0, before: None, ran: None, out: None });
        self.at(0, Event::Read(node, incarnation, call));
    }

    fn read(&mut self, node: usize, call: u64) {
        let (now, timestamp) = (self.now, self.timestamp(node));
        let Some(held) = self.nodes[node].calls.get_mut(&call) else { return };
        // Its time counts from when it is read, as far as the node knows.
        held.guard = now + GUARD;
        let of = WorkId(held.work as u64);
        if held.time > 0 {
            if let Some(takeover) = &mut self.nodes[node].takeover {
                takeover.call_repeated(timestamp, call, of, GUARD);
            }
            self.act(node);
        } else {
            self.place(node, call);
        }
    }

    /// The client has gone from a node: nothing more is sent for it there.
    fn leave(&mut self, node: usize, work: usize, time: u32) {
        let of = |held: &InHand| held.work == work && held.time == time;
        let Some(call) = self.nodes[node].calls.iter().find(|(_, held)| of(held)).map(|(call, _)| *call)
        else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let unseen = if self.day.impatient > 0 { self.roll(2_500) } else { 0 };
        self.at(unseen, Event::ReplicaHandover(node, incarnation, call));
    }

    fn come_again(&mut self, work: usize) {
        let now = self.now;
        let of = &mut self.works[work];
        // Whoever comes later than a record is kept is not recognised; its time there counts as well.
        let late = now + 600 + GUARD + 200 > *of.first_end.get_or_insert(now) + RECALL;
        if of.done || of.times >= 5 || late {
            return;
        }
        of.times += 1;
        let time = of.times;
        let (ms, node) = (self.roll(600), self.roll(NODES as u64) as usize);
        self.at(ms, Event::Come(node, work, time));
        if self.roll(100) < self.day.twins {
            self.works[work].times += 1;
            let (time, other, later) =
                (self.works[work].times, self.roll(NODES as u64) as usize, self.roll(4));
            self.at(ms + later, Event::Come(other, work, time));
        }
    }

    fn client_hears(&mut self, work: usize, time: u32, heard: Option<Heard>) {
        if self.works[work].open.remove(&time).is_none() {
            return;
        }
        self.say(|| format!("w{work} hears {heard:?}, time {time}"));
        match heard {
            Some(Heard::Up) => {
                self.seen.up += 1;
                self.works[work].done = true;
            }
            // What is once-only is not tried again after this; what is referenced is.
            Some(Heard::Released) => {
                self.seen.released += 1;
                if self.works[work].idempotency == Idempotency::Keyed {
                    self.come_again(work);
                }
            }
            Some(Heard::Busy) => {
                self.seen.busy += 1;
                self.come_again(work);
            }
            None => {
                self.seen.broke += 1;
                self.come_again(work);
            }
        }
    }

    // Nodes.

    fn answer(&mut self, at: usize, call: u64, heard: Heard) {
        let Some((work, time)) = self.nodes[at].calls.get(&call).map(|held| (held.work, held.time)) else {
            return;
        };
        let ms = 1 + self.roll(3);
        self.at(ms, Event::Heard(work, time, Some(heard)));
        self.end(at, call);
    }

    fn end(&mut self, at: usize, call: u64) {
        let Some(held) = self.nodes[at].calls.remove(&call) else { return };
        let ran = held.ran.is_some() || matches!(held.out, Some((_, true)));
        let outcome = if ran { Outcome::Answered } else { Outcome::NeverRan };
        let timestamp = self.timestamp(at);
        if let Some(takeover) = &mut self.nodes[at].takeover {
            takeover.call_ended(timestamp, call, outcome);
        }
        self.act(at);
    }

    /// Where the call goes, by its effect and what has been before it.
    fn place(&mut self, at: usize, call: u64) {
        let Some(held) = self.nodes[at].calls.get(&call) else { return };
        let (work, guard, attempts) = (held.work, held.guard, held.attempts);
        let first = held.before.or(held.ran);
        let (own_ran, idempotency) = (held.ran, self.works[work].idempotency);
        let assured = if first.is_none() { Heard::Busy } else { Heard::Released };
        // A thirtieth is kept back: two clocks have part in it, and each may be slow by a 65th.
        let recalled = |first: PriorAttempt| self.timestamp(at).ms_since(first.sent_at) + 100 < WINDOW;
        let may = match (idempotency, first) {
            (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed, Some(first)) => recalled(first),
        };
        if !may || attempts >= 3 || self.now + 60 >= guard {
            return self.answer(at, call, assured);
        }
        let cell = first.map(|first| first.host % 2);
        let drawn = self.roll(HOSTS / 2) * 2;
        let host = drawn + cell.unwrap_or(self.now % 2);
        let until = self.then(at, guard - 60);
        let latest = first.map_or(until, |first| until.min(first.sent_at.plus_ms(WINDOW - 100)));
        let attempt = Attempt {
            work: WorkId(work as u64),
            host,
            prior: own_ran,
            remaining_ms: guard - self.now,
            send_before: latest,
        };
        let timestamp = self.timestamp(at);
        if let Some(held) = self.nodes[at].calls.get_mut(&call) {
            held.out = Some((host, false));
        }
        if let Some(takeover) = &mut self.nodes[at].takeover {
            takeover.replicate_intent(timestamp, call, attempt);
        }
        self.act(at);
    }

    fn act(&mut self, at: usize) {
        let Some(takeover) = &mut self.nodes[at].takeover else { return };
        for action in takeover.take_actions() {
            match action {
                Action::Send(to, message) => self.send(at, to.0[1..].parse().unwrap(), message),
                Action::Proceed(call) => self.go(at, call),
                Action::NotReplicated(call) => {
                    let none = self.nodes[at].calls.get_mut(&call).is_some_and(|held| {
                        held.out = None;
                        held.before.is_none() && held.ran.is_none()
                    });
                    self.answer(at, call, if none { Heard::Busy } else { Heard::Released });
                }
                Action::InFlightElsewhere(call) => {
                    self.seen.raced += 1;
                    let Some(held) = self.nodes[at].calls.get_mut(&call) else { continue };
                    held.out = None;
                    let (work, left) = (held.work, held.guard.saturating_sub(self.now));
                    let timestamp = self.timestamp(at);
                    if let Some(takeover) = &mut self.nodes[at].takeover {
                        takeover.call_repeated(timestamp, call, WorkId(work as u64), left);
                    }
                    self.act(at);
                }
                Action::Admit(call, before) => {
                    self.seen.over += u64::from(before.is_some());
                    let Some(held) = self.nodes[at].calls.get_mut(&call) else { continue };
                    held.before = before;
                    self.place(at, call);
                }
                Action::Fail(call) => self.answer(at, call, Heard::Released),
            }
        }
    }

    fn go(&mut self, at: usize, call: u64) {
        let (incarnation, lost) = (self.nodes[at].incarnation, self.nodes[at].lost);
        let Some(held) = self.nodes[at].calls.get_mut(&call) else { return };
        let Some((host, false)) = held.out else { return };
        held.out = Some((host, true));
        held.attempts += 1;
        let (work, attempt, limit) = (held.work, held.attempts, LEG.min(held.guard.saturating_sub(self.now)));
        self.seen.placed_again += u64::from(held.before.is_some());
        self.say(|| format!("n{at} sends w{work} to h{host}"));
        let others = |(other, node): (usize, &Node)| {
            let out = |held: &InHand| held.work == work && matches!(held.out, Some((_, true)));
            other != at
                && node.takeover.is_some()
                && !node.stopped
                && !node.lost
                && node.calls.values().any(out)
        };
        if !lost && self.nodes.iter().enumerate().any(others) {
            self.break_rule(format!("w{work} has a second leg out, from n{at}"));
        }
        let ms = 1 + self.roll(20);
        self.at(ms, Event::AtHost(at, incarnation, call, attempt, host));
        self.at(limit, Event::AttemptDeadline(at, incarnation, call, attempt));
    }

    fn send(&mut self, from: usize, to: usize, message: ReplicaMessage) {
        self.say(|| format!("n{from} -> n{to}: {message:?}"));
        let [lost, twice] = self.day.noise;
        let ms = match self.link(from, to) {
            Link::Cut => return,
            Link::Slow => 80 + self.roll(400),
            Link::Up => 1 + self.roll(5),
        };
        let incarnation = self.nodes[to].incarnation;
        let (damaged, sums) = self.damaged;
        let message = match damaged > 0 && self.roll(100) < damaged {
            true if sums => return,
            true => match self.turn_over(&message) {
                Some(message) => message,
                None => return,
            },
            false => message,
        };
        if self.roll(100) < twice {
            let later = ms + self.roll(1_500);
            self.at(later, Event::ReplicaMessage(to, incarnation, from, message.clone()));
        }
        if self.roll(100) >= lost {
            self.at(ms, Event::ReplicaMessage(to, incarnation, from, message));
        }
    }

    /// One bit of it, if it can still be read.
    fn turn_over(&mut self, message: &ReplicaMessage) -> Option<ReplicaMessage> {
        let mut bytes = postcard::to_stdvec(message).unwrap();
        let bit = self.roll(bytes.len() as u64 * 8) as usize;
        bytes[bit / 8] ^= 1 << (bit % 8);
        match postcard::take_from_bytes(&bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }

    // Hosts.

    fn at_host(&mut self, node: usize, incarnation: u64, call: u64, attempt: u32, host: u64) {
        // An attempt that is on its way arrives, whatever has become of its node; its work is known by the call.
        let Some(work) = self.work_of(node, incarnation, call) else { return };
        let [busy, silent, late, fails] = self.day.ways;
        let way = self.roll(100);
        let soon = 5 + self.roll(55);
        if way < busy {
            // Some only after a while in a queue.
            let ms = if self.roll(2) == 0 { soon } else { 300 + self.roll(LEG - 310) };
            return self.at(ms, Event::FromHost(node, incarnation, call, attempt, WarmStateMessage::Busy));
        }
        self.run_at(host, work);
        let (ms, said) = if way < busy + silent {
            return;
        } else if way < busy + silent + late {
            (LEG + self.roll(800), WarmStateMessage::Up)
        } else if way < busy + silent + late + fails {
            (soon, WarmStateMessage::Error)
        } else {
            (soon, WarmStateMessage::Up)
        };
        self.at(ms, Event::FromHost(node, incarnation, call, attempt, said));
    }

    fn work_of(&self, node: usize, incarnation: u64, call: u64) -> Option<usize> {
        let of = &self.nodes[node];
        // Gone with its process: the attempt was cut off on its way, or has arrived. Here it was cut off.
        (of.incarnation == incarnation).then(|| of.calls.get(&call).map(|held| held.work))?
    }

    fn run_at(&mut self, host: u64, work: usize) {
        let (now, cell) = (self.now, host % 2);
        let of = &mut self.works[work];
        let recalled = of.ran.iter().any(|(at, there)| *there == cell && now < at + WINDOW);
        if of.idempotency == Idempotency::Keyed && recalled {
            return;
        }
        of.ran.push((now, cell));
        let (ran, idempotency) = (of.ran.clone(), of.idempotency);
        if ran.len() > 1 {
            self.break_rule(format!("w{work}, {idempotency:?}, ran {ran:?}"));
        }
    }

    fn host_said(&mut self, at: usize, call: u64, attempt: u32, said: WarmStateMessage) {
        let timestamp = self.timestamp(at);
        let Some(held) = self.nodes[at].calls.get_mut(&call) else { return };
        let Some((host, true)) = held.out.filter(|_| held.attempts == attempt) else { return };
        match said {
            WarmStateMessage::Up => return self.answer(at, call, Heard::Up),
            WarmStateMessage::Busy => {}
            WarmStateMessage::Error => {
                held.ran.get_or_insert(PriorAttempt { host, sent_at: moment_back(timestamp, 100) });
            }
        }
        if let Some(held) = self.nodes[at].calls.get_mut(&call) {
            held.out = None;
        }
        self.place(at, call);
    }

    /// A call that a running node has is answered in its time.
    fn check_parked(&mut self) {
        for at in 0..NODES {
            if !self.runs(at) {
                continue;
            }
            let late = |held: &&InHand| self.now > held.guard + 150 && held.out.is_none_or(|(_, out)| !out);
            let parked = self.nodes[at].calls.values().find(late);
            if let Some(held) = parked.filter(|held| self.works[held.work].open.contains_key(&held.time)) {
                let text = format!("w{} is parked at n{at}", held.work);
                return self.break_rule(text);
            }
        }
    }
}

fn moment_back(timestamp: Timestamp, ms: u64) -> Timestamp {
    Timestamp(timestamp.0.saturating_sub(ms * 1_000_000))
}
