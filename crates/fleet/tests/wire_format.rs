//! The bytes that voters keep on disk and that nodes send each other, and the JSON that operators see, as recorded in
//! `tests/fixtures/`. `postcard` is positional: the order of fields and of variants is part of the form.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use glendeck_fleet::charter::{Act, Amount, Charter, OnHalt, Place, Plan, UnitName};
use glendeck_fleet::engine::Voter;
use glendeck_fleet::hosts::{EndpointState, HostLine};
use glendeck_fleet::message::{
    Beat, Chair, Echo, Envelope, Fact, Hello, Message, News, Reach, Told, VERSION, Witness,
};
use glendeck_fleet::state::{
    AskId, Cause, Command, Entry, Incarnation, Life, Nonce, Permit, Rates, Seat, Standing, State,
};
use glendeck_fleet::{Fleet, Key, LONGEST_LOG, Moment, Saved, Setup, Write};

const FRAMES: &str = include_str!("fixtures/frames.txt");
const SHOWN: &str = include_str!("fixtures/shown.json");

fn unit(name: &str) -> UnitName {
    name.into()
}

fn charter() -> Charter {
    let text = r#"{"group": "north", "voters": ["a", "b", "c"],
        "limits": {"fleet": {"most_out": "50%", "least_left": 1}, "zone": {"most_out": 1}},
        "hosts": {"limits": {"fleet": {"most_out": "25%"}}, "moves_per_second": 7, "forget_after_s": 60},
        "work": {"recall_s": 45},
        "units": {"a": {"zone": "z1", "cell": "1", "kind": "k"}, "b": {"zone": "z2"}, "c": {"zone": "z3"}, "d": {}}}"#;
    serde_json::from_str(text).expect("the charter is well formed")
}

fn plan() -> Plan {
    let mut plan: Plan = serde_json::from_str(r#"{"version": "v2"}"#).expect("the plan is well formed");
    plan.units = vec![unit("a"), unit("b")];
    plan.waves = vec![Amount::Count(1), Amount::Part(500)];
    (plan.watch_s, plan.unit_limit_s, plan.act, plan.on_halt) = (3, 30, Act::Drain, OnHalt::Return);
    (plan.gates.waiting, plan.gates.hosts_down) = (Some(4), Some(2));
    plan
}

fn rates() -> Rates {
    Rates { calls: 1_000, failed: 3, busy: 2, waiting: 1, hosts_down: 4 }
}

fn nonce() -> Nonce {
    Nonce { life: Life(77), count: 5 }
}

fn seat() -> Seat {
    Seat { number: 4, name: unit("d"), life: Life(9) }
}

fn place() -> Place {
    Place { zone: "z1".into(), cell: "3".into(), kind: "large".into() }
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        ("found", Command::Found(Box::new(charter()))),
        ("confirm", Command::Confirm),
        ("drain", Command::Drain { unit: unit("a") }),
        ("override", Command::Override { unit: unit("b"), reason: "it burns".into() }),
        ("activate", Command::Activate { unit: unit("a") }),
        ("start", Command::Start { plan: Box::new(plan()) }),
        ("halt", Command::Halt { why: "an operator".into() }),
        ("resume", Command::Resume),
        ("back", Command::Back),
        ("turn", Command::Turn { release: 1, unit: unit("a") }),
        ("begin", Command::Begin { unit: unit("a"), permit: Permit(3), nonce: nonce(), rates: rates() }),
        ("seen", Command::Seen { unit: unit("a"), permit: Some(Permit(3)), version: "v1".into() }),
        ("lost", Command::Lost { unit: unit("c") }),
        ("dead", Command::Dead { unit: unit("c") }),
        (
            "hosts",
            Command::Hosts {
                lines: vec![
                    HostLine { host: unit("h1"), said: Some((place(), EndpointState::Ready)) },
                    HostLine { host: unit("h2"), said: Some((place(), EndpointState::Draining)) },
                    HostLine { host: unit("h3"), said: Some((place(), EndpointState::Gone)) },
                    HostLine { host: unit("h4"), said: None },
                ],
            },
        ),
        ("emptied", Command::Emptied { host: unit("h1"), permit: Permit(8) }),
        ("host_back", Command::HostBack { host: unit("h1"), permit: Permit(8) }),
        ("pass", Command::Pass { release: 1, wave: 0 }),
        ("replace", Command::Replace { old: unit("c"), new: unit("d") }),
        ("reseat", Command::Reseat { seats: vec![seat()] }),
        ("reign", Command::Reign { voters: vec![(unit("a"), Incarnation(2))] }),
    ]
}

