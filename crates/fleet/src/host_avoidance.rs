//! Which hosts this node keeps away from, by what was agreed.

use std::collections::BTreeSet;

use crate::action::Action;
use crate::policy::{HostSettings, UnitName};
use crate::state::State;

/// What a node was told to avoid, and how fast it is to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Avoidance {
    hosts: BTreeSet<UnitName>,
    every_ms: u64,
}

impl Avoidance {
    fn agreed(state: &State, settings: &HostSettings) -> Avoidance {
        let hosts = state.hosts.iter().filter(|(_, host)| host.is_wanted_out());
        // The rate is the whole fleet's. Shared among the units that are heard, it would let those that are cut off go
        // too fast.
        let units = state.units.len().max(1) as u64;
        Avoidance {
            hosts: hosts.map(|(name, _)| name.clone()).collect(),
            every_ms: (units * 1_000).div_ceil(u64::from(settings.moves_per_second.max(1))),
        }
    }
}

/// Keeps the node told.
#[derive(Default)]
pub(crate) struct HostAvoidance {
    told: Option<Avoidance>,
    /// Whether the node has counted its connections since it was told.
    has_counted: bool,
}

impl HostAvoidance {
    /// The node has counted its connections.
    pub(crate) fn record_count(&mut self) {
        self.has_counted = self.told.is_some();
    }

    /// Whether the node's counts hold for the hosts that it is to avoid now.
    pub(crate) fn has_counted(&self) -> bool {
        self.has_counted
    }

    /// Tells the node which hosts to avoid, if that has changed.
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
        // What was counted so far was counted while the node still went there.
        self.has_counted = false;
        Some(Action::AvoidHosts { hosts: agreed.hosts, every_ms: agreed.every_ms })
    }
}
