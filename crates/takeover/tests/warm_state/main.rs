//! Random scenarios of faults in simulated time, in which nodes store hints for each other. Stored hints are
//! compared with what each node had published at each moment.

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
/// A link that stays silent for this long is closed.
const SILENT_LINK_MS: u64 = 3_500;
/// The group of the marker hint, modulo 1 000. The marker identifies the set of hints that it belongs to: its
/// host is the number of times that the process has published.
const MARKER_GROUP: u64 = 999;

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
    /// No message passes between the two nodes for this time in ms.
    Cut(usize, usize, u64),
    /// The link between the two nodes is reset.
    Reset(usize, usize),
}

struct Node {
    exchange: Option<WarmStateExchange>,
    incarnation: u64,
    started_at: u64,
    is_draining: bool,
    next_publish_at: u64,
    hints: Hints,
    /// How often the process has published hints.
    publish_count: u64,
}

struct World {
    now: u64,
    event_id: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    random: WyRand,
    nodes: Vec<Node>,
    /// For each pair of nodes with a fault: the end and the beginning of a cut, or 0 and when a reset link is
    /// back.
    cuts: BTreeMap<(usize, usize), (u64, u64)>,
    /// Percentages of messages: lost, sent a second time with a delay.
    message_faults: [u64; 2],
    /// What was published, by node, incarnation and publish count.
    history: BTreeMap<(usize, u64, u64), Hints>,
    /// The publish count that a replica was last seen to store of a process.
    last_counts: BTreeMap<(usize, u64, usize, u64), u64>,
    /// When each process last adopted another one's hints.
    adopted_at: BTreeMap<(usize, u64, usize, u64), u64>,
    /// The time, the node and its incarnation.
    kills: Vec<(u64, usize, u64)>,
    adoption_count: u64,
    violation: Option<String>,
}

fn name(index: usize) -> UnitName {
    UnitName(format!("n{index}"))
}

fn index_of(node_name: &UnitName) -> usize {
    node_name.0[1..].parse().unwrap()
}

fn view() -> View {
    View { voter_slots: (0..VOTERS).map(name).collect(), hears_leader: true, ..View::default() }
}

