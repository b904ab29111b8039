//! The older process's side of a handover: it listens for its successor, sends it its state, and hands over
//! its connections.

use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixListener;

use glendeck::domain::{AttemptOutcome, CallId, HostId, Span};
use rustix::io::Errno;
use tracing::{info, warn};

use super::PendingConnection;
use super::hex::HexBytes;
use super::message::{CallHandover, PredecessorMessage, StateHeader, SuccessorMessage};
use super::socket::{send_with_sockets, socket_path};
use super::state::HandoverState;
use crate::call::{AttemptEnd, CallStage};
use crate::connection::{Connection, ReadOutcome};
use crate::lifecycle::Phase;
use crate::protocol::{MAX_LINE_LENGTH, first_line_length};
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Delay before sending again on a full socket; the successor reads it in each turn of its event loop.
const FULL_SOCKET_RETRY_DELAY: Span = Span::ms(5);

/// An open call that can be handed over: its message, and the connections that are sent with it.
struct OutgoingCall {
    message: PredecessorMessage,
    client: ConnectionId,
    host_connection: ConnectionId,
}

impl Service {
    /// Opens the Unix socket to which a successor connects.
    pub(crate) fn listen_for_successor(&mut self) {
        match self.bind_successor_socket() {
            Ok(listener) => self.handover.listener = listener,
            // The successor then opens its own listening socket beside this process's.
            Err(cause) => info!(%cause, "cannot listen for a successor"),
        }
    }

    /// Binds the socket under a temporary name and renames it. `bind` fails if a killed process has left its
    /// file, and the socket of a process that still serves must stay reachable until the new one listens.
    fn bind_successor_socket(&mut self) -> std::io::Result<Option<UnixListener>> {
        let Some(folder) = self.config.folder.as_deref() else { return Ok(None) };
        let path = socket_path(folder, self.config.listen);
        let new_path = path.with_extension("new");
        let _ = std::fs::remove_file(&new_path);
        let listener = UnixListener::bind(&new_path)?;
        listener.set_nonblocking(true)?;
        std::fs::rename(&new_path, &path)?;
        self.watch_successor_socket(&listener)?;
        Ok(Some(listener))
    }

    /// Accepts a successor's connection. While one is connected, any other is closed at once.
    pub(crate) fn accept_successor(&mut self) {
        let accepted = self.handover.listener.as_ref().map(UnixListener::accept);
        let Some(Ok((stream, _))) = accepted else { return };
        if self.handover.successor.is_none() && stream.set_nonblocking(true).is_ok() {
            let connection = Connection::new(stream.into(), false);
            self.handover.successor = self.add_connection(connection, SocketRole::Successor);
        }
    }

    /// Handles bytes received from the successor, or the end of its connection.
    pub(crate) fn successor_readable(&mut self, id: ConnectionId, outcome: ReadOutcome) {
        let length = match outcome {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => return self.disconnect_successor(id),
            ReadOutcome::Bytes(length) => length,
        };
        let Some(entry) = self.sockets.get_mut(id.0) else { return };
        entry.connection.inbox.extend_from_slice(&self.read_buffer[..length]);
        while let Some(entry) = self.sockets.get_mut(id.0) {
            let inbox = &mut entry.connection.inbox;
            let Some(length) = first_line_length(inbox) else {
                if inbox.len() > MAX_LINE_LENGTH {
                    self.disconnect_successor(id);
                }
                return;
            };
            let line: Vec<u8> = inbox.drain(..length).collect();
            let line = String::from_utf8_lossy(&line);
            match line.trim_ascii_end().parse() {
                Ok(message) => self.handle_successor_message(id, message),
                Err(cause) => {
                    warn!(%cause, "invalid message of the successor, closing its connection");
                    return self.disconnect_successor(id);
                }
            }
        }
    }

    fn handle_successor_message(&mut self, id: ConnectionId, message: SuccessorMessage) {
        match message {
            SuccessorMessage::Hello => self.send_state(id),
            SuccessorMessage::Serving => self.successor_is_serving(),
            SuccessorMessage::Succeeded => self.handover.successor_was_replaced = true,
            SuccessorMessage::Drain(change) => self.follow_drain_change(change, id),
        }
    }

