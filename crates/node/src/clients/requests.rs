//! What a connection begins with: the front's `PING`, or a client's request for a call.

use glendeck::domain::{Call, CallId, Span, Time};
use tracing::debug;

use super::{FIRST_LINE_TIMEOUT, MIN_IDLE};
use crate::call::{CallStage, InFlightCall};
use crate::connection::ReadOutcome;
use crate::lifecycle::Phase;
use crate::metrics::Outcome;
use crate::protocol::{self, Answer, ClientMessage, OpenRequest};
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::takeover::ReplicatedCall;
use crate::timers::TimerEvent;

/// Kept back of a client's time: the answer's way to it, and what a busy core adds.
const DEADLINE_MARGIN: Span = Span::ms(20);

/// How long a connection from before may take to be up at its host again; then its client is better off anew.
const MAX_RETURN_TIME: Span = Span::ms(10_000);

/// Clients that are turned away for want of descriptors come back after this at the latest, where clients are
/// told a time.
const MAX_BUSY_RETRY: Span = Span::ms(500);

impl Service {
    /// A client has sent something, or ended its side.
    pub(crate) fn client_read(&mut self, id: ConnectionId, call: Option<CallId>, outcome: ReadOutcome) {
        let count = match outcome {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => return self.client_ended(id, call, false),
            ReadOutcome::Bytes(count) => count,
        };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.connection.inbox.extend_from_slice(&self.read_buffer[..count]);
        // A client that was accepted late has waited all the while since its connection came.
        let is_fresh = self.now.since(socket.idle_since) < MIN_IDLE;
        let queued_since = socket.queued_since.take().filter(|_| is_fresh);
        match call {
            None => self.handle_first_lines(id, queued_since.unwrap_or(self.now)),
            Some(call) => self.relay_to_host(id, call),
        }
    }

    fn handle_first_lines(&mut self, id: ConnectionId, sent_at: Time) {
        let takes_clients = self.takes_clients();
        while let Some(socket) = self.sockets.get_mut(id.0) {
            let inbox = &mut socket.connection.inbox;
            let Some(length) = protocol::first_line_length(inbox) else {
                if inbox.len() >= protocol::MAX_LINE_LENGTH {
                    debug!("client line too long");
                    self.answer_client(id, Answer::Error);
                }
                return;
            };
            let line: Vec<u8> = inbox.drain(..length).collect();
            // A client waits after its line. One that sends hundreds at once, or goes on before a host has
            // it, would have hosts work for calls that are then refused.
            if !inbox.is_empty() {
                debug!("client did not wait for its answer");
                return self.answer_client(id, Answer::Error);
            }
            match ClientMessage::parse(line, &self.config.names) {
                Ok(ClientMessage::Ping) => {
                    let answer = if takes_clients { Answer::Pong } else { Answer::Error };
                    answer.encode(&mut socket.connection.outbox);
                    self.timers.set(self.now + FIRST_LINE_TIMEOUT, TimerEvent::FirstLineTimeout(id));
                    socket.quiet_since = self.now;
                    self.flush_connection(id);
                }
                Ok(ClientMessage::Open(request)) => return self.take_call(id, sent_at, request),
                Err(cause) => {
                    debug!(%cause, "client line refused");
                    return self.answer_client(id, Answer::Error);
                }
            }
        }
    }

    fn take_call(&mut self, connection: ConnectionId, sent_at: Time, request: OpenRequest) {
        // Two connections of one id are one call to the hosts, and the owner's would be disturbed.
        if self.calls.has_client(request.id) {
            debug!("client id is in use");
            self.metrics.count(request.traffic, Outcome::Failure);
            return self.answer_client(connection, Answer::Error);
        }
        let is_leaving = self.is_leaving_without_successor();
        if is_leaving || !self.has_room_for_call() {
            let retry_after = self.config.settings.retry_after.map(|longest| longest.min(MAX_BUSY_RETRY));
            debug!(is_leaving, "call refused");
            self.metrics.count(request.traffic, Outcome::Busy);
            return self.answer_client(connection, Answer::Busy(retry_after));
        }
        let work = self.replicated_work_id(&request);
        let must_look_up = work.is_some() && self.is_repeat(&request);
        let kept = work.map(|work| ReplicatedCall { work_id: work, awaits_lookup: must_look_up, ran: None });
        let call = new_call(&request, sent_at);
        let id = self.insert_call(connection, request, call, kept);
        self.place_call(id, must_look_up);
    }

    fn is_leaving_without_successor(&self) -> bool {
        matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing) && !self.takes_clients()
    }

    fn insert_call(
        &mut self,
        connection: ConnectionId,
        request: OpenRequest,
        call: Call,
        kept: Option<ReplicatedCall>,
    ) -> CallId {
        let OpenRequest { id: client_id, line, previous_host, .. } = request;
        let stage = if previous_host.is_some() { CallStage::Returning } else { CallStage::Waiting };
        let mut in_flight = InFlightCall::new(client_id, connection, line, call, stage, previous_host);
        in_flight.replicated = kept;
        let id = self.calls.insert(in_flight);
        if let Some(socket) = self.sockets.get_mut(connection.0) {
            socket.role = SocketRole::Client(Some(id));
        }
        debug!(
            call_id = id.0,
            client_id = %format_args!("{:016x}", client_id.0),
            subject_id = %format_args!("{:x}", call.subject.map_or(0, |subject| subject.0)),
            group_id = call.group.map_or(0, |group| group.0),
            class_id = call.class.0,
            returning = call.is_returning,
            previous_host = ?previous_host.map(|host| host.0),
            "call received"
        );
        id
    }

    /// Returns the call to its host, looks up what replicas know of it, or has it decided on.
    fn place_call(&mut self, id: CallId, must_look_up: bool) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        let call = in_flight.call;
        if in_flight.stage == CallStage::Returning {
            self.return_to_host(id);
        } else if must_look_up {
            self.look_up_prior_attempt(id);
        } else {
            let now = self.now;
            self.with_node(|node, port| node.call_arrived(now, call, port));
        }
    }
}

/// What the decisions are told of a request that came at `sent_at`; its id is set once it has one.
fn new_call(request: &OpenRequest, sent_at: Time) -> Call {
    let wait = match request.previous_host {
        Some(_) => request.wait.min(MAX_RETURN_TIME),
        None => request.wait,
    };
    Call {
        id: CallId(0),
        class: request.traffic,
        tenant: request.tenant,
        subject: request.subject,
        group: request.group,
        deadline: sent_at + wait - DEADLINE_MARGIN.min(wait.times(0.5)),
        load: request.load,
        is_returning: request.is_returning(),
        is_mid_flow: false,
        prior_attempt: None,
    }
}
