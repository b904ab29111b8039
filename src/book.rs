//! What a node has in hand: calls with their attempts, and what it knows of each host. Nothing is decided here.

use nanorand::{Rng, WyRand};
use rustc_hash::FxHashMap;

use crate::domain::*;

pub(crate) struct InHand {
    pub call: Call,
    pub attempts: u16,
    /// The host of the attempt that is out, and the attempt's place among that host's.
    pub out: Option<(usize, usize)>,
    pub chosen: usize,
    pub set_up: bool,
    pub answered: bool,
    pub held: bool,
    /// It came again and did not leave here.
    pub guest: bool,
    pub leaving: bool,
    pub load: Option<f64>,
    /// The first attempt that may have run: its host and when it was sent.
    pub ran: Option<(usize, Time)>,
    pub sent: Time,
    /// How many attempts were setting up at its host when its own was sent.
    pub ahead: u32,
    pub failed_at: Vec<usize>,
}

/// What a stage does with a call on its way out.
pub(crate) enum Step {
    Pass,
    Keep,
    End,
}

/// What a stage does with the end of an attempt on its way back.
pub(crate) enum Back {
    Pass,
    Done,
}

#[derive(Clone, Copy)]
pub(crate) struct Ended {
    pub outcome: AttemptOutcome,
    /// The call has its final answer, by this ending or before it.
    pub final_answer: bool,
    pub host: usize,
    pub was_set_up: bool,
}

/// Connections of one group: all of them, and those on each host.
#[derive(Default)]
struct OfGroup {
    all: u32,
    on: Vec<u32>,
}

/// The groups of the connections in hand.
#[derive(Default)]
pub(crate) struct Groups {
    held: FxHashMap<GroupId, OfGroup>,
    /// Pairs of connections of one group.
    pairs: i64,
    pub all: i64,
    /// How alike they are as a rule.
    pub likeness: f64,
    /// Homes that stand for a group of a lost node, and for how many seconds more.
    kept: Vec<(u32, GroupId, usize)>,
}

impl Groups {
    pub fn of(&self, group: GroupId) -> u32 {
        self.held.get(&group).map_or(0, |held| held.all)
    }

    /// The group's connections on each host; the last ones are missing where there are none.
    pub fn on(&self, group: GroupId) -> &[u32] {
        self.held.get(&group).map_or(&[], |held| &held.on)
    }

    /// One connection more or less.
    pub fn count(&mut self, group: Option<GroupId>, host: usize, change: i32) {
        let Some(group) = group else { return };
        let held = self.held.entry(group).or_default();
        if held.on.len() <= host {
            held.on.resize(host + 1, 0);
        }
        held.on[host] = held.on[host].wrapping_add_signed(change);
        let before = i64::from(held.all);
        held.all = held.all.wrapping_add_signed(change);
        self.pairs += if change > 0 { before } else { 1 - before };
        self.all += i64::from(change);
    }

    /// A second has passed. Alike is how likely two connections are of one group, the part of the traffic that a
    /// group has.
    pub fn weigh(&mut self, follow: f64) {
        let n = self.all as f64;
        self.likeness += (2.0 * self.pairs as f64 / (n * (n - 1.0)).max(1.0) - self.likeness) * follow;
        self.kept.iter_mut().for_each(|kept| kept.0 -= 1);
        while let Some(at) = self.kept.iter().position(|kept| kept.0 == 0) {
            let (_, group, host) = self.kept.swap_remove(at);
            self.count(Some(group), host, -1);
        }
    }

    /// Each group's hosts by number, in no order: where connections of it are, not what a lost node had.
    pub fn homes(&self) -> impl Iterator<Item = (GroupId, usize)> {
        let there = |(group, of): (&GroupId, &OfGroup)| {
            let group = *group;
            let on: Vec<_> = of.on.iter().copied().enumerate().filter(|(_, on)| *on > 0).collect();
            on.into_iter().map(move |(host, on)| (group, host, on))
        };
        self.held.iter().flat_map(there).filter_map(|(group, host, on)| {
            let kept = self.kept.iter().filter(|kept| (kept.1, kept.2) == (group, host)).count();
            (on as usize > kept).then_some((group, host))
        })
    }

