//! The bytes that nodes send each other of work in hand, and what a process leaves to its next one, as recorded in
//! `tests/fixtures/frames.txt`. `postcard` is positional: the order of fields and of variants is part of the form.

use std::fmt::Write as _;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::warm_state::{Hint, WarmStateMessage};
use glendeck_takeover::{
    Intent, IntentVerdict, Outcome, RecordId, RecordView, ReplicaHandover, ReplicaMessage, Takeover, View,
    WorkId,
};

const FRAMES: &str = include_str!("fixtures/frames.txt");

const START: Timestamp = Timestamp(86_400_000_000_000);

fn id(count: u64) -> RecordId {
    RecordId { owner: UnitName::from("a"), incarnation: Incarnation(77), count }
}

fn intent(repeat: bool) -> Intent {
    Intent {
        id: id(3),
        work: WorkId(0x1234_5678_9abc),
        term: 2,
        version: 1,
        repeat,
        over: if repeat { vec![(id(1), 4)] } else { vec![] },
        first: (81, 120),
        no: 1,
        left_ms: 900,
    }
}

fn messages() -> Vec<(&'static str, ReplicaMessage)> {
    let shown =
        RecordView { id: id(3), term: 2, first: (81, 120), no: 1, age_ms: 45, open_ms: 800, answered: true };
    let judged = |verdict| ReplicaMessage::IntentReply { id: id(3), no: 1, verdict };
    vec![
        ("keep", ReplicaMessage::StoreIntent(intent(false))),
        ("keep_repeat", ReplicaMessage::StoreIntent(intent(true))),
        ("judged_kept", judged(IntentVerdict::Accepted)),
        ("judged_others", judged(IntentVerdict::Conflict)),
        ("judged_not_now", judged(IntentVerdict::Unavailable)),
        ("look", ReplicaMessage::Query { id: id(4), no: 0, work: WorkId(5), version: 1 }),
        ("shown", ReplicaMessage::QueryReply { id: id(4), no: 0, records: Some(vec![shown]) }),
        ("shown_nothing", ReplicaMessage::QueryReply { id: id(4), no: 0, records: None }),
        (
            "ended_never_ran",
            ReplicaMessage::CallEnded { no: 1, id: id(3), work: WorkId(5), outcome: Outcome::NeverRan },
        ),
        (
            "ended_answered",
            ReplicaMessage::CallEnded { no: 1, id: id(3), work: WorkId(5), outcome: Outcome::Answered },
        ),
    ]
}

fn warm_states() -> Vec<(&'static str, WarmStateMessage)> {
    let home = Hint::Home { group: 4, host: 5 };
    let load = Hint::Load { subject: 6 };
    vec![
        (
            "tell",
            WarmStateMessage::Update {
                incarnation: Incarnation(77),
                no: 2,
                since: Some(1),
                changes: vec![(home, Some(1)), (load, None)],
                parting: true,
            },
        ),
        ("behind", WarmStateMessage::OutOfSync { incarnation: Incarnation(77) }),
        (
            "gone",
            WarmStateMessage::NodeGone {
                of: UnitName::from("a"),
                incarnation: Incarnation(77),
                hints: vec![(home, 1), (load, 250_000)],
            },
        ),
    ]
}

/// What a replica leaves that keeps two records, one of them answered.
fn left() -> ReplicaHandover {
    let me = UnitName::from("k");
    let mut takeover = Takeover::new(START, me.clone(), Incarnation(9), 1, 30_000, 3_000);
    let voter_slots = ["k", "l", "m"].map(UnitName::from).to_vec();
    takeover.agreed(START, View { voter_slots, version: 0, hears: true, ..View::default() });
    let owner = UnitName::from("a");
    let later = START.plus_ms(100);
    let second = Intent { id: id(4), work: WorkId(7), term: 0, version: 0, ..intent(false) };
    let first = Intent { term: 0, version: 0, ..intent(false) };
    takeover.heard(later, &owner, ReplicaMessage::StoreIntent(first));
    takeover.heard(later, &owner, ReplicaMessage::StoreIntent(second));
    let ended = ReplicaMessage::CallEnded { no: 1, id: id(4), work: WorkId(7), outcome: Outcome::Answered };
    takeover.heard(START.plus_ms(150), &owner, ended);
    takeover.leave(START.plus_ms(200))
}

fn line(text: &mut String, name: &str, value: &impl serde::Serialize) {
    let bytes = postcard::to_stdvec(value).expect("plain values are encoded");
    let digits = bytes.iter().fold(String::new(), |digits, byte| digits + &format!("{byte:02x}"));
    writeln!(text, "{name} {digits}").expect("a string takes all");
}

fn frames() -> String {
    let mut text = String::new();
    for (name, message) in messages() {
        line(&mut text, &format!("word_{name}"), &message);
    }
    for (name, said) in warm_states() {
        line(&mut text, &format!("estate_{name}"), &said);
    }
    line(&mut text, "left", &(3u64, left()));
    text
}

#[test]
fn frames_are_the_recorded_bytes() {
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
        let bytes: Vec<u8> = (0..digits.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits"))
            .collect();
        let written = match name.split('_').next() {
            Some("word") => postcard::to_stdvec(&postcard::from_bytes::<ReplicaMessage>(&bytes).expect(name)),
            Some("estate") => {
                postcard::to_stdvec(&postcard::from_bytes::<WarmStateMessage>(&bytes).expect(name))
            }
            _ => postcard::to_stdvec(&postcard::from_bytes::<(u64, ReplicaHandover)>(&bytes).expect(name)),
        };
        assert_eq!(written.expect("what was read is written"), bytes, "{name}");
    }
}
