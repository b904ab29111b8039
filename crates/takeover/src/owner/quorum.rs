//! The size of a quorum of replicas.

use glendeck_fleet::policy::UnitName;

use crate::fault_injection::{InjectedFault, is_injected};

/// How many of these replicas have to agree: any two majorities have a replica in common.
pub(super) fn majority(replicas: &[UnitName]) -> usize {
    if is_injected(InjectedFault::SingleReplicaSuffices) { 1 } else { replicas.len() / 2 + 1 }
}
