use glendeck_fleet::policy::{FleetPolicy, UnitName};
use glendeck_fleet::state::Incarnation;
use glendeck_fleet::{Fleet, FleetConfig, LONGEST_LOG, Timestamp};
use serde_json::json;

use super::requests::{FleetStatus, LinkMetrics};
use crate::warm_state::WarmStateMetrics;

const POLICY: &str = include_str!("../../../../deploy/fleet.toml");

fn fleet() -> Fleet {
    let policy: FleetPolicy = toml::from_str(POLICY).unwrap();
    let name: UnitName = policy.voters[0].clone();
    let config = FleetConfig {
        name,
        policy,
        incarnation: Incarnation(7),
        seed: 7,
        version: "1".to_owned(),
        saved: None,
        spoilt: false,
        longest_log: LONGEST_LOG,
    };
    Fleet::new(config, Timestamp::ms(1_000))
}

/// The status has the keys of the fleet's view, which the tests of `glendeck_fleet` check, and the node's
/// own.
#[test]
fn fleet_status_adds_the_nodes_keys_to_the_view() {
    let fleet = fleet();
    let links = LinkMetrics { up: 2, frames_sent: 1, bytes_sent: 20, frames_heard: 3, bytes_heard: 40 };
    let warm_state = WarmStateMetrics { nodes: 1, known: 2, lost_expected: 3 };
    let status =
        FleetStatus { view: fleet.view(), confirmed: true, links, work: None, warm_state: Some(warm_state) };
    let mut expected = serde_json::to_value(fleet.view()).unwrap();
    expected["confirmed"] = true.into();
    expected["links"] =
        json!({"up": 2, "frames_sent": 1, "bytes_sent": 20, "frames_heard": 3, "bytes_heard": 40});
    expected["estates"] = json!({"nodes": 1, "known": 2, "lost_expected": 3});
    assert_eq!(serde_json::to_value(&status).unwrap().to_string(), expected.to_string());
}
