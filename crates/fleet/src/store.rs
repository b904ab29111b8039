//! A voter's stored data as encoded values. The caller of [`crate::Fleet`] reads and writes them.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// One change of the store. Changes are applied in order, and each batch of them is atomic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreWrite {
    /// Sets a value.
    Put(StoreKey, Vec<u8>),
    /// Removes a value.
    Remove(StoreKey),
    /// Sets the log entry of this index and removes those after it.
    Log(u64, Vec<u8>),
    /// Removes the log entries from this index on.
    Cut(u64),
}

/// Keys of the values that the store holds besides the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreKey {
    /// How often the store was opened.
    BootCount,
    /// Number of batches that were acknowledged to other voters.
    Stamp,
    /// The voter slot that the node holds, if any.
    VoterSlot,
    /// The state at the beginning of the epoch.
    Base,
    /// The highest ballot that the voter has promised to follow.
    Promise,
    /// The ballot in which the voter accepted entries last.
    Accepted,
    /// How many entries of the log are decided.
    Decided,
    /// The highest durable marks received from the other voters.
    DurableMark,
}

impl StoreKey {
    /// All keys, in their encoded order.
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

/// The contents of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Encoded values by key.
    pub values: BTreeMap<StoreKey, Vec<u8>>,
    /// Encoded entries of the log, from index 0.
    pub log: Vec<Vec<u8>>,
}

impl StoredState {
    /// Applies these changes.
    pub fn apply(&mut self, writes: &[StoreWrite]) {
        for write in writes {
            match write {
                StoreWrite::Put(key, value) => drop(self.values.insert(*key, value.clone())),
                StoreWrite::Remove(key) => drop(self.values.remove(key)),
                StoreWrite::Log(index, entry) => {
                    self.log.truncate(*index as usize);
                    self.log.push(entry.clone());
                }
                StoreWrite::Cut(index) => self.log.truncate(*index as usize),
            }
        }
    }

    /// The value of a key, if it is present and can be decoded.
    pub fn value<T: DeserializeOwned>(&self, key: StoreKey) -> Option<T> {
        postcard::from_bytes(self.values.get(&key)?).ok()
    }
}

/// The encoded form of a value, on disk and between nodes.
///
/// # Panics
/// If the value has a sequence of unknown length, the only thing that `postcard` cannot encode. No type of
/// this crate has one; the panic ensures that a value that was not encoded does not count as written.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("all sequences have a known length")
}
