//! The interface between the decisions and what carries them out.
//!
//! Whoever hosts a node calls the methods of [`crate::Node`] with what has happened; each gets the time and a [`Port`] on
//! which the node says what to do, in order. One call gets one [`Port::reject`], one [`Port::fail`], or the completion
//! that the host's own answer brings.

use crate::domain::{AttemptNumber, CallId, HostId, Span, Time, TimerToken};

/// Carries out what a node decides.
pub trait Port {
    /// Send an attempt; it times out after `within`.
    fn send_attempt(&mut self, call: CallId, host: HostId, within: Span);
    /// Final answer: a new try does no harm, after `retry_after` if that is given.
    fn reject(&mut self, call: CallId, retry_after: Option<Span>);
    /// Final answer without any assurance.
    fn fail(&mut self, call: CallId);
    /// Stop waiting for an attempt.
    fn cancel(&mut self, call: CallId, attempt: AttemptNumber);
    /// End an open connection politely; its client connects anew.
    fn migrate(&mut self, call: CallId);
    /// Ask a host whether it works, in a way that costs it little.
    fn probe(&mut self, host: HostId);
    /// Ask for the whole endpoint list once.
    fn fetch_endpoints(&mut self);
    /// Ask to be sent the changes of the endpoint list from now on.
    fn watch_endpoints(&mut self);
    /// Call [`crate::Node::timer_fired`] with the token at that time.
    fn set_timer(&mut self, time: Time, token: TimerToken);
}
