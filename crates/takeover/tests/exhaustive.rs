//! Model check of the protocol in all orders of events: two nodes, two replicas, one client with one
//! non-idempotent work item. Messages arrive in any order, get lost or arrive twice. The first node dies, or
//! its client leaves it too early. A replica restarts. The first node is declared lost, and each node learns
//! of that at its own time. Time may pass between any two events. Each test enables some of these events.

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
/// One step of time: longer than the quiet period of a record.
const TIME_STEP_MS: u64 = 700;

fn name(index: usize) -> UnitName {
    UnitName(NAMES[index].into())
}

#[derive(Clone)]
struct State {
    now: u64,
    nodes: Vec<Option<Takeover>>,
    /// Sender, receiver, message.
    network: Vec<(usize, usize, ReplicaMessage)>,
    /// How often the first node was declared lost.
    term: u64,
    /// The value of `term` that each node knows.
    known_terms: Vec<u64>,
    /// The nodes with an open call, and whether an attempt may have run there.
    open_calls: BTreeMap<usize, bool>,
    has_repeated: bool,
    run_count: u32,
    answered: Vec<(usize, &'static str)>,
    lost_count: u32,
    duplicated_count: u32,
    restart_count: u32,
}

impl State {
    fn text(&self) -> String {
        let mut network: Vec<String> = self.network.iter().map(|message| format!("{message:?}")).collect();
        network.sort();
        format!(
            "{} {:?} {network:?} {} {:?} {:?} {} {} {:?} {} {} {}",
            self.now,
            self.nodes,
            self.term,
            self.known_terms,
            self.open_calls,
            self.has_repeated,
            self.run_count,
            self.answered,
            self.lost_count,
            self.duplicated_count,
            self.restart_count
        )
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp::ms(self.now)
    }

    fn view(&self, index: usize) -> View {
        View {
            voter_slots: REPLICAS.map(name).to_vec(),
            version: 0,
            hears_leader: true,
            terms: [(name(A), self.known_terms[index])].into(),
        }
    }

    fn carry_out(&mut self, index: usize) {
        let Some(takeover) = &mut self.nodes[index] else { return };
        let now = Timestamp::ms(self.now);
        for action in takeover.take_actions() {
            match action {
                Action::Send(to, message) => {
                    let to = NAMES.iter().position(|name| *name == to.0).unwrap();
                    self.network.push((index, to, message));
                }
                Action::Proceed(_) => {
                    self.run_count += 1;
                    self.open_calls.insert(index, true);
                }
                Action::Admit(_, None) => self.replicate_intent(index),
                Action::InFlightElsewhere(_) => {
                    if let Some(takeover) = &mut self.nodes[index] {
                        takeover.call_repeated(now, CALL, WorkId(1), LONGEST_CALL_MS);
                    }
                    self.carry_out(index);
                }
                // The work item is non-idempotent: the call fails if an attempt may have run.
                Action::Admit(_, Some(_)) | Action::Fail(_) => self.answer(index, "failed"),
                Action::NotReplicated(_) => self.answer(index, "rejected"),
            }
        }
    }

    fn replicate_intent(&mut self, index: usize) {
        let now = self.timestamp();
        let attempt = Attempt {
            work: WorkId(1),
            host: 7,
            prior: None,
            remaining_ms: LONGEST_CALL_MS,
            send_before: now.plus_ms(LONGEST_CALL_MS),
        };
        if let Some(takeover) = &mut self.nodes[index] {
            takeover.replicate_intent(now, CALL, attempt);
        }
        self.carry_out(index);
    }

