//! A query for the records of a work item: the replicas that were asked, their replies, and the resulting
//! decision.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::action::{Action, PriorAttempt};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::id::RecordId;
use crate::message::{RecordView, ReplicaMessage, SupersededRecord};
use crate::timing::{QUIET_PERIOD_MS, RESEND_MS, UNKNOWN_AGE_MS, timestamp_before};
use crate::view::View;

use super::quorum::majority;

/// What the replies so far mean for the repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum QueryDecision {
    /// Replies that may change the result are outstanding.
    Pending,
    /// The outcome of the work item cannot be determined.
    Unknown,
    /// A record of the work item is not over yet.
    InFlight,
    /// All records are over: the call may be placed.
    Over(WorkHistory),
}

/// The records and the first attempt that precede a repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WorkHistory {
    /// All records of the work item, in the order of their ids.
    pub(super) records: Vec<SupersededRecord>,
    /// The first attempt that may have run.
    pub(super) first: Option<PriorAttempt>,
}

/// A query that waits for the replies of its replicas, or for its next retry.
#[derive(Clone, Debug)]
pub(super) struct QueryRound {
    sequence: u32,
    started_at: Timestamp,
    sent_at: Timestamp,
    replicas: Vec<UnitName>,
    replies: BTreeMap<UnitName, Option<Vec<RecordView>>>,
    /// When to query again; set if a record was not over.
    retry_at: Option<Timestamp>,
}

impl QueryRound {
    pub(super) fn new(now: Timestamp, sequence: u32, replicas: Vec<UnitName>) -> QueryRound {
        QueryRound {
            sequence,
            started_at: now,
            sent_at: now,
            replicas,
            replies: BTreeMap::new(),
            retry_at: None,
        }
    }

    /// Whether the query waits for a reply with this sequence number.
    pub(super) fn awaits(&self, sequence: u32) -> bool {
        self.sequence == sequence && self.retry_at.is_none()
    }

    pub(super) fn sequence(&self) -> u32 {
        self.sequence
    }

    /// The query for each replica that has not replied.
    pub(super) fn requests(&self, query: &ReplicaMessage) -> Vec<Action> {
        let unanswered = self.replicas.iter().filter(|replica| !self.replies.contains_key(*replica));
        unanswered.map(|replica| Action::Send(replica.clone(), query.clone())).collect()
    }

    /// Returns whether the query is due to be sent again to the replicas that have not replied; if so,
    /// restarts the resend interval.
    pub(super) fn take_resend_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.retry_at.is_none() && now.ms_since(self.sent_at) >= RESEND_MS;
        if is_due {
            self.sent_at = now;
        }
        is_due
    }

    pub(super) fn is_retry_due(&self, now: Timestamp) -> bool {
        self.retry_at.is_some_and(|retry_at| now >= retry_at)
    }

    pub(super) fn schedule_retry(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    pub(super) fn record_reply(&mut self, from: &UnitName, records: Option<Vec<RecordView>>) {
        if self.replicas.contains(from) {
            self.replies.insert(from.clone(), records);
        }
    }

    pub(super) fn decision(&self, now: Timestamp, view: &View) -> QueryDecision {
        let needed = majority(&self.replicas);
        let with_records = self.replies.values().flatten().count();
        let without_records = self.replies.len() - with_records;
        if with_records < needed {
            // Once no majority can answer any more, waiting would only delay the call.
            let is_majority_impossible = self.replicas.len() - without_records < needed;
            return if is_majority_impossible { QueryDecision::Unknown } else { QueryDecision::Pending };
        }
        let records = self.merged_records();
        if !records.values().all(|record| is_over(record, view)) {
            return QueryDecision::InFlight;
        }
        if !has_known_first_attempt(&records) {
            return QueryDecision::Unknown;
        }
        QueryDecision::Over(self.history(now, records))
    }

    fn merged_records(&self) -> BTreeMap<RecordId, RecordView> {
        let mut records: BTreeMap<RecordId, RecordView> = BTreeMap::new();
        for reported in self.replies.values().flatten().flatten() {
            records
                .entry(reported.id.clone())
                .and_modify(|known| merge(known, reported))
                .or_insert_with(|| reported.clone());
        }
        records
    }

    fn history(&self, now: Timestamp, records: BTreeMap<RecordId, RecordView>) -> WorkHistory {
        let oldest = records.values().max_by_key(|record| record.first.age_ms);
        let first = oldest.map(|record| {
            // The replica computed the age after the query started, so the attempt was not sent earlier than
            // this.
            let earliest = timestamp_before(self.started_at, record.first.age_ms);
            PriorAttempt {
                host: record.first.host,
                sent_at: if is_injected(InjectedFault::WindowFromRepeat) { now } else { earliest },
            }
        });
        let superseded = |record: RecordView| SupersededRecord { id: record.id, sequence: record.sequence };
        WorkHistory { records: records.into_values().map(superseded).collect(), first }
    }
}

/// Merges what two replicas report of one record.
///
/// A replica that was paused, or whose link stalled, stores an intent late and reports too small an age. In
/// any majority at least one replica stored the last intent in time and reports the greater age.
fn merge(known: &mut RecordView, other: &RecordView) {
    if other.first.host == known.first.host {
        known.first.age_ms = known.first.age_ms.max(other.first.age_ms);
    } else if other.sequence > known.sequence {
        known.first = other.first;
    }
    match other.sequence.cmp(&known.sequence) {
        Ordering::Greater => {
            known.sequence = other.sequence;
            known.term = other.term;
            known.age_ms = other.age_ms;
        }
        Ordering::Equal => known.age_ms = known.age_ms.max(other.age_ms),
        Ordering::Less => {}
    }
    known.is_answered |= other.is_answered;
    known.open_ms = known.open_ms.min(other.open_ms);
}

/// Whether nothing more can be sent for a record: its call is answered, its time is over, or its owner was
/// declared lost and the quiet period after the last intent is over.
fn is_over(record: &RecordView, view: &View) -> bool {
    let is_owner_lost = view.term_of(&record.id.owner) > record.term && record.age_ms >= QUIET_PERIOD_MS;
    record.is_answered
        || record.open_ms == 0
        || is_owner_lost
        || is_injected(InjectedFault::OpenRecordTakenOver)
}

/// Whether all records agree on the host of the first attempt, and know when it was sent.
///
/// A record that its owner withdrew may still be stored at one replica. It and another record can name two
/// hosts, of which only one ran the work item, and there is no way to tell which. If the time is not known,
/// no host can be expected to recognise the repeat.
fn has_known_first_attempt(records: &BTreeMap<RecordId, RecordView>) -> bool {
    let mut hosts = records.values().map(|record| record.first.host);
    let first_host = hosts.next();
    let is_one_host = hosts.all(|host| Some(host) == first_host);
    let is_age_known = records.values().all(|record| record.first.age_ms < UNKNOWN_AGE_MS);
    is_one_host && is_age_known
}
