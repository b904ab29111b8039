//! Guards against a cold host that is overloaded by all nodes of a fleet together, none of which sees what
//! the others send it. Real nodes run in simulated time with simulated clients and hosts, and the limit on
//! attempts to a cold host is checked in every window of the configured length.

mod support;

use std::collections::BTreeMap;

use glendeck::Node;
use glendeck::domain::{
    AttemptNumber, AttemptOutcome, Call, CallId, ClassId, Condition, Endpoint, HostId, ListUpdate, Settings,
    SlowStart, Span, SubjectId, TenantId, Time, TimerToken,
};
use nanorand::{Rng, WyRand};
use support::{Action, EventQueue, RecordingPort, default_endpoint, default_settings};
use test_case::test_case;

const START: Time = Time(100_000_000_000_000);
const HOSTS: usize = 10;
/// Connections of a full host.
const HOST_CAPACITY: f64 = 40.0;
/// Mean lifetime of a connection.
const MEAN_LIFETIME_MS: u64 = 40_000;
/// Share of the hosts' capacity that connections fill before the burst.
const USUAL_FILL: f64 = 0.5;
const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.2,
    duration: Span::ms(20_000),
    capacity_multiple: 3.0,
    window: Span::ms(1_000),
};
/// Simulation runs for each number of nodes, each with its own seed.
const RUNS: u64 = 100;
const RUN_MS: u64 = 90_000;
/// Time within which the initial clients arrive.
const RAMP_MS: u64 = 20_000;
/// Time during which clients arrive at four times the usual rate.
const BURST_MS: std::ops::Range<u64> = 61_000..75_000;

type NodeIndex = usize;

/// An attempt of a call at a node.
#[derive(Clone, Copy)]
struct AttemptKey {
    node: NodeIndex,
    call: CallId,
    attempt: AttemptNumber,
}

enum Event {
    Timer(NodeIndex, TimerToken),
    ClientArrives {
        is_returning: bool,
    },
    Established {
        key: AttemptKey,
        sent_at: Time,
    },
    AttemptEnds(AttemptKey, AttemptOutcome),
    /// A host fails, with all its connections.
    HostLost(usize),
    /// A failed host starts again, cold.
    HostStarts(usize),
}

#[derive(Clone, Copy, Default)]
struct CallState {
    attempts: u16,
    /// Host of the outstanding attempt.
    host: Option<usize>,
}

struct HostState {
    is_listed: bool,
    started_at: Option<Time>,
    /// Times at which attempts were sent to the host.
    sent_at: Vec<Time>,
}

/// The window with the most attempts relative to the limit, over all cold hosts.
#[derive(Default)]
struct WorstWindow {
    /// Attempts divided by the limit; the host is overloaded above 1.
    ratio: f64,
    description: String,
}

struct Fleet {
    now: Time,
    events: EventQueue<Event>,
    rng: WyRand,
    nodes: Vec<Node>,
    calls: BTreeMap<(NodeIndex, CallId), CallState>,
    hosts: Vec<HostState>,
    next_call: u64,
}

fn settings(node_index: usize, node_count: usize) -> Settings {
    Settings {
        reports_message_times: false,
        slow_start: SLOW_START,
        ..default_settings(node_index, node_count)
    }
}

impl Fleet {
    fn new(seed: u64, node_count: usize) -> Fleet {
        let new_host = || HostState { is_listed: true, started_at: None, sent_at: Vec::new() };
        let mut fleet = Fleet {
            now: START,
            events: EventQueue::default(),
            rng: WyRand::new_seed(seed),
            nodes: Vec::new(),
            calls: BTreeMap::new(),
            hosts: (0..HOSTS).map(|_| new_host()).collect(),
            next_call: 1,
        };
        for node in 0..node_count {
            let mut port = RecordingPort::default();
            let node_seed = seed * 1000 + node as u64;
            fleet.nodes.push(Node::start(settings(node, node_count), node_seed, START, &mut port));
            fleet.carry_out(node, port);
        }
        fleet.publish_list();
        fleet
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.push(self.now + Span::ms(delay_ms), event);
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.generate_range(0..bound)
    }

    /// Reports an event to a node and carries out the actions it requests.
    fn notify(&mut self, node: NodeIndex, event: impl FnOnce(&mut Node, Time, &mut RecordingPort)) {
        let mut port = RecordingPort::default();
        event(&mut self.nodes[node], self.now, &mut port);
        self.carry_out(node, port);
    }

