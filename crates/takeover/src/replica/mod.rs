//! The replica side of the protocol: the records that a node stores for other nodes' calls and its own.

mod record;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::fault_injection::{InjectedFault, is_injected};
use crate::handover::ReplicaHandover;
use crate::id::{RecordId, WorkId};
use crate::message::{Intent, IntentVerdict, Outcome, RecordView, ReplicaMessage};
use crate::timing::QUIET_PERIOD_MS;
use crate::view::View;
use record::Record;

/// The most records that a replica stores, which bounds its memory (see `cargo bench -p glendeck-takeover`).
const MAX_RECORDS: usize = 100_000;

/// A work item that may have expired records at `due_at`.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    due_at: Timestamp,
    work: WorkId,
}

/// Stores records, and answers requests for them.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The least time that a record is kept after its call's answer.
    retention_ms: u64,
    /// The longest time that any call may take.
    longest_call_ms: u64,
    /// Every intent that was accepted since this time is stored.
    history_since: Timestamp,
    /// The history is full whatever its age: the previous process handed it over, or it was full before the
    /// longest time of a call was raised.
    has_complete_history: bool,
    /// Whether the records were handed over to the next process, so that nothing more is stored.
    is_handed_over: bool,
    records: BTreeMap<WorkId, Vec<Record>>,
    record_count: usize,
    /// Ordered by `due_at`.
    expiries: VecDeque<Expiry>,
}

impl Replica {
    pub(crate) fn new(now: Timestamp, retention_ms: u64, longest_call_ms: u64) -> Replica {
        Replica {
            retention_ms,
            longest_call_ms,
            history_since: now,
            has_complete_history: false,
            is_handed_over: false,
            records: BTreeMap::new(),
            record_count: 0,
            expiries: VecDeque::new(),
        }
    }

    /// Raises the longest time that any call may take. It is never lowered: calls that were taken in under
    /// the longer time may still be in flight.
    pub(crate) fn raise_longest_call(&mut self, now: Timestamp, longest_call_ms: u64) {
        let added_ms = longest_call_ms.saturating_sub(self.longest_call_ms);
        if added_ms == 0 {
            return;
        }
        // Expired records belonged to calls with the shorter time, so none is missing from a full history.
        self.has_complete_history |= self.has_full_history(now);
        self.longest_call_ms = longest_call_ms;
        for expiry in &mut self.expiries {
            expiry.due_at = expiry.due_at.plus_ms(added_ms);
        }
    }

    /// The number of records stored.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// Whether every record that this replica may lack has expired by now, so that it may answer queries.
    pub fn has_full_history(&self, now: Timestamp) -> bool {
        let is_old_enough = now.ms_since(self.history_since) > self.lifetime_ms();
        is_old_enough || self.has_complete_history || is_injected(InjectedFault::AnswersWithoutHistory)
    }

    /// Starts the history anew: records of intents from before `now` may be missing.
    pub(crate) fn restart_history(&mut self, now: Timestamp) {
        self.history_since = now;
        self.has_complete_history = false;
    }

    pub(crate) fn hand_over(&mut self, now: Timestamp) -> ReplicaHandover {
        self.is_handed_over = true;
        let records = self
            .records
            .iter()
            .flat_map(|(work, records)| records.iter().map(|record| record.to_handover(now, *work)));
        ReplicaHandover { has_full_history: self.has_full_history(now), records: records.collect() }
    }

    pub(crate) fn restore(&mut self, now: Timestamp, handover: ReplicaHandover) {
        self.has_complete_history = handover.has_full_history;
        for record in handover.records.into_iter().take(MAX_RECORDS) {
            let work = record.work;
            self.insert(now, work, Record::from_handover(now, record));
        }
    }

    /// Handles an owner's request; replies are ignored.
    pub(crate) fn handle_request(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        message: ReplicaMessage,
        view: &View,
    ) -> Option<ReplicaMessage> {
        match message {
            ReplicaMessage::StoreIntent(intent) => {
                let id = intent.id.clone();
                let sequence = intent.sequence;
                let is_from_owner = id.owner == *from;
                let verdict = if is_from_owner {
                    self.store_intent(now, intent, view)
                } else {
                    IntentVerdict::Unavailable
                };
                Some(ReplicaMessage::IntentReply { id, sequence, verdict })
            }
            ReplicaMessage::Query { id, sequence, work, version } => {
                let can_answer = self.can_serve(version, view) && self.has_full_history(now);
                let records = can_answer.then(|| self.views(now, work, &id));
                Some(ReplicaMessage::QueryReply { id, sequence, records })
            }
            ReplicaMessage::CallEnded { sequence, id, work, outcome } => {
                self.end_call(now, &id, work, sequence, outcome);
                None
            }
            ReplicaMessage::IntentReply { .. } | ReplicaMessage::QueryReply { .. } => None,
        }
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        while let Some(Expiry { due_at, work }) = self.expiries.front().copied() {
            if due_at > now {
                break;
            }
            self.expiries.pop_front();
            let lifetime_ms = self.lifetime_ms();
            // One expiry time per record is enough: if the call was answered early, the record is only kept
            // longer than necessary.
            self.retain(work, |record| record.created_at.plus_ms(lifetime_ms) > due_at);
        }
    }

