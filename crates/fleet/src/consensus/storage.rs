//! The library's storage, kept in memory; it records every change that has to be written to disk.

use std::cell::RefCell;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};

use crate::state::Entry;
use crate::store::{StoreKey, StoreWrite, StoredState, encode};

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

/// A voter's log and ballots.
#[derive(Default)]
struct VoterLog {
    entries: Vec<Entry>,
    /// The highest ballot that the voter has promised to follow.
    promise: Option<Ballot>,
    /// The ballot in which the voter last accepted entries.
    accepted: Option<Ballot>,
    /// Number of decided entries.
    decided: usize,
    stop_sign: Option<StopSign>,
    /// Changes that are not on disk yet.
    writes: Vec<StoreWrite>,
}

impl VoterLog {
    /// Appends entries and records them to be written.
    fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.writes.push(StoreWrite::Log(self.entries.len() as u64, encode(&entry)));
            self.entries.push(entry);
        }
    }
}

/// Handle to the storage of one voter. The library owns one handle; the voter reads the changes through
/// another.
#[derive(Clone, Default)]
pub(super) struct SharedLog(Rc<RefCell<VoterLog>>);

impl SharedLog {
    /// Restores the log from the store's contents.
    pub(super) fn restore(saved: &StoredState) -> SharedLog {
        let log = VoterLog {
            entries: saved.log.iter().map_while(|entry| postcard::from_bytes(entry).ok()).collect(),
            promise: saved.value(StoreKey::Promise),
            accepted: saved.value(StoreKey::Accepted),
            decided: saved.value(StoreKey::Decided).unwrap_or(0),
            stop_sign: None,
            writes: Vec::new(),
        };
        SharedLog(Rc::new(RefCell::new(log)))
    }

    /// Number of log entries in this epoch.
    pub(super) fn len(&self) -> usize {
        self.0.borrow().entries.len()
    }

    /// The entries from this index on.
    pub(super) fn suffix(&self, from: usize) -> Vec<Entry> {
        self.0.borrow().entries.get(from..).map(<[Entry]>::to_vec).unwrap_or_default()
    }

    /// Number of decided entries.
    pub(super) fn decided(&self) -> usize {
        self.0.borrow().decided
    }

    /// The ballot in which entries were last accepted.
    pub(super) fn accepted(&self) -> Option<Ballot> {
        self.0.borrow().accepted
    }

    /// Appends an entry directly, without the library.
    pub(super) fn append(&self, entry: Entry) {
        self.0.borrow_mut().append(vec![entry]);
    }

    /// Returns the changes since the last call.
    pub(super) fn take_writes(&self) -> Vec<StoreWrite> {
        std::mem::take(&mut self.0.borrow_mut().writes)
    }
}

impl Storage<Entry> for SharedLog {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(decided) => self.set_decided_idx(decided)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                // The log is never trimmed or compacted within an epoch: a long log is replaced by starting a
                // new epoch.
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.0.borrow_mut().append(entries);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        let mut log = self.0.borrow_mut();
        log.entries.truncate(from);
        log.writes.push(StoreWrite::Cut(from as u64));
        log.append(entries);
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut log = self.0.borrow_mut();
        log.promise = Some(ballot);
        log.writes.push(StoreWrite::Put(StoreKey::Promise, encode(&ballot)));
        Ok(())
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        let mut log = self.0.borrow_mut();
        log.decided = decided;
        log.writes.push(StoreWrite::Put(StoreKey::Decided, encode(&decided)));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided())
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut log = self.0.borrow_mut();
        log.accepted = Some(ballot);
        log.writes.push(StoreWrite::Put(StoreKey::Accepted, encode(&ballot)));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted())
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().entries.get(from..to).map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.suffix(from))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        let mut log = self.0.borrow_mut();
        // An epoch ends with a `Reconfigure` entry, so a stop sign is never written to disk.
        log.stop_sign = stop;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().stop_sign.clone())
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
