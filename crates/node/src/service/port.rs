//! The connection to the decision logic: the [`Port`] on which it acts, and the events that it is given.

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
    /// Runs `event` on the decision logic, and then delivers all pending reports. Does nothing while the
    /// decision logic is running; see [`Service::is_deciding`].
    pub(crate) fn with_node(&mut self, event: impl FnOnce(&mut Node, &mut Service)) {
        if let Some(mut node) = self.node.take() {
            event(&mut node, self);
            self.node = Some(node);
            self.deliver_reports();
        }
    }

    /// Whether the decision logic is running, so that it cannot be given events.
    pub(crate) fn is_deciding(&self) -> bool {
        self.node.is_none()
    }

    /// A snapshot from which the successor's decision logic starts; `None` while the decision logic runs.
    pub(crate) fn snapshot(&self) -> Option<NodeSnapshot> {
        self.node.as_ref().map(|node| node.snapshot())
    }

    /// The warm state for nodes that this node's clients may move to, with up to `limit` hints.
    pub(crate) fn warm_state_of_node(&self, limit: usize) -> glendeck::domain::WarmState {
        self.node.as_ref().map(|node| node.warm_state(limit)).unwrap_or_default()
    }

    /// Whether the predecessor still has connections to hosts.
    pub(crate) fn predecessor_holds_connections(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.predecessor_connections() > 0.0)
    }

    /// Whether the decision logic has ejected a host.
    pub(crate) fn is_host_ejected(&self, host: HostId) -> bool {
        self.node.as_ref().is_some_and(|node| node.is_ejected(host))
    }

    /// Queues the end of an attempt for the next [`Service::deliver_reports`].
    pub(crate) fn report_attempt_end(&mut self, end: AttemptEnd) {
        self.reports.push(Report::AttemptEnded(end));
    }

    /// Delivers all pending reports to the decision logic, including those that its actions cause.
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

    /// Does nothing: the watch reports every change, and a lost watch is reopened within its time bound. A
    /// separate request would bring nothing new, and cost the list's service one request from each node that
    /// doubts its list.
    fn fetch_endpoints(&mut self) {}

    fn watch_endpoints(&mut self) {
        self.begin_watch();
    }

    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.timers.set(time, TimerEvent::DecisionTimer(token));
    }
}
