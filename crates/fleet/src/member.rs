//! A unit's own part: it asks to begin, goes out, comes back, and counts how its calls ended.

use std::collections::VecDeque;

use crate::charter::Act;
use crate::group::{Action, Facts, Fleet};
use crate::plant::{Plant, planted};
use crate::state::{Cause, Command, Nonce, Permit, Rates, Standing};
use crate::{Moment, state::Course};

/// A unit goes out only so long after it asked to begin. A halt holds everywhere within this after its entry: long
/// enough for two round trips over a crowded link and a slow disk, short enough to be waited for by a person.
pub const BEGIN_COUNTS_MS: u64 = 2_000;

/// It asks anew after this: a leader may have changed meanwhile.
const BEGIN_AGAIN_MS: u64 = 1_000;

/// Without a word from any voter for so long it does not hear the group, and starts nothing.
pub const HEARS_MS: u64 = 3_000;

/// Over this time calls are counted for gates; as long as the shortest watch that says anything.
const RATES_MS: u64 = 10_000;

#[derive(Default)]
pub struct Member {
    count: u64,
    /// What it asked to begin, and when.
    asked: Option<(Permit, Nonce, Moment)>,
    /// Under which permit this process is out.
    pub out: Option<(Permit, Cause)>,
    /// It has said that it leaves, or asked to be taken back, then.
    parted: Option<Moment>,
    /// Totals as they were, the oldest first.
    totals: VecDeque<(Moment, Facts)>,
}

impl Member {
    pub fn note(&mut self, now: Moment, facts: &Facts) {
        if self.totals.back().is_none_or(|(at, _)| now.ms_since(*at) >= 1_000) {
            self.totals.push_back((now, facts.clone()));
            while self.totals.get(1).is_some_and(|(at, _)| now.ms_since(*at) >= RATES_MS) {
                self.totals.pop_front();
            }
        }
    }

    pub fn rates(&self, facts: &Facts) -> Rates {
        let then = self.totals.front().map(|(_, facts)| facts.clone()).unwrap_or_default();
        let since = |now: u64, then: u64| now.saturating_sub(then).min(u64::from(u32::MAX)) as u32;
        Rates {
            calls: since(facts.calls, then.calls),
            failed: since(facts.failed, then.failed),
            busy: since(facts.busy, then.busy),
            waiting: facts.waiting,
            hosts_down: facts.hosts_down,
        }
    }
}

impl Fleet {
    pub(crate) fn hears_group(&self) -> bool {
        self.told_at.values().any(|at| self.now.ms_since(*at) < HEARS_MS) || self.leads()
    }

    /// What follows for this unit from what is agreed.
    pub(crate) fn follow(&mut self) {
        let Some(unit) = self.state.units.get(&self.name) else { return };
        match unit.standing.clone() {
            Standing::Serving => {
                self.member.asked = None;
                self.retry_after();
            }
            Standing::Granted { permit, cause } => {
                if planted(Plant::OutOnGrant) && self.member.out.is_none() {
                    return self.go_out(permit, cause);
                }
                self.ask_to_begin(permit);
            }
            Standing::Begun { permit, cause, nonce, .. } => self.begun(permit, cause, nonce),
            Standing::Returning { .. } => self.retry_after(),
        }
    }

    fn retry_after(&mut self) {
        if self.member.out.take().is_some() {
            self.member.parted = None;
            self.actions.push(Action::Return);
        }
    }

    fn ask_to_begin(&mut self, permit: Permit) {
        let (now, waits) = (self.now, BEGIN_AGAIN_MS);
        let fresh = self.member.asked.is_some_and(|(of, _, at)| of == permit && now.ms_since(at) < waits);
        if fresh || !self.facts.serving || !self.hears_group() {
            return;
        }
        self.member.count += 1;
        let nonce = Nonce { life: self.life, count: self.member.count };
        self.member.asked = Some((permit, nonce, now));
        let rates = self.member.rates(&self.facts);
        self.submit(None, Command::Begin { unit: self.name.clone(), permit, nonce, rates });
    }

    fn go_out(&mut self, permit: Permit, cause: Cause) {
        self.member.out = Some((permit, cause));
        self.member.parted = None;
        self.actions.push(Action::GoOut { permit, cause });
    }

    fn begun(&mut self, permit: Permit, cause: Cause, nonce: Nonce) {
        let running = match (cause, &self.state.release) {
            (Cause::Release(number), Some(release)) => {
                (release.number == number && release.course == Course::Running).then_some(release.plan.act)
            }
            (Cause::Release(_), None) => None,
            _ => Some(Act::Drain),
        };
        if self.member.out.is_some() {
            return self.go_on(cause, running);
        }
        // Danger: what was begun long ago may have been halted since, and this unit has not heard of it.
        let mine = self.member.asked.filter(|(of, asked, _)| *of == permit && *asked == nonce);
        let in_time = |at: Moment| self.now.ms_since(at) <= BEGIN_COUNTS_MS || planted(Plant::AnyAge);
        if mine.is_some_and(|(_, _, at)| in_time(at)) {
            return self.go_out(permit, cause);
        }
        // A node that operators took out stays out in its next process; one that left to be changed has been.
        let goes_on = nonce.life == self.life || !matches!(cause, Cause::Release(_));
        if goes_on && running.is_some() {
            self.ask_to_begin(permit);
        }
    }

    /// It is out, and has to go on to what the release wants.
    fn go_on(&mut self, cause: Cause, running: Option<Act>) {
        let again = self.member.parted.is_none_or(|at| self.now.ms_since(at) >= BEGIN_AGAIN_MS);
        if !self.facts.drained || !again || !matches!(cause, Cause::Release(_)) {
            return;
        }
        match running {
            // Halted: it holds where it is.
            None => {}
            Some(Act::Exit) => {
                self.member.parted = Some(self.now);
                let wanted = self.state.release.as_ref().map(|release| release.wanted(&self.name).to_owned());
                self.actions.push(Action::Leave { version: wanted.unwrap_or_default() });
            }
            Some(Act::Drain) => {
                self.member.parted = Some(self.now);
                self.submit(None, Command::Activate { unit: self.name.clone() });
            }
        }
    }
}
