//! What replicated work means for a single call: its intent is stored before an attempt goes, and what has
//! been before a repeat is looked up first.

use glendeck::domain::{AttemptOutcome, CallId, HostId, Idempotency, Span, Time};
use glendeck_takeover::{Action, Attempt, Outcome, PriorAttempt, WorkId};
use tracing::{debug, warn};

use crate::call::{self, InFlightCall};
use crate::hash::hash_bytes;
use crate::metrics;
use crate::protocol::{Answer, OpenRequest};
use crate::service::Service;

/// An attempt that has less left than this when its intent is stored is not sent: it would hardly be
/// answered.
const MIN_TIME_LEFT: Span = Span::ms(20);

/// A call's part in replicated work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicatedCall {
    /// The work, under the id that it has at every node.
    pub work_id: WorkId,
    /// What has been before the call is being looked up: the decisions do not know of the call yet.
    pub awaits_lookup: bool,
    /// The call's first attempt that may have run here.
    pub ran: Option<(HostId, Time)>,
}

impl InFlightCall {
    /// Whether what has been before the call is being looked up.
    pub(crate) fn awaits_lookup(&self) -> bool {
        self.replicated.is_some_and(|kept| kept.awaits_lookup)
    }
}

/// The id of a piece of work, the same at every node.
fn work_id(class: &str, tenant: &str, subject: u64) -> WorkId {
    let parts = [class.as_bytes(), b"\0", tenant.as_bytes(), b"\0", &subject.to_le_bytes()];
    WorkId(hash_bytes(parts.into_iter().flatten().copied()))
}

impl Service {
    /// The work of a call that is to be replicated. None for a call that may run again, or that names no
    /// work.
    pub(crate) fn replicated_work_id(&self, opening: &OpenRequest) -> Option<WorkId> {
        self.membership.as_ref()?.work.as_ref()?;
        let class = usize::from(opening.traffic.0);
        let is_idempotent = self.config.settings.classes.get(class)?.idempotency == Idempotency::Idempotent;
        if is_idempotent || opening.previous_host.is_some() {
            return None;
        }
        let tenant = self.config.names.tenants.get(opening.tenant.0 as usize).map_or("", String::as_str);
        Some(work_id(self.config.names.traffic.get(class)?, tenant, opening.subject?.0))
    }

    /// Whether a call repeats another, as far as can be told: where clients do not mark repeats, any call may
    /// but one whose connection was up.
    pub(crate) fn is_repeat(&self, opening: &OpenRequest) -> bool {
        if self.config.marks_repeats { opening.is_repeat } else { !opening.is_reconnect }
    }

    /// Looks up what has been before a call.
    pub(crate) fn look_up_prior_attempt(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(kept) = &mut in_flight.replicated else { return };
        kept.awaits_lookup = true;
        let work_id = kept.work_id;
        let left_ms = in_flight.call.deadline.since(self.now).0 / 1_000_000;
        if let Some(work) = self.work() {
            work.counts.lookups += 1;
        }
        self.with_takeover(|takeover, now| takeover.call_repeated(now, call.0, work_id, left_ms));
    }

    /// Replicates the intent of the attempt that was just opened. The attempt waits for that; its connection
    /// comes up meanwhile.
    pub(crate) fn replicate_intent_of(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        let (Some(kept), Some(attempt)) = (in_flight.replicated, &in_flight.attempt) else { return };
        let first = in_flight.call.prior_attempt.or(kept.ran);
        let latest =
            self.repeat_window_end(in_flight, first).unwrap_or(attempt.deadline).min(attempt.deadline);
        let attempt = Attempt {
            work: kept.work_id,
            host: attempt.host.0,
            prior: kept
                .ran
                .map(|(host, time)| PriorAttempt { host: host.0, sent_at: self.timestamp_of(time) }),
            remaining_ms: in_flight.call.deadline.since(self.now).0 / 1_000_000,
            send_before: self.timestamp_of(latest - MIN_TIME_LEFT),
        };
        self.with_takeover(|takeover, now| takeover.replicate_intent(now, call.0, attempt));
    }

