//! Compares the bytes that voters store and that nodes send each other, and the JSON that operators see, with
//! the recordings in `tests/fixtures/`. `postcard` is positional, so the order of fields and variants is part
//! of the format.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use glendeck_fleet::consensus::Voter;
use glendeck_fleet::hosts::{EndpointState, HostUpdate, ListedHost};
use glendeck_fleet::message::{
    DurableMark, Echo, Envelope, FoundUnit, Heartbeat, HeartbeatReply, Hello, LogPosition, LogStep,
    LogUpdate, Message, VERSION, VoterStatus,
};
use glendeck_fleet::policy::{Act, Amount, FleetPolicy, OnHalt, Place, Plan, UnitName};
use glendeck_fleet::state::{
    BootCount, CallCounts, Cause, Command, Entry, Incarnation, Lease, Nonce, RequestId, State, UnitState,
    VoterSlot,
};
use glendeck_fleet::{Fleet, FleetConfig, LONGEST_LOG, StoreKey, StoreWrite, StoredState, Timestamp};

const FRAMES: &str = include_str!("fixtures/frames.txt");
const OPERATOR_JSON: &str = include_str!("fixtures/shown.json");

fn unit(name: &str) -> UnitName {
    name.into()
}

fn policy() -> FleetPolicy {
    let text = r#"{"group": "north", "voters": ["a", "b", "c"],
        "limits": {"fleet": {"most_out": "50%", "least_left": 1}, "zone": {"most_out": 1}},
        "hosts": {"limits": {"fleet": {"most_out": "25%"}}, "moves_per_second": 7, "forget_after_s": 60},
        "work": {"recall_s": 45},
        "units": {"a": {"zone": "z1", "cell": "1", "kind": "k"}, "b": {"zone": "z2"}, "c": {"zone": "z3"}, "d": {}}}"#;
    serde_json::from_str(text).expect("the policy is valid")
}

fn plan() -> Plan {
    let mut plan: Plan = serde_json::from_str(r#"{"version": "v2"}"#).expect("the plan is valid");
    plan.units = vec![unit("a"), unit("b")];
    plan.waves = vec![Amount::Count(1), Amount::Part(500)];
    (plan.watch_s, plan.unit_limit_s, plan.act, plan.on_halt) = (3, 30, Act::Drain, OnHalt::Return);
    (plan.gates.waiting, plan.gates.hosts_down) = (Some(4), Some(2));
    plan
}

fn call_counts() -> CallCounts {
    CallCounts { calls: 1_000, failed: 3, busy: 2, waiting: 1, hosts_down: 4 }
}

fn nonce() -> Nonce {
    Nonce { incarnation: Incarnation(77), count: 5 }
}

fn voter_slot() -> VoterSlot {
    VoterSlot { number: 4, name: unit("d"), incarnation: Incarnation(9) }
}

fn place() -> Place {
    Place { zone: "z1".into(), cell: "3".into(), kind: "large".into() }
}

fn listed(endpoint_state: EndpointState) -> Option<ListedHost> {
    Some(ListedHost { place: place(), endpoint_state })
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        ("found", Command::Bootstrap(Box::new(policy()))),
        ("confirm", Command::Confirm),
        ("drain", Command::Drain { unit: unit("a") }),
        ("override", Command::Override { unit: unit("b"), reason: "it burns".into() }),
        ("activate", Command::Activate { unit: unit("a") }),
        ("start", Command::StartRelease { plan: Box::new(plan()) }),
        ("halt", Command::Halt { why: "an operator".into() }),
        ("resume", Command::Resume),
        ("back", Command::RollBack),
        ("turn", Command::GrantTurn { release: 1, unit: unit("a") }),
        (
            "begin",
            Command::BeginDrain {
                unit: unit("a"),
                lease: Lease(3),
                nonce: nonce(),
                call_counts: call_counts(),
            },
        ),
        ("seen", Command::MarkServing { unit: unit("a"), lease: Some(Lease(3)), version: "v1".into() }),
        ("lost", Command::MarkLost { unit: unit("c") }),
        ("dead", Command::ConfirmDead { unit: unit("c") }),
        (
            "hosts",
            Command::UpdateHosts {
                updates: vec![
                    HostUpdate { host: unit("h1"), listed: listed(EndpointState::Ready) },
                    HostUpdate { host: unit("h2"), listed: listed(EndpointState::Draining) },
                    HostUpdate { host: unit("h3"), listed: listed(EndpointState::Gone) },
                    HostUpdate { host: unit("h4"), listed: None },
                ],
            },
        ),
        ("emptied", Command::MarkHostEmpty { host: unit("h1"), lease: Lease(8) }),
        ("host_back", Command::MarkHostReturned { host: unit("h1"), lease: Lease(8) }),
        ("pass", Command::AdvanceWave { release: 1, wave: 0 }),
        ("replace", Command::ReplaceVoter { old: unit("c"), new: unit("d") }),
        ("reseat", Command::Reconfigure { voter_slots: vec![voter_slot()] }),
        ("reign", Command::LeaderStarted { voters: vec![(unit("a"), BootCount(2))] }),
    ]
}

