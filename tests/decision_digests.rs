//! The decisions are deterministic for a seed. Drawn days drive a node through its port, and a digest of every
//! action, in order, has to equal the digest recorded in `tests/fixtures/decision-digests.txt`.
//!
//! A recorded digest may change only in a commit that changes a decision, and that says why.

use std::collections::{BTreeMap, BTreeSet};

use glendeck::Node;
use glendeck::domain::*;
use glendeck::port::Port;
use nanorand::{Rng, WyRand};

const RECORDED: &str = include_str!("fixtures/decision-digests.txt");

/// Length of a drawn day.
const DAY: Span = Span::ms(60_000);

/// FNV-1a, 64 bits.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn add_float(&mut self, number: f64) {
        self.add(number.to_bits());
    }
}

#[derive(Clone, Copy)]
enum Event {
    Alarm(TimerToken),
    NewCall,
    ClientReturns(SubjectId, u8, Option<GroupId>),
    SetUp(CallId, u16, Span),
    LoadReport(CallId, u16),
    MessageTime(CallId, u16, HostId),
    AttemptEnds(CallId, u16, AttemptOutcome),
    ClientLeaves(CallId),
    ProbeEnds(HostId),
    ListAnswered { pushes: bool },
    ListChanges,
    HostsChangeBehaviour,
    SettingsChange,
    ProcessReplaced,
    NodeLost,
}

/// What the recording port saw, and what follows from it.
struct Recorder {
    digest: Digest,
    now: Time,
    /// How often each kind of action was seen.
    kinds: [u64; 10],
    sent: Vec<(CallId, HostId, Span)>,
    ended: BTreeSet<CallId>,
    recalled: Vec<(CallId, u16)>,
    moved: Vec<CallId>,
    probed: Vec<HostId>,
    asked: Vec<bool>,
    alarms: Vec<(Time, TimerToken)>,
}

impl Recorder {
    fn record(&mut self, kind: u64, numbers: &[u64]) {
        self.kinds[kind as usize] += 1;
        self.digest.add(kind);
        self.digest.add(self.now.0);
        for number in numbers {
            self.digest.add(*number);
        }
    }
}

impl Port for Recorder {
    fn send_attempt(&mut self, call: CallId, host: HostId, within: Span) {
        self.record(1, &[call.0, host.0, within.0]);
        self.sent.push((call, host, within));
    }
    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        self.record(2, &[call.0, retry_after.map_or(u64::MAX, |wait| wait.0)]);
        self.ended.insert(call);
    }
    fn fail(&mut self, call: CallId) {
        self.record(3, &[call.0]);
        self.ended.insert(call);
    }
    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.record(4, &[call.0, u64::from(attempt.0)]);
        self.recalled.push((call, attempt.0));
    }
    fn migrate(&mut self, call: CallId) {
        self.record(5, &[call.0]);
        self.moved.push(call);
    }
    fn probe(&mut self, host: HostId) {
        self.record(6, &[host.0]);
        self.probed.push(host);
    }
    fn fetch_endpoints(&mut self) {
        self.record(7, &[]);
        self.asked.push(false);
    }
    fn watch_endpoints(&mut self) {
        self.record(8, &[]);
        self.asked.push(true);
    }
    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.record(9, &[time.0, u64::from(token.0)]);
        self.alarms.push((time, token));
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Well,
    Slow,
    Fails,
    Full,
    Silent,
    Unreachable,
    Breaks,
}

struct Client {
    call: Call,
    attempts: u16,
    host: Option<HostId>,
    open: bool,
}

