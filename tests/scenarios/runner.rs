//! Runs the statements of a scenario against one node.

use std::collections::{BTreeMap, HashMap};

use glendeck::Node;
use glendeck::domain::{
    AttemptNumber, AttemptOutcome, AttemptReport, Call, CallId, Cell, ClassId, Endpoint, GroupId, HostId,
    Kind, ListUpdate, NodeSnapshot, Settings, Span, SubjectId, TenantId, Time, TimerToken, Weight, Zone,
};

use crate::notation::{Options, condition, outcome, parse, seconds, settings};
use crate::support::{Action, EventQueue, RecordingPort, default_endpoint};

/// Seed of all nodes.
const SEED: u64 = 7;
/// Time that setups and answers to probes take unless the scenario sets another.
const DEFAULT_SETUP_TIME: Span = Span::ms(20);
/// Time from a call's arrival to its deadline unless the scenario sets another.
const DEFAULT_DEADLINE: Span = Span::ms(3200);

#[derive(Clone, Copy)]
enum Event {
    Timer(TimerToken),
    AttemptTimeout(CallId),
}

/// What a host does with attempts.
#[derive(Clone, Copy)]
enum Behaviour {
    /// It sets up each attempt at once.
    Healthy,
    /// It never answers.
    Silent,
    /// It ends each attempt at once with this outcome.
    Ends(AttemptOutcome),
}

#[derive(Clone, Copy)]
struct Outstanding {
    attempt: AttemptNumber,
    host: HostId,
}

/// A node with simulated hosts, clients and time.
pub(crate) struct ScenarioRunner {
    node: Node,
    now: Time,
    port: RecordingPort,
    /// Names of the hosts, indexed by id.
    host_names: Vec<String>,
    /// All actions of the node since the last `clear`, one line each.
    performed: Vec<String>,
    events: EventQueue<Event>,
    behaviours: HashMap<HostId, Behaviour>,
    outstanding: BTreeMap<CallId, Outstanding>,
    attempts: HashMap<CallId, u16>,
    setup_times: HashMap<HostId, Span>,
    /// State that the previous process left.
    snapshot: NodeSnapshot,
}

impl ScenarioRunner {
    /// Starts a node at time 0.
    pub(crate) fn start(settings: Settings) -> ScenarioRunner {
        let mut port = RecordingPort::default();
        let node = Node::start(settings, SEED, Time(0), &mut port);
        let mut runner = ScenarioRunner {
            node,
            now: Time(0),
            port,
            host_names: Vec::new(),
            performed: Vec::new(),
            events: EventQueue::default(),
            behaviours: HashMap::new(),
            outstanding: BTreeMap::new(),
            attempts: HashMap::new(),
            setup_times: HashMap::new(),
            snapshot: NodeSnapshot::default(),
        };
        runner.process_actions();
        runner
    }

    /// Executes one statement.
    pub(crate) fn execute(&mut self, words: &[&str]) {
        match words {
            ["at", time] => self.run_to(Time(0) + seconds(time)),
            [name @ ("ready" | "draining" | "gone"), hosts, ..] => self.change_list(name, hosts, words),
            ["watch", "failed"] => self.node.watch_failed(self.now, &mut self.port),
            ["host", host, behaviour] => self.set_behaviour(host, behaviour),
            ["setup-time", host, took] => {
                let host = self.host(host);
                self.setup_times.insert(host, seconds(took));
            }
            ["probe-ended", host, outcome] => self.end_probe(host, outcome),
            ["open", calls, host, ..] => self.open(calls, host, words),
            ["call", calls, ..] => self.start_calls(calls, words),
            ["end", calls, how, ..] => {
                for call in self.calls(calls) {
                    self.end_attempt(call, outcome(how), words.contains(&"final"));
                }
            }
            ["leave", call] => self.node.client_left(self.now, CallId(parse(call)), &mut self.port),
            ["load", calls, load] => {
                for call in self.calls(calls) {
                    self.report(call, AttemptReport::Load(parse(load)));
                }
            }
            ["message-time", host, took] => {
                let call = self.calls(&format!("@{host}"))[0];
                self.report(call, AttemptReport::MessageTime(seconds(took)));
            }
            ["successor", ..] => self.replace_process(words),
            ["restore"] => self.node.restore(&self.snapshot),
            ["predecessor", host, open] => {
                let host = self.host(host);
                self.node.set_predecessor_connections(Some(host), parse(open));
            }
            ["clear"] => self.performed.clear(),
            ["expect" | "never" | "first", ..] => self.check(words),
            other => panic!("unknown statement {other:?}"),
        }
        self.process_actions();
    }

