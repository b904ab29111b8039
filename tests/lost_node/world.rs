//! Simulated hosts and clients around real nodes. Node 0 is lost.

mod clients;
mod hosts;

use std::collections::BTreeMap;

use glendeck::Node;
use glendeck::domain::{
    AttemptNumber, AttemptOutcome, AttemptReport, CallId, Endpoint, GroupId, HostId, ListUpdate, Settings,
    Span, Time, TimerToken, WarmState,
};
use nanorand::{Rng, WyRand};

use crate::shape::Shape;
use crate::support::{Action, EventQueue, RecordingPort, default_endpoint, default_settings};

const START: Time = Time(100_000_000_000_000);
const DAY: Span = Span::ms(65_000);
const LOSS_AT: Span = Span::ms(50_000);
const LOST_NODE: usize = 0;
/// Most homes and loads that a node's warm state has.
const WARM_STATE_LIMIT: usize = 2_048;
/// Clients that come first arrive within so long.
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
    /// The client leaves, if it is still on the visit with this number.
    ClientLeaves(ClientIndex, u32),
    HostsStep,
    NodeLost,
    TellWarmState,
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
    /// Visits before this one.
    visits: u32,
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
    /// Work that has piled up, in seconds.
    backlog: f64,
    pending_setups: u32,
}

/// Client seconds after the loss.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    pub wanted: f64,
    pub served: f64,
}

/// One day of a fleet.
pub(crate) struct World {
    shape: Shape,
    now: Time,
    events: EventQueue<Event>,
    rng: WyRand,
    nodes: Vec<Option<Node>>,
    calls: Vec<BTreeMap<CallId, CallState>>,
    hosts: Vec<HostState>,
    clients: Vec<Client>,
    last_call: u64,
    /// When the others are told the warm state, after the loss; `None` for never.
    told_after_ms: Option<u64>,
    warm_state: WarmState,
    service: Service,
    lost_at: Option<Time>,
}

fn settings(shape: &Shape, node: NodeIndex) -> Settings {
    Settings { cross_zone_price: 0.03, ..default_settings(node, shape.nodes) }
}

impl World {
    /// A fleet with as many clients as fill the hosts as the shape says, without what groups cost beside them.
    pub(crate) fn new(seed: u64, shape: Shape, told_after_ms: Option<u64>) -> World {
        let mut world = World {
            shape,
            now: START,
            events: EventQueue::default(),
            rng: WyRand::new_seed(seed),
            nodes: Vec::new(),
            calls: Vec::new(),
            hosts: vec![HostState::default(); shape.hosts],
            clients: Vec::new(),
            last_call: 0,
            told_after_ms,
            warm_state: WarmState::default(),
            service: Service::default(),
            lost_at: None,
        };
        for node in 0..shape.nodes {
            let mut port = RecordingPort::default();
            let started = Node::start(settings(&shape, node), seed * 100 + node as u64, START, &mut port);
            world.nodes.push(Some(started));
            world.calls.push(BTreeMap::new());
            world.carry_out(node, port);
        }
        world.publish_list();
        let clients = shape.hosts as f64 * shape.capacity * shape.fill;
        for _ in 0..clients as usize {
            world.add_client(RAMP_MS);
        }
        world.schedule(500, Event::HostsStep);
        world.events.push(START + LOSS_AT, Event::NodeLost);
        world
    }

    /// Plays the day.
    pub(crate) fn run(mut self) -> Service {
        let end = self.now + DAY;
        while let Some((time, event)) = self.events.pop_until(end) {
            self.now = time;
            self.handle(event);
        }
        self.service
    }

    fn publish_list(&mut self) {
        let endpoints: Vec<Endpoint> =
            (0..self.shape.hosts).map(|index| default_endpoint(HostId(index as u64 + 1))).collect();
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

    /// Tells a node of an event and carries out what it decides; a lost node hears nothing.
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
            Event::ClientLeaves(client, visit) => self.client_leaves(client, visit),
            Event::HostsStep => self.hosts_step(),
            Event::NodeLost => self.node_lost(),
            Event::TellWarmState => self.tell_warm_state(),
        }
    }

    /// The client and host of an attempt, if that is the call's last one.
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
        if self.clients[client].visits == 0 || self.random_below(2) == 0 {
            let exponential = -(1.0 - f64::from(self.rng.generate::<f32>())).ln();
            let stay_ms = exponential * self.shape.mean_stay_seconds * 1_000.0;
            let visit = self.clients[client].visits;
            self.schedule(stay_ms as u64 + 200, Event::ClientLeaves(client, visit));
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
        let node = self.nodes[LOST_NODE].as_ref().expect("the node was there until now");
        self.warm_state = node.warm_state(WARM_STATE_LIMIT);
        if let Some(delay_ms) = self.told_after_ms {
            self.schedule(delay_ms, Event::TellWarmState);
        }
        if self.shape.is_false_alarm {
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

    fn tell_warm_state(&mut self) {
        let warm_state = self.warm_state.clone();
        for node in 0..self.nodes.len() {
            if node != LOST_NODE {
                self.notify(node, |node, now, _| node.adopt_warm_state(now, &warm_state));
            }
        }
    }
}
