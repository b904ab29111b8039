//! A voter's store: batches of writes, at most one in flight, and the count of acknowledged batches on disk.

use std::collections::BTreeMap;

use crate::action::Action;
use crate::consensus::ConsensusMessage;
use crate::message::DurableMark;
use crate::policy::UnitName;
use crate::store::{StoreKey, StoreWrite, StoredState, encode};

/// What to do once a batch is on disk.
pub(crate) enum AfterWrite {
    /// Nothing.
    Nothing,
    /// Send these messages, and apply the entries that the voter has decided.
    Send(Vec<ConsensusMessage>),
    /// Start voting in this slot.
    Vote(u64),
    /// Set the status to `StateLost`: the slot is removed from the disk.
    StateLost,
}

impl AfterWrite {
    /// Whether other voters rely on the batch. Only such batches raise the stamp: opening a store or giving
    /// up a slot must not make an older copy of the store look newer than it is.
    fn is_acknowledged(&self) -> bool {
        matches!(self, AfterWrite::Send(_) | AfterWrite::Vote(_))
    }
}

struct WriteInFlight {
    batch: u64,
    stamp: u64,
    after: AfterWrite,
}

/// The store's contents with the batch in flight applied, and the writes that are deferred to the next batch.
pub(crate) struct DurableStore {
    saved: StoredState,
    last_batch: u64,
    /// Number of acknowledged batches that are on disk.
    stamp: u64,
    in_flight: Option<WriteInFlight>,
    /// Writes that no message waits for; they are added to the next batch.
    deferred: Vec<StoreWrite>,
}

impl DurableStore {
    /// Opens a store with the contents that were read from disk.
    pub(crate) fn open(saved: StoredState) -> DurableStore {
        let stamp = saved.value(StoreKey::Stamp).unwrap_or(0);
        DurableStore { saved, last_batch: 0, stamp, in_flight: None, deferred: Vec::new() }
    }

    /// The store's contents, including the batch in flight.
    pub(crate) fn saved(&self) -> &StoredState {
        &self.saved
    }

    /// Number of acknowledged batches that are on disk.
    pub(crate) fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Whether a batch is in flight.
    pub(crate) fn is_writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Adds writes to the next batch. They are lost if the process crashes before it, which must be harmless.
    pub(crate) fn defer(&mut self, writes: Vec<StoreWrite>) {
        self.deferred.extend(writes);
    }

    /// Drops the deferred writes.
    pub(crate) fn drop_deferred(&mut self) {
        self.deferred.clear();
    }

    /// Starts writing a batch, which includes the highest durable marks received from the other voters.
    pub(crate) fn write(
        &mut self,
        writes: Vec<StoreWrite>,
        peer_marks: &BTreeMap<UnitName, DurableMark>,
        after: AfterWrite,
    ) -> Action {
        self.last_batch += 1;
        let stamp = self.stamp + u64::from(after.is_acknowledged());
        let mut batch = std::mem::take(&mut self.deferred);
        batch.extend(writes);
        batch.push(StoreWrite::Put(StoreKey::Stamp, encode(&stamp)));
        batch.push(StoreWrite::Put(StoreKey::DurableMark, encode(peer_marks)));
        self.saved.apply(&batch);
        self.in_flight = Some(WriteInFlight { batch: self.last_batch, stamp, after });
        Action::Persist(self.last_batch, batch)
    }

    /// Records that a batch is on disk and returns what to do next, or `None` if it is not the batch in
    /// flight.
    pub(crate) fn finish_write(&mut self, batch: u64) -> Option<AfterWrite> {
        let finished = self.in_flight.take_if(|write| write.batch == batch)?;
        self.stamp = finished.stamp;
        Some(finished.after)
    }
}
