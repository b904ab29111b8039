//! Nodes: they place calls, carry out the actions of their `Takeover`, and send each other messages.

use glendeck_takeover::{Action, Attempt, Outcome, PriorAttempt, ReplicaMessage, WorkId};

use super::scenario::Link;
use super::{
    ATTEMPT_TIMEOUT_MS, ClientAnswer, Event, HOSTS, Idempotency, InFlightCall, KEY_WINDOW_MS, Node, World,
};

impl World {
    pub(super) fn answer(&mut self, index: usize, call: u64, answer: ClientAnswer) {
        let Some((work, repeat)) = self.nodes[index].calls.get(&call).map(|owned| (owned.work, owned.repeat))
        else {
            return;
        };
        let ms = 1 + self.roll(3);
        self.schedule(ms, Event::ClientAnswered(work, repeat, Some(answer)));
        self.end(index, call);
    }

    pub(super) fn end(&mut self, index: usize, call: u64) {
        let Some(owned) = self.nodes[index].calls.remove(&call) else { return };
        let may_have_run = owned.own_prior.is_some() || matches!(owned.current, Some((_, true)));
        let outcome = if may_have_run { Outcome::Answered } else { Outcome::NeverRan };
        let timestamp = self.timestamp(index);
        if let Some(takeover) = &mut self.nodes[index].takeover {
            takeover.call_ended(timestamp, call, outcome);
        }
        self.carry_out(index);
    }

    /// Places the call by its idempotency and its prior attempt, or answers it if no attempt may be sent.
    pub(super) fn place(&mut self, index: usize, call: u64) {
        let Some(owned) = self.nodes[index].calls.get(&call) else { return };
        let (work, deadline_at, attempts) = (owned.work, owned.deadline_at, owned.attempts);
        let first = owned.inherited_prior.or(owned.own_prior);
        let (own_prior_attempt, idempotency) = (owned.own_prior, self.work_items[work].idempotency);
        let answer_unsent = if first.is_none() { ClientAnswer::Rejected } else { ClientAnswer::Failed };
        // The margin of 100 ms is a thirtieth of the window: two clocks are involved, and each may be slow by
        // a 65th.
        let is_recognised =
            |first: PriorAttempt| self.timestamp(index).ms_since(first.sent_at) + 100 < KEY_WINDOW_MS;
        let may_send = match (idempotency, first) {
            (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed, Some(first)) => is_recognised(first),
        };
        if !may_send || attempts >= 3 || self.now + 60 >= deadline_at {
            return self.answer(index, call, answer_unsent);
        }
        let cell = first.map(|first| first.host % 2);
        let drawn_host = self.roll(HOSTS / 2) * 2;
        let host = drawn_host + cell.unwrap_or(self.now % 2);
        let call_limit = self.timestamp_at(index, deadline_at - 60);
        let latest =
            first.map_or(call_limit, |first| call_limit.min(first.sent_at.plus_ms(KEY_WINDOW_MS - 100)));
        let attempt = Attempt {
            work: WorkId(work as u64),
            host,
            prior: own_prior_attempt,
            remaining_ms: deadline_at - self.now,
            send_before: latest,
        };
        let timestamp = self.timestamp(index);
        if let Some(owned) = self.nodes[index].calls.get_mut(&call) {
            owned.current = Some((host, false));
        }
        if let Some(takeover) = &mut self.nodes[index].takeover {
            takeover.replicate_intent(timestamp, call, attempt);
        }
        self.carry_out(index);
    }

