//! Simulated hosts and clients around real nodes. Node 0 is lost.

use std::collections::{BTreeMap, BTreeSet};

use glendeck::Node;
use glendeck::domain::*;
use nanorand::{Rng, WyRand};

use crate::shape::Shape;
use crate::support::{Action, EventQueue, RecordingPort, usual_endpoint, usual_settings};

const START: Time = Time(100_000_000_000_000);
const DAY: Span = Span::ms(65_000);
const LOSS_AT: Span = Span::ms(50_000);
/// For how long after the loss service is measured.
const MEASURED: Span = Span::ms(10_000);
const LOST_NODE: usize = 0;
/// Most homes and loads that a node's warm state has.
const WARM_STATE_LIMIT: usize = 2_048;
/// Clients that come first arrive within so long.
const RAMP_MS: u64 = 15_000;
/// A host's state advances in steps of this length.
const STEP_MS: u64 = 100;
const STEP_SECONDS: f64 = 0.1;
/// Hosts report message times once in so many steps.
const STEPS_PER_REPORT: u64 = 10;
/// Backlog in seconds from which a host reports, and up to which clients are served well.
const REPORTED_BACKLOG: f64 = 0.03;
const GOOD_BACKLOG: f64 = 0.1;
const MAX_BACKLOG: f64 = 2.0;
/// What a setup in progress costs a host, in connections.
const SETUP_LOAD: f64 = 0.2;

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
pub struct Service {
    pub wanted: f64,
    pub served: f64,
}

/// One day of a fleet.
pub struct World {
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
    Settings { cross_zone_price: 0.03, ..usual_settings(node, shape.nodes) }
}

