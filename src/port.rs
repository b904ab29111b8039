//! The interface between the decisions and the program that carries them out.
//!
//! The program that runs a node reports events through the methods of [`crate::Node`]. Those that can lead to
//! actions take the time and a [`Port`], on which the node requests the actions, in order. Unless its client
//! leaves first, each call gets one final answer: a [`Port::reject`], a [`Port::fail`], or the host's own
//! answer when the attempt completes.

use crate::domain::{AttemptNumber, CallId, HostId, Span, Time, TimerToken};

/// Carries out the actions that a node decides on.
pub trait Port {
    /// Sends an attempt, which times out after `timeout`.
    fn send_attempt(&mut self, call: CallId, host: HostId, timeout: Span);
    /// Gives the call its final answer: the client may safely retry, after `retry_after` if that is given.
    fn reject(&mut self, call: CallId, retry_after: Option<Span>);
    /// Gives the call its final answer: it failed, and a retry may not be safe.
    fn fail(&mut self, call: CallId);
    /// Stops waiting for an attempt.
    fn cancel(&mut self, call: CallId, attempt: AttemptNumber);
    /// Ends an open connection gracefully; its client connects again.
    fn migrate(&mut self, call: CallId);
    /// Sends a host a health check that costs it little.
    fn probe(&mut self, host: HostId);
    /// Requests the whole endpoint list once.
    fn fetch_endpoints(&mut self);
    /// Requests to be sent the changes of the endpoint list from now on.
    fn watch_endpoints(&mut self);
    /// Arranges a call of [`crate::Node::timer_fired`] with the token at `time`.
    fn set_timer(&mut self, time: Time, token: TimerToken);
}