/// What a group has agreed on after some entries of every kind.
fn state() -> State {
    let mut state = State::before_founding(&charter().voters);
    let mut apply = |id: Option<&str>, command: Command| {
        state.apply(&Entry { id: id.map(|id| AskId(id.into())), command });
    };
    apply(None, Command::Found(Box::new(charter())));
    for name in ["a", "b", "c", "d"] {
        apply(None, Command::Seen { unit: unit(name), permit: None, version: "v1".into() });
    }
    apply(None, commands().swap_remove(14).1);
    apply(Some("one"), Command::Start { plan: Box::new(plan()) });
    apply(None, Command::Turn { release: 1, unit: unit("a") });
    apply(None, Command::Begin { unit: unit("a"), permit: Permit(1), nonce: nonce(), rates: rates() });
    apply(Some("two"), Command::Drain { unit: unit("h1") });
    apply(Some("three"), Command::Override { unit: unit("b"), reason: "it burns".into() });
    apply(None, Command::Lost { unit: unit("c") });
    apply(Some("four"), Command::Replace { old: unit("c"), new: unit("d") });
    apply(None, Command::Reign { voters: vec![(unit("a"), Incarnation(2)), (unit("b"), Incarnation(1))] });
    state
}

fn beat(chair: Chair) -> Beat {
    Beat {
        life: Life(77),
        have: Reach { epoch: 2, applied: 40 },
        serving: true,
        out: Some(Permit(3)),
        version: "v1".into(),
        rates: rates(),
        holds: Some(vec![(unit("h1"), 6)]),
        chair,
        incarnation: Incarnation(3),
        echo: Some(Echo { life: Life(5), at: 123_456_789 }),
    }
}

