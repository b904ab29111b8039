//! What a fleet of nodes decides together: who may be out, releases in waves, halts and the way back.
//!
//! No I/O and no clock: [`Fleet`] is told what happened and when, and says what is to be done. The same events give
//! the same actions, to the byte. [`state::State`] is what is agreed; [`consensus::Voter`] is one seat of the agreed log,
//! on the library `omnipaxos`; `docs/fleet.md` says what is promised.

pub mod consensus;
pub mod fault_injection;
mod group;
pub mod hosts;
mod leader_state;
mod member;
pub mod message;
pub mod policy;
pub mod state;

pub use group::{Action, Fleet, FleetConfig, FleetView, LONGEST_LOG, NodeStatus, RequestResult};

use serde::{Deserialize, Serialize};

/// Nanoseconds on a clock that only rises and belongs to this process alone. Never a wall clock, and never compared
/// with another process's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

impl Timestamp {
    pub fn ms(ms: u64) -> Timestamp {
        Timestamp(ms * 1_000_000)
    }

    /// How long ago that was, in milliseconds; 0 if it is still to come.
    pub fn ms_since(self, then: Timestamp) -> u64 {
        self.0.saturating_sub(then.0) / 1_000_000
    }

    pub fn plus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0 + ms * 1_000_000)
    }
}

/// What is to be on disk, in this order; a batch is there whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreWrite {
    Put(StoreKey, Vec<u8>),
    Remove(StoreKey),
    /// One entry of the log.
    Log(u64, Vec<u8>),
    /// Entries from this one on are gone.
    Cut(u64),
}

/// What the store holds beside the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreKey {
    BootCount,
    /// Counts what was acknowledged: batches that votes rest on.
    Stamp,
    /// The seat held, if any.
    VoterSlot,
    /// The state at the beginning of the epoch.
    Base,
    Promise,
    Accepted,
    Decided,
    /// What peers were known to have acknowledged.
    DurableMark,
}

impl StoreKey {
    pub const ALL: [StoreKey; 8] = [
        StoreKey::BootCount,
        StoreKey::Stamp,
        StoreKey::VoterSlot,
        StoreKey::Base,
        StoreKey::Promise,
        StoreKey::Accepted,
        StoreKey::Decided,
        StoreKey::DurableMark,
    ];
}

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    pub values: std::collections::BTreeMap<StoreKey, Vec<u8>>,
    pub log: Vec<Vec<u8>>,
}

impl StoredState {
    /// What is there after these writes.
    pub fn take(&mut self, writes: &[StoreWrite]) {
        for write in writes {
            match write {
                StoreWrite::Put(key, value) => drop(self.values.insert(*key, value.clone())),
                StoreWrite::Remove(key) => drop(self.values.remove(key)),
                StoreWrite::Log(at, entry) => {
                    self.log.truncate(*at as usize);
                    self.log.push(entry.clone());
                }
                StoreWrite::Cut(at) => self.log.truncate(*at as usize),
            }
        }
    }

    /// A value that is there and can be read.
    pub fn value<T: serde::de::DeserializeOwned>(&self, key: StoreKey) -> Option<T> {
        postcard::from_bytes(self.values.get(&key)?).ok()
    }
}

pub(crate) fn bytes(value: &impl Serialize) -> Vec<u8> {
    // Danger: what cannot be written down must not look as if it had been. Nothing of ours has unknown lengths, the
    // one thing that cannot be encoded.
    postcard::to_stdvec(value).expect("plain values are encoded")
}