    fn publish_list(&mut self) {
        let endpoints: Vec<Endpoint> = (0..HOSTS)
            .map(|index| Endpoint {
                condition: if self.hosts[index].is_listed { Condition::Ready } else { Condition::Gone },
                started_at: self.hosts[index].started_at,
                ..default_endpoint(HostId(index as u64 + 1))
            })
            .collect();
        for node in 0..self.nodes.len() {
            self.notify(node, |node, now, port| {
                node.endpoints_changed(now, ListUpdate::Complete, &endpoints, port);
            });
        }
    }

    fn carry_out(&mut self, node: NodeIndex, port: RecordingPort) {
        for action in port.actions {
            match action {
                Action::SendAttempt { call, host, .. } => self.attempt_sent(node, call, host),
                Action::Reject { call, .. } | Action::Fail { call } => {
                    self.calls.remove(&(node, call));
                    let delay = 100 + self.random_below(900);
                    self.schedule(delay, Event::ClientArrives { is_returning: true });
                }
                Action::Migrate { call } => {
                    let state = self.calls.get(&(node, call)).copied();
                    let Some(CallState { attempts, host: Some(_) }) = state else { continue };
                    let key = AttemptKey { node, call, attempt: AttemptNumber(attempts - 1) };
                    self.schedule(0, Event::AttemptEnds(key, AttemptOutcome::Canceled));
                }
                Action::SetTimer { time, token } => {
                    let delay_ms = time.since(self.now).0.div_ceil(Span::ms(1).0);
                    self.schedule(delay_ms, Event::Timer(node, token));
                }
                Action::Cancel { .. }
                | Action::Probe { .. }
                | Action::FetchEndpoints
                | Action::WatchEndpoints => {}
            }
        }
    }

    fn attempt_sent(&mut self, node: NodeIndex, call: CallId, host: HostId) {
        let host = host.0 as usize - 1;
        let state = self.calls.entry((node, call)).or_default();
        let key = AttemptKey { node, call, attempt: AttemptNumber(state.attempts) };
        state.attempts += 1;
        state.host = Some(host);
        self.hosts[host].sent_at.push(self.now);
        if self.hosts[host].is_listed {
            let took = 10 + self.random_below(30);
            self.schedule(took, Event::Established { key, sent_at: self.now });
        } else {
            self.schedule(5, Event::AttemptEnds(key, AttemptOutcome::Unreachable));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Timer(node, token) => {
                self.notify(node, |node, now, port| node.timer_fired(now, token, port));
            }
            Event::ClientArrives { is_returning } => self.client_arrives(is_returning),
            Event::Established { key, sent_at } => self.established(key, sent_at),
            Event::AttemptEnds(key, outcome) => self.attempt_ends(key, outcome),
            Event::HostLost(host) => self.host_lost(host),
            Event::HostStarts(host) => {
                self.hosts[host].is_listed = true;
                self.hosts[host].started_at = Some(self.now);
                self.publish_list();
            }
        }
    }

    fn client_arrives(&mut self, is_returning: bool) {
        let node = self.random_below(self.nodes.len() as u64) as usize;
        let id = CallId(self.next_call);
        self.next_call += 1;
        let call = Call {
            id,
            class: ClassId(0),
            tenant: TenantId(0),
            subject: Some(SubjectId(id.0)),
            group: None,
            deadline: self.now + Span::ms(2_000),
            load: None,
            is_returning,
            is_mid_flow: false,
            prior_attempt: None,
        };
        self.calls.insert((node, id), CallState::default());
        self.notify(node, |node, now, port| node.call_arrived(now, call, port));
    }

    /// Host of an attempt, if the attempt is the call's outstanding one.
    fn host_of(&self, key: AttemptKey) -> Option<usize> {
        let state = self.calls.get(&(key.node, key.call))?;
        if state.attempts == key.attempt.0 + 1 { state.host } else { None }
    }

    fn established(&mut self, key: AttemptKey, sent_at: Time) {
        let Some(host) = self.host_of(key) else { return };
        if !self.hosts[host].is_listed {
            return self.schedule(0, Event::AttemptEnds(key, AttemptOutcome::Broken));
        }
        let exponential = -self.rng.generate::<f64>().max(1e-9).ln();
        let lifetime_ms = 1 + (MEAN_LIFETIME_MS as f64 * exponential) as u64;
        self.schedule(lifetime_ms, Event::AttemptEnds(key, AttemptOutcome::Completed));
        self.notify(key.node, |node, now, port| {
            node.attempt_established(now, key.call, key.attempt, now.since(sent_at), port);
        });
    }

