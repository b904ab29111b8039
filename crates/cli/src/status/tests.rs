//! Decoding of the state and the statuses that the fleet's own tests have recorded.

use super::{FleetState, ReleaseState, Status};

/// The first line is a state; each further line is a status.
const RECORDED: &str = include_str!("../../../fleet/tests/fixtures/shown.json");

#[test]
fn recorded_state_is_decoded_with_release_and_hosts() {
    let state: FleetState = serde_json::from_str(RECORDED.lines().next().unwrap()).unwrap();
    assert_eq!(state.voter_slots.len(), 3);
    assert_eq!(state.units.len(), 4);
    assert!(!state.units["a"].is_serving() && state.units["d"].is_serving());
    assert!(!state.hosts.is_empty());
    assert!(matches!(state.release.unwrap().state, ReleaseState::Running | ReleaseState::Halted(_)));
}

#[test]
fn every_recorded_status_is_decoded() {
    for line in RECORDED.lines().skip(1) {
        let status: Status = serde_json::from_str(line).unwrap();
        assert_eq!(status.name, "a");
        assert_eq!(status.unheard_voters, ["b", "c"]);
    }
}
