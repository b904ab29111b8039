//! Messages from hosts: answers to attempts, and lines that are relayed to clients.

use glendeck::domain::{AttemptOutcome, AttemptReport, CallId};
use tracing::{debug, trace, warn};

use super::MIGRATION_PERIOD;
use crate::call::{CallStage, InFlightCall};
use crate::connection::{HIGH_WATER_MARK, ReadOutcome};
use crate::metrics::Outcome;
use crate::protocol::{self, HostMessage};
use crate::service::Service;
use crate::socket::ConnectionId;
use crate::timers::TimerEvent;

impl Service {
    /// Handles data from a host on the connection of a call, or the end of the host's side.
    pub(crate) fn host_read(&mut self, id: ConnectionId, call: CallId, outcome: ReadOutcome) {
        match outcome {
            ReadOutcome::NothingYet => {}
            ReadOutcome::Bytes(count) => {
                let Some(socket) = self.sockets.get_mut(id.0) else { return };
                socket.connection.inbox.extend_from_slice(&self.read_buffer[..count]);
                self.handle_host_lines(id, call);
            }
            ReadOutcome::End => {
                let in_flight = self.calls.get(call.0);
                if in_flight.is_some_and(|in_flight| in_flight.stage.is_established()) {
                    self.host_ended(call, false);
                    self.deliver_reports();
                } else {
                    self.host_lost(call);
                }
            }
        }
    }

    /// Handles a connection to a host that failed, or could not be established.
    pub(crate) fn host_lost(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        if in_flight.attempt.is_none() {
            return;
        }
        if in_flight.stage.is_established() {
            self.host_ended(call, true);
        } else {
            let may_have_run = self.may_be_running(in_flight);
            let outcome = if may_have_run { AttemptOutcome::Broken } else { AttemptOutcome::Unreachable };
            self.end_attempt(call, outcome, None);
        }
        self.deliver_reports();
    }

    /// Handles the complete lines in the inbox one by one, until the call is established; later lines are
    /// relayed to the client.
    fn handle_host_lines(&mut self, id: ConnectionId, call: CallId) {
        while let Some(in_flight) = self.calls.get(call.0) {
            if in_flight.stage.is_established() {
                return self.relay_to_client(id, call);
            }
            let Some(socket) = self.sockets.get_mut(id.0) else { return };
            let Some(length) = protocol::first_line_length(&socket.connection.inbox) else {
                if socket.connection.inbox.len() >= protocol::MAX_LINE_LENGTH {
                    warn!(call_id = call.0, "host line too long");
                    self.end_attempt(call, AttemptOutcome::Error, None);
                    self.deliver_reports();
                }
                return;
            };
            let line: Vec<u8> = socket.connection.inbox.drain(..length).collect();
            self.handle_host_line(id, call, &line);
            self.deliver_reports();
        }
    }

    fn handle_host_line(&mut self, id: ConnectionId, call: CallId, line: &[u8]) {
        match HostMessage::parse(line) {
            HostMessage::Up => self.establish_call(id, call, line),
            HostMessage::Load(load) => self.report_load(call, load),
            HostMessage::Bye => self.end_attempt(call, AttemptOutcome::Completed, Some(line)),
            HostMessage::Move => self.end_attempt(call, AttemptOutcome::Canceled, None),
            HostMessage::Busy => self.end_attempt(call, AttemptOutcome::Rejected, None),
            HostMessage::Error => self.end_attempt(call, AttemptOutcome::Error, None),
            HostMessage::Pong | HostMessage::Other => {
                let text = String::from_utf8_lossy(line);
                warn!(call_id = call.0, line = %text.trim_end(), "unexpected line from a host");
                self.end_attempt(call, AttemptOutcome::Error, None);
            }
        }
    }

    fn report_load(&mut self, call: CallId, load: f64) {
        let in_flight = self.calls.get(call.0);
        let Some(attempt) = in_flight.and_then(|in_flight| in_flight.attempt.as_ref()) else { return };
        let number = attempt.number;
        let now = self.now;
        self.with_node(|node, port| node.attempt_report(now, call, number, AttemptReport::Load(load), port));
    }