    /// A group that a lost node had there: the host stays its home for a while.
    pub fn keep_home(&mut self, group: GroupId, host: usize, seconds: u32) {
        self.kept.push((seconds, group, host));
        self.count(Some(group), host, 1);
    }
}

/// Where the hosts stand in the order of the group that was asked for last.
#[derive(Default)]
pub(crate) struct Homes {
    pub keys: Vec<f64>,
    pub spare: Vec<f64>,
    /// The last of its homes stands there.
    pub within: f64,
}

impl Homes {
    /// The homes are so many of the first in order.
    pub fn bound(&mut self, keys: &[f64], homes: usize) {
        self.spare.clear();
        self.spare.extend_from_slice(keys);
        if homes < self.spare.len() {
            let (_, last, _) = self.spare.select_nth_unstable_by(homes - 1, f64::total_cmp);
            self.within = last.min(f64::MAX);
        }
    }
}

/// Loads told of the connections in hand.
#[derive(Default)]
pub(crate) struct Loads {
    pub told_load: f64,
    pub told: u32,
    pub mean: f64,
    /// What those of each traffic class had in the mean; 0 before the first.
    pub of_type: Vec<f64>,
}

impl Loads {
    /// One connection's load more or less at a host, if it was told.
    pub fn count(&mut self, to: &mut Host, load: Option<f64>, sign: f64) {
        if let Some(load) = load {
            to.told_load += sign * load;
            to.told = to.told.wrapping_add_signed(sign as i32);
            self.told_load += sign * load;
            self.told = self.told.wrapping_add_signed(sign as i32);
        }
        if self.told > 0 {
            self.mean = (self.told_load / f64::from(self.told)).max(0.0);
        }
    }

    /// A twentieth: the mean of some twenty connections, from the mean of all on.
    pub fn learn(&mut self, traffic: ClassId, load: f64) {
        let mean = &mut self.of_type[usize::from(traffic.0)];
        *mean = if *mean > 0.0 { *mean } else { self.mean };
        *mean += 0.05 * (load - *mean);
    }
}

/// Loads that connections had when they ended, of this half minute and the one before.
#[derive(Default)]
pub(crate) struct Remembered {
    here: [FxHashMap<SubjectId, f64>; 2],
    /// At nodes that were lost.
    elsewhere: [FxHashMap<SubjectId, f64>; 2],
}

impl Remembered {
    pub fn load(&self, subject: SubjectId) -> Option<f64> {
        self.here.iter().find_map(|loads| loads.get(&subject).copied())
    }

    /// Danger: a client whose load was known here is held to have left here, and limits do not widen for it. What a lost
    /// node told says nothing of that: taken for the same, 11 calls in 10 s failed where 22 did (three nodes, groups).
    pub fn left(&self, subject: SubjectId) -> Option<f64> {
        self.elsewhere.iter().find_map(|loads| loads.get(&subject).copied())
    }

    pub fn keep(&mut self, subject: Option<SubjectId>, load: Option<f64>) {
        if let (Some(subject), Some(load)) = (subject, load) {
            self.here[0].insert(subject, load);
        }
    }

    pub fn keep_left(&mut self, subject: SubjectId, load: f64) {
        self.elsewhere[0].insert(subject, load);
    }

    pub fn all(&self) -> impl Iterator<Item = (SubjectId, f64)> {
        self.here.iter().flatten().map(|(subject, load)| (*subject, *load))
    }

    pub fn turn(&mut self) {
        for loads in [&mut self.here, &mut self.elsewhere] {
            loads.swap(0, 1);
            loads[0].clear();
        }
    }
}

