//! Calls in flight and their attempts.

use glendeck::domain::{AttemptNumber, AttemptOutcome, Call, CallId, HostId, Time};

use crate::metrics::Outcome;
use crate::protocol::{ClientId, HostMessage, OpenLine};
use crate::socket::ConnectionId;
use crate::takeover::ReplicatedCall;

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
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
    pub fn is_established(self) -> bool {
        match self {
            CallStage::Open | CallStage::HalfClosed => true,
            CallStage::Waiting | CallStage::Returning => false,
        }
    }
}

/// A call's attempt at one host.
pub struct Attempt {
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
pub struct InFlightCall {
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
    pub kept: Option<ReplicatedCall>,
}

impl InFlightCall {
    /// A call without attempts.
    pub fn new(
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
            kept: None,
        }
    }
}

/// The end of an attempt that the decisions have not been told yet.
pub struct AttemptEnd {
    /// The call that it was for.
    pub call: CallId,
    /// Its number within the call.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// It answers the call, or the call has had its answer.
    pub is_final: bool,
}
