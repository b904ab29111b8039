//! Probes: health checks of hosts, each on a connection of its own.

use glendeck::domain::{AttemptOutcome, HostId, Span};
use tracing::debug;

use crate::connection::{Connection, ReadOutcome};
use crate::protocol::{self, HostMessage};
use crate::service::{Report, Service};
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// A probe is answered at once, or the host is not healthy.
const PROBE_TIMEOUT: Span = Span::ms(500);

impl Service {
    /// Probes a host. Probes go out by the dozen; one that found no descriptor would blame the host for what
    /// is this node's fault, so then none is sent.
    pub(crate) fn open_probe(&mut self, host: HostId) {
        if !self.has_room_for_probe() {
            return;
        }
        let connection = self.hosts.address(host).and_then(|address| Connection::connect(address).ok());
        let id = connection.and_then(|connection| self.add_connection(connection, SocketRole::Probe(host)));
        let Some(id) = id else { return self.reports.push(Report::ProbeFailed(host)) };
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.connection.outbox.extend_from_slice(protocol::PROBE);
        }
        self.timers.set(self.now + PROBE_TIMEOUT, TimerEvent::ProbeTimeout(id));
        self.flush_connection(id);
    }

    /// A probe has ended: tells the decisions.
    pub(crate) fn finish_probe(&mut self, id: ConnectionId, host: HostId, outcome: AttemptOutcome) {
        let opened_at = self.sockets.get(id.0).map_or(self.now, |socket| socket.quiet_since);
        self.close_connection(id);
        let now = self.now;
        let took = now.since(opened_at);
        debug!(host_id = host.0, ?outcome, took_us = took.0 / 1_000, "probe finished");
        self.with_node(|node, port| node.probe_finished(now, host, outcome, took, port));
    }

    /// The time of a probe is over.
    pub(crate) fn probe_timeout(&mut self, id: ConnectionId) {
        if let Some(SocketRole::Probe(host)) = self.role(id) {
            self.finish_probe(id, host, AttemptOutcome::TimedOut);
        }
    }

    /// The host has sent something on a probe's connection, or ended it.
    pub(crate) fn probe_read(&mut self, id: ConnectionId, host: HostId, outcome: ReadOutcome) {
        let count = match outcome {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => return self.finish_probe(id, host, AttemptOutcome::Broken),
            ReadOutcome::Bytes(count) => count,
        };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let inbox = &mut socket.connection.inbox;
        inbox.extend_from_slice(&self.read_buffer[..count]);
        let Some(length) = protocol::first_line_length(inbox) else {
            if inbox.len() >= protocol::MAX_LINE_LENGTH {
                self.finish_probe(id, host, AttemptOutcome::Error);
            }
            return;
        };
        let is_healthy = HostMessage::parse(&inbox[..length]) == HostMessage::Pong;
        let outcome = if is_healthy { AttemptOutcome::Completed } else { AttemptOutcome::Error };
        self.finish_probe(id, host, outcome);
    }
}