/// The world around one node.
struct Day {
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

const START: Time = Time(1_000_000_000_000);

fn draw_settings(rng: &mut WyRand, nodes: u32) -> Settings {
    let mut chance = |part: f64| f64::from(rng.generate::<f32>()) < part;
    let scope = match (chance(0.4), chance(0.5)) {
        (true, _) => Scope::All,
        (false, true) => Scope::Zone,
        (false, false) => Scope::Cell,
    };
    let effects = [
        Idempotency::Idempotent,
        Idempotency::Keyed { scope, window: Span::ms(if chance(0.5) { 2_000 } else { 8_000 }) },
        Idempotency::NonIdempotent,
    ];
    let traffic = effects.iter().enumerate().map(|(at, idempotency)| TrafficClass {
        idempotency: *idempotency,
        setup_target: Span::ms(300 + 200 * at as u64),
        message_target: Some(Span::ms(50 + 50 * at as u64)),
        revenue: 1.0 + at as f64,
    });
    let traffic: Vec<TrafficClass> = traffic.collect();
    Settings {
        traffic,
        zone: Zone(u16::from(chance(0.5))),
        me: 0,
        nodes,
        tick: Span::ms(5),
        max_attempts: if chance(0.5) { 3 } else { 5 },
        can_probe: chance(0.8),
        can_cancel: chance(0.7),
        weights: if chance(0.3) { Weights::Live } else { Weights::Sizes },
        reports_message_times: chance(0.5),
        retry_after: chance(0.5).then_some(Span::ms(2_000)),
        poll_interval: chance(0.7).then_some(Span::ms(4_000)),
        slow_start: SlowStart { from: 0.2, after: Span::ms(15_000), multiple: 4.0, window: Span::ms(1_000) },
        retry_budget: chance(0.6).then_some(RetryBudget { free: 5.0, part: 0.2, span: Span::ms(10_000) }),
        start_uncertainty: if chance(0.3) { Span::ms(500) } else { Span::ZERO },
        cross_zone_price: if chance(0.5) { 0.05 } else { 0.0 },
        whole_weight: if chance(0.5) { 0.5 } else { 1.0 },
    }
}

impl Day {
    fn new(seed: u64) -> Day {
        let mut rng = WyRand::new_seed(seed);
        let nodes = [1, 1, 3, 8, 20, 60, 120, 300][(seed % 8) as usize];
        let mut settings = draw_settings(&mut rng, nodes);
        settings.me = rng.generate_range(0..nodes);
        let mut recorder = Recorder {
            digest: Digest::new(),
            now: START,
            kinds: [0; 10],
            sent: Vec::new(),
            ended: BTreeSet::new(),
            recalled: Vec::new(),
            moved: Vec::new(),
            probed: Vec::new(),
            asked: Vec::new(),
            alarms: Vec::new(),
        };
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

    fn after(&mut self, span: Span, event: Event) {
        self.queued += 1;
        self.queue.insert((self.recorder.now + span, self.queued), event);
    }

    fn add_host(&mut self, now: Time) {
        let number = self.hosts.len() as u64;
        let cold = self.chance(0.2);
        let started = now - self.span(0, 5_000);
        let line = Endpoint {
            host: HostId(number * 7 + 11),
            zone: Zone(self.rng.generate_range(0..3u16)),
            cell: Cell(self.rng.generate_range(0..4u16)),
            condition: Condition::Ready,
            weight: Weight(f64::from(self.rng.generate_range(1..5u32)) * 0.5),
            kind: self.chance(0.5).then_some(Kind(number % 3)),
            up_since: cold.then_some(started),
        };
        let behaviour = self.draw_behaviour();
        self.hosts.push((line, behaviour));
    }

    fn draw_behaviour(&mut self) -> Behaviour {
        match self.rng.generate_range(0..20u32) {
            0 => Behaviour::Fails,
            1 => Behaviour::Full,
            2 => Behaviour::Silent,
            3 => Behaviour::Unreachable,
            4 => Behaviour::Breaks,
            5 | 6 => Behaviour::Slow,
            _ => Behaviour::Well,
        }
    }

    fn behaviour(&self, host: HostId) -> Behaviour {
        let known = self.hosts.iter().find(|(line, _)| line.host == host);
        known.map_or(Behaviour::Unreachable, |(line, behaviour)| match line.condition {
            Condition::Gone => Behaviour::Unreachable,
            Condition::Ready | Condition::Draining => *behaviour,
        })
    }

    /// Returns the digest, and how often each kind of action was seen.
    fn play(mut self) -> (u64, [u64; 10]) {
        let lines = self.lines();
        self.tell_list(ListUpdate::Cached, &lines);
        self.after(Span::ZERO, Event::NewCall);
        self.after(Span::ms(1_500), Event::ListChanges);
        self.after(Span::ms(4_000), Event::HostsChangeBehaviour);
        self.after(Span::ms(25_000), Event::SettingsChange);
        self.after(Span::ms(33_000), Event::NodeLost);
        self.after(Span::ms(40_000), Event::ProcessReplaced);
        let end = START + DAY;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.recorder.now = at;
            self.happen(at, event);
            self.answer_actions();
        }
        self.digest_state();
        (self.recorder.digest.0, self.recorder.kinds)
    }

