//! All that is due some time, in one ordered structure.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use glendeck::domain::{AttemptNumber, CallId, Span, Time, TimerToken};

use crate::socket::ConnectionId;

/// What falls due at the same time comes in the order in which it was set. Nothing is taken out early: what
/// an entry names has ended by then or says itself that it is not due, and numbers are never used twice.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Time, due: T) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    pub fn next_due(&mut self, now: Time) -> Option<T> {
        self.heap.peek().filter(|first| first.0.0 <= now)?;
        self.heap.pop().map(|Reverse((_, _, due))| due)
    }

    /// How long until the next one.
    pub fn wait(&self, now: Time) -> Option<Span> {
        self.heap.peek().map(|first| first.0.0.since(now))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerEvent {
    Wake(TimerToken),
    Connect(CallId, AttemptNumber),
    Attempt(CallId, AttemptNumber),
    Again(CallId),
    Silence(CallId),
    Linger(CallId),
    Move(CallId),
    /// The drain of this number has sent all it could wait for; one client of it goes.
    Drain(u32),
    DrainMove(u32, CallId),
    DrainEnd(u32),
    Caller(ConnectionId),
    Probe(ConnectionId),
    ListLimit(ConnectionId),
    FirstLine(ConnectionId),
    Shut(ConnectionId),
    Accept,
    /// The list is not waited for any longer.
    TakeOver,
    /// The line to the next process was full.
    HandOn,
    /// Replaced and told to end, with nothing left to do.
    LeaveEarly,
    /// The front has stopped sending.
    StopAccepting,
    /// The fleet's next tenth of a second.
    Fleet,
    /// One connection goes from a host that the fleet wants out.
    Ease,
    Exit,
    /// What was said last has had its time to go out.
    Left,
}
