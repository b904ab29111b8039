//! A model of leases and halts, checked in all orders of events: two units of three that may go out one at a time,
//! a leader that grants at any moment, messages that come late, twice or never, operators that halt and resume.

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
    /// Index of the last log entry that it knows.
    known_entries: usize,
    incarnation: u64,
    count: u64,
    asked: Option<(Lease, Nonce)>,
    /// It asked less than 2 s ago.
    has_asked_lately: bool,
    out: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct ModelState {
    /// The state after each entry.
    log: Vec<State>,
    units: Vec<Unit>,
    /// Requests to begin that were sent; what has arrived may arrive again.
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
    /// A request to begin is decided, for the first time or again.
    DeliverBegin(usize, Lease, Nonce),
    /// A unit learns of the next entry.
    LearnEntry(usize),
    AskToBegin(usize),
    GoOut(usize),
    /// Two seconds pass.
    Wait,
    /// It leaves and its next process serves.
    LeaveAndRestart(usize),
    /// The leader has seen its next process serve.
    MarkServing(usize),
}

/// Which of the program's guards the model leaves out.
#[derive(Clone, Copy, Default)]
struct LeaseModel {
    /// A begin of any age lets a unit out.
    any_age: bool,
    /// A grant alone lets a unit out.
    out_on_grant: bool,
    /// Entries after which no more are added.
    longest_log: usize,
}

fn newest(model: &ModelState) -> &State {
    model.log.last().unwrap()
}

fn unit_state(state: &State, at: usize) -> &UnitState {
    &state.units[&name(at)].unit_state
}

fn is_halted(state: &State) -> bool {
    state.release.as_ref().is_some_and(|release| matches!(release.release_state, ReleaseState::Halted(_)))
}

