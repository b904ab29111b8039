//! The core of the protocol in all orders of events: two nodes, two replicas, one client with one non-idempotent work.
//! Messages arrive in any order, get lost or arrive twice; the first node dies, or the client leaves it too early; a replica
//! restarts; the first node is declared lost, and each node learns of that at a time of its own; time passes at any moment.

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
const RETENTION_MS: u64 = 4_000;
const LONGEST_CALL_MS: u64 = 1_500;
/// One step of time: longer than a record is left alone.
const TIME_STEP_MS: u64 = 700;

fn name(at: usize) -> UnitName {
    UnitName(NAMES[at].into())
}

#[derive(Clone)]
struct State {
    now: u64,
    nodes: Vec<Option<Takeover>>,
    /// Sender, receiver, message.
    net: Vec<(usize, usize, ReplicaMessage)>,
    term: u64,
    /// What each knows of it.
    known_terms: Vec<u64>,
    /// Which nodes have the call in hand, and whether an attempt may have run there.
    in_hand: BTreeMap<usize, bool>,
    has_repeated: bool,
    ran: u32,
    answered: Vec<(usize, &'static str)>,
    lost: u32,
    duplicated: u32,
    restart_count: u32,
}

impl State {
    fn text(&self) -> String {
        let mut net: Vec<String> = self.net.iter().map(|message| format!("{message:?}")).collect();
        net.sort();
        format!(
            "{} {:?} {net:?} {} {:?} {:?} {} {} {:?} {} {} {}",
            self.now,
            self.nodes,
            self.term,
            self.known_terms,
            self.in_hand,
            self.has_repeated,
            self.ran,
            self.answered,
            self.lost,
            self.duplicated,
            self.restart_count
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
            terms: [(name(A), self.known_terms[at])].into(),
        }
    }

    fn carry_out(&mut self, at: usize) {
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
                Action::Admit(_, None) => self.replicate_intent(at),
                Action::InFlightElsewhere(_) => {
                    if let Some(takeover) = &mut self.nodes[at] {
                        takeover.call_repeated(now, CALL, WorkId(1), LONGEST_CALL_MS);
                    }
                    self.carry_out(at);
                }
                // Once-only: what may have run is released.
                Action::Admit(_, Some(_)) | Action::Fail(_) => self.answer(at, "failed"),
                Action::NotReplicated(_) => self.answer(at, "rejected"),
            }
        }
    }

    fn replicate_intent(&mut self, at: usize) {
        let now = self.timestamp();
        let attempt = Attempt {
            work: WorkId(1),
            host: 7,
            prior: None,
            remaining_ms: LONGEST_CALL_MS,
            send_before: now.plus_ms(LONGEST_CALL_MS),
        };
        if let Some(takeover) = &mut self.nodes[at] {
            takeover.replicate_intent(now, CALL, attempt);
        }
        self.carry_out(at);
    }

    fn answer(&mut self, at: usize, what: &'static str) {
        let Some(ran) = self.in_hand.remove(&at) else { return };
        self.answered.push((at, what));
        let now = self.timestamp();
        let outcome = if ran { Outcome::Answered } else { Outcome::NeverRan };
        if let Some(takeover) = &mut self.nodes[at] {
            takeover.call_ended(now, CALL, outcome);
        }
        self.carry_out(at);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.text() == other.text()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.text().hash(to);
    }
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} s, ran {}, answered {:?}", self.now as f64 / 1e3, self.ran, self.answered)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    MessageArrives(usize),
    MessageLost(usize),
    Duplicated(usize),
    TimePasses,
    /// The first node answers what its attempt brought.
    Answers,
    Dies,
    /// The client leaves the first node, which does not notice, and comes to the second.
    ClientRepeats,
    Restarts(usize),
    DeclaredLost,
    LearnsTerm(usize),
}

struct Core {
    fault: Option<InjectedFault>,
    steps_of_time: u64,
    losses: u32,
    duplicates: u32,
    restarts: u32,
    losses_of_node: u64,
}

