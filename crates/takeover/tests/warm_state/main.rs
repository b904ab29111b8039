//! Hints that nodes store for others, over days of faults in simulated time. They are compared with what each node knew at
//! each moment.

mod checks;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::View;
use glendeck_takeover::fault_injection::{InjectedFault, inject};
use glendeck_takeover::warm_state::{Hint, Hints, WarmStateAction, WarmStateExchange, WarmStateMessage};
use nanorand::{Rng, WyRand};
use test_case::test_case;

const NODES: usize = 6;
const VOTERS: usize = 3;
/// A silent link is closed after so long.
const SILENT_LINK_MS: u64 = 3_500;
/// The group of a hint that marks the others: its host is how often its node had published.
const MARK: u64 = 999;

enum Event {
    Tick,
    MessageArrives(usize, u64, usize, WarmStateMessage),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Drain(usize),
    /// Nothing passes for so long, in ms; or the link is reset.
    Cut(usize, usize, u64),
    Reset(usize, usize),
}

struct Node {
    exchange: Option<WarmStateExchange>,
    incarnation: u64,
    started_at: u64,
    is_draining: bool,
    next_publish_at: u64,
    hints: Hints,
    /// How often it has published hints.
    publish_count: u64,
}

struct World {
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    random: WyRand,
    nodes: Vec<Node>,
    /// Until when a pair is cut, and since when its link has stood.
    cuts: BTreeMap<(usize, usize), (u64, u64)>,
    /// Percentages of messages: lost, sent twice and late.
    noise: [u64; 2],
    history: BTreeMap<(usize, u64, u64), Hints>,
    /// The highest mark that a replica was seen to have of a process.
    marks: BTreeMap<(usize, u64, usize, u64), u64>,
    /// When each process last adopted another one's hints.
    adopted_at: BTreeMap<(usize, u64, usize, u64), u64>,
    kills: Vec<(u64, usize, u64)>,
    adoption_count: u64,
    violation: Option<String>,
}

fn name(at: usize) -> UnitName {
    UnitName(format!("n{at}"))
}

fn number(of: &UnitName) -> usize {
    of.0[1..].parse().unwrap()
}

fn view() -> View {
    View { voter_slots: (0..VOTERS).map(name).collect(), hears_leader: true, ..View::default() }
}

