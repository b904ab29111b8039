//! The core protocol in all its orders: two nodes, two replicas, one client with one once-only work. Words come in any
//! order, get lost or come twice; the first node dies, or the client leaves it too early; a replica forgets; the first
//! node is called lost, and each hears of that at a moment of its own; time passes at any moment.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::fault_injection::{InjectedFault, inject};
use glendeck_takeover::{Action, Attempt, Outcome, ReplicaMessage, Takeover, View, WorkId};
use stateright::{Checker, Model, Property};
use test_case::test_case;

const NAMES: [&str; 4] = ["a", "b", "k", "l"];
const A: usize = 0;
const B: usize = 1;
const REPLICAS: [usize; 2] = [2, 3];
const CALL: u64 = 1;
const RECALL: u64 = 4_000;
const LONGEST: u64 = 1_500;
/// One step of time: longer than a record is left alone.
const PASSES: u64 = 700;

fn name(at: usize) -> UnitName {
    UnitName(NAMES[at].into())
}

#[derive(Clone)]
struct Spot {
    now: u64,
    nodes: Vec<Option<Takeover>>,
    /// From, to, word.
    net: Vec<(usize, usize, ReplicaMessage)>,
    term: u64,
    /// What each knows of it.
    heard: Vec<u64>,
    /// Which nodes have the call in hand, and whether an attempt may have run there.
    in_hand: BTreeMap<usize, bool>,
    came_again: bool,
    ran: u32,
    answered: Vec<(usize, &'static str)>,
    lost: u32,
    doubled: u32,
    forgot: u32,
}

impl Spot {
    fn text(&self) -> String {
        let mut net: Vec<String> = self.net.iter().map(|message| format!("{message:?}")).collect();
        net.sort();
        format!(
            "{} {:?} {net:?} {} {:?} {:?} {} {} {:?} {} {} {}",
            self.now,
            self.nodes,
            self.term,
            self.heard,
            self.in_hand,
            self.came_again,
            self.ran,
            self.answered,
            self.lost,
            self.doubled,
            self.forgot
        )
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp::ms(self.now)
    }

    fn view(&self, at: usize) -> View {
        View {
            voter_slots: REPLICAS.map(name).to_vec(),
            version: 0,
            hears_leader: true,
            terms: [(name(A), self.heard[at])].into(),
        }
    }

    fn act(&mut self, at: usize) {
        let Some(takeover) = &mut self.nodes[at] else { return };
        let now = Timestamp::ms(self.now);
        for action in takeover.take_actions() {
            match action {
                Action::Send(to, message) => {
                    let to = NAMES.iter().position(|name| *name == to.0).unwrap();
                    self.net.push((at, to, message));
                }
                Action::Proceed(_) => {
                    self.ran += 1;
                    self.in_hand.insert(at, true);
                }
                Action::Admit(_, None) => self.intend(at),
                Action::InFlightElsewhere(_) => {
                    if let Some(takeover) = &mut self.nodes[at] {
                        takeover.call_repeated(now, CALL, WorkId(1), LONGEST);
                    }
                    self.act(at);
                }
                // Once-only: what may have run is released.
                Action::Admit(_, Some(_)) | Action::Fail(_) => self.answer(at, "released"),
                Action::NotReplicated(_) => self.answer(at, "busy"),
            }
        }
    }

    fn intend(&mut self, at: usize) {
        let now = self.timestamp();
        let attempt = Attempt {
            work: WorkId(1),
            host: 7,
            prior: None,
            remaining_ms: LONGEST,
            send_before: now.plus_ms(LONGEST),
        };
        if let Some(takeover) = &mut self.nodes[at] {
            takeover.replicate_intent(now, CALL, attempt);
        }
        self.act(at);
    }

