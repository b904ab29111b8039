use glendeck::domain::{
    Cell, Condition, Endpoint, HostId, HostSnapshot, Kind, ListUpdate, NodeSnapshot, Size, Span, SubjectId,
    Time, Weight, Zone,
};

use super::hex::{HexBytes, HexError};
use super::message::{
    CallHandover, DrainChange, MessageError, PredecessorMessage, StateHeader, SuccessorMessage,
};
use super::state::HandoverState;
use crate::endpoint_list::EndpointListUpdate;

/// The recorded encoding of a state.
const STATE: &str = include_str!("fixtures/state.json");

/// The recorded lines that two processes of a node exchange.
const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn names<const COUNT: usize>(names: [&str; COUNT]) -> Vec<String> {
    names.map(str::to_owned).to_vec()
}

fn sample_state() -> HandoverState {
    let host = HostId(7);
    let endpoint = Endpoint {
        host,
        zone: Zone(1),
        cell: Cell(2),
        condition: Condition::Draining,
        weight: Weight(1.5),
        kind: Some(Kind(7)),
        started_at: Some(Time(9)),
    };
    let snapshot = HostSnapshot {
        host,
        connections: 3.0,
        smoothed_load: 0.5,
        load_limit: None,
        overload_penalty: 0.1,
        is_ejected: true,
        slow_start_budget: -0.5,
        remote_load: 1.0,
        usual_probe_time: 0.001,
        size: Some(Size(2.5)),
    };
    let node = NodeSnapshot {
        hosts: vec![snapshot, HostSnapshot { load_limit: Some(4.0), ..snapshot }],
        loads: vec![(SubjectId(u64::MAX), 0.25)],
        mean_load_by_class: vec![0.1, 0.2],
        new_client_rate: 2.0,
        ..NodeSnapshot::default()
    };
    let addresses = vec![(host, "127.0.0.1:4000".parse().unwrap())];
    let list =
        EndpointListUpdate { index: 41, update: ListUpdate::Complete, endpoints: vec![endpoint], addresses };
    HandoverState {
        list,
        node,
        drain_elapsed: Some(Span::ZERO),
        drain_number: None,
        zones: names(["x", "y"]),
        classes: names(["chat", "pay"]),
    }
}

/// A state with a recognisable value in every field, and with hosts that have or lack the optional fields.
fn recorded_state() -> HandoverState {
    let mut state = sample_state();
    let host = HostId(u64::MAX);
    state.list.endpoints.push(Endpoint {
        host,
        zone: Zone(0),
        cell: Cell(0),
        condition: Condition::Ready,
        weight: Weight(2.0),
        kind: None,
        started_at: None,
    });
    state.list.addresses.push((host, "[::1]:5000".parse().unwrap()));
    state.node.hosts[1].size = None;
    state.node.hosts[1].is_ejected = false;
    state.node.mean_load = 0.75;
    state.node.connections_per_size = 1e-9;
    state.node.usual_connections = 12.5;
    state.node.ready_size = 3.0;
    state.node.usual_ready_size = 4.25;
    state.node.setup_time = 0.015625;
    state
}

#[test]
fn state_is_written_and_read_as_recorded() {
    let state = recorded_state();
    assert_eq!(state.encode().unwrap(), STATE.trim_end());
    let read = HandoverState::decode(STATE.trim_end().as_bytes(), &state.zones, &state.classes).unwrap();
    assert_eq!((read.node, read.drain_elapsed), (state.node, state.drain_elapsed));
    assert_eq!(read.drain_number, None);
    assert_eq!((read.list.index, read.list.endpoints), (state.list.index, state.list.endpoints));
    assert_eq!(read.list.addresses, state.list.addresses);
    assert_eq!((read.zones, read.classes), (state.zones, state.classes));
}

