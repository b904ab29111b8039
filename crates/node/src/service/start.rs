//! The start of a node: from its configuration, and from its predecessor if one serves.

use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use glendeck::Node;
use glendeck::domain::{NodeSnapshot, Span};
use nanorand::WyRand;

use super::clock::Clock;
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
use crate::metrics::Metrics;
use crate::reactor::{ADMIN, Flags, LISTENER, RELOADS, Reactor, SIGNALS};
use crate::timers::{TimerEvent, Timers};

/// An agent on the node's own machine answers within milliseconds, or its service is down and it knows
/// nothing new.
const AGENT_TIMEOUT: Span = Span::ms(1_000);

/// The listening sockets and the signals, watched by a reactor.
struct EventSources {
    reactor: Reactor,
    listener: OwnedFd,
    admin: AdminServer,
    signals: UnixStream,
    reloads: UnixStream,
}

/// The process that serves until this one can.
struct Predecessor {
    line: UnixStream,
    /// What it has told, if that could be read.
    state: Option<HandoverState>,
}

/// What is known before the endpoint list has been heard.
struct KnownBefore {
    list: Option<EndpointListUpdate>,
    node: Option<PredecessorState>,
}

struct PredecessorState {
    snapshot: NodeSnapshot,
    was_drained: bool,
}

impl Service {
    /// Listens, takes over what a predecessor tells, and joins the fleet.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the system refuses epoll or signals, or the fleet cannot be
    /// joined.
    pub(crate) fn start(
        mut config: NodeConfig,
        machine: crate::InjectedFaults,
    ) -> Result<Service, ServiceError> {
        let inherited = Inherited::request(&config);
        let configured_list = config.known.take();
        let (sources, mut predecessor) = open_sources(&config, inherited)?;
        let mut service = Service::new(config, sources, Clock::start(machine.clock_ahead_s));
        let state = predecessor.as_mut().and_then(|predecessor| predecessor.state.take());
        service.start_decisions(merge_known(configured_list, state));
        if let Some(predecessor) = predecessor {
            service.follow_predecessor(predecessor.line);
        }
        service.deliver_reports();
        service.join_fleet(machine.disk)?;
        if service.config.list_is_pushed {
            service.timers.set(service.now + AGENT_TIMEOUT, TimerEvent::EndpointListOverdue);
        }
        service.serve_if_ready();
        Ok(service)
    }

    fn new(config: NodeConfig, sources: EventSources, clock: Clock) -> Service {
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
            drain_number: 0,
            slowest_turn: Span::ZERO,
            // Another seed than the decisions', so that the two sequences are independent.
            random: WyRand::new_seed(!config.seed),
            signals: sources.signals,
            reloads: sources.reloads,
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

    fn start_decisions(&mut self, known: KnownBefore) {
        // The known list's index stands before the first request, which then asks for what came after it.
        if let Some(list) = &known.list {
            self.list.set_index(list.index);
        }
        let settings = self.config.settings.clone();
        let node = Node::start(settings, self.config.seed, self.now, self);
        self.node = Some(Box::new(node));
        if let Some(list) = known.list {
            self.remember_list(list);
        }
        if let Some(PredecessorState { snapshot, was_drained }) = known.node {
            self.handover.was_drained = was_drained;
            self.with_node(|node, _| node.restore(&snapshot));
        }
    }
}

/// Opens what the node waits for, with the listening socket of its predecessor if there is one.
fn open_sources(
    config: &NodeConfig,
    inherited: Option<Inherited>,
) -> Result<(EventSources, Option<Predecessor>), ServiceError> {
    let (listener, predecessor) = match inherited {
        Some(Inherited { listener, connection: line, state }) => {
            (listener, Some(Predecessor { line, state }))
        }
        None => (listen(config)?, None),
    };
    let reactor = Reactor::new()?;
    // A predecessor goes on accepting until this process can serve.
    let listener_flags = if predecessor.is_none() { Flags::IN } else { Flags::empty() };
    reactor.add(&listener, LISTENER, listener_flags)?;
    let admin = AdminServer::open(config.admin)
        .map_err(|error| ServiceError::Listen { address: error.address, source: error.cause })?;
    if let Some(listener) = &admin.listener {
        reactor.add(listener, ADMIN, Flags::IN)?;
    }
    let signals = signal_stream(signal_hook::consts::SIGTERM)?;
    reactor.add(&signals, SIGNALS, Flags::IN)?;
    // Unhandled, SIGHUP would end the process and all its connections.
    let reloads = signal_stream(signal_hook::consts::SIGHUP)?;
    reactor.add(&reloads, RELOADS, Flags::IN)?;
    Ok((EventSources { reactor, listener, admin, signals, reloads }, predecessor))
}

fn listen(config: &NodeConfig) -> Result<OwnedFd, ServiceError> {
    let address = config.listen;
    connection::listen(address).map_err(|source| ServiceError::Listen { address, source })
}

/// A stream that becomes readable with each signal of this number.
fn signal_stream(signal: i32) -> Result<UnixStream, std::io::Error> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, sender)?;
    Ok(receiver)
}

/// The newer one of the configured list and the predecessor's counts, the predecessor's among equals.
fn merge_known(configured: Option<EndpointListUpdate>, state: Option<HandoverState>) -> KnownBefore {
    let Some(state) = state else { return KnownBefore { list: configured, node: None } };
    let list = match configured {
        Some(configured) if configured.index > state.list.index => configured,
        _ => state.list,
    };
    let node = PredecessorState { snapshot: state.node, was_drained: state.drained };
    KnownBefore { list: Some(list), node: Some(node) }
}