    fn check(&self, words: &[&str]) {
        match words {
            ["expect", pattern @ .., "times", least, most] => {
                let count = self.count(pattern);
                let range = parse(least)..=parse(most);
                assert!(
                    range.contains(&count),
                    "{pattern:?} occurred {count} times, expected {range:?}, in {:#?}",
                    self.performed
                );
            }
            ["expect", pattern @ ..] => {
                assert!(self.count(pattern) > 0, "{pattern:?} did not occur in {:#?}", self.performed);
            }
            ["never", pattern @ ..] => {
                assert_eq!(self.count(pattern), 0, "{pattern:?} occurred in {:#?}", self.performed);
            }
            ["first", verb, rest @ ..] => {
                let line = self.performed.iter().find(|line| line.starts_with(*verb)).cloned();
                assert_eq!(line, Some(format!("{verb} {}", rest.join(" "))));
            }
            other => panic!("unknown check {other:?}"),
        }
    }

    /// Number of actions that match a pattern, in which `*` stands for any word.
    fn count(&self, pattern: &[&str]) -> usize {
        let matches_pattern = |line: &&String| {
            let mut words = line.split(' ');
            pattern
                .iter()
                .all(|expected| words.next().is_some_and(|word| *expected == "*" || *expected == word))
        };
        self.performed.iter().filter(matches_pattern).count()
    }

    /// Advances the clock; timers and time-outs that become due fire.
    fn run_to(&mut self, time: Time) {
        while let Some((event_time, event)) = self.events.pop_until(time) {
            self.now = event_time;
            match event {
                Event::Timer(token) => self.node.timer_fired(event_time, token, &mut self.port),
                Event::AttemptTimeout(call) => self.end_attempt(call, AttemptOutcome::TimedOut, false),
            }
            self.process_actions();
        }
        self.now = time;
    }

    /// Records the actions of the node and lets hosts answer the attempts sent to them.
    fn process_actions(&mut self) {
        while !self.port.actions.is_empty() {
            let mut answered = Vec::new();
            for action in std::mem::take(&mut self.port.actions) {
                self.performed.push(self.describe(action));
                match action {
                    Action::SendAttempt { call, host, timeout } => {
                        if let Some(behaviour) = self.attempt_sent(call, host, timeout) {
                            answered.push((call, behaviour));
                        }
                    }
                    Action::SetTimer { time, token } => self.schedule(time, Event::Timer(token)),
                    _ => {}
                }
            }
            for (call, outcome) in answered {
                match outcome {
                    Some(outcome) => self.end_attempt(call, outcome, false),
                    None => self.establish(call),
                }
            }
        }
    }

    fn describe(&self, action: Action) -> String {
        let name = |host: HostId| &self.host_names[host.0 as usize];
        match action {
            Action::SendAttempt { call, host, .. } => format!("send {} {}", call.0, name(host)),
            Action::Reject { call, retry_after: Some(_) } => format!("reject {} retry-after", call.0),
            Action::Reject { call, retry_after: None } => format!("reject {}", call.0),
            Action::Fail { call } => format!("fail {}", call.0),
            Action::Cancel { call, attempt } => format!("cancel {} {}", call.0, attempt.0),
            Action::Migrate { call } => format!("migrate {}", call.0),
            Action::Probe { host } => format!("probe {}", name(host)),
            Action::FetchEndpoints => "fetch".to_owned(),
            Action::WatchEndpoints => "watch".to_owned(),
            Action::SetTimer { token, .. } => format!("timer {}", token.0),
        }
    }

    /// Records an attempt. Returns the immediate answer of the host, if any: an outcome, or `None` for a
    /// setup.
    fn attempt_sent(&mut self, call: CallId, host: HostId, timeout: Span) -> Option<Option<AttemptOutcome>> {
        let attempts = self.attempts.entry(call).or_default();
        let outstanding = Outstanding { attempt: AttemptNumber(*attempts), host };
        *attempts += 1;
        let previous = self.outstanding.insert(call, outstanding);
        assert!(previous.is_none(), "call {} has two attempts outstanding", call.0);
        match self.behaviours.get(&host).copied().unwrap_or(Behaviour::Healthy) {
            Behaviour::Healthy => Some(None),
            Behaviour::Ends(outcome) => Some(Some(outcome)),
            Behaviour::Silent => {
                self.schedule(self.now + timeout, Event::AttemptTimeout(call));
                None
            }
        }
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.events.push(time.max(self.now + Span(1)), event);
    }

    fn establish(&mut self, call: CallId) {
        let Outstanding { attempt, host } = self.outstanding[&call];
        let took = self.setup_time(host);
        self.node.attempt_established(self.now, call, attempt, took, &mut self.port);
    }