/// The incarnation and the publish count of the marker among these hints, if there is one.
fn marker(hints: impl IntoIterator<Item = Hint>) -> Option<(u64, u64)> {
    hints.into_iter().find_map(|candidate| match candidate {
        Hint::GroupOnHost { group, host } if group % 1_000 == MARKER_GROUP => Some((group / 1_000, host)),
        _ => None,
    })
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

impl World {
    fn new(seed: u64, message_faults: [u64; 2], faults: Vec<(u64, Fault)>) -> World {
        let new_node = |_| Node {
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
            event_id: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            random: WyRand::new_seed(seed),
            nodes: (0..NODES).map(new_node).collect(),
            cuts: BTreeMap::new(),
            message_faults,
            history: BTreeMap::new(),
            last_counts: BTreeMap::new(),
            adopted_at: BTreeMap::new(),
            kills: Vec::new(),
            adoption_count: 0,
            violation: None,
        };
        (0..NODES).for_each(|index| world.start(index));
        faults.into_iter().for_each(|(due_at, fault)| world.schedule(due_at, Event::Fault(fault)));
        world.schedule(0, Event::Tick);
        world
    }

    fn from_seed(seed: u64) -> World {
        let mut random = WyRand::new_seed(seed ^ 0xe57a7e);
        let mut roll = |below: u64| random.generate_range(0..below);
        let mut faults = Vec::new();
        for _ in 0..3 + roll(10) {
            let (due_at, one, other) =
                (8_000 + roll(40_000), roll(NODES as u64) as usize, roll(NODES as u64) as usize);
            match roll(6) {
                0 => faults.push((due_at, Fault::Drain(one))),
                1 if one != other => faults.push((due_at, Fault::Cut(one, other, 500 + roll(8_000)))),
                2 if one != other => faults.push((due_at, Fault::Reset(one, other))),
                _ => {
                    faults.push((due_at, Fault::Kill(one)));
                    faults.push((due_at + [200, 1_000, 9_000][roll(3) as usize], Fault::Start(one)));
                }
            }
        }
        let message_faults = if seed.is_multiple_of(2) { [0, 0] } else { [roll(10), roll(10)] };
        World::new(seed, message_faults, faults)
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.random.generate_range(0..below)
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.event_id += 1;
        self.queue.push(Reverse((self.now + ms, self.event_id)));
        self.events.insert(self.event_id, event);
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now * 1_000_000)
    }

    fn report_violation(&mut self, text: String) {
        let elapsed_ms = self.now - 90_000_000;
        self.violation.get_or_insert(format!("at {elapsed_ms} ms: {text}"));
    }

    fn start(&mut self, index: usize) {
        if self.nodes[index].exchange.is_some() {
            return;
        }
        let (timestamp, first) = (self.timestamp(), self.now + self.roll(1_000));
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let incarnation = Incarnation(node.incarnation * 10 + index as u64);
        node.exchange = Some(WarmStateExchange::new(timestamp, name(index), incarnation));
        (node.started_at, node.is_draining, node.next_publish_at) = (self.now, false, first);
        (node.hints, node.publish_count) = (Hints::new(), 0);
    }

    /// Whether a node has a link to another one, as far as it can tell: a cut is noticed only once the link
    /// has been silent for [`SILENT_LINK_MS`].
    fn linked(&self, index: usize, to: usize) -> bool {
        let cut = self.cuts.get(&pair(index, to)).copied().unwrap_or_default();
        let is_linked = cut.0 <= self.now || self.now < cut.1 + SILENT_LINK_MS;
        index != to
            && (index < VOTERS || to < VOTERS)
            && self.nodes[to].exchange.is_some()
            && self.now >= cut.1
            && is_linked
    }

    fn linked_nodes(&self, index: usize) -> BTreeSet<UnitName> {
        (0..NODES).filter(|to| self.linked(index, *to)).map(name).collect()
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(Reverse((due_at, event_id))) =
            self.queue.peek().copied().filter(|entry| entry.0.0 <= until)
        {
            self.queue.pop();
            self.now = due_at;
            match self.events.remove(&event_id) {
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
            Fault::Kill(index) => {
                let node = &mut self.nodes[index];
                if node.exchange.take().is_some() && !node.is_draining && self.now > node.started_at + 7_000 {
                    self.kills.push((self.now, index, node.incarnation));
                }
            }
            Fault::Start(index) => self.start(index),
            Fault::Drain(index) => self.nodes[index].is_draining = true,
            Fault::Cut(one, other, ms) => drop(self.cuts.insert(pair(one, other), (self.now + ms, self.now))),
            // The link is back after a tenth of a second.
            Fault::Reset(one, other) => drop(self.cuts.insert(pair(one, other), (0, self.now + 100))),
        }
    }

    fn tick(&mut self) {
        let timestamp = self.timestamp();
        for index in 0..NODES {
            let (linked, is_publish_due) =
                (self.linked_nodes(index), self.now >= self.nodes[index].next_publish_at);
            if self.nodes[index].exchange.is_none() {
                continue;
            }
            let mut actions = Vec::new();
            if is_publish_due {
                self.change_hints(index);
                let node = &mut self.nodes[index];
                node.next_publish_at = self.now + 1_000;
                if let Some(exchange) = &mut node.exchange {
                    actions =
                        exchange.publish(timestamp, node.hints.clone(), node.is_draining, &view(), &linked);
                }
            }
            if let Some(exchange) = &mut self.nodes[index].exchange {
                actions.extend(exchange.tick(timestamp, &linked));
            }
            self.carry_out(index, actions);
        }
        self.check_replicas();
        self.check_kills();
        self.schedule(100, Event::Tick);
    }

    fn change_hints(&mut self, index: usize) {
        for _ in 0..self.roll(4) {
            let (incarnation, which, load) =
                (self.nodes[index].incarnation, self.roll(20), self.roll(900) as u32);
            let new_hint = match self.roll(2) {
                0 => Hint::GroupOnHost { group: incarnation * 1_000 + which, host: which % 5 },
                _ => Hint::Load { subject: incarnation * 1_000 + which },
            };
            let is_removed = self.roll(3) == 0;
            let hints = &mut self.nodes[index].hints;
            let _ = if is_removed { hints.remove(&new_hint) } else { hints.insert(new_hint, load) };
        }
        let node = &mut self.nodes[index];
        let marker_hint =
            |incarnation, host| Hint::GroupOnHost { group: incarnation * 1_000 + MARKER_GROUP, host };
        node.hints.remove(&marker_hint(node.incarnation, node.publish_count));
        node.publish_count += 1;
        node.hints.insert(marker_hint(node.incarnation, node.publish_count), 1);
        self.history.insert((index, node.incarnation, node.publish_count), node.hints.clone());
    }

    fn carry_out(&mut self, index: usize, actions: Vec<WarmStateAction>) {
        for action in actions {
            match action {
                WarmStateAction::Send(to, message) => self.send(index, index_of(&to), message),
                WarmStateAction::Adopt { node, hints } => {
                    let publisher = index_of(&node);
                    let hints: Hints =
                        hints.into_iter().map(|hint_value| (hint_value.hint, hint_value.value)).collect();
                    let Some((incarnation, count)) = marker(hints.keys().copied()) else {
                        self.report_violation(format!(
                            "n{index} adopts hints of n{publisher} without a marker"
                        ));
                        continue;
                    };
                    self.adoption_count += 1;
                    self.check_published_together(index, publisher, &hints);
                    let key = (index, self.nodes[index].incarnation, publisher, incarnation);
                    if self.adopted_at.get(&key).is_some_and(|before| self.now < before + 4_000) {
                        self.report_violation(format!(
                            "n{index} adopts hints of n{publisher} twice, publication {count}"
                        ));
                    }
                    self.adopted_at.insert(key, self.now);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: WarmStateMessage) {
        let [lost_percent, duplicated_percent] = self.message_faults;
        let cut = self.cuts.get(&pair(from, to)).copied().unwrap_or_default();
        if !self.linked(from, to) || self.now < cut.0 {
            return;
        }
        let (ms, incarnation) = (1 + self.roll(5), self.nodes[to].incarnation);
        if self.roll(100) < duplicated_percent {
            let duplicate_ms = ms + self.roll(2_500);
            self.schedule(duplicate_ms, Event::MessageArrives(to, incarnation, from, message.clone()));
        }
        if self.roll(100) >= lost_percent {
            self.schedule(ms, Event::MessageArrives(to, incarnation, from, message));
        }
    }
}

fn simulate(seed: u64) -> World {
    let mut world = World::from_seed(seed);
    world.run(60_000);
    // All nodes but one replica are killed; the other nodes' hints then expire there.
    (1..NODES).for_each(|index| world.apply_fault(Fault::Kill(index)));
    world.start(0);
    world.run(90_000);
    let stored =
        world.nodes[0].exchange.as_ref().map(|exchange| (exchange.node_count(), exchange.hint_count()));
    if stored != Some((0, 0)) {
        world.report_violation(format!("n0 still stores hints or is down, (nodes, hints) = {stored:?}"));
    }
    world
}

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("SEEDS").ok();
    let given = given.as_deref().and_then(|text| text.split_once(".."));
    given.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..1_200)
}

/// `SEEDS=from..to` runs other seeds.
#[test]
fn hints_stay_consistent_and_losses_are_announced_in_random_scenarios() {
    let (seeds, adoptions) = (seeds(), std::sync::atomic::AtomicU64::new(0));
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get() as u64);
    std::thread::scope(|scope| {
        for first in 0..threads {
            let (seeds, adoptions) = (seeds.clone(), &adoptions);
            scope.spawn(move || {
                for seed in seeds.filter(|seed| seed % threads == first) {
                    let world = simulate(seed);
                    assert_eq!(world.violation, None, "seed {seed}");
                    adoptions.fetch_add(world.adoption_count, std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    let adoptions = adoptions.into_inner();
    println!("{seeds:?}: hints of lost nodes adopted {adoptions} times");
    assert!(adoptions > 1_000);
}

#[test_case(InjectedFault::AnyBaseAccepted; "changes are applied whatever they are based on")]
#[test_case(InjectedFault::IncarnationsMixed; "the hints of two processes are merged")]
#[test_case(InjectedFault::NeverResynchronized; "a replica that missed an update is never sent all hints")]
#[test_case(InjectedFault::StaleUpdateAccepted; "a delayed update overwrites a newer one")]
#[test_case(InjectedFault::DuplicateNoticeAccepted; "duplicate notices are accepted")]
#[test_case(InjectedFault::HintsNeverExpire; "hints never expire")]
fn an_injected_fault_is_caught(fault: InjectedFault) {
    inject(Some(fault));
    let found = (0..400).find_map(|seed| simulate(seed).violation.map(|why| (seed, why)));
    inject(None);
    println!("{fault:?}: {found:?}");
    assert!(found.is_some(), "{fault:?} is not caught");
}
