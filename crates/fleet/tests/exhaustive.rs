//! The small core of leases and halts, all of its orders of events: two units of three that may go out one at a time,
//! a leader that grants at any moment, letters that come late, twice or never, operators that halt and resume.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use glendeck_fleet::policy::{Act, Amount, FleetPolicy, Limit, Limits, OnHalt, Place, Plan, UnitName};
use glendeck_fleet::state::{
    CallCounts, Command, Entry, Incarnation, Lease, Nonce, ReleaseState, State, UnitState,
};
use stateright::{Checker, Model, Property};

const UNITS: usize = 2;

fn name(at: usize) -> UnitName {
    UnitName(format!("n{at}"))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Unit {
    /// Entries of the log that it has heard.
    heard: usize,
    incarnation: u64,
    count: u64,
    asked: Option<(Lease, Nonce)>,
    /// It asked less than 2 s ago.
    fresh: bool,
    out: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct Spot {
    /// The state after each entry.
    log: Vec<State>,
    units: Vec<Unit>,
    /// Begins on their way; what has arrived may arrive again.
    consensus_messages: BTreeSet<(usize, Lease, Nonce)>,
    /// The release has been halted for 2 s or longer.
    long_halted: bool,
    went_late: bool,
}

impl Eq for Spot {}

impl Hash for Spot {
    fn hash<H: Hasher>(&self, to: &mut H) {
        for state in &self.log {
            postcard::to_stdvec(state).unwrap().hash(to);
        }
        (&self.units, &self.consensus_messages, self.long_halted, self.went_late).hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Turn(usize),
    Halt,
    Resume,
    Arrive(usize, Lease, Nonce),
    Hear(usize),
    Ask(usize),
    GoOut(usize),
    /// Two seconds pass.
    Wait,
    /// It leaves and its next process serves.
    ChangedUnit(usize),
    RequestResult(usize),
}

/// What is left out of the program on purpose.
#[derive(Clone, Copy, Default)]
struct Core {
    any_age: bool,
    out_on_grant: bool,
    longest_log: usize,
}

fn agreed(spot: &Spot) -> &State {
    spot.log.last().unwrap()
}

fn unit_state(state: &State, at: usize) -> &UnitState {
    &state.units[&name(at)].unit_state
}

fn is_halted(state: &State) -> bool {
    state.release.as_ref().is_some_and(|release| matches!(release.release_state, ReleaseState::Halted(_)))
}

fn append(spot: &mut Spot, command: Command) {
    let mut state = agreed(spot).clone();
    state.apply(&Entry { id: None, command });
    spot.log.push(state);
}

impl Model for Core {
    type State = Spot;
    type Action = Step;

    fn init_states(&self) -> Vec<Spot> {
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
        let mut all = vec![Command::Bootstrap(Box::new(policy))];
        all.extend((0..UNITS + 1).map(|at| Command::MarkServing {
            unit: name(at),
            lease: None,
            version: "v1".into(),
        }));
        all.push(Command::StartRelease { plan: Box::new(plan) });
        for command in all {
            state.apply(&Entry { id: None, command });
        }
        let unit = Unit { heard: 0, incarnation: 1, count: 0, asked: None, fresh: false, out: false };
        vec![Spot {
            log: vec![state],
            units: vec![unit; UNITS],
            consensus_messages: BTreeSet::new(),
            long_halted: false,
            went_late: false,
        }]
    }

    fn actions(&self, spot: &Spot, steps: &mut Vec<Step>) {
        let room = spot.log.len() < self.longest_log;
        if room {
            steps.extend([Step::Halt, Step::Resume]);
            steps.extend(
                spot.consensus_messages.iter().map(|(at, lease, nonce)| Step::Arrive(*at, *lease, *nonce)),
            );
        }
        steps.push(Step::Wait);
        for (at, unit) in spot.units.iter().enumerate() {
            if room {
                steps.push(Step::Turn(at));
            }
            if unit.heard + 1 < spot.log.len() {
                steps.push(Step::Hear(at));
            }
            let known = unit_state(&spot.log[unit.heard], at);
            let may_ask = match known {
                UnitState::Granted { .. } => true,
                UnitState::Begun { nonce, .. } => nonce.incarnation == Incarnation(unit.incarnation),
                _ => false,
            };
            if may_ask && !unit.out && unit.count < 2 {
                steps.push(Step::Ask(at));
            }
            let begun = match known {
                UnitState::Begun { lease, nonce, .. } => unit.asked == Some((*lease, *nonce)),
                UnitState::Granted { .. } => self.out_on_grant,
                _ => false,
            };
            if begun && !unit.out && (unit.fresh || self.any_age || self.out_on_grant) {
                steps.push(Step::GoOut(at));
            }
            // Without its guards a unit could leave for ever, and there would be no end to it.
            if unit.out && unit.incarnation < 3 {
                steps.push(Step::ChangedUnit(at));
            }
            let gone = match unit_state(agreed(spot), at) {
                UnitState::Begun { nonce, .. } => nonce.incarnation != Incarnation(unit.incarnation),
                _ => false,
            };
            if room && gone && !unit.out {
                steps.push(Step::RequestResult(at));
            }
        }
    }

    fn next_state(&self, before: &Spot, step: Step) -> Option<Spot> {
        let mut spot = before.clone();
        match step {
            Step::Turn(at) => append(&mut spot, Command::GrantTurn { release: 1, unit: name(at) }),
            Step::Halt => append(&mut spot, Command::Halt { why: "h".into() }),
            Step::Resume => append(&mut spot, Command::Resume),
            Step::Arrive(at, lease, nonce) => {
                let call_counts = CallCounts::default();
                append(&mut spot, Command::BeginDrain { unit: name(at), lease, nonce, call_counts });
            }
            Step::Hear(at) => spot.units[at].heard += 1,
            Step::Ask(at) => {
                let lease = unit_state(&spot.log[spot.units[at].heard], at).lease()?;
                let unit = &mut spot.units[at];
                unit.count += 1;
                let nonce = Nonce { incarnation: Incarnation(unit.incarnation), count: unit.count };
                (unit.asked, unit.fresh) = (Some((lease, nonce)), true);
                spot.consensus_messages.insert((at, lease, nonce));
            }
            Step::GoOut(at) => {
                spot.units[at].out = true;
                spot.went_late |= spot.long_halted;
            }
            Step::Wait => {
                spot.units.iter_mut().for_each(|unit| unit.fresh = false);
                spot.long_halted = is_halted(agreed(&spot));
            }
            Step::ChangedUnit(at) => {
                let unit = &mut spot.units[at];
                *unit = Unit {
                    incarnation: unit.incarnation + 1,
                    count: 0,
                    asked: None,
                    fresh: false,
                    out: false,
                    ..unit.clone()
                };
            }
            Step::RequestResult(at) => {
                let lease = unit_state(agreed(&spot), at).lease();
                append(&mut spot, Command::MarkServing { unit: name(at), lease, version: "v2".into() });
            }
        }
        if !is_halted(agreed(&spot)) {
            spot.long_halted = false;
        }
        // An entry that changes nothing is no new place to go on from.
        let changed = spot.log.len() == before.log.len() || {
            let (mut now, then) = (agreed(&spot).clone(), agreed(before));
            now.applied = then.applied;
            now != *then
        };
        (changed && spot != *before).then_some(spot)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no more out than may be", |_, spot| {
                spot.units.iter().filter(|unit| unit.out).count() <= 1
            }),
            Property::<Self>::always("nobody goes out 2 s after a halt", |_, spot| !spot.went_late),
            Property::<Self>::sometimes("both are changed", |_, spot| {
                agreed(spot).release.as_ref().is_some_and(|release| release.done.len() == UNITS)
            }),
        ]
    }
}

fn check(core: Core) -> impl Checker<Core> {
    core.checker().threads(std::thread::available_parallelism().map_or(2, usize::from)).spawn_bfs().join()
}

/// `ENTRIES=8` looks further, for as many minutes as seconds.
#[test]
fn every_order_of_events_keeps_the_room_and_the_halt() {
    let longest_log = std::env::var("ENTRIES").ok().and_then(|text| text.parse().ok()).unwrap_or(7);
    let checked = check(Core { longest_log, ..Core::default() });
    println!("{} states, {longest_log} entries", checked.unique_state_count());
    checked.assert_properties();
}

/// Without its two guards the core fails, and the checker says how.
#[test]
fn without_its_guards_the_core_fails() {
    let aged = check(Core { any_age: true, longest_log: 5, ..Core::default() });
    assert!(aged.discovery("nobody goes out 2 s after a halt").is_some());
    let granted = check(Core { out_on_grant: true, longest_log: 5, ..Core::default() });
    assert!(granted.discovery("nobody goes out 2 s after a halt").is_some());
    assert!(granted.discovery("no more out than may be").is_some());
}
