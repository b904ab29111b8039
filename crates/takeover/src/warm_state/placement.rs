//! Which nodes store a node's hints, how many, and for how long.

use glendeck_fleet::policy::UnitName;

use crate::id::WorkId;
use crate::view::{View, hash_of_name};

/// The most hints that are stored for one node; each takes about 24 bytes at a replica.
pub const MAX_HINTS: usize = 4_096;

/// How many of the three replicas that rendezvous hashing gives for a node's name store its hints. Hints need
/// no majority, and with two replicas one may be lost.
const REPLICAS_PER_NODE: usize = 2;

/// The hints of a node that has not come back are removed after this time, and so are the times of received
/// notices.
pub(super) const EXPIRY_MS: u64 = 60_000;

/// The nodes that store a node's hints: the same at all nodes that know the same voters.
pub fn replicas_of(view: &View, node: &UnitName) -> Vec<UnitName> {
    let mut replicas = view.replicas(WorkId(hash_of_name(node)));
    replicas.retain(|replica| replica != node);
    replicas.truncate(REPLICAS_PER_NODE);
    replicas
}
