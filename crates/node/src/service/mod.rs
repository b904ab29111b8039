//! The node's state, and the event loop that dispatches events to the modules that handle them.
//!
//! `start` creates the state, `lifecycle`, `drain` and `shutdown` change the phase, `sockets` holds the
//! socket table, and `port` connects the loop to the decision logic, [`glendeck::Node`].

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
use std::sync::Arc;

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
use crate::logging::LostLines;
use crate::metrics::Metrics;
use crate::protocol::MAX_LINE_LENGTH;
use crate::reactor::{ADMIN, Flags, LISTENER, PEERS, RELOAD_SIGNALS, STORE, SUCCESSORS, TERM_SIGNALS};
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::{TimerEvent, Timers};
use clock::Clock;
use drain::DrainState;
use reports::PendingReports;
use sockets::SocketTable;

pub(crate) use reports::Report;

/// Why a node cannot start, or stops with an error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServiceError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system call that failed.
        source: Errno,
    },
    /// A socket cannot be watched, or waiting for events failed.
    #[error("cannot wait for events: {0}")]
    Reactor(#[from] Errno),
    /// The node cannot join its fleet.
    #[error("cannot join the fleet: {0}")]
    Fleet(#[from] FleetError),
    /// A signal handler cannot be set up.
    #[error("cannot set up a signal handler: {0}")]
    Signals(#[from] std::io::Error),
}

/// The whole state of a node.
pub(crate) struct Service {
    /// The phase of the process.
    pub phase: Phase,
    /// The configuration from the start, with the changes of reloads.
    pub config: NodeConfig,
    clock: Clock,
    /// The time of the event that is being handled.
    pub now: Time,
    /// Timers that have not expired.
    pub timers: Timers<TimerEvent>,
    /// The listening socket for clients; `None` once the process has stopped accepting.
    pub listener: Option<OwnedFd>,
    /// What is known about the listener's accept queue.
    pub accept_queue: AcceptQueue,
    /// The admin interface.
    pub admin: AdminServer,
    /// The state of handovers from the predecessor and to the successor.
    pub handover: Handover,
    /// The node's membership of a fleet, if it is in one.
    pub membership: Option<Box<Membership>>,
    /// Call and attempt counters.
    pub metrics: Metrics,
    /// Counts log lines that were lost.
    pub lost_log_lines: Arc<LostLines>,
    /// Whether the node is draining.
    drain: DrainState,
    /// The longest turn of the loop since the metrics were last read.
    pub slowest_turn: Span,
    random: WyRand,
    /// Readable after SIGTERM.
    term_signals: UnixStream,
    /// Readable after SIGHUP.
    reload_signals: UnixStream,
    /// All sockets except the listening ones.
    pub sockets: SocketTable,
    /// The in-flight calls.
    pub calls: CallTable,
    /// Idle connections, each with the time since when it is idle; the longest idle first. Entries of
    /// connections that are no longer idle may remain.
    pub idle: VecDeque<(Time, ConnectionId)>,
    /// Number of calls that have a socket to a host.
    pub attempts_out: usize,
    /// The known hosts and their open connections.
    pub hosts: HostTable,
    /// The watch on the endpoint list.
    pub list: EndpointListClient,
    /// The decision logic; `None` only while it runs.
    node: Option<Box<Node>>,
    /// Reports that have not been delivered to the decision logic.
    pub reports: PendingReports,
    /// Buffer for the data of one read.
    pub read_buffer: Vec<u8>,
}

impl Service {
    /// Runs the event loop until the process has been told to exit and has ended its calls.
    ///
    /// # Errors
    ///
    /// Fails if waiting with epoll fails.
    pub(crate) fn run(&mut self) -> Result<(), ServiceError> {
        while self.phase != Phase::Left {
            let timeout = self.timers.time_until_next(self.clock.now());
            let events = self.sockets.reactor.wait(timeout)?;
            self.now = self.clock.now();
            let turn_start = self.now;
            // Admin events come first, so that requests are answered within a second even if many clients are
            // ready.
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
            TERM_SIGNALS => {
                if read_signal(&mut self.term_signals) {
                    // The process leaves by the newest settings. Of two signals that come at once, the handler of
                    // the later one runs first, so this event may come before that of an earlier SIGHUP.
                    self.reload_if_signaled();
                    self.leave();
                }
            }
            RELOAD_SIGNALS => self.reload_if_signaled(),
            _ => self.handle_socket_event(ConnectionId(number), flags),
        }
    }

    fn reload_if_signaled(&mut self) {
        if read_signal(&mut self.reload_signals) {
            self.reload();
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

    /// Sends more of the outbox, and resumes reading the socket that fills it once enough has been sent.
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

    /// Reads a ready socket and passes the data to the handler of its role.
    pub(crate) fn read_connection(&mut self, id: ConnectionId, flags: Flags) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        if socket.connection.read_ended {
            // The peer has ended its side already: an error or a hang-up means that the connection is over.
            if flags.intersects(Flags::ERR | Flags::HUP) {
                self.connection_lost(id);
            }
            return;
        }
        let role = socket.role;
        if role == SocketRole::Predecessor {
            return self.predecessor_readable(id);
        }
        // For a connection without a call, room for one line is enough.
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
            // Its own handler reads the socket, as descriptors come with the bytes.
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

    /// Handles the failure of a connection.
    fn connection_lost(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        socket.connection.read_ended = true;
        match socket.role {
            SocketRole::Client(call) => self.client_ended(id, call, true),
            SocketRole::Host(call) => self.host_lost(call),
            SocketRole::Probe(host) => self.finish_probe(id, host, AttemptOutcome::Unreachable),
            SocketRole::EndpointList(_) => self.list_request_failed(id),
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
            TimerEvent::DecisionTimer(token) => {
                self.with_node(|node, port| node.timer_fired(now, token, port))
            }
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

    /// A random time from `first`, but after now, to `last`; the earliest possible one if `last` is before it.
    fn random_time(&mut self, first: Time, last: Time) -> Time {
        let first = first.max(self.now + Span::ms(1));
        first + last.since(first).times(self.random_fraction())
    }

    /// A random number from 0 to 1, from a generator other than that of the decision logic.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.generate::<f32>())
    }
}

/// Whether a signal has arrived; consumes it.
fn read_signal(stream: &mut UnixStream) -> bool {
    stream.read(&mut [0; 16]).is_ok()
}
