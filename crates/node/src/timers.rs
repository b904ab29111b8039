//! Everything that falls due at some time, in one ordered structure.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use glendeck::domain::{AttemptNumber, CallId, Span, Time, TimerToken};

use crate::socket::ConnectionId;

/// What a timer that falls due stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// A timer of the decisions.
    Decisions(TimerToken),
    /// The connection of an attempt should be open by now.
    ConnectTimeout(CallId, AttemptNumber),
    /// The attempt should have an answer by now.
    AttemptTimeout(CallId, AttemptNumber),
    /// A call returns to the host where it was before and is tried there again.
    RetryReturn(CallId),
    /// The host should have sent something since the client last spoke.
    HostSilence(CallId),
    /// The client has ended its side and the host should have ended its own by now.
    HalfClosedTimeout(CallId),
    /// An open connection is ended and its client connects anew.
    Migrate(CallId),
    /// The drain of this number sends away the clients that are connected.
    DrainStart(u32),
    /// The same as [`TimerEvent::Migrate`], as long as the drain of this number lasts.
    DrainMigrate(u32, CallId),
    /// The drain of this number sends away whoever is still connected.
    DrainEnd(u32),
    /// An admin request should be over by now.
    AdminTimeout(ConnectionId),
    /// A probe should have its answer by now.
    ProbeTimeout(ConnectionId),
    /// A request for the endpoint list may have passed its deadline.
    EndpointListTimeout(ConnectionId),
    /// A client should have sent its first line by now.
    FirstLineTimeout(ConnectionId),
    /// A closing connection is closed whatever its peer does.
    ClosingTimeout(ConnectionId),
    /// Accepting failed a moment ago and is tried again.
    RetryAccept,
    /// The endpoint list is not waited for any longer before the node serves.
    EndpointListOverdue,
    /// The connection to the successor was full and is tried again.
    ContinueHandover,
    /// Replaced and told to end, the process checks whether it has anything left to do.
    CheckIdleExit,
    /// The front has stopped sending clients.
    StopAccepting,
    /// The fleet's next tick, a tenth of a second after the last one.
    FleetTick,
    /// One connection leaves a host that the fleet is draining.
    MigrateFromDraining,
    /// The process ends all calls and goes.
    Exit,
    /// The last answers have had their time to be sent.
    FlushTimeout,
}

/// An ordered set of events with their times.
///
/// Events of the same time come in the order in which they were set. None is removed early: what an event
/// names has ended by then or is found not to be due, and ids are never used twice.
pub(crate) struct Timers<T> {
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    /// How many events were ever set.
    sequence: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T: Ord> Timers<T> {
    /// Adds an event that is due at `time`.
    pub(crate) fn set(&mut self, time: Time, event: T) {
        self.sequence += 1;
        self.heap.push(Reverse((time, self.sequence, event)));
    }

    /// Takes out the first event that is due.
    pub(crate) fn next_due(&mut self, now: Time) -> Option<T> {
        let Reverse((time, _, _)) = self.heap.peek()?;
        if *time > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, event))| event)
    }

    /// How long until the next event is due, if there is one.
    pub(crate) fn time_until_next(&self, now: Time) -> Option<Span> {
        self.heap.peek().map(|Reverse((time, _, _))| time.since(now))
    }
}