    fn answer(&mut self, index: usize, result: &'static str) {
        let Some(may_have_run) = self.open_calls.remove(&index) else { return };
        self.answered.push((index, result));
        let now = self.timestamp();
        let outcome = if may_have_run { Outcome::Answered } else { Outcome::NeverRan };
        if let Some(takeover) = &mut self.nodes[index] {
            takeover.call_ended(now, CALL, outcome);
        }
        self.carry_out(index);
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
        write!(f, "{} s, ran {}, answered {:?}", self.now as f64 / 1e3, self.run_count, self.answered)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    MessageArrives(usize),
    MessageLost(usize),
    MessageDuplicated(usize),
    TimePasses,
    /// The first node answers its client with the result of its attempt.
    FirstNodeAnswers,
    FirstNodeDies,
    /// The client leaves the first node, which does not notice that, and repeats the call at the second node.
    ClientRepeats,
    ReplicaRestarts(usize),
    FirstNodeDeclaredLost,
    LearnsTerm(usize),
}

struct ProtocolModel {
    fault: Option<InjectedFault>,
    max_time_steps: u64,
    max_lost: u32,
    max_duplicated: u32,
    max_restarts: u32,
    max_term: u64,
}

impl Model for ProtocolModel {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        inject(self.fault);
        // The replicas started long ago, so they have their full history.
        let start = Timestamp::ms(90_000_000);
        let nodes = (0..4).map(|index| {
            Some(Takeover::new(
                start,
                name(index),
                Incarnation(index as u64 + 1),
                index as u64,
                RETENTION_MS,
                LONGEST_CALL_MS,
            ))
        });
        let mut state = State {
            now: 90_060_000,
            nodes: nodes.collect(),
            network: vec![],
            term: 0,
            known_terms: vec![0; 4],
            open_calls: [(A, false)].into(),
            has_repeated: false,
            run_count: 0,
            answered: vec![],
            lost_count: 0,
            duplicated_count: 0,
            restart_count: 0,
        };
        for index in 0..4 {
            let view = state.view(index);
            // The replicas have held their voter slots from the start.
            state.nodes[index].as_mut().unwrap().membership_changed(start, view);
        }
        state.replicate_intent(A);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Event>) {
        inject(self.fault);
        for index in 0..state.network.len() {
            // Equal messages between the same nodes are the same event.
            if state.network[..index].contains(&state.network[index]) {
                continue;
            }
            actions.push(Event::MessageArrives(index));
            if state.lost_count < self.max_lost {
                actions.push(Event::MessageLost(index));
            }
            if state.duplicated_count < self.max_duplicated {
                actions.push(Event::MessageDuplicated(index));
            }
        }
        if state.now < 90_060_000 + self.max_time_steps * TIME_STEP_MS {
            actions.push(Event::TimePasses);
        }
        if state.nodes[A].is_some() {
            actions.push(Event::FirstNodeDies);
            if state.open_calls.get(&A) == Some(&true) {
                actions.push(Event::FirstNodeAnswers);
            }
        }
        if !state.has_repeated {
            actions.push(Event::ClientRepeats);
        }
        // If both replicas may restart, they do so only after an attempt has run and the first node is dead.
        // Otherwise there are too many orders of events.
        if state.restart_count < self.max_restarts
            && (self.max_restarts < 2 || state.run_count > 0 && state.nodes[A].is_none())
        {
            actions.extend(REPLICAS.map(Event::ReplicaRestarts));
        }
        if state.term < self.max_term {
            actions.push(Event::FirstNodeDeclaredLost);
        }
        actions.extend((0..4).filter(|index| state.known_terms[*index] < state.term).map(Event::LearnsTerm));
    }

