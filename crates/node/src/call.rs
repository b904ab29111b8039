//! Calls in flight and their attempts.

use glendeck::domain::{AttemptNumber, AttemptOutcome, Call, CallId, HostId, Time};
use rustc_hash::FxHashSet;

use crate::metrics::Outcome;
use crate::protocol::{ClientId, HostMessage, OpenLine};
use crate::slots::Slots;
use crate::socket::ConnectionId;
use crate::takeover::ReplicatedCall;

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// The decisions have it; an attempt may be out.
    Waiting,
    /// It was open before the start and returns to the host where it was.
    Returning,
    /// Its connection is open.
    Open,
    /// The client has ended its side; the host may still send.
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

/// A call's attempt at one host.
pub(crate) struct Attempt {
    /// Its number within the call.
    pub number: AttemptNumber,
    /// Where it goes.
    pub host: HostId,
    /// The socket to the host.
    pub connection: ConnectionId,
    /// When its connection was begun.
    pub opened_at: Time,
    /// When it times out.
    pub deadline: Time,
    /// Its intent is replicated, or does not have to be.
    pub may_send: bool,
    /// The client's line has been handed to the socket.
    pub is_line_queued: bool,
    /// The last byte of the line has been sent.
    pub is_line_sent: bool,
}

/// A call without its final answer, or an open connection.
pub(crate) struct InFlightCall {
    /// The client's own id of the connection.
    pub client_id: ClientId,
    /// The client's socket; `None` once the client has gone or has its last words.
    pub client: Option<ConnectionId>,
    /// The client's request, as it goes to a host.
    pub line: OpenLine,
    /// What the decisions know of it.
    pub call: Call,
    /// How far it is.
    pub stage: CallStage,
    /// The host where it was open before the start, if it was.
    pub previous_host: Option<HostId>,
    /// The attempt that is out, or the open connection.
    pub attempt: Option<Attempt>,
    /// Attempts so far, this one among them.
    pub attempt_count: u16,
    /// Since when the client waits for a line of the host.
    pub awaiting_host_since: Option<Time>,
    /// A [`crate::timers::TimerEvent::HostSilence`] is set for it.
    pub has_silence_timer: bool,
    /// `BYE` or `MOVE`, if the host has ended the connection with it.
    pub final_message: Option<HostMessage>,
    /// What its client was told, if it never opened.
    pub outcome: Option<Outcome>,
    /// What replicas keep of it, if they do.
    pub replicated: Option<ReplicatedCall>,
}

impl InFlightCall {
    /// A call without attempts.
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

/// All calls in flight, with ids that are never used twice.
#[derive(Default)]
pub(crate) struct CallTable {
    calls: Slots<InFlightCall>,
    /// The clients' own ids of these calls.
    client_ids: FxHashSet<ClientId>,
}

impl CallTable {
    /// Adds a call and gives it its id.
    pub(crate) fn insert(&mut self, in_flight: InFlightCall) -> CallId {
        self.client_ids.insert(in_flight.client_id);
        let number = self.calls.insert(in_flight);
        let id = CallId(number);
        if let Some(in_flight) = self.calls.get_mut(number) {
            in_flight.call.id = id;
        }
        id
    }

    /// Takes the call of this number out, if it is in flight.
    pub(crate) fn remove(&mut self, number: u64) -> Option<InFlightCall> {
        let in_flight = self.calls.remove(number)?;
        self.client_ids.remove(&in_flight.client_id);
        Some(in_flight)
    }

    /// The call of this number, if it is in flight.
    pub(crate) fn get(&self, number: u64) -> Option<&InFlightCall> {
        self.calls.get(number)
    }

    /// The same, to change it.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut InFlightCall> {
        self.calls.get_mut(number)
    }

    /// Whether a call with this id of the client's own is in flight.
    pub(crate) fn has_client(&self, id: ClientId) -> bool {
        self.client_ids.contains(&id)
    }

    /// How many calls are in flight.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none is.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// All calls with their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &InFlightCall)> {
        self.calls.iter()
    }
}

/// The end of an attempt that the decisions have not been told yet.
pub(crate) struct AttemptEnd {
    /// The call that it was for.
    pub call: CallId,
    /// Its number within the call.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// It answers the call, or the call has had its answer.
    pub is_final: bool,
}