/// Attempts of late, and new clients.
#[derive(Default)]
pub(crate) struct Rates {
    pub tried: f64,
    /// Open connections that broke of late.
    pub broke: f64,
    pub arrivals: u32,
    pub arrival: f64,
    /// Connections that stand here for each unit of the hosts' size, as a rule.
    pub held: f64,
    /// Connections that stand here as a rule, and the size of all ready hosts now and as a rule.
    pub usual_conns: f64,
    pub size: f64,
    pub usual_size: f64,
    /// Calls in hand of clients that came again and did not leave here.
    pub guests: f64,
    /// What a setup takes, in seconds; 0 before the first.
    pub setup: f64,
}

impl Rates {
    /// What stands here and how large the fleet is, now and as a rule; the rule follows over about the time
    /// that connections and warm-ups take. Growth is usual at once, loss is not.
    pub fn weigh(&mut self, stand: f64, shares: f64, size: f64, first: f64) {
        let held = stand.max(1.0) / shares.max(1e-6);
        self.held += (held - self.held) * first.max(0.06);
        self.usual_conns += (stand - self.usual_conns) * first.max(0.02);
        self.size = size;
        let usual = self.usual_size.max(size);
        self.usual_size = usual + (size - usual) * 0.02;
    }

    /// Danger: clients that return together would swell the rate, and the budgets with it. Those that say they
    /// return are not counted; a rise to three times a second catches the rest.
    pub fn count(&mut self, elapsed: f64, follow: f64) {
        let seen = (f64::from(self.arrivals) / elapsed).min(3.0 * self.arrival + 1.0);
        self.arrivals = 0;
        self.arrival += (seen - self.arrival) * follow;
    }

    /// A second has passed.
    pub fn fade(&mut self, left: f64) {
        self.tried *= left;
        self.broke *= left;
    }

    pub fn snapshot(&self, loads: &Loads) -> NodeSnapshot {
        NodeSnapshot {
            mean_load: loads.mean,
            of_type: loads.of_type.clone(),
            arrival: self.arrival,
            held: self.held,
            usual_conns: self.usual_conns,
            size: self.size,
            usual_size: self.usual_size,
            setup: self.setup,
            ..NodeSnapshot::default()
        }
    }

    pub fn restore(&mut self, loads: &mut Loads, from: &NodeSnapshot) {
        loads.mean = from.mean_load;
        // Traffic types that the settings did not have before begin anew.
        for (mean, before) in loads.of_type.iter_mut().zip(&from.of_type) {
            *mean = *before;
        }
        (self.arrival, self.held, self.setup) = (from.arrival, from.held, from.setup);
        (self.usual_conns, self.size, self.usual_size) = (from.usual_conns, from.size, from.usual_size);
    }

    /// Clients that other nodes sent away and that are here now. Where clients come and go between nodes all
    /// have guests, and none has more than usual; who has no rule yet knows nothing of them.
    pub fn taken_over(&self, stand: usize) -> f64 {
        let more = stand as f64 - self.usual_conns;
        if self.usual_conns > 0.0 { self.guests.min(more).max(0.0) } else { 0.0 }
    }

    /// What a setup may take at any host, in seconds: half as much again as those of late, and a third for
    /// each that was ahead of it there, as a burst makes its own queue. One slow setup raises what is usual
    /// by a fifth at most, so that a host going under does not hide itself; where all are slow, as with a
    /// slow session store, five or so are enough to make that usual.
    pub fn usual_setup(&mut self, took: Span, ahead: u32) -> f64 {
        let took = took.seconds();
        let usual = if self.setup > 0.0 { self.setup } else { took };
        self.setup = usual + 0.2 * (took.min(2.0 * usual) - usual);
        usual * (1.5 + f64::from(ahead) / 3.0)
    }
}

/// Slots that a span of the retry budget is counted in.
const SLOTS: u64 = 20;

/// Calls taken and retries sent of late, by slots of the budget's span: memory does not grow with traffic.
#[derive(Default)]
pub(crate) struct Further {
    /// Each with its slot's number, calls and retries.
    counts: [(u64, u32, u32); SLOTS as usize + 1],
    /// None is sent before.
    from: Time,
}