/// The state of a fleet after some entries of every kind.
fn state() -> State {
    let mut state = State::before_founding(&policy().voters);
    let mut apply = |id: Option<&str>, command: Command| {
        state.apply(&Entry { id: id.map(|id| RequestId(id.into())), command });
    };
    apply(None, Command::Bootstrap(Box::new(policy())));
    for name in ["a", "b", "c", "d"] {
        apply(None, Command::MarkServing { unit: unit(name), lease: None, version: "v1".into() });
    }
    apply(None, commands().swap_remove(14).1);
    apply(Some("one"), Command::StartRelease { plan: Box::new(plan()) });
    apply(None, Command::GrantTurn { release: 1, unit: unit("a") });
    apply(
        None,
        Command::BeginDrain { unit: unit("a"), lease: Lease(1), nonce: nonce(), call_counts: call_counts() },
    );
    apply(Some("two"), Command::Drain { unit: unit("h1") });
    apply(Some("three"), Command::Override { unit: unit("b"), reason: "it burns".into() });
    apply(None, Command::MarkLost { unit: unit("c") });
    apply(Some("four"), Command::ReplaceVoter { old: unit("c"), new: unit("d") });
    apply(
        None,
        Command::LeaderStarted { voters: vec![(unit("a"), BootCount(2)), (unit("b"), BootCount(1))] },
    );
    state
}

fn heartbeat(voter_status: VoterStatus) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(77),
        have: LogPosition { epoch: 2, applied: 40 },
        serving: true,
        out: Some(Lease(3)),
        version: "v1".into(),
        call_counts: call_counts(),
        holds: Some(vec![(unit("h1"), 6)]),
        voter_status,
        boot_count: BootCount(3),
        echo: Some(Echo { incarnation: Incarnation(5), at: 123_456_789 }),
    }
}

