//! Simulation of hosts and clients around real nodes, of which node 0 is lost.

mod clients;
mod hosts;

use std::collections::BTreeMap;

use glendeck::Node;
use glendeck::domain::{
    AttemptNumber, AttemptOutcome, AttemptReport, CallId, Endpoint, GroupId, HostId, ListUpdate, Settings,
    Span, Time, TimerToken, WarmState,
};
use nanorand::{Rng, WyRand};

use crate::parameters::FleetParameters;
use crate::support::{Action, EventQueue, RecordingPort, default_endpoint, default_settings};

const START: Time = Time(100_000_000_000_000);
const DURATION: Span = Span::ms(65_000);
const LOSS_AFTER: Span = Span::ms(50_000);
const LOST_NODE: usize = 0;
/// Maximum number of homes, and of loads, in a node's warm state.
const WARM_STATE_LIMIT: usize = 2_048;
/// Time within which the initial clients arrive.
const RAMP_MS: u64 = 15_000;

type NodeIndex = usize;
type ClientIndex = usize;
type HostIndex = usize;

/// An attempt of a call at a node.
#[derive(Clone, Copy)]
struct AttemptKey {
    node: NodeIndex,
    call: CallId,
    attempt: AttemptNumber,
}

enum Event {
    Timer(NodeIndex, TimerToken),
    ClientArrives(ClientIndex),
    Established(AttemptKey),
    ReportLoad(AttemptKey),
    AttemptTimesOut(AttemptKey),
    /// The client leaves, unless its number of reconnects has changed.
    ClientLeaves(ClientIndex, u32),
    HostsStep,
    NodeLost,
    SendWarmState,
}

#[derive(Clone, Copy)]
struct Client {
    load: f64,
    group: Option<GroupId>,
    /// The node and call of its request.
    request: Option<(NodeIndex, CallId)>,
    host: Option<HostIndex>,
    is_open: bool,
    wants_service: bool,
    /// How often the client had to try again, after a lost connection or a final answer without one.
    reconnects: u32,
}

impl Client {
    fn disconnect(&mut self) {
        self.request = None;
        self.host = None;
        self.is_open = false;
    }
}

struct CallState {
    client: ClientIndex,
    attempts: u16,
    host: HostIndex,
}

#[derive(Clone, Copy, Default)]
struct HostState {
    load: f64,
    /// Work that waits to be done, in seconds.
    backlog: f64,
    pending_setups: u32,
}

/// Client seconds in the measurement period after the loss.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    pub wanted: f64,
    pub served: f64,
}

/// One simulated run of a fleet.
pub(crate) struct Simulation {
    parameters: FleetParameters,
    now: Time,
    events: EventQueue<Event>,
    rng: WyRand,
    nodes: Vec<Option<Node>>,
    calls: Vec<BTreeMap<CallId, CallState>>,
    hosts: Vec<HostState>,
    clients: Vec<Client>,
    last_call: u64,
    /// Time from the loss until the others get the warm state; `None` for never.
    sent_after_ms: Option<u64>,
    warm_state: WarmState,
    service: Service,
    lost_at: Option<Time>,
}

fn settings(parameters: &FleetParameters, node: NodeIndex) -> Settings {
    Settings { cross_zone_price: 0.03, ..default_settings(node, parameters.nodes) }
}

impl Simulation {
    /// A fleet with clients that fill the hosts as the parameters say, not counting the load of groups.
    pub(crate) fn new(seed: u64, parameters: FleetParameters, sent_after_ms: Option<u64>) -> Simulation {
        let mut simulation = Simulation {
            parameters,
            now: START,
            events: EventQueue::default(),
            rng: WyRand::new_seed(seed),
            nodes: Vec::new(),
            calls: Vec::new(),
            hosts: vec![HostState::default(); parameters.hosts],
            clients: Vec::new(),
            last_call: 0,
            sent_after_ms,
            warm_state: WarmState::default(),
            service: Service::default(),
            lost_at: None,
        };
        for node in 0..parameters.nodes {
            let mut port = RecordingPort::default();
            let started =
                Node::start(settings(&parameters, node), seed * 100 + node as u64, START, &mut port);
            simulation.nodes.push(Some(started));
            simulation.calls.push(BTreeMap::new());
            simulation.carry_out(node, port);
        }
        simulation.publish_list();
        let clients = parameters.hosts as f64 * parameters.capacity * parameters.fill;
        for _ in 0..clients as usize {
            simulation.add_client(RAMP_MS);
        }
        simulation.schedule(500, Event::HostsStep);
        simulation.events.push(START + LOSS_AFTER, Event::NodeLost);
        simulation
    }

    /// Runs the simulation; returns how the clients were served.
    pub(crate) fn run(mut self) -> Service {
        let end = self.now + DURATION;
        while let Some((time, event)) = self.events.pop_until(end) {
            self.now = time;
            self.handle(event);
        }
        self.service
    }

