//! Clients, as the front deals them out: how a connection begins, what is answered, and what they send on.

use std::os::fd::OwnedFd;

use glendeck::domain::{AttemptOutcome, Call, CallId, Span, Time};
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use tracing::{debug, warn};

use crate::call::{CallStage, InFlightCall};
use crate::connection::{Connection, Got, MUCH, Peer};
use crate::lifecycle::Phase;
use crate::metrics::Outcome;
use crate::protocol::{self, Answer, ClientMessage, OpenRequest};
use crate::reactor::Flags;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};
use crate::takeover::Kept;
use crate::timers::TimerEvent;

/// Kept back of a client's time: the answer's way to it, and what a busy core adds.
const MARGIN: Span = Span::ms(20);

/// So long a connection from before may take to be up at its host again; then its client is better off anew.
const RETURN: Span = Span::ms(10_000);

/// A connection that has not opened so long after it came, or after its last PING, is no client and holds a
/// descriptor. Usual clients speak at once; others are owed an error or a close within 3 s.
pub const FIRST_LINE: Span = Span::ms(2_000);

/// Where descriptors are short, what is of no use to a call stays this long at least: usual clients were seen
/// to speak within 5 ms, and to read their last words as fast; ten times that for a busy core.
const IDLE: Span = Span::ms(50);

/// What a closing connection may still send before it is cut off: more than clients have under way at a time.
const DISCARD: usize = 64 << 10;

/// While accepting fails, the system is asked again after this: soon, but without spinning.
pub const ACCEPT_AGAIN: Span = Span::ms(20);

/// Connections accepted in one turn; the open ones must not wait for a whole burst.
const ACCEPTS: usize = 64;

/// Descriptors kept free of calls: half for new connections, which may only get to hear BUSY, half for the attempts
/// of those that are served, for probes and the list.
const RESERVE: usize = 16;

/// Clients turned away for want of descriptors come back after this, where clients are told a time.
const COME_BACK: Span = Span::ms(500);

/// While a connection ends, its client may still be reading this long.
const LINGER: Span = Span::ms(1_000);

/// The same while descriptors are short: a round trip and a busy core.
const LINGER_TIGHT: Span = Span::ms(100);