fn append(model: &mut ModelState, command: Command) {
    let mut state = newest(model).clone();
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
            units: (0..UNITS + 1).map(|at| (name(at), place.clone())).collect(),
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
        commands.extend((0..UNITS + 1).map(|at| Command::MarkServing {
            unit: name(at),
            lease: None,
            version: "v1".into(),
        }));
        commands.push(Command::StartRelease { plan: Box::new(plan) });
        for command in commands {
            state.apply(&Entry { id: None, command });
        }
        let unit = Unit {
            known_entries: 0,
            incarnation: 1,
            count: 0,
            asked: None,
            has_asked_lately: false,
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
        let room = model.log.len() < self.longest_log;
        if room {
            steps.extend([Step::Halt, Step::Resume]);
            steps.extend(
                model
                    .begins_in_flight
                    .iter()
                    .map(|(at, lease, nonce)| Step::DeliverBegin(*at, *lease, *nonce)),
            );
        }
        steps.push(Step::Wait);
        for (at, unit) in model.units.iter().enumerate() {
            if room {
                steps.push(Step::GrantTurn(at));
            }
            if unit.known_entries + 1 < model.log.len() {
                steps.push(Step::LearnEntry(at));
            }
            let known = unit_state(&model.log[unit.known_entries], at);
            let may_ask = match known {
                UnitState::Granted { .. } => true,
                UnitState::Begun { nonce, .. } => nonce.incarnation == Incarnation(unit.incarnation),
                _ => false,
            };
            if may_ask && !unit.out && unit.count < 2 {
                steps.push(Step::AskToBegin(at));
            }
            let begun = match known {
                UnitState::Begun { lease, nonce, .. } => unit.asked == Some((*lease, *nonce)),
                UnitState::Granted { .. } => self.out_on_grant,
                _ => false,
            };
            if begun && !unit.out && (unit.has_asked_lately || self.any_age || self.out_on_grant) {
                steps.push(Step::GoOut(at));
            }
            // Without its guards a unit could leave for ever, and there would be no end to it.
            if unit.out && unit.incarnation < 3 {
                steps.push(Step::LeaveAndRestart(at));
            }
            let gone = match unit_state(newest(model), at) {
                UnitState::Begun { nonce, .. } => nonce.incarnation != Incarnation(unit.incarnation),
                _ => false,
            };
            if room && gone && !unit.out {
                steps.push(Step::MarkServing(at));
            }
        }
    }

    fn next_state(&self, before: &ModelState, step: Step) -> Option<ModelState> {
        let mut model = before.clone();
        match step {
            Step::GrantTurn(at) => append(&mut model, Command::GrantTurn { release: 1, unit: name(at) }),
            Step::Halt => append(&mut model, Command::Halt { why: "h".into() }),
            Step::Resume => append(&mut model, Command::Resume),
            Step::DeliverBegin(at, lease, nonce) => {
                let call_counts = CallCounts::default();
                append(&mut model, Command::BeginDrain { unit: name(at), lease, nonce, call_counts });
            }
            Step::LearnEntry(at) => model.units[at].known_entries += 1,
            Step::AskToBegin(at) => {
                let lease = unit_state(&model.log[model.units[at].known_entries], at).lease()?;
                let unit = &mut model.units[at];
                unit.count += 1;
                let nonce = Nonce { incarnation: Incarnation(unit.incarnation), count: unit.count };
                unit.asked = Some((lease, nonce));
                unit.has_asked_lately = true;
                model.begins_in_flight.insert((at, lease, nonce));
            }
            Step::GoOut(at) => {
                model.units[at].out = true;
                model.has_gone_out_late |= model.is_halted_for_long;
            }
            Step::Wait => {
                model.units.iter_mut().for_each(|unit| unit.has_asked_lately = false);
                model.is_halted_for_long = is_halted(newest(&model));
            }
            Step::LeaveAndRestart(at) => {
                let unit = &mut model.units[at];
                *unit = Unit {
                    incarnation: unit.incarnation + 1,
                    count: 0,
                    asked: None,
                    has_asked_lately: false,
                    out: false,
                    ..unit.clone()
                };
            }
            Step::MarkServing(at) => {
                let lease = unit_state(newest(&model), at).lease();
                append(&mut model, Command::MarkServing { unit: name(at), lease, version: "v2".into() });
            }
        }
        if !is_halted(newest(&model)) {
            model.is_halted_for_long = false;
        }
        // An entry that changes nothing is no new place to go on from.
        let changed = model.log.len() == before.log.len() || {
            let mut now = newest(&model).clone();
            let then = newest(before);
            now.applied = then.applied;
            now != *then
        };
        (changed && model != *before).then_some(model)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no more out than may be", |_, model| {
                model.units.iter().filter(|unit| unit.out).count() <= 1
            }),
            Property::<Self>::always("nobody goes out 2 s after a halt", |_, model| !model.has_gone_out_late),
            Property::<Self>::sometimes("both are changed", |_, model| {
                newest(model).release.as_ref().is_some_and(|release| release.done.len() == UNITS)
            }),
        ]
    }
}

fn check(model: LeaseModel) -> impl Checker<LeaseModel> {
    model.checker().threads(std::thread::available_parallelism().map_or(2, usize::from)).spawn_bfs().join()
}

/// `ENTRIES=8` looks further, for as many minutes as seconds.
#[test]
fn every_order_of_events_keeps_the_limit_and_the_halt() {
    let longest_log = std::env::var("ENTRIES").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
    let checked = check(LeaseModel { longest_log, ..LeaseModel::default() });
    println!("{} states, {longest_log} entries", checked.unique_state_count());
    checked.assert_properties();
}

/// Without either of its two guards the model breaks a property, and the checker finds it.
#[test]
fn without_its_guards_the_model_fails() {
    let aged = check(LeaseModel { any_age: true, longest_log: 5, ..LeaseModel::default() });
    assert!(aged.discovery("nobody goes out 2 s after a halt").is_some());
    let granted = check(LeaseModel { out_on_grant: true, longest_log: 5, ..LeaseModel::default() });
    assert!(granted.discovery("nobody goes out 2 s after a halt").is_some());
    assert!(granted.discovery("no more out than may be").is_some());
}
