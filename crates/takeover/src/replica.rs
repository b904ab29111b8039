//! What a node keeps for others.

use std::collections::{BTreeMap, VecDeque};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::fault_injection::{InjectedFault, is_injected};
use crate::{
    Intent, IntentVerdict, Outcome, QUIET_PERIOD_MS, RecordHandover, RecordId, RecordView, ReplicaHandover,
    ReplicaMessage, UNKNOWN_AGE_MS, View, WorkId,
};

/// Records at most: 210 bytes each with what leads to them (`cargo bench -p glendeck-takeover`), so 21 MB.
const MOST: usize = 100_000;

#[derive(Clone, Debug)]
struct Record {
    id: RecordId,
    term: u64,
    repeat: bool,
    /// Where the work's first attempt went, and when at the latest it may have gone, where that is known.
    first: (u64, Option<Timestamp>),
    kept: Timestamp,
    /// The last attempt's intent was kept then.
    last: Timestamp,
    no: u32,
    /// The call's time is over then.
    until: Timestamp,
    answered: Option<Timestamp>,
    /// Another call goes on from it: its own may begin nothing more.
    taken: bool,
}

#[derive(Clone, Debug)]
pub struct Replica {
    recall_ms: u64,
    longest_ms: u64,
    /// All that was to be kept since then is here.
    since: Timestamp,
    /// The process before has left all that it held.
    trusts: bool,
    /// It has left all to the next process.
    left: bool,
    records: BTreeMap<WorkId, Vec<Record>>,
    count: usize,
    /// Works to look at then: they may have records that have run out.
    due: VecDeque<(Timestamp, WorkId)>,
}

/// Danger: a list's first room is for four, and most works have one record: a full replica took 57 MB for 21.
fn of_work(records: &mut BTreeMap<WorkId, Vec<Record>>, work: WorkId) -> &mut Vec<Record> {
    records.entry(work).or_insert_with(|| Vec::with_capacity(1))
}

impl Replica {
    pub fn new(now: Timestamp, recall_ms: u64, longest_ms: u64) -> Replica {
        Replica {
            recall_ms,
            longest_ms,
            since: now,
            trusts: false,
            left: false,
            records: BTreeMap::new(),
            count: 0,
            due: VecDeque::new(),
        }
    }

    /// From here on it keeps; of what was before it may know nothing.
    pub fn begin(&mut self, now: Timestamp) {
        (self.since, self.trusts) = (now, false);
    }

    pub(crate) fn leave(&mut self, now: Timestamp) -> ReplicaHandover {
        self.left = true;
        let records = self.records.iter().flat_map(|(work, records)| {
            records.iter().map(|record| {
                let left = RecordHandover {
                    id: record.id.clone(),
                    term: record.term,
                    repeat: record.repeat,
                    first: record.first.0,
                    no: record.no,
                    left_ms: record.until.ms_since(now),
                    answered: record.answered.is_some(),
                    taken: record.taken,
                };
                (*work, left)
            })
        });
        ReplicaHandover { remembers: self.remembers(now), records: records.collect() }
    }

    /// Danger: nobody here knows how long it took from one process to the next. When things went is not known any more,
    /// and all that depends on it is over.
    pub(crate) fn restore(&mut self, now: Timestamp, left: ReplicaHandover) {
        self.trusts = left.remembers;
        for (work, record) in left.records.into_iter().take(MOST) {
            of_work(&mut self.records, work).push(Record {
                id: record.id,
                term: record.term,
                repeat: record.repeat,
                first: (record.first, None),
                kept: now,
                last: now,
                no: record.no,
                until: now.plus_ms(record.left_ms),
                answered: record.answered.then_some(now),
                taken: record.taken,
            });
            self.count += 1;
            self.due.push_back((now.plus_ms(self.longest_ms + QUIET_PERIOD_MS + self.recall_ms), work));
        }
    }

    /// Records held.
    pub fn held(&self) -> usize {
        self.count
    }