fn told(news: News) -> Told {
    Told {
        echo: Echo { life: Life(5), at: 99 },
        leader: Some(unit("b")),
        news,
        applied: 41,
        of_you: Some(Witness { seat: 2, stamp: 17 }),
        founded: true,
        chair: Chair::Sits(2),
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let entry = Entry { id: Some(AskId("q".into())), command: Command::Confirm };
    let since =
        News::Since(Reach { epoch: 2, applied: 40 }, vec![Fact::Entry(entry), Fact::Reseat(vec![seat()])]);
    let mut messages = vec![
        ("beat_none", Message::Beat(beat(Chair::None))),
        ("beat_fresh", Message::Beat(beat(Chair::Fresh))),
        ("beat_forgot", Message::Beat(beat(Chair::Forgot))),
        ("beat_asks", Message::Beat(beat(Chair::Asks(3)))),
        ("beat_sits", Message::Beat(beat(Chair::Sits(3)))),
        ("told_none", Message::Told(told(News::None))),
        ("told_since", Message::Told(told(since))),
        ("told_whole", Message::Told(told(News::Whole(Box::new(state()))))),
        ("ask", Message::Ask { id: Some(AskId("q".into())), command: Command::Resume }),
        ("nudge", Message::Nudge),
        ("witnessed", Message::Witnessed),
        ("seek", Message::Seek(Echo { life: Life(1), at: 2 }, vec![unit("c")])),
        ("found", Message::Found(Echo { life: Life(1), at: 2 }, vec![(unit("c"), beat(Chair::None), 250)])),
    ];
    // What the library's engine says to begin an election, and what it is answered.
    let seats = state().seats;
    let mut voters: Vec<Voter> =
        seats.iter().map(|seat| Voter::new(1, seat.number, &seats, &Saved::default())).collect();
    for _ in 0..6 {
        voters.iter_mut().for_each(Voter::tick);
        let letters: Vec<_> = voters.iter_mut().flat_map(Voter::take_letters).collect();
        for letter in letters {
            messages.push(("engine", Message::Engine { epoch: 1, letter: letter.clone() }));
            let to = letter.get_receiver();
            if let Some(voter) = voters.iter_mut().find(|voter| voter.seat == to) {
                voter.take(letter);
            }
        }
    }
    messages
}

fn line(text: &mut String, name: &str, bytes: &[u8]) {
    let digits = bytes.iter().fold(String::new(), |digits, byte| digits + &format!("{byte:02x}"));
    writeln!(text, "{name} {digits}").expect("a string takes all");
}

fn bytes(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain values are encoded")
}

fn frames() -> String {
    let mut text = String::new();
    for (name, command) in commands() {
        line(&mut text, &format!("entry_{name}"), &bytes(&Entry { id: Some(AskId("q".into())), command }));
    }
    for (name, message) in messages() {
        let envelope = Envelope { witness: Some(Witness { seat: 2, stamp: 300 }), message };
        line(&mut text, &format!("message_{name}"), &envelope.encode());
    }
    let hello = Hello { version: VERSION, group: "north".into(), name: unit("a"), life: Life(77) };
    line(&mut text, "hello", &bytes(&hello));
    line(&mut text, "state", &bytes(&state()));
    let standings = [
        Standing::Serving,
        Standing::Granted { permit: Permit(1), cause: Cause::Drain },
        Standing::Begun { permit: Permit(1), cause: Cause::Release(2), nonce: nonce(), before: rates() },
        Standing::Returning { permit: Permit(1), cause: Cause::Override },
    ];
    line(&mut text, "standings", &bytes(&standings));
    line(&mut text, "keys", &Key::ALL.map(|key| key as u8));
    let writes = vec![
        Write::Put(Key::Seat, vec![1]),
        Write::Remove(Key::Promise),
        Write::Log(7, vec![2, 3]),
        Write::Cut(5),
    ];
    line(&mut text, "writes", &bytes(&writes));
    text
}

fn setup(saved: Option<Saved>) -> Setup {
    Setup {
        name: unit("a"),
        charter: charter(),
        life: Life(77),
        seed: 1,
        version: "v1".into(),
        saved,
        spoilt: false,
        longest_log: LONGEST_LOG,
    }
}

/// What the admin interface shows: the state, and the view of a node that holds a voter's store.
fn shown() -> String {
    let values = BTreeMap::from([
        (Key::Incarnation, bytes(&4u64)),
        (Key::Stamp, bytes(&17u64)),
        (Key::Seat, bytes(&1u64)),
        (Key::Base, bytes(&state())),
        (Key::Witness, bytes(&BTreeMap::from([(unit("b"), Witness { seat: 2, stamp: 9 })]))),
    ]);
    let voter = Fleet::new(setup(Some(Saved { values, log: vec![] })), Moment::ms(1_000));
    let empty = Fleet::new(setup(Some(Saved::default())), Moment::ms(1_000));
    let without = Fleet::new(setup(None), Moment::ms(1_000));
    let views = [voter.view(), empty.view(), without.view()]
        .map(|view| serde_json::to_string(&view).expect("a view is plain"));
    format!("{}\n{}\n", serde_json::to_string(&state()).expect("a state is plain"), views.join("\n"))
}

#[test]
fn frames_and_entries_are_the_recorded_bytes() {
    let now = frames();
    for (recorded, now) in FRAMES.lines().zip(now.lines()) {
        assert_eq!(recorded, now);
    }
    assert_eq!(FRAMES.lines().count(), now.lines().count(), "as played now:\n{now}");
}

#[test]
fn recorded_bytes_are_read_and_written_again() {
    for recorded in FRAMES.lines() {
        let (name, digits) = recorded.split_once(' ').expect("a name and digits");
        let recorded: Vec<u8> = (0..digits.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits"))
            .collect();
        if name.starts_with("entry_") {
            let entry: Entry = postcard::from_bytes(&recorded).expect(name);
            assert_eq!(bytes(&entry), recorded, "{name}");
        } else if name.starts_with("message_") {
            assert_eq!(Envelope::decode(&recorded).expect(name).encode(), recorded, "{name}");
        } else if name == "state" {
            assert_eq!(postcard::from_bytes::<State>(&recorded).expect(name), state());
        }
    }
}

#[test]
fn operators_are_shown_the_recorded_json() {
    let now = shown();
    for (recorded, now) in SHOWN.lines().zip(now.lines()) {
        assert_eq!(recorded, now);
    }
    assert_eq!(SHOWN.lines().count(), now.lines().count(), "as played now:\n{now}");
}
