//! A unit's own part: it asks to begin its drain, goes out and comes back, and counts how its calls ended.

use std::collections::VecDeque;

use crate::Timestamp;
use crate::action::Action;
use crate::config::NodeStatus;
use crate::context::Context;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::Act;
use crate::state::{CallCounts, Cause, Command, Lease, Nonce, UnitState};

/// A unit goes out only so long, in ms, after it asked to begin. A halt holds everywhere within this after its entry: long
/// enough for two round trips over a crowded link and a slow disk, short enough to be waited for by a person.
const BEGIN_TIMEOUT_MS: u64 = 2_000;

/// A request is repeated after this time, in ms: the leader may have changed meanwhile.
const RETRY_MS: u64 = 1_000;

/// Calls are counted for gates over this time, in ms; as long as the shortest watch that says anything.
const CALL_COUNTS_MS: u64 = 10_000;

/// The totals are noted once in this time, in ms.
const NOTE_TOTALS_MS: u64 = 1_000;

/// What the unit has to do next.
pub(crate) enum MemberStep {
    /// Have the node do this.
    Act(Action),
    /// Have the leader decide this.
    Submit(Command),
}

/// A request to begin a drain that waits for its entry.
struct BeginRequest {
    lease: Lease,
    nonce: Nonce,
    asked_at: Timestamp,
}

/// The lease under which this process is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CurrentDrain {
    pub lease: Lease,
    pub cause: Cause,
}

/// This unit.
#[derive(Default)]
pub(crate) struct Member {
    begin_requests: u64,
    begin_request: Option<BeginRequest>,
    drain: Option<CurrentDrain>,
    /// When it left the process, or asked to be taken back, since it is out.
    finished_at: Option<Timestamp>,
    /// Totals as they were, the oldest first.
    totals: VecDeque<(Timestamp, NodeStatus)>,
}

impl Member {
    /// The lease under which this process is out.
    pub(crate) fn drain(&self) -> Option<CurrentDrain> {
        self.drain
    }

    /// Notes the node's totals.
    pub(crate) fn note_totals(&mut self, now: Timestamp, totals: &NodeStatus) {
        if self.totals.back().is_some_and(|(at, _)| now.ms_since(*at) < NOTE_TOTALS_MS) {
            return;
        }
        self.totals.push_back((now, totals.clone()));
        while self.totals.get(1).is_some_and(|(at, _)| now.ms_since(*at) >= CALL_COUNTS_MS) {
            self.totals.pop_front();
        }
    }

    /// How calls ended over the last [`CALL_COUNTS_MS`].
    pub(crate) fn call_counts(&self, totals: &NodeStatus) -> CallCounts {
        let before = self.totals.front().map(|(_, totals)| totals.clone()).unwrap_or_default();
        let since = |now: u64, before: u64| u32::try_from(now.saturating_sub(before)).unwrap_or(u32::MAX);
        CallCounts {
            calls: since(totals.calls, before.calls),
            failed: since(totals.failed, before.failed),
            busy: since(totals.busy, before.busy),
            waiting: totals.waiting,
            hosts_down: totals.hosts_down,
        }
    }

    /// What follows for this unit from what is agreed.
    pub(crate) fn follow(
        &mut self,
        context: &Context,
        status: &NodeStatus,
        is_leader: bool,
    ) -> Option<MemberStep> {
        let unit = context.state.units.get(&context.name)?;
        match unit.unit_state {
            UnitState::Serving => {
                self.begin_request = None;
                self.come_back()
            }
            UnitState::Granted { lease, cause } => {
                if is_injected(InjectedFault::DrainOnGrant) && self.drain.is_none() {
                    return Some(self.go_out(lease, cause));
                }
                self.ask_to_begin(context, status, is_leader, lease)
            }
            UnitState::Begun { lease, cause, nonce, .. } => match self.drain {
                Some(_) => self.finish_drain(context, status, cause),
                None => self.begin(context, status, is_leader, lease, cause, nonce),
            },
            UnitState::Returning { .. } => self.come_back(),
        }
    }

    fn come_back(&mut self) -> Option<MemberStep> {
        self.drain.take()?;
        self.finished_at = None;
        Some(MemberStep::Act(Action::Resume))
    }

    fn go_out(&mut self, lease: Lease, cause: Cause) -> MemberStep {
        self.drain = Some(CurrentDrain { lease, cause });
        self.finished_at = None;
        MemberStep::Act(Action::StartDrain { lease, cause })
    }

    fn ask_to_begin(
        &mut self,
        context: &Context,
        status: &NodeStatus,
        is_leader: bool,
        lease: Lease,
    ) -> Option<MemberStep> {
        let has_asked = self.begin_request.as_ref().is_some_and(|request| {
            request.lease == lease && context.now.ms_since(request.asked_at) < RETRY_MS
        });
        let hears_group = context.hears_any_voter() || is_leader;
        if has_asked || !status.serving || !hears_group {
            return None;
        }
        self.begin_requests += 1;
        let nonce = Nonce { incarnation: context.incarnation, count: self.begin_requests };
        self.begin_request = Some(BeginRequest { lease, nonce, asked_at: context.now });
        let unit = context.name.clone();
        let call_counts = self.call_counts(status);
        Some(MemberStep::Submit(Command::BeginDrain { unit, lease, nonce, call_counts }))
    }

    /// The drain has begun in the log: this process goes out if its own request has begun it, and of late. What was begun
    /// long ago may have been halted since, and this unit has not heard of it.
    fn begin(
        &mut self,
        context: &Context,
        status: &NodeStatus,
        is_leader: bool,
        lease: Lease,
        cause: Cause,
        nonce: Nonce,
    ) -> Option<MemberStep> {
        let request = self.begin_request.as_ref();
        let may_go_out = request.filter(|own| own.lease == lease && own.nonce == nonce).is_some_and(|own| {
            context.now.ms_since(own.asked_at) <= BEGIN_TIMEOUT_MS
                || is_injected(InjectedFault::StaleBeginRequest)
        });
        if may_go_out {
            return Some(self.go_out(lease, cause));
        }
        // A node that operators took out stays out in its next process; one that left to be changed has been.
        let is_release = matches!(cause, Cause::Release(_));
        let goes_on = nonce.incarnation == context.incarnation || !is_release;
        if !goes_on || (is_release && wanted_act(context, cause).is_none()) {
            return None;
        }
        self.ask_to_begin(context, status, is_leader, lease)
    }

    /// It is out for a release and has drained: it leaves to be changed, or asks to be taken back after a rehearsal. While
    /// the release is halted it stays as it is.
    fn finish_drain(&mut self, context: &Context, status: &NodeStatus, cause: Cause) -> Option<MemberStep> {
        let has_finished = self.finished_at.is_some_and(|at| context.now.ms_since(at) < RETRY_MS);
        if !status.drained || has_finished {
            return None;
        }
        let act = wanted_act(context, cause)?;
        self.finished_at = Some(context.now);
        match act {
            Act::Exit => {
                let release = context.state.release.as_ref()?;
                let version = release.target_version(&context.name).to_owned();
                Some(MemberStep::Act(Action::Exit { version }))
            }
            Act::Drain => Some(MemberStep::Submit(Command::Activate { unit: context.name.clone() })),
        }
    }
}

/// What the release that this cause names wants of the unit, if it runs.
fn wanted_act(context: &Context, cause: Cause) -> Option<Act> {
    let Cause::Release(number) = cause else { return None };
    let release = context.state.release.as_ref()?;
    (release.number == number && release.is_running()).then_some(release.plan.act)
}
