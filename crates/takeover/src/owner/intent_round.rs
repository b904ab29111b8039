//! The replication of one intent: the replicas that were asked, and their verdicts.

use std::collections::BTreeMap;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::action::Action;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{Intent, IntentVerdict, ReplicaMessage};
use crate::timing::{RESEND_MS, SEND_WINDOW_MS};

use super::quorum::majority;

/// What the replies so far mean for the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IntentDecision {
    /// Replies that may change the result are outstanding.
    Pending,
    /// A majority has stored the intent in time.
    Replicated,
    /// A majority can no longer store the intent, or has stored it too late; no replica reported a conflict.
    NotReplicated,
    /// As [`IntentDecision::NotReplicated`], but a replica reported [`IntentVerdict::Conflict`].
    Conflict,
}

/// An intent that waits for the verdicts of its replicas.
#[derive(Clone, Debug)]
pub(super) struct IntentRound {
    started_at: Timestamp,
    sent_at: Timestamp,
    send_before: Timestamp,
    /// Whether an earlier attempt of the call may have run.
    has_prior: bool,
    intent: Intent,
    replicas: Vec<UnitName>,
    verdicts: BTreeMap<UnitName, IntentVerdict>,
}

impl IntentRound {
    pub(super) fn new(
        now: Timestamp,
        intent: Intent,
        replicas: Vec<UnitName>,
        send_before: Timestamp,
        has_prior: bool,
    ) -> IntentRound {
        IntentRound {
            started_at: now,
            sent_at: now,
            send_before,
            has_prior,
            intent,
            replicas,
            verdicts: BTreeMap::new(),
        }
    }

    pub(super) fn sequence(&self) -> u32 {
        self.intent.sequence
    }

    pub(super) fn has_prior(&self) -> bool {
        self.has_prior
    }

    /// The requests to store the intent, one for each replica that has not replied.
    pub(super) fn requests(&self) -> Vec<Action> {
        let unanswered = self.replicas.iter().filter(|replica| !self.verdicts.contains_key(*replica));
        let request = ReplicaMessage::StoreIntent(self.intent.clone());
        unanswered.map(|replica| Action::Send(replica.clone(), request.clone())).collect()
    }

    /// As [`IntentRound::requests`], but empty before the resend interval has passed.
    pub(super) fn requests_due(&mut self, now: Timestamp) -> Vec<Action> {
        if now.ms_since(self.sent_at) < RESEND_MS {
            return vec![];
        }
        self.sent_at = now;
        self.requests()
    }

    pub(super) fn record_verdict(&mut self, from: &UnitName, verdict: IntentVerdict) {
        if self.replicas.contains(from) {
            self.verdicts.insert(from.clone(), verdict);
        }
    }

    /// Whether it is too late to send the attempt even if the intent were replicated right away.
    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        let is_late = now.ms_since(self.started_at) > SEND_WINDOW_MS || now >= self.send_before;
        is_late && !is_injected(InjectedFault::SendAfterWindow)
    }

    pub(super) fn decision(&self, now: Timestamp) -> IntentDecision {
        let needed = majority(&self.replicas);
        let conflicts = self.count(IntentVerdict::Conflict);
        let refusals = conflicts + self.count(IntentVerdict::Unavailable);
        let is_replicated = self.count(IntentVerdict::Accepted) >= needed;
        if is_replicated && self.may_send(now) {
            return IntentDecision::Replicated;
        }
        let is_majority_impossible = self.replicas.len() - refusals < needed;
        match (is_replicated || is_majority_impossible, conflicts) {
            (false, _) => IntentDecision::Pending,
            (true, 0) => IntentDecision::NotReplicated,
            (true, _) => IntentDecision::Conflict,
        }
    }

    fn may_send(&self, now: Timestamp) -> bool {
        let is_in_time = now.ms_since(self.started_at) <= SEND_WINDOW_MS && now <= self.send_before;
        is_in_time || is_injected(InjectedFault::SendAfterWindow)
    }

    fn count(&self, verdict: IntentVerdict) -> usize {
        self.verdicts.values().filter(|given| **given == verdict).count()
    }
}
