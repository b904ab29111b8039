//! Which nodes store a node's hints, how many, and for how long.

use glendeck_fleet::policy::UnitName;

use crate::id::WorkId;
use crate::view::{View, hash_of_name};

/// The most hints that one node may have stored: some 24 bytes each at a replica.
pub const MAX_HINTS: usize = 4_096;

/// Of the three replicas that rendezvous hashing gives for a node's name, so many store its hints: hints need no majority,
/// and one replica may be lost.
const REPLICAS_PER_NODE: usize = 2;

/// What is stored of a node that stays away is removed after this, and so is the memory of notices.
pub(super) const EXPIRY_MS: u64 = 60_000;

/// The nodes that store a node's hints: the same at all nodes that know the same voters.
pub fn replicas_of(view: &View, node: &UnitName) -> Vec<UnitName> {
    let mut replicas = view.replicas(WorkId(hash_of_name(node)));
    replicas.retain(|replica| replica != node);
    replicas.truncate(REPLICAS_PER_NODE);
    replicas
}