    pub(super) fn carry_out(&mut self, index: usize) {
        let Some(takeover) = &mut self.nodes[index].takeover else { return };
        for action in takeover.take_actions() {
            match action {
                Action::Send(to, message) => self.send(index, to.0[1..].parse().unwrap(), message),
                Action::Proceed(call) => self.send_attempt(index, call),
                Action::NotReplicated(call) => {
                    let has_no_prior = self.nodes[index].calls.get_mut(&call).is_some_and(|owned| {
                        owned.current = None;
                        owned.inherited_prior.is_none() && owned.own_prior.is_none()
                    });
                    self.answer(
                        index,
                        call,
                        if has_no_prior { ClientAnswer::Rejected } else { ClientAnswer::Failed },
                    );
                }
                Action::InFlightElsewhere(call) => {
                    self.totals.conflicted += 1;
                    let Some(owned) = self.nodes[index].calls.get_mut(&call) else { continue };
                    owned.current = None;
                    let (work, left_ms) = (owned.work, owned.deadline_at.saturating_sub(self.now));
                    let timestamp = self.timestamp(index);
                    if let Some(takeover) = &mut self.nodes[index].takeover {
                        takeover.call_repeated(timestamp, call, WorkId(work as u64), left_ms);
                    }
                    self.carry_out(index);
                }
                Action::Admit(call, inherited_prior) => {
                    self.totals.admitted_after_record += u64::from(inherited_prior.is_some());
                    let Some(owned) = self.nodes[index].calls.get_mut(&call) else { continue };
                    owned.inherited_prior = inherited_prior;
                    self.place(index, call);
                }
                Action::Fail(call) => self.answer(index, call, ClientAnswer::Failed),
            }
        }
    }

    pub(super) fn send_attempt(&mut self, index: usize, call: u64) {
        let (incarnation, is_declared_lost) =
            (self.nodes[index].incarnation, self.nodes[index].is_declared_lost);
        let Some(owned) = self.nodes[index].calls.get_mut(&call) else { return };
        let Some((host, false)) = owned.current else { return };
        owned.current = Some((host, true));
        owned.attempts += 1;
        let (work, attempt, timeout_ms) =
            (owned.work, owned.attempts, ATTEMPT_TIMEOUT_MS.min(owned.deadline_at.saturating_sub(self.now)));
        self.totals.sent_after_record += u64::from(owned.inherited_prior.is_some());
        self.log(|| format!("n{index} sends w{work} to h{host}"));
        let has_other_attempt = |(other, node): (usize, &Node)| {
            let sent = |owned: &InFlightCall| owned.work == work && matches!(owned.current, Some((_, true)));
            other != index
                && node.takeover.is_some()
                && !node.is_paused
                && !node.is_declared_lost
                && node.calls.values().any(sent)
        };
        if !is_declared_lost && self.nodes.iter().enumerate().any(has_other_attempt) {
            self.report_violation(format!("w{work} has a second attempt in flight, from n{index}"));
        }
        let ms = 1 + self.roll(20);
        self.schedule(ms, Event::AttemptArrives(index, incarnation, call, attempt, host));
        self.schedule(timeout_ms, Event::AttemptDeadline(index, incarnation, call, attempt));
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: ReplicaMessage) {
        self.log(|| format!("n{from} -> n{to}: {message:?}"));
        let [lost_percent, duplicated_percent] = self.scenario.message_faults;
        let ms = match self.link(from, to) {
            Link::Cut => return,
            Link::Slow => 80 + self.roll(400),
            Link::Up => 1 + self.roll(5),
        };
        let incarnation = self.nodes[to].incarnation;
        let (flip_percent, has_checksums) = self.bit_flips;
        let message = match flip_percent > 0 && self.roll(100) < flip_percent {
            true if has_checksums => return,
            true => match self.flip_bit(&message) {
                Some(message) => message,
                None => return,
            },
            false => message,
        };
        if self.roll(100) < duplicated_percent {
            let duplicate_ms = ms + self.roll(1_500);
            self.schedule(duplicate_ms, Event::MessageArrives(to, incarnation, from, message.clone()));
        }
        if self.roll(100) >= lost_percent {
            self.schedule(ms, Event::MessageArrives(to, incarnation, from, message));
        }
    }

    /// The message with one flipped bit, if it can still be decoded.
    pub(super) fn flip_bit(&mut self, message: &ReplicaMessage) -> Option<ReplicaMessage> {
        let mut bytes = postcard::to_stdvec(message).unwrap();
        let bit = self.roll(bytes.len() as u64 * 8) as usize;
        bytes[bit / 8] ^= 1 << (bit % 8);
        match postcard::take_from_bytes(&bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
