//! A voter's store: one batch of writes at a time, and how far its disk is.

use std::collections::BTreeMap;

use crate::action::Action;
use crate::consensus::ConsensusMessage;
use crate::message::DurableMark;
use crate::policy::UnitName;
use crate::store::{StoreKey, StoreWrite, StoredState, encode};

/// What follows once a batch is on disk.
pub(crate) enum AfterWrite {
    /// Nothing.
    Nothing,
    /// These messages go out, and what the voter has decided counts.
    Send(Vec<ConsensusMessage>),
    /// The node votes in this slot.
    Vote(u64),
    /// The node no longer votes.
    StateLost,
}

impl AfterWrite {
    /// Whether other voters rest on the batch. Merely opening a store, or giving a slot up, must not make an older copy of
    /// it look newer than it is.
    fn is_acknowledged(&self) -> bool {
        matches!(self, AfterWrite::Send(_) | AfterWrite::Vote(_))
    }
}

struct WriteInFlight {
    batch: u64,
    stamp: u64,
    after: AfterWrite,
}

/// The store as it will be once all writes are done.
pub(crate) struct DurableStore {
    saved: StoredState,
    last_batch: u64,
    /// Acknowledged batches that are on disk.
    stamp: u64,
    in_flight: Option<WriteInFlight>,
    /// Written with the next batch that has to wait anyway.
    deferred: Vec<StoreWrite>,
}

impl DurableStore {
    /// A store with what it held when it was opened.
    pub(crate) fn open(saved: StoredState) -> DurableStore {
        let stamp = saved.value(StoreKey::Stamp).unwrap_or(0);
        DurableStore { saved, last_batch: 0, stamp, in_flight: None, deferred: Vec::new() }
    }

    /// What the store holds, or will hold.
    pub(crate) fn saved(&self) -> &StoredState {
        &self.saved
    }

    /// Acknowledged batches that are on disk.
    pub(crate) fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Whether a batch is not on disk yet.
    pub(crate) fn is_writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Adds writes that may be lost, to be made with the next batch.
    pub(crate) fn defer(&mut self, writes: Vec<StoreWrite>) {
        self.deferred.extend(writes);
    }

    /// Drops the writes that were deferred.
    pub(crate) fn drop_deferred(&mut self) {
        self.deferred.clear();
    }

    /// Begins to write a batch, with what the other voters are known to have on disk.
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

    /// A batch is on disk. What follows, if it is the one that was waited for.
    pub(crate) fn finish_write(&mut self, batch: u64) -> Option<AfterWrite> {
        let finished = self.in_flight.take_if(|write| write.batch == batch)?;
        self.stamp = finished.stamp;
        Some(finished.after)
    }
}
