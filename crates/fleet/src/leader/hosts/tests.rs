use std::collections::BTreeMap;

use super::is_empty;
use crate::Timestamp;
use crate::context::Context;
use crate::liveness::{HeartbeatSource, Liveness};
use crate::message::{Heartbeat, LogPosition, VoterStatus};
use crate::policy::{FleetPolicy, Limits, Place, UnitName};
use crate::state::{BootCount, CallCounts, Incarnation, State, Unit, UnitState};

const OLD: Incarnation = Incarnation(1);
const NEW: Incarnation = Incarnation(2);

fn node() -> UnitName {
    UnitName("n1".into())
}

fn host() -> UnitName {
    UnitName("h1".into())
}

/// A heartbeat of a process that holds so many connections at the host.
fn heartbeat(incarnation: Incarnation, connections: u32) -> Heartbeat {
    Heartbeat {
        incarnation,
        have: LogPosition { epoch: 1, applied: 0 },
        serving: true,
        out: None,
        version: "v1".into(),
        call_counts: CallCounts::default(),
        holds: Some((connections > 0).then(|| (host(), connections)).into_iter().collect()),
        voter_status: VoterStatus::NoStore,
        boot_count: BootCount(0),
        echo: None,
    }
}

fn context_of_one_unit() -> Context {
    let place = Place { zone: String::new(), cell: String::new(), kind: String::new() };
    let policy = FleetPolicy {
        group: "test".into(),
        voters: vec![],
        limits: Limits::default(),
        hosts: None,
        work: None,
        units: BTreeMap::from([(node(), place)]),
    };
    let mut state = State::before_founding(&[]);
    let unit =
        Unit { unit_state: UnitState::Serving, lost: false, dead: false, term: 0, version: "v1".into() };
    state.units.insert(node(), unit);
    Context {
        name: UnitName("n0".into()),
        policy,
        incarnation: Incarnation(9),
        boot_count: BootCount(0),
        now: Timestamp(0),
        state,
        liveness: Liveness::default(),
        voter_replies: BTreeMap::new(),
    }
}

/// While a process is replaced, the last heartbeat may be the next one's, which holds nothing. The host was then
/// said to be empty, and stopped with the connections of the process before.
#[test]
fn a_host_is_not_empty_while_a_process_that_is_replaced_may_hold_connections_there() {
    let mut context = context_of_one_unit();
    let heartbeats = [
        (1_000, OLD, 3, false),
        (1_500, NEW, 0, false),
        (2_000, OLD, 2, false),
        (2_500, NEW, 0, false),
        // The process before was heard last at 2 s, and has not been heard for long enough by 7 s.
        (3_500, NEW, 0, false),
        (6_900, NEW, 0, false),
        (7_100, NEW, 0, true),
    ];
    for (ms, incarnation, connections, expected) in heartbeats {
        context.now = Timestamp(0).plus_ms(ms);
        let (now, heartbeat) = (context.now, heartbeat(incarnation, connections));
        context.liveness.record(&node(), heartbeat, Some(now), now, HeartbeatSource::Direct);
        assert_eq!(is_empty(&context, &host(), 0), expected, "at {ms} ms");
    }
}