    fn send_state(&mut self, id: ConnectionId) {
        let Some(state) = self.handover_state() else { return self.disconnect_successor(id) };
        let Some(listener) = &self.listener else { return self.disconnect_successor(id) };
        let state = match state.encode() {
            Ok(state) => state,
            Err(cause) => {
                warn!(%cause, "cannot encode the state for the successor");
                return self.disconnect_successor(id);
            }
        };
        let header = format!("{}\n", StateHeader { length: state.len() });
        let descriptors = PredecessorMessage::Descriptors(self.descriptors());
        let unsent = match self.send_to_successor(id, &header, &[listener.as_fd()]) {
            Ok(unsent) => unsent,
            Err(cause) => {
                warn!(%cause, "cannot send the state to the successor");
                return self.disconnect_successor(id);
            }
        };
        info!(calls = self.calls.len(), "sending the state to the successor");
        self.handover.successor_has_state = true;
        self.send_text(id, &format!("{unsent}{state}{descriptors}\n"));
    }

    /// `None` before the endpoint list is known.
    fn handover_state(&self) -> Option<HandoverState> {
        Some(HandoverState {
            node: self.snapshot()?,
            list: self.hosts.to_update(self.list.index()?),
            drain_elapsed: self.drain_elapsed(),
            drain_number: Some(self.drain_number()),
            zones: self.config.zones.clone(),
            classes: self.config.names.traffic.clone(),
        })
    }

    /// Leaves accepting clients to the successor.
    fn successor_is_serving(&mut self) {
        info!(calls = self.calls.len(), "replaced: the successor accepts clients");
        self.handover.successor_serves = true;
        self.handover.successor_was_replaced = false;
        self.send_to_predecessor(SuccessorMessage::Succeeded);
        self.handover.listener = None;
        self.watch_for_clients(false);
        if matches!(self.phase, Phase::Serving | Phase::Starting) {
            self.phase = Phase::Replaced;
        }
    }

