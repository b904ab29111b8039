//! All timers of the node, in one queue ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use glendeck::domain::{AttemptNumber, CallId, Span, Time, TimerToken};

use crate::socket::ConnectionId;

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// A timer set by the decision logic.
    DecisionTimer(TimerToken),
    /// The connection of an attempt may have passed the limit for connecting.
    ConnectTimeout(CallId, AttemptNumber),
    /// An attempt may have passed its deadline.
    AttemptTimeout(CallId, AttemptNumber),
    /// A returning call is tried again at its previous host.
    RetryReturn(CallId),
    /// The host may have sent nothing for too long since the client sent a line.
    HostSilence(CallId),
    /// The host may not have ended its side in time after the client had ended its own.
    HalfClosedTimeout(CallId),
    /// Ends an open connection; its client reconnects.
    Migrate(CallId),
    /// The drain with this number starts to migrate the connected clients.
    DrainStart(u32),
    /// The same as [`TimerEvent::Migrate`], but only while the drain with this number lasts.
    DrainMigrate(u32, CallId),
    /// The drain with this number migrates all clients that are still connected.
    DrainEnd(u32),
    /// Time limit of an admin connection.
    AdminTimeout(ConnectionId),
    /// Time limit of a probe.
    ProbeTimeout(ConnectionId),
    /// A request for the endpoint list may have passed its deadline.
    EndpointListTimeout(ConnectionId),
    /// A client may have passed the time limit for its first line.
    FirstLineTimeout(ConnectionId),
    /// Closes a closing connection even if its peer has not ended it.
    ClosingTimeout(ConnectionId),
    /// The listening sockets of clients and of the admin interface are watched again after accepting failed.
    RetryAccept,
    /// The node stops waiting for the endpoint list before it serves.
    EndpointListOverdue,
    /// Sending to the successor is tried again after its socket was full.
    ContinueHandover,
    /// A replaced process that was told to exit checks whether it still has connections.
    CheckIdleExit,
    /// The front-end balancer has stopped sending clients, so the node stops accepting.
    StopAccepting,
    /// The next tick of the fleet logic, 0.1 s after the last one.
    FleetTick,
    /// Migrates one connection from a host that the fleet is draining.
    MigrateFromDraining,
    /// The process ends all calls and exits.
    Exit,
    /// The time for sending the last answers is over.
    FlushTimeout,
}

/// Timer events, ordered by time.
///
/// Events with the same time expire in the order in which they were set. Timers are never cancelled: when an
/// event expires, its handler finds that its object has ended or that nothing is due. Ids are never reused;
/// attempt numbers may be, so their handlers compare the times of the attempt.
pub(crate) struct Timers<T> {
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    /// Number of events set so far.
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

    /// Removes and returns the first event that is due.
    pub(crate) fn next_due(&mut self, now: Time) -> Option<T> {
        let Reverse((time, _, _)) = self.heap.peek()?;
        if *time > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, event))| event)
    }

    /// The time until the next event is due, if there is one.
    pub(crate) fn time_until_next(&self, now: Time) -> Option<Span> {
        self.heap.peek().map(|Reverse((time, _, _))| time.since(now))
    }
}