impl Further {
    /// Danger: what was sent under another budget counts in its last span, and is not known slot by slot.
    pub fn renewed(settings: &Settings, now: Time) -> Further {
        let from = settings.retry_budget.map_or(Time(0), |of| now + of.span);
        Further { from, ..Further::default() }
    }

    fn slot(of: &RetryBudget, now: Time) -> u64 {
        now.0 / (of.span.0 / SLOTS).max(1)
    }

    fn count(&mut self, of: &RetryBudget, now: Time) -> &mut (u64, u32, u32) {
        let slot = Further::slot(of, now);
        let count = &mut self.counts[(slot % (SLOTS + 1)) as usize];
        if count.0 != slot {
            *count = (slot, 0, 0);
        }
        count
    }

    pub fn taken(&mut self, settings: &Settings, now: Time) {
        if let Some(of) = &settings.retry_budget {
            self.count(of, now).1 += 1;
        }
    }

    pub fn sent(&mut self, settings: &Settings, now: Time, attempts: u16) {
        if let Some(of) = settings.retry_budget.as_ref().filter(|_| attempts > 0) {
            self.count(of, now).2 += 1;
        }
    }

    /// Danger: the span is judged from any moment. Attempts count over all slots that it reaches into, calls over those that lie
    /// in it whole.
    pub fn allow(&self, settings: &Settings, now: Time) -> bool {
        let Some(of) = &settings.retry_budget else { return true };
        let slot = Further::slot(of, now);
        let within =
            |slots: u64| self.counts.iter().filter(move |count| count.0 + slots > slot && count.0 <= slot);
        let calls: u32 = within(SLOTS).map(|count| count.1).sum();
        let attempts: u32 = within(SLOTS + 1).map(|count| count.2).sum();
        now >= self.from && f64::from(attempts) + 1.0 <= of.free + of.part * f64::from(calls)
    }
}

/// What the ready hosts come to: the part of their size that is open, their mean size, and what this node
/// holds in its zone for each unit of size.
pub(crate) struct Fleet {
    pub open: f64,
    pub mean_size: f64,
    pub level: f64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { open: 1.0, mean_size: 1.0, level: 0.0 }
    }
}

/// Attempts that are setting up at all hosts, and how many may at a time.
pub(crate) struct Setups {
    pub out: u32,
    pub window: f64,
}

impl Setups {
    pub fn are_full(&self) -> bool {
        f64::from(self.out) >= self.window
    }
}

/// Calls that wait for a host, and those of them whose turn it is.
#[derive(Default)]
pub(crate) struct Waiting {
    pub held: Vec<usize>,
    pub turn: Vec<usize>,
    pub wake: Option<Time>,
}

/// How it stands with the questions for the host list.
pub(crate) struct Asking {
    pub following: bool,
    pub asked: bool,
    pub refusals: u32,
    pub ask_at: Time,
    pub fetch_at: Time,
    pub doubt_wait: Span,
}

impl Asking {
    /// `asked` when the question went out at once; else it is put at `ask_at`, if at all.
    pub fn new(asks: bool, asked: bool, ask_at: Time) -> Asking {
        let fetch_at = ask_at;
        Asking { following: !asks, asked, refusals: 0, ask_at, fetch_at, doubt_wait: Span::ms(1000) }
    }

    /// No question was ever put, and none is out.
    pub fn is_new(&self) -> bool {
        !self.asked && !self.following && self.refusals == 0
    }

    pub fn answered(&mut self) {
        (self.asked, self.following, self.refusals) = (false, true, 0);
    }
}

pub(crate) struct Aside {
    pub next_probe: Time,
    pub answers: u32,
}