    fn publish_list(&mut self) {
        let endpoints: Vec<Endpoint> =
            (0..self.parameters.hosts).map(|index| default_endpoint(HostId(index as u64 + 1))).collect();
        for node in 0..self.nodes.len() {
            self.notify(node, |node, now, port| {
                node.endpoints_changed(now, ListUpdate::Complete, &endpoints, port);
            });
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.generate_range(0..bound)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.push(self.now + Span::ms(delay_ms), event);
    }

    /// Reports an event to a node and carries out the actions it requests; a lost node is skipped.
    fn notify(&mut self, node_index: NodeIndex, event: impl FnOnce(&mut Node, Time, &mut RecordingPort)) {
        let Some(node) = &mut self.nodes[node_index] else { return };
        let mut port = RecordingPort::default();
        event(node, self.now, &mut port);
        self.carry_out(node_index, port);
    }

    fn carry_out(&mut self, node: NodeIndex, port: RecordingPort) {
        for action in port.actions {
            match action {
                Action::SetTimer { time, token } => {
                    self.events.push(time.max(self.now), Event::Timer(node, token));
                }
                Action::SendAttempt { call, host, timeout } => {
                    self.attempt_sent(node, call, host.0 as usize - 1, timeout);
                }
                Action::Reject { call, .. } | Action::Fail { call } => {
                    if let Some(state) = self.calls[node].remove(&call) {
                        self.client_returns(state.client);
                    }
                }
                Action::Migrate { call } => {
                    let Some(client) = self.calls[node].get(&call).map(|state| state.client) else {
                        continue;
                    };
                    self.end_connection(client, AttemptOutcome::Canceled);
                    self.client_returns(client);
                }
                Action::Probe { host } => self.notify(node, |node, now, port| {
                    node.probe_finished(now, host, AttemptOutcome::Completed, Span::ms(2), port);
                }),
                Action::Cancel { .. } | Action::FetchEndpoints | Action::WatchEndpoints => {}
            }
        }
    }

    fn attempt_sent(&mut self, node: NodeIndex, call: CallId, host: HostIndex, timeout: Span) {
        let Some(state) = self.calls[node].get_mut(&call) else { return };
        let key = AttemptKey { node, call, attempt: AttemptNumber(state.attempts) };
        state.host = host;
        state.attempts += 1;
        self.hosts[host].pending_setups += 1;
        let took_ms = self.setup_time_ms(host) + self.random_below(10);
        if Span::ms(took_ms) < timeout {
            self.schedule(took_ms, Event::Established(key));
        } else {
            self.schedule(timeout.0 / Span::ms(1).0, Event::AttemptTimesOut(key));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Timer(node, token) => {
                self.notify(node, |node, now, port| node.timer_fired(now, token, port));
            }
            Event::ClientArrives(client) => self.client_arrives(client),
            Event::Established(key) => self.established(key),
            Event::ReportLoad(key) => self.report_load(key),
            Event::AttemptTimesOut(key) => self.attempt_times_out(key),
            Event::ClientLeaves(client, expected_reconnects) => {
                self.client_leaves(client, expected_reconnects)
            }
            Event::HostsStep => self.hosts_step(),
            Event::NodeLost => self.node_lost(),
            Event::SendWarmState => self.send_warm_state(),
        }
    }

    /// The client and host of an attempt, if the attempt is the call's last one.
    fn client_and_host(&self, key: AttemptKey) -> Option<(ClientIndex, HostIndex)> {
        let state = self.calls[key.node].get(&key.call)?;
        (state.attempts == key.attempt.0 + 1).then_some((state.client, state.host))
    }

    fn established(&mut self, key: AttemptKey) {
        let Some((client, host)) = self.client_and_host(key) else { return };
        self.release_setup(host);
        self.clients[client].is_open = true;
        self.clients[client].host = Some(host);
        self.update_loads();
        self.notify(key.node, |node, now, port| {
            node.attempt_established(now, key.call, key.attempt, Span::ms(30), port);
        });
        self.schedule(150, Event::ReportLoad(key));
        if self.clients[client].reconnects == 0 || self.random_below(2) == 0 {
            let exponential = -(1.0 - f64::from(self.rng.generate::<f32>())).ln();
            let lifetime_ms = exponential * self.parameters.mean_lifetime_seconds * 1_000.0;
            let expected_reconnects = self.clients[client].reconnects;
            self.schedule(lifetime_ms as u64 + 200, Event::ClientLeaves(client, expected_reconnects));
        }
    }

    fn report_load(&mut self, key: AttemptKey) {
        let Some(state) = self.calls[key.node].get(&key.call) else { return };
        let load = self.clients[state.client].load;
        self.notify(key.node, |node, now, port| {
            node.attempt_report(now, key.call, key.attempt, AttemptReport::Load(load), port);
        });
    }

    fn attempt_times_out(&mut self, key: AttemptKey) {
        let Some((_, host)) = self.client_and_host(key) else { return };
        self.release_setup(host);
        self.notify(key.node, |node, now, port| {
            node.attempt_ended(now, key.call, key.attempt, AttemptOutcome::TimedOut, false, port);
        });
    }

    fn node_lost(&mut self) {
        self.lost_at = Some(self.now);
        let node = self.nodes[LOST_NODE].as_ref().expect("the node is lost only once");
        self.warm_state = node.warm_state(WARM_STATE_LIMIT);
        if let Some(delay_ms) = self.sent_after_ms {
            self.schedule(delay_ms, Event::SendWarmState);
        }
        if self.parameters.is_false_alarm {
            return;
        }
        self.nodes[LOST_NODE] = None;
        for state in std::mem::take(&mut self.calls[LOST_NODE]).into_values() {
            if !self.clients[state.client].is_open && state.attempts > 0 {
                self.release_setup(state.host);
            }
            self.client_returns(state.client);
        }
    }

    fn send_warm_state(&mut self) {
        let warm_state = self.warm_state.clone();
        for node in 0..self.nodes.len() {
            if node != LOST_NODE {
                self.notify(node, |node, now, _| node.adopt_warm_state(now, &warm_state));
            }
        }
    }
}
