//! Calls in flight and their attempts.

use glendeck::domain::{AttemptNumber, AttemptOutcome, Call, CallId, HostId, Time};

use crate::metrics::Outcome;
use crate::protocol::{ClientId, HostMessage, OpenLine};
use crate::socket::ConnectionId;
use crate::takeover::Kept;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// The decisions have it; an attempt may be out.
    Waiting,
    /// It was open before the start and goes to the host where it was.
    Returning,
    Open,
    /// The client has ended its side; the host may still have something to say.
    HalfClosed,
}

pub struct Attempt {
    pub no: AttemptNumber,
    pub host: HostId,
    pub connection: ConnectionId,
    pub sent: Time,
    pub limit: Time,
    /// Its intent is kept, or nobody has to keep it.
    pub may_go: bool,
    /// The client's line was handed to the socket.
    pub line_out: bool,
    /// Its last byte has gone.
    pub line_gone: bool,
}

/// A call in hand.
pub struct InFlightCall {
    pub id: ClientId,
    pub client: Option<ConnectionId>,
    pub line: OpenLine,
    pub call: Call,
    pub stage: CallStage,
    pub at: Option<HostId>,
    pub attempt: Option<Attempt>,
    pub attempts: u16,
    /// Since when the host owes a line.
    pub asked: Option<Time>,
    pub silence_set: bool,
    /// The host's last word, if it ended the connection with one.
    pub last: Option<HostMessage>,
    /// What its client was told, if it never opened.
    pub outcome: Option<Outcome>,
    /// What others keep of it, if they do.
    pub kept: Option<Kept>,
}

impl InFlightCall {
    pub fn new(
        id: ClientId,
        client: ConnectionId,
        line: OpenLine,
        call: Call,
        stage: CallStage,
        at: Option<HostId>,
    ) -> InFlightCall {
        InFlightCall {
            id,
            client: Some(client),
            line,
            call,
            stage,
            at,
            attempt: None,
            attempts: 0,
            asked: None,
            silence_set: false,
            last: None,
            outcome: None,
            kept: None,
        }
    }
}

/// The end of an attempt that the decisions have not been told yet.
pub struct AttemptEnd {
    pub call: CallId,
    pub attempt: AttemptNumber,
    pub outcome: AttemptOutcome,
    /// It answers the call, or the call has had its answer.
    pub last: bool,
}