    fn end_attempt(&mut self, call: CallId, outcome: AttemptOutcome, is_final: bool) {
        let Some(Outstanding { attempt, .. }) = self.outstanding.remove(&call) else { return };
        self.node.attempt_ended(self.now, call, attempt, outcome, is_final, &mut self.port);
    }

    fn report(&mut self, call: CallId, report: AttemptReport) {
        let attempt = self.outstanding[&call].attempt;
        self.node.attempt_report(self.now, call, attempt, report, &mut self.port);
    }

    fn end_probe(&mut self, host: &str, how: &str) {
        let host = self.host(host);
        let took = self.setup_time(host);
        self.node.probe_finished(self.now, host, outcome(how), took, &mut self.port);
    }

    fn setup_time(&self, host: HostId) -> Span {
        self.setup_times.get(&host).copied().unwrap_or(DEFAULT_SETUP_TIME)
    }

    fn set_behaviour(&mut self, host: &str, text: &str) {
        let behaviour = match text {
            "healthy" => Behaviour::Healthy,
            "silent" => Behaviour::Silent,
            ends => Behaviour::Ends(outcome(ends)),
        };
        let host = self.host(host);
        self.behaviours.insert(host, behaviour);
    }

    /// Id of a host; a new name gets a new id.
    fn host(&mut self, name: &str) -> HostId {
        let known = self.host_names.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.host_names.push(name.to_owned());
            self.host_names.len() - 1
        });
        HostId(index as u64)
    }

    fn change_list(&mut self, condition_name: &str, hosts: &str, words: &[&str]) {
        let options = Options::new(words);
        let endpoints: Vec<Endpoint> = hosts
            .split(',')
            .map(|host| Endpoint {
                zone: Zone(options.value("zone").unwrap_or(0)),
                cell: Cell(options.value("cell").unwrap_or(0)),
                condition: condition(condition_name),
                weight: Weight(options.value("weight").unwrap_or(1.0)),
                kind: options.value("kind").map(Kind),
                started_at: options.span("started").map(|start| Time(0) + start),
                ..default_endpoint(self.host(host))
            })
            .collect();
        self.node.endpoints_changed(self.now, ListUpdate::Delta, &endpoints, &mut self.port);
    }

    fn replace_process(&mut self, words: &[&str]) {
        self.snapshot = self.node.snapshot();
        self.events.clear();
        self.outstanding.clear();
        self.port.actions.clear();
        self.node = Node::start(settings(words), SEED, self.now, &mut self.port);
    }

    fn open(&mut self, calls: &str, host: &str, words: &[&str]) {
        let host = self.host(host);
        let options = Options::new(words);
        for id in self.calls(calls) {
            self.outstanding.insert(id, Outstanding { attempt: AttemptNumber(0), host });
            self.attempts.insert(id, 1);
            let call = self.call(id, &options);
            self.node.existing_connection(self.now, call, host);
        }
    }

    fn start_calls(&mut self, calls: &str, words: &[&str]) {
        let options = Options::new(words);
        for id in self.calls(calls) {
            let call = self.call(id, &options);
            self.node.call_arrived(self.now, call, &mut self.port);
            self.process_actions();
        }
    }

    /// Parses calls: `7` is one call, `7..9` are three, `@a` are those with an attempt at host a.
    fn calls(&self, text: &str) -> Vec<CallId> {
        if let Some(name) = text.strip_prefix('@') {
            let is_at_host = |outstanding: &Outstanding| self.host_names[outstanding.host.0 as usize] == name;
            let calls = self.outstanding.iter().filter(|(_, outstanding)| is_at_host(outstanding));
            return calls.map(|(call, _)| *call).collect();
        }
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        (parse(first)..=parse(last)).map(CallId).collect()
    }

    fn call(&self, id: CallId, options: &Options) -> Call {
        Call {
            id,
            class: ClassId(options.value("class").unwrap_or(0)),
            tenant: TenantId(0),
            subject: options.value("subject").map(SubjectId),
            group: options.value("group").map(GroupId),
            deadline: self.now + options.span("deadline").unwrap_or(DEFAULT_DEADLINE),
            load: options.value("load"),
            is_returning: options.has("returning"),
            is_mid_flow: false,
            prior_attempt: options.text("prior-attempt").map(|text| self.prior_attempt(text)),
        }
    }

    /// Parses a prior attempt: `a:0.5` is an attempt at host a, half a second ago.
    fn prior_attempt(&self, text: &str) -> (HostId, Time) {
        let (name, age) = text.split_once(':').expect("a prior attempt is written HOST:SECONDS");
        let host = self
            .host_names
            .iter()
            .position(|known| known == name)
            .expect("the host of a prior attempt must be named before");
        (HostId(host as u64), self.now - seconds(age))
    }
}
