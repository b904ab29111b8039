//! Hosts: where they are, the attempts out to them and what they say.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use glendeck::domain::{
    AttemptNumber, AttemptOutcome, CallId, Condition, Endpoint, HostId, ListUpdate, News, Span, Time,
};
use rustc_hash::FxHashMap;
use rustix::io::Errno;
use tracing::{debug, warn};

use crate::call::{Attempt, AttemptEnd, CallStage, InFlightCall};
use crate::connection::{Connection, Got, MUCH};
use crate::endpoint_list::EndpointListUpdate;
use crate::metrics::Outcome;
use crate::protocol::{self, Answer, HostMessage};
use crate::service::Service;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};
use crate::timers::TimerEvent;

/// How long a host may bring nothing back on a connection that asked it something. A host that is well
/// answers within milliseconds, however crowded; this leaves room for TCP to send again three times (after 0.2,
/// 0.4 and 0.8 s). Clients speak every 2 s: a vanished host's are sent away within 4 s, of the 7 allowed.
const SILENCE: Span = Span::ms(2_000);

/// A probe is answered at once or the host is not well.
const PROBE_LIMIT: Span = Span::ms(500);

/// Clients of a leaving host go one by one within this time: little enough for the shortest drain.
pub const SEND_AWAY: Span = Span::ms(1_000);

/// A connection that was open before is tried again so soon where its host could not be reached.
const AGAIN: Span = Span::ms(250);

struct Known {
    address: SocketAddr,
    condition: Condition,
    /// What the list said of it last.
    listed: Option<Endpoint>,
    /// Calls whose connection is open there.
    open: BTreeSet<CallId>,
}

/// Hosts by their numbers, and those that the fleet wants out.
#[derive(Default)]
pub struct HostTable(FxHashMap<HostId, Known>, BTreeSet<HostId>);

impl HostTable {
    /// Takes in what was told, and hands back which hosts with open connections are to be left now.
    pub fn learn(&mut self, told: &EndpointListUpdate) -> Vec<HostId> {
        for (host, address) in &told.addresses {
            let (address, condition) = (*address, Condition::Ready);
            let empty = Known { address, condition, listed: None, open: BTreeSet::new() };
            let known = self.0.entry(*host).or_insert(empty);
            known.address = address;
        }
        let mut left = Vec::new();
        for line in &told.lines {
            let Some(known) = self.0.get_mut(&line.host) else { continue };
            if line.condition == Condition::Draining && known.condition == Condition::Ready {
                left.push(line.host);
            }
            known.condition = line.condition;
            known.listed = Some(*line);
        }
        if told.update == ListUpdate::Complete {
            let listed: BTreeSet<HostId> = told.lines.iter().map(|line| line.host).collect();
            for (_, known) in self.0.iter_mut().filter(|(host, _)| !listed.contains(host)) {
                known.condition = Condition::Gone;
            }
        }
        left
    }

    /// What the decisions are told of a line: a host that the fleet wants out drains, whatever the list says.
    pub fn overlaid(&self, line: &Endpoint) -> Endpoint {
        let out = line.condition == Condition::Ready && self.1.contains(&line.host);
        Endpoint { condition: if out { Condition::Draining } else { line.condition }, ..*line }
    }

    /// Takes in whom the fleet wants out, and hands back the lines that mean something else now.
    pub fn keep_from(&mut self, hosts: BTreeSet<HostId>) -> Vec<Endpoint> {
        let before = std::mem::replace(&mut self.1, hosts);
        let changed = before.symmetric_difference(&self.1);
        changed.filter_map(|host| self.0.get(host)?.listed).map(|line| self.overlaid(&line)).collect()
    }

