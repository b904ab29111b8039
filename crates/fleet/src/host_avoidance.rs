//! Hosts that this node avoids, derived from the replicated state.

use std::collections::BTreeSet;

use crate::action::Action;
use crate::policy::{HostSettings, UnitName};
use crate::state::State;

/// Hosts to avoid, and the interval at which one connection to them is migrated.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Avoidance {
    hosts: BTreeSet<UnitName>,
    every_ms: u64,
}

impl Avoidance {
    fn agreed(state: &State, settings: &HostSettings) -> Avoidance {
        let hosts = state.hosts.iter().filter(|(_, host)| host.must_be_avoided());
        // The configured rate is for the whole fleet. It is divided among all units: divided among the live
        // ones only, it would let units that are partitioned off migrate too fast.
        let units = state.units.len().max(1) as u64;
        Avoidance {
            hosts: hosts.map(|(name, _)| name.clone()).collect(),
            every_ms: (units * 1_000).div_ceil(u64::from(settings.moves_per_second.max(1))),
        }
    }
}

/// Tracks which hosts the node was told to avoid, and tells it when they change.
#[derive(Default)]
pub(crate) struct HostAvoidance {
    told: Option<Avoidance>,
    /// Whether the node has counted its connections since it was last told.
    has_counted: bool,
}

impl HostAvoidance {
    /// Records that the node has counted its connections.
    pub(crate) fn record_count(&mut self) {
        self.has_counted = self.told.is_some();
    }

    /// Whether the node's last connection count was taken while it avoided the current set of hosts.
    pub(crate) fn has_counted(&self) -> bool {
        self.has_counted
    }

    /// Returns the action that tells the node which hosts to avoid, if that has changed.
    pub(crate) fn update(&mut self, state: &State) -> Option<Action> {
        let agreed = Avoidance::agreed(state, state.host_settings()?);
        if self.told.as_ref() == Some(&agreed) {
            return None;
        }
        let has_nothing_to_avoid = self.told.is_none() && agreed.hosts.is_empty();
        self.told = Some(agreed.clone());
        if has_nothing_to_avoid {
            return None;
        }
        // The last count was taken while the node could still open connections to these hosts.
        self.has_counted = false;
        Some(Action::AvoidHosts { hosts: agreed.hosts, every_ms: agreed.every_ms })
    }
}