    /// Until when hosts recognise a repeat of a keyed call, from its first attempt on.
    fn repeat_window_end(&self, in_flight: &InFlightCall, first: Option<(HostId, Time)>) -> Option<Time> {
        let (_, first_sent) = first?;
        let class = self.config.settings.classes.get(usize::from(in_flight.call.class.0))?;
        match class.idempotency {
            Idempotency::Keyed { window, .. } => Some(first_sent + window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// The call is over here, or has its answer.
    pub(crate) fn replicated_call_ended(&mut self, call: CallId, kept: Option<&ReplicatedCall>) {
        let Some(kept) = kept else { return };
        let outcome = if kept.ran.is_some() { Outcome::Answered } else { Outcome::NeverRan };
        self.with_takeover(|takeover, now| takeover.call_ended(now, call.0, outcome));
    }

    pub(super) fn perform_work_action(&mut self, action: Action) {
        match action {
            Action::Send(peer, message) => {
                if let Some(work) = self.work() {
                    work.messages.entry(peer).or_default().push(message);
                }
            }
            Action::Proceed(call) => self.send_replicated_attempt(CallId(call)),
            Action::NotReplicated(call) => self.cancel_unreplicated_attempt(CallId(call)),
            Action::InFlightElsewhere(call) => self.wait_for_other_node(CallId(call)),
            Action::Admit(call, prior_attempt) => self.admit_repeat(CallId(call), prior_attempt),
            Action::Fail(call) => {
                debug!(call_id = call, "nobody knows whether this call has run before: it fails");
                if let Some(work) = self.work() {
                    work.counts.repeats_failed += 1;
                }
                self.answer_call(CallId(call), Answer::Error);
            }
        }
    }

    fn send_replicated_attempt(&mut self, call: CallId) {
        let attempt = self.calls.get_mut(call.0).and_then(|in_flight| in_flight.attempt.as_mut());
        let Some(attempt) = attempt else { return };
        attempt.may_send = true;
        let connection = attempt.connection;
        if let Some(work) = self.work() {
            work.counts.intents_replicated += 1;
        }
        self.attempt_connected(connection);
    }

    /// The attempt does not go, as no replica has stored its intent, and the call has its answer at once.
    fn cancel_unreplicated_attempt(&mut self, call: CallId) {
        // The attempt may have ended meanwhile, and then the decisions go on with the call.
        let waits = |attempt: &call::Attempt| !attempt.may_send;
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if !in_flight.attempt.as_ref().is_some_and(waits) {
            return;
        }
        warn!(call_id = call.0, "the intent of an attempt was not replicated: the attempt does not go");
        let may_have_run = in_flight.call.prior_attempt.is_some()
            || in_flight.replicated.is_some_and(|kept| kept.ran.is_some());
        let (answer, outcome) = if may_have_run {
            (Answer::Error, metrics::Outcome::Failure)
        } else {
            (Answer::Busy(None), metrics::Outcome::Busy)
        };
        in_flight.outcome = Some(outcome);
        let client = in_flight.client.take();
        if let Some(work) = self.work() {
            work.counts.intents_unreplicated += 1;
        }
        if let Some(client) = client {
            self.answer_client(client, answer);
        }
        self.end_attempt(call, AttemptOutcome::NeverSent, None);
        self.deliver_reports();
    }

    /// The same work is in flight at another node: the decisions forget the call until it is known what came
    /// of that.
    fn wait_for_other_node(&mut self, call: CallId) {
        if let Some(work) = self.work() {
            work.counts.in_flight_elsewhere += 1;
        }
        let attempt = self.calls.get_mut(call.0).and_then(|in_flight| in_flight.attempt.take());
        let Some(attempt) = attempt else { return };
        self.attempts_out -= 1;
        self.close_connection(attempt.connection);
        let now = self.now;
        self.with_node(|node, port| {
            node.attempt_ended(now, call, attempt.number, AttemptOutcome::NeverSent, true, port);
        });
        if let Some(in_flight) = self.calls.get_mut(call.0) {
            in_flight.attempt_count = 0;
        }
        self.look_up_prior_attempt(call);
    }

    /// What has been before the call is known now: the decisions place it.
    fn admit_repeat(&mut self, call: CallId, prior_attempt: Option<PriorAttempt>) {
        let began = self.membership.as_ref().map_or(self.now, |membership| membership.time_origin);
        let before = prior_attempt.map(|attempt| (HostId(attempt.host), began + Span(attempt.sent_at.0)));
        if before.is_some()
            && let Some(work) = self.work()
        {
            work.counts.records_found += 1;
        }
        // A host that is not in the list is in no zone or cell that could be compared.
        if before.is_some_and(|(host, _)| self.hosts.address(host).is_none()) {
            return self.answer_call(call, Answer::Error);
        }
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(kept) = &mut in_flight.replicated {
            kept.awaits_lookup = false;
        }
        in_flight.call.prior_attempt = before;
        debug!(call_id = call.0, host_id = ?before.map(|(host, _)| host.0), "placing a call that was looked up");
        let now = self.now;
        let call = in_flight.call;
        self.with_node(|node, port| node.call_arrived(now, call, port));
    }
}
