//! This unit's own drain: it asks to begin, goes out and comes back. Also counts how the unit's calls ended.

use std::collections::VecDeque;

use crate::Timestamp;
use crate::action::Action;
use crate::config::NodeStatus;
use crate::context::Context;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::policy::Act;
use crate::state::{CallCounts, Cause, Command, Lease, Nonce, UnitState};

/// How long, in ms, after its request to begin a unit may go out. A halt takes effect on all units within
/// this time of its entry: long enough for two round trips over a congested link and a slow disk, short
/// enough for an operator to wait.
const BEGIN_TIMEOUT_MS: u64 = 2_000;

/// Interval, in ms, after which a request is repeated, since the leader may have changed.
const RETRY_MS: u64 = 1_000;

/// Period, in ms, over which calls are counted for gates; as long as the shortest `watch_s` that gives a
/// meaningful result.
const CALL_COUNTS_MS: u64 = 10_000;

/// Minimum interval, in ms, between two recorded totals.
const NOTE_TOTALS_MS: u64 = 1_000;

/// The unit's next step.
pub(crate) enum MemberStep {
    /// Return this action to the node.
    Act(Action),
    /// Submit this command to the leader.
    Submit(Command),
}

/// The last request to begin the current drain.
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

/// The state of this unit's own drain, and its recent call totals.
#[derive(Default)]
pub(crate) struct Member {
    begin_requests: u64,
    begin_request: Option<BeginRequest>,
    drain: Option<CurrentDrain>,
    /// When the current drain last asked the process to exit or to be activated again.
    finished_at: Option<Timestamp>,
    /// Recorded totals, oldest first.
    totals: VecDeque<(Timestamp, NodeStatus)>,
}

impl Member {
    /// The lease under which this process is out.
    pub(crate) fn drain(&self) -> Option<CurrentDrain> {
        self.drain
    }

    /// The state after the process has dropped its copy of the log. Requests to begin are counted on, so that
    /// no nonce is used twice.
    pub(crate) fn rejoined(&self) -> Member {
        Member { begin_requests: self.begin_requests, ..Member::default() }
    }

    /// Records the node's totals, at most once in [`NOTE_TOTALS_MS`].
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

    /// Takes on the lease of a drain that an earlier process of the unit began and this one continues;
    /// otherwise nothing would end the drain with the lease. Called only while the state is current, as the
    /// lease of an outdated state may have ended, and would end the drain of a later one.
    pub(crate) fn inherit_drain(&mut self, context: &Context, status: &NodeStatus) {
        if self.drain.is_some() || !status.draining {
            return;
        }
        let unit_state = context.state.units.get(&context.name).map(|unit| &unit.unit_state);
        if let Some(UnitState::Begun { lease, cause, .. } | UnitState::Returning { lease, cause }) =
            unit_state
        {
            self.drain = Some(CurrentDrain { lease: *lease, cause: *cause });
        }
    }

    /// The unit's next step according to the replicated state.
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
        let hears_voters = context.hears_any_voter() || is_leader;
        if has_asked || !status.serving || !hears_voters {
            return None;
        }
        self.begin_requests += 1;
        let nonce = Nonce { incarnation: context.incarnation, count: self.begin_requests };
        self.begin_request = Some(BeginRequest { lease, nonce, asked_at: context.now });
        let unit = context.name.clone();
        let call_counts = self.call_counts(status);
        Some(MemberStep::Submit(Command::BeginDrain { unit, lease, nonce, call_counts }))
    }

    /// Handles a drain that has begun in the log. This process goes out only if its own recent request began
    /// the drain: an older one may have been halted since, without this unit having learned of it.
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
        // A node that an operator drained stays drained after a restart; one that exited for a release is
        // already changed.
        let is_release = matches!(cause, Cause::Release(_));
        let may_continue = nonce.incarnation == context.incarnation || !is_release;
        if !may_continue || (is_release && wanted_act(context, cause).is_none()) {
            return None;
        }
        self.ask_to_begin(context, status, is_leader, lease)
    }

    /// Handles the end of a drain for a release: the process exits to be changed, or asks to be activated
    /// again if the plan only drains. While the release is halted, nothing happens.
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

/// The act of the release that this cause names, if it is the current one and running.
fn wanted_act(context: &Context, cause: Cause) -> Option<Act> {
    let Cause::Release(number) = cause else { return None };
    let release = context.state.release.as_ref()?;
    (release.number == number && release.is_running()).then_some(release.plan.act)
}
