//! A node as one object: its state, and the loop that hands events to the modules that deal with them.
//!
//! `start` sets it up, `lifecycle`, `drain` and `shutdown` move it from phase to phase, `sockets` has the
//! table of its sockets, and `port` joins it to the decisions.

mod clock;
mod drain;
mod lifecycle;
mod port;
mod reports;
mod shutdown;
mod sockets;
mod start;

use std::collections::VecDeque;
use std::io::Read;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use glendeck::Node;
use glendeck::domain::{AttemptOutcome, Span, Time};
use nanorand::{Rng, WyRand};
use rustix::io::Errno;

use crate::admin::AdminServer;
use crate::call::CallTable;
use crate::clients::AcceptQueue;
use crate::config::NodeConfig;
use crate::connection::{LOW_WATER_MARK, READ_SIZE, ReadOutcome};
use crate::endpoint_list::EndpointListClient;
use crate::fleet::{FleetError, Membership};
use crate::handover::Handover;
use crate::hosts::HostTable;
use crate::lifecycle::Phase;
use crate::metrics::Metrics;
use crate::protocol::MAX_LINE_LENGTH;
use crate::reactor::{ADMIN, Flags, LISTENER, PEERS, RELOADS, SIGNALS, STORE, SUCCESSORS};
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::{TimerEvent, Timers};
use clock::Clock;
use reports::PendingReports;
use sockets::SocketTable;

pub(crate) use reports::Report;

