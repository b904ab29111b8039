//! The owner side of the protocol, for a node's own calls: intents are replicated before an attempt is sent,
//! and the records of earlier calls are queried before a repeated call is placed.

mod intent_round;
mod query_round;
mod quorum;

use std::collections::BTreeMap;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use nanorand::{Rng, WyRand};

use crate::action::{Action, Attempt, PriorAttempt};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::id::{RecordId, WorkId};
use crate::message::{FirstAttempt, Intent, Outcome, ReplicaMessage, SupersededRecord};
use crate::view::View;
use intent_round::{IntentDecision, IntentRound};
use query_round::{QueryDecision, QueryRound};

/// A query that found an open record is retried after a random delay between this value and twice this value,
/// so that two calls that conflicted do not conflict again.
const QUERY_RETRY_MS: u64 = 100;

/// The part of a repeated call's remaining time that is reserved for its answer; queries end before it.
const ANSWER_RESERVE_MS: u64 = 150;

/// A call for which the replication of an intent or a query of earlier records was requested.
#[derive(Clone, Debug)]
struct OwnedCall {
    /// The call's number in its [`RecordId`].
    call_number: u64,
    work: WorkId,
    is_repeat: bool,
    /// The records that the last query found.
    supersedes: Vec<SupersededRecord>,
    prior: Option<PriorAttempt>,
    /// When a query that is still undecided makes the call fail.
    query_deadline: Timestamp,
    /// Counts the call's intents and queries.
    sequence: u32,
    intent_round: Option<IntentRound>,
    query_round: Option<QueryRound>,
    has_sent_intent: bool,
}

/// The state of this node's own calls, and its exchange with the replicas of their records.
#[derive(Clone, Debug)]
pub struct Owner {
    me: UnitName,
    incarnation: Incarnation,
    random: WyRand,
    last_call_number: u64,
    /// By the node's own call id.
    calls: BTreeMap<u64, OwnedCall>,
    /// The node's own call id, by [`RecordId::call_number`].
    call_by_number: BTreeMap<u64, u64>,
}

impl Owner {
    pub(crate) fn new(me: UnitName, incarnation: Incarnation, seed: u64) -> Owner {
        Owner {
            me,
            incarnation,
            random: WyRand::new_seed(seed),
            last_call_number: 0,
            calls: BTreeMap::new(),
            call_by_number: BTreeMap::new(),
        }
    }