/// Processes of an early version neither send nor read when the drain started.
#[test]
fn state_tells_when_the_drain_started() {
    let state =
        HandoverState { drain_elapsed: Some(Span::ms(1_500)), drain_number: Some(3), ..recorded_state() };
    let drained = r#""drain_ns":1500000000,"drain_number":3,"drained":true"#;
    let recorded = STATE.trim_end().replace(r#""drained":true"#, drained);
    assert_eq!(state.encode().unwrap(), recorded);
    let read = HandoverState::decode(recorded.as_bytes(), &[], &[]).unwrap();
    assert_eq!((read.drain_elapsed, read.drain_number), (Some(Span::ms(1_500)), Some(3)));
    let in_service = HandoverState { drain_elapsed: None, ..state }.encode().unwrap();
    assert_eq!(in_service, recorded.replace(drained, r#""drain_number":3,"drained":false"#));
    let read = HandoverState::decode(in_service.as_bytes(), &[], &[]).unwrap();
    assert_eq!((read.drain_elapsed, read.drain_number), (None, Some(3)));
}

fn recorded_call(has_optional_parts: bool) -> CallHandover {
    let bytes = |bytes: &[u8]| HexBytes::from(if has_optional_parts { bytes } else { b"" });
    CallHandover {
        waiting_for_host_ns: has_optional_parts.then_some(1_500_000_000),
        client_inbox: bytes(b"CHAT\n"),
        client_outbox: bytes(&[0, 255]),
        group: has_optional_parts.then_some(11),
        host: 81,
        host_inbox: bytes(b"ok"),
        host_outbox: bytes(b"\n"),
        client_id: 0xfeed,
        load: has_optional_parts.then_some(0.125),
        subject: has_optional_parts.then_some(u64::MAX),
        tenant: 3,
        class: 1,
        class_name: has_optional_parts.then(|| "pay".to_owned()),
    }
}

#[test]
fn messages_are_written_and_read_as_recorded() {
    let mut recorded = MESSAGES.lines();
    let from_predecessor = [
        PredecessorMessage::Call(Box::new(recorded_call(true))),
        PredecessorMessage::Call(Box::new(recorded_call(false))),
        PredecessorMessage::IdleClient(HexBytes::from(b"OPEN".as_slice())),
        PredecessorMessage::IdleClient(HexBytes::default()),
        PredecessorMessage::OpenConnections { host: HostId(0xfeed_beef), connections: 17 },
        PredecessorMessage::Descriptors(42),
    ];
    for message in from_predecessor {
        let line = recorded.next().unwrap();
        assert_eq!(message.to_string(), line);
        assert_eq!(line.parse::<PredecessorMessage>().unwrap(), message);
    }
    let line = recorded.next().unwrap();
    assert_eq!(StateHeader { length: 1234 }.to_string(), line);
    assert_eq!(line.parse::<StateHeader>().unwrap(), StateHeader { length: 1234 });
    for message in [SuccessorMessage::Hello, SuccessorMessage::Serving, SuccessorMessage::Succeeded] {
        let line = recorded.next().unwrap();
        assert_eq!(message.to_string(), line);
        assert_eq!(line.parse::<SuccessorMessage>().unwrap(), message);
    }
    assert_eq!(recorded.next(), None);
}

/// Both sides send changes of the drain in the same words.
#[test]
fn changes_of_the_drain_are_written_and_read_as_recorded() {
    let changes = [
        (DrainChange::Started { number: 3, elapsed: Span::ms(1_500) }, "DRAINING 3 1500000000"),
        (DrainChange::Ended { number: 4 }, "ACTIVE 4"),
    ];
    for (change, line) in changes {
        let (of_successor, of_predecessor) =
            (SuccessorMessage::Drain(change), PredecessorMessage::Drain(change));
        assert_eq!(
            (of_successor.to_string(), of_predecessor.to_string()),
            (line.to_owned(), line.to_owned())
        );
        assert_eq!(line.parse::<SuccessorMessage>().unwrap(), of_successor);
        assert_eq!(line.parse::<PredecessorMessage>().unwrap(), of_predecessor);
    }
    for line in [
        "DRAINING",
        "DRAINING 1",
        "DRAINING x 2",
        "DRAINING 1 x",
        "DRAINING 1 2 3",
        "ACTIVE",
        "ACTIVE x",
        "ACTIVE 1 2",
    ] {
        assert!(line.parse::<SuccessorMessage>().is_err(), "{line}");
    }
}

/// The sockets of an invalid line have to be closed, or they would be taken for those of the next line.
#[test]
fn invalid_messages_report_how_many_sockets_came_with_them() {
    let sockets = |line: &str| line.parse::<PredecessorMessage>().unwrap_err().sockets();
    assert_eq!(sockets("CALL {}"), 2);
    assert_eq!(sockets("IDLE 00"), 1);
    for line in ["", "CALL", "IDLE", "OTHER x", "AT 1", "AT x 1", "AT 1 x"] {
        assert_eq!(sockets(line), 0, "{line:?}");
    }
}

#[test]
fn oversized_state_and_other_version_are_refused() {
    let header = |length: usize| StateHeader { length }.to_string().parse::<StateHeader>();
    assert!(header(StateHeader::MAX_STATE_LENGTH).is_ok());
    assert!(matches!(header(StateHeader::MAX_STATE_LENGTH + 1), Err(MessageError::TooLong(_))));
    assert!(matches!("STANDING 2 7".parse::<StateHeader>(), Err(MessageError::Unknown)));
}

#[test]
fn state_round_trips() {
    let state = sample_state();
    let text = state.encode().unwrap();
    let read = HandoverState::decode(text.as_bytes(), &state.zones, &state.classes).unwrap();
    assert_eq!((&read.node, read.drain_elapsed), (&state.node, Some(Span::ZERO)));
    assert_eq!(
        (read.list.index, &read.list.endpoints, &read.list.addresses),
        (41, &state.list.endpoints, &state.list.addresses)
    );
}

#[test]
fn zones_and_classes_are_mapped_by_name() {
    let text = sample_state().encode().unwrap();
    let decode = |zones: &[String], classes: &[String]| {
        HandoverState::decode(text.as_bytes(), zones, classes).unwrap()
    };
    // A zone that is no longer in the settings gets the number after the last known zone.
    assert_eq!(decode(&[], &names(["chat", "pay"])).list.endpoints[0].zone, Zone(0));
    // The settings have more names, in another order.
    let read = decode(&names(["y", "z", "x"]), &names(["fax", "pay", "chat"]));
    assert_eq!((read.list.endpoints[0].zone, read.node.mean_load_by_class), (Zone(0), vec![0.0, 0.2, 0.1]));
}

/// Hosts that are missing from an incomplete state would count as having no connections.
#[test]
fn incomplete_state_is_refused_as_a_whole() {
    let text = sample_state().encode().unwrap();
    let fails_to_decode = |text: &[u8]| HandoverState::decode(text, &[], &[]).is_err();
    for end in 0..text.len() {
        assert!(fails_to_decode(&text.as_bytes()[..end]));
    }
    let keys = [
        "index",
        "list",
        "hosts",
        "loads",
        "of_type",
        "drained",
        "address",
        "condition",
        "open",
        "aside",
        "up",
        "limit",
    ];
    for key in keys {
        let other = text.replace(&format!("\"{key}\":"), "\"other\":");
        assert!(fails_to_decode(other.as_bytes()), "without {key}");
    }
    for (valid, invalid) in [("\"draining\"", "\"well\""), ("\"share\":1.5", "\"share\":-1.5")] {
        assert!(text.contains(valid));
        assert!(fails_to_decode(text.replace(valid, invalid).as_bytes()), "with {invalid}");
    }
}

#[test]
fn hexadecimal_bytes_round_trip() {
    let all: Vec<u8> = (0..=255).collect();
    for bytes in [all.as_slice(), b""] {
        let hex = HexBytes::from(bytes);
        assert_eq!(hex.to_string().parse(), Ok(hex.clone()));
        assert_eq!(hex.into_bytes(), bytes);
    }
    for text in ["", "00"] {
        assert_eq!(text.parse::<HexBytes>(), Err(HexError::Prefix));
    }
    for text in ["x0", "xzz", "x\u{e9}"] {
        assert_eq!(text.parse::<HexBytes>(), Err(HexError::Digits));
    }
}