pub(crate) struct Host {
    pub id: HostId,
    pub zone: Zone,
    pub cell: Cell,
    pub condition: Condition,
    pub nominal: Size,
    pub kind: Option<Kind>,
    /// Connections a core that all nodes hold here by its weight, as far as that is told.
    pub told_held: Option<f64>,
    /// Attempts sent here since its line came that came last, and between that and the one before.
    pub fresh: [f64; 2],
    /// When it last started, at the latest, and as it is listed.
    pub up_since: Option<Time>,
    pub listed_up: Option<Time>,
    /// The calls with an attempt here, in no order that means anything.
    pub attempts: Vec<usize>,
    pub setting_up: u32,
    /// Connections that the process of this node before this one still has here.
    pub predecessor: f64,
    pub told_load: f64,
    pub told: u32,
    pub work: f64,
    pub work_at: Time,
    pub work_before: f64,
    pub smoothed: f64,
    pub trouble: f64,
    pub aside: Option<Aside>,
    pub wait: Span,
    pub trial: u32,
    pub strain: f64,
    /// It said within the last second that it is past what it can do.
    pub over: bool,
    /// Notes come once a second while it is so; for a little longer it gets nothing new.
    pub over_until: Time,
    pub weight_before: f64,
    /// What a message took there when it last said so, in seconds.
    pub piled: f64,
    pub piled_at: Time,
    /// What answers to probes take as a rule, and what the last one took, in seconds; 0 before the first.
    pub answers: f64,
    pub answer: f64,
    /// By how many seconds the last setup took too long.
    pub set_up_slower: f64,
    pub full_until: Time,
    pub full_rest: Span,
    /// The most of our connections' load that it has coped with, once it has shown where that lies.
    pub limit: f64,
    pub broke: u32,
    pub phase: f64,
    pub budget: f64,
    pub budget_at: Time,
    /// What other nodes are held to have here: 1 for what a unit of size usually carries.
    pub held: f64,
}

impl InHand {
    /// Its connection stands and has not been told to go.
    pub fn is_open(&self) -> bool {
        self.set_up && !self.leaving
    }

    pub fn new(call: Call, load: Option<f64>, now: Time) -> InHand {
        InHand {
            load,
            call,
            attempts: 0,
            out: None,
            chosen: 0,
            set_up: false,
            answered: false,
            held: false,
            guest: false,
            leaving: false,
            ran: None,
            sent: now,
            ahead: 0,
            failed_at: Vec::new(),
        }
    }
}

impl Host {
    /// Brings the work that the host was asked for up to now; who told no load counts as the mean.
    pub fn settle(&mut self, now: Time, mean_load: f64) {
        let untold = self.stand() - f64::from(self.told);
        self.work += (self.told_load + untold * mean_load) * now.since(self.work_at).seconds();
        self.work_at = now;
    }

    /// Adds to the budget for a cold one. What is not used lapses, or all nodes would hold a call ready for the
    /// same moment.
    pub fn save_up(&mut self, rate: f64, window: Span, now: Time) {
        self.budget += rate * now.since(self.budget_at).seconds();
        if self.budget > 1.0 + rate * window.seconds() {
            self.budget -= 1.0;
        }
        self.budget_at = now;
    }

    /// The node's connections here.
    pub fn stand(&self) -> f64 {
        self.attempts.len() as f64 + self.predecessor
    }

    pub fn smooth(&mut self, alpha: f64, elapsed: f64) {
        self.smoothed = self.smoothed * (1.0 - alpha) + (self.work - self.work_before) * alpha / elapsed;
        self.work_before = self.work;
    }

    pub fn snapshot(&self) -> HostSnapshot {
        HostSnapshot {
            host: self.id,
            open: self.stand(),
            smoothed: self.smoothed,
            limit: Some(self.limit).filter(|limit| limit.is_finite()),
            strain: self.strain,
            aside: self.aside.is_some(),
            budget: self.budget,
            held: self.held,
            answers: self.answers,
            nominal: Some(self.nominal),
        }
    }

