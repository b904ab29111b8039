//! Work in hand that outlives its node: what is kept before an attempt goes, and what a call that comes again meets first.
//! What may be done is decided in `glendeck_takeover`; docs/takeover.md says what is promised.

use std::collections::BTreeMap;
use std::io::Write as _;

use glendeck::domain::{AttemptOutcome, CallId, HostId, Idempotency, Span, Time};
use glendeck_fleet::Timestamp;
use glendeck_fleet::message::VoterStatus;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{
    Action, Attempt, Outcome, PriorAttempt, ReplicaHandover, ReplicaMessage, Takeover, View, WorkId,
};
use serde::Serialize;
use tracing::{debug, info, warn};

use crate::call::InFlightCall;
use crate::hash::hash_bytes;
use crate::peers::{Frame, seal, unseal};
use crate::protocol::{Answer, OpenRequest};
use crate::service::Service;

/// In the node's folder, beside the store: what the process before kept.
const LEFT: &str = "work";

/// An attempt that has less left than this when its intent is kept is not sent: it would hardly be answered.
const LEAST: Span = Span::ms(20);

/// What others keep of a call.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    pub work: WorkId,
    /// What has been before it is looked up first: the decisions do not know of it yet.
    pub looks: bool,
    /// Its first attempt that may have run here.
    pub ran: Option<(HostId, Time)>,
}

impl InFlightCall {
    pub fn looks(&self) -> bool {
        self.kept.is_some_and(|kept| kept.looks)
    }
}

/// This node's part in keeping work.
pub struct Work {
    takeover: Takeover,
    /// What is to be said to each peer at the end of this turn.
    messages: BTreeMap<UnitName, Vec<ReplicaMessage>>,
    /// Came while the decisions were at it: done at the end of this turn.
    pending: Vec<Action>,
    /// What the process before has left, until this node sits.
    inherits: Option<ReplicaHandover>,
    /// How far the log was when it was last taken in.
    applied: u64,
    hears: bool,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    kept: u64,
    unkept: u64,
    looked: u64,
    taken_over: u64,
    given_up: u64,
    raced: u64,
}

impl Work {
    pub fn new(
        start: Timestamp,
        me: UnitName,
        incarnation: Incarnation,
        recall_ms: u64,
        longest_ms: u64,
    ) -> Work {
        Work {
            takeover: Takeover::new(start, me, incarnation, incarnation.0 ^ 0x7a6b, recall_ms, longest_ms),
            messages: BTreeMap::new(),
            pending: Vec::new(),
            inherits: None,
            applied: u64::MAX,
            hears: false,
            counts: Counts::default(),
        }
    }

    pub fn view(&self) -> &View {
        self.takeover.view()
    }

    /// The metrics of replicated work.
    pub fn metrics(&self, now: Timestamp) -> WorkMetrics {
        WorkMetrics {
            records_held: self.takeover.replica().record_count(),
            in_hand: self.takeover.owner().call_count(),
            keeps: self.hears,
            remembers: self.takeover.replica().has_full_history(now),
            intents_kept: self.counts.kept,
            intents_not_kept: self.counts.unkept,
            repeats_looked_up: self.counts.looked,
            repeats_after_a_record: self.counts.taken_over,
            repeats_given_up: self.counts.given_up,
            met_elsewhere: self.counts.raced,
        }
    }
}

/// Metrics of replicated work, under the names that the admin interface shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkMetrics {
    /// Records that this node stores for others' calls.
    pub records_held: usize,
    /// This node's calls that others store intents of.
    pub in_hand: usize,
    /// Whether this node stores intents for others now.
    pub keeps: bool,
    /// Whether this node answers for what has been before a repeat.
    pub remembers: bool,
    /// Attempts that went after their intent was replicated.
    pub intents_kept: u64,
    /// Attempts that did not go, as their intent was not replicated.
    pub intents_not_kept: u64,
    /// Repeats that were looked up.
    pub repeats_looked_up: u64,
    /// Repeats of which a record was found.
    pub repeats_after_a_record: u64,
    /// Repeats that failed, as nobody could say what had been before them.
    pub repeats_given_up: u64,
    /// Calls whose work turned out to be in flight at another node.
    pub met_elsewhere: u64,
}

