//! The bytes of messages between nodes, and of the handover between two processes of a node, match those
//! recorded in `tests/fixtures/frames.txt`. `postcard` is positional: the order of fields and of variants is
//! part of the format.

use std::fmt::Write as _;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::warm_state::{Hint, HintChange, HintUpdate, HintValue, WarmStateMessage};
use glendeck_takeover::{
    FirstAttempt, Intent, IntentVerdict, Outcome, RecordId, RecordView, ReplicaHandover, ReplicaMessage,
    SupersededRecord, Takeover, View, WorkId,
};

/// The labels of the frames, also in the tables below, are those of this recorded file.
const FRAMES: &str = include_str!("fixtures/frames.txt");

const START: Timestamp = Timestamp(86_400_000_000_000);

const FIRST_ATTEMPT: FirstAttempt = FirstAttempt { host: 81, age_ms: 120 };

fn id(call_number: u64) -> RecordId {
    RecordId { owner: UnitName::from("a"), incarnation: Incarnation(77), call_number }
}

fn intent(is_repeat: bool) -> Intent {
    Intent {
        id: id(3),
        work: WorkId(0x1234_5678_9abc),
        term: 2,
        version: 1,
        is_repeat,
        supersedes: if is_repeat { vec![SupersededRecord { id: id(1), sequence: 4 }] } else { vec![] },
        first: FIRST_ATTEMPT,
        sequence: 1,
        remaining_ms: 900,
    }
}

fn messages() -> Vec<(&'static str, ReplicaMessage)> {
    let record = RecordView {
        id: id(3),
        term: 2,
        first: FIRST_ATTEMPT,
        sequence: 1,
        age_ms: 45,
        open_ms: 800,
        is_answered: true,
    };
    let reply = |verdict| ReplicaMessage::IntentReply { id: id(3), sequence: 1, verdict };
    vec![
        ("keep", ReplicaMessage::StoreIntent(intent(false))),
        ("keep_repeat", ReplicaMessage::StoreIntent(intent(true))),
        ("judged_kept", reply(IntentVerdict::Accepted)),
        ("judged_others", reply(IntentVerdict::Conflict)),
        ("judged_not_now", reply(IntentVerdict::Unavailable)),
        ("look", ReplicaMessage::Query { id: id(4), sequence: 0, work: WorkId(5), version: 1 }),
        ("shown", ReplicaMessage::QueryReply { id: id(4), sequence: 0, records: Some(vec![record]) }),
        ("shown_nothing", ReplicaMessage::QueryReply { id: id(4), sequence: 0, records: None }),
        (
            "ended_never_ran",
            ReplicaMessage::CallEnded { sequence: 1, id: id(3), work: WorkId(5), outcome: Outcome::NeverRan },
        ),
        (
            "ended_answered",
            ReplicaMessage::CallEnded { sequence: 1, id: id(3), work: WorkId(5), outcome: Outcome::Answered },
        ),
    ]
}

fn warm_state_messages() -> Vec<(&'static str, WarmStateMessage)> {
    let group_on_host = Hint::GroupOnHost { group: 4, host: 5 };
    let load = Hint::Load { subject: 6 };
    vec![
        (
            "tell",
            WarmStateMessage::Update(HintUpdate {
                incarnation: Incarnation(77),
                sequence: 2,
                base: Some(1),
                changes: vec![
                    HintChange { hint: group_on_host, value: Some(1) },
                    HintChange { hint: load, value: None },
                ],
                is_draining: true,
            }),
        ),
        ("behind", WarmStateMessage::OutOfSync { incarnation: Incarnation(77) }),
        (
            "gone",
            WarmStateMessage::NodeGone {
                node: UnitName::from("a"),
                incarnation: Incarnation(77),
                hints: vec![
                    HintValue { hint: group_on_host, value: 1 },
                    HintValue { hint: load, value: 250_000 },
                ],
            },
        ),
    ]
}

/// The handover of a replica that stores two records, one of them answered.
fn handover() -> ReplicaHandover {
    let me = UnitName::from("k");
    let mut takeover = Takeover::new(START, me.clone(), Incarnation(9), 1, 30_000, 3_000);
    let voter_slots = ["k", "l", "m"].map(UnitName::from).to_vec();
    takeover
        .membership_changed(START, View { voter_slots, version: 0, hears_leader: true, ..View::default() });
    let owner = UnitName::from("a");
    let later = START.plus_ms(100);
    let second = Intent { id: id(4), work: WorkId(7), term: 0, version: 0, ..intent(false) };
    let first = Intent { term: 0, version: 0, ..intent(false) };
    takeover.message_received(later, &owner, ReplicaMessage::StoreIntent(first));
    takeover.message_received(later, &owner, ReplicaMessage::StoreIntent(second));
    let ended =
        ReplicaMessage::CallEnded { sequence: 1, id: id(4), work: WorkId(7), outcome: Outcome::Answered };
    takeover.message_received(START.plus_ms(150), &owner, ended);
    takeover.hand_over(START.plus_ms(200))
}

fn write_frame(text: &mut String, name: &str, value: &impl serde::Serialize) {
    let bytes = postcard::to_stdvec(value).expect("plain values can be encoded");
    let digits = bytes.iter().fold(String::new(), |digits, byte| digits + &format!("{byte:02x}"));
    writeln!(text, "{name} {digits}").expect("writing to a string does not fail");
}

fn frames() -> String {
    let mut text = String::new();
    for (name, message) in messages() {
        write_frame(&mut text, &format!("word_{name}"), &message);
    }
    for (name, message) in warm_state_messages() {
        write_frame(&mut text, &format!("estate_{name}"), &message);
    }
    write_frame(&mut text, "left", &(3u64, handover()));
    text
}

#[test]
fn frames_are_the_recorded_bytes() {
    let encoded = frames();
    for (recorded, encoded) in FRAMES.lines().zip(encoded.lines()) {
        assert_eq!(recorded, encoded);
    }
    assert_eq!(FRAMES.lines().count(), encoded.lines().count(), "frames as encoded now:\n{encoded}");
}

#[test]
fn recorded_bytes_are_decoded_and_encoded_unchanged() {
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
        assert_eq!(written.expect("a decoded value can be encoded"), bytes, "{name}");
    }
}