    /// Closes the connection to the successor. If the successor was serving and has no successor of its own,
    /// and this process is not leaving, this process accepts clients again, as otherwise none might.
    pub(crate) fn disconnect_successor(&mut self, id: ConnectionId) {
        self.close_connection(id);
        if self.handover.successor != Some(id) {
            return;
        }
        self.handover.successor = None;
        self.handover.successor_has_state = false;
        // After two upgrades in a row the newest process accepts clients, and this one must not do so too.
        if self.handover.successor_was_replaced {
            return;
        }
        if !std::mem::take(&mut self.handover.successor_serves) {
            return info!("the successor disconnected before it served");
        }
        if matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left) {
            return;
        }
        warn!("the successor disconnected: this process accepts clients again");
        if self.phase == Phase::Replaced {
            self.phase = Phase::Serving;
        }
        self.watch_for_clients(true);
        self.listen_for_successor();
        // The predecessor was told that this process is replaced; if this process is lost too, it must accept
        // clients.
        self.send_to_predecessor(SuccessorMessage::Serving);
    }

    /// Hands over all open calls, and the clients that have not opened one yet.
    pub(crate) fn hand_over_calls(&mut self) {
        let open_calls = self.calls.iter().filter(|(_, call)| call.stage == CallStage::Open);
        self.handover.pending_calls = open_calls.map(|(number, _)| CallId(number)).collect();
        let idle = self.sockets.iter().filter(|(_, entry)| entry.role == SocketRole::Client(None));
        self.handover.pending_idle_clients = idle.map(|(number, _)| ConnectionId(number)).collect();
        self.continue_handover();
    }

    /// Hands over one call that was opened, or adopted, after the others were handed over.
    pub(crate) fn hand_over_call(&mut self, call: CallId) {
        self.handover.pending_calls.push_back(call);
        self.continue_handover();
    }

    /// Hands over one client without a call that came after the others were handed over.
    pub(super) fn hand_over_idle_client(&mut self, client: ConnectionId) {
        self.handover.pending_idle_clients.push_back(client);
        self.continue_handover();
    }

    /// Hands over as many connections as fit into the socket; the rest follow once it has room again. Reports
    /// that follow from one may add further ones and enter this function again, so each is taken out of its
    /// queue before it is sent.
    pub(crate) fn continue_handover(&mut self) {
        let Some(id) = self.handover.successor.filter(|_| self.handover.successor_serves) else { return };
        while self.sockets.get(id.0).is_some_and(|entry| entry.connection.unsent() == 0) {
            let Some(connection) = self.handover.take_pending() else { return };
            let result = match connection {
                PendingConnection::Call(call) => self.send_open_call(id, call),
                PendingConnection::IdleClient(client) => self.send_idle_client(id, client),
            };
            match result {
                Ok(()) => {}
                Err(Errno::AGAIN) => {
                    self.handover.put_back_pending(connection);
                    return self.timers.set(self.now + FULL_SOCKET_RETRY_DELAY, TimerEvent::ContinueHandover);
                }
                Err(cause) => {
                    warn!(%cause, "cannot hand over the remaining connections, migrating their clients instead");
                    self.handover.pending_calls.clear();
                    self.handover.pending_idle_clients.clear();
                    return;
                }
            }
        }
    }

    fn send_open_call(&mut self, id: ConnectionId, call: CallId) -> Result<(), Errno> {
        let Some(outgoing) = self.prepare_call(call) else { return Ok(()) };
        let client = self.sockets.get(outgoing.client.0).ok_or(Errno::BADF)?;
        let host = self.sockets.get(outgoing.host_connection.0).ok_or(Errno::BADF)?;
        let sockets = [client.connection.fd.as_fd(), host.connection.fd.as_fd()];
        let unsent = self.send_to_successor(id, &format!("{}\n", outgoing.message), &sockets)?;
        let host = self.release_call(call, &outgoing);
        self.send_text(id, &unsent);
        if let Some(host) = host {
            self.notify_successor(host);
        }
        self.deliver_reports();
        Ok(())
    }

    /// Returns `None` for a call that has to end in this process: if this process has seen one side end, the
    /// successor would never see that end.
    fn prepare_call(&self, call: CallId) -> Option<OutgoingCall> {
        let in_flight = self.calls.get(call.0).filter(|call| call.stage == CallStage::Open)?;
        let client_id = in_flight.client?;
        let attempt = in_flight.attempt.as_ref()?;
        let client = &self.sockets.get(client_id.0)?.connection;
        let host = &self.sockets.get(attempt.connection.0)?.connection;
        if in_flight.final_message.is_some() || !client.is_usable() || !host.is_usable() {
            return None;
        }
        let call = &in_flight.call;
        let handover = CallHandover {
            waiting_for_host_ns: in_flight.awaiting_host_since.map(|start| self.now.since(start).0),
            client_inbox: HexBytes::from(client.inbox.as_slice()),
            client_outbox: HexBytes::from(client.unsent_bytes()),
            group: call.group.map(|group| group.0),
            host: attempt.host.0,
            host_inbox: HexBytes::from(host.inbox.as_slice()),
            host_outbox: HexBytes::from(host.unsent_bytes()),
            client_id: in_flight.client_id.0,
            load: call.load,
            subject: call.subject.map(|subject| subject.0),
            tenant: call.tenant.0,
            class: call.class.0,
            class_name: self.config.names.traffic.get(usize::from(call.class.0)).cloned(),
        };
        Some(OutgoingCall {
            message: PredecessorMessage::Call(Box::new(handover)),
            client: client_id,
            host_connection: attempt.connection,
        })
    }

    /// Removes a call that was handed to the successor without ending its connections. Returns the host where
    /// it is open.
    fn release_call(&mut self, call: CallId, outgoing: &OutgoingCall) -> Option<HostId> {
        self.abandon_connection(outgoing.client);
        self.abandon_connection(outgoing.host_connection);
        let attempt = self.forget_call(call)?.attempt?;
        self.attempts_out -= 1;
        self.hosts.connection_closed(attempt.host, call);
        let outcome = AttemptOutcome::Canceled;
        self.report_attempt_end(AttemptEnd { call, attempt: attempt.number, outcome, is_final: true });
        Some(attempt.host)
    }

    fn send_idle_client(&mut self, id: ConnectionId, client: ConnectionId) -> Result<(), Errno> {
        let Some(entry) = self.sockets.get(client.0) else { return Ok(()) };
        let connection = &entry.connection;
        let is_idle = entry.role == SocketRole::Client(None);
        if !is_idle || !connection.is_usable() || connection.unsent() > 0 {
            return Ok(());
        }
        let message = PredecessorMessage::IdleClient(HexBytes::from(connection.inbox.as_slice()));
        let unsent = self.send_to_successor(id, &format!("{message}\n"), &[connection.fd.as_fd()])?;
        self.abandon_connection(client);
        self.send_text(id, &unsent);
        Ok(())
    }

    /// Sends text with the sockets that belong to it, and returns the part that did not fit.
    fn send_to_successor(
        &self,
        id: ConnectionId,
        text: &str,
        sockets: &[BorrowedFd<'_>],
    ) -> Result<String, Errno> {
        let entry = self.sockets.get(id.0).ok_or(Errno::PIPE)?;
        let sent = send_with_sockets(&entry.connection.fd, text, sockets)?;
        Ok(text[sent..].to_owned())
    }

    /// Reports to the successor a changed number of connections to a host.
    pub(crate) fn notify_successor(&mut self, host: HostId) {
        let Some(id) = self.handover.successor.filter(|_| self.handover.successor_has_state) else { return };
        let connections = self.hosts.open_call_count(host) as u32;
        let open_connections = PredecessorMessage::OpenConnections { host, connections };
        let descriptors = PredecessorMessage::Descriptors(self.descriptors());
        self.send_text(id, &format!("{open_connections}\n{descriptors}\n"));
    }
}