    /// All that it could have forgotten has run out.
    pub fn remembers(&self, now: Timestamp) -> bool {
        let long = now.ms_since(self.since) > self.recall_ms + self.longest_ms + QUIET_PERIOD_MS;
        long || self.trusts || is_injected(InjectedFault::ForgetfulAnswers)
    }

    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        message: ReplicaMessage,
        view: &View,
    ) -> Option<ReplicaMessage> {
        match message {
            ReplicaMessage::StoreIntent(intent) => {
                let (id, no) = (intent.id.clone(), intent.no);
                let verdict =
                    if id.owner == *from { self.keep(now, intent, view) } else { IntentVerdict::Unavailable };
                Some(ReplicaMessage::IntentReply { id, no, verdict })
            }
            ReplicaMessage::Query { id, no, work, version } => {
                let can = !self.left && view.hears && version == view.version && self.remembers(now);
                Some(ReplicaMessage::QueryReply { records: can.then(|| self.show(now, work, &id)), id, no })
            }
            ReplicaMessage::CallEnded { id, work, no, outcome } => {
                self.ended(now, &id, work, no, outcome);
                None
            }
            _ => None,
        }
    }

    fn keep(&mut self, now: Timestamp, intent: Intent, view: &View) -> IntentVerdict {
        let fenced = intent.term < view.term(&intent.id.owner) && !is_injected(InjectedFault::NotFenced);
        if self.left
            || !view.hears
            || intent.version != view.version
            || fenced
            || intent.left_ms > self.longest_ms
        {
            return IntentVerdict::Unavailable;
        }
        if intent.repeat && !self.remembers(now) {
            return IntentVerdict::Unavailable;
        }
        let (host, ago) = intent.first;
        let known = ago < UNKNOWN_AGE_MS;
        let first = (host, known.then(|| Timestamp(now.0.saturating_sub(ago.saturating_mul(1_000_000)))));
        let known = self.records.get_mut(&intent.work);
        if let Some(known) = known.and_then(|of| of.iter_mut().find(|record| record.id == intent.id)) {
            if known.taken && !is_injected(InjectedFault::NotFenced) {
                return IntentVerdict::Conflict;
            }
            // One that comes twice or late says nothing new.
            if intent.no > known.no {
                // Danger: how long ago is said as of when it was sent, which may be long ago itself.
                // Not known is the least of all.
                let at = if known.first.0 == first.0 { known.first.1.min(first.1) } else { first.1 };
                (known.term, known.no, known.last, known.first) =
                    (intent.term, intent.no, now, (first.0, at));
            }
            return IntentVerdict::Accepted;
        }
        if self.count >= MOST {
            return IntentVerdict::Unavailable;
        }
        let records = of_work(&mut self.records, intent.work);
        // Danger: two that come again at once have both seen nothing. A call that is no repeat is other work, though it
        // concerns the same; but where a repeat has been, it may be what that repeats, read late by a node that was stopped.
        // One that has gone on since it was looked at has not been seen either.
        let seen = |record: &Record| intent.over.iter().any(|(id, no)| *id == record.id && *no >= record.no);
        let unseen = |record: &Record| !seen(record) && (intent.repeat || record.repeat);
        if records.iter().any(unseen) && !is_injected(InjectedFault::RaceKept) {
            return IntentVerdict::Conflict;
        }
        for record in records.iter_mut().filter(|record| seen(record)) {
            record.taken = true;
        }
        let until = now.plus_ms(intent.left_ms);
        records.push(Record {
            id: intent.id,
            term: intent.term,
            repeat: intent.repeat,
            first,
            kept: now,
            last: now,
            no: intent.no,
            until,
            answered: None,
            taken: false,
        });
        self.count += 1;
        // One that is never said to have ended runs out after its time.
        self.due.push_back((now.plus_ms(self.longest_ms + QUIET_PERIOD_MS + self.recall_ms), intent.work));
        IntentVerdict::Accepted
    }

    fn show(&self, now: Timestamp, work: WorkId, but: &RecordId) -> Vec<RecordView> {
        let left = |record: &Record| {
            let end = record.until.plus_ms(QUIET_PERIOD_MS);
            if now >= end { 0 } else { end.ms_since(now).max(1) }
        };
        let records = self.records.get(&work).into_iter().flatten();
        records
            .filter(|record| record.id != *but)
            .map(|record| RecordView {
                id: record.id.clone(),
                term: record.term,
                first: (record.first.0, record.first.1.map_or(UNKNOWN_AGE_MS, |at| now.ms_since(at))),
                no: record.no,
                age_ms: now.ms_since(record.last),
                open_ms: left(record),
                answered: record.answered.is_some(),
            })
            .collect()
    }

    fn ended(&mut self, now: Timestamp, id: &RecordId, work: WorkId, no: u32, outcome: Outcome) {
        let Some(records) = self.records.get_mut(&work) else { return };
        match outcome {
            Outcome::Answered if !is_injected(InjectedFault::DroppedEarly) => {
                if let Some(record) = records.iter_mut().find(|record| record.id == *id && record.no <= no) {
                    record.answered = Some(now);
                }
            }
            _ => {
                let before = records.len();
                records.retain(|record| record.id != *id || record.no > no);
                self.count -= before - records.len();
                if records.is_empty() {
                    self.records.remove(&work);
                }
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        while let Some((at, work)) = self.due.front().copied().filter(|(at, _)| *at <= now) {
            self.due.pop_front();
            let recall_ms = self.recall_ms;
            let Some(records) = self.records.get_mut(&work) else { continue };
            let before = records.len();
            // What answered early has been kept longer than it has to be: one date each is enough.
            records.retain(|record| record.kept.plus_ms(self.longest_ms + QUIET_PERIOD_MS + recall_ms) > at);
            self.count -= before - records.len();
            if records.is_empty() {
                self.records.remove(&work);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::RecordId;
    use glendeck_fleet::state::Incarnation;

    #[test]
    fn a_full_keeper_refuses_takes_again_and_has_no_room_to_spare() {
        let (at, from) = (|ms: u64| Timestamp((100_000_000 + ms) * 1_000_000), UnitName("n3".into()));
        let view = View { voter_slots: vec![UnitName("n0".into())], hears: true, ..View::default() };
        let mut replica = Replica::new(at(0), 6_000, 5_000);
        let keep = |replica: &mut Replica, ms: u64, count: u64| {
            let id = RecordId { owner: from.clone(), incarnation: Incarnation(1), count };
            let (term, version, repeat, over, no) = (0, 0, false, vec![], 1);
            let intent = Intent {
                id,
                work: WorkId(count),
                term,
                version,
                repeat,
                over,
                first: (1, 0),
                no,
                left_ms: 1_500,
            };
            match replica.take(at(ms), &from, ReplicaMessage::StoreIntent(intent), &view) {
                Some(ReplicaMessage::IntentReply { verdict, .. }) => verdict,
                other => panic!("{other:?}"),
            }
        };
        let most = MOST as u64;
        assert!((0..most).all(|count| keep(&mut replica, 0, count) == IntentVerdict::Accepted));
        assert_eq!(keep(&mut replica, 0, most), IntentVerdict::Unavailable);
        assert!(replica.records.values().all(|records| records.capacity() == 1));
        replica.tick(at(11_600));
        assert_eq!(replica.held(), 0);
        assert_eq!(keep(&mut replica, 11_600, most), IntentVerdict::Accepted);
    }
}
