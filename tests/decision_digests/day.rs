//! A drawn day: hosts, clients and list around one node, in simulated time.

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
use settings::draw_settings;

/// Length of a drawn day.
const DAY: Span = Span::ms(60_000);

/// When a drawn day begins.
const START: Time = Time(1_000_000_000_000);

/// What happens in the world around the node; attempts go by call and number.
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
    ListAnswered { pushes: bool },
    ListChanges,
    BehavioursChange,
    SettingsChange,
    ProcessReplaced,
    NodeLost,
}

/// What a host does with attempts and probes.
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

/// The world around one node.
pub(crate) struct Day {
    rng: WyRand,
    node: Node,
    recorder: Recorder,
    settings: Settings,
    queue: BTreeMap<(Time, u64), Event>,
    queued: u64,
    hosts: Vec<(Endpoint, Behaviour)>,
    clients: BTreeMap<CallId, Client>,
    next_call: u64,
    calls_per_second: f64,
}

impl Day {
    /// Draws the settings and hosts of a day.
    pub(crate) fn new(seed: u64) -> Day {
        let mut rng = WyRand::new_seed(seed);
        let nodes = [1, 1, 3, 8, 20, 60, 120, 300][(seed % 8) as usize];
        let mut settings = draw_settings(&mut rng, nodes);
        settings.node_index = rng.generate_range(0..nodes);
        let mut recorder = Recorder::new(START);
        let node = Node::start(settings.clone(), seed, START, &mut recorder);
        let calls_per_second = 2.0 + 40.0 / f64::from(nodes).sqrt();
        let mut day = Day {
            rng,
            node,
            recorder,
            settings,
            queue: BTreeMap::new(),
            queued: 0,
            hosts: Vec::new(),
            clients: BTreeMap::new(),
            next_call: 1,
            calls_per_second,
        };
        let hosts = day.rng.generate_range(3..24usize);
        for _ in 0..hosts {
            day.add_host(START);
        }
        day
    }

    fn chance(&mut self, part: f64) -> bool {
        f64::from(self.rng.generate::<f32>()) < part
    }

    fn span(&mut self, least_ms: u64, most_ms: u64) -> Span {
        Span(self.rng.generate_range(least_ms * 1_000_000..=most_ms * 1_000_000))
    }

    fn schedule_after(&mut self, span: Span, event: Event) {
        self.queued += 1;
        self.queue.insert((self.recorder.now + span, self.queued), event);
    }

    /// Plays the day; returns the digest, and how often each kind of action was seen.
    pub(crate) fn play(mut self) -> (u64, [u64; 10]) {
        let endpoints = self.endpoints();
        self.publish_list(ListUpdate::Cached, &endpoints);
        self.schedule_after(Span::ZERO, Event::NewCall);
        self.schedule_after(Span::ms(1_500), Event::ListChanges);
        self.schedule_after(Span::ms(4_000), Event::BehavioursChange);
        self.schedule_after(Span::ms(25_000), Event::SettingsChange);
        self.schedule_after(Span::ms(33_000), Event::NodeLost);
        self.schedule_after(Span::ms(40_000), Event::ProcessReplaced);
        let end = START + DAY;
        while let Some(((time, _), event)) = self.queue.pop_first() {
            if time > end {
                break;
            }
            self.recorder.now = time;
            self.handle(time, event);
            self.answer_actions();
        }
        self.digest_state();
        (self.recorder.digest.value(), self.recorder.kinds)
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Timer(token) => self.node.timer_fired(now, token, &mut self.recorder),
            Event::NewCall => self.new_call(now),
            Event::ClientReturns(subject, traffic, group) => {
                let call = self.draw_call(now, subject, traffic, group, true);
                self.admit_call(now, call);
            }
            Event::Established(call, attempt, took) => self.established(now, call, attempt, took),
            Event::LoadReport(call, attempt) => self.report_load(now, call, attempt),
            Event::MessageTime(call, attempt, host) => self.message_time(now, call, attempt, host),
            Event::AttemptEnds(call, attempt, outcome) => self.attempt_ends(now, call, attempt, outcome),
            Event::ClientLeaves(call) => self.client_leaves(now, call),
            Event::ProbeEnds(host) => self.probe_ends(now, host),
            Event::ListAnswered { pushes } => self.list_answered(now, pushes),
            Event::ListChanges => self.list_changes(now),
            Event::BehavioursChange => self.change_behaviours(),
            Event::SettingsChange => self.change_settings(now),
            Event::ProcessReplaced => self.replace_process(now),
            Event::NodeLost => self.lose_node(now),
        }
    }

    /// What the world does with what the node asked for.
    fn answer_actions(&mut self) {
        for (time, token) in std::mem::take(&mut self.recorder.timers) {
            self.queued += 1;
            self.queue.insert((time, self.queued), Event::Timer(token));
        }
        for (call, host, within) in std::mem::take(&mut self.recorder.sent) {
            self.attempt_sent(call, host, within);
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
        for pushes in std::mem::take(&mut self.recorder.asked) {
            self.schedule_after(Span::ms(60), Event::ListAnswered { pushes });
        }
    }
}