/// The process whose hints these are, and how often it had published then.
fn mark(hints: impl IntoIterator<Item = Hint>) -> Option<(u64, u64)> {
    hints.into_iter().find_map(|known| match known {
        Hint::GroupOnHost { group, host } if group % 1_000 == MARK => Some((group / 1_000, host)),
        _ => None,
    })
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

impl World {
    fn new(seed: u64, noise: [u64; 2], faults: Vec<(u64, Fault)>) -> World {
        let fresh = |_| Node {
            exchange: None,
            incarnation: 0,
            started_at: 0,
            is_draining: false,
            next_publish_at: 0,
            hints: Hints::new(),
            publish_count: 0,
        };
        let mut world = World {
            now: 90_000_000,
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            random: WyRand::new_seed(seed),
            nodes: (0..NODES).map(fresh).collect(),
            cuts: BTreeMap::new(),
            noise,
            history: BTreeMap::new(),
            marks: BTreeMap::new(),
            adopted_at: BTreeMap::new(),
            kills: Vec::new(),
            adoption_count: 0,
            violation: None,
        };
        (0..NODES).for_each(|at| world.start(at));
        faults.into_iter().for_each(|(at, fault)| world.schedule(at, Event::Fault(fault)));
        world.schedule(0, Event::Tick);
        world
    }

    fn drawn(seed: u64) -> World {
        let mut random = WyRand::new_seed(seed ^ 0xe57a7e);
        let mut roll = |below: u64| random.generate_range(0..below);
        let mut faults = Vec::new();
        for _ in 0..3 + roll(10) {
            let (at, one, other) =
                (8_000 + roll(40_000), roll(NODES as u64) as usize, roll(NODES as u64) as usize);
            match roll(6) {
                0 => faults.push((at, Fault::Drain(one))),
                1 if one != other => faults.push((at, Fault::Cut(one, other, 500 + roll(8_000)))),
                2 if one != other => faults.push((at, Fault::Reset(one, other))),
                _ => {
                    faults.push((at, Fault::Kill(one)));
                    faults.push((at + [200, 1_000, 9_000][roll(3) as usize], Fault::Start(one)));
                }
            }
        }
        let noise = if seed.is_multiple_of(2) { [0, 0] } else { [roll(10), roll(10)] };
        World::new(seed, noise, faults)
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.random.generate_range(0..below)
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + ms, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now * 1_000_000)
    }

    fn report_violation(&mut self, text: String) {
        let at = self.now - 90_000_000;
        self.violation.get_or_insert(format!("at {at} ms: {text}"));
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].exchange.is_some() {
            return;
        }
        let (timestamp, first) = (self.timestamp(), self.now + self.roll(1_000));
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        let incarnation = Incarnation(node.incarnation * 10 + at as u64);
        node.exchange = Some(WarmStateExchange::new(timestamp, name(at), incarnation));
        (node.started_at, node.is_draining, node.next_publish_at) = (self.now, false, first);
        (node.hints, node.publish_count) = (Hints::new(), 0);
    }

    /// As a node sees it: a cut shows when the link has been silent for long.
    fn linked(&self, at: usize, to: usize) -> bool {
        let cut = self.cuts.get(&pair(at, to)).copied().unwrap_or_default();
        let seen = cut.0 <= self.now || self.now < cut.1 + SILENT_LINK_MS;
        at != to
            && (at < VOTERS || to < VOTERS)
            && self.nodes[to].exchange.is_some()
            && self.now >= cut.1
            && seen
    }

    fn linked_nodes(&self, at: usize) -> BTreeSet<UnitName> {
        (0..NODES).filter(|to| self.linked(at, *to)).map(name).collect()
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(Reverse((at, seq))) = self.queue.peek().copied().filter(|of| of.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            match self.events.remove(&seq) {
                Some(Event::Tick) => self.tick(),
                Some(Event::MessageArrives(to, incarnation, from, message))
                    if self.nodes[to].incarnation == incarnation =>
                {
                    let timestamp = self.timestamp();
                    let Some(exchange) = &mut self.nodes[to].exchange else { continue };
                    let actions = exchange.message_received(timestamp, &name(from), message, &view());
                    self.carry_out(to, actions);
                }
                Some(Event::Fault(fault)) => self.apply_fault(fault),
                _ => {}
            }
        }
        self.now = until;
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(at) => {
                let node = &mut self.nodes[at];
                if node.exchange.take().is_some() && !node.is_draining && self.now > node.started_at + 7_000 {
                    self.kills.push((self.now, at, node.incarnation));
                }
            }
            Fault::Start(at) => self.start(at),
            Fault::Drain(at) => self.nodes[at].is_draining = true,
            Fault::Cut(one, other, ms) => drop(self.cuts.insert(pair(one, other), (self.now + ms, self.now))),
            // It is back within a tenth of a second.
            Fault::Reset(one, other) => drop(self.cuts.insert(pair(one, other), (0, self.now + 100))),
        }
    }

    fn tick(&mut self) {
        let timestamp = self.timestamp();
        for at in 0..NODES {
            let (linked, is_publish_due) =
                (self.linked_nodes(at), self.now >= self.nodes[at].next_publish_at);
            if self.nodes[at].exchange.is_none() {
                continue;
            }
            let mut actions = Vec::new();
            if is_publish_due {
                self.change_hints(at);
                let node = &mut self.nodes[at];
                node.next_publish_at = self.now + 1_000;
                if let Some(exchange) = &mut node.exchange {
                    actions =
                        exchange.publish(timestamp, node.hints.clone(), node.is_draining, &view(), &linked);
                }
            }
            if let Some(exchange) = &mut self.nodes[at].exchange {
                actions.extend(exchange.tick(timestamp, &linked));
            }
            self.carry_out(at, actions);
        }
        self.check_replicas();
        self.check_kills();
        self.schedule(100, Event::Tick);
    }

    fn change_hints(&mut self, at: usize) {
        for _ in 0..self.roll(4) {
            let (incarnation, which, load) =
                (self.nodes[at].incarnation, self.roll(20), self.roll(900) as u32);
            let known = match self.roll(2) {
                0 => Hint::GroupOnHost { group: incarnation * 1_000 + which, host: which % 5 },
                _ => Hint::Load { subject: incarnation * 1_000 + which },
            };
            let gone = self.roll(3) == 0;
            let hints = &mut self.nodes[at].hints;
            let _ = if gone { hints.remove(&known) } else { hints.insert(known, load) };
        }
        let node = &mut self.nodes[at];
        let marked = |incarnation, host| Hint::GroupOnHost { group: incarnation * 1_000 + MARK, host };
        node.hints.remove(&marked(node.incarnation, node.publish_count));
        node.publish_count += 1;
        node.hints.insert(marked(node.incarnation, node.publish_count), 1);
        self.history.insert((at, node.incarnation, node.publish_count), node.hints.clone());
    }

    fn carry_out(&mut self, at: usize, actions: Vec<WarmStateAction>) {
        for action in actions {
            match action {
                WarmStateAction::Send(to, message) => self.send(at, number(&to), message),
                WarmStateAction::Adopt { node, hints } => {
                    let of = number(&node);
                    let hints: Hints = hints.into_iter().map(|known| (known.hint, known.value)).collect();
                    let Some((incarnation, said)) = mark(hints.keys().copied()) else {
                        self.report_violation(format!("n{at} is told of n{of} what nobody said"));
                        continue;
                    };
                    self.adoption_count += 1;
                    self.check_whole(at, of, &hints);
                    let mine = (at, self.nodes[at].incarnation, of, incarnation);
                    if self.adopted_at.get(&mine).is_some_and(|before| self.now < before + 4_000) {
                        self.report_violation(format!("n{at} is told twice of n{of}, said {said}"));
                    }
                    self.adopted_at.insert(mine, self.now);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: WarmStateMessage) {
        let [lost, twice] = self.noise;
        let cut = self.cuts.get(&pair(from, to)).copied().unwrap_or_default();
        if !self.linked(from, to) || self.now < cut.0 {
            return;
        }
        let (ms, incarnation) = (1 + self.roll(5), self.nodes[to].incarnation);
        if self.roll(100) < twice {
            let later = ms + self.roll(2_500);
            self.schedule(later, Event::MessageArrives(to, incarnation, from, message.clone()));
        }
        if self.roll(100) >= lost {
            self.schedule(ms, Event::MessageArrives(to, incarnation, from, message));
        }
    }
}

fn play(seed: u64) -> World {
    let mut world = World::drawn(seed);
    world.run(60_000);
    // All but one replica end: what it keeps of them goes.
    (1..NODES).for_each(|at| world.apply_fault(Fault::Kill(at)));
    world.start(0);
    world.run(90_000);
    let held =
        world.nodes[0].exchange.as_ref().map(|exchange| (exchange.node_count(), exchange.hint_count()));
    if held != Some((0, 0)) {
        world.report_violation(format!("n0 still keeps {held:?}"));
    }
    world
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("SEEDS").ok();
    let given = given.as_deref().and_then(|text| text.split_once(".."));
    given.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..1_200)
}

/// `SEEDS=from..to` plays others.
#[test]
fn hints_stay_whole_and_losses_are_announced_on_drawn_days() {
    let (seeds, heard) = (seeds(), std::sync::atomic::AtomicU64::new(0));
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get() as u64);
    std::thread::scope(|scope| {
        for first in 0..threads {
            let (seeds, heard) = (seeds.clone(), &heard);
            scope.spawn(move || {
                for seed in seeds.filter(|seed| seed % threads == first) {
                    let world = play(seed);
                    assert_eq!(world.violation, None, "seed {seed}");
                    heard.fetch_add(world.adoption_count, std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    let heard = heard.into_inner();
    println!("{seeds:?}: told of lost nodes {heard} times");
    assert!(heard > 1_000);
}

#[test_case(InjectedFault::AnyBaseAccepted; "changes applied whatever they are based on")]
#[test_case(InjectedFault::IncarnationsMixed; "two processes taken for one")]
#[test_case(InjectedFault::NeverResynchronized; "a replica that missed an update is never sent the whole")]
#[test_case(InjectedFault::StaleUpdateAccepted; "a late update undoes a later one")]
#[test_case(InjectedFault::DuplicateNoticeAccepted; "the notices of both replicas count")]
#[test_case(InjectedFault::HintsNeverExpire; "hints never expire")]
fn an_injected_fault_is_caught(fault: InjectedFault) {
    inject(Some(fault));
    let caught = (0..400).find_map(|seed| play(seed).violation.map(|why| (seed, why)));
    inject(None);
    println!("{fault:?}: {caught:?}");
    assert!(caught.is_some(), "{fault:?} is not caught");
}
