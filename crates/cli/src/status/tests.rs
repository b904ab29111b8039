//! The view reads what the fleet shows, as the fleet's own tests have it recorded.

use super::{FleetState, ReleaseState, Status};

/// A state, then a status a line.
const SHOWN: &str = include_str!("../../../fleet/tests/fixtures/shown.json");

#[test]
fn a_recorded_state_is_read_with_its_release_and_hosts() {
    let state: FleetState = serde_json::from_str(SHOWN.lines().next().unwrap()).unwrap();
    assert_eq!(state.voter_slots.len(), 3);
    assert_eq!(state.units.len(), 4);
    assert!(!state.units["a"].is_serving() && state.units["d"].is_serving());
    assert!(!state.hosts.is_empty());
    assert!(matches!(state.release.unwrap().state, ReleaseState::Running | ReleaseState::Halted(_)));
}

#[test]
fn every_recorded_status_is_read() {
    for line in SHOWN.lines().skip(1) {
        let status: Status = serde_json::from_str(line).unwrap();
        assert_eq!(status.name, "a");
        assert_eq!(status.unheard_voters, ["b", "c"]);
    }
}
