//! The port on which the decisions act, and what they are told.

use glendeck::Node;
use glendeck::domain::{AttemptNumber, AttemptOutcome, CallId, HostId, NodeSnapshot, Span, Time, TimerToken};
use glendeck::port::Port;
use tracing::debug;

use super::Service;
use super::reports::Report;
use crate::call::AttemptEnd;
use crate::protocol::Answer;
use crate::timers::TimerEvent;

impl Service {
    /// Tells the decisions something, and then what came of what they did.
    pub(crate) fn with_node(&mut self, event: impl FnOnce(&mut Node, &mut Service)) {
        if let Some(mut node) = self.node.take() {
            event(&mut node, self);
            self.node = Some(node);
            self.deliver_reports();
        }
    }

    /// Whether the decisions are at work, and cannot be told anything.
    pub(crate) fn is_deciding(&self) -> bool {
        self.node.is_none()
    }

    /// What the successor's decisions start from; `None` while these are at work.
    pub(crate) fn snapshot(&self) -> Option<NodeSnapshot> {
        self.node.as_ref().map(|node| node.snapshot())
    }

    /// Up to `limit` hints for nodes that this node's clients may come to.
    pub(crate) fn warm_state_of_node(&self, limit: usize) -> glendeck::domain::WarmState {
        self.node.as_ref().map(|node| node.warm_state(limit)).unwrap_or_default()
    }

    /// Whether the decisions send nothing to a host now.
    pub(crate) fn is_host_ejected(&self, host: HostId) -> bool {
        self.node.as_ref().is_some_and(|node| node.is_ejected(host))
    }

    /// The decisions are told of the end of an attempt when they are next settled.
    pub(crate) fn report_attempt_end(&mut self, end: AttemptEnd) {
        self.reports.push(Report::AttemptEnded(end));
    }

    /// Tells the decisions of all that has ended or failed, until nothing new comes of it.
    pub(crate) fn deliver_reports(&mut self) {
        let Some(mut node) = self.node.take() else { return };
        let now = self.now;
        while let Some(report) = self.reports.pop() {
            match report {
                Report::AttemptEnded(AttemptEnd { call, attempt, outcome, is_final }) => {
                    node.attempt_ended(now, call, attempt, outcome, is_final, self);
                    if is_final {
                        self.forget_call(call);
                    }
                }
                Report::ProbeFailed(host) => {
                    node.probe_finished(now, host, AttemptOutcome::Unreachable, Span::ZERO, self);
                }
                Report::WatchFailed => node.watch_failed(now, self),
            }
        }
        self.node = Some(node);
    }
}

impl Port for Service {
    fn send_attempt(&mut self, call: CallId, host: HostId, within: Span) {
        if let Err(end) = self.open_attempt(call, host, within) {
            self.report_attempt_end(end);
        }
    }

    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        debug!(call_id = call.0, "call rejected");
        self.answer_call(call, Answer::Busy(retry_after));
    }

    fn fail(&mut self, call: CallId) {
        self.answer_call(call, Answer::Error);
    }

    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.cancel_attempt(call, attempt);
    }

    fn migrate(&mut self, call: CallId) {
        self.migrate_call(call, AttemptOutcome::Canceled);
    }

    fn probe(&mut self, host: HostId) {
        self.open_probe(host);
    }

    /// The watch brings whatever changes, and a lost one is opened again within its bound. A second request
    /// beside it would tell nothing more, and be one for each node that doubts.
    fn fetch_endpoints(&mut self) {}

    fn watch_endpoints(&mut self) {
        self.begin_watch();
    }

    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.timers.set(time, TimerEvent::Decisions(token));
    }
}