    pub fn restore(&mut self, from: &HostSnapshot, now: Time) {
        (self.predecessor, self.smoothed, self.strain) = (from.open, from.smoothed, from.strain);
        (self.limit, self.held, self.answers) =
            (from.limit.unwrap_or(f64::INFINITY), from.held, from.answers);
        (self.answer, self.weight_before) = (from.answers, from.open);
        (self.budget, self.budget_at) = (from.budget, now);
        if from.aside {
            self.wait = Span::ms(1000);
            self.aside = Some(Aside { next_probe: now, answers: 0 });
        }
    }

    /// Whether it is listed with another start than before. Danger: clocks that differ make a host that has just started look
    /// warm. It started no later than its line came, nor than it is listed and may be off.
    pub fn has_started(&mut self, listed: Option<Time>, off: Span, now: Time) -> bool {
        if self.listed_up == listed {
            return false;
        }
        self.listed_up = listed;
        self.up_since = listed.map(|up| if off > Span::ZERO { now.min(up + off) } else { up });
        true
    }

    /// Share of its capacity that it has for certain by now.
    pub fn warmth(&self, slow_start: &SlowStart, now: Time) -> f64 {
        let Some(up) = self.up_since else { return 1.0 };
        let done = now.since(up).seconds() / slow_start.after.seconds().max(1e-9);
        slow_start.from + (1.0 - slow_start.from) * done.min(1.0)
    }

    /// What it holds for us now, in connections of the mean load.
    pub fn weight(&self, mean_load: f64) -> f64 {
        if mean_load <= 0.0 {
            return self.stand();
        }
        self.told_load / mean_load + self.stand() - f64::from(self.told)
    }

    /// By how much the last two setups took too long, in the mean: a single one may have met a pause.
    pub fn set_up_slower(&mut self, seconds: f64) -> Span {
        let before = std::mem::replace(&mut self.set_up_slower, seconds.max(0.0));
        Span::from_seconds(0.5 * (before + self.set_up_slower))
    }

    /// How many times as long as usual its last two answers to probes took. The usual follows by a tenth, and
    /// slow ones count for a third more than it at the most, so that it does not follow a slow spell.
    pub fn answered_in(&mut self, took: Span) -> f64 {
        let took = took.seconds().max(1e-6);
        let (usual, last) = if self.answers > 0.0 { (self.answers, self.answer) } else { (took, took) };
        self.answers = usual + 0.1 * (took.min(1.33 * usual) - usual);
        self.answer = took;
        0.5 * (took + last) / usual
    }

    pub fn new(line: &Endpoint, smoothed: f64, now: Time) -> Host {
        Host {
            id: line.host,
            zone: line.zone,
            cell: line.cell,
            condition: line.condition,
            nominal: Size(line.weight.0),
            kind: line.kind,
            told_held: None,
            fresh: [0.0; 2],
            up_since: None,
            listed_up: None,
            attempts: Vec::new(),
            setting_up: 0,
            predecessor: 0.0,
            told_load: 0.0,
            told: 0,
            work: 0.0,
            work_at: now,
            work_before: 0.0,
            smoothed,
            trouble: 0.0,
            aside: None,
            wait: Span::ZERO,
            trial: 0,
            strain: 0.0,
            over: false,
            over_until: Time(0),
            weight_before: 0.0,
            piled: 0.0,
            piled_at: Time(0),
            answers: 0.0,
            answer: 0.0,
            set_up_slower: 0.0,
            full_until: now,
            full_rest: Span::ZERO,
            limit: f64::INFINITY,
            broke: 0,
            phase: 0.0,
            budget: 0.0,
            budget_at: now,
            held: 0.0,
        }
    }
}

/// Turns listed weights into sizes and into what hosts hold: the one place that does.
#[derive(Default)]
pub(crate) struct Sizes {
    /// The highest weight that a host of each kind has shown: that of one that holds nothing.
    of_kind: FxHashMap<Kind, f64>,
    /// Connections that the whole fleet holds for each that its hosts hold a core; 0 before it is known.
    pub cores: f64,
}