    fn happen(&mut self, now: Time, event: Event) {
        match event {
            Event::Alarm(token) => self.node.timer_fired(now, token, &mut self.recorder),
            Event::NewCall => self.new_call(now),
            Event::ClientReturns(subject, traffic, group) => {
                let call = self.draw_call(now, subject, traffic, group, true);
                self.take_call(now, call);
            }
            Event::SetUp(call, attempt, took) => self.set_up(now, call, attempt, took),
            Event::LoadReport(call, attempt) => {
                let load = 0.01 + 0.1 * f64::from(self.rng.generate::<f32>());
                self.node.attempt_report(
                    now,
                    call,
                    AttemptNumber(attempt),
                    News::Load(load),
                    &mut self.recorder,
                );
            }
            Event::MessageTime(call, attempt, host) => self.message_time(now, call, attempt, host),
            Event::AttemptEnds(call, attempt, outcome) => self.attempt_ends(now, call, attempt, outcome),
            Event::ClientLeaves(call) => {
                if self.clients.contains_key(&call) {
                    self.node.client_left(now, call, &mut self.recorder);
                    if self.clients[&call].host.is_none() {
                        self.clients.remove(&call);
                    }
                }
            }
            Event::ProbeEnds(host) => self.probe_ends(now, host),
            Event::ListAnswered { pushes } => self.list_answered(now, pushes),
            Event::ListChanges => self.list_changes(now),
            Event::HostsChangeBehaviour => {
                // Now and then nearly all hosts are down at once, as where the node's own network has failed.
                let outage = self.chance(0.2);
                for at in 0..self.hosts.len() {
                    if outage || self.chance(0.2) {
                        let drawn = self.draw_behaviour();
                        self.hosts[at].1 = if outage { Behaviour::Unreachable } else { drawn };
                    }
                }
                self.after(Span::ms(6_000), Event::HostsChangeBehaviour);
            }
            Event::SettingsChange => {
                let me = self.settings.me;
                let nodes = self.settings.nodes;
                self.settings = draw_settings(&mut self.rng, nodes);
                self.settings.me = me;
                self.node.update_settings(now, self.settings.clone(), &mut self.recorder);
            }
            Event::ProcessReplaced => self.replace_process(now),
            Event::NodeLost => self.lose_node(now),
        }
    }

    fn new_call(&mut self, now: Time) {
        let subject = SubjectId(self.rng.generate_range(1..400u64));
        let traffic = self.rng.generate_range(0..3u8);
        let group = self.chance(0.5).then_some(GroupId(subject.0 % 17));
        let call = self.draw_call(now, subject, traffic, group, false);
        self.take_call(now, call);
        let burst = if now.since(START).seconds() % 20.0 > 15.0 { 4.0 } else { 1.0 };
        let mean = 1.0 / (self.calls_per_second * burst);
        let wait = Span::from_seconds(2.0 * mean * f64::from(self.rng.generate::<f32>()));
        self.after(wait, Event::NewCall);
    }

    fn draw_call(
        &mut self,
        now: Time,
        subject: SubjectId,
        traffic: u8,
        group: Option<GroupId>,
        returning: bool,
    ) -> Call {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let guard = now + self.span(400, 3_000);
        let known = self.chance(0.3);
        let before = (returning && self.chance(0.1)).then(|| (self.hosts[0].0.host, now - Span::ms(300)));
        Call {
            id,
            traffic: ClassId(traffic),
            tenant: TenantId(0),
            subject: Some(subject),
            group,
            guard,
            load: known.then(|| 0.02 + 0.1 * f64::from(self.rng.generate::<f32>())),
            returning,
            mid_flow: false,
            before,
        }
    }