impl World {
    /// A fleet with as many clients as fill the hosts as the shape says, without what groups cost beside them.
    pub fn new(seed: u64, shape: Shape, told_after_ms: Option<u64>) -> World {
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
    pub fn run(mut self) -> Service {
        let end = self.now + DAY;
        while let Some((time, event)) = self.events.pop_until(end) {
            self.now = time;
            self.handle(event);
        }
        self.service
    }

    /// A new client arrives within so long.
    fn add_client(&mut self, within_ms: u64) {
        let heavy = self.shape.heavy_clients;
        let mean = 1.0 + heavy.percent as f64 / 100.0 * (heavy.factor - 1.0);
        let is_heavy = self.random_below(100) < heavy.percent;
        let load = if is_heavy { heavy.factor / mean } else { 1.0 / mean };
        let groups = self.shape.groups.count;
        let group = (groups > 0).then(|| GroupId(1 + self.random_below(groups)));
        let index = self.clients.len();
        self.clients.push(Client {
            load,
            group,
            request: None,
            host: None,
            is_open: false,
            wants_service: true,
            visits: 0,
        });
        let delay = self.random_below(within_ms);
        self.schedule(delay, Event::ClientArrives(index));
    }

    fn publish_list(&mut self) {
        let endpoints: Vec<Endpoint> =
            (0..self.shape.hosts).map(|index| usual_endpoint(HostId(index as u64 + 1))).collect();
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

    /// What a setup takes at a host: longer the more it is used, and far longer once it is overloaded.
    fn setup_time_ms(&self, host: HostIndex) -> u64 {
        let utilisation = self.utilisation(host);
        let by_use = if utilisation < 0.9 {
            20.0 / (1.0 - utilisation)
        } else {
            200.0 + 2_000.0 * (utilisation - 0.9)
        };
        (by_use + 1_000.0 * self.hosts[host].backlog) as u64
    }

    fn utilisation(&self, host: HostIndex) -> f64 {
        let host = &self.hosts[host];
        (host.load + SETUP_LOAD * f64::from(host.pending_setups)) / self.shape.capacity
    }

    /// Sums the loads of connections and of the groups that have any there.
    fn update_loads(&mut self) {
        for host in &mut self.hosts {
            host.load = 0.0;
        }
        let mut groups: BTreeSet<(HostIndex, GroupId)> = BTreeSet::new();
        for client in self.clients.iter().filter(|client| client.is_open) {
            let Some(host) = client.host else { continue };
            self.hosts[host].load += client.load;
            groups.extend(client.group.map(|group| (host, group)));
        }
        for (host, _) in groups {
            self.hosts[host].load += self.shape.groups.cost;
        }
    }

    /// A client's connection ends at its node and host.
    fn end_connection(&mut self, client: ClientIndex, outcome: AttemptOutcome) {
        let Some((node, call)) = self.clients[client].request else { return };
        self.clients[client].disconnect();
        if let Some(state) = self.calls[node].remove(&call) {
            let attempt = AttemptNumber(state.attempts - 1);
            self.notify(node, |node, now, port| {
                node.attempt_ended(now, call, attempt, outcome, true, port);
            });
        }
    }

    fn client_returns(&mut self, client: ClientIndex) {
        self.clients[client].disconnect();
        self.clients[client].visits += 1;
        let delay = 60 + self.random_below(540);
        self.schedule(delay, Event::ClientArrives(client));
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

    fn client_arrives(&mut self, client: ClientIndex) {
        let first_node = usize::from(self.nodes[LOST_NODE].is_none());
        let nodes = (self.nodes.len() - first_node) as u64;
        let node = first_node + self.random_below(nodes) as usize;
        self.last_call += 1;
        let id = CallId(self.last_call);
        let call = Call {
            id,
            traffic: ClassId(0),
            tenant: TenantId(0),
            subject: Some(SubjectId(client as u64)),
            group: self.clients[client].group,
            guard: self.now + Span::ms(3_000),
            load: None,
            returning: self.clients[client].visits > 0,
            mid_flow: false,
            before: None,
        };
        self.clients[client].request = Some((node, id));
        self.calls[node].insert(id, CallState { client, attempts: 0, host: 0 });
        self.notify(node, |node, now, port| node.call_arrived(now, call, port));
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

    fn release_setup(&mut self, host: HostIndex) {
        let pending_setups = &mut self.hosts[host].pending_setups;
        *pending_setups = pending_setups.saturating_sub(1);
    }

    fn report_load(&mut self, key: AttemptKey) {
        let Some(state) = self.calls[key.node].get(&key.call) else { return };
        let load = self.clients[state.client].load;
        self.notify(key.node, |node, now, port| {
            node.attempt_report(now, key.call, key.attempt, News::Load(load), port);
        });
    }

    fn attempt_times_out(&mut self, key: AttemptKey) {
        let Some((_, host)) = self.client_and_host(key) else { return };
        self.release_setup(host);
        self.notify(key.node, |node, now, port| {
            node.attempt_ended(now, key.call, key.attempt, AttemptOutcome::TimedOut, false, port);
        });
    }

    /// Another client takes its place, somewhere else, soon.
    fn client_leaves(&mut self, client: ClientIndex, visit: u32) {
        if self.clients[client].visits == visit && self.clients[client].is_open {
            self.end_connection(client, AttemptOutcome::Completed);
            self.clients[client].wants_service = false;
            self.add_client(500);
        }
    }

    fn hosts_step(&mut self) {
        self.update_loads();
        let steps = self.now.0 / Span::ms(STEP_MS).0;
        let mut reports = Vec::new();
        for host in 0..self.hosts.len() {
            let utilisation = self.utilisation(host);
            let backlog = self.hosts[host].backlog + STEP_SECONDS * (utilisation - 1.0);
            let backlog = backlog.clamp(0.0, MAX_BACKLOG);
            self.hosts[host].backlog = backlog;
            if backlog > REPORTED_BACKLOG && steps.is_multiple_of(STEPS_PER_REPORT) {
                reports.push((host, backlog));
            }
        }
        for (host, backlog) in reports {
            for node in 0..self.nodes.len() {
                self.report_message_time(node, host, backlog);
            }
        }
        self.measure_service();
        self.schedule(STEP_MS, Event::HostsStep);
    }

    /// A host tells a node what a message takes, on one of the node's connections there.
    fn report_message_time(&mut self, node: NodeIndex, host: HostIndex, backlog: f64) {
        let is_open_there = |state: &CallState| state.host == host && self.clients[state.client].is_open;
        let Some((call, state)) = self.calls[node].iter().find(|(_, state)| is_open_there(state)) else {
            return;
        };
        let call = *call;
        let attempt = AttemptNumber(state.attempts - 1);
        let news = News::MessageTime(Span::from_seconds(backlog));
        self.notify(node, |node, now, port| node.attempt_report(now, call, attempt, news, port));
    }

    fn measure_service(&mut self) {
        if self.lost_at.is_none_or(|lost_at| self.now >= lost_at + MEASURED) {
            return;
        }
        for client in self.clients.iter().filter(|client| client.wants_service) {
            let is_well = |host: HostIndex| self.hosts[host].backlog <= GOOD_BACKLOG;
            let is_served = client.is_open && client.host.is_some_and(is_well);
            self.service.wanted += STEP_SECONDS;
            self.service.served += if is_served { STEP_SECONDS } else { 0.0 };
        }
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