impl Model for Core {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        inject(self.fault);
        // Replicas have been up for long.
        let start = Timestamp::ms(90_000_000);
        let nodes = (0..4).map(|at| {
            Some(Takeover::new(
                start,
                name(at),
                Incarnation(at as u64 + 1),
                at as u64,
                RETENTION_MS,
                LONGEST_CALL_MS,
            ))
        });
        let mut state = State {
            now: 90_060_000,
            nodes: nodes.collect(),
            net: vec![],
            term: 0,
            known_terms: vec![0; 4],
            in_hand: [(A, false)].into(),
            has_repeated: false,
            ran: 0,
            answered: vec![],
            lost: 0,
            duplicated: 0,
            restart_count: 0,
        };
        for at in 0..4 {
            let view = state.view(at);
            // They have held their voter slots from the start.
            state.nodes[at].as_mut().unwrap().membership_changed(start, view);
        }
        state.replicate_intent(A);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        inject(self.fault);
        for at in 0..state.net.len() {
            // Equal messages between the same nodes are the same event.
            if state.net[..at].contains(&state.net[at]) {
                continue;
            }
            actions.push(Event::MessageArrives(at));
            if state.lost < self.losses {
                actions.push(Event::MessageLost(at));
            }
            if state.duplicated < self.duplicates {
                actions.push(Event::Duplicated(at));
            }
        }
        if state.now < 90_060_000 + self.steps_of_time * TIME_STEP_MS {
            actions.push(Event::TimePasses);
        }
        if state.nodes[A].is_some() {
            actions.push(Event::Dies);
            if state.in_hand.get(&A) == Some(&true) {
                actions.push(Event::Answers);
            }
        }
        if !state.has_repeated {
            actions.push(Event::ClientRepeats);
        }
        // Where both may forget, only after something has run: there are too many orders else.
        if state.restart_count < self.restarts
            && (self.restarts < 2 || state.ran > 0 && state.nodes[A].is_none())
        {
            actions.extend(REPLICAS.map(Event::Restarts));
        }
        if state.term < self.losses_of_node {
            actions.push(Event::DeclaredLost);
        }
        actions.extend((0..4).filter(|at| state.known_terms[*at] < state.term).map(Event::LearnsTerm));
    }

    #[expect(clippy::too_many_lines, reason = "one arm an action of the model")]
    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        inject(self.fault);
        let mut state = last.clone();
        let now = state.timestamp();
        match event {
            Event::MessageArrives(at) => {
                let (from, to, message) = state.net.remove(at);
                if let Some(takeover) = &mut state.nodes[to] {
                    takeover.message_received(now, &name(from), message);
                }
                state.carry_out(to);
            }
            Event::MessageLost(at) => {
                state.net.remove(at);
                state.lost += 1;
            }
            Event::Duplicated(at) => {
                let message = state.net[at].clone();
                state.net.push(message);
                state.duplicated += 1;
            }
            Event::TimePasses => {
                state.now += TIME_STEP_MS;
                let now = state.timestamp();
                for at in 0..4 {
                    if let Some(takeover) = &mut state.nodes[at] {
                        takeover.tick(now);
                    }
                    state.carry_out(at);
                }
            }
            Event::Answers => state.answer(A, "up"),
            Event::Dies => {
                state.nodes[A] = None;
                state.in_hand.remove(&A);
            }
            Event::ClientRepeats => {
                state.has_repeated = true;
                state.in_hand.insert(B, false);
                if let Some(takeover) = &mut state.nodes[B] {
                    takeover.call_repeated(now, CALL, WorkId(1), LONGEST_CALL_MS);
                }
                state.carry_out(B);
            }
            Event::Restarts(at) => {
                let incarnation = Incarnation(100 + at as u64);
                let mut fresh =
                    Takeover::new(now, name(at), incarnation, at as u64, RETENTION_MS, LONGEST_CALL_MS);
                fresh.membership_changed(now, state.view(at));
                state.nodes[at] = Some(fresh);
                state.restart_count += 1;
            }
            Event::DeclaredLost => state.term = 1,
            Event::LearnsTerm(at) => {
                state.known_terms[at] = state.term;
                let view = state.view(at);
                if let Some(takeover) = &mut state.nodes[at] {
                    takeover.membership_changed(now, view);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("once", |_, state: &State| state.ran <= 1),
            Property::sometimes("the second node serves it", |_, state: &State| {
                state.ran == 1 && state.in_hand.get(&B) == Some(&true)
            }),
            Property::sometimes("the second node fails it", |_, state: &State| {
                state.answered.contains(&(B, "failed"))
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

const SOUND: Core =
    Core { fault: None, steps_of_time: 0, losses: 0, duplicates: 0, restarts: 0, losses_of_node: 0 };

#[test_case(Core { steps_of_time: 2, ..SOUND }; "time passes")]
#[test_case(Core { steps_of_time: 1, losses: 1, ..SOUND }; "a message is lost")]
#[test_case(Core { duplicates: 1, ..SOUND }; "a message arrives twice")]
#[test_case(Core { steps_of_time: 1, restarts: 1, ..SOUND }; "a replica restarts")]
#[test_case(Core { steps_of_time: 1, losses_of_node: 1, ..SOUND }; "a node is declared lost")]
fn the_work_runs_once_in_every_order_of_events(core: Core) {
    let (states, breach) = states(core);
    println!("{states} states");
    assert!(!breach && states > 500, "{states} states, breach {breach}");
}

#[test_case(InjectedFault::SendBeforeReplicated, SOUND)]
#[test_case(InjectedFault::SingleReplicaSuffices, SOUND)]
#[test_case(InjectedFault::ConflictAccepted, SOUND)]
#[test_case(InjectedFault::AnswersWithoutHistory, Core { restarts: 2, ..SOUND })]
fn the_work_runs_twice_with_an_injected_fault(fault: InjectedFault, core: Core) {
    let breach = states(Core { fault: Some(fault), ..core }).1;
    inject(None);
    assert!(breach, "{fault:?}");
}