    fn answer(&mut self, at: usize, what: &'static str) {
        let Some(ran) = self.in_hand.remove(&at) else { return };
        self.answered.push((at, what));
        let now = self.timestamp();
        let outcome = if ran { Outcome::Answered } else { Outcome::NeverRan };
        if let Some(takeover) = &mut self.nodes[at] {
            takeover.call_ended(now, CALL, outcome);
        }
        self.act(at);
    }
}

impl PartialEq for Spot {
    fn eq(&self, other: &Spot) -> bool {
        self.text() == other.text()
    }
}

impl Eq for Spot {}

impl Hash for Spot {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.text().hash(to);
    }
}

impl std::fmt::Debug for Spot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} s, ran {}, answered {:?}", self.now as f64 / 1e3, self.ran, self.answered)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Arrives(usize),
    Lost(usize),
    Twice(usize),
    Passes,
    /// The first node answers what its attempt brought.
    Answers,
    Dies,
    /// The client leaves the first node, which does not notice, and comes to the second.
    ComesAgain,
    Forgets(usize),
    IntentVerdict,
    Hears(usize),
}

struct Core {
    fault: Option<InjectedFault>,
    steps_of_time: u64,
    losses: u32,
    doubles: u32,
    forgets: u32,
    verdicts: u64,
}

impl Model for Core {
    type State = Spot;
    type Action = Event;

    fn init_states(&self) -> Vec<Spot> {
        inject(self.fault);
        // Keepers have been there for long.
        let start = Timestamp::ms(90_000_000);
        let nodes = (0..4).map(|at| {
            Some(Takeover::new(start, name(at), Incarnation(at as u64 + 1), at as u64, RECALL, LONGEST))
        });
        let mut spot = Spot {
            now: 90_060_000,
            nodes: nodes.collect(),
            net: vec![],
            term: 0,
            heard: vec![0; 4],
            in_hand: [(A, false)].into(),
            came_again: false,
            ran: 0,
            answered: vec![],
            lost: 0,
            doubled: 0,
            forgot: 0,
        };
        for at in 0..4 {
            let view = spot.view(at);
            // Their seats were given at the beginning.
            spot.nodes[at].as_mut().unwrap().membership_changed(start, view);
        }
        spot.intend(A);
        vec![spot]
    }

    fn actions(&self, spot: &Spot, actions: &mut Vec<Event>) {
        inject(self.fault);
        for at in 0..spot.net.len() {
            // The same word from the same node to the same is the same event.
            if spot.net[..at].contains(&spot.net[at]) {
                continue;
            }
            actions.push(Event::Arrives(at));
            if spot.lost < self.losses {
                actions.push(Event::Lost(at));
            }
            if spot.doubled < self.doubles {
                actions.push(Event::Twice(at));
            }
        }
        if spot.now < 90_060_000 + self.steps_of_time * PASSES {
            actions.push(Event::Passes);
        }
        if spot.nodes[A].is_some() {
            actions.push(Event::Dies);
            if spot.in_hand.get(&A) == Some(&true) {
                actions.push(Event::Answers);
            }
        }
        if !spot.came_again {
            actions.push(Event::ComesAgain);
        }
        // Where both may forget, only after something has run: there are too many orders else.
        if spot.forgot < self.forgets && (self.forgets < 2 || spot.ran > 0 && spot.nodes[A].is_none()) {
            actions.extend(REPLICAS.map(Event::Forgets));
        }
        if spot.term < self.verdicts {
            actions.push(Event::IntentVerdict);
        }
        actions.extend((0..4).filter(|at| spot.heard[*at] < spot.term).map(Event::Hears));
    }