    /// A connection that stands at a host which the fleet wants out, if there is one.
    pub fn next_eased(&self) -> Option<CallId> {
        let open = self.1.iter().filter_map(|host| self.0.get(host)?.open.first());
        open.copied().next()
    }

    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.0.get(&host).map(|known| known.address)
    }

    pub fn any_ready(&self) -> bool {
        self.0.values().any(|known| known.condition == Condition::Ready)
    }

    /// The hosts in the list.
    pub fn listed(&self) -> impl Iterator<Item = HostId> {
        self.0.iter().filter(|(_, known)| known.condition != Condition::Gone).map(|(host, _)| *host)
    }

    /// The list as it is known now.
    pub fn told(&self, index: u64) -> EndpointListUpdate {
        let listed = self.0.values().filter(|known| known.condition != Condition::Gone);
        let lines: Vec<(Endpoint, SocketAddr)> =
            listed.filter_map(|known| Some((known.listed?, known.address))).collect();
        let addresses = lines.iter().map(|(line, address)| (line.host, *address)).collect();
        let lines = lines.into_iter().map(|(line, _)| line).collect();
        EndpointListUpdate { index, update: ListUpdate::Complete, lines, addresses }
    }

    pub fn open_at(&self, host: HostId) -> usize {
        self.0.get(&host).map_or(0, |known| known.open.len())
    }

    pub fn is_leaving(&self, host: HostId) -> bool {
        self.0.get(&host).is_some_and(|known| known.condition == Condition::Draining)
    }

    /// Whether something new may go there now.
    pub fn is_ready(&self, host: HostId) -> bool {
        let known = self.0.get(&host);
        known.is_some_and(|known| known.condition == Condition::Ready) && !self.1.contains(&host)
    }

    pub fn opened(&mut self, host: HostId, call: CallId) {
        if let Some(known) = self.0.get_mut(&host) {
            known.open.insert(call);
        }
    }

    pub fn closed(&mut self, host: HostId, call: CallId) {
        if let Some(known) = self.0.get_mut(&host) {
            known.open.remove(&call);
        }
    }
}

