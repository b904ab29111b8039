//! One stored record and its conversions.

use glendeck_fleet::Timestamp;

use crate::fault_injection::{InjectedFault, is_injected};
use crate::handover::RecordHandover;
use crate::id::{RecordId, WorkId};
use crate::message::{FirstAttempt, Intent, IntentVerdict, RecordView};
use crate::timing::{QUIET_PERIOD_MS, UNKNOWN_AGE_MS, timestamp_before};

/// The first attempt of a work item that may have run, timed by the replica's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstAttemptTime {
    host: u64,
    /// The earliest time at which the attempt may have been sent, plus the time that the intent took to
    /// arrive; `None` if it is not known.
    sent_at: Option<Timestamp>,
}

impl FirstAttemptTime {
    /// Converts an age as of `now` into a time.
    fn new(now: Timestamp, first: FirstAttempt) -> FirstAttemptTime {
        let is_known = first.age_ms < UNKNOWN_AGE_MS;
        let sent_at = is_known.then(|| timestamp_before(now, first.age_ms));
        FirstAttemptTime { host: first.host, sent_at }
    }

    fn to_first_attempt(self, now: Timestamp) -> FirstAttempt {
        let age_ms = self.sent_at.map_or(UNKNOWN_AGE_MS, |sent_at| now.ms_since(sent_at));
        FirstAttempt { host: self.host, age_ms }
    }

    /// Merges this with the first attempt that a later intent reports.
    ///
    /// An age is as of when the intent was sent, and the intent may arrive long after that. Of two times for
    /// the same host the earlier one is therefore used, and an unknown time is earlier than all others.
    fn updated(self, later: FirstAttemptTime) -> FirstAttemptTime {
        if self.host != later.host {
            return later;
        }
        FirstAttemptTime { host: self.host, sent_at: self.sent_at.min(later.sent_at) }
    }
}

/// What a replica stores of one call.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) id: RecordId,
    /// The owner's term when the last intent was stored.
    term: u64,
    pub(super) is_repeat: bool,
    first: FirstAttemptTime,
    /// When the first intent was stored.
    pub(super) created_at: Timestamp,
    /// When the last intent was stored.
    updated_at: Timestamp,
    /// The sequence number of the last intent.
    pub(super) sequence: u32,
    /// The call's deadline.
    deadline: Timestamp,
    /// When the call was reported to have its final answer.
    pub(super) answered_at: Option<Timestamp>,
    /// Whether another call has superseded this record, so that its own call may start no more attempts.
    pub(super) is_superseded: bool,
}

impl Record {
    pub(super) fn new(now: Timestamp, intent: Intent) -> Record {
        Record {
            id: intent.id,
            term: intent.term,
            is_repeat: intent.is_repeat,
            first: FirstAttemptTime::new(now, intent.first),
            created_at: now,
            updated_at: now,
            sequence: intent.sequence,
            deadline: now.plus_ms(intent.remaining_ms),
            answered_at: None,
            is_superseded: false,
        }
    }

    /// Stores a further intent of the same call.
    pub(super) fn update(&mut self, now: Timestamp, intent: &Intent) -> IntentVerdict {
        if self.is_superseded && !is_injected(InjectedFault::NoFencing) {
            return IntentVerdict::Conflict;
        }
        // A duplicate or late intent adds nothing new.
        if intent.sequence > self.sequence {
            self.term = intent.term;
            self.sequence = intent.sequence;
            self.updated_at = now;
            self.first = self.first.updated(FirstAttemptTime::new(now, intent.first));
        }
        IntentVerdict::Accepted
    }

    /// Whether an intent supersedes this record in its current state.
    pub(super) fn is_superseded_by(&self, intent: &Intent) -> bool {
        intent.supersedes.iter().any(|seen| seen.id == self.id && seen.sequence >= self.sequence)
    }

    pub(super) fn to_view(&self, now: Timestamp) -> RecordView {
        RecordView {
            id: self.id.clone(),
            term: self.term,
            first: self.first.to_first_attempt(now),
            sequence: self.sequence,
            age_ms: now.ms_since(self.updated_at),
            open_ms: self.open_ms(now),
            is_answered: self.answered_at.is_some(),
        }
    }

    /// Time in ms until the record is over. Until then it is at least 1, even if less than a millisecond is
    /// left.
    fn open_ms(&self, now: Timestamp) -> u64 {
        let end = self.deadline.plus_ms(QUIET_PERIOD_MS);
        if now >= end { 0 } else { end.ms_since(now).max(1) }
    }

    pub(super) fn to_handover(&self, now: Timestamp, work: WorkId) -> RecordHandover {
        RecordHandover {
            work,
            id: self.id.clone(),
            term: self.term,
            is_repeat: self.is_repeat,
            first_host: self.first.host,
            sequence: self.sequence,
            remaining_ms: self.deadline.ms_since(now),
            is_answered: self.answered_at.is_some(),
            is_superseded: self.is_superseded,
        }
    }

    /// Restores a record in the successor.
    ///
    /// It is not known how much time has passed between the two processes, so the time of the first attempt
    /// is unknown from now on.
    pub(super) fn from_handover(now: Timestamp, record: RecordHandover) -> Record {
        Record {
            id: record.id,
            term: record.term,
            is_repeat: record.is_repeat,
            first: FirstAttemptTime { host: record.first_host, sent_at: None },
            created_at: now,
            updated_at: now,
            sequence: record.sequence,
            deadline: now.plus_ms(record.remaining_ms),
            answered_at: record.is_answered.then_some(now),
            is_superseded: record.is_superseded,
        }
    }
}