/// Why a node cannot start, or stops serving.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServiceError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: Errno,
    },
    /// epoll failed.
    #[error("cannot wait for events: {0}")]
    Reactor(#[from] Errno),
    /// The node cannot take part in its fleet.
    #[error("fleet: {0}")]
    Fleet(#[from] FleetError),
    /// A signal handler cannot be set up.
    #[error("cannot take signals: {0}")]
    Signals(#[from] std::io::Error),
}

/// A node with everything that it holds.
pub(crate) struct Service {
    /// How far the process is.
    pub phase: Phase,
    /// What it was told at its start, with what a reload has changed.
    pub config: NodeConfig,
    clock: Clock,
    /// The time of the event that is being handled.
    pub now: Time,
    /// What is due later.
    pub timers: Timers<TimerEvent>,
    /// Where clients connect, until the front sends nothing more.
    pub listener: Option<OwnedFd>,
    /// Whether connections wait in the listener's queue.
    pub accept_queue: AcceptQueue,
    /// The admin interface.
    pub admin: AdminServer,
    /// How this process stands to its predecessor and its successor.
    pub handover: Handover,
    /// The node's part in a fleet, if it is in one.
    pub membership: Option<Box<Membership>>,
    /// Counters.
    pub metrics: Metrics,
    /// The number of the current drain, or of the last one.
    drain_number: u32,
    /// The longest turn of the loop since the metrics were last read.
    pub slowest_turn: Span,
    random: WyRand,
    /// Readable after SIGTERM.
    signals: UnixStream,
    /// Readable after SIGHUP.
    reloads: UnixStream,
    /// All sockets but the listening ones.
    pub sockets: SocketTable,
    /// Calls in flight.
    pub calls: CallTable,
    /// Connections of no use to a call, the longest idle first, each with the time since when.
    pub idle: VecDeque<(Time, ConnectionId)>,
    /// Calls that have a socket to a host.
    pub attempts_out: usize,
    /// Hosts and what is open there.
    pub hosts: HostTable,
    /// The watch on the endpoint list.
    pub list: EndpointListClient,
    /// `None` only while it decides.
    node: Option<Box<Node>>,
    /// What the decisions have not been told of.
    pub reports: PendingReports,
    /// What was read last.
    pub read_buffer: Vec<u8>,
}

impl Service {
    /// Serves until the process is told to end and has ended its calls.
    ///
    /// # Errors
    ///
    /// Fails if epoll does.
    pub(crate) fn run(&mut self) -> Result<(), ServiceError> {
        while self.phase != Phase::Left {
            let timeout = self.timers.time_until_next(self.clock.now());
            let events = self.sockets.reactor.wait(timeout)?;
            self.now = self.clock.now();
            let turn_start = self.now;
            // Admin requests are answered within a second, however many clients are ready.
            self.dispatch_events(events, |service, number| service.is_admin_socket(number));
            self.dispatch_events(events, |service, number| !service.is_admin_socket(number));
            self.now = self.clock.now();
            while let Some(event) = self.timers.next_due(self.now) {
                self.handle_timer(event);
            }
            self.finish_work_turn();
            if self.phase == Phase::Flushing && !self.has_unsent_answers() {
                self.finish();
            }
            self.slowest_turn = self.slowest_turn.max(self.clock.now().since(turn_start));
        }
        Ok(())
    }

    fn dispatch_events(&mut self, events: usize, is_selected: impl Fn(&Service, u64) -> bool) {
        for index in 0..events {
            if let Some((number, flags)) = self.sockets.reactor.event(index)
                && is_selected(self, number)
            {
                self.handle_event(number, flags);
            }
        }
    }

    fn handle_event(&mut self, number: u64, flags: Flags) {
        match number {
            LISTENER => {
                self.accept();
            }
            ADMIN => self.accept_callers(),
            SUCCESSORS => self.accept_successor(),
            PEERS => self.accept_peers(),
            STORE => self.store_readable(),
            SIGNALS => {
                if read_signal(&mut self.signals) {
                    self.leave();
                }
            }
            RELOADS => {
                if read_signal(&mut self.reloads) {
                    self.reload();
                }
            }
            _ => self.handle_socket_event(ConnectionId(number), flags),
        }
    }

    fn handle_socket_event(&mut self, id: ConnectionId, flags: Flags) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        if socket.connection.connecting {
            if !flags.intersects(Flags::OUT | Flags::ERR | Flags::HUP) {
                return;
            }
            if socket.connection.finish_connect().is_err() {
                return self.connection_lost(id);
            }
            if socket.role == SocketRole::Peer {
                self.peer_connected(id);
            } else {
                self.attempt_connected(id);
            }
        } else if flags.contains(Flags::OUT) {
            self.connection_writable(id);
        }
        if flags.intersects(Flags::IN | Flags::ERR | Flags::HUP) {
            self.read_connection(id, flags);
        }
    }

    /// Some of the outbox has been sent: whoever fills it may be read again.
    fn connection_writable(&mut self, id: ConnectionId) {
        self.flush_connection(id);
        let Some(socket) = self.sockets.get(id.0) else { return };
        if socket.connection.unsent() > LOW_WATER_MARK {
            return;
        }
        let source = match socket.role {
            SocketRole::Client(Some(call)) => self
                .calls
                .get(call.0)
                .and_then(|in_flight| in_flight.attempt.as_ref())
                .map(|attempt| attempt.connection),
            SocketRole::Host(call) => self.calls.get(call.0).and_then(|in_flight| in_flight.client),
            SocketRole::Closing => return self.closing_progressed(id),
            SocketRole::Admin => return self.drop_finished_caller(id),
            SocketRole::Successor => return self.continue_handover(),
            SocketRole::Client(None)
            | SocketRole::Probe(_)
            | SocketRole::EndpointList(_)
            | SocketRole::Predecessor
            | SocketRole::Peer => None,
        };
        if let Some(source) = source
            && let Some(socket) = self.sockets.get_mut(source.0)
            && socket.connection.paused
        {
            socket.connection.paused = false;
            self.sockets.watch(source);
        }
    }

    /// Reads a socket that is ready and hands what came to whoever it is for.
    pub(crate) fn read_connection(&mut self, id: ConnectionId, flags: Flags) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        if socket.connection.read_ended {
            // Nothing more can come: the peer has gone for good.
            if flags.intersects(Flags::ERR | Flags::HUP) {
                self.connection_lost(id);
            }
            return;
        }
        let role = socket.role;
        if role == SocketRole::Predecessor {
            return self.predecessor_readable(id);
        }
        // A connection that has not opened needs room for one line.
        let limit = if role == SocketRole::Client(None) { MAX_LINE_LENGTH } else { READ_SIZE };
        let outcome = match socket.connection.read(&mut self.read_buffer[..limit]) {
            Ok(outcome) => outcome,
            Err(_) => return self.connection_lost(id),
        };
        self.handle_read(id, role, outcome);
        self.sockets.watch(id);
    }

    fn handle_read(&mut self, id: ConnectionId, role: SocketRole, outcome: ReadOutcome) {
        match role {
            SocketRole::Client(call) => self.client_read(id, call, outcome),
            SocketRole::Host(call) => self.host_read(id, call, outcome),
            SocketRole::Probe(host) => self.probe_read(id, host, outcome),
            SocketRole::EndpointList(_) => self.list_read(id, outcome),
            SocketRole::Admin => self.admin_readable(id, outcome),
            SocketRole::Successor => self.successor_readable(id, outcome),
            SocketRole::Peer => self.peer_readable(id, outcome),
            // It reads for itself, as descriptors come with its bytes.
            SocketRole::Predecessor => {}
            SocketRole::Closing => {
                if let ReadOutcome::Bytes(count) = outcome
                    && let Some(socket) = self.sockets.get_mut(id.0)
                {
                    socket.connection.discarded += count;
                }
                self.closing_progressed(id);
            }
        }
    }

    /// The connection broke.
    fn connection_lost(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.connection.read_ended = true;
        match socket.role {
            SocketRole::Client(call) => self.client_ended(id, call, true),
            SocketRole::Host(call) => self.host_lost(call),
            SocketRole::Probe(host) => self.finish_probe(id, host, AttemptOutcome::Unreachable),
            SocketRole::EndpointList(_) => self.list_lost(id),
            SocketRole::Closing => self.close_connection(id),
            SocketRole::Admin => self.drop_caller(id),
            SocketRole::Successor => self.disconnect_successor(id),
            SocketRole::Predecessor => self.disconnect_predecessor(id),
            SocketRole::Peer => self.close_link(id),
        }
    }

    fn handle_timer(&mut self, event: TimerEvent) {
        let now = self.now;
        match event {
            TimerEvent::Decisions(token) => self.with_node(|node, port| node.timer_fired(now, token, port)),
            TimerEvent::ConnectTimeout(call, attempt) => self.connect_timeout(call, attempt),
            TimerEvent::AttemptTimeout(call, attempt) => self.attempt_timeout(call, attempt),
            TimerEvent::RetryReturn(call) => self.return_to_host(call),
            TimerEvent::HostSilence(call) => self.check_silence(call),
            TimerEvent::HalfClosedTimeout(call) => self.half_closed_timeout(call),
            TimerEvent::Migrate(call) => self.migrate_call(call, AttemptOutcome::Canceled),
            TimerEvent::DrainStart(number) => self.drain_clients(number),
            TimerEvent::DrainMigrate(number, call) => self.drain_client(number, call),
            TimerEvent::DrainEnd(number) => self.end_drain(number),
            TimerEvent::AdminTimeout(id) => self.drop_caller(id),
            TimerEvent::ProbeTimeout(id) => self.probe_timeout(id),
            TimerEvent::EndpointListTimeout(id) => self.list_timeout(id),
            TimerEvent::FirstLineTimeout(id) => self.first_line_timeout(id),
            TimerEvent::ClosingTimeout(id) => {
                if self.role(id) == Some(SocketRole::Closing) {
                    self.close_connection(id);
                }
            }
            TimerEvent::RetryAccept => {
                self.watch_for_clients(self.accepts_connections());
                self.watch_admin(true);
            }
            TimerEvent::EndpointListOverdue => {
                self.handover.is_list_wait_over = true;
                self.serve_if_ready();
            }
            TimerEvent::StopAccepting => self.stop_accepting(),
            TimerEvent::ContinueHandover => self.continue_handover(),
            TimerEvent::CheckIdleExit => self.check_idle_exit(),
            TimerEvent::FleetTick => self.fleet_tick(),
            TimerEvent::MigrateFromDraining => self.migrate_from_avoided_hosts(),
            TimerEvent::Exit => self.exit(),
            TimerEvent::FlushTimeout => self.finish(),
        }
        self.deliver_reports();
    }

    /// A random number from 0 to 1, drawn apart from those of the decisions.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<f32>())
    }
}

/// Whether a signal has come.
fn read_signal(stream: &mut UnixStream) -> bool {
    stream.read(&mut [0; 16]).is_ok()
}