impl Service {
    /// Opens the connection of an attempt; what becomes of it is told later.
    pub fn open_attempt(&mut self, id: CallId, host: HostId, within: Span) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        let no = AttemptNumber(in_flight.attempt_count);
        in_flight.attempt_count += 1;
        if !self.client_waits(id) {
            return self.ended.push_back(AttemptEnd {
                call: id,
                attempt: no,
                outcome: AttemptOutcome::NeverSent,
                is_final: true,
            });
        }
        let limit = self.now + within;
        let connection = self.hosts.address(host).ok_or(Errno::ADDRNOTAVAIL).and_then(Connection::connect);
        let connection = match connection
            .and_then(|connection| self.add_connection(connection, SocketRole::Host(id)).ok_or(Errno::MFILE))
        {
            Ok(connection) => connection,
            Err(fault) => {
                // Danger: a want of descriptors here would make every host look bad.
                let ours = matches!(fault, Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM);
                let outcome = if ours { AttemptOutcome::NeverSent } else { AttemptOutcome::Unreachable };
                return self.ended.push_back(AttemptEnd { call: id, attempt: no, outcome, is_final: false });
            }
        };
        self.attempts_out += 1;
        if let Some(in_flight) = self.calls.get_mut(id.0) {
            let (opened_at, may_send) = (self.now, in_flight.kept.is_none());
            in_flight.attempt = Some(Attempt {
                number: no,
                host,
                connection,
                opened_at,
                deadline: limit,
                may_send,
                is_line_queued: false,
                is_line_sent: false,
            });
        }
        self.ask_to_keep(id);
        debug!(call = id.0, attempt = no.0, host = host.0, within_ms = within.0 / 1_000_000, "leg");
        self.timers.set(limit, TimerEvent::AttemptTimeout(id, no));
        // A connection that is not up by the limit for that never will be.
        if self.config.connect_limit < within {
            self.timers.set(self.now + self.config.connect_limit, TimerEvent::ConnectTimeout(id, no));
        }
        self.attempt_connected(connection);
    }

    /// Writes the client's line once the connection is up, with the time that is left.
    pub fn attempt_connected(&mut self, id: ConnectionId) {
        let Some(SocketRole::Host(call)) = self.role(id) else { return };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        if let Some(attempt) = &mut in_flight.attempt
            && !socket.connection.connecting
            && attempt.may_send
            && !attempt.is_line_queued
        {
            // Danger: a connection that comes up late, or an intent that is kept late, would send something new to a host
            // that has begun to drain since the attempt was decided on. One that was open there before belongs there.
            let closed = in_flight.stage == CallStage::Waiting && !self.hosts.is_ready(attempt.host);
            if closed || !self.client_waits(call) {
                self.end_attempt(call, AttemptOutcome::NeverSent, None);
                return self.settle();
            }
            self.send_line(id, call);
        }
        self.pump(id);
    }

    fn send_line(&mut self, id: ConnectionId, call: CallId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(attempt) = &mut in_flight.attempt else { return };
        attempt.is_line_queued = true;
        let left = attempt.deadline.since(self.now);
        in_flight.line.encode(left, &mut socket.connection.outbox);
    }

    /// Notes when the last byte of the line has gone: before that the host never ran it, after that it may have.
    pub fn note_line_gone(&mut self, call: CallId) {
        let Some(attempt) = self.calls.get_mut(call.0).and_then(|in_flight| in_flight.attempt.as_mut())
        else {
            return;
        };
        let gone = |socket: &SocketEntry| socket.connection.unsent() == 0 && !socket.connection.broken;
        if attempt.is_line_queued
            && !attempt.is_line_sent
            && self.sockets.get(attempt.connection.0).is_some_and(gone)
        {
            attempt.is_line_sent = true;
            self.metrics.attempts += 1;
        }
    }

    pub fn attempt_deadline(&mut self, id: CallId, no: AttemptNumber, connecting_only: bool) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        let Some(attempt) = in_flight.attempt.as_ref().filter(|attempt| attempt.number == no) else { return };
        if in_flight.stage.is_established() {
            return;
        }
        // A number may be given twice, to an attempt that never went and to one that did.
        let due =
            if connecting_only { attempt.opened_at + self.config.connect_limit } else { attempt.deadline };
        if self.now < due {
            return;
        }
        let connecting =
            self.sockets.get(attempt.connection.0).is_some_and(|socket| socket.connection.connecting);
        if connecting || !connecting_only {
            let outcome =
                if attempt.is_line_sent { AttemptOutcome::TimedOut } else { AttemptOutcome::Unreachable };
            self.end_attempt(id, outcome, None);
        }
    }

    /// The attempt of a call that is not open has ended; `answer` is what the client gets of it, if it is final.
    pub fn end_attempt(&mut self, id: CallId, outcome: AttemptOutcome, answer: Option<&[u8]>) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        let Some(attempt) = in_flight.attempt.take() else { return };
        if let Some(kept) = in_flight.kept.as_mut().filter(|_| attempt.is_line_queued && !outcome.never_ran())
        {
            kept.ran.get_or_insert((attempt.host, attempt.opened_at));
        }
        debug!(call = id.0, attempt = attempt.number.0, host = attempt.host.0, ?outcome, "leg ended");
        self.attempts_out -= 1;
        if in_flight.stage == CallStage::Returning {
            // Nothing was decided of this one: it belongs where it was.
            if outcome.never_ran() && in_flight.call.guard > self.now + AGAIN {
                self.timers.set(self.now + AGAIN, TimerEvent::RetryReturn(id));
            } else {
                self.answer_call(id, if outcome.never_ran() { Answer::Busy(None) } else { Answer::Error });
            }
            return self.close_connection(attempt.connection);
        }
        let client = if answer.is_some() { in_flight.client.take() } else { in_flight.client };
        let last = answer.is_some() || client.is_none();
        if let (Some(answer), Some(client)) = (answer, client) {
            let answer = answer.to_vec();
            self.last_words(client, &answer);
        }
        self.close_connection(attempt.connection);
        self.ended.push_back(AttemptEnd { call: id, attempt: attempt.number, outcome, is_final: last });
    }

    pub fn return_to_host(&mut self, id: CallId) {
        let Some(InFlightCall {
            stage: CallStage::Returning,
            attempt: None,
            call,
            previous_host: Some(host),
            ..
        }) = self.calls.get(id.0)
        else {
            return;
        };
        let (host, left) = (*host, call.guard.since(self.now));
        if !self.client_waits(id) {
            self.forget_call(id);
            return;
        }
        let before = self.ended.len();
        self.open_attempt(id, host, left);
        if self.ended.len() > before {
            // It could not even begin.
            self.ended.pop_back();
            let Some(in_flight) = self.calls.get(id.0) else { return };
            if in_flight.call.guard > self.now + AGAIN {
                self.timers.set(self.now + AGAIN, TimerEvent::RetryReturn(id));
            } else {
                self.answer_call(id, Answer::Busy(None));
            }
        }
    }

    pub fn cancel_attempt(&mut self, id: CallId, no: AttemptNumber) {
        let Some(in_flight) = self.calls.get(id.0) else { return };
        let out = in_flight.attempt.as_ref().is_some_and(|attempt| attempt.number == no);
        if out && !in_flight.stage.is_established() {
            self.end_attempt(id, AttemptOutcome::Canceled, None);
        }
    }

    /// The host's connection broke, or never came up.
    pub fn host_lost(&mut self, call: CallId) {
        let Some(in_flight) = self.calls.get(call.0) else { return };
        let Some(attempt) = &in_flight.attempt else { return };
        match in_flight.stage {
            CallStage::Open | CallStage::HalfClosed => self.host_ended(call, true),
            _ => {
                let outcome =
                    if attempt.is_line_sent { AttemptOutcome::Broken } else { AttemptOutcome::Unreachable };
                self.end_attempt(call, outcome, None);
            }
        }
        self.settle();
    }

    pub fn host_came(&mut self, id: ConnectionId, call: CallId, got: Got) {
        match got {
            Got::NothingYet => {}
            Got::Bytes(n) => {
                let Some(socket) = self.sockets.get_mut(id.0) else { return };
                socket.connection.inbox.extend_from_slice(&self.scratch[..n]);
                self.host_lines(id, call);
            }
            Got::End => match self.calls.get(call.0).map(|in_flight| in_flight.stage) {
                Some(CallStage::Open | CallStage::HalfClosed) => {
                    self.host_ended(call, false);
                    self.settle();
                }
                _ => self.host_lost(call),
            },
        }
    }

    /// Goes through the whole lines that the host has sent.
    fn host_lines(&mut self, id: ConnectionId, call: CallId) {
        while let Some(in_flight) = self.calls.get(call.0) {
            let Some(socket) = self.sockets.get(id.0) else { return };
            if in_flight.stage.is_established() {
                self.relay_to_client(id, call);
                return;
            }
            let Some(length) = protocol::first_line_length(&socket.connection.inbox) else {
                if socket.connection.inbox.len() >= protocol::MAX_LINE_LENGTH {
                    warn!("a host sent a line that is too long");
                    self.end_attempt(call, AttemptOutcome::Error, None);
                    self.settle();
                }
                return;
            };
            let Some(socket) = self.sockets.get_mut(id.0) else { return };
            let said: Vec<u8> = socket.connection.inbox.drain(..length).collect();
            match HostMessage::parse(&said) {
                HostMessage::Up => self.attempt_open(id, call, &said),
                HostMessage::Load(load) => self.tell_load(call, load),
                HostMessage::Bye => self.end_attempt(call, AttemptOutcome::Completed, Some(&said)),
                HostMessage::Move => self.end_attempt(call, AttemptOutcome::Canceled, None),
                HostMessage::Busy => self.end_attempt(call, AttemptOutcome::Rejected, None),
                HostMessage::Error => self.end_attempt(call, AttemptOutcome::Error, None),
                HostMessage::Pong | HostMessage::Other => {
                    warn!(said = %String::from_utf8_lossy(&said).trim_end(), "a host said something unknown");
                    self.end_attempt(call, AttemptOutcome::Error, None);
                }
            }
            self.settle();
        }
    }

    fn tell_load(&mut self, call: CallId, load: f64) {
        let Some(attempt) = self.calls.get(call.0).and_then(|in_flight| in_flight.attempt.as_ref()) else {
            return;
        };
        let (no, now) = (attempt.number, self.now);
        self.tell(|node, port| node.attempt_report(now, call, no, News::Load(load), port));
    }

    /// The host's `UP`: from now on the connection is the client's and the host's.
    fn attempt_open(&mut self, id: ConnectionId, call: CallId, said: &[u8]) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let (Some(client), Some(attempt)) = (in_flight.client, &in_flight.attempt) else {
            // The client has gone meanwhile, and the attempt could not be recalled.
            return self.end_attempt(call, AttemptOutcome::Canceled, None);
        };
        let returning = in_flight.stage == CallStage::Returning;
        in_flight.stage = CallStage::Open;
        if let Some(mut kept) = in_flight.kept.take() {
            // It runs there. Its answer goes out now; whoever comes again with it has not heard that.
            kept.ran.get_or_insert((attempt.host, attempt.opened_at));
            self.work_ended(call, Some(&kept));
        }
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(attempt) = &in_flight.attempt else { return };
        self.metrics.count(in_flight.call.traffic, Outcome::Success);
        let (no, host, took, of) =
            (attempt.number, attempt.host, self.now.since(attempt.opened_at), in_flight.call);
        debug!(call = call.0, attempt = no.0, host = host.0, took_ms = took.0 / 1_000_000, "up");
        if let Some(socket) = self.sockets.get_mut(client.0) {
            socket.connection.outbox.extend_from_slice(said);
        }
        self.pump(client);
        self.hosts.opened(host, call);
        self.notify_successor(host);
        let now = self.now;
        if returning {
            self.tell(|node, _| node.existing_connection(now, of, host));
        } else {
            self.tell(|node, port| node.attempt_established(now, call, no, took, port));
        }
        if self.hosts.is_leaving(host) {
            self.timers.set(now + SEND_AWAY, TimerEvent::Migrate(call));
        }
        self.relay_to_client(id, call);
        self.move_before_leaving(call);
    }

    fn relay_to_client(&mut self, id: ConnectionId, call: CallId) {
        let Some(in_flight) = self.calls.get_mut(call.0) else { return };
        let Some(client) = in_flight.client else { return };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let length = protocol::complete_lines_length(&socket.connection.inbox);
        if socket.connection.inbox.len() - length >= protocol::MAX_LINE_LENGTH {
            warn!("a host sent a line that is too long");
            self.host_ended(call, true);
            return self.settle();
        }
        if length == 0 {
            return;
        }
        let mut said = std::mem::take(&mut socket.connection.inbox);
        if let Some(asked) = in_flight.awaiting_host_since.take() {
            tracing::trace!(call = call.0, took_us = self.now.since(asked).0 / 1000, "answered");
        }
        let mut load = None;
        for line in said[..length].split_inclusive(|byte| *byte == b'\n') {
            match HostMessage::parse(line) {
                HostMessage::Load(now) => load = Some(now),
                word @ (HostMessage::Bye | HostMessage::Move) => in_flight.final_message = Some(word),
                _ => {}
            }
        }
        let mut full = false;
        if let Some(to) = self.sockets.get_mut(client.0) {
            to.connection.outbox.extend_from_slice(&said[..length]);
        }
        self.pump(client);
        if let Some(to) = self.sockets.get(client.0) {
            full = to.connection.unsent() > MUCH;
        }
        said.drain(..length);
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.connection.inbox = said;
            socket.connection.paused = full;
        }
        self.watch_connection(id);
        if let Some(load) = load {
            self.tell_load(call, load);
        }
    }

    /// The host's side of an open connection has ended: so does the client's, in the same way.
    pub fn host_ended(&mut self, id: CallId, broke: bool) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        let outcome = match (in_flight.final_message, in_flight.stage) {
            (Some(HostMessage::Bye), _) => AttemptOutcome::Completed,
            (Some(HostMessage::Move), _) | (_, CallStage::HalfClosed) => AttemptOutcome::Canceled,
            _ => AttemptOutcome::Broken,
        };
        let (client, spoke) = (in_flight.client.take(), in_flight.final_message.is_some());
        self.close_attempt(id, outcome, false);
        let Some(client) = client else { return };
        if broke && !spoke {
            self.reset_connection(client);
        } else {
            self.last_words(client, b"");
        }
    }

    /// Ends the host's side of an open connection and books it.
    pub fn close_attempt(&mut self, id: CallId, outcome: AttemptOutcome, reset: bool) {
        let Some(attempt) = self.calls.get_mut(id.0).and_then(|in_flight| in_flight.attempt.take()) else {
            return;
        };
        debug!(call = id.0, host = attempt.host.0, ?outcome, "ended");
        self.attempts_out -= 1;
        self.hosts.closed(attempt.host, id);
        self.notify_successor(attempt.host);
        match (
            reset,
            self.sockets.get(attempt.connection.0).is_some_and(|socket| socket.connection.read_ended),
        ) {
            (true, _) => self.reset_connection(attempt.connection),
            (_, true) => self.close_connection(attempt.connection),
            _ => self.last_words(attempt.connection, b""),
        }
        self.ended.push_back(AttemptEnd { call: id, attempt: attempt.number, outcome, is_final: true });
    }

    /// Danger: a machine that vanished says nothing, and its connections stay open for ever.
    pub fn check_silence(&mut self, id: CallId) {
        let Some(in_flight) = self.calls.get_mut(id.0) else { return };
        in_flight.has_silence_timer = false;
        let Some(asked) = in_flight.awaiting_host_since else { return };
        if self.now < asked + SILENCE {
            in_flight.has_silence_timer = true;
            return self.timers.set(asked + SILENCE, TimerEvent::HostSilence(id));
        }
        if in_flight.stage == CallStage::Open {
            debug!(call = id.0, "silent");
            self.move_client(id, AttemptOutcome::Broken);
        }
        self.settle();
    }

    pub fn note_asked(in_flight: &mut InFlightCall, now: Time) -> Option<Time> {
        in_flight.awaiting_host_since.get_or_insert(now);
        (!std::mem::replace(&mut in_flight.has_silence_timer, true)).then_some(now + SILENCE)
    }

    /// Sends the client away politely and ends the host's side.
    pub fn move_client(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(in_flight) = self.calls.get_mut(id.0).filter(|in_flight| in_flight.stage == CallStage::Open)
        else {
            return;
        };
        let Some(client) = in_flight.client.take() else { return };
        let mut words = Vec::new();
        Answer::Move.encode(&mut words);
        self.last_words(client, &words);
        self.close_attempt(id, outcome, false);
    }

    /// A host is about to leave: its clients are told to come again, one by one, before it goes.
    pub fn send_clients_away(&mut self, host: HostId) {
        let Some(known) = self.hosts.0.get(&host) else { return };
        let all = known.open.len().max(1) as f64;
        for (at, call) in known.open.iter().enumerate() {
            self.timers.set(self.now + SEND_AWAY.times(at as f64 / all), TimerEvent::Migrate(*call));
        }
    }

    /// Danger: probes go out by the dozen, and one without a descriptor would tell of a host what is this node's fault.
    pub fn open_probe(&mut self, host: HostId) {
        if !self.has_room_for_probe() {
            return;
        }
        let connection = self.hosts.address(host).and_then(|address| Connection::connect(address).ok());
        match connection.and_then(|connection| self.add_connection(connection, SocketRole::Probe(host))) {
            Some(id) => {
                if let Some(socket) = self.sockets.get_mut(id.0) {
                    socket.connection.outbox.extend_from_slice(protocol::PROBE);
                }
                self.timers.set(self.now + PROBE_LIMIT, TimerEvent::ProbeTimeout(id));
                self.pump(id);
            }
            None => self.probes_failed.push(host),
        }
    }

    pub fn probe_over(&mut self, id: ConnectionId, host: HostId, outcome: AttemptOutcome) {
        let asked = self.sockets.get(id.0).map_or(self.now, |socket| socket.quiet_since);
        self.close_connection(id);
        let (now, took) = (self.now, self.now.since(asked));
        debug!(host = host.0, ?outcome, took_us = took.0 / 1000, "probed");
        self.tell(|node, port| node.probe_finished(now, host, outcome, took, port));
    }

    pub fn probe_came(&mut self, id: ConnectionId, host: HostId, got: Got) {
        match got {
            Got::NothingYet => {}
            Got::End => self.probe_over(id, host, AttemptOutcome::Broken),
            Got::Bytes(n) => {
                let Some(socket) = self.sockets.get_mut(id.0) else { return };
                socket.connection.inbox.extend_from_slice(&self.scratch[..n]);
                let Some(length) = protocol::first_line_length(&socket.connection.inbox) else {
                    if socket.connection.inbox.len() >= protocol::MAX_LINE_LENGTH {
                        self.probe_over(id, host, AttemptOutcome::Error);
                    }
                    return;
                };
                let well = HostMessage::parse(&socket.connection.inbox[..length]) == HostMessage::Pong;
                self.probe_over(
                    id,
                    host,
                    if well { AttemptOutcome::Completed } else { AttemptOutcome::Error },
                );
            }
        }
    }
}
