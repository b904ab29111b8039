//! Calls in flight and their attempts.

#[cfg(test)]
mod tests;

use glendeck::domain::{AttemptNumber, AttemptOutcome, Call, CallId, HostId, Time};
use rustc_hash::FxHashSet;

use crate::metrics::Outcome;
use crate::protocol::{ClientId, HostMessage, OpenLine};
use crate::slots::Slots;
use crate::socket::ConnectionId;
use crate::takeover::ReplicatedCall;

/// The stage of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// The call waits for a lookup of its prior attempt or for the decision logic; an attempt may be in
    /// progress.
    Waiting,
    /// The client names a host where its connection was open before, and returns to it.
    Returning,
    /// A host has accepted the call; lines are relayed.
    Open,
    /// The client has ended its side of the open connection; the host may still send.
    HalfClosed,
}

impl CallStage {
    /// Whether the host has accepted the call.
    pub(crate) fn is_established(self) -> bool {
        match self {
            CallStage::Open | CallStage::HalfClosed => true,
            CallStage::Waiting | CallStage::Returning => false,
        }
    }
}

/// How much of the client's line an attempt has given to the kernel for its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineProgress {
    /// Nothing: the host cannot have run the call.
    Unsent,
    /// A part of it.
    Partial,
    /// All of it.
    Whole,
}

impl LineProgress {
    /// The progress of a line on a connection on which nothing else was sent. `line_length` is `None` before the
    /// line is queued.
    pub(crate) fn new(bytes_sent: u64, line_length: Option<usize>) -> LineProgress {
        match line_length {
            Some(length) if bytes_sent >= length as u64 => LineProgress::Whole,
            Some(_) if bytes_sent > 0 => LineProgress::Partial,
            Some(_) | None => LineProgress::Unsent,
        }
    }

    /// Whether the host may have run the call. It takes a whole line, but what the kernel has taken of it is out
    /// of this process's hands, so a part counts too.
    pub(crate) fn may_have_run(self) -> bool {
        self != LineProgress::Unsent
    }
}

/// An attempt of a call at one host, or its open connection there.
pub(crate) struct Attempt {
    /// Number of the attempt within the call.
    pub number: AttemptNumber,
    /// The host that the attempt goes to.
    pub host: HostId,
    /// The socket to the host.
    pub connection: ConnectionId,
    /// When the connection was started.
    pub opened_at: Time,
    /// When the attempt times out.
    pub deadline: Time,
    /// The client's line may be sent: the intent is replicated, or does not have to be.
    pub may_send: bool,
    /// Length of the client's line with its end, once it has been put into the outbox of the host's socket.
    pub line_length: Option<usize>,
    /// The last byte of the line has been sent, and the attempt is counted.
    pub is_line_sent: bool,
}

/// A call that has no final answer yet, or an open connection.
pub(crate) struct InFlightCall {
    /// The id that the client gave to its connection.
    pub client_id: ClientId,
    /// The client's socket; `None` once the client has gone or its last bytes have been queued.
    pub client: Option<ConnectionId>,
    /// The client's request in the form that is sent to hosts.
    pub line: OpenLine,
    /// The call as the decision logic knows it.
    pub call: Call,
    /// The stage of the call.
    pub stage: CallStage,
    /// The host where the client's connection was open before, if the client names one.
    pub previous_host: Option<HostId>,
    /// The attempt in progress, or the open connection.
    pub attempt: Option<Attempt>,
    /// Number of attempts so far, including the current one.
    pub attempt_count: u16,
    /// Since when the client has been waiting for a line from the host.
    pub awaiting_host_since: Option<Time>,
    /// A [`crate::timers::TimerEvent::HostSilence`] timer is set for this call.
    pub has_silence_timer: bool,
    /// `BYE` or `MOVE`, if the host has announced the end of the connection with it.
    pub final_message: Option<HostMessage>,
    /// The node's own answer to the client, if the connection never opened; `None` counts as a failure.
    pub outcome: Option<Outcome>,
    /// What replicas store about the call, if it is replicated.
    pub replicated: Option<ReplicatedCall>,
}

impl InFlightCall {
    /// Creates a call without attempts.
    pub(crate) fn new(
        client_id: ClientId,
        client: ConnectionId,
        line: OpenLine,
        call: Call,
        stage: CallStage,
        previous_host: Option<HostId>,
    ) -> InFlightCall {
        InFlightCall {
            client_id,
            client: Some(client),
            line,
            call,
            stage,
            previous_host,
            attempt: None,
            attempt_count: 0,
            awaiting_host_since: None,
            has_silence_timer: false,
            final_message: None,
            outcome: None,
            replicated: None,
        }
    }
}

/// All in-flight calls, with ids that are never reused.
#[derive(Default)]
pub(crate) struct CallTable {
    calls: Slots<InFlightCall>,
    /// The ids that the clients gave to these calls.
    client_ids: FxHashSet<ClientId>,
}

impl CallTable {
    /// Adds a call and assigns its id.
    pub(crate) fn insert(&mut self, in_flight: InFlightCall) -> CallId {
        self.client_ids.insert(in_flight.client_id);
        let number = self.calls.insert(in_flight);
        let id = CallId(number);
        if let Some(in_flight) = self.calls.get_mut(number) {
            in_flight.call.id = id;
        }
        id
    }

    /// Removes and returns the call with this number, if it is in flight.
    pub(crate) fn remove(&mut self, number: u64) -> Option<InFlightCall> {
        let in_flight = self.calls.remove(number)?;
        self.client_ids.remove(&in_flight.client_id);
        Some(in_flight)
    }

    /// The call with this number, if it is in flight.
    pub(crate) fn get(&self, number: u64) -> Option<&InFlightCall> {
        self.calls.get(number)
    }

    /// Mutable access to the call with this number, if it is in flight.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut InFlightCall> {
        self.calls.get_mut(number)
    }

    /// Whether a call with this client id is in flight.
    pub(crate) fn has_client(&self, id: ClientId) -> bool {
        self.client_ids.contains(&id)
    }

    /// The number of in-flight calls.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// All in-flight calls with their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &InFlightCall)> {
        self.calls.iter()
    }
}

/// The end of an attempt, as reported to the decision logic.
pub(crate) struct AttemptEnd {
    /// The call that the attempt belonged to.
    pub call: CallId,
    /// Number of the attempt within the call.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The call needs no further attempt: the host's answer is final, an open connection has ended, or the
    /// client has gone.
    pub is_final: bool,
}