/// As the file holds it, from which process by the store's count.
///
/// Danger: a disk that turns a bit over makes a record another work's, and this replica would forget one that it swears by.
fn write_left(left: &(u64, ReplicaHandover)) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(left)?;
    seal(&mut bytes);
    Ok(bytes)
}

fn read_left(bytes: &[u8]) -> Option<(u64, ReplicaHandover)> {
    postcard::from_bytes(unseal(bytes)?).ok()
}

/// What names the same work at every node.
fn name(traffic: &str, tenant: &str, subject: u64) -> WorkId {
    let parts = [traffic.as_bytes(), b"\0", tenant.as_bytes(), b"\0", &subject.to_le_bytes()];
    WorkId(hash_bytes(parts.into_iter().flatten().copied()))
}

impl Service {
    fn work(&mut self) -> Option<&mut Work> {
        self.membership.as_mut()?.work.as_mut()
    }

    /// What others are to keep of a call, if they are: not of what may run again, nor of what names nothing.
    pub fn work_of(&self, opening: &OpenRequest) -> Option<WorkId> {
        self.membership.as_ref()?.work.as_ref()?;
        let traffic = usize::from(opening.traffic.0);
        let lasting = self.config.settings.classes.get(traffic)?.idempotency != Idempotency::Idempotent;
        if !lasting || opening.previous_host.is_some() {
            return None;
        }
        let tenant = self.config.names.tenants.get(opening.tenant.0 as usize).map_or("", String::as_str);
        Some(name(self.config.names.traffic.get(traffic)?, tenant, opening.subject?.0))
    }

    /// A repeat, as far as can be told: where clients do not mark theirs, any call but one whose connection was up.
    pub fn is_repeat(&self, opening: &OpenRequest) -> bool {
        if self.config.marks_repeats { opening.is_repeat } else { !opening.is_reconnect }
    }

    fn tell_work(&mut self, what: impl FnOnce(&mut Takeover, Timestamp)) {
        let now = self.timestamp();
        let Some(work) = self.work() else { return };
        what(&mut work.takeover, now);
        let actions = work.takeover.take_actions();
        if self.is_deciding() {
            // Danger: what is told to decisions that are out of their place is lost.
            return self.work().map_or((), |work| work.pending.extend(actions));
        }
        actions.into_iter().for_each(|action| self.do_for_work(action));
    }

    pub fn peer_keeps(&mut self, peer: &UnitName, messages: Vec<ReplicaMessage>) {
        for message in messages {
            self.tell_work(|takeover, now| takeover.message_received(now, peer, message));
        }
    }