    fn take_call(&mut self, now: Time, call: Call) {
        self.clients.insert(call.id, Client { call, attempts: 0, host: None, open: false });
        self.node.call_arrived(now, call, &mut self.recorder);
        if self.chance(0.05) {
            let after = self.span(1, 500);
            self.after(after, Event::ClientLeaves(call.id));
        }
    }

    fn set_up(&mut self, now: Time, call: CallId, attempt: u16, took: Span) {
        let Some(client) = self.clients.get_mut(&call).filter(|client| client.attempts == attempt + 1) else {
            return;
        };
        let Some(host) = client.host else { return };
        client.open = true;
        self.node.attempt_established(now, call, AttemptNumber(attempt), took, &mut self.recorder);
        if self.chance(0.6) {
            self.after(Span::ms(100), Event::LoadReport(call, attempt));
        }
        if self.behaviour(host) == Behaviour::Slow {
            self.after(Span::ms(300), Event::MessageTime(call, attempt, host));
        }
        let lasts = self.span(500, 12_000);
        self.after(lasts, Event::AttemptEnds(call, attempt, AttemptOutcome::Completed));
    }

    fn message_time(&mut self, now: Time, call: CallId, attempt: u16, host: HostId) {
        if self.behaviour(host) != Behaviour::Slow || !self.clients.contains_key(&call) {
            return;
        }
        let took = self.span(20, 400);
        self.node.attempt_report(
            now,
            call,
            AttemptNumber(attempt),
            News::MessageTime(took),
            &mut self.recorder,
        );
        self.after(Span::ms(1_000), Event::MessageTime(call, attempt, host));
    }

    fn attempt_ends(&mut self, now: Time, call: CallId, attempt: u16, outcome: AttemptOutcome) {
        let Some(client) = self.clients.get_mut(&call).filter(|client| client.attempts == attempt + 1) else {
            return;
        };
        if client.host.take().is_none() {
            return;
        }
        let was_open = std::mem::take(&mut client.open);
        let last = outcome == AttemptOutcome::Completed || was_open;
        self.node.attempt_ended(now, call, AttemptNumber(attempt), outcome, last, &mut self.recorder);
        if last {
            let client = self.clients.remove(&call).expect("the client was just there");
            if self.chance(0.4) {
                let of = client.call;
                let after = self.span(50, 800);
                let subject = of.subject.expect("each call here has a subject");
                self.after(after, Event::ClientReturns(subject, of.traffic.0, of.group));
            }
        }
    }

    fn probe_ends(&mut self, now: Time, host: HostId) {
        let (outcome, took) = match self.behaviour(host) {
            Behaviour::Well | Behaviour::Full | Behaviour::Breaks => {
                (AttemptOutcome::Completed, self.span(1, 4))
            }
            Behaviour::Slow => (AttemptOutcome::Completed, self.span(5, 60)),
            Behaviour::Fails => (AttemptOutcome::Error, Span::ms(3)),
            Behaviour::Silent => (AttemptOutcome::TimedOut, Span::ms(400)),
            Behaviour::Unreachable => (AttemptOutcome::Unreachable, Span::ms(1)),
        };
        self.node.probe_finished(now, host, outcome, took, &mut self.recorder);
    }

    fn lines(&self) -> Vec<Endpoint> {
        self.hosts.iter().map(|(line, _)| *line).collect()
    }

    fn tell_list(&mut self, update: ListUpdate, lines: &[Endpoint]) {
        let now = self.recorder.now;
        self.node.endpoints_changed(now, update, lines, &mut self.recorder);
    }

    fn list_answered(&mut self, now: Time, pushes: bool) {
        if self.chance(0.3) {
            if pushes {
                self.node.watch_failed(now, &mut self.recorder);
            }
            return;
        }
        let lines: Vec<Endpoint> =
            self.lines().into_iter().filter(|line| line.condition != Condition::Gone).collect();
        self.tell_list(ListUpdate::Complete, &lines);
    }

