//! Events of calls and attempts, as the process that runs the node reports them.

use super::Node;
use crate::domain::{
    AttemptNumber, AttemptOutcome, AttemptReport, Call, CallId, HostId, Span, Time, TimerToken,
};
use crate::port::Port;
use crate::state::call::{AttemptEnd, CallIndex};
use crate::state::host::HostIndex;
use crate::state::timers::{QUEUE_TIMER, TICK_TIMER, WATCH_TIMER};

/// A queue timer that fires early by up to this much, one microsecond, counts as due.
const TIMER_TOLERANCE: Span = Span(1000);

impl Node {
    /// Handles a client's request for a connection.
    pub fn call_arrived(&mut self, now: Time, call: Call, port: &mut dyn Port) {
        self.now = now;
        self.retries.record_call(&self.settings, now);
        self.traffic.new_clients += u32::from(!call.is_returning && !call.is_mid_flow);
        let call_index = self.admit(call);
        if self.exceeds_remaining_capacity(call_index) {
            return self.answer(call_index, port);
        }
        // A call that waits for a home does not queue behind other waiting calls.
        let skips_queue = self.waiting.calls.is_empty() || self.waits_for_home(call_index);
        if skips_queue { self.forward(call_index, port) } else { self.enqueue(call_index, port) }
    }

    /// Registers a connection that was already open at a host when the node started.
    pub fn existing_connection(&mut self, now: Time, call: Call, host: HostId) {
        self.now = now;
        let Some(host) = self.host_index.get(&host).copied() else { return };
        let call_index = self.admit(call);
        self.calls[call_index].is_established = true;
        self.occupy_slot(call_index, host);
    }

    /// Handles an attempt that has set up its connection after the time `took`.
    pub fn attempt_established(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptNumber,
        took: Span,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some((call_index, host)) = self.outstanding_attempt(call, attempt) else { return };
        if std::mem::replace(&mut self.calls[call_index].is_established, true) {
            return;
        }
        self.hosts[host].pending_setups -= 1;
        self.record_setup_time(call_index, Some(took));
        self.setup_limit.in_progress -= 1;
        self.hosts[host].outlier.record_success();
        let allowed_time = self.traffic.record_setup(took, self.calls[call_index].setups_ahead);
        // An overloaded host answers probes independently of its work, but a setup waits behind that work. A
        // message there is delayed by as much as the setup exceeded its allowed time.
        if !self.settings.reports_message_times {
            let excess = self.hosts[host].overload.record_setup_excess(took.seconds() - allowed_time);
            self.record_message_time(host, excess, port);
        }
    }

    /// The call and host of an attempt, if it is the call's outstanding one.
    fn outstanding_attempt(&self, call: CallId, attempt: AttemptNumber) -> Option<(CallIndex, HostIndex)> {
        let call_index = *self.call_index.get(&call)?;
        let call = self.calls.get(call_index).filter(|call| call.attempts == attempt.0 + 1)?;
        call.outstanding.map(|slot| (call_index, slot.host))
    }

    /// Handles the end of an attempt. `final_answer` is true if the client has its final answer through this
    /// end or before it.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        final_answer: bool,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some((call_index, host)) = self.outstanding_attempt(call, attempt) else { return };
        let was_established = self.calls[call_index].is_established;
        let end = AttemptEnd { outcome, is_final: final_answer, host, was_established };
        self.unwind(call_index, end, port);
    }

    /// Handles a client that leaves: it needs no answer, and an attempt that is still outstanding need not
    /// continue.
    pub fn client_left(&mut self, now: Time, call: CallId, port: &mut dyn Port) {
        self.now = now;
        let Some(call_index) = self.call_index.get(&call).copied() else { return };
        if self.calls[call_index].outstanding.is_none() {
            return self.remove_call(call_index);
        }
        self.calls[call_index].is_answered = true;
        if self.settings.can_cancel && !self.calls[call_index].is_established {
            port.cancel(call, AttemptNumber(self.calls[call_index].attempts - 1));
        }
    }

    /// Handles a host's report on an outstanding attempt.
    pub fn attempt_report(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptNumber,
        report: AttemptReport,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some((call_index, host)) = self.outstanding_attempt(call, attempt) else { return };
        match report {
            AttemptReport::Load(load) => {
                self.count_load(call_index, host, -1.0);
                self.calls[call_index].load = Some(load);
                self.count_load(call_index, host, 1.0);
            }
            AttemptReport::MessageTime(took) => self.record_message_time(host, took, port),
        }
    }

    /// Handles the firing of a timer that the node has set.
    pub fn timer_fired(&mut self, now: Time, token: TimerToken, port: &mut dyn Port) {
        self.now = now;
        match token {
            TICK_TIMER => self.tick(port),
            QUEUE_TIMER => self.queue_timer_fired(port),
            WATCH_TIMER => self.watch_timer_fired(port),
            _ => {}
        }
    }

    /// Retries the waiting calls if this is the expected timer. A timer that was replaced by an earlier one
    /// would start a second chain of timers, and multiplying chains would stall the node.
    fn queue_timer_fired(&mut self, port: &mut dyn Port) {
        if self.waiting.wakeup_at.is_some_and(|wakeup_at| self.now + TIMER_TOLERANCE >= wakeup_at) {
            self.waiting.wakeup_at = None;
            self.retry_waiting_calls(port);
        }
    }
}
