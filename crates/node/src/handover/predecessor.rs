//! The newer process's side of a handover: it stays connected to its predecessor until that exits, and adopts
//! the connections that it hands over.

use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use glendeck::domain::{AttemptNumber, Call, CallId, ClassId, GroupId, HostId, Span, SubjectId, TenantId};
use rustix::io::Errno;
use tracing::{debug, info, warn};

use super::message::{CallHandover, MessageError, PredecessorMessage, StateHeader, SuccessorMessage};
use super::socket::receive_with_sockets;
use crate::call::{Attempt, CallStage, InFlightCall};
use crate::connection::Connection;
use crate::hosts::MIGRATION_PERIOD;
use crate::protocol::{Answer, ClientId, OpenLine, first_line_length};
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Maximum wait for the endpoint list at a handover. The discovery service answers within milliseconds unless
/// it is overloaded. After this time a process that has everything else serves with the list from its
/// predecessor or its configuration, well within the 6 s that an upgrade may take.
const LIST_TIMEOUT: Span = Span::ms(2_000);

/// Maximum number of reads from the predecessor in one turn of the event loop.
const MAX_READS_PER_TURN: usize = 64;

/// Why a call of the predecessor cannot be adopted.
#[derive(Debug, thiserror::Error)]
enum AdoptError {
    #[error("the socket of its client or host is missing")]
    NoSockets,
    #[error("the settings have no class {name:?} with number {number}")]
    UnknownClass { name: Option<String>, number: u8 },
    #[error("the event loop cannot watch its connections")]
    Reactor,
}

impl Service {
    /// Reads messages of the predecessor from now on.
    pub(crate) fn follow_predecessor(&mut self, stream: UnixStream) {
        let connection = Connection::new(stream.into(), false);
        self.handover.predecessor = self.add_connection(connection, SocketRole::Predecessor);
        info!("connected to the predecessor");
        self.timers.set(self.now + LIST_TIMEOUT, TimerEvent::EndpointListOverdue);
    }

    /// Accepts clients instead of the predecessor. Called only once this process can serve: a predecessor
    /// that is told earlier stops accepting while no other process accepts.
    pub(crate) fn take_over(&mut self) {
        if self.handover.listener.is_some() {
            return;
        }
        self.listen_for_successor();
        self.handover.took_over = true;
        self.watch_for_clients(true);
        self.send_to_predecessor(SuccessorMessage::Serving);
    }

    /// Sends a message to the predecessor, if it is still connected.
    pub(super) fn send_to_predecessor(&mut self, message: SuccessorMessage) {
        if let Some(id) = self.handover.predecessor {
            self.send_text(id, &format!("{message}\n"));
        }
    }

