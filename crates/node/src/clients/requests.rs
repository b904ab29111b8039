//! First lines of connections: `PING` of the front-end balancer, or a client's request for a call.

use glendeck::domain::{Call, CallId, Span, Time};
use tracing::debug;

use super::{FIRST_LINE_TIMEOUT, MIN_IDLE_TIME};
use crate::call::{CallStage, InFlightCall};
use crate::connection::ReadOutcome;
use crate::metrics::Outcome;
use crate::protocol::{self, Answer, ClientMessage, OpenRequest};
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::takeover::ReplicatedCall;
use crate::timers::TimerEvent;

/// Subtracted from a client's waiting time, for sending the answer and for the delay of a busy core.
const DEADLINE_MARGIN: Span = Span::ms(20);

/// Maximum time for re-establishing a returning connection at its previous host; after that, a new call is
/// better for the client.
const MAX_RETURN_TIME: Span = Span::ms(10_000);

/// Maximum retry delay that is told to clients rejected because descriptors are short or the node is leaving,
/// if the settings allow telling a delay at all.
const MAX_BUSY_RETRY: Span = Span::ms(500);

impl Service {
    /// Handles data from a client, or the end of its side.
    pub(crate) fn client_read(&mut self, id: ConnectionId, call: Option<CallId>, outcome: ReadOutcome) {
        let count = match outcome {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => return self.client_ended(id, call, false),
            ReadOutcome::Bytes(count) => count,
        };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.connection.inbox.extend_from_slice(&self.read_buffer[..count]);
        // A client that was accepted late has waited since its connection may have arrived. If its line comes
        // `MIN_IDLE_TIME` or more after the accept, the line was not waiting, and the time counts from now.
        let is_fresh = self.now.since(socket.idle_since) < MIN_IDLE_TIME;
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
            // A client must wait for the answer to its line. If clients could send hundreds of lines at once,
            // or more data before a host has the call, hosts would work for calls that are then refused.
            if !inbox.is_empty() {
                debug!("client sent data before it had an answer to its line");
                return self.answer_client(id, Answer::Error);
            }
            match ClientMessage::parse(line, &self.config.names) {
                Ok(ClientMessage::Ping) => {
                    let answer = if takes_clients { Answer::Pong } else { Answer::Error };
                    answer.encode(&mut socket.connection.outbox);
                    self.timers.set(self.now + FIRST_LINE_TIMEOUT, TimerEvent::FirstLineTimeout(id));
                    socket.opened_or_pinged_at = self.now;
                    self.flush_connection(id);
                }
                Ok(ClientMessage::Open(request)) => return self.handle_open(id, sent_at, request),
                Err(cause) => {
                    debug!(%cause, "invalid client line");
                    return self.answer_client(id, Answer::Error);
                }
            }
        }
    }

    fn handle_open(&mut self, connection: ConnectionId, sent_at: Time, request: OpenRequest) {
        // Hosts identify a call by its client id, so a second connection with the same id would disturb the
        // first.
        if self.calls.has_client(request.id) {
            debug!("client id already has a call in flight");
            self.metrics.count(request.traffic, Outcome::Failure);
            return self.answer_client(connection, Answer::Error);
        }
        let is_leaving = !self.accepts_calls();
        if is_leaving || !self.has_room_for_call() {
            let retry_after = self.config.settings.retry_after.map(|longest| longest.min(MAX_BUSY_RETRY));
            debug!(is_leaving, "call refused: the node is leaving or short of descriptors");
            self.metrics.count(request.traffic, Outcome::Busy);
            return self.answer_client(connection, Answer::Busy(retry_after));
        }
        let work = self.replicated_work_id(&request);
        let must_look_up = work.is_some() && self.is_repeat(&request);
        let replicated =
            work.map(|work| ReplicatedCall { work_id: work, awaits_lookup: must_look_up, ran: None });
        let call = new_call(&request, sent_at);
        let id = self.insert_call(connection, request, call, replicated);
        self.place_call(id, must_look_up);
    }

    fn insert_call(
        &mut self,
        connection: ConnectionId,
        request: OpenRequest,
        call: Call,
        replicated: Option<ReplicatedCall>,
    ) -> CallId {
        let OpenRequest { id: client_id, line, previous_host, .. } = request;
        let stage = if previous_host.is_some() { CallStage::Returning } else { CallStage::Waiting };
        let mut in_flight = InFlightCall::new(client_id, connection, line, call, stage, previous_host);
        in_flight.replicated = replicated;
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

    /// Returns the call to its previous host, looks up what replicas know about it, or passes it to the
    /// decision logic.
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

/// Creates the call for the decision logic from a request sent at `sent_at`; the call table sets its id.
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