impl Service {
    /// Whether all that had come was taken.
    pub fn accept(&mut self) -> bool {
        // Danger: when the last of a queue was taken no event tells so, and whoever comes next would be in_flight to have waited
        // since. While connections wait this is called again within that pause.
        if self.queued_since.is_some() && self.now.since(self.queued_at) > ACCEPT_AGAIN.times(2.0) {
            self.queued_since = None;
        }
        self.queued_at = self.now;
        for _ in 0..ACCEPTS {
            if !self.make_room(RESERVE / 2 + 1) {
                self.accept_later();
                return false;
            }
            let Some(listener) = &self.listener else { return true };
            match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    let id = self.take_client(fd, Vec::new());
                    if let Some(socket) = id.and_then(|id| self.sockets.get_mut(id.0)) {
                        socket.queued_since = self.queued_since;
                    }
                }
                Err(Errno::AGAIN) => {
                    self.queued_since = None;
                    return true;
                }
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(fault) => {
                    warn!(%fault, "cannot accept");
                    self.accept_later();
                    return false;
                }
            }
        }
        self.queued_since.get_or_insert(self.now);
        false
    }

    /// A client that has not opened anything, with what has come from it.
    pub fn take_client(&mut self, fd: OwnedFd, inbox: Vec<u8>) -> Option<ConnectionId> {
        let mut connection = Connection::new(fd, false);
        connection.inbox = inbox;
        let id = self.add_connection(connection, SocketRole::Client(None))?;
        self.timers.set(self.now + FIRST_LINE, TimerEvent::FirstLineTimeout(id));
        self.note_idle(id);
        Some(id)
    }

    /// Ends a connection that has opened nothing. Danger: its line may have come in this very moment: it is read first, and
    /// whoever opens has an answer.
    pub fn end_idle(&mut self, id: ConnectionId) {
        self.readable(id, Flags::IN);
        let leaves = self.phase == Phase::Flushing;
        let quiet = |socket: &SocketEntry| leaves || self.now.since(socket.quiet_since) >= FIRST_LINE;
        if self
            .sockets
            .get(id.0)
            .is_some_and(|socket| socket.role == SocketRole::Client(None) && quiet(socket))
        {
            self.last_words(id, b"");
        }
    }

    /// Danger: connections by the hundred that say nothing, or ask for PONG and stay, or linger after their
    /// answer, take every descriptor, and usual clients wait unaccepted. When so many are not free, the
    /// longest idle go.
    fn make_room(&mut self, free: usize) -> bool {
        while self.descriptors() + free > self.config.descriptors {
            let Some((since, id)) = self.idle.front().copied() else { return false };
            if self.is_idle(since, id) {
                if self.now.since(since) < IDLE {
                    return false;
                }
                // Danger: a line that lies there unread is a call by now, and an answer that has not gone is owed.
                let of_use = |socket: &SocketEntry| {
                    let asks =
                        socket.role == SocketRole::Client(None) && socket.connection.peer() == Peer::Spoke;
                    asks || socket.connection.unsent() > 0
                };
                if !self.sockets.get(id.0).is_some_and(of_use) {
                    self.close_connection(id);
                }
            }
            self.idle.pop_front();
        }
        true
    }

    fn note_idle(&mut self, id: ConnectionId) {
        // What has left its idleness meanwhile is taken out now and then, or one that stays would keep all.
        if self.idle.len() > 2 * self.config.descriptors {
            let mut idle = std::mem::take(&mut self.idle);
            idle.retain(|(since, id)| self.is_idle(*since, *id));
            self.idle = idle;
        }
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.idle_since = self.now;
            self.idle.push_back((self.now, id));
        }
    }

    fn is_idle(&self, since: Time, id: ConnectionId) -> bool {
        let idle =
            |socket: &SocketEntry| matches!(socket.role, SocketRole::Client(None) | SocketRole::Closing);
        self.sockets.get(id.0).is_some_and(|socket| idle(socket) && socket.idle_since == since)
    }

    /// Danger: the listening socket stays ready while nothing can be accepted, and the loop would spin.
    fn accept_later(&mut self) {
        self.queued_since.get_or_insert(self.now);
        self.listen_for(false);
        self.timers.set(self.now + ACCEPT_AGAIN, TimerEvent::RetryAccept);
    }

    pub fn client_came(&mut self, id: ConnectionId, call: Option<CallId>, got: Got) {
        let bytes = match got {
            Got::NothingYet => return,
            Got::End => return self.client_left(id, call, false),
            Got::Bytes(n) => n,
        };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.connection.inbox.extend_from_slice(&self.scratch[..bytes]);
        // Danger: what was accepted late is not fresh: its client has waited all the while.
        let queued = socket.queued_since.take().filter(|_| self.now.since(socket.idle_since) < IDLE);
        match call {
            None => self.first_lines(id, queued.unwrap_or(self.now)),
            Some(call) => self.relay_to_host(id, call),
        }
    }

    fn first_lines(&mut self, id: ConnectionId, said_at: Time) {
        let yes = self.takes_clients();
        while let Some(socket) = self.sockets.get_mut(id.0) {
            let Some(length) = protocol::first_line_length(&socket.connection.inbox) else {
                if socket.connection.inbox.len() >= protocol::MAX_LINE_LENGTH {
                    debug!("a client's line is too long");
                    self.answer_conn(id, Answer::Error);
                }
                return;
            };
            let said: Vec<u8> = socket.connection.inbox.drain(..length).collect();
            // Danger: a client waits after its line; one that sends hundreds at once, or goes on before a
            // host has it, would have hosts work for what they then turn away.
            if !socket.connection.inbox.is_empty() {
                debug!("a client did not wait for its answer");
                return self.answer_conn(id, Answer::Error);
            }
            match ClientMessage::parse(said, &self.config.names) {
                Ok(ClientMessage::Ping) => {
                    let pong = if yes { Answer::Pong } else { Answer::Error };
                    pong.encode(&mut socket.connection.outbox);
                    self.timers.set(self.now + FIRST_LINE, TimerEvent::FirstLineTimeout(id));
                    socket.quiet_since = self.now;
                    self.pump(id);
                }
                Ok(ClientMessage::Open(opening)) => return self.take_call(id, said_at, opening),
                Err(fault) => {
                    debug!(%fault, "a client's first line");
                    return self.answer_conn(id, Answer::Error);
                }
            }
        }
    }

    fn take_call(&mut self, id: ConnectionId, said_at: Time, opening: OpenRequest) {
        // Danger: two connections of one id are one call to the hosts, and the owner's would be disturbed.
        if self.ids.contains(&opening.id) {
            debug!("a client's id is open already");
            self.metrics.count(opening.traffic, Outcome::Failure);
            return self.answer_conn(id, Answer::Error);
        }
        let leaving = matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing) && !self.takes_clients();
        if leaving || !self.has_room() {
            let retry_after = self.config.settings.retry_after.map(|most| most.min(COME_BACK));
            debug!(leaving, "busy");
            self.metrics.count(opening.traffic, Outcome::Busy);
            return self.answer_conn(id, Answer::Busy(retry_after));
        }
        self.ids.insert(opening.id);
        let work = self.work_of(&opening);
        let looks = work.is_some() && self.is_repeat(&opening);
        let returning = opening.is_returning();
        let OpenRequest {
            id: client,
            traffic,
            tenant,
            subject,
            group,
            wait,
            load,
            previous_host: at,
            line,
            ..
        } = opening;
        let most = if at.is_some() { wait.min(RETURN) } else { wait };
        let guard = said_at + most - MARGIN.min(most.times(0.5));
        let mid_flow = false;
        let before = None;
        let call =
            Call { id: CallId(0), traffic, tenant, subject, group, guard, load, returning, mid_flow, before };
        let stage = if at.is_some() { CallStage::Returning } else { CallStage::Waiting };
        let in_flight = InFlightCall::new(client, id, line, call, stage, at);
        let number = CallId(self.calls.insert(in_flight));
        let Some(in_flight) = self.calls.get_mut(number.0) else { return };
        in_flight.call.id = number;
        in_flight.kept = work.map(|work| Kept { work, looks, ran: None });
        let call = in_flight.call;
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.role = SocketRole::Client(Some(number));
        }
        let about = subject.map_or(0, |subject| subject.0);
        debug!(call = number.0, id = %format_args!("{:016x}", client.0), about = %format_args!("{about:x}"), group = group.map_or(0, |group| group.0), traffic = traffic.0, returning, at = ?at.map(|at| at.0), "call");
        if at.is_some() {
            self.return_to_host(number);
        } else if looks {
            self.look_first(number);
        } else {
            let now = self.now;
            self.tell(|node, port| node.call_arrived(now, call, port));
        }
    }

    /// Whether a probe may have a descriptor: what calls and the list need stays free.
    pub fn has_room_for_probe(&self) -> bool {
        self.descriptors() + RESERVE / 2 < self.config.descriptors
    }

    /// Danger: in a burst, connections that have not asked yet fill the table, and all would be turned away
    /// though many could be served. What counts is what the calls in hand need; and one must be free now.
    fn has_room(&mut self) -> bool {
        self.committed() + 2 + RESERVE <= self.config.descriptors && self.make_room(2)
    }

    /// The call's one answer, when no host gave it.
    pub fn answer_call(&mut self, id: CallId, answer: Answer) {
        if let Some(in_flight) = self.calls.get_mut(id.0) {
            let busy = matches!(answer, Answer::Busy(_));
            in_flight.outcome = Some(if busy { Outcome::Busy } else { Outcome::Failure });
        }
        let Some(in_flight) = self.forget_call(id) else { return };
        if let Some(client) = in_flight.client {
            self.answer_conn(client, answer);
        }
    }

    pub fn answer_conn(&mut self, id: ConnectionId, answer: Answer) {
        let mut words = Vec::new();
        answer.encode(&mut words);
        self.last_words(id, &words);
    }

    /// Danger: closing with input unread resets the connection and can eat the answer. What is to be said is
    /// flushed, sending ended, and what still comes read for a while before the close.
    pub fn last_words(&mut self, id: ConnectionId, words: &[u8]) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.role = SocketRole::Closing;
        socket.connection.outbox.extend_from_slice(words);
        socket.connection.inbox = Vec::new();
        socket.connection.paused = false;
        socket.connection.finish = true;
        // Danger: clients that were turned away for want of descriptors hold just these.
        let tight = self.descriptors() + 2 * RESERVE > self.config.descriptors;
        self.timers.set(self.now + if tight { LINGER_TIGHT } else { LINGER }, TimerEvent::ClosingTimeout(id));
        self.note_idle(id);
        self.pump(id);
    }

    pub fn closing_came(&mut self, id: ConnectionId) {
        // Danger: one that sends on at full speed would take the core for as long as it lingers.
        if self
            .sockets
            .get(id.0)
            .is_some_and(|socket| socket.connection.is_over() || socket.connection.discarded > DISCARD)
        {
            self.close_connection(id);
        }
    }

    /// The client has ended its side, or reset it.
    pub fn client_left(&mut self, id: ConnectionId, call: Option<CallId>, broke: bool) {
        let Some(call) = call else { return self.close_connection(id) };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return self.close_connection(id) };
        match in_flight.stage {
            CallStage::Waiting | CallStage::Returning => {
                in_flight.client = None;
                self.close_connection(id);
                self.give_up_call(call);
            }
            CallStage::Open if !broke => {
                in_flight.stage = CallStage::HalfClosed;
                if let Some(host) = in_flight.attempt.as_ref().map(|attempt| attempt.connection) {
                    if let Some(socket) = self.sockets.get_mut(host.0) {
                        socket.connection.finish = true;
                    }
                    self.pump(host);
                }
                self.watch_connection(id);
                self.timers.set(self.now + LINGER, TimerEvent::HalfClosedTimeout(call));
            }
            CallStage::HalfClosed if !broke => {}
            CallStage::Open | CallStage::HalfClosed => {
                in_flight.client = None;
                self.close_connection(id);
                self.close_attempt(call, AttemptOutcome::Canceled, true);
            }
        }
        self.settle();
    }

    /// The one check that a call's client is there, made wherever something new would go to a host for it. Danger: its
    /// end may lie in the socket behind its line, unread while the node was slow or the client unaccepted, and
    /// while its call waited; hosts would work for nobody. One that spoke on did not wait for its answer.
    pub fn client_waits(&mut self, call: CallId) -> bool {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return false };
        let Some(client) = in_flight.client else { return false };
        let peer = self.sockets.get(client.0).map_or(Peer::Gone, |socket| socket.connection.peer());
        if peer == Peer::Waits {
            return true;
        }
        debug!(call = call.0, ?peer, "its client does not wait");
        in_flight.client = None;
        match peer {
            Peer::Spoke => self.answer_conn(client, Answer::Error),
            _ => self.close_connection(client),
        }
        false
    }

    fn give_up_call(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        if in_flight.stage == CallStage::Returning {
            let connection = in_flight.attempt.as_ref().map(|attempt| attempt.connection);
            self.forget_call(call);
            if let Some(connection) = connection {
                self.attempts_out -= 1;
                self.close_connection(connection);
            }
            return;
        }
        let now = self.now;
        self.tell(|node, port| node.client_left(now, call, port));
        if self.calls.get(call.0).is_some_and(|in_flight| in_flight.attempt.is_none()) {
            self.forget_call(call);
        }
    }

    /// The host did not end its side after the client had: the connection is over all the same.
    pub fn linger_over(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(client) = in_flight.client.take() {
            self.last_words(client, b"");
        }
        self.close_attempt(call, AttemptOutcome::Canceled, true);
        self.settle();
    }

    pub fn relay_to_host(&mut self, id: ConnectionId, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let open = in_flight.stage.is_established();
        let Some(host) = in_flight.attempt.as_ref().map(|attempt| attempt.connection).filter(|_| open) else {
            debug!(call = call.0, "a client did not wait for its host");
            in_flight.client = None;
            self.answer_conn(id, Answer::Error);
            self.give_up_call(call);
            return self.settle();
        };
        let length = protocol::complete_lines_length(&socket.connection.inbox);
        if socket.connection.inbox.len() - length >= protocol::MAX_LINE_LENGTH {
            debug!("a client's line is too long");
            return self.client_left(id, Some(call), true);
        }
        let mut full = false;
        if length > 0 {
            if let Some(to) = self.sockets.get_mut(host.0) {
                let Some(in_flight) = self.calls.get_mut(call.0) else { return };
                if let Some(at) = Self::note_asked(in_flight, self.now) {
                    self.timers.set(at, TimerEvent::HostSilence(call));
                }
                let mut said = Vec::new();
                std::mem::swap(&mut said, &mut to.connection.outbox);
                if let Some(from) = self.sockets.get_mut(id.0) {
                    said.extend_from_slice(&from.connection.inbox[..length]);
                    from.connection.inbox.drain(..length);
                }
                if let Some(to) = self.sockets.get_mut(host.0) {
                    to.connection.outbox = said;
                }
            }
            self.pump(host);
            full = self.sockets.get(host.0).is_some_and(|to| to.connection.unsent() > MUCH);
        }
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.connection.paused = full;
        }
        self.watch_connection(id);
    }
}
