//! A random simulation of one node, with its hosts, clients and endpoint list, in simulated time.

mod calls;
mod hosts;
mod process;
mod settings;
mod state_digest;

use std::collections::BTreeMap;

use glendeck::Node;
use glendeck::domain::{
    AttemptOutcome, Call, CallId, Endpoint, GroupId, HostId, ListUpdate, Settings, Span, SubjectId, Time,
    TimerToken,
};
use nanorand::{Rng, WyRand};

use crate::recorder::Recorder;
use settings::random_settings;

/// Length of a simulation.
const DURATION: Span = Span::ms(60_000);

/// When a simulation begins.
const START: Time = Time(1_000_000_000_000);

/// An event outside the node. Attempts are identified by their call and number.
#[derive(Clone, Copy)]
enum Event {
    Timer(TimerToken),
    NewCall,
    ClientReturns(SubjectId, u8, Option<GroupId>),
    Established(CallId, u16, Span),
    LoadReport(CallId, u16),
    MessageTime(CallId, u16, HostId),
    AttemptEnds(CallId, u16, AttemptOutcome),
    ClientLeaves(CallId),
    ProbeEnds(HostId),
    ListAnswered { is_watch: bool },
    ChangeList,
    ChangeBehaviours,
    ChangeSettings,
    ProcessReplaced,
    NodeLost,
}

/// How a host responds to attempts and probes.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Healthy,
    Slow,
    Fails,
    Rejects,
    Silent,
    Unreachable,
    Breaks,
}

/// A client with an unanswered call or an open connection.
struct Client {
    call: Call,
    attempts: u16,
    host: Option<HostId>,
    is_open: bool,
}

/// One node and its simulated environment.
pub(crate) struct Simulation {
    rng: WyRand,
    node: Node,
    recorder: Recorder,
    settings: Settings,
    queue: BTreeMap<(Time, u64), Event>,
    events_queued: u64,
    hosts: Vec<(Endpoint, Behaviour)>,
    clients: BTreeMap<CallId, Client>,
    next_call: u64,
    calls_per_second: f64,
}

impl Simulation {
    /// Chooses random settings and hosts.
    pub(crate) fn new(seed: u64) -> Simulation {
        let mut rng = WyRand::new_seed(seed);
        let nodes = [1, 1, 3, 8, 20, 60, 120, 300][(seed % 8) as usize];
        let mut settings = random_settings(&mut rng, nodes);
        settings.node_index = rng.generate_range(0..nodes);
        let mut recorder = Recorder::new(START);
        let node = Node::start(settings.clone(), seed, START, &mut recorder);
        let calls_per_second = 2.0 + 40.0 / f64::from(nodes).sqrt();
        let mut simulation = Simulation {
            rng,
            node,
            recorder,
            settings,
            queue: BTreeMap::new(),
            events_queued: 0,
            hosts: Vec::new(),
            clients: BTreeMap::new(),
            next_call: 1,
            calls_per_second,
        };
        let hosts = simulation.rng.generate_range(3..24usize);
        for _ in 0..hosts {
            simulation.add_host(START);
        }
        simulation
    }

    fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.rng.generate::<f32>()) < probability
    }

    fn random_span(&mut self, min_ms: u64, max_ms: u64) -> Span {
        Span(self.rng.generate_range(min_ms * 1_000_000..=max_ms * 1_000_000))
    }

    fn schedule_after(&mut self, span: Span, event: Event) {
        self.events_queued += 1;
        self.queue.insert((self.recorder.now + span, self.events_queued), event);
    }

    /// Runs the simulation; returns the digest, and the number of actions of each kind.
    pub(crate) fn run(mut self) -> (u64, [u64; 10]) {
        let endpoints = self.endpoints();
        self.publish_list(ListUpdate::Cached, &endpoints);
        self.schedule_after(Span::ZERO, Event::NewCall);
        self.schedule_after(Span::ms(1_500), Event::ChangeList);
        self.schedule_after(Span::ms(4_000), Event::ChangeBehaviours);
        self.schedule_after(Span::ms(25_000), Event::ChangeSettings);
        self.schedule_after(Span::ms(33_000), Event::NodeLost);
        self.schedule_after(Span::ms(40_000), Event::ProcessReplaced);
        let end = START + DURATION;
        while let Some(((time, _), event)) = self.queue.pop_first() {
            if time > end {
                break;
            }
            self.recorder.now = time;
            self.handle(time, event);
            self.schedule_effects();
        }
        self.digest_state();
        (self.recorder.digest.value(), self.recorder.counts_by_kind)
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Timer(token) => self.node.timer_fired(now, token, &mut self.recorder),
            Event::NewCall => self.new_call(now),
            Event::ClientReturns(subject, class_index, group) => {
                let call = self.random_call(now, subject, class_index, group, true);
                self.admit_call(now, call);
            }
            Event::Established(call, attempt, took) => self.established(now, call, attempt, took),
            Event::LoadReport(call, attempt) => self.report_load(now, call, attempt),
            Event::MessageTime(call, attempt, host) => self.message_time(now, call, attempt, host),
            Event::AttemptEnds(call, attempt, outcome) => self.attempt_ends(now, call, attempt, outcome),
            Event::ClientLeaves(call) => self.client_leaves(now, call),
            Event::ProbeEnds(host) => self.probe_ends(now, host),
            Event::ListAnswered { is_watch } => self.list_answered(now, is_watch),
            Event::ChangeList => self.change_list(now),
            Event::ChangeBehaviours => self.change_behaviours(),
            Event::ChangeSettings => self.change_settings(now),
            Event::ProcessReplaced => self.replace_process(now),
            Event::NodeLost => self.lose_node(now),
        }
    }

    /// Schedules the effects of the actions that the node requested.
    fn schedule_effects(&mut self) {
        for (time, token) in std::mem::take(&mut self.recorder.timers) {
            self.events_queued += 1;
            self.queue.insert((time, self.events_queued), Event::Timer(token));
        }
        for (call, host, timeout) in std::mem::take(&mut self.recorder.sent) {
            self.attempt_sent(call, host, timeout);
        }
        for call in std::mem::take(&mut self.recorder.ended) {
            self.clients.remove(&call);
        }
        for (call, attempt) in std::mem::take(&mut self.recorder.canceled) {
            self.schedule_after(Span::ms(4), Event::AttemptEnds(call, attempt, AttemptOutcome::Canceled));
        }
        for call in std::mem::take(&mut self.recorder.migrated) {
            if let Some(client) = self.clients.get(&call) {
                let attempt = client.attempts - 1;
                self.schedule_after(
                    Span::ms(25),
                    Event::AttemptEnds(call, attempt, AttemptOutcome::Completed),
                );
            }
        }
        for host in std::mem::take(&mut self.recorder.probed) {
            self.schedule_after(Span::ms(5), Event::ProbeEnds(host));
        }
        for is_watch in std::mem::take(&mut self.recorder.list_requests) {
            self.schedule_after(Span::ms(60), Event::ListAnswered { is_watch });
        }
    }
}