    /// Reads and handles messages of the predecessor.
    pub(crate) fn predecessor_readable(&mut self, id: ConnectionId) {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(entry) = self.sockets.get_mut(id.0) else { return };
            let length = match receive_with_sockets(&entry.connection.fd, &mut self.read_buffer) {
                Ok((length, sockets)) if length > 0 => {
                    self.handover.received_sockets.extend(sockets);
                    length
                }
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR) => continue,
                Ok(_) | Err(_) => return self.disconnect_predecessor(id),
            };
            entry.connection.inbox.extend_from_slice(&self.read_buffer[..length]);
            self.read_predecessor_lines(id);
        }
    }

    fn read_predecessor_lines(&mut self, id: ConnectionId) {
        while let Some(entry) = self.sockets.get_mut(id.0) {
            let inbox = &mut entry.connection.inbox;
            let Some(length) = first_line_length(inbox) else {
                if inbox.len() > StateHeader::MAX_STATE_LENGTH {
                    self.disconnect_predecessor(id);
                }
                return;
            };
            let line: Vec<u8> = inbox.drain(..length).collect();
            let line = String::from_utf8_lossy(&line);
            match line.parse() {
                Ok(message) => self.handle_predecessor_message(id, message),
                Err(cause) => self.skip_predecessor_message(&cause),
            }
        }
    }

    fn handle_predecessor_message(&mut self, id: ConnectionId, message: PredecessorMessage) {
        match message {
            PredecessorMessage::OpenConnections { host, connections } => {
                self.with_node(|node, _| {
                    node.set_predecessor_connections(Some(host), f64::from(connections));
                });
            }
            PredecessorMessage::Descriptors(count) => self.handover.predecessor_descriptors = count,
            PredecessorMessage::Call(call) => {
                let client = self.handover.received_sockets.pop_front();
                let host = self.handover.received_sockets.pop_front();
                if let Err(cause) = self.adopt_call(*call, client, host) {
                    warn!(%cause, "cannot adopt a call of the predecessor, migrating its client instead");
                }
            }
            PredecessorMessage::IdleClient(received) => {
                if let Some(socket) = self.handover.received_sockets.pop_front()
                    && let Some(client) = self.add_client(socket, received.into_bytes())
                    && self.hands_over_connections()
                {
                    self.hand_over_idle_client(client);
                }
            }
            PredecessorMessage::Drain(change) => self.follow_drain_change(change, id),
        }
    }

    /// Takes the sockets that came with an invalid line; otherwise they would be taken for those of the next
    /// line. The first one of a call is its client's.
    fn skip_predecessor_message(&mut self, cause: &MessageError) {
        let sockets = cause.sockets().min(self.handover.received_sockets.len());
        let mut sockets = self.handover.received_sockets.drain(..sockets);
        let client = sockets.next();
        drop(sockets);
        match client.filter(|_| matches!(cause, MessageError::Call(_))) {
            Some(client) => {
                warn!(%cause, "cannot adopt a call of the predecessor, migrating its client instead");
                self.send_away(client, Vec::new());
            }
            None => debug!(%cause, "skipping an invalid message of the predecessor"),
        }
    }

    /// Migrates the client of an open call that this process cannot serve, after the bytes that its predecessor
    /// had for it.
    fn send_away(&mut self, client: OwnedFd, unsent: Vec<u8>) {
        let mut connection = Connection::new(client, false);
        connection.outbox = unsent;
        if let Some(client) = self.add_connection(connection, SocketRole::Client(None)) {
            self.answer_client(client, Answer::Move);
        }
    }

    /// Continues a call that the predecessor had open, with the bytes that were buffered there.
    fn adopt_call(
        &mut self,
        handover: CallHandover,
        client: Option<OwnedFd>,
        host: Option<OwnedFd>,
    ) -> Result<(), AdoptError> {
        let (client, host) = client.zip(host).ok_or(AdoptError::NoSockets)?;
        let call = match self.adopted_call(&handover) {
            Ok(call) => call,
            Err(cause) => {
                self.send_away(client, handover.client_outbox.into_bytes());
                return Err(cause);
            }
        };
        let client_id = ClientId(handover.client_id);
        let host_id = HostId(handover.host);
        let awaiting_host_since = handover.waiting_for_host_ns.map(|waiting| self.now - Span(waiting));
        let mut client = Connection::new(client, false);
        client.inbox = handover.client_inbox.into_bytes();
        client.outbox = handover.client_outbox.into_bytes();
        let mut host = Connection::new(host, false);
        host.inbox = handover.host_inbox.into_bytes();
        host.outbox = handover.host_outbox.into_bytes();
        let (client, host) = self.add_adopted_connections(client, host)?;

        let mut in_flight =
            InFlightCall::new(client_id, client, OpenLine::default(), call, CallStage::Open, None);
        in_flight.attempt_count = 1;
        in_flight.attempt = Some(Attempt {
            number: AttemptNumber(0),
            host: host_id,
            connection: host,
            opened_at: self.now,
            deadline: self.now,
            may_send: true,
            line_length: None,
            is_line_sent: true,
        });
        in_flight.awaiting_host_since = awaiting_host_since;
        in_flight.has_silence_timer = awaiting_host_since.is_some();
        let id = self.insert_adopted_call(in_flight);
        self.start_adopted_call(Call { id, ..call }, host_id, awaiting_host_since.is_some());
        self.flush_connection(client);
        self.flush_connection(host);
        self.schedule_late_migration(id);
        Ok(())
    }

    /// The call for the decision logic; its id in this process is assigned later.
    fn adopted_call(&self, handover: &CallHandover) -> Result<Call, AdoptError> {
        Ok(Call {
            id: CallId(0),
            class: self.adopted_class(handover)?,
            tenant: TenantId(handover.tenant),
            subject: handover.subject.map(SubjectId),
            group: handover.group.map(GroupId),
            deadline: self.now,
            load: handover.load,
            // The client neither retried nor reconnected: its connection has stayed open.
            is_returning: false,
            is_mid_flow: false,
            prior_attempt: None,
        })
    }

    /// The call's class in this process's settings. An unknown class is an error, as its number would be out
    /// of bounds where calls are counted by class.
    fn adopted_class(&self, handover: &CallHandover) -> Result<ClassId, AdoptError> {
        let names = &self.config.names.traffic;
        let number = handover.class;
        let index = match &handover.class_name {
            Some(name) => names.iter().position(|known| known == name),
            None => Some(usize::from(number)),
        };
        let known = index.filter(|index| *index < names.len());
        known
            .map(|index| ClassId(index as u8))
            .ok_or_else(|| AdoptError::UnknownClass { name: handover.class_name.clone(), number })
    }

    /// Adds both connections to the socket table, or neither.
    fn add_adopted_connections(
        &mut self,
        client: Connection,
        host: Connection,
    ) -> Result<(ConnectionId, ConnectionId), AdoptError> {
        let client = self.add_connection(client, SocketRole::Client(None)).ok_or(AdoptError::Reactor)?;
        let Some(host) = self.add_connection(host, SocketRole::Client(None)) else {
            self.close_connection(client);
            return Err(AdoptError::Reactor);
        };
        Ok((client, host))
    }

    /// Adds the call to the table of calls, and gives its connections their roles.
    fn insert_adopted_call(&mut self, in_flight: InFlightCall) -> CallId {
        let client = in_flight.client;
        let host = in_flight.attempt.as_ref().map(|attempt| attempt.connection);
        let id = self.calls.insert(in_flight);
        self.attempts_out += 1;
        for (connection, role) in [(client, SocketRole::Client(Some(id))), (host, SocketRole::Host(id))] {
            if let Some(entry) = connection.and_then(|connection| self.sockets.get_mut(connection.0)) {
                entry.role = role;
            }
        }
        id
    }

    /// Reports the call to the decision logic, and sets the timers that an open call needs.
    fn start_adopted_call(&mut self, call: Call, host: HostId, host_owes_line: bool) {
        self.hosts.connection_opened(host, call.id);
        let now = self.now;
        self.with_node(|node, _| node.existing_connection(now, call, host));
        if host_owes_line {
            self.timers.set(now, TimerEvent::HostSilence(call.id));
        }
        if self.hosts.is_leaving(host) {
            self.timers.set(now + MIGRATION_PERIOD, TimerEvent::Migrate(call.id));
        }
    }

    /// Closes the connection to a predecessor that has exited, whose socket has failed, or that sent too long
    /// a line. From now on its connections and descriptors count as 0, and this process no longer leaves
    /// clients to it.
    pub(crate) fn disconnect_predecessor(&mut self, id: ConnectionId) {
        self.close_connection(id);
        info!("disconnected from the predecessor");
        self.handover.predecessor = None;
        self.handover.predecessor_descriptors = 0;
        self.with_node(|node, _| node.set_predecessor_connections(None, 0.0));
        self.watch_for_clients(self.accepts_connections());
        self.serve_if_ready();
    }
}