    /// The number of unfinished calls for which the replication of an intent or a query of earlier records
    /// was requested.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn call_repeated(
        &mut self,
        now: Timestamp,
        call: u64,
        work: WorkId,
        remaining_ms: u64,
        view: &View,
    ) -> Vec<Action> {
        let owned = self.entry(call, work, now);
        owned.is_repeat = true;
        owned.query_deadline = now.plus_ms(remaining_ms.saturating_sub(ANSWER_RESERVE_MS));
        self.start_query(now, call, view)
    }

    pub(crate) fn replicate_intent(
        &mut self,
        now: Timestamp,
        call: u64,
        attempt: Attempt,
        view: &View,
    ) -> Vec<Action> {
        let owned = self.entry(call, attempt.work, now);
        owned.sequence += 1;
        owned.has_sent_intent = true;
        let replicas = view.replicas(attempt.work);
        if replicas.is_empty() {
            return vec![Action::NotReplicated(call)];
        }
        let Some(intent) = self.intent_of(now, call, &attempt, view) else { return vec![] };
        let has_prior = attempt.prior.is_some();
        let round = IntentRound::new(now, intent, replicas, attempt.send_before, has_prior);
        let mut actions = round.requests();
        if is_injected(InjectedFault::SendBeforeReplicated) {
            actions.push(Action::Proceed(call));
            return actions;
        }
        if let Some(owned) = self.calls.get_mut(&call) {
            owned.intent_round = Some(round);
        }
        actions
    }

    pub(crate) fn call_ended(&mut self, call: u64, outcome: Outcome, view: &View) -> Vec<Action> {
        let Some(owned) = self.calls.remove(&call) else { return vec![] };
        self.call_by_number.remove(&owned.call_number);
        if !owned.has_sent_intent {
            return vec![];
        }
        self.end_record(&owned, outcome, view)
    }

    /// Handles a replica's reply; requests are ignored.
    pub(crate) fn handle_reply(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        message: ReplicaMessage,
        view: &View,
    ) -> Vec<Action> {
        match message {
            ReplicaMessage::IntentReply { id, sequence, verdict } => {
                let Some(call) = self.call_of(&id) else { return vec![] };
                let Some(owned) = self.calls.get_mut(&call) else { return vec![] };
                let round = owned.intent_round.as_mut().filter(|round| round.sequence() == sequence);
                let Some(round) = round else { return vec![] };
                round.record_verdict(from, verdict);
                self.decide_intent(now, call, view)
            }
            ReplicaMessage::QueryReply { id, sequence, records } => {
                let Some(call) = self.call_of(&id) else { return vec![] };
                let Some(owned) = self.calls.get_mut(&call) else { return vec![] };
                let round = owned.query_round.as_mut().filter(|round| round.awaits(sequence));
                let Some(round) = round else { return vec![] };
                round.record_reply(from, records);
                self.decide_query(now, call, view)
            }
            ReplicaMessage::StoreIntent(_)
            | ReplicaMessage::Query { .. }
            | ReplicaMessage::CallEnded { .. } => vec![],
        }
    }

    pub(crate) fn tick(&mut self, now: Timestamp, view: &View) -> Vec<Action> {
        let mut actions = self.tick_intents(now);
        actions.extend(self.tick_queries(now, view));
        actions
    }

    fn tick_intents(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        for (call, owned) in &mut self.calls {
            let Some(round) = &mut owned.intent_round else { continue };
            if round.has_expired(now) {
                owned.intent_round = None;
                actions.push(Action::NotReplicated(*call));
            } else {
                actions.extend(round.requests_due(now));
            }
        }
        actions
    }

    fn tick_queries(&mut self, now: Timestamp, view: &View) -> Vec<Action> {
        let mut to_resend = Vec::new();
        let mut to_restart = Vec::new();
        let mut to_fail = Vec::new();
        for (call, owned) in &mut self.calls {
            let Some(round) = &mut owned.query_round else { continue };
            if now >= owned.query_deadline {
                to_fail.push(*call);
            } else if round.is_retry_due(now) {
                to_restart.push(*call);
            } else if round.take_resend_due(now) {
                to_resend.push(*call);
            }
        }
        let mut actions = Vec::new();
        for call in to_resend {
            actions.extend(self.query_requests(call, view));
        }
        for call in to_restart {
            actions.extend(self.start_query(now, call, view));
        }
        for call in to_fail {
            actions.extend(self.fail(call, view));
        }
        actions
    }

    fn record_id(&self, call_number: u64) -> RecordId {
        RecordId { owner: self.me.clone(), incarnation: self.incarnation, call_number }
    }

    fn call_of(&self, id: &RecordId) -> Option<u64> {
        let is_of_this_process = id.owner == self.me && id.incarnation == self.incarnation;
        if !is_of_this_process {
            return None;
        }
        self.call_by_number.get(&id.call_number).copied()
    }

    fn entry(&mut self, call: u64, work: WorkId, now: Timestamp) -> &mut OwnedCall {
        self.calls.entry(call).or_insert_with(|| {
            self.last_call_number += 1;
            self.call_by_number.insert(self.last_call_number, call);
            OwnedCall {
                call_number: self.last_call_number,
                work,
                is_repeat: false,
                supersedes: Vec::new(),
                prior: None,
                query_deadline: now,
                sequence: 0,
                intent_round: None,
                query_round: None,
                has_sent_intent: false,
            }
        })
    }

    fn intent_of(&self, now: Timestamp, call: u64, attempt: &Attempt, view: &View) -> Option<Intent> {
        let owned = self.calls.get(&call)?;
        let first = match owned.prior.or(attempt.prior) {
            Some(prior) => FirstAttempt { host: prior.host, age_ms: now.ms_since(prior.sent_at) },
            None => FirstAttempt { host: attempt.host, age_ms: 0 },
        };
        Some(Intent {
            id: self.record_id(owned.call_number),
            work: attempt.work,
            term: view.term_of(&self.me),
            version: view.version,
            is_repeat: owned.is_repeat,
            supersedes: owned.supersedes.clone(),
            first,
            sequence: owned.sequence,
            remaining_ms: attempt.remaining_ms,
        })
    }

    fn start_query(&mut self, now: Timestamp, call: u64, view: &View) -> Vec<Action> {
        let Some(owned) = self.calls.get_mut(&call) else { return vec![] };
        owned.sequence += 1;
        let replicas = view.replicas(owned.work);
        if replicas.is_empty() {
            return self.fail(call, view);
        }
        owned.query_round = Some(QueryRound::new(now, owned.sequence, replicas));
        self.query_requests(call, view)
    }

    fn query_requests(&self, call: u64, view: &View) -> Vec<Action> {
        let Some(owned) = self.calls.get(&call) else { return vec![] };
        let Some(round) = &owned.query_round else { return vec![] };
        round.requests(&ReplicaMessage::Query {
            id: self.record_id(owned.call_number),
            sequence: round.sequence(),
            work: owned.work,
            version: view.version,
        })
    }

    /// Tells the replicas of a call's record how the call ended.
    fn end_record(&self, owned: &OwnedCall, outcome: Outcome, view: &View) -> Vec<Action> {
        let message = ReplicaMessage::CallEnded {
            id: self.record_id(owned.call_number),
            work: owned.work,
            sequence: owned.sequence,
            outcome,
        };
        let replicas = view.replicas(owned.work).into_iter();
        replicas.map(|replica| Action::Send(replica, message.clone())).collect()
    }

    fn fail(&mut self, call: u64, view: &View) -> Vec<Action> {
        let mut actions = self.call_ended(call, Outcome::NeverRan, view);
        actions.push(Action::Fail(call));
        actions
    }

    fn decide_intent(&mut self, now: Timestamp, call: u64, view: &View) -> Vec<Action> {
        let Some(owned) = self.calls.get_mut(&call) else { return vec![] };
        let Some(round) = &owned.intent_round else { return vec![] };
        let has_prior = round.has_prior();
        let decision = round.decision(now);
        if decision != IntentDecision::Pending {
            owned.intent_round = None;
        }
        match decision {
            IntentDecision::Pending => vec![],
            IntentDecision::Replicated => vec![Action::Proceed(call)],
            IntentDecision::NotReplicated => vec![Action::NotReplicated(call)],
            // The record has to stay, as an earlier attempt of this call may have run.
            IntentDecision::Conflict if has_prior => vec![Action::NotReplicated(call)],
            IntentDecision::Conflict => self.withdraw(call, view),
        }
    }

    /// Withdraws the intent where it was stored; otherwise two conflicting calls would block each other for
    /// good.
    fn withdraw(&self, call: u64, view: &View) -> Vec<Action> {
        let Some(owned) = self.calls.get(&call) else { return vec![] };
        let mut actions = self.end_record(owned, Outcome::NeverRan, view);
        actions.push(Action::InFlightElsewhere(call));
        actions
    }

    fn decide_query(&mut self, now: Timestamp, call: u64, view: &View) -> Vec<Action> {
        let Some(owned) = self.calls.get_mut(&call) else { return vec![] };
        let Some(round) = &mut owned.query_round else { return vec![] };
        match round.decision(now, view) {
            QueryDecision::Pending => vec![],
            QueryDecision::Unknown => self.fail(call, view),
            QueryDecision::InFlight => {
                let wait_ms = QUERY_RETRY_MS + self.random.generate_range(0..QUERY_RETRY_MS);
                round.schedule_retry(now.plus_ms(wait_ms));
                vec![]
            }
            QueryDecision::Over(history) => {
                owned.supersedes = history.records;
                owned.prior = history.first;
                owned.query_round = None;
                vec![Action::Admit(call, history.first)]
            }
        }
    }
}
