//! A unit's own part: it asks to begin, goes out, comes back, and counts how its calls ended.

use std::collections::VecDeque;

use crate::fault_injection::{InjectedFault, is_injected};
use crate::group::{Action, Fleet, NodeStatus};
use crate::policy::Act;
use crate::state::{CallCounts, Cause, Command, Lease, Nonce, UnitState};
use crate::{Timestamp, state::ReleaseState};

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
    asked: Option<(Lease, Nonce, Timestamp)>,
    /// Under which lease this process is out.
    pub out: Option<(Lease, Cause)>,
    /// It has said that it leaves, or asked to be taken back, then.
    parted: Option<Timestamp>,
    /// Totals as they were, the oldest first.
    totals: VecDeque<(Timestamp, NodeStatus)>,
}

impl Member {
    pub fn note(&mut self, now: Timestamp, node_status: &NodeStatus) {
        if self.totals.back().is_none_or(|(at, _)| now.ms_since(*at) >= 1_000) {
            self.totals.push_back((now, node_status.clone()));
            while self.totals.get(1).is_some_and(|(at, _)| now.ms_since(*at) >= RATES_MS) {
                self.totals.pop_front();
            }
        }
    }

    pub fn call_counts(&self, node_status: &NodeStatus) -> CallCounts {
        let then = self.totals.front().map(|(_, node_status)| node_status.clone()).unwrap_or_default();
        let since = |now: u64, then: u64| now.saturating_sub(then).min(u64::from(u32::MAX)) as u32;
        CallCounts {
            calls: since(node_status.calls, then.calls),
            failed: since(node_status.failed, then.failed),
            busy: since(node_status.busy, then.busy),
            waiting: node_status.waiting,
            hosts_down: node_status.hosts_down,
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
        match unit.unit_state.clone() {
            UnitState::Serving => {
                self.member.asked = None;
                self.retry_after();
            }
            UnitState::Granted { lease, cause } => {
                if is_injected(InjectedFault::OutOnGrant) && self.member.out.is_none() {
                    return self.go_out(lease, cause);
                }
                self.ask_to_begin(lease);
            }
            UnitState::Begun { lease, cause, nonce, .. } => self.begun(lease, cause, nonce),
            UnitState::Returning { .. } => self.retry_after(),
        }
    }

    fn retry_after(&mut self) {
        if self.member.out.take().is_some() {
            self.member.parted = None;
            self.actions.push(Action::Resume);
        }
    }

    fn ask_to_begin(&mut self, lease: Lease) {
        let (now, waits) = (self.now, BEGIN_AGAIN_MS);
        let fresh = self.member.asked.is_some_and(|(of, _, at)| of == lease && now.ms_since(at) < waits);
        if fresh || !self.node_status.serving || !self.hears_group() {
            return;
        }
        self.member.count += 1;
        let nonce = Nonce { incarnation: self.incarnation, count: self.member.count };
        self.member.asked = Some((lease, nonce, now));
        let call_counts = self.member.call_counts(&self.node_status);
        self.submit(None, Command::BeginDrain { unit: self.name.clone(), lease, nonce, call_counts });
    }

    fn go_out(&mut self, lease: Lease, cause: Cause) {
        self.member.out = Some((lease, cause));
        self.member.parted = None;
        self.actions.push(Action::StartDrain { lease, cause });
    }

    fn begun(&mut self, lease: Lease, cause: Cause, nonce: Nonce) {
        let running = match (cause, &self.state.release) {
            (Cause::Release(number), Some(release)) => (release.number == number
                && release.release_state == ReleaseState::Running)
                .then_some(release.plan.act),
            (Cause::Release(_), None) => None,
            _ => Some(Act::Drain),
        };
        if self.member.out.is_some() {
            return self.go_on(cause, running);
        }
        // Danger: what was begun long ago may have been halted since, and this unit has not heard of it.
        let mine = self.member.asked.filter(|(of, asked, _)| *of == lease && *asked == nonce);
        let in_time =
            |at: Timestamp| self.now.ms_since(at) <= BEGIN_COUNTS_MS || is_injected(InjectedFault::AnyAge);
        if mine.is_some_and(|(_, _, at)| in_time(at)) {
            return self.go_out(lease, cause);
        }
        // A node that operators took out stays out in its next process; one that left to be changed has been.
        let goes_on = nonce.incarnation == self.incarnation || !matches!(cause, Cause::Release(_));
        if goes_on && running.is_some() {
            self.ask_to_begin(lease);
        }
    }

    /// It is out, and has to go on to what the release wants.
    fn go_on(&mut self, cause: Cause, running: Option<Act>) {
        let again = self.member.parted.is_none_or(|at| self.now.ms_since(at) >= BEGIN_AGAIN_MS);
        if !self.node_status.drained || !again || !matches!(cause, Cause::Release(_)) {
            return;
        }
        match running {
            // Halted: it holds where it is.
            None => {}
            Some(Act::Exit) => {
                self.member.parted = Some(self.now);
                let wanted =
                    self.state.release.as_ref().map(|release| release.target_version(&self.name).to_owned());
                self.actions.push(Action::Exit { version: wanted.unwrap_or_default() });
            }
            Some(Act::Drain) => {
                self.member.parted = Some(self.now);
                self.submit(None, Command::Activate { unit: self.name.clone() });
            }
        }
    }
}