    /// Handles the host's `UP`: from now on, lines are relayed between client and host.
    fn establish_call(&mut self, id: ConnectionId, call: CallId, line: &[u8]) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(client) = in_flight.client.filter(|_| in_flight.attempt.is_some()) else {
            // The client has gone, and the attempt could not be canceled in time.
            return self.end_attempt(call, AttemptOutcome::Canceled, None);
        };
        let is_returning = in_flight.stage == CallStage::Returning;
        in_flight.stage = CallStage::Open;
        // The call runs at this host. The client is told so now; if it repeats the call nevertheless, it has
        // not received the answer.
        self.end_replicated_call(call);
        let Some(in_flight) = self.calls.get(call.0) else { return };
        let Some(attempt) = &in_flight.attempt else { return };
        let number = attempt.number;
        let host = attempt.host;
        let setup_time = self.now.since(attempt.opened_at);
        let established_call = in_flight.call;
        self.metrics.count(established_call.class, Outcome::Success);
        let setup_ms = setup_time.0 / 1_000_000;
        debug!(call_id = call.0, attempt = number.0, host_id = host.0, setup_ms, "call established");
        if let Some(socket) = self.sockets.get_mut(client.0) {
            socket.connection.outbox.extend_from_slice(line);
        }
        self.flush_connection(client);
        self.hosts.connection_opened(host, call);
        self.notify_successor(host);
        let now = self.now;
        if is_returning {
            self.with_node(|node, _| node.existing_connection(now, established_call, host));
        } else {
            self.with_node(|node, port| node.attempt_established(now, call, number, setup_time, port));
        }
        if self.hosts.is_leaving(host) {
            self.timers.set(now + MIGRATION_PERIOD, TimerEvent::Migrate(call));
        }
        self.relay_to_client(id, call);
        self.schedule_late_migration(call);
    }

    /// Relays all complete lines of an open connection to the client, and reads from them what concerns the
    /// node.
    fn relay_to_client(&mut self, id: ConnectionId, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(client) = in_flight.client else { return };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let length = protocol::complete_lines_length(&socket.connection.inbox);
        if socket.connection.inbox.len() - length >= protocol::MAX_LINE_LENGTH {
            warn!(call_id = call.0, "host line too long");
            self.host_ended(call, true);
            return self.deliver_reports();
        }
        if length == 0 {
            return;
        }
        let mut inbox = std::mem::take(&mut socket.connection.inbox);
        if let Some(since) = in_flight.awaiting_host_since.take() {
            trace!(call_id = call.0, took_us = self.now.since(since).0 / 1_000, "host answered");
        }
        let last_load = in_flight.read_relayed_lines(&inbox[..length]);
        if let Some(socket) = self.sockets.get_mut(client.0) {
            socket.connection.outbox.extend_from_slice(&inbox[..length]);
        }
        self.flush_connection(client);
        let is_client_slow =
            self.sockets.get(client.0).is_some_and(|socket| socket.connection.unsent() > HIGH_WATER_MARK);
        inbox.drain(..length);
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.connection.inbox = inbox;
            socket.connection.paused = is_client_slow;
        }
        self.sockets.watch(id);
        if let Some(load) = last_load {
            self.report_load(call, load);
        }
    }
}

impl InFlightCall {
    /// Reads from relayed lines what concerns the node: notes `BYE` and `MOVE`, and returns the last load
    /// that the host has reported.
    fn read_relayed_lines(&mut self, lines: &[u8]) -> Option<f64> {
        let mut last_load = None;
        for line in lines.split_inclusive(|byte| *byte == b'\n') {
            match HostMessage::parse(line) {
                HostMessage::Load(load) => last_load = Some(load),
                message @ (HostMessage::Bye | HostMessage::Move) => self.final_message = Some(message),
                HostMessage::Up
                | HostMessage::Error
                | HostMessage::Busy
                | HostMessage::Pong
                | HostMessage::Other => {}
            }
        }
        last_load
    }
}