    fn list_changes(&mut self, now: Time) {
        let mut changed = Vec::new();
        for at in 0..self.hosts.len() {
            if !self.chance(0.06) {
                continue;
            }
            let started = now - self.span(0, 1_000);
            let cold = self.chance(0.5);
            let line = &mut self.hosts[at].0;
            line.condition = match line.condition {
                Condition::Ready => Condition::Draining,
                Condition::Draining => Condition::Gone,
                Condition::Gone => Condition::Ready,
            };
            if line.condition == Condition::Ready && cold {
                line.up_since = Some(started);
            }
            line.weight = Weight(line.weight.0 * if cold { 0.9 } else { 1.1 });
            changed.push(*line);
        }
        if self.hosts.len() < 40 && self.chance(0.5) {
            self.add_host(now);
            changed.push(self.hosts.last().expect("a host was just added").0);
        }
        self.tell_list(ListUpdate::Delta, &changed);
        self.after(Span::ms(1_500), Event::ListChanges);
    }

    /// The next process of the node takes over: what was open stays where it is, what waited is gone.
    fn replace_process(&mut self, now: Time) {
        let snapshot = self.node.snapshot();
        self.digest_legacy(&snapshot);
        let seed = self.rng.generate::<u64>();
        self.queue.retain(|_, event| !matches!(event, Event::Alarm(_)));
        self.recorder.alarms.clear();
        self.node = Node::start(self.settings.clone(), seed, now, &mut self.recorder);
        let lines = self.lines();
        self.tell_list(ListUpdate::Complete, &lines);
        self.node.restore(&snapshot);
        self.node.set_predecessor_connections(None, 0.0);
        let clients = std::mem::take(&mut self.clients);
        for (_, client) in clients {
            let Some(host) = client.host.filter(|_| client.open) else { continue };
            let call = Call { id: CallId(self.next_call), mid_flow: true, ..client.call };
            self.next_call += 1;
            self.node.existing_connection(now, call, host);
            self.clients.insert(call.id, Client { call, attempts: 1, host: Some(host), open: true });
            let lasts = self.span(500, 8_000);
            self.after(lasts, Event::AttemptEnds(call.id, 0, AttemptOutcome::Completed));
        }
    }

    fn lose_node(&mut self, now: Time) {
        let mut warm_state = self.node.warm_state(50);
        self.digest_estate(&warm_state);
        warm_state.homes.push((GroupId(3), self.hosts[0].0.host));
        warm_state.loads.push((SubjectId(5), 0.4));
        self.node.adopt_warm_state(now, &warm_state);
    }

    /// What the world does with what the node asked for.
    fn answer_actions(&mut self) {
        for (time, token) in std::mem::take(&mut self.recorder.alarms) {
            self.queued += 1;
            self.queue.insert((time, self.queued), Event::Alarm(token));
        }
        for (call, host, within) in std::mem::take(&mut self.recorder.sent) {
            self.attempt_sent(call, host, within);
        }
        for call in std::mem::take(&mut self.recorder.ended) {
            self.clients.remove(&call);
        }
        for (call, attempt) in std::mem::take(&mut self.recorder.recalled) {
            self.after(Span::ms(4), Event::AttemptEnds(call, attempt, AttemptOutcome::Canceled));
        }
        for call in std::mem::take(&mut self.recorder.moved) {
            if let Some(client) = self.clients.get(&call) {
                let attempt = client.attempts - 1;
                self.after(Span::ms(25), Event::AttemptEnds(call, attempt, AttemptOutcome::Completed));
            }
        }
        for host in std::mem::take(&mut self.recorder.probed) {
            self.after(Span::ms(5), Event::ProbeEnds(host));
        }
        for pushes in std::mem::take(&mut self.recorder.asked) {
            self.after(Span::ms(60), Event::ListAnswered { pushes });
        }
    }