    /// How long a record is kept after it was created, in ms.
    fn lifetime_ms(&self) -> u64 {
        self.longest_call_ms + QUIET_PERIOD_MS + self.retention_ms
    }

    /// Whether this replica serves an owner with this version of the view.
    fn can_serve(&self, version: u32, view: &View) -> bool {
        !self.is_handed_over && view.hears_leader && version == view.version
    }

    fn store_intent(&mut self, now: Timestamp, intent: Intent, view: &View) -> IntentVerdict {
        if !self.may_store(now, &intent, view) {
            return IntentVerdict::Unavailable;
        }
        let records = self.records.get_mut(&intent.work);
        let known = records.and_then(|records| records.iter_mut().find(|record| record.id == intent.id));
        if let Some(known) = known {
            return known.update(now, &intent);
        }
        if self.record_count >= MAX_RECORDS {
            return IntentVerdict::Unavailable;
        }
        if !self.supersede(&intent) {
            return IntentVerdict::Conflict;
        }
        let work = intent.work;
        self.insert(now, work, Record::new(now, intent));
        IntentVerdict::Accepted
    }

    fn may_store(&self, now: Timestamp, intent: &Intent, view: &View) -> bool {
        let is_fenced =
            intent.term < view.term_of(&intent.id.owner) && !is_injected(InjectedFault::NoFencing);
        self.can_serve(intent.version, view)
            && !is_fenced
            && intent.remaining_ms <= self.longest_call_ms
            && (!intent.is_repeat || self.has_full_history(now))
    }

    /// Marks the records that the intent of a new call supersedes. Returns false, and marks none, if other
    /// records of the same work item conflict with the intent.
    ///
    /// Two simultaneous repeats have both seen no record, so the second one has to be refused. Calls that are
    /// not repeats do not conflict with each other: they are separate executions, although their work item is
    /// the same. Such a call does conflict with the record of a repeat, because it may be the call that was
    /// repeated, read late by a node that was paused. A record with a newer intent than the one that was seen
    /// counts as unseen.
    fn supersede(&mut self, intent: &Intent) -> bool {
        let Some(records) = self.records.get_mut(&intent.work) else { return true };
        let conflicts =
            |record: &Record| !record.is_superseded_by(intent) && (intent.is_repeat || record.is_repeat);
        if records.iter().any(conflicts) && !is_injected(InjectedFault::ConflictAccepted) {
            return false;
        }
        for record in records.iter_mut().filter(|record| record.is_superseded_by(intent)) {
            record.is_superseded = true;
        }
        true
    }

    fn insert(&mut self, now: Timestamp, work: WorkId, record: Record) {
        // Most work items have one record, and a vector's default capacity of four would nearly triple the
        // memory in use.
        self.records.entry(work).or_insert_with(|| Vec::with_capacity(1)).push(record);
        self.record_count += 1;
        // A record expires even if the end of its call is never reported.
        self.expiries.push_back(Expiry { due_at: now.plus_ms(self.lifetime_ms()), work });
    }

    /// The records of a work item, except the one of the querying call.
    fn views(&self, now: Timestamp, work: WorkId, querying_id: &RecordId) -> Vec<RecordView> {
        let records = self.records.get(&work).into_iter().flatten();
        records.filter(|record| record.id != *querying_id).map(|record| record.to_view(now)).collect()
    }

    fn end_call(&mut self, now: Timestamp, id: &RecordId, work: WorkId, sequence: u32, outcome: Outcome) {
        let is_ended_call = |record: &Record| record.id == *id && record.sequence <= sequence;
        let is_kept = outcome == Outcome::Answered && !is_injected(InjectedFault::RecordDroppedOnAnswer);
        if !is_kept {
            self.retain(work, |record| !is_ended_call(record));
            return;
        }
        let Some(records) = self.records.get_mut(&work) else { return };
        if let Some(record) = records.iter_mut().find(|record| is_ended_call(record)) {
            record.answered_at = Some(now);
        }
    }

    /// Removes the records of a work item that do not satisfy the predicate.
    fn retain(&mut self, work: WorkId, is_retained: impl Fn(&Record) -> bool) {
        let Some(records) = self.records.get_mut(&work) else { return };
        let count_before = records.len();
        records.retain(is_retained);
        self.record_count -= count_before - records.len();
        if records.is_empty() {
            self.records.remove(&work);
        }
    }
}
