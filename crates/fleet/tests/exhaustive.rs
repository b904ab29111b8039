//! Model checking of leases and halts over all orders of events: a release of two of three units, of which
//! one may be out at a time; a leader that grants at any moment; messages that are late, repeated or lost;
//! operators that halt and resume.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use glendeck_fleet::policy::{Act, Amount, FleetPolicy, Limit, Limits, OnHalt, Place, Plan, UnitName};
use glendeck_fleet::state::{
    CallCounts, Command, Entry, Incarnation, Lease, Nonce, ReleaseState, State, UnitState,
};
use stateright::{Checker, Model, Property};

const UNITS: usize = 2;

fn name(index: usize) -> UnitName {
    UnitName(format!("n{index}"))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Unit {
    /// Index of the last log entry that the unit knows.
    last_known_entry: usize,
    incarnation: u64,
    count: u64,
    asked: Option<(Lease, Nonce)>,
    /// The unit asked to begin less than 2 s ago.
    has_asked_recently: bool,
    out: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct ModelState {
    /// The initial state, and the state after each appended entry.
    log: Vec<State>,
    units: Vec<Unit>,
    /// Requests to begin that were sent; each may arrive any number of times.
    begins_in_flight: BTreeSet<(usize, Lease, Nonce)>,
    /// The release has been halted for 2 s or longer.
    is_halted_for_long: bool,
    has_gone_out_late: bool,
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for state in &self.log {
            postcard::to_stdvec(state).unwrap().hash(hasher);
        }
        (&self.units, &self.begins_in_flight, self.is_halted_for_long, self.has_gone_out_late).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    GrantTurn(usize),
    Halt,
    Resume,
    /// A request to begin arrives and is decided, for the first time or again.
    DeliverBegin(usize, Lease, Nonce),
    /// A unit learns of the next entry.
    LearnEntry(usize),
    AskToBegin(usize),
    GoOut(usize),
    /// Two seconds pass.
    Wait,
    /// The unit exits, and its next process serves.
    LeaveAndRestart(usize),
    /// The leader has seen the unit's next process serve.
    MarkServing(usize),
}

/// The model, and which of the program's guards it leaves out.
#[derive(Clone, Copy, Default)]
struct LeaseModel {
    /// Leaves out the check that a begin is recent.
    any_age: bool,
    /// Lets a unit go out on a grant alone, without a begin.
    out_on_grant: bool,
    /// No entry is added once `log` holds this many states, including the initial one.
    longest_log: usize,
}

fn newest_state(model: &ModelState) -> &State {
    model.log.last().unwrap()
}

fn unit_state(state: &State, unit_index: usize) -> &UnitState {
    &state.units[&name(unit_index)].unit_state
}

fn is_halted(state: &State) -> bool {
    state.release.as_ref().is_some_and(|release| matches!(release.release_state, ReleaseState::Halted(_)))
}

fn append(model: &mut ModelState, command: Command) {
    let mut state = newest_state(model).clone();
    state.apply(&Entry { id: None, command });
    model.log.push(state);
}

impl Model for LeaseModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let place = Place { zone: String::new(), cell: String::new(), kind: String::new() };
        let policy = FleetPolicy {
            group: "g".into(),
            voters: vec![name(0)],
            limits: Limits {
                fleet: Limit { most_out: Some(Amount::Count(1)), least_left: None },
                ..Limits::default()
            },
            hosts: None,
            work: None,
            units: (0..UNITS + 1).map(|unit_index| (name(unit_index), place.clone())).collect(),
        };
        let plan = Plan {
            version: "v2".into(),
            units: (0..UNITS).map(name).collect(),
            waves: vec![Amount::Count(UNITS as u32)],
            watch_s: 3,
            unit_limit_s: 60,
            act: Act::Exit,
            on_halt: OnHalt::Hold,
            gates: Default::default(),
        };
        let mut state = State::before_founding(&policy.voters);
        let mut commands = vec![Command::Bootstrap(Box::new(policy))];
        commands.extend((0..UNITS + 1).map(|unit_index| Command::MarkServing {
            unit: name(unit_index),
            lease: None,
            version: "v1".into(),
        }));
        commands.push(Command::StartRelease { plan: Box::new(plan) });
        for command in commands {
            state.apply(&Entry { id: None, command });
        }
        let unit = Unit {
            last_known_entry: 0,
            incarnation: 1,
            count: 0,
            asked: None,
            has_asked_recently: false,
            out: false,
        };
        vec![ModelState {
            log: vec![state],
            units: vec![unit; UNITS],
            begins_in_flight: BTreeSet::new(),
            is_halted_for_long: false,
            has_gone_out_late: false,
        }]
    }

    fn actions(&self, model: &ModelState, steps: &mut Vec<Step>) {
        let has_room = model.log.len() < self.longest_log;
        if has_room {
            steps.extend([Step::Halt, Step::Resume]);
            steps.extend(
                model
                    .begins_in_flight
                    .iter()
                    .map(|(unit_index, lease, nonce)| Step::DeliverBegin(*unit_index, *lease, *nonce)),
            );
        }
        steps.push(Step::Wait);
        for (unit_index, unit) in model.units.iter().enumerate() {
            if has_room {
                steps.push(Step::GrantTurn(unit_index));
            }
            if unit.last_known_entry + 1 < model.log.len() {
                steps.push(Step::LearnEntry(unit_index));
            }
            let known = unit_state(&model.log[unit.last_known_entry], unit_index);
            let may_ask = match known {
                UnitState::Granted { .. } => true,
                UnitState::Begun { nonce, .. } => nonce.incarnation == Incarnation(unit.incarnation),
                _ => false,
            };
            if may_ask && !unit.out && unit.count < 2 {
                steps.push(Step::AskToBegin(unit_index));
            }
            let may_go_out = match known {
                UnitState::Begun { lease, nonce, .. } => unit.asked == Some((*lease, *nonce)),
                UnitState::Granted { .. } => self.out_on_grant,
                _ => false,
            };
            if may_go_out && !unit.out && (unit.has_asked_recently || self.any_age || self.out_on_grant) {
                steps.push(Step::GoOut(unit_index));
            }
            // Restarts are bounded, as without the guards a unit could exit endlessly and the state space
            // would be infinite.
            if unit.out && unit.incarnation < 3 {
                steps.push(Step::LeaveAndRestart(unit_index));
            }
            let has_restarted = match unit_state(newest_state(model), unit_index) {
                UnitState::Begun { nonce, .. } => nonce.incarnation != Incarnation(unit.incarnation),
                _ => false,
            };
            if has_room && has_restarted && !unit.out {
                steps.push(Step::MarkServing(unit_index));
            }
        }
    }

    fn next_state(&self, before: &ModelState, step: Step) -> Option<ModelState> {
        let mut model = before.clone();
        match step {
            Step::GrantTurn(unit_index) => {
                append(&mut model, Command::GrantTurn { release: 1, unit: name(unit_index) })
            }
            Step::Halt => append(&mut model, Command::Halt { why: "h".into() }),
            Step::Resume => append(&mut model, Command::Resume),
            Step::DeliverBegin(unit_index, lease, nonce) => {
                let call_counts = CallCounts::default();
                append(&mut model, Command::BeginDrain { unit: name(unit_index), lease, nonce, call_counts });
            }
            Step::LearnEntry(unit_index) => model.units[unit_index].last_known_entry += 1,
            Step::AskToBegin(unit_index) => {
                let lease =
                    unit_state(&model.log[model.units[unit_index].last_known_entry], unit_index).lease()?;
                let unit = &mut model.units[unit_index];
                unit.count += 1;
                let nonce = Nonce { incarnation: Incarnation(unit.incarnation), count: unit.count };
                unit.asked = Some((lease, nonce));
                unit.has_asked_recently = true;
                model.begins_in_flight.insert((unit_index, lease, nonce));
            }
            Step::GoOut(unit_index) => {
                model.units[unit_index].out = true;
                model.has_gone_out_late |= model.is_halted_for_long;
            }
            Step::Wait => {
                model.units.iter_mut().for_each(|unit| unit.has_asked_recently = false);
                model.is_halted_for_long = is_halted(newest_state(&model));
            }
            Step::LeaveAndRestart(unit_index) => {
                let unit = &mut model.units[unit_index];
                *unit = Unit {
                    incarnation: unit.incarnation + 1,
                    count: 0,
                    asked: None,
                    has_asked_recently: false,
                    out: false,
                    ..unit.clone()
                };
            }
            Step::MarkServing(unit_index) => {
                let lease = unit_state(newest_state(&model), unit_index).lease();
                append(
                    &mut model,
                    Command::MarkServing { unit: name(unit_index), lease, version: "v2".into() },
                );
            }
        }
        if !is_halted(newest_state(&model)) {
            model.is_halted_for_long = false;
        }
        // An entry that changes nothing but the applied count leads to no new state to explore.
        let changed = model.log.len() == before.log.len() || {
            let mut now = newest_state(&model).clone();
            let then = newest_state(before);
            now.applied = then.applied;
            now != *then
        };
        (changed && model != *before).then_some(model)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no more units out than the limit", |_, model| {
                model.units.iter().filter(|unit| unit.out).count() <= 1
            }),
            Property::<Self>::always("no drain starts 2 s after a halt", |_, model| !model.has_gone_out_late),
            Property::<Self>::sometimes("both units are changed", |_, model| {
                newest_state(model).release.as_ref().is_some_and(|release| release.done.len() == UNITS)
            }),
        ]
    }
}

fn check(model: LeaseModel) -> impl Checker<LeaseModel> {
    model.checker().threads(std::thread::available_parallelism().map_or(2, usize::from)).spawn_bfs().join()
}

/// `ENTRIES=8` explores one more log entry, and takes as many minutes as the default of 7 takes seconds.
#[test]
fn every_order_of_events_keeps_the_limit_and_the_halt() {
    let longest_log = std::env::var("ENTRIES").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
    let checked = check(LeaseModel { longest_log, ..LeaseModel::default() });
    println!("{} states, {longest_log} entries", checked.unique_state_count());
    checked.assert_properties();
}

/// With either of its two guards left out, the model violates a property, and the checker finds it.
#[test]
fn without_its_guards_the_model_fails() {
    let without_age_check = check(LeaseModel { any_age: true, longest_log: 5, ..LeaseModel::default() });
    assert!(without_age_check.discovery("no drain starts 2 s after a halt").is_some());
    let without_begin = check(LeaseModel { out_on_grant: true, longest_log: 5, ..LeaseModel::default() });
    assert!(without_begin.discovery("no drain starts 2 s after a halt").is_some());
    assert!(without_begin.discovery("no more units out than the limit").is_some());
}