    fn attempt_sent(&mut self, call: CallId, host: HostId, within: Span) {
        let behaviour = self.behaviour(host);
        let took = match behaviour {
            Behaviour::Slow => self.span(50, 500),
            _ => self.span(5, 50),
        };
        let client = self.clients.get_mut(&call).expect("attempts are sent for known calls");
        let attempt = client.attempts;
        client.attempts += 1;
        client.host = Some(host);
        match behaviour {
            Behaviour::Well | Behaviour::Slow if took < within => {
                self.after(took, Event::SetUp(call, attempt, took));
            }
            Behaviour::Well | Behaviour::Slow | Behaviour::Silent => {
                self.after(within, Event::AttemptEnds(call, attempt, AttemptOutcome::TimedOut));
            }
            Behaviour::Breaks => {
                self.after(took, Event::SetUp(call, attempt, took));
                self.after(
                    Span(took.0 + Span::ms(700).0),
                    Event::AttemptEnds(call, attempt, AttemptOutcome::Broken),
                );
            }
            Behaviour::Fails => {
                self.after(Span::ms(8), Event::AttemptEnds(call, attempt, AttemptOutcome::Error))
            }
            Behaviour::Full => {
                self.after(Span::ms(3), Event::AttemptEnds(call, attempt, AttemptOutcome::Rejected))
            }
            Behaviour::Unreachable => {
                self.after(Span::ms(2), Event::AttemptEnds(call, attempt, AttemptOutcome::Unreachable));
            }
        }
    }

    fn digest_state(&mut self) {
        let snapshot = self.node.snapshot();
        self.digest_legacy(&snapshot);
        let avoided: Vec<u64> = self
            .hosts
            .iter()
            .map(|(line, _)| line.host)
            .filter(|host| self.node.is_ejected(*host))
            .map(|host| host.0)
            .collect();
        avoided.iter().for_each(|host| self.recorder.digest.add(*host));
    }

    fn digest_legacy(&mut self, snapshot: &NodeSnapshot) {
        let digest = &mut self.recorder.digest;
        for host in &snapshot.hosts {
            digest.add(host.host.0);
            for number in [host.open, host.smoothed, host.strain, host.budget, host.held, host.answers] {
                digest.add_float(number);
            }
            digest.add_float(host.limit.unwrap_or(-1.0));
            digest.add_float(host.nominal.map_or(-1.0, |size| size.0));
            digest.add(u64::from(host.aside));
        }
        let mut loads = snapshot.loads.clone();
        loads.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        for (subject, load) in loads {
            digest.add(subject.0);
            digest.add_float(load);
        }
        let rates = [
            snapshot.mean_load,
            snapshot.arrival,
            snapshot.held,
            snapshot.usual_conns,
            snapshot.size,
            snapshot.usual_size,
            snapshot.setup,
        ];
        rates.iter().chain(&snapshot.of_type).for_each(|number| digest.add_float(*number));
    }

    fn digest_estate(&mut self, warm_state: &WarmState) {
        let digest = &mut self.recorder.digest;
        for (group, host) in &warm_state.homes {
            digest.add(group.0);
            digest.add(host.0);
        }
        for (subject, load) in &warm_state.loads {
            digest.add(subject.0);
            digest.add_float(*load);
        }
    }
}

/// `seed digest actions`, a line each.
fn recorded() -> Vec<(u64, u64, u64)> {
    let parse = |line: &str| {
        let mut words = line.split_whitespace();
        let mut next = || words.next().expect("each line has three words");
        let seed = next().parse().expect("a seed is a number");
        let digest = u64::from_str_radix(next(), 16).expect("a digest is hexadecimal");
        (seed, digest, next().parse().expect("a count is a number"))
    };
    RECORDED.lines().filter(|line| !line.starts_with('#')).map(parse).collect()
}

#[test]
fn drawn_days_give_the_recorded_actions() {
    let recorded = recorded();
    assert_eq!(recorded.len(), 64, "a day is missing from the fixture");
    let mut differing = Vec::new();
    let mut kinds = [0; 10];
    for (seed, digest, actions) in recorded {
        let (played, of_kind) = Day::new(seed).play();
        let count: u64 = of_kind.iter().sum();
        if (played, count) != (digest, actions) {
            differing.push(format!("{seed} {played:016x} {count}"));
        }
        kinds.iter_mut().zip(of_kind).for_each(|(sum, count)| *sum += count);
    }
    assert!(differing.is_empty(), "days that went otherwise, as played now:\n{}", differing.join("\n"));
    // A day that never rejects or moves anything would show nothing of rejects or moves.
    assert!(kinds[1..].iter().all(|count| *count >= 50), "actions by kind: {kinds:?}");
}
