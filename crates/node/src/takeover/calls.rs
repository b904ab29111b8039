//! Replicated work of a single call: its intent is stored before an attempt is sent, and earlier attempts of
//! a repeat are looked up before it is placed.

use glendeck::domain::{AttemptOutcome, CallId, HostId, Idempotency, Span, Time};
use glendeck_takeover::{Action, Attempt, Outcome, PriorAttempt, WorkId};
use tracing::{debug, warn};

use crate::call::{self, InFlightCall};
use crate::hash::hash_bytes;
use crate::metrics;
use crate::protocol::{Answer, OpenRequest};
use crate::service::Service;

/// Minimum time left for an attempt once its intent is stored. With less, it is not sent, as a reply in time
/// is unlikely.
const MIN_TIME_LEFT: Span = Span::ms(20);

/// State of a call whose work is replicated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicatedCall {
    /// Id of the work, the same at every node.
    pub work_id: WorkId,
    /// Earlier attempts are being looked up; the call has not been passed to the decision logic yet.
    pub awaits_lookup: bool,
    /// Host and start time of this node's first attempt of the call that may have run.
    pub ran: Option<(HostId, Time)>,
}

impl InFlightCall {
    /// Whether earlier attempts of the call's work are being looked up.
    pub(crate) fn awaits_lookup(&self) -> bool {
        self.replicated.is_some_and(|replicated| replicated.awaits_lookup)
    }
}

/// The id of a piece of work, the same at every node.
fn work_id(class: &str, tenant: &str, subject: u64) -> WorkId {
    let parts = [class.as_bytes(), b"\0", tenant.as_bytes(), b"\0", &subject.to_le_bytes()];
    WorkId(hash_bytes(parts.into_iter().flatten().copied()))
}

impl Service {
    /// Id of the work of a call that is to be replicated. `None` for a call that is idempotent, names no
    /// work, or was open at a host before this node started.
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

    /// Whether a call may be a repeat. If clients do not mark repeats, any call may be one, except a
    /// reconnect of a call that was established.
    pub(crate) fn is_repeat(&self, opening: &OpenRequest) -> bool {
        if self.config.marks_repeats { opening.is_repeat } else { !opening.is_reconnect }
    }

    /// Looks up earlier attempts of a call's work.
    pub(crate) fn look_up_prior_attempt(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(replicated) = &mut in_flight.replicated else { return };
        replicated.awaits_lookup = true;
        let work_id = replicated.work_id;
        let left_ms = in_flight.call.deadline.since(self.now).0 / 1_000_000;
        if let Some(work) = self.work() {
            work.counts.lookups += 1;
        }
        self.with_takeover(|takeover, now| takeover.call_repeated(now, call.0, work_id, left_ms));
    }

    /// Replicates the intent of the attempt that was just opened. The attempt is sent only after that; its
    /// connection is established meanwhile.
    pub(crate) fn replicate_intent_of(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        let (Some(replicated), Some(attempt)) = (in_flight.replicated, &in_flight.attempt) else { return };
        let first = in_flight.call.prior_attempt.or(replicated.ran);
        let send_before_limit =
            self.repeat_window_end(in_flight, first).unwrap_or(attempt.deadline).min(attempt.deadline);
        let attempt = Attempt {
            work: replicated.work_id,
            host: attempt.host.0,
            prior: replicated
                .ran
                .map(|(host, time)| PriorAttempt { host: host.0, sent_at: self.timestamp_of(time) }),
            remaining_ms: in_flight.call.deadline.since(self.now).0 / 1_000_000,
            send_before: self.timestamp_of(send_before_limit - MIN_TIME_LEFT),
        };
        self.with_takeover(|takeover, now| takeover.replicate_intent(now, call.0, attempt));
    }

    /// End of the window after the first attempt in which hosts recognise a repeat of a keyed call.
    fn repeat_window_end(&self, in_flight: &InFlightCall, first: Option<(HostId, Time)>) -> Option<Time> {
        let (_, first_sent) = first?;
        let class = self.config.settings.classes.get(usize::from(in_flight.call.class.0))?;
        match class.idempotency {
            Idempotency::Keyed { window, .. } => Some(first_sent + window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Reports that a call has ended in this process, or has its answer. Every way out of a call ends here,
    /// and the outcome comes from what was sent: of earlier attempts, and of one that is still out.
    pub(crate) fn end_replicated_call(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        let Some(replicated) = in_flight.replicated else { return };
        let has_run = replicated.ran.is_some() || in_flight.stage.is_established();
        let may_have_run = has_run || self.may_be_running(in_flight);
        let outcome = if may_have_run { Outcome::Answered } else { Outcome::NeverRan };
        if let Some(in_flight) = self.calls.get_mut(call.0) {
            in_flight.replicated = None;
        }
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
                debug!(call_id = call, "failing a call: it cannot be told whether it has run before");
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

    /// Cancels an attempt whose intent was not replicated, and answers the call at once.
    fn cancel_unreplicated_attempt(&mut self, call: CallId) {
        // If the attempt has ended meanwhile, the decision logic continues with the call.
        let is_unsent = |attempt: &call::Attempt| !attempt.may_send;
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if !in_flight.attempt.as_ref().is_some_and(is_unsent) {
            return;
        }
        warn!(call_id = call.0, "the intent of an attempt was not replicated, not sending the attempt");
        let may_have_run = in_flight.call.prior_attempt.is_some()
            || in_flight.replicated.is_some_and(|replicated| replicated.ran.is_some());
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

    /// Cancels an attempt whose work is in flight at another node. The decision logic drops the call until
    /// the outcome of that work is known.
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

    /// Passes a call whose earlier attempts have been looked up to the decision logic, which places it.
    fn admit_repeat(&mut self, call: CallId, prior_attempt: Option<PriorAttempt>) {
        let time_origin = self.membership.as_ref().map_or(self.now, |membership| membership.time_origin);
        let prior =
            prior_attempt.map(|attempt| (HostId(attempt.host), time_origin + Span(attempt.sent_at.0)));
        if prior.is_some()
            && let Some(work) = self.work()
        {
            work.counts.records_found += 1;
        }
        // The zone and cell of a host that is not in the list are unknown. Whether another host may repeat
        // the work cannot be checked without them, so the call fails.
        if prior.is_some_and(|(host, _)| self.hosts.address(host).is_none()) {
            return self.answer_call(call, Answer::Error);
        }
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(replicated) = &mut in_flight.replicated {
            replicated.awaits_lookup = false;
        }
        in_flight.call.prior_attempt = prior;
        debug!(call_id = call.0, host_id = ?prior.map(|(host, _)| host.0), "placing a call after its lookup");
        let now = self.now;
        let call = in_flight.call;
        self.with_node(|node, port| node.call_arrived(now, call, port));
    }
}