    fn attempt_ends(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        if self.host_of(key).is_none() {
            return;
        }
        let is_final = outcome != AttemptOutcome::Unreachable;
        if is_final {
            self.calls.remove(&(key.node, key.call));
        } else {
            let state = CallState { attempts: key.attempt.0 + 1, host: None };
            self.calls.insert((key.node, key.call), state);
        }
        self.notify(key.node, |node, now, port| {
            node.attempt_ended(now, key.call, key.attempt, outcome, is_final, port);
        });
        if matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::Canceled) {
            let delay = 50 + self.random_below(500);
            self.schedule(delay, Event::ClientArrives { is_returning: true });
        }
    }

    fn host_lost(&mut self, host: usize) {
        self.hosts[host].is_listed = false;
        self.publish_list();
        let lost: Vec<AttemptKey> = self
            .calls
            .iter()
            .filter(|(_, state)| state.host == Some(host))
            .map(|(&(node, call), state)| AttemptKey {
                node,
                call,
                attempt: AttemptNumber(state.attempts - 1),
            })
            .collect();
        for key in lost {
            self.schedule(0, Event::AttemptEnds(key, AttemptOutcome::Broken));
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end = self.now + Span::ms(duration_ms);
        while let Some((time, event)) = self.events.pop_until(end) {
            self.now = self.now.max(time);
            self.handle(event);
        }
        self.now = end;
    }

    fn worst_window(&self) -> WorstWindow {
        let mut worst = WorstWindow::default();
        for (index, host) in self.hosts.iter().enumerate() {
            let Some(started_at) = host.started_at else { continue };
            for (position, sent_at) in host.sent_at.iter().enumerate() {
                let age = sent_at.since(started_at);
                if *sent_at < started_at || age >= SLOW_START.duration {
                    continue;
                }
                let first = host.sent_at.partition_point(|other| *other + SLOW_START.window <= *sent_at);
                let sent = (position + 1 - first) as f64;
                let limit = overload_limit(age);
                if sent / limit > worst.ratio {
                    let age = age.seconds();
                    let description =
                        format!("host {index}: {sent} attempts at {age:.2} s, limit {limit:.1}");
                    worst = WorstWindow { ratio: sent / limit, description };
                }
            }
        }
        worst
    }
}

/// Attempts that a host of this age withstands in a window: N + 2 sqrt(N) + 2, where N are allowed.
fn overload_limit(age: Span) -> f64 {
    let initial = SLOW_START.initial_share;
    let share = initial + (1.0 - initial) * age.seconds() / SLOW_START.duration.seconds();
    let window = SLOW_START.window.seconds();
    let allowed =
        SLOW_START.capacity_multiple * window * share * HOST_CAPACITY / SLOW_START.duration.seconds();
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Simulates a burst of clients and the loss of two hosts. Their clients return, and the hosts start again
/// cold.
fn worst_window_of_a_run(seed: u64, node_count: usize) -> WorstWindow {
    let mut fleet = Fleet::new(seed, node_count);
    let usual_connections = HOSTS as f64 * HOST_CAPACITY * USUAL_FILL;
    for _ in 0..usual_connections as u64 {
        let delay = fleet.random_below(RAMP_MS);
        fleet.schedule(delay, Event::ClientArrives { is_returning: false });
    }
    // From then on, clients arrive at the rate at which they leave.
    let usual_gap_ms = (MEAN_LIFETIME_MS as f64 / usual_connections) as u64;
    let mut arrival_ms = RAMP_MS;
    while arrival_ms < RUN_MS {
        fleet.schedule(arrival_ms, Event::ClientArrives { is_returning: false });
        arrival_ms += if BURST_MS.contains(&arrival_ms) { usual_gap_ms.div_ceil(4) } else { usual_gap_ms };
    }
    fleet.schedule(60_000, Event::HostLost(3));
    fleet.schedule(60_200, Event::HostLost(7));
    fleet.schedule(62_000, Event::HostStarts(3));
    fleet.schedule(63_500, Event::HostStarts(7));
    fleet.run(RUN_MS);
    fleet.worst_window()
}

#[test_case(20; "twenty nodes")]
#[test_case(24; "twenty-four nodes")]
#[test_case(30; "thirty nodes")]
fn all_nodes_together_do_not_overload_a_cold_host(node_count: usize) {
    let mut violating_runs = 0;
    for seed in 1..=RUNS {
        let worst = worst_window_of_a_run(seed, node_count);
        println!("{node_count} nodes, seed {seed}: {:.2}, {}", worst.ratio, worst.description);
        violating_runs += u32::from(worst.ratio > 1.0);
    }
    assert_eq!(violating_runs, 0, "{node_count} nodes: {violating_runs} of {RUNS} runs overload a cold host");
}
