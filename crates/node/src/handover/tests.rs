use super::*;

/// What a process tells its successor, as recorded.
const STATE: &str = include_str!("fixtures/state.json");

fn standing() -> Standing {
    let host = HostId(7);
    let listed = Endpoint {
        host,
        zone: Zone(1),
        cell: Cell(2),
        condition: Condition::Draining,
        weight: Weight(1.5),
        kind: Some(Kind(7)),
        up_since: Some(Time(9)),
    };
    let of = HostSnapshot {
        host,
        open: 3.0,
        smoothed: 0.5,
        limit: None,
        strain: 0.1,
        aside: true,
        budget: -0.5,
        held: 1.0,
        answers: 0.001,
        nominal: Some(Size(2.5)),
    };
    let node = NodeSnapshot {
        hosts: vec![of, HostSnapshot { limit: Some(4.0), ..of }],
        loads: vec![(SubjectId(u64::MAX), 0.25)],
        of_type: vec![0.1, 0.2],
        arrival: 2.0,
        ..NodeSnapshot::default()
    };
    let addresses = vec![(host, "127.0.0.1:4000".parse().unwrap())];
    let list = EndpointListUpdate { index: 41, update: ListUpdate::Complete, lines: vec![listed], addresses };
    let (zones, types) = (vec!["x".into(), "y".into()], vec!["chat".into(), "pay".into()]);
    Standing { list, node, drained: true, zones, types }
}

/// A state whose every field has a value that shows it, with and without its optional parts.
fn recorded_state() -> Standing {
    let mut state = standing();
    let host = HostId(u64::MAX);
    state.list.lines.push(Endpoint {
        host,
        zone: Zone(0),
        cell: Cell(0),
        condition: Condition::Ready,
        weight: Weight(2.0),
        kind: None,
        up_since: None,
    });
    state.list.addresses.push((host, "[::1]:5000".parse().unwrap()));
    state.node.hosts[1].nominal = None;
    state.node.hosts[1].aside = false;
    state.node.mean_load = 0.75;
    state.node.held = 1e-9;
    state.node.usual_conns = 12.5;
    state.node.size = 3.0;
    state.node.usual_size = 4.25;
    state.node.setup = 0.015625;
    state
}

#[test]
fn state_is_written_and_read_as_recorded() {
    let (zones, types) = (["x", "y"].map(String::from), ["chat", "pay"].map(String::from));
    let state = recorded_state();
    assert_eq!(encode(&state).to_string(), STATE.trim_end());
    let read = decode(STATE.trim_end().as_bytes(), &zones, &types).unwrap();
    assert_eq!((read.node, read.drained), (state.node, state.drained));
    assert_eq!((read.list.index, read.list.lines), (state.list.index, state.list.lines));
    assert_eq!(read.list.addresses, state.list.addresses);
    assert_eq!((read.zones, read.types), (state.zones, state.types));
}

#[test]
fn what_is_told_is_read_the_same() {
    let (zones, types) = (["x", "y"].map(String::from), ["chat", "pay"].map(String::from));
    let (told, text) = (standing(), encode(&standing()).to_string());
    let read = decode(text.as_bytes(), &zones, &types).unwrap();
    assert_eq!((&read.node, read.drained), (&told.node, true));
    assert_eq!(
        (read.list.index, &read.list.lines, &read.list.addresses),
        (41, &told.list.lines, &told.list.addresses)
    );
    // A zone that the settings do not name any more is none of ours.
    assert_eq!(decode(text.as_bytes(), &[], &types).unwrap().list.lines[0].zone, Zone(0));
    // Another order, and more of them: a name is what counts.
    let (zones, types) = (["y", "z", "x"].map(String::from), ["fax", "pay", "chat"].map(String::from));
    let read = decode(text.as_bytes(), &zones, &types).unwrap();
    assert_eq!((read.list.lines[0].zone, read.node.of_type), (Zone(0), vec![0.0, 0.2, 0.1]));
}

/// Danger: half a message taken for a whole one would be hosts taken for empty. It is all or nothing.
#[test]
fn what_is_amiss_counts_for_nothing() {
    let text = encode(&standing()).to_string();
    for end in 0..text.len() {
        assert!(decode(&text.as_bytes()[..end], &[], &[]).is_none());
    }
    for key in
        ["index", "list", "hosts", "loads", "of_type", "drained", "address", "condition", "open", "aside"]
    {
        let other = text.replace(&format!("\"{key}\":"), "\"other\":");
        assert!(decode(other.as_bytes(), &[], &[]).is_none(), "without {key}");
    }
    let wrong = text.replace("\"draining\"", "\"well\"");
    assert!(decode(wrong.as_bytes(), &[], &[]).is_none());
}

#[test]
fn bytes_pass_unchanged() {
    let all: Vec<u8> = (0..=255).collect();
    assert_eq!(unhex(&hex(&all)), Some(all));
    assert_eq!(unhex(&hex(b"")), Some(vec![]));
    for wrong in ["", "00", "x0", "xzz", "x\u{e9}"] {
        assert_eq!(unhex(wrong), None);
    }
}