fn heartbeat_reply(log_update: LogUpdate) -> HeartbeatReply {
    HeartbeatReply {
        echo: Echo { incarnation: Incarnation(5), at: 99 },
        leader: Some(unit("b")),
        log_update,
        applied: 41,
        receiver_mark: Some(DurableMark { voter_slot: 2, stamp: 17 }),
        founded: true,
        voter_status: VoterStatus::Active(2),
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let entry = Entry { id: Some(RequestId("q".into())), command: Command::Confirm };
    let since = LogUpdate::Since(
        LogPosition { epoch: 2, applied: 40 },
        vec![LogStep::Entry(entry), LogStep::Reconfigure(vec![voter_slot()])],
    );
    let mut messages = vec![
        ("beat_none", Message::Heartbeat(heartbeat(VoterStatus::NoStore))),
        ("beat_fresh", Message::Heartbeat(heartbeat(VoterStatus::Fresh))),
        ("beat_forgot", Message::Heartbeat(heartbeat(VoterStatus::StateLost))),
        ("beat_asks", Message::Heartbeat(heartbeat(VoterStatus::Recovering(3)))),
        ("beat_sits", Message::Heartbeat(heartbeat(VoterStatus::Active(3)))),
        ("told_none", Message::HeartbeatReply(heartbeat_reply(LogUpdate::None))),
        ("told_since", Message::HeartbeatReply(heartbeat_reply(since))),
        ("told_whole", Message::HeartbeatReply(heartbeat_reply(LogUpdate::Whole(Box::new(state()))))),
        ("ask", Message::Request { id: Some(RequestId("q".into())), command: Command::Resume }),
        ("nudge", Message::Resync),
        ("witnessed", Message::DurableMarkOnly),
        ("seek", Message::FindUnits(Echo { incarnation: Incarnation(1), at: 2 }, vec![unit("c")])),
        (
            "found",
            Message::UnitsFound(
                Echo { incarnation: Incarnation(1), at: 2 },
                vec![FoundUnit { name: unit("c"), heartbeat: heartbeat(VoterStatus::NoStore), age_ms: 250 }],
            ),
        ),
    ];
    // The messages with which the consensus library starts an election, and the replies.
    let voter_slots = state().voter_slots;
    let mut voters: Vec<Voter> = voter_slots
        .iter()
        .map(|voter_slot| Voter::new(1, voter_slot.number, &voter_slots, &StoredState::default()))
        .collect();
    for _ in 0..6 {
        voters.iter_mut().for_each(Voter::tick);
        let consensus_messages: Vec<_> = voters.iter_mut().flat_map(Voter::take_messages).collect();
        for consensus_message in consensus_messages {
            messages.push((
                "engine",
                Message::Consensus { epoch: 1, consensus_message: consensus_message.clone() },
            ));
            let to = consensus_message.get_receiver();
            if let Some(voter) = voters.iter_mut().find(|voter| voter.voter_slot() == to) {
                voter.receive(consensus_message);
            }
        }
    }
    messages
}

fn push_line(text: &mut String, name: &str, bytes: &[u8]) {
    let digits = bytes.iter().fold(String::new(), |digits, byte| digits + &format!("{byte:02x}"));
    writeln!(text, "{name} {digits}").expect("writing to a string does not fail");
}

fn bytes(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value can be encoded")
}

fn frames() -> String {
    let mut text = String::new();
    for (name, command) in commands() {
        push_line(
            &mut text,
            &format!("entry_{name}"),
            &bytes(&Entry { id: Some(RequestId("q".into())), command }),
        );
    }
    for (name, message) in messages() {
        let envelope = Envelope { durable_mark: Some(DurableMark { voter_slot: 2, stamp: 300 }), message };
        push_line(&mut text, &format!("message_{name}"), &envelope.encode());
    }
    let hello =
        Hello { version: VERSION, group: "north".into(), name: unit("a"), incarnation: Incarnation(77) };
    push_line(&mut text, "hello", &bytes(&hello));
    push_line(&mut text, "state", &bytes(&state()));
    let unit_states = [
        UnitState::Serving,
        UnitState::Granted { lease: Lease(1), cause: Cause::Drain },
        UnitState::Begun { lease: Lease(1), cause: Cause::Release(2), nonce: nonce(), before: call_counts() },
        UnitState::Returning { lease: Lease(1), cause: Cause::Override },
    ];
    push_line(&mut text, "standings", &bytes(&unit_states));
    push_line(&mut text, "keys", &StoreKey::ALL.map(|key| key as u8));
    let writes = vec![
        StoreWrite::Put(StoreKey::VoterSlot, vec![1]),
        StoreWrite::Remove(StoreKey::Promise),
        StoreWrite::Log(7, vec![2, 3]),
        StoreWrite::Cut(5),
    ];
    push_line(&mut text, "writes", &bytes(&writes));
    text
}

fn fleet_config(saved: Option<StoredState>) -> FleetConfig {
    FleetConfig {
        name: unit("a"),
        policy: policy(),
        incarnation: Incarnation(77),
        seed: 1,
        version: "v1".into(),
        saved,
        spoilt: false,
        longest_log: LONGEST_LOG,
    }
}

/// The JSON that the admin interface shows: the state, and the views of nodes with a voter's store, with an
/// empty store and without a store.
fn operator_json() -> String {
    let values = BTreeMap::from([
        (StoreKey::BootCount, bytes(&4u64)),
        (StoreKey::Stamp, bytes(&17u64)),
        (StoreKey::VoterSlot, bytes(&1u64)),
        (StoreKey::Base, bytes(&state())),
        (
            StoreKey::DurableMark,
            bytes(&BTreeMap::from([(unit("b"), DurableMark { voter_slot: 2, stamp: 9 })])),
        ),
    ]);
    let voter = Fleet::new(fleet_config(Some(StoredState { values, log: vec![] })), Timestamp::ms(1_000));
    let empty = Fleet::new(fleet_config(Some(StoredState::default())), Timestamp::ms(1_000));
    let without_store = Fleet::new(fleet_config(None), Timestamp::ms(1_000));
    let views = [voter.view(), empty.view(), without_store.view()]
        .map(|view| serde_json::to_string(&view).expect("a view can be serialised"));
    format!("{}\n{}\n", serde_json::to_string(&state()).expect("a state can be serialised"), views.join("\n"))
}

#[test]
fn frames_and_entries_match_the_recorded_bytes() {
    let now = frames();
    for (recorded, now) in FRAMES.lines().zip(now.lines()) {
        assert_eq!(recorded, now);
    }
    assert_eq!(FRAMES.lines().count(), now.lines().count(), "generated now:\n{now}");
}

#[test]
fn recorded_bytes_are_read_and_written_again() {
    for recorded in FRAMES.lines() {
        let (name, digits) = recorded.split_once(' ').expect("the line holds a name and digits");
        let recorded: Vec<u8> = (0..digits.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hexadecimal digits"))
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
fn operator_json_matches_the_recording() {
    let now = operator_json();
    for (recorded, now) in OPERATOR_JSON.lines().zip(now.lines()) {
        assert_eq!(recorded, now);
    }
    assert_eq!(OPERATOR_JSON.lines().count(), now.lines().count(), "generated now:\n{now}");
}

/// Plans as an earlier version wrote them: with the defaults, and with every other word that the keys accept.
const PLANS: [&str; 2] = [
    r#"{"version":"v2","units":[],"waves":[1,"10%","100%"],"watch_s":10,"unit_limit_s":120,"act":"exit","on_halt":"hold","gates":{"failures_per_thousand":20,"busy_per_thousand":100,"least_calls":20,"most_lost":0,"waiting":null,"hosts_down":null}}"#,
    r#"{"version":"v2","units":["a"],"waves":["12.5%",3],"watch_s":3,"unit_limit_s":30,"act":"drain","on_halt":"return","gates":{"failures_per_thousand":1,"busy_per_thousand":2,"least_calls":3,"most_lost":4,"waiting":5,"hosts_down":6}}"#,
];

#[test]
fn release_plans_keep_their_keys_and_values() {
    let minimal: Plan = serde_json::from_str(r#"{"version": "v2"}"#).expect("only the version is required");
    assert_eq!(serde_json::to_string(&minimal).expect("a plan can be serialised"), PLANS[0]);
    for recorded in PLANS {
        let plan: Plan = serde_json::from_str(recorded).expect("a recorded plan can be read");
        assert_eq!(serde_json::to_string(&plan).expect("a plan can be serialised"), recorded);
    }
}

#[test]
fn plan_files_keep_their_keys() {
    for (act, on_halt) in [("exit", "hold"), ("drain", "return")] {
        let text = format!(r#"{{"version": "v2", "act": "{act}", "on_halt": "{on_halt}"}}"#);
        let plan: Plan = serde_json::from_str(&text).expect("the documented keys are accepted");
        let written = serde_json::to_value(&plan).expect("a plan can be serialised");
        assert_eq!((&written["act"], &written["on_halt"]), (&act.into(), &on_halt.into()));
    }
}
