//! Start of a node: from its configuration, and from the state of its predecessor if one is running.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

use glendeck::Node;
use glendeck::domain::{NodeSnapshot, Span};
use nanorand::WyRand;

use super::clock::Clock;
use super::drain::DrainState;
use super::reports::PendingReports;
use super::sockets::SocketTable;
use super::{Service, ServiceError};
use crate::admin::AdminServer;
use crate::call::CallTable;
use crate::clients::AcceptQueue;
use crate::config::NodeConfig;
use crate::connection::{self, READ_SIZE};
use crate::endpoint_list::{EndpointListClient, EndpointListUpdate};
use crate::handover::{Handover, HandoverState, Inherited};
use crate::hosts::HostTable;
use crate::lifecycle::Phase;
use crate::logging::LostLines;
use crate::metrics::Metrics;
use crate::reactor::{ADMIN, Flags, LISTENER, RELOAD_SIGNALS, Reactor, TERM_SIGNALS};
use crate::timers::{TimerEvent, Timers};

/// Time that the node waits for the list of an agent on its own machine. The agent answers within
/// milliseconds, or its service is down and it knows nothing new.
const AGENT_TIMEOUT: Span = Span::ms(1_000);

/// The listening sockets and the signal streams, with the reactor that watches them.
struct EventSources {
    reactor: Reactor,
    listener: OwnedFd,
    admin: AdminServer,
    term_signals: UnixStream,
    reload_signals: UnixStream,
}

/// The process that serves until this one is ready.
struct Predecessor {
    connection: UnixStream,
    /// The state that it has handed over, if it could be decoded.
    state: Option<HandoverState>,
}

/// What the node knows before it has received the endpoint list.
struct InitialState {
    list: Option<EndpointListUpdate>,
    node: Option<PredecessorState>,
}

struct PredecessorState {
    snapshot: NodeSnapshot,
    /// Time since the start of the predecessor's drain; `None` if it is in service.
    drain_elapsed: Option<Span>,
    /// The number of the drain's last change, if the predecessor follows those that this process reports.
    drain_number: Option<u32>,
}

impl Service {
    /// Opens the listening sockets, takes over the state of a predecessor, and joins the fleet.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, epoll or signal handlers cannot be set up, or the fleet cannot be
    /// joined.
    pub(crate) fn start(
        mut config: NodeConfig,
        faults: crate::InjectedFaults,
        lost_log_lines: Arc<LostLines>,
    ) -> Result<Service, ServiceError> {
        let inherited = Inherited::request(&config);
        let configured_list = config.known.take();
        let (sources, mut predecessor) = open_sources(&config, inherited)?;
        let clock = Clock::start(faults.clock_ahead_s);
        let mut service = Service::new(config, sources, clock, lost_log_lines);
        let state = predecessor.as_mut().and_then(|predecessor| predecessor.state.take());
        service.start_decision_logic(merge_initial_state(configured_list, state));
        if let Some(predecessor) = predecessor {
            service.follow_predecessor(predecessor.connection);
        }
        service.deliver_reports();
        service.join_fleet(faults.disk)?;
        if service.config.list_is_pushed {
            service.timers.set(service.now + AGENT_TIMEOUT, TimerEvent::EndpointListOverdue);
        }
        service.serve_if_ready();
        Ok(service)
    }

    fn new(
        config: NodeConfig,
        sources: EventSources,
        clock: Clock,
        lost_log_lines: Arc<LostLines>,
    ) -> Service {
        Service {
            phase: Phase::Starting,
            now: clock.now(),
            clock,
            timers: Timers::default(),
            listener: Some(sources.listener),
            accept_queue: AcceptQueue::default(),
            admin: sources.admin,
            handover: Handover::default(),
            membership: None,
            metrics: Metrics::new(&config.names.traffic),
            lost_log_lines,
            drain: DrainState::default(),
            slowest_turn: Span::ZERO,
            // The seed differs from that of the decision logic, so that the two sequences are independent.
            random: WyRand::new_seed(!config.seed),
            term_signals: sources.term_signals,
            reload_signals: sources.reload_signals,
            sockets: SocketTable::new(sources.reactor),
            calls: CallTable::default(),
            idle: VecDeque::new(),
            attempts_out: 0,
            hosts: HostTable::default(),
            list: EndpointListClient::default(),
            node: None,
            reports: PendingReports::default(),
            read_buffer: vec![0; READ_SIZE],
            config,
        }
    }

    fn start_decision_logic(&mut self, known: InitialState) {
        // The index of the known list is set before the first request, which then asks for later changes.
        if let Some(list) = &known.list {
            self.list.set_index(list.index);
        }
        let settings = self.config.settings.clone();
        let node = Node::start(settings, self.config.seed, self.now, self);
        self.node = Some(Box::new(node));
        if let Some(list) = known.list {
            self.apply_cached_list(list);
        }
        if let Some(PredecessorState { snapshot, drain_elapsed, drain_number }) = known.node {
            self.handover.predecessor_follows_drain = drain_number.is_some();
            self.inherit_drain(drain_elapsed, drain_number);
            self.with_node(|node, _| node.restore(&snapshot));
        }
    }
}

/// Opens the node's event sources, with the listening socket of its predecessor if there is one.
fn open_sources(
    config: &NodeConfig,
    inherited: Option<Inherited>,
) -> Result<(EventSources, Option<Predecessor>), ServiceError> {
    let (listener, predecessor) = match inherited {
        Some(Inherited { listener, connection, state }) => {
            (listener, Some(Predecessor { connection, state }))
        }
        None => (listen(config)?, None),
    };
    let reactor = Reactor::new()?;
    // A predecessor goes on accepting until this process is ready to serve.
    let listener_flags = if predecessor.is_none() { Flags::IN } else { Flags::empty() };
    reactor.add(&listener, LISTENER, listener_flags)?;
    let admin = AdminServer::open(config.admin)
        .map_err(|error| ServiceError::Listen { address: error.address, source: error.cause })?;
    if let Some(listener) = &admin.listener {
        reactor.add(listener, ADMIN, Flags::IN)?;
    }
    let term_signals = signal_stream(signal_hook::consts::SIGTERM)?;
    reactor.add(&term_signals, TERM_SIGNALS, Flags::IN)?;
    // Without a handler, SIGHUP would end the process and all its connections.
    let reload_signals = signal_stream(signal_hook::consts::SIGHUP)?;
    reactor.add(&reload_signals, RELOAD_SIGNALS, Flags::IN)?;
    Ok((EventSources { reactor, listener, admin, term_signals, reload_signals }, predecessor))
}

fn listen(config: &NodeConfig) -> Result<OwnedFd, ServiceError> {
    let address = config.listen;
    connection::listen(address).map_err(|source| ServiceError::Listen { address, source })
}

/// Returns a stream that becomes readable whenever this signal arrives.
fn signal_stream(signal: i32) -> Result<UnixStream, std::io::Error> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, sender)?;
    Ok(receiver)
}

/// Merges the configured list and the predecessor's state: the list with the higher index is used, the
/// predecessor's if they are equal.
fn merge_initial_state(configured: Option<EndpointListUpdate>, state: Option<HandoverState>) -> InitialState {
    let Some(state) = state else { return InitialState { list: configured, node: None } };
    let list = match configured {
        Some(configured) if configured.index > state.list.index => configured,
        _ => state.list,
    };
    let node = PredecessorState {
        snapshot: state.node,
        drain_elapsed: state.drain_elapsed,
        drain_number: state.drain_number,
    };
    InitialState { list: Some(list), node: Some(node) }
}
