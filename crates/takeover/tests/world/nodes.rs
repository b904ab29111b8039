//! Nodes: they place calls, carry out what their takeover says, and send each other messages.

use glendeck_takeover::{Action, Attempt, Outcome, PriorAttempt, ReplicaMessage, WorkId};

use super::day::Link;
use super::{
    ATTEMPT_TIMEOUT_MS, ClientAnswer, Event, HOSTS, Idempotency, InFlightCall, KEY_WINDOW_MS, Node, World,
};

impl World {
    pub(super) fn answer(&mut self, at: usize, call: u64, answer: ClientAnswer) {
        let Some((work, time)) = self.nodes[at].calls.get(&call).map(|held| (held.work, held.time)) else {
            return;
        };
        let ms = 1 + self.roll(3);
        self.schedule(ms, Event::ClientAnswered(work, time, Some(answer)));
        self.end(at, call);
    }

    pub(super) fn end(&mut self, at: usize, call: u64) {
        let Some(held) = self.nodes[at].calls.remove(&call) else { return };
        let ran = held.ran.is_some() || matches!(held.out, Some((_, true)));
        let outcome = if ran { Outcome::Answered } else { Outcome::NeverRan };
        let timestamp = self.timestamp(at);
        if let Some(takeover) = &mut self.nodes[at].takeover {
            takeover.call_ended(timestamp, call, outcome);
        }
        self.carry_out(at);
    }

    /// Where the call goes, by its effect and what has been before it.
    pub(super) fn place(&mut self, at: usize, call: u64) {
        let Some(held) = self.nodes[at].calls.get(&call) else { return };
        let (work, deadline_at, attempts) = (held.work, held.deadline_at, held.attempts);
        let first = held.before.or(held.ran);
        let (own_ran, idempotency) = (held.ran, self.works[work].idempotency);
        let assured = if first.is_none() { ClientAnswer::Rejected } else { ClientAnswer::Failed };
        // A thirtieth is kept back: two clocks have part in it, and each may be slow by a 65th.
        let recalled = |first: PriorAttempt| self.timestamp(at).ms_since(first.sent_at) + 100 < KEY_WINDOW_MS;
        let may = match (idempotency, first) {
            (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed, Some(first)) => recalled(first),
        };
        if !may || attempts >= 3 || self.now + 60 >= deadline_at {
            return self.answer(at, call, assured);
        }
        let cell = first.map(|first| first.host % 2);
        let drawn = self.roll(HOSTS / 2) * 2;
        let host = drawn + cell.unwrap_or(self.now % 2);
        let until = self.then(at, deadline_at - 60);
        let latest = first.map_or(until, |first| until.min(first.sent_at.plus_ms(KEY_WINDOW_MS - 100)));
        let attempt = Attempt {
            work: WorkId(work as u64),
            host,
            prior: own_ran,
            remaining_ms: deadline_at - self.now,
            send_before: latest,
        };
        let timestamp = self.timestamp(at);
        if let Some(held) = self.nodes[at].calls.get_mut(&call) {
            held.out = Some((host, false));
        }
        if let Some(takeover) = &mut self.nodes[at].takeover {
            takeover.replicate_intent(timestamp, call, attempt);
        }
        self.carry_out(at);
    }

    pub(super) fn carry_out(&mut self, at: usize) {
        let Some(takeover) = &mut self.nodes[at].takeover else { return };
        for action in takeover.take_actions() {
            match action {
                Action::Send(to, message) => self.send(at, to.0[1..].parse().unwrap(), message),
                Action::Proceed(call) => self.send_attempt(at, call),
                Action::NotReplicated(call) => {
                    let none = self.nodes[at].calls.get_mut(&call).is_some_and(|held| {
                        held.out = None;
                        held.before.is_none() && held.ran.is_none()
                    });
                    self.answer(at, call, if none { ClientAnswer::Rejected } else { ClientAnswer::Failed });
                }
                Action::InFlightElsewhere(call) => {
                    self.totals.raced += 1;
                    let Some(held) = self.nodes[at].calls.get_mut(&call) else { continue };
                    held.out = None;
                    let (work, left) = (held.work, held.deadline_at.saturating_sub(self.now));
                    let timestamp = self.timestamp(at);
                    if let Some(takeover) = &mut self.nodes[at].takeover {
                        takeover.call_repeated(timestamp, call, WorkId(work as u64), left);
                    }
                    self.carry_out(at);
                }
                Action::Admit(call, before) => {
                    self.totals.over += u64::from(before.is_some());
                    let Some(held) = self.nodes[at].calls.get_mut(&call) else { continue };
                    held.before = before;
                    self.place(at, call);
                }
                Action::Fail(call) => self.answer(at, call, ClientAnswer::Failed),
            }
        }
    }

    pub(super) fn send_attempt(&mut self, at: usize, call: u64) {
        let (incarnation, lost) = (self.nodes[at].incarnation, self.nodes[at].lost);
        let Some(held) = self.nodes[at].calls.get_mut(&call) else { return };
        let Some((host, false)) = held.out else { return };
        held.out = Some((host, true));
        held.attempts += 1;
        let (work, attempt, limit) =
            (held.work, held.attempts, ATTEMPT_TIMEOUT_MS.min(held.deadline_at.saturating_sub(self.now)));
        self.totals.placed_again += u64::from(held.before.is_some());
        self.log(|| format!("n{at} sends w{work} to h{host}"));
        let others = |(other, node): (usize, &Node)| {
            let out = |held: &InFlightCall| held.work == work && matches!(held.out, Some((_, true)));
            other != at
                && node.takeover.is_some()
                && !node.stopped
                && !node.lost
                && node.calls.values().any(out)
        };
        if !lost && self.nodes.iter().enumerate().any(others) {
            self.report_violation(format!("w{work} has a second attempt out, from n{at}"));
        }
        let ms = 1 + self.roll(20);
        self.schedule(ms, Event::AttemptArrives(at, incarnation, call, attempt, host));
        self.schedule(limit, Event::AttemptDeadline(at, incarnation, call, attempt));
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: ReplicaMessage) {
        self.log(|| format!("n{from} -> n{to}: {message:?}"));
        let [lost, twice] = self.day.noise;
        let ms = match self.link(from, to) {
            Link::Cut => return,
            Link::Slow => 80 + self.roll(400),
            Link::Up => 1 + self.roll(5),
        };
        let incarnation = self.nodes[to].incarnation;
        let (damaged, sums) = self.damaged;
        let message = match damaged > 0 && self.roll(100) < damaged {
            true if sums => return,
            true => match self.flip_bit(&message) {
                Some(message) => message,
                None => return,
            },
            false => message,
        };
        if self.roll(100) < twice {
            let later = ms + self.roll(1_500);
            self.schedule(later, Event::MessageArrives(to, incarnation, from, message.clone()));
        }
        if self.roll(100) >= lost {
            self.schedule(ms, Event::MessageArrives(to, incarnation, from, message));
        }
    }

    /// One bit of it, if it can still be read.
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