    #[expect(clippy::too_many_lines, reason = "one arm per action of the model")]
    fn next_state(&self, previous: &State, event: Event) -> Option<State> {
        inject(self.fault);
        let mut state = previous.clone();
        let now = state.timestamp();
        match event {
            Event::MessageArrives(index) => {
                let (from, to, message) = state.network.remove(index);
                if let Some(takeover) = &mut state.nodes[to] {
                    takeover.message_received(now, &name(from), message);
                }
                state.carry_out(to);
            }
            Event::MessageLost(index) => {
                state.network.remove(index);
                state.lost_count += 1;
            }
            Event::MessageDuplicated(index) => {
                let message = state.network[index].clone();
                state.network.push(message);
                state.duplicated_count += 1;
            }
            Event::TimePasses => {
                state.now += TIME_STEP_MS;
                let now = state.timestamp();
                for index in 0..4 {
                    if let Some(takeover) = &mut state.nodes[index] {
                        takeover.tick(now);
                    }
                    state.carry_out(index);
                }
            }
            Event::FirstNodeAnswers => state.answer(A, "established"),
            Event::FirstNodeDies => {
                state.nodes[A] = None;
                state.open_calls.remove(&A);
            }
            Event::ClientRepeats => {
                state.has_repeated = true;
                state.open_calls.insert(B, false);
                if let Some(takeover) = &mut state.nodes[B] {
                    takeover.call_repeated(now, CALL, WorkId(1), LONGEST_CALL_MS);
                }
                state.carry_out(B);
            }
            Event::ReplicaRestarts(index) => {
                let incarnation = Incarnation(100 + index as u64);
                let mut restarted =
                    Takeover::new(now, name(index), incarnation, index as u64, RETENTION_MS, LONGEST_CALL_MS);
                restarted.membership_changed(now, state.view(index));
                state.nodes[index] = Some(restarted);
                state.restart_count += 1;
            }
            Event::FirstNodeDeclaredLost => state.term = 1,
            Event::LearnsTerm(index) => {
                state.known_terms[index] = state.term;
                let view = state.view(index);
                if let Some(takeover) = &mut state.nodes[index] {
                    takeover.membership_changed(now, view);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one run", |_, state: &State| state.run_count <= 1),
            Property::sometimes("the second node serves the call", |_, state: &State| {
                state.run_count == 1 && state.open_calls.get(&B) == Some(&true)
            }),
            Property::sometimes("the second node fails the call", |_, state: &State| {
                state.answered.contains(&(B, "failed"))
            }),
        ]
    }
}

/// Returns the number of states, and whether one of them violates the property. The search is depth-first, so
/// that few states are held at a time. `STATES=n` sets the limit of explored states.
fn states(model: ProtocolModel) -> (usize, bool) {
    // The search uses one thread, as faults are injected per thread.
    let max_states =
        std::env::var("STATES").ok().and_then(|max_states| max_states.parse().ok()).unwrap_or(2_000_000);
    let checker = model.checker().target_state_count(max_states).spawn_dfs().join();
    let (states, is_violated) =
        (checker.unique_state_count(), checker.discovery("at most one run").is_some());
    assert!(is_violated || states < max_states, "the limit of states was reached before all were explored");
    (states, is_violated)
}

const BASE_MODEL: ProtocolModel = ProtocolModel {
    fault: None,
    max_time_steps: 0,
    max_lost: 0,
    max_duplicated: 0,
    max_restarts: 0,
    max_term: 0,
};

#[test_case(ProtocolModel { max_time_steps: 2, ..BASE_MODEL }; "time passes")]
#[test_case(ProtocolModel { max_time_steps: 1, max_lost: 1, ..BASE_MODEL }; "a message is lost")]
#[test_case(ProtocolModel { max_duplicated: 1, ..BASE_MODEL }; "a message arrives twice")]
#[test_case(ProtocolModel { max_time_steps: 1, max_restarts: 1, ..BASE_MODEL }; "a replica restarts")]
#[test_case(ProtocolModel { max_time_steps: 1, max_term: 1, ..BASE_MODEL }; "a node is declared lost")]
fn the_work_item_runs_at_most_once_in_every_order_of_events(model: ProtocolModel) {
    let (states, is_violated) = states(model);
    println!("{states} states");
    assert!(!is_violated && states > 500, "{states} states, violated {is_violated}");
}

#[test_case(InjectedFault::SendBeforeReplicated, BASE_MODEL)]
#[test_case(InjectedFault::SingleReplicaSuffices, BASE_MODEL)]
#[test_case(InjectedFault::ConflictAccepted, BASE_MODEL)]
#[test_case(InjectedFault::AnswersWithoutHistory, ProtocolModel { max_restarts: 2, ..BASE_MODEL })]
fn the_work_item_runs_twice_with_an_injected_fault(fault: InjectedFault, model: ProtocolModel) {
    let is_violated = states(ProtocolModel { fault: Some(fault), ..model }).1;
    inject(None);
    assert!(is_violated, "{fault:?}");
}