    fn next_state(&self, last: &Spot, event: Event) -> Option<Spot> {
        inject(self.fault);
        let mut spot = last.clone();
        let now = spot.timestamp();
        match event {
            Event::Arrives(at) => {
                let (from, to, message) = spot.net.remove(at);
                if let Some(takeover) = &mut spot.nodes[to] {
                    takeover.message_received(now, &name(from), message);
                }
                spot.act(to);
            }
            Event::Lost(at) => {
                spot.net.remove(at);
                spot.lost += 1;
            }
            Event::Twice(at) => {
                let message = spot.net[at].clone();
                spot.net.push(message);
                spot.doubled += 1;
            }
            Event::Passes => {
                spot.now += PASSES;
                let now = spot.timestamp();
                for at in 0..4 {
                    if let Some(takeover) = &mut spot.nodes[at] {
                        takeover.tick(now);
                    }
                    spot.act(at);
                }
            }
            Event::Answers => spot.answer(A, "up"),
            Event::Dies => {
                spot.nodes[A] = None;
                spot.in_hand.remove(&A);
            }
            Event::ComesAgain => {
                spot.came_again = true;
                spot.in_hand.insert(B, false);
                if let Some(takeover) = &mut spot.nodes[B] {
                    takeover.call_repeated(now, CALL, WorkId(1), LONGEST);
                }
                spot.act(B);
            }
            Event::Forgets(at) => {
                let incarnation = Incarnation(100 + at as u64);
                let mut fresh = Takeover::new(now, name(at), incarnation, at as u64, RECALL, LONGEST);
                fresh.membership_changed(now, spot.view(at));
                spot.nodes[at] = Some(fresh);
                spot.forgot += 1;
            }
            Event::IntentVerdict => spot.term = 1,
            Event::Hears(at) => {
                spot.heard[at] = spot.term;
                let view = spot.view(at);
                if let Some(takeover) = &mut spot.nodes[at] {
                    takeover.membership_changed(now, view);
                }
            }
        }
        Some(spot)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("once", |_, spot: &Spot| spot.ran <= 1),
            Property::sometimes("the second node serves it", |_, spot: &Spot| {
                spot.ran == 1 && spot.in_hand.get(&B) == Some(&true)
            }),
            Property::sometimes("the second node releases it", |_, spot: &Spot| {
                spot.answered.contains(&(B, "released"))
            }),
        ]
    }
}

/// All states there are, and whether a breach is among them; depth first, so that few are held at a time.
fn states(core: Core) -> (usize, bool) {
    // One thread: faults are injected a thread.
    let most = std::env::var("STATES").ok().and_then(|most| most.parse().ok()).unwrap_or(2_000_000);
    let checker = core.checker().target_state_count(most).spawn_dfs().join();
    let (states, breach) = (checker.unique_state_count(), checker.discovery("once").is_some());
    assert!(breach || states < most, "not all states were seen");
    (states, breach)
}

const SOUND: Core = Core { fault: None, steps_of_time: 0, losses: 0, doubles: 0, forgets: 0, verdicts: 0 };

#[test_case(Core { steps_of_time: 2, ..SOUND }; "time passes")]
#[test_case(Core { steps_of_time: 1, losses: 1, ..SOUND }; "a word is lost")]
#[test_case(Core { doubles: 1, ..SOUND }; "a word comes twice")]
#[test_case(Core { steps_of_time: 1, forgets: 1, ..SOUND }; "a keeper forgets")]
#[test_case(Core { steps_of_time: 1, verdicts: 1, ..SOUND }; "a node is called lost")]
fn in_every_order_of_events_the_work_runs_once(core: Core) {
    let (states, breach) = states(core);
    println!("{states} states");
    assert!(!breach && states > 500, "{states} states, breach {breach}");
}

#[test_case(InjectedFault::SendBeforeReplicated, SOUND)]
#[test_case(InjectedFault::SingleReplicaSuffices, SOUND)]
#[test_case(InjectedFault::ConflictAccepted, SOUND)]
#[test_case(InjectedFault::AnswersWithoutHistory, Core { forgets: 2, ..SOUND })]
fn without_its_guards_it_runs_twice(fault: InjectedFault, core: Core) {
    let breach = states(Core { fault: Some(fault), ..core }).1;
    inject(None);
    assert!(breach, "{fault:?}");
}
