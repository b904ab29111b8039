//! What a voter keeps on disk, as values: whoever hosts the [`crate::Fleet`] writes and reads them.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// One change of the store. Changes are made in their order, and a batch of them is on disk whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreWrite {
    /// Sets a value.
    Put(StoreKey, Vec<u8>),
    /// Removes a value.
    Remove(StoreKey),
    /// Sets the log entry of this index.
    Log(u64, Vec<u8>),
    /// Removes the log entries from this index on.
    Cut(u64),
}

/// What the store holds beside the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreKey {
    /// How often the store was opened.
    BootCount,
    /// Counts the batches that were acknowledged to other voters.
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
    /// What the other voters are known to have on disk.
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

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Encoded values by key.
    pub values: BTreeMap<StoreKey, Vec<u8>>,
    /// Encoded entries of the log, from index 0.
    pub log: Vec<Vec<u8>>,
}

impl StoredState {
    /// Makes these changes.
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

    /// The value of a key, if it is there and can be decoded.
    pub fn value<T: DeserializeOwned>(&self, key: StoreKey) -> Option<T> {
        postcard::from_bytes(self.values.get(&key)?).ok()
    }
}

/// The encoded form of a value, on disk and between nodes.
///
/// # Panics
/// If the value has a sequence of unknown length, the one thing that `postcard` cannot encode. No type of this crate
/// has one, and a value that could not be written must not be taken for written.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("all sequences have a known length")
}
