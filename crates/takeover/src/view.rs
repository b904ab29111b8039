//! The fleet's membership as this node knows it, and the placement of replicas that follows from it.

use std::collections::BTreeMap;

use glendeck_fleet::policy::UnitName;

use crate::id::WorkId;

/// Number of replicas of one work item, of which a majority has to agree.
pub const REPLICAS: usize = 3;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What the fleet has agreed on, as this node knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The nodes that hold a voter slot.
    pub voter_slots: Vec<UnitName>,
    /// Counts the changes of `voter_slots`.
    pub version: u32,
    /// Whether the leader was heard recently; if not, this view may be out of date.
    pub hears_leader: bool,
    /// How often each node was declared lost.
    pub terms: BTreeMap<UnitName, u64>,
}

impl View {
    /// How often a node was declared lost.
    pub fn term_of(&self, node: &UnitName) -> u64 {
        self.terms.get(node).copied().unwrap_or(0)
    }

    /// The replicas of a work item, the same at all nodes that know the same voters.
    ///
    /// Rendezvous hashing: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
    pub fn replicas(&self, work: WorkId) -> Vec<UnitName> {
        let mut ranked: Vec<(u64, &UnitName)> =
            self.voter_slots.iter().map(|name| (rendezvous_rank(work, name), name)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(REPLICAS).map(|(_, name)| name.clone()).collect()
    }
}

/// FNV-1a over a node's name.
pub(crate) fn hash_of_name(name: &UnitName) -> u64 {
    name.0.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// The hash of the name, mixed with the work id by the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
fn rendezvous_rank(work: WorkId, name: &UnitName) -> u64 {
    let mut mixed = hash_of_name(name) ^ work.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