impl Sizes {
    /// Danger: where weights fall with what hosts hold, a size read from them makes loaded hosts small and
    /// cold ones large: budgets, homes and all sums wander with each list, alike at all nodes.
    pub fn read(&mut self, to: &mut Host, weight: Weight, weights: Weights) {
        if weights == Weights::Sizes {
            (to.nominal, to.told_held) = (Size(weight.0), None);
            return;
        }
        let shown = to.kind.map_or(to.nominal.0, |kind| *self.of_kind.entry(kind).or_default());
        to.nominal = Size(shown.max(weight.0));
        to.kind.map(|kind| self.of_kind.insert(kind, to.nominal.0));
        to.told_held = Some(to.nominal.0 / weight.0.max(1e-6) - 1.0);
        to.fresh = [0.0, to.fresh[0]];
    }

    /// What the hosts' sizes are known to be goes on, from before the settings changed or from another process.
    pub fn know(&mut self, hosts: &[Host]) {
        for (kind, to) in hosts.iter().filter_map(|to| Some((to.kind?, to))) {
            let shown = self.of_kind.entry(kind).or_default();
            *shown = shown.max(to.nominal.0);
        }
    }

    /// What a core of the fleet is to this node: its own connections times the nodes, for what hosts tell.
    pub fn weigh(&mut self, hosts: &[Host], nodes: f64, stand: f64, follow: f64) {
        let told = hosts.iter().filter(|to| to.condition != Condition::Gone);
        let told: f64 = told.filter_map(|to| to.told_held).sum();
        if told > 0.0 {
            self.cores += (stand * nodes / told - self.cores) * follow;
        }
    }

    /// Connections of the other nodes on a host, as far as the list tells them.
    pub fn others(&self, to: &Host) -> Option<f64> {
        to.told_held.map(|held| (held * self.cores - to.stand()).max(0.0))
    }
}

/// What other nodes are held to have on hosts for each unit of size, where they have anything.
pub(crate) fn held_per_share(hosts: &[Host]) -> f64 {
    let shares = hosts.iter().filter(|to| to.held > 0.0).map(|to| to.nominal.0).sum::<f64>();
    let held = hosts.iter().map(|to| to.held).sum::<f64>();
    if held > 0.0 { held / shares.max(1e-9) } else { 1.0 }
}

/// Carries what other nodes are held to have on each host on by one step: the part `leave` of it ends and
/// comes again, all of it where the host has gone. Cold hosts are filled first, each by its own warmth and by
/// no more than the second number; the rest goes to the others by their size.
pub(crate) fn spread_held(hosts: &mut [Host], leave: f64, takes: &[(f64, f64)]) {
    let (mut loose, mut settled, mut shares) = (0.0, 0.0, 0.0);
    for (to, (warmth, _)) in hosts.iter_mut().zip(takes) {
        let ready = to.condition == Condition::Ready;
        let gone = to.held * if ready { leave } else { 1.0 };
        to.held -= gone;
        loose += gone;
        shares += if ready { to.nominal.0 } else { 0.0 };
        settled += if ready && *warmth >= 1.0 { to.nominal.0 } else { 0.0 };
    }
    let ready = |(to, _): &(&mut Host, &(f64, f64))| to.condition == Condition::Ready;
    for (to, (warmth, fill)) in hosts.iter_mut().zip(takes).filter(ready) {
        if *warmth < 1.0 {
            let fill = fill.min(to.nominal.0 * warmth - to.held).clamp(0.0, loose);
            to.held += fill;
            loose -= fill;
        }
    }
    for (to, (warmth, _)) in hosts.iter_mut().zip(takes).filter(ready) {
        if settled <= 0.0 || *warmth >= 1.0 {
            to.held += loose * to.nominal.0 / if settled > 0.0 { settled } else { shares };
        }
    }
}

/// A number above 0 and below 1 that is the same at every node.
pub(crate) fn draw(one: u64, other: u64) -> f64 {
    let mixed = WyRand::new_seed(one ^ other.wrapping_mul(0x9e37_79b9_7f4a_7c15)).generate::<u64>();
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