    /// Takes in what the group has agreed on since, and lets time pass.
    pub fn work_tick(&mut self) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let Some(work) = &mut membership.work else { return };
        let (state, hears) = (membership.fleet.state(), membership.fleet.hears_leader());
        match membership.fleet.voter_status() {
            VoterStatus::Active(_) => {
                if let Some(left) = work.inherits.take() {
                    work.takeover.restore(now, left);
                    info!(
                        records = work.takeover.replica().record_count(),
                        "takes over what the process before kept for others"
                    );
                }
            }
            VoterStatus::StateLost => work.inherits = None,
            _ => {}
        }
        if state.applied != work.applied || hears != work.hears {
            if hears != work.hears {
                info!(hears, "keeps work for others while it hears the group");
            }
            (work.applied, work.hears) = (state.applied, hears);
            let voter_slots = state.voter_slots.iter().map(|voter_slot| voter_slot.name.clone()).collect();
            let terms = state.units.iter().map(|(name, unit)| (name.clone(), unit.term)).collect();
            let version = state.voter_slots_changed;
            work.takeover.membership_changed(now, View { voter_slots, version, hears_leader: hears, terms });
        }
        self.tell_work(Takeover::tick);
    }

    /// All that this turn has said goes now, in one frame a peer.
    pub fn send_words(&mut self) {
        while let Some(actions) = self.work().map(|work| std::mem::take(&mut work.pending)) {
            if actions.is_empty() {
                break;
            }
            actions.into_iter().for_each(|action| self.do_for_work(action));
        }
        let Some(work) = self.work() else { return };
        for (peer, messages) in std::mem::take(&mut work.messages) {
            self.send_peer(&peer, &Frame::Words(messages));
        }
    }

    // From one process to the next.

    /// What this process keeps for others goes to the next in its folder: it ends as planned, and nobody waits for it.
    pub fn leave_work(&mut self) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let Some(folder) = &membership.folder else { return };
        let Some(work) = &mut membership.work else { return };
        let left = (membership.fleet.boot_count().0, work.takeover.hand_over(now));
        let (fresh, path) = (folder.join("work.new"), folder.join(LEFT));
        let write = || -> std::io::Result<()> {
            let mut file = std::fs::File::create(&fresh)?;
            file.write_all(&write_left(&left).map_err(std::io::Error::other)?)?;
            file.sync_all()?;
            std::fs::rename(&fresh, &path)
        };
        if let Err(fault) = write() {
            warn!(%fault, "cannot leave what is kept to the next process: it answers for no repeats at first");
        }
    }

    /// Danger: an older copy of it, or one that another process has lived after, knows nothing of what was kept since. It
    /// is of the process just before by the count that the store keeps, is gone once it was read, and counts only when the
    /// others have let this node sit: a whole folder may be an older copy.
    pub fn inherit_work(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let Some(path) = membership.folder.as_ref().map(|folder| folder.join(LEFT)) else { return };
        let Some(work) = &mut membership.work else { return };
        let Ok(bytes) = std::fs::read(&path) else { return };
        if std::fs::remove_file(&path).is_err() {
            return;
        }
        let left = read_left(&bytes);
        if left.is_none() {
            warn!("what the process before kept cannot be read: this one answers for no repeats at first");
        }
        let before = membership.fleet.boot_count().0.checked_sub(1);
        work.inherits = left.filter(|(of, _)| Some(*of) == before).map(|(_, left)| left);
    }

    // A call's own.

    pub fn look_first(&mut self, call: CallId) {
        let Some(held) = self.calls.get_mut(call.0) else { return };
        let Some(kept) = &mut held.kept else { return };
        kept.looks = true;
        let (work, left) = (kept.work, held.call.deadline.since(self.now));
        if let Some(work) = self.work() {
            work.counts.looked += 1;
        }
        self.tell_work(|takeover, now| takeover.call_repeated(now, call.0, work, left.0 / 1_000_000));
    }

    /// The attempt that was just opened waits until its intent is kept; its connection comes up meanwhile.
    pub fn ask_to_keep(&mut self, call: CallId) {
        let Some(held) = self.calls.get(call.0) else { return };
        let (Some(kept), Some(attempt)) = (held.kept, &held.attempt) else { return };
        let traffic =
            self.config.settings.classes.get(usize::from(held.call.class.0)).map(|of| of.idempotency);
        let first = held.call.prior_attempt.or(kept.ran);
        let recalled = match (traffic, first) {
            (Some(Idempotency::Keyed { window, .. }), Some((_, at))) => at + window,
            _ => attempt.deadline,
        };
        let latest =
            (recalled.min(attempt.deadline) - LEAST, held.call.deadline.since(self.now).0 / 1_000_000);
        let host = attempt.host.0;
        let prior = kept.ran.map(|(host, at)| PriorAttempt { host: host.0, sent_at: self.timestamp_of(at) });
        let send_before = self.timestamp_of(latest.0);
        let attempt = Attempt { work: kept.work, host, prior, remaining_ms: latest.1, send_before };
        self.tell_work(|takeover, now| takeover.replicate_intent(now, call.0, attempt));
    }

    /// The call is over here, or has its answer.
    pub fn work_ended(&mut self, call: CallId, kept: Option<&Kept>) {
        let Some(kept) = kept else { return };
        let outcome = if kept.ran.is_some() { Outcome::Answered } else { Outcome::NeverRan };
        self.tell_work(|takeover, now| takeover.call_ended(now, call.0, outcome));
    }

    fn do_for_work(&mut self, action: Action) {
        match action {
            Action::Send(peer, message) => {
                if let Some(work) = self.work() {
                    work.messages.entry(peer).or_default().push(message);
                }
            }
            Action::Proceed(call) => self.may_go(CallId(call)),
            Action::NotReplicated(call) => self.not_kept(CallId(call)),
            Action::InFlightElsewhere(call) => self.in_hand_elsewhere(CallId(call)),
            Action::Admit(call, before) => self.place_again(CallId(call), before),
            Action::Fail(call) => {
                debug!(call, "what has been before it cannot be told");
                if let Some(work) = self.work() {
                    work.counts.given_up += 1;
                }
                self.answer_call(CallId(call), Answer::Error);
            }
        }
    }

    fn may_go(&mut self, call: CallId) {
        let Some(attempt) = self.calls.get_mut(call.0).and_then(|held| held.attempt.as_mut()) else { return };
        attempt.may_send = true;
        let connection = attempt.connection;
        if let Some(work) = self.work() {
            work.counts.kept += 1;
        }
        self.attempt_connected(connection);
    }

    /// Nobody keeps it: it does not go, and the call has its answer at once.
    fn not_kept(&mut self, call: CallId) {
        // Its attempt may have ended meanwhile, and then it is for the decisions to go on.
        let waits = |held: &InFlightCall| held.attempt.as_ref().is_some_and(|attempt| !attempt.may_send);
        if !self.calls.get(call.0).is_some_and(waits) {
            return;
        }
        warn!(call = call.0, "its intent is not kept");
        if let Some(work) = self.work() {
            work.counts.unkept += 1;
        }
        let Some(held) = self.calls.get_mut(call.0) else { return };
        let ran = held.call.prior_attempt.is_some() || held.kept.is_some_and(|kept| kept.ran.is_some());
        let answer = if ran { Answer::Error } else { Answer::Busy(None) };
        let client = held.client.take();
        held.outcome =
            Some(if ran { crate::metrics::Outcome::Failure } else { crate::metrics::Outcome::Busy });
        if let Some(client) = client {
            self.answer_client(client, answer);
        }
        self.end_attempt(call, AttemptOutcome::NeverSent, None);
        self.settle();
    }

    /// The same work is in hand elsewhere: the decisions forget the call until it is known what came of that.
    fn in_hand_elsewhere(&mut self, call: CallId) {
        if let Some(work) = self.work() {
            work.counts.raced += 1;
        }
        let Some(attempt) = self.calls.get_mut(call.0).and_then(|held| held.attempt.take()) else { return };
        self.attempts_out -= 1;
        self.close_connection(attempt.connection);
        let now = self.now;
        self.tell(|node, port| {
            node.attempt_ended(now, call, attempt.number, AttemptOutcome::NeverSent, true, port)
        });
        if let Some(held) = self.calls.get_mut(call.0) {
            held.attempt_count = 0;
        }
        self.look_first(call);
    }

    fn place_again(&mut self, call: CallId, before: Option<PriorAttempt>) {
        let (began, now) = (self.membership.as_ref().map_or(self.now, |of| of.began), self.now);
        let before = before.map(|before| (HostId(before.host), began + Span(before.sent_at.0)));
        if let Some(work) = self.work().filter(|_| before.is_some()) {
            work.counts.taken_over += 1;
        }
        // Danger: what is not in the list is in no zone or cell that could be compared.
        if before.is_some_and(|(host, _)| self.hosts.address(host).is_none()) {
            return self.answer_call(call, Answer::Error);
        }
        let Some(held) = self.calls.get_mut(call.0) else { return };
        if let Some(kept) = &mut held.kept {
            kept.looks = false;
        }
        held.call.prior_attempt = before;
        debug!(call = call.0, before = ?before.map(|(host, _)| host.0), "comes again");
        let call = held.call;
        self.tell(|node, port| node.call_arrived(now, call, port));
    }
}
#[cfg(test)]
mod tests;
