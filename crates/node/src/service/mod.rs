//! The node as one object: its phases, its loop, and the port on which the decisions act.

use std::collections::VecDeque;
use std::io::Read;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use glendeck::domain::{AttemptNumber, AttemptOutcome, CallId, HostId, NodeSnapshot, Span, Time, TimerToken};
use glendeck::port::Port;
use glendeck::rules::Node;
use nanorand::{Rng, WyRand};
use rustc_hash::FxHashSet;
use rustix::io::Errno;
use tracing::{error, info, warn};

use crate::admin::{AdminServer, CALLERS};
use crate::call::{AttemptEnd, CallStage, InFlightCall};
use crate::clients::{ACCEPT_AGAIN, FIRST_LINE};
use crate::config::{self, NodeConfig};
use crate::connection::{self, Connection, Got, MUCH};
use crate::endpoint_list::EndpointListClient;
use crate::fleet::{FleetError, Membership};
use crate::handover::{Handover, Inherited};
use crate::hosts::HostTable;
use crate::lifecycle::Phase;
use crate::metrics::{Metrics, Outcome};
use crate::protocol::{Answer, ClientId, MAX_LINE_LENGTH};
use crate::reactor::{ADMIN, Flags, LISTENER, PEERS, RELOADS, Reactor, SIGNALS, STORE, SUCCESSORS};
use crate::slots::Slots;
use crate::socket::{ConnectionId, SocketEntry, SocketRole};
use crate::timers::{TimerEvent, Timers};

mod clock;

use clock::Clock;

#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    #[error("cannot listen on {address}: {fault}")]
    Listen { address: std::net::SocketAddr, fault: Errno },
    #[error("cannot wait for events: {0}")]
    Reactor(#[from] Errno),
    #[error("fleet: {0}")]
    Fleet(#[from] FleetError),
    #[error("cannot take signals: {0}")]
    Signals(#[from] std::io::Error),
}

pub struct Service {
    pub phase: Phase,
    pub config: NodeConfig,
    clock: Clock,
    pub now: Time,
    reactor: Reactor,
    pub timers: Timers<TimerEvent>,
    /// Until the front sends nothing more.
    pub listener: Option<OwnedFd>,
    /// Since when connections may wait in its queue.
    pub queued_since: Option<Time>,
    /// When they were last looked for.
    pub queued_at: Time,
    pub door: AdminServer,
    pub handover: Handover,
    /// Its part in a fleet, if it is of one.
    pub membership: Option<Box<Membership>>,
    pub metrics: Metrics,
    /// Drains so far.
    pub drains: u32,
    /// The longest turn of the loop since somebody asked.
    pub slowest_turn: Span,
    chance: WyRand,
    /// SIGTERM and SIGHUP each write here.
    signals: UnixStream,
    reloads: UnixStream,
    pub sockets: Slots<SocketEntry>,
    pub calls: Slots<InFlightCall>,
    /// The ids of the calls in hand.
    pub ids: FxHashSet<ClientId>,
    /// Connections of no use to a call, the longest idle first, each with the time since when.
    pub idle: VecDeque<(Time, ConnectionId)>,
    pub attempts_out: usize,
    pub hosts: HostTable,
    pub list: EndpointListClient,
    pub list_failures: u32,
    pub probes_failed: Vec<HostId>,
    /// Out of its place only while it decides.
    node: Option<Box<Node>>,
    pub ended: VecDeque<AttemptEnd>,
    pub scratch: Vec<u8>,
}

/// The end of a pair at which a signal shows.
fn signalled(signal: i32) -> Result<UnixStream, std::io::Error> {
    let (shows, sender) = UnixStream::pair()?;
    shows.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, sender)?;
    Ok(shows)
}

/// Standard streams, epoll, the listening socket, two ends for each of two signals, the socket for the next
/// process, one to accept with or to read the configuration from, and one for the list. Danger: a list that was lost while
/// idle clients in_flight every descriptor could not be asked for again.
const OWN: usize = 12;

/// An agent on the node's own machine answers within milliseconds, or its service is down and it knows nothing new.
const AGENT_PATIENCE: Span = Span::ms(1_000);

/// The front goes on sending new clients for up to 0.4 s after the node was told to leave.
const STILL_COMING: Span = Span::ms(450);

/// After this nobody comes, and the socket closes. Danger: where the next process listens beside this one, the
/// kernel goes on dealing connections to both.
const STOP_ACCEPTING: Span = Span::ms(600);

/// The platform kills no sooner than the longest deadline, 3 s at most, and 0.7 s after that.
const LONGEST_LEAVE: Span = Span::ms(3_000);
const LEAVE_MORE: Span = Span::ms(400);

/// After a call to drain the front asks within 0.1 s and sends new clients for 0.2 s more.
const STILL_SENT: Span = Span::ms(350);

/// Clients that stood when the front stopped are sent away by now, each at its own moment; those whose calls
/// waited, by then; a drained node is looked at after 4 s. 3.4 s were not
/// better (drain+scrape 0.82 in the mean of five runs, 0.90 so), and leave less to spare.
const DRAINED: Span = Span::ms(3_000);
const EMPTY: Span = Span::ms(3_600);

/// Those that open while the node leaves go within so long.
const LATE: Span = Span::ms(300);

/// Connections go over to the next process within milliseconds; what has not by then is moved.
const HANDED: Span = Span::ms(200);

/// The last clients are sent away this long before the exit, so that their connections end in peace.
const LAST_MOVES: Span = Span::ms(500);

/// After its last answers the process waits so long for its clients to end: the platform kills 0.3 s after the last answers, at
/// the soonest.
const FLUSH: Span = Span::ms(150);

/// All clients go within this time before the last ones: as much as those of a leaving host get, and setups
/// elsewhere are spread. Danger: in a rolling restart the node before this one may not be back yet, and
/// clients sent away early have nowhere to go.
const MOVES: Span = Span::ms(1_000);

impl Service {
    pub fn start(mut config: NodeConfig, machine: crate::Machine) -> Result<Service, ServiceError> {
        let (address, inherited) = (config.listen, Inherited::ask(&config));
        let (listener, mut inherited) = match inherited {
            // The process before goes on accepting until this one can serve.
            Some(Inherited { listener, line, told }) => (listener, Some((line, told))),
            None => {
                (connection::listen(address).map_err(|fault| ServiceError::Listen { address, fault })?, None)
            }
        };
        let reactor = Reactor::new()?;
        reactor.add(&listener, LISTENER, if inherited.is_none() { Flags::IN } else { Flags::empty() })?;
        let door = AdminServer::open(config.admin)
            .map_err(|(address, fault)| ServiceError::Listen { address, fault })?;
        if let Some(listener) = &door.listener {
            reactor.add(listener, ADMIN, Flags::IN)?;
        }
        let signals = signalled(signal_hook::consts::SIGTERM)?;
        reactor.add(&signals, SIGNALS, Flags::IN)?;
        // Danger: unhandled, this signal ends the process and all its connections.
        let reloads = signalled(signal_hook::consts::SIGHUP)?;
        reactor.add(&reloads, RELOADS, Flags::IN)?;
        let (clock, known) = (Clock::start(machine.ahead_s), config.known.take());
        let mut service = Service {
            phase: Phase::Starting,
            now: clock.now(),
            clock,
            reactor,
            timers: Timers::default(),
            listener: Some(listener),
            queued_since: None,
            queued_at: Time(0),
            door,
            handover: Handover::default(),
            membership: None,
            metrics: Metrics::new(&config.names.traffic),
            drains: 0,
            slowest_turn: Span::ZERO,
            // Apart from the decisions' own chances.
            chance: WyRand::new_seed(!config.seed),
            signals,
            reloads,
            sockets: Slots::default(),
            calls: Slots::default(),
            ids: FxHashSet::default(),
            idle: VecDeque::new(),
            attempts_out: 0,
            hosts: HostTable::default(),
            list: EndpointListClient::default(),
            list_failures: 0,
            probes_failed: Vec::new(),
            node: None,
            ended: VecDeque::new(),
            scratch: vec![0; MUCH],
            config,
        };
        let (settings, seed, now) = (service.config.settings.clone(), service.config.seed, service.now);
        let snapshot = inherited.as_mut().and_then(|(_, told)| told.take());
        let older = snapshot
            .as_ref()
            .is_some_and(|snapshot| known.as_ref().is_none_or(|known| known.index <= snapshot.list.index));
        let (known, snapshot) = match snapshot {
            Some(snapshot) if older => (Some(snapshot.list), Some((snapshot.node, snapshot.drained))),
            snapshot => (known, snapshot.map(|snapshot| (snapshot.node, snapshot.drained))),
        };
        if let Some(known) = known {
            // What is known stands before the first question, which then asks for what came after it.
            service.list.set_index(known.index);
            service.node = Some(Box::new(Node::start(settings, seed, now, &mut service)));
            service.remember_list(known);
        } else {
            service.node = Some(Box::new(Node::start(settings, seed, now, &mut service)));
        }
        if let Some((snapshot, drained)) = snapshot {
            service.handover.drained = drained;
            service.tell(|node, _| node.restore(&snapshot));
        }
        if let Some((line, _)) = inherited {
            service.follow_predecessor(line);
        }
        service.settle();
        service.join_fleet(machine.disk)?;
        if service.config.list_is_pushed {
            service.timers.set(now + AGENT_PATIENCE, TimerEvent::EndpointListOverdue);
        }
        service.ready_now();
        Ok(service)
    }

    /// Serves until it is told to leave and has left.
    pub fn run(&mut self) -> Result<(), ServiceError> {
        while self.phase != Phase::Left {
            let wait = self.timers.time_until_next(self.clock.now());
            let events = self.reactor.wait(wait)?;
            self.now = self.clock.now();
            let began = self.now;
            // Danger: operators get their answer within a second, however many clients are ready.
            for of_the_door in [true, false] {
                for at in 0..events {
                    if let Some((number, flags)) = self.reactor.event(at)
                        && self.is_admin_socket(number) == of_the_door
                    {
                        self.happened(number, flags);
                    }
                }
            }
            self.now = self.clock.now();
            while let Some(due) = self.timers.next_due(self.now) {
                self.timer_event(due);
            }
            self.send_words();
            if self.phase == Phase::Flushing && !self.has_peers_to_hear() {
                self.left();
            }
            self.slowest_turn = self.slowest_turn.max(self.clock.now().since(began));
        }
        Ok(())
    }

    fn happened(&mut self, number: u64, flags: Flags) {
        match number {
            LISTENER => {
                self.accept();
                return;
            }
            ADMIN => return self.accept_callers(),
            SUCCESSORS => return self.accept_successor(),
            PEERS => return self.accept_peers(),
            STORE => return self.store_says(),
            SIGNALS => {
                let mut signals = [0; 16];
                if self.signals.read(&mut signals).is_ok() {
                    self.leave();
                }
                return;
            }
            RELOADS => {
                let mut signals = [0; 16];
                if self.reloads.read(&mut signals).is_ok() {
                    self.reload();
                }
                return;
            }
            _ => {}
        }
        let id = ConnectionId(number);
        let Some(socket) = self.sockets.get_mut(number) else { return };
        if socket.connection.connecting {
            if !flags.intersects(Flags::OUT | Flags::ERR | Flags::HUP) {
                return;
            }
            if socket.connection.came_up().is_err() {
                return self.lost(id);
            }
            if socket.role == SocketRole::Peer {
                self.peer_up(id);
            } else {
                self.attempt_connected(id);
            }
        } else if flags.contains(Flags::OUT) {
            self.drained(id);
        }
        if flags.intersects(Flags::IN | Flags::ERR | Flags::HUP) {
            self.readable(id, flags);
        }
    }

    /// What was to be sent has gone in part: whoever fills it may be read again.
    fn drained(&mut self, id: ConnectionId) {
        self.pump(id);
        let Some(socket) = self.sockets.get(id.0) else { return };
        if socket.connection.unsent() > MUCH / 2 {
            return;
        }
        let other = match socket.role {
            SocketRole::Client(Some(call)) => self
                .calls
                .get(call.0)
                .and_then(|in_flight| in_flight.attempt.as_ref())
                .map(|attempt| attempt.connection),
            SocketRole::Host(call) => self.calls.get(call.0).and_then(|in_flight| in_flight.client),
            SocketRole::Closing => return self.closing_came(id),
            SocketRole::Admin => return self.caller_over(id),
            SocketRole::Successor => return self.hand_on(),
            _ => None,
        };
        if let Some(other) = other
            && let Some(socket) = self.sockets.get_mut(other.0)
            && socket.connection.paused
        {
            socket.connection.paused = false;
            self.watch_connection(other);
        }
    }

    pub fn readable(&mut self, id: ConnectionId, flags: Flags) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        if socket.connection.read_ended {
            // Nothing more can come: the peer has gone for good.
            if flags.intersects(Flags::ERR | Flags::HUP) {
                self.lost(id);
            }
            return;
        }
        let role = socket.role;
        if role == SocketRole::Predecessor {
            return self.predecessor_readable(id);
        }
        // A connection that has not opened needs room for one line.
        let most = if role == SocketRole::Client(None) { MAX_LINE_LENGTH } else { MUCH };
        let got = match socket.connection.read(&mut self.scratch[..most]) {
            Ok(got) => got,
            Err(_) => return self.lost(id),
        };
        match role {
            SocketRole::Client(call) => self.client_came(id, call, got),
            SocketRole::Host(call) => self.host_came(id, call, got),
            SocketRole::Probe(host) => self.probe_came(id, host, got),
            SocketRole::EndpointList(_) => self.list_came(id, got),
            SocketRole::Admin => self.caller_came(id, got),
            SocketRole::Successor => self.successor_readable(id, got),
            SocketRole::Peer => self.peer_came(id, got),
            SocketRole::Predecessor => {}
            SocketRole::Closing => {
                if let Got::Bytes(n) = got {
                    socket.connection.discarded += n;
                }
                self.closing_came(id);
            }
        }
        self.watch_connection(id);
    }

    /// The connection broke.
    fn lost(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.connection.read_ended = true;
        match socket.role {
            SocketRole::Client(call) => self.client_left(id, call, true),
            SocketRole::Host(call) => self.host_lost(call),
            SocketRole::Probe(host) => self.probe_over(id, host, AttemptOutcome::Unreachable),
            SocketRole::EndpointList(_) => self.list_lost(id),
            SocketRole::Closing => self.close_connection(id),
            SocketRole::Admin => self.drop_caller(id),
            SocketRole::Successor => self.successor_gone(id),
            SocketRole::Predecessor => self.predecessor_gone(id),
            SocketRole::Peer => self.peer_lost(id),
        }
    }

    fn timer_event(&mut self, due: TimerEvent) {
        let now = self.now;
        match due {
            TimerEvent::Decisions(token) => self.tell(|node, port| node.timer_fired(now, token, port)),
            TimerEvent::ConnectTimeout(call, attempt) => self.attempt_deadline(call, attempt, true),
            TimerEvent::AttemptTimeout(call, attempt) => self.attempt_deadline(call, attempt, false),
            TimerEvent::RetryReturn(call) => self.return_to_host(call),
            TimerEvent::HostSilence(call) => self.check_silence(call),
            TimerEvent::HalfClosedTimeout(call) => self.linger_over(call),
            TimerEvent::Migrate(call) => self.move_client(call, AttemptOutcome::Canceled),
            TimerEvent::DrainStart(no) => self.drain_clients(no),
            TimerEvent::DrainMigrate(no, call) => {
                if self.is_current_drain(no) {
                    self.move_client(call, AttemptOutcome::Canceled);
                }
            }
            TimerEvent::DrainEnd(no) => self.drain_ends(no),
            TimerEvent::AdminTimeout(id) => self.drop_caller(id),
            TimerEvent::ProbeTimeout(id) => {
                if let Some(SocketRole::Probe(host)) = self.role(id) {
                    self.probe_over(id, host, AttemptOutcome::TimedOut);
                }
            }
            TimerEvent::EndpointListTimeout(id) => self.list_limit(id),
            TimerEvent::FirstLineTimeout(id) => {
                if let Some(socket) = self.sockets.get(id.0)
                    && socket.role == SocketRole::Client(None)
                    && now.since(socket.quiet_since) >= FIRST_LINE
                {
                    self.end_idle(id);
                }
            }
            TimerEvent::ClosingTimeout(id) => {
                if self.role(id) == Some(SocketRole::Closing) {
                    self.close_connection(id);
                }
            }
            TimerEvent::RetryAccept => {
                self.listen_for(self.accepts());
                self.watch_admin(true);
            }
            TimerEvent::EndpointListOverdue => {
                self.handover.waited = true;
                self.ready_now();
            }
            TimerEvent::StopAccepting => self.stop_accepting(),
            TimerEvent::ContinueHandover => self.hand_on(),
            TimerEvent::CheckIdleExit => self.leave_early(),
            TimerEvent::FleetTick => self.fleet_tick(),
            TimerEvent::MigrateFromDraining => self.ease_off(),
            TimerEvent::Exit => self.exit(),
            TimerEvent::FlushTimeout => self.left(),
        }
        self.settle();
    }

    // Phases.

    /// It serves once it knows a host that is ready.
    pub fn ready_now(&mut self) {
        // Danger: what an agent of the node's own has counts as told from its first moment.
        let for_list = self.handover.follows() || self.config.list_is_pushed;
        let waits = for_list && !self.list.heard && !self.handover.waited;
        let waits = waits || self.waits_for_fleet();
        if self.phase == Phase::Starting && self.hosts.any_ready() && !waits {
            self.phase = Phase::Serving;
            info!(name = %self.config.name, "serving");
            if std::mem::take(&mut self.handover.drained) {
                info!("the process before was draining");
                self.drain();
            }
            self.take_over();
        }
    }

    /// What the front hears. While the process that replaces this one takes clients, the node does.
    pub fn takes_clients(&self) -> bool {
        match self.phase {
            Phase::Serving | Phase::Replaced => true,
            Phase::Leaving { until } => self.handover.is_replaced() && self.now + LAST_MOVES < until,
            _ => false,
        }
    }

    /// Whether new connections are this process's to take.
    pub fn accepts(&self) -> bool {
        !self.handover.waits() && !self.handover.is_replaced()
    }

    /// Danger: what has come up in a listening socket's queue is reset with its close. All of it is taken first, however
    /// much that is, and as descriptors come free.
    fn stop_accepting(&mut self) {
        if matches!(self.phase, Phase::Leaving { .. }) && !self.handover.is_replaced() {
            // One that never served leaves the queue to the process before.
            if self.accepts() && !self.accept() {
                return self.timers.set(self.now + ACCEPT_AGAIN, TimerEvent::StopAccepting);
            }
            self.listener = None;
        }
    }

    /// The whole file is checked before anything of it counts; with a bad one all stays as it was.
    fn reload(&mut self) {
        match config::anew() {
            Ok(new) => {
                let moved = new.discovery != self.config.discovery;
                let renewed = self.config.renew(new);
                info!(discovery = %self.config.discovery, "configuration read anew");
                for key in renewed.later {
                    warn!("{key} has changed in the configuration: that counts from the next start");
                }
                if renewed.settings {
                    let (settings, now) = (self.config.settings.clone(), self.now);
                    info!(weights = ?settings.weights, nodes = settings.nodes, "settings changed");
                    self.metrics.name(&self.config.names.traffic);
                    self.tell(|node, port| node.update_settings(now, settings, port));
                }
                // Danger: a host of a zone that had no number keeps a wrong one once there are more.
                if moved || renewed.zones {
                    self.follow_elsewhere();
                } else {
                    // While the watch stands there is nothing to ask; else this is when to try again.
                    self.begin_watch();
                }
            }
            Err(fault) => error!("bad configuration, the old one stays: {fault}"),
        }
        self.settle();
    }

    fn leave(&mut self) {
        if matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left) {
            return;
        }
        let until = self.now + self.config.longest_guard.min(LONGEST_LEAVE) + LEAVE_MORE;
        self.phase = Phase::Leaving { until };
        info!(calls = self.calls.len(), "leaving");
        self.timers.set(until, TimerEvent::Exit);
        self.timers.set(self.now + STOP_ACCEPTING, TimerEvent::StopAccepting);
        let open: Vec<CallId> = self.calls.iter().map(|(number, _)| CallId(number)).collect();
        // Where the next process serves already, clients have somewhere to go from the first moment.
        let replaced = self.handover.is_replaced();
        let first = (until - LAST_MOVES - MOVES).max(self.now + STILL_COMING);
        // What cannot be handed over, that is: the rest has no move to wait for.
        let first = if replaced { self.now + HANDED } else { first };
        let span = (until - LAST_MOVES).since(first);
        for (at, call) in open.iter().enumerate() {
            let due = first + span.times(at as f64 / open.len() as f64);
            self.timers.set(due, TimerEvent::Migrate(*call));
        }
        if replaced {
            self.hand_over_calls();
            self.leave_early();
        }
    }

    /// Replaced, it has no reason to stay once its last call has ended or gone over.
    fn leave_early(&mut self) {
        let busy = |socket: &SocketEntry| {
            matches!(socket.role, SocketRole::Client(_) | SocketRole::Host(_) | SocketRole::Closing)
        };
        if self.calls.len() == 0 && !self.sockets.iter().any(|(_, socket)| busy(socket)) {
            self.exit();
        } else {
            self.timers.set(self.now + HANDED, TimerEvent::CheckIdleExit);
        }
    }

    /// A connection that opens while the node sends its clients away goes with the last ones. Danger: sent
    /// together, they come back together; each goes at a moment of its own.
    pub fn move_before_leaving(&mut self, call: CallId) {
        let (first, last) = match self.phase {
            Phase::Leaving { .. } if self.handover.is_replaced() => return self.hand_over_call(call),
            Phase::Leaving { until } => (until - LAST_MOVES - LATE, until - LAST_MOVES),
            Phase::Draining { since } if self.now >= since + STILL_SENT => (self.now, since + EMPTY),
            _ => return,
        };
        let (first, at) = (first.max(self.now + Span::ms(1)), self.chance());
        let due = first + last.since(first).times(at);
        match self.phase {
            Phase::Draining { .. } => self.timers.set(due, TimerEvent::DrainMigrate(self.drains, call)),
            _ => self.timers.set(due, TimerEvent::Migrate(call)),
        }
    }

    // Draining.

    /// Told again, it goes on as it was. From the first moment the front hears no yes.
    pub fn drain(&mut self) -> bool {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            info!(calls = self.calls.len(), "draining");
            self.phase = Phase::Draining { since: self.now };
            self.drains += 1;
            self.timers.set(self.now + STILL_SENT, TimerEvent::DrainStart(self.drains));
            self.timers.set(self.now + EMPTY, TimerEvent::DrainEnd(self.drains));
        }
        // Who has been replaced has no say, and who leaves sends its clients away as it is.
        self.phase != Phase::Replaced
    }

    /// Ends a drain; one that is leaving cannot come back.
    pub fn activate(&mut self) -> bool {
        if let Phase::Draining { .. } = self.phase {
            info!(calls = self.calls.len(), "active again");
            self.phase = Phase::Starting;
            self.ready_now();
        }
        !matches!(self.phase, Phase::Replaced | Phase::Leaving { .. } | Phase::Flushing | Phase::Left)
    }

    /// Danger: what an earlier drain has set is still in the deadlines after its end, and after the next.
    fn is_current_drain(&self, no: u32) -> bool {
        matches!(self.phase, Phase::Draining { .. }) && self.drains == no
    }

    fn open_calls(&self) -> Vec<CallId> {
        let open = self.calls.iter().filter(|(_, in_flight)| in_flight.stage == CallStage::Open);
        open.map(|(number, _)| CallId(number)).collect()
    }

    /// The front sends no more: what stands goes one by one.
    fn drain_clients(&mut self, no: u32) {
        let Phase::Draining { since } = self.phase else { return };
        if self.is_current_drain(no) {
            let (open, span) = (self.open_calls(), (since + DRAINED).since(self.now));
            for (at, call) in open.iter().enumerate() {
                let due = self.now + span.times(at as f64 / open.len() as f64);
                self.timers.set(due, TimerEvent::DrainMigrate(no, *call));
            }
        }
    }

    /// Whatever is still open goes now.
    fn drain_ends(&mut self, no: u32) {
        if self.is_current_drain(no) {
            for call in self.open_calls() {
                self.move_client(call, AttemptOutcome::Canceled);
            }
            info!(calls = self.calls.len(), "drained");
        }
    }

    /// All that is in hand has its answer now. Danger: at the process's end what is still to be sent goes nowhere, and what
    /// is unread resets its connection, and the answer before it with that.
    fn exit(&mut self) {
        if matches!(self.phase, Phase::Flushing | Phase::Left) {
            return;
        }
        let left: Vec<CallId> = self.calls.iter().map(|(number, _)| CallId(number)).collect();
        for call in left {
            self.move_client(call, AttemptOutcome::Canceled);
            // Its deadline is over by now, or it never had an attempt.
            let unopened = |in_flight: &InFlightCall| !in_flight.stage.is_established();
            if self.calls.get(call.0).is_some_and(unopened) {
                let answer = self
                    .calls
                    .get(call.0)
                    .is_some_and(|in_flight| in_flight.attempt_count == 0 && !in_flight.looks());
                self.answer_call(call, if answer { Answer::Busy(None) } else { Answer::Error });
            }
        }
        if self.accepts() && self.listener.is_some() {
            self.accept();
        }
        self.listener = None;
        let idle = self.sockets.iter().filter(|(_, socket)| socket.role == SocketRole::Client(None));
        let idle: Vec<ConnectionId> = idle.map(|(number, _)| ConnectionId(number)).collect();
        self.phase = Phase::Flushing;
        idle.into_iter().for_each(|id| self.end_idle(id));
        self.timers.set(self.now + FLUSH, TimerEvent::FlushTimeout);
    }

    fn has_peers_to_hear(&self) -> bool {
        self.sockets
            .iter()
            .any(|(_, socket)| matches!(socket.role, SocketRole::Client(_) | SocketRole::Closing))
    }

    fn left(&mut self) {
        if self.phase == Phase::Flushing {
            self.leave_work();
            info!("left");
            self.phase = Phase::Left;
        }
    }

    pub fn chance(&mut self) -> f64 {
        f64::from(self.chance.generate::<f32>())
    }

    // Sockets.

    pub fn role(&self, id: ConnectionId) -> Option<SocketRole> {
        self.sockets.get(id.0).map(|socket| socket.role)
    }

    /// Descriptors in use, and those that the calls in hand will need.
    pub fn descriptors(&self) -> usize {
        let links = self.membership.as_ref().map_or(0, |membership| membership.peers.links());
        self.kept_back() + self.handover.other_uses + self.sockets.len() - links - self.door.callers.len()
            + self.calls.len()
            - self.attempts_out.min(self.calls.len())
    }

    /// Descriptors that the calls in hand need when all have their attempts.
    pub fn committed(&self) -> usize {
        self.kept_back() + self.handover.other_uses + 2 * self.calls.len()
    }

    /// What the node needs for itself, and for the operators' door however many clients there are.
    fn kept_back(&self) -> usize {
        let peers = self.membership.as_ref().map_or(0, |membership| membership.descriptors());
        OWN + peers + if self.door.listener.is_some() { 1 + CALLERS } else { 0 }
    }

    /// Takes a call out of the tables. One that never opened has its outcome here, one that did when it did.
    pub fn forget_call(&mut self, call: CallId) -> Option<InFlightCall> {
        let in_flight = self.calls.remove(call.0)?;
        self.work_ended(call, in_flight.kept.as_ref());
        if !in_flight.stage.is_established() {
            self.metrics.count(in_flight.call.traffic, in_flight.outcome.unwrap_or(Outcome::Failure));
        }
        self.ids.remove(&in_flight.client_id);
        Some(in_flight)
    }

    pub fn watch_admin(&mut self, open: bool) {
        let flags = if open { Flags::IN } else { Flags::empty() };
        if let Some(listener) = &self.door.listener {
            let _ = self.reactor.change(listener, ADMIN, flags);
        }
    }

    pub fn watch_listener(&mut self, fd: impl std::os::fd::AsFd, number: u64) -> Result<(), Errno> {
        self.reactor.add(fd, number, Flags::IN)
    }

    /// Whether all that a drain waits for has gone.
    pub fn is_drained(&self) -> bool {
        matches!(self.phase, Phase::Draining { since } if self.now >= since + EMPTY) && self.calls.len() == 0
    }

    /// Leaves as told by SIGTERM, and sooner where nobody is left.
    pub fn leave_drained(&mut self) {
        self.leave();
        if self.calls.len() == 0 {
            self.timers.set(self.now + STOP_ACCEPTING + Span::ms(50), TimerEvent::Exit);
        }
    }

    pub fn watch_successor_socket(&mut self, door: &std::os::unix::net::UnixListener) -> Result<(), Errno> {
        self.reactor.add(door, SUCCESSORS, Flags::IN)
    }

    pub fn add_connection(&mut self, connection: Connection, role: SocketRole) -> Option<ConnectionId> {
        let (quiet_since, idle_since) = (self.now, self.now);
        let id = ConnectionId(self.sockets.insert(SocketEntry {
            connection,
            role,
            quiet_since,
            idle_since,
            queued_since: None,
        }));
        let socket = self.sockets.get(id.0)?;
        if self.reactor.add(&socket.connection.fd, id.0, socket.connection.watched).is_err() {
            self.sockets.remove(id.0);
            return None;
        }
        Some(id)
    }

    /// Sends what can be sent. What breaks on the way shows in the next event.
    pub fn pump(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let _ = socket.connection.flush();
        if let SocketRole::Host(call) = socket.role {
            self.note_line_gone(call);
        }
        self.watch_connection(id);
    }

    pub fn watch_connection(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let wanted = socket.connection.wanted();
        if wanted != socket.connection.watched
            && self.reactor.change(&socket.connection.fd, id.0, wanted).is_ok()
        {
            socket.connection.watched = wanted;
        }
    }

    pub fn listen_for(&mut self, clients: bool) {
        let flags = if clients { Flags::IN } else { Flags::empty() };
        if let Some(listener) = &self.listener {
            let _ = self.reactor.change(listener, LISTENER, flags);
        }
    }

    pub fn close_connection(&mut self, id: ConnectionId) {
        self.sockets.remove(id.0);
    }

    /// Takes a socket out of the tables to leave it to another process: it is not ended.
    pub fn abandon_connection(&mut self, id: ConnectionId) {
        if let Some(socket) = self.sockets.remove(id.0) {
            self.reactor.remove(&socket.connection.fd);
        }
    }

    pub fn reset_connection(&mut self, id: ConnectionId) {
        if let Some(socket) = self.sockets.remove(id.0) {
            socket.connection.reset_on_close();
        }
    }

    // The decisions.

    /// Tells the decisions something, and then what came of what they did.
    pub fn tell(&mut self, what: impl FnOnce(&mut Node, &mut Service)) {
        if let Some(mut node) = self.node.take() {
            what(&mut node, self);
            self.node = Some(node);
            self.settle();
        }
    }

    /// The decisions are at work, and cannot be told anything.
    pub fn is_deciding(&self) -> bool {
        self.node.is_none()
    }

    pub fn snapshot(&self) -> Option<NodeSnapshot> {
        self.node.as_ref().map(|node| node.snapshot())
    }

    pub fn warm_state_of_node(&self, most: usize) -> glendeck::domain::WarmState {
        self.node.as_ref().map(|node| node.warm_state(most)).unwrap_or_default()
    }

    /// Whether the decisions keep away from a host now.
    pub fn avoids(&self, host: HostId) -> bool {
        self.node.as_ref().is_some_and(|node| node.avoids(host))
    }

    pub fn settle(&mut self) {
        let Some(mut node) = self.node.take() else { return };
        let now = self.now;
        loop {
            if let Some(AttemptEnd { call, attempt, outcome, is_final }) = self.ended.pop_front() {
                node.attempt_ended(now, call, attempt, outcome, is_final, self);
                if is_final {
                    self.forget_call(call);
                }
            } else if let Some(host) = self.probes_failed.pop() {
                node.probe_finished(now, host, AttemptOutcome::Unreachable, Span::ZERO, self);
            } else if self.list_failures > 0 {
                self.list_failures -= 1;
                node.watch_failed(now, self);
            } else {
                break;
            }
        }
        self.node = Some(node);
    }
}

impl Port for Service {
    fn send_attempt(&mut self, call: CallId, host: HostId, within: Span) {
        self.open_attempt(call, host, within);
    }

    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        tracing::debug!(call = call.0, "rejected");
        self.answer_call(call, Answer::Busy(retry_after));
    }

    fn fail(&mut self, call: CallId) {
        self.answer_call(call, Answer::Error);
    }

    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.cancel_attempt(call, attempt);
    }

    fn migrate(&mut self, call: CallId) {
        self.move_client(call, AttemptOutcome::Canceled);
    }

    fn probe(&mut self, host: HostId) {
        self.open_probe(host);
    }

    /// The watch brings whatever changes, and a lost one is opened again within its bound: a second question beside it
    /// would tell nothing more, and be one for each node that doubts.
    fn fetch_endpoints(&mut self) {}

    fn watch_endpoints(&mut self) {
        self.begin_watch();
    }

    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.timers.set(time, TimerEvent::Decisions(token));
    }
}
