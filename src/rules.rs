//! All decisions of a node. Start one with [`Node::start`], then tell it what happens by its other methods,
//! in the order in which it happens; it answers on the [`Port`] handed in. The values are defined in
//! `domain.rs`, the port in `port.rs`, what a node has in hand in `book.rs`. docs/design.md says where the
//! mechanism comes from.
//!
//! A call passes the stages of [`CHAIN`]: whether it may still be tried, where it goes, and the one place
//! that sends attempts and checks each. The end of an attempt passes them in reverse.

use nanorand::{Rng, WyRand};
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::book::*;
use crate::domain::*;
use crate::port::Port;

const SECOND: TimerToken = TimerToken(0);
const HELD: TimerToken = TimerToken(1);
pub(crate) const ASK: TimerToken = TimerToken(2);

/// What a host pays once for a group, in connections. What it is nobody tells: tried from 1 to 9.
const GROUP: f64 = 5.0;

/// As many setups may be out at a time when nothing has shown that more do well.
const NARROW: f64 = 2.0;

struct Stage {
    out: fn(&mut Node, usize, &mut dyn Port) -> Step,
    back: fn(&mut Node, usize, Ended, &mut dyn Port) -> Back,
}

const CHAIN: [Stage; 3] = [
    Stage { out: Node::standing, back: Node::go_on },
    Stage { out: Node::place, back: Node::learn },
    Stage { out: Node::send, back: Node::take_back },
];

pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) rng: WyRand,
    pub(crate) now: Time,
    pub(crate) hosts: Vec<Host>,
    pub(crate) sorted: Vec<usize>,
    pub(crate) host_no: FxHashMap<HostId, usize>,
    pub(crate) calls: Slab<InHand>,
    pub(crate) call_no: FxHashMap<CallId, usize>,
    pub(crate) groups: Groups,
    pub(crate) homes: Homes,
    pub(crate) fleet: Fleet,
    pub(crate) sizes: Sizes,
    pub(crate) setups: Setups,
    pub(crate) waiting: Waiting,
    pub(crate) loads: Loads,
    pub(crate) remembered: Remembered,
    pub(crate) rates: Rates,
    pub(crate) further: Further,
    pub(crate) seconds: u64,
    pub(crate) turn: usize,
    pub(crate) ticked: Time,
    pub(crate) doubts_itself: bool,
    pub(crate) asking: Asking,
}

/// Danger: nodes that start or lose their watch together ask together, and the list's service never catches
/// up. Many spread their questions over two fifths of the time in which each has to ask.
pub(crate) fn list_spread(settings: &Settings) -> Span {
    settings.poll_interval.map_or(Span::ZERO, |within| within.times(0.4 * settings.many()))
}

/// Danger: choosing by revenue alone starves the type that earns least. The more the worst-served one weighs,
/// the less revenue counts.
pub(crate) fn weighed(mut settings: Settings) -> Settings {
    settings.traffic.iter_mut().for_each(|of| of.revenue = of.revenue.powf(settings.whole_weight));
    settings
}

impl Node {
    pub fn start(settings: Settings, seed: u64, now: Time, port: &mut dyn Port) -> Node {
        let (settings, mut rng) = (weighed(settings), WyRand::new_seed(seed));
        // Nodes that start together tick at different moments, so that their moves do not coincide.
        let offset = Span::ms(1000).times(f64::from(rng.generate::<f32>()));
        port.set_timer(now + offset, SECOND);
        let asks = settings.poll_interval.is_some();
        let spread = list_spread(&settings).times(f64::from(rng.generate::<f32>()));
        let at_once = asks && spread == Span::ZERO;
        match (asks, at_once) {
            (_, true) => port.watch_endpoints(),
            (true, _) => port.set_timer(now + spread, ASK),
            _ => {}
        }
        Node {
            rng,
            now,
            hosts: Vec::new(),
            sorted: Vec::new(),
            host_no: FxHashMap::default(),
            calls: Slab::new(),
            call_no: FxHashMap::default(),
            groups: Groups::default(),
            homes: Homes::default(),
            fleet: Fleet::default(),
            sizes: Sizes::default(),
            setups: Setups { out: 0, window: NARROW },
            waiting: Waiting::default(),
            loads: Loads { of_type: vec![0.0; settings.traffic.len()], ..Loads::default() },
            remembered: Remembered::default(),
            rates: Rates::default(),
            further: Further::default(),
            seconds: 0,
            turn: 0,
            ticked: now,
            doubts_itself: false,
            asking: Asking::new(asks, at_once, now + spread),
            settings,
        }
    }

    // The chain.

    fn pass_on(&mut self, no: usize, port: &mut dyn Port) {
        for stage in &CHAIN {
            match (stage.out)(self, no, port) {
                Step::Pass => {}
                Step::Keep => return self.hold(no, port),
                Step::End => return self.answer(no, port),
            }
        }
    }

    fn pass_back(&mut self, no: usize, ended: Ended, port: &mut dyn Port) {
        for stage in CHAIN.iter().rev() {
            if let Back::Done = (stage.back)(self, no, ended, port) {
                return;
            }
        }
    }

    fn standing(&mut self, no: usize, _: &mut dyn Port) -> Step {
        let held = &self.calls[no];
        let target = self.settings.traffic[usize::from(held.call.traffic.0)].setup_target;
        let hopeless = self.left(no) < Span::from_seconds(self.rates.setup).min(target);
        let over = held.attempts >= self.settings.max_attempts
            || self.left(no) == Span::ZERO
            || !self.may_repeat(no);
        // Danger: a call that waited for room in the budget would be parked.
        if over || hopeless || !self.may_go_further(no) {
            return Step::End;
        }
        if self.setups.are_full() { Step::Keep } else { Step::Pass }
    }

    fn go_on(&mut self, no: usize, ended: Ended, port: &mut dyn Port) -> Back {
        if ended.final_answer || self.calls[no].answered {
            self.drop_call(no);
        } else {
            self.pass_on(no, port);
        }
        Back::Done
    }

    /// Second stage: the lowest-scoring host that is open to the call; ties break at random.
    fn place(&mut self, no: usize, _: &mut dyn Port) -> Step {
        let local = self.local_burden();
        self.find_homes(no);
        let bound = self.is_bound(no);
        let (mut best, mut ties) = (None, 0u32);
        for host in 0..self.hosts.len() {
            let away = self.away(host);
            let closed = (away > 1.0 && bound) || !self.is_trusted(host) || !self.has_room(no, host);
            if closed || !self.is_permitted(no, host) {
                continue;
            }
            let failed = self.calls[no].failed_at.contains(&host);
            let cost = self.burden(host, local) + self.others(host) + self.added(no, host, away);
            let cost = (failed, cost);
            match best {
                Some((least, _)) if cost > least => {}
                Some((least, _)) if cost == least => {
                    ties += 1;
                    if self.rng.generate_range(0..=ties) == 0 {
                        best = Some((cost, host));
                    }
                }
                _ => (best, ties) = (Some((cost, host)), 0),
            }
        }
        let Some((_, host)) = best else { return Step::Keep };
        self.calls[no].chosen = host;
        Step::Pass
    }

    /// Last stage, and the one place that sends attempts: each is checked against all four rules here.
    fn send(&mut self, no: usize, port: &mut dyn Port) -> Step {
        let host = self.calls[no].chosen;
        if !self.is_permitted(no, host) || !self.may_go_further(no) {
            return Step::Keep;
        }
        self.further.sent(&self.settings, self.now, self.calls[no].attempts);
        if self.warmth(host) < 1.0 {
            self.hosts[host].budget -= 1.0;
        }
        let within = self.attempt_timeout(no);
        self.rates.tried += 1.0;
        let call = &mut self.calls[no];
        (call.sent, call.set_up, call.ahead) = (self.now, false, self.hosts[host].setting_up);
        let id = call.call.id;
        self.hosts[host].setting_up += 1;
        self.setups.out += 1;
        self.hosts[host].fresh[0] += 1.0;
        self.put(no, host);
        port.send_attempt(id, self.hosts[host].id, within);
        Step::Pass
    }

    fn put(&mut self, no: usize, host: usize) {
        self.hosts[host].settle(self.now, self.loads.mean);
        let call = &mut self.calls[no];
        call.attempts += 1;
        call.out = Some((host, self.hosts[host].attempts.len()));
        self.groups.count(call.call.group, host, 1);
        self.hosts[host].attempts.push(no);
        self.count_load(no, host, 1.0);
    }

    /// All that an attempt may not break, asked while choosing and again on sending.
    fn is_permitted(&self, no: usize, host: usize) -> bool {
        let (call, to) = (&self.calls[no], &self.hosts[host]);
        call.out.is_none()
            && !call.answered
            && call.attempts < self.settings.max_attempts
            && self.left(no) > Span::ZERO
            && to.condition == Condition::Ready
            && (self.warmth(host) >= 1.0 || self.may_warm(host) || self.newcomer_may_warm(no, host))
            && self.may_repeat_on(no, host)
    }

    /// Whether a call's next attempt is its first, or within the budget for others.
    fn may_go_further(&self, no: usize) -> bool {
        self.calls[no].attempts == 0 || self.further.allow(&self.settings, self.now)
    }

    /// Danger: of hundreds of nodes each would have to save up for a whole call, and a cold host stays empty.
    /// Where a node's fair part is less than one connection, that part is enough to send one. But in a rush
    /// all together would push it over: then each needs a whole call saved up.
    fn may_warm(&self, host: usize) -> bool {
        let fair = (self.fleet.level * self.size(host)).clamp(1.0 - self.settings.unseen(), 1.0);
        let fair = fair + self.settings.bound_together() * (1.0 - fair);
        self.hosts[host].budget >= if self.calm() >= 1.0 { fair } else { 1.0 }
    }

    /// Half the multiple of what usually comes over what wants a host now, as far as others are open.
    fn calm(&self) -> f64 {
        let usual = 0.5 * self.settings.slow_start.multiple * self.fleet.open * self.rates.arrival * 5.0;
        let wants = self.rates.tried.max(1.0) + (self.waiting.held.len() + self.waiting.turn.len()) as f64;
        (usual / wants).min(1.0)
    }

    /// Danger: what a node saves up lapses, or a rush would spend it all at once; in a calm hardly a call
    /// meets it, and a cold host stays empty beside crowded ones. New clients do not come in rushes: of many
    /// nodes each sends a cold host such a part of them that all together send it what they may.
    fn newcomer_may_warm(&self, no: usize, host: usize) -> bool {
        let call = &self.calls[no].call;
        // A hundredth: fewer than a new client in 100 s says nothing of how many there are.
        let part = (self.rates.held * self.warming_fill(host)).min(0.1 * self.warming_bound(host));
        let part = part / self.rates.arrival.max(0.01);
        let draw = draw(call.id.0, self.hosts[host].id.0 ^ u64::from(self.settings.me));
        !call.returning && !call.mid_flow && draw < self.settings.many().powi(2) * part
    }

    fn idempotency(&self, no: usize) -> Idempotency {
        self.settings.traffic[usize::from(self.calls[no].call.traffic.0)].idempotency
    }

    fn may_repeat(&self, no: usize) -> bool {
        match (self.idempotency(no), self.calls[no].ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { window, .. }, Some((_, sent))) => self.now.since(sent) < window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    fn may_repeat_on(&self, no: usize, host: usize) -> bool {
        let (Idempotency::Keyed { scope, .. }, Some((first, _))) = (self.idempotency(no), self.calls[no].ran)
        else {
            return self.may_repeat(no);
        };
        let (first, to) = (&self.hosts[first], &self.hosts[host]);
        self.may_repeat(no)
            && match scope {
                Scope::All => true,
                Scope::Zone => first.zone == to.zone,
                Scope::Cell => first.cell == to.cell,
            }
    }

    /// A reject assures the client that a new try does no harm.
    fn may_reject(&self, no: usize) -> bool {
        match (self.idempotency(no), self.calls[no].ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { scope: Scope::All, .. }, _) => self.may_repeat(no),
            _ => false,
        }
    }

    /// What is left for another attempt. Two ticks are kept back: what comes at the deadline itself is seen a
    /// tick later, and the answer must still be in time.
    fn left(&self, no: usize) -> Span {
        (self.calls[no].call.guard - self.settings.tick.times(2.0)).since(self.now)
    }

    /// An attempt may take the setup target or half of what is left, so that another has room, or three times what
    /// setups take of late.
    fn attempt_timeout(&self, no: usize) -> Span {
        let (call, left) = (&self.calls[no], self.left(no));
        let target = self.settings.traffic[usize::from(call.call.traffic.0)].setup_target;
        // Danger: where all setups take long, what is cut off is worked on all the same, before the next.
        let of_late = Span::from_seconds(3.0 * self.rates.setup);
        if call.attempts + 1 >= self.settings.max_attempts {
            left
        } else {
            left.times(0.5).max(target).max(of_late).min(left)
        }
    }

    fn answer(&mut self, no: usize, port: &mut dyn Port) {
        let id = self.calls[no].call.id;
        if self.may_reject(no) {
            // Clients that were turned away together come back spread over the second half of the wait.
            let spread = 0.5 + 0.5 * self.chance();
            port.reject(id, self.settings.retry_after.map(|most| most.times(spread)));
        } else {
            port.fail(id);
        }
        self.drop_call(no);
    }

    fn drop_call(&mut self, no: usize) {
        let call = self.calls.remove(no);
        if let Some(load) = call.load {
            self.loads.learn(call.call.traffic, load);
        }
        self.remembered.keep(call.call.subject, call.load);
        self.call_no.remove(&call.call.id);
        self.rates.guests -= f64::from(u8::from(call.guest));
        if call.held {
            self.waiting.held.retain(|held| *held != no);
        }
    }

    /// No host may take the call now: it waits for one, and is answered in time if none appears.
    fn hold(&mut self, no: usize, port: &mut dyn Port) {
        self.calls[no].held = true;
        self.waiting.held.push(no);
        // 40 ms: short against any setup target, and long enough to cost little CPU.
        let due = self.now + self.left(no).clamp(self.settings.tick, Span::ms(40).max(self.settings.tick));
        if self.waiting.wake.is_none_or(|wake| due < wake) {
            self.waiting.wake = Some(due);
            port.set_timer(due, HELD);
        }
    }

    /// Danger: with many calls waiting, asking every host for each of them costs more CPU than a node has.
    /// Once one that may go anywhere finds no host, the others wait on.
    fn retry_held(&mut self, port: &mut dyn Port) {
        let mut turn = std::mem::take(&mut self.waiting.held);
        // What little room there is goes to what earns most for its load, then to who waited longest.
        let rank = |no: &usize| (self.worth(*no), std::cmp::Reverse(self.calls[*no].call.id));
        turn.sort_unstable_by(|a, b| rank(a).0.total_cmp(&rank(b).0).then(rank(a).1.cmp(&rank(b).1)));
        self.waiting.held = std::mem::replace(&mut self.waiting.turn, turn);
        let (mut closed, mut tries, most) = (false, 0, 8 - (6.0 * self.settings.many()) as usize);
        while let Some(no) = self.waiting.turn.pop() {
            self.calls[no].held = false;
            if (closed || tries >= most) && self.left(no) > Span::ZERO {
                let turn = self.waiting.held.len() as f64 * self.rates.setup / self.setups.window;
                let late = self.setups.are_full() && self.left(no).seconds() < turn;
                let then: fn(&mut Node, usize, &mut dyn Port) = if late { Node::answer } else { Node::hold };
                then(self, no, port);
                continue;
            }
            let bound = self.is_bound(no);
            let anywhere = !bound && self.calls[no].ran.is_none() && self.expected(no) <= 1.0;
            let before = self.waiting.held.len();
            self.pass_on(no, port);
            tries += usize::from(self.waiting.held.len() > before);
            closed |= anywhere && self.waiting.held.len() > before;
        }
    }

    // Scores.

    /// The design's score: own connections plus the smoothed load, in connections of the mean load.
    fn score(&self, host: usize) -> f64 {
        let to = &self.hosts[host];
        let load = if self.loads.mean > 0.0 { to.smoothed / self.loads.mean } else { 0.0 };
        let ours = to.stand() + load;
        let Some(others) = self.sizes.others(to) else { return ours };
        // Danger: all nodes see the same late word and would fill the same gap, each the whole of it. Each
        // takes the mean of what all nodes hold there, and of its own attempts since then that all send alike.
        let nodes = f64::from(self.settings.nodes.max(1));
        (ours + 2.0 * others) / nodes + self.settings.unseen() * (to.fresh[0] + to.fresh[1])
    }

    /// The score by the host's size, stretched while the host copes badly. Hosts of another zone carry a
    /// load of their own that this node cannot see: as much as ours, where a crossing is dear.
    fn burden(&self, host: usize, local: f64) -> f64 {
        let to = &self.hosts[host];
        // 10: a crossing price of a tenth keeps calls at home until hosts there are strained.
        let away = if to.zone == self.settings.zone {
            0.0
        } else {
            (10.0 * self.settings.cross_zone_price).min(1.0)
        };
        ((self.score(host) + self.settings.unseen() * to.phase) / self.size(host) + away * local)
            * (1.0 + to.strain)
    }

    /// What the other nodes are held to have on a host for its size, each as much as this node has in all.
    fn others(&self, host: usize) -> f64 {
        let nodes = f64::from(self.settings.nodes.max(1)) - 1.0;
        let told = self.hosts[host].told_held.is_some();
        if told {
            0.0
        } else {
            self.settings.many() * nodes * self.rates.held * self.hosts[host].held / self.size(host)
        }
    }

    fn size(&self, host: usize) -> f64 {
        self.hosts[host].nominal.0.max(1e-6) * self.warmth(host)
    }

    /// What hosts of another zone are held to carry unseen, by their size. Danger: a node beside few hosts
    /// would crowd these while others idle. Each zone is held to carry as much as ours, on its own hosts.
    fn local_burden(&self) -> f64 {
        let (mut score, mut near, mut away, mut zones) = (0.0, 0.0, 0.0, 0);
        let told = self.settings.weights == Weights::Live;
        for host in (0..self.hosts.len()).filter(|host| self.is_trusted(*host)) {
            let (zone, size) = (self.hosts[host].zone, self.size(host));
            zones = zones.max(zone.0);
            if zone == self.settings.zone || told {
                (score, near) = (score + self.score(host), near + size);
            } else {
                away += size;
            }
        }
        if told {
            return score / near.max(1e-9);
        }
        let score = score * (1.0 - 2.0 * self.taken_over()).max(0.0);
        if near > 0.0 && away > 0.0 { score * f64::from(zones.max(self.settings.zone.0)) / away } else { 0.0 }
    }

    /// What the call itself adds: its load where that is known, and its group where the host has none of it.
    fn added(&self, no: usize, host: usize, away: f64) -> f64 {
        let unseen = self.settings.unseen();
        let load = self.expected(no) * (1.0 - unseen) / self.size(host);
        if away == 0.0 {
            return load;
        }
        let group = GROUP * if away <= 1.0 { 1.0 - unseen } else { 1.0 - unseen + unseen * away };
        load + group * ((1.0 - unseen) / self.size(host) + unseen / self.fleet.mean_size)
    }

    /// Where a host stands in the group's order: 0 has some of the group, up to 1 is one of its homes.
    fn away(&self, host: usize) -> f64 {
        self.homes.keys.get(host).map_or(0.0, |key| (key / self.homes.within).min(1e9))
    }

    /// Danger: when homes are closed, calls that go anywhere make every host pay for every group. Unless
    /// nearly all is open they wait for a home, or a host that pays already; more so, the less a node sees.
    fn is_bound(&self, no: usize) -> bool {
        self.calls[no].call.group.is_some() && self.fleet.open < 0.95 * self.settings.unseen()
    }

    /// Danger: a node that holds few connections sees few of a group's, and all nodes together spread the
    /// group over every host. The other nodes' part of a group is expected on its homes, which all draw alike
    /// from the ids; a group with more of the traffic has more of them.
    fn find_homes(&mut self, no: usize) {
        let mut keys = std::mem::take(&mut self.homes.keys);
        keys.clear();
        self.homes.within = f64::MAX;
        if let Some(group) = self.calls[no].call.group {
            // A node's few connections say little of one group: 20 like its groups in the mean stand beside.
            const ALIKE: f64 = 20.0;
            let ours = f64::from(self.groups.of(group));
            let part = (ours + ALIKE * self.groups.likeness) / (self.groups.all as f64 + ALIKE);
            let near = |to: &&Host| to.zone == self.settings.zone && to.condition == Condition::Ready;
            let near = self.hosts.iter().filter(near).count();
            // A group under a quarter of a host costs more in each zone than its crossings: homes in all.
            let small = part * (near as f64) < 0.25;
            let foreign = (1.0 - 10.0 * self.settings.cross_zone_price)
                .max(self.taken_over() / self.settings.unseen().max(0.1));
            let foreign = if small { 1.0 } else { foreign.clamp(0.0, 1.0) };
            let mut usable = 0;
            let many = self.settings.many();
            keys.extend(self.hosts.iter().enumerate().map(|(host, to)| {
                let near = if to.zone == self.settings.zone { 1.0 } else { foreign };
                // Danger: a cold host drawn by what it can do now is nobody's home while it warms up.
                let weight = near * to.nominal.0 * (many + (1.0 - many) * self.warmth(host));
                if to.condition != Condition::Ready || to.aside.is_some() || weight <= 0.0 {
                    return f64::INFINITY;
                }
                usable += 1;
                (1.0 - draw(group.0, to.id.0)) / weight
            }));
            let homes = 1 + (self.fleet.open * part * f64::from(usable) + 0.75) as usize;
            self.homes.bound(&keys, homes);
            for (key, on) in keys.iter_mut().zip(self.groups.on(group)) {
                *key = if *on > 0 { 0.0 } else { *key };
            }
        }
        self.homes.keys = keys;
    }

    /// The load to expect, in connections of the mean load.
    fn expected(&self, no: usize) -> f64 {
        let call = &self.calls[no];
        let of_its_type = self.loads.of_type[usize::from(call.call.traffic.0)];
        if self.loads.mean <= 0.0 {
            return 0.0;
        }
        call.load.unwrap_or(if of_its_type > 0.0 { of_its_type } else { self.loads.mean }) / self.loads.mean
    }

    fn count_load(&mut self, no: usize, host: usize, sign: f64) {
        self.hosts[host].settle(self.now, self.loads.mean);
        self.loads.count(&mut self.hosts[host], self.calls[no].load, sign);
    }

    /// Share of its capacity that a host has for certain by now.
    fn warmth(&self, host: usize) -> f64 {
        self.hosts[host].warmth(&self.settings.slow_start, self.now)
    }

    fn is_trusted(&self, host: usize) -> bool {
        let to = &self.hosts[host];
        to.condition == Condition::Ready
            && (self.doubts_itself || to.aside.is_none())
            && (to.trial == 0 || to.setting_up == 0)
            && self.weight(host) < to.limit
            && to.full_until.max(to.over_until) <= self.now
    }

    fn worth(&self, no: usize) -> f64 {
        let call = &self.calls[no];
        let traffic = usize::from(call.call.traffic.0);
        let load = call.load.unwrap_or(self.loads.of_type[traffic]).max(0.1 * self.loads.mean).max(1e-9);
        self.settings.traffic[traffic].revenue / load
    }

    /// A connection known to be heavier than most needs room for all of it.
    fn has_room(&self, no: usize, host: usize) -> bool {
        self.weight(host) + (self.expected(no) - 1.0).max(0.0) < self.hosts[host].limit
    }

    /// What the host holds for us now, in connections of the mean load.
    fn weight(&self, host: usize) -> f64 {
        self.hosts[host].weight(self.loads.mean)
    }

    // What attempts teach.

    fn take_back(&mut self, no: usize, ended: Ended, _: &mut dyn Port) -> Back {
        let Some((host, place)) = self.calls[no].out.take() else { return Back::Done };
        if !ended.was_set_up {
            self.hosts[host].setting_up -= 1;
            self.setups.out -= 1;
        }
        self.hosts[host].settle(self.now, self.loads.mean);
        self.hosts[host].attempts.swap_remove(place);
        if let Some(moved) = self.hosts[host].attempts.get(place).copied() {
            self.calls[moved].out = Some((host, place));
        }
        self.count_load(no, host, -1.0);
        self.groups.count(self.calls[no].call.group, host, -1);
        let call = &mut self.calls[no];
        if !ended.outcome.never_ran() && call.ran.is_none() {
            call.ran = Some((host, call.sent));
        }
        if !ended.final_answer {
            call.failed_at.push(host);
        }
        Back::Pass
    }

    fn learn(&mut self, no: usize, ended: Ended, _: &mut dyn Port) -> Back {
        let host = ended.host;
        if !ended.was_set_up && matches!(ended.outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut) {
            self.set_up_in(no, None);
        }
        match (ended.outcome, ended.was_set_up) {
            (AttemptOutcome::Broken, true) => {
                // Danger: a host that died takes all its connections along; the list says so seconds later.
                // Three within a second that are a third of what it held are no chance.
                self.cut_limit(host, self.weight(host));
                self.rates.broke += 1.0;
                let to = &mut self.hosts[host];
                to.broke += 1;
                if to.broke >= 3 && to.broke as usize * 3 >= to.attempts.len() + to.broke as usize {
                    self.set_aside(host);
                }
            }
            (
                AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Unreachable
                | AttemptOutcome::Broken,
                false,
            ) => self.judge(host, true),
            (AttemptOutcome::Rejected, _) => {
                // Danger: a host that turns calls away at once empties, scores low and draws every call.
                let spread = 0.75 + 0.5 * self.chance();
                let to = &mut self.hosts[host];
                if to.full_until <= self.now {
                    to.full_rest = to.full_rest.times(2.0).clamp(Span::ms(200), Span::ms(8000));
                    to.full_until = self.now + to.full_rest.times(spread);
                }
            }
            _ => {}
        }
        Back::Pass
    }

    /// Danger: where setups share a store, clients that come back together fill its queue, what is given up
    /// there is worked on all the same, and nothing comes back in time any more. So many are out as come back
    /// within two thirds of their target; more are tried while they take less than a third.
    fn set_up_in(&mut self, no: usize, took: Option<Span>) {
        let target = self.settings.traffic[usize::from(self.calls[no].call.traffic.0)].setup_target.seconds();
        let part = took.map_or(f64::INFINITY, |took| took.seconds() / target.max(1e-3));
        let setups = &mut self.setups;
        if part > 0.67 {
            setups.window = (0.8 * setups.window).max(1.0);
        } else if part < 0.33 && f64::from(setups.out) >= 0.5 * setups.window {
            setups.window += 1.0;
        }
    }

    /// Danger: a host that fails fast has few connections and would draw every call.
    fn judge(&mut self, host: usize, failed: bool) {
        let to = &mut self.hosts[host];
        // 0.3 and one half: two failures in a row set a host aside that was well before, one a host on trial.
        to.trouble += 0.3 * (f64::from(u8::from(failed)) - to.trouble);
        if failed && to.trouble > 0.5 {
            self.set_aside(host);
        } else if !failed && to.trial > 0 {
            to.trial -= 1;
            if to.trial == 0 {
                to.wait = Span::ZERO;
            }
        }
    }

    fn set_aside(&mut self, host: usize) {
        let spread = 0.75 + 0.5 * self.chance();
        let to = &mut self.hosts[host];
        if to.aside.is_none() {
            to.wait = to.wait.times(2.0).clamp(Span::ms(1000), Span::ms(8000));
            to.aside = Some(Aside { next_probe: self.now + to.wait.times(spread), answers: 0 });
            self.doubt();
        }
    }

    /// Danger: when most hosts look bad it is more likely the node's own view, and the rest would be crushed.
    pub(crate) fn doubt(&mut self) {
        let ready = self.hosts.iter().filter(|to| to.condition == Condition::Ready);
        let (all, aside) =
            ready.fold((0, 0), |(all, aside), to| (all + 1, aside + usize::from(to.aside.is_some())));
        self.doubts_itself = aside * 2 > all;
    }

    fn probe_hosts(&mut self, port: &mut dyn Port) {
        for host in 0..self.hosts.len() {
            let spread = 0.75 + 0.5 * self.chance();
            let to = &mut self.hosts[host];
            let Some(aside) = &mut to.aside else { continue };
            if to.condition != Condition::Ready || aside.next_probe > self.now {
                continue;
            }
            aside.next_probe = self.now + to.wait.times(spread);
            if self.settings.can_probe {
                // A probe is far less work than a setup, but on a cold host it counts.
                to.budget -= 0.1;
                port.probe(to.id);
            } else {
                self.take_up(host);
            }
        }
    }

    /// Danger: where nobody tells message times, nobody sees a neighbour take half of a machine. It slows
    /// answers to probes at once: hosts with connections get some in turn, three a call at the most.
    fn listen_to_hosts(&mut self, port: &mut dyn Port) {
        let most = ((3.0 * self.rates.arrival) as usize + 1).min(self.hosts.len());
        for _ in 0..if self.settings.reports_message_times || !self.settings.can_probe { 0 } else { most } {
            self.turn = (self.turn + 1) % self.hosts.len();
            let to = &mut self.hosts[self.turn];
            if to.condition == Condition::Ready && to.aside.is_none() && !to.attempts.is_empty() {
                to.budget -= 0.1;
                port.probe(to.id);
            }
        }
    }

    /// A host that was set aside is tried with one call at a time before it is trusted.
    fn take_up(&mut self, host: usize) {
        let to = &mut self.hosts[host];
        (to.aside, to.trial, to.trouble) = (None, 3, 0.3);
        self.doubt();
    }

    // The clock.

    fn every_second(&mut self, port: &mut dyn Port) {
        let elapsed = self.now.since(self.ticked).seconds().max(1e-3);
        self.ticked = self.now;
        self.seconds += 1;
        for host in 0..self.hosts.len() {
            self.hosts[host].settle(self.now, self.loads.mean);
            let to = &mut self.hosts[host];
            // The document's smoothing constant.
            const ALPHA: f64 = 0.06;
            to.smooth(ALPHA, elapsed);
            to.broke = 0;
            // Halves in 5 s, the time between two moves; where the node holds nothing it hears nothing.
            to.strain *= if to.attempts.is_empty() { 0.97 } else { 0.87 };
        }
        self.groups.weigh((1.0 / self.seconds as f64).max(0.06));
        self.rates.fade(0.8);
        self.setups.window = (0.8 * self.setups.window).max(NARROW.min(self.setups.window));
        self.fill_budgets(elapsed);
        self.reckon(elapsed);
        if self.seconds.is_multiple_of(30) {
            self.remembered.turn();
        }
        self.listen_to_hosts(port);
        self.probe_hosts(port);
        self.question_list(port);
        self.relieve();
        if self.seconds.is_multiple_of(5) {
            self.move_one(port);
        }
        port.set_timer(self.now + Span::ms(1000), SECOND);
    }

    /// Danger: a host past what it can do serves nobody in time, drops connections, and these come back as
    /// more work still. It takes no more than it coped with, and what it has above that leaves at once.
    fn relieve(&mut self) {
        let mut sums = (0.0, 0.0);
        for host in 0..self.hosts.len() {
            let to = &self.hosts[host];
            let usable = to.condition == Condition::Ready && to.aside.is_none() && to.full_rest == Span::ZERO;
            if usable && to.zone == self.settings.zone {
                sums = (sums.0 + self.weight(host), sums.1 + self.size(host));
            }
        }
        let ready = (0..self.hosts.len()).filter(|host| self.hosts[*host].condition == Condition::Ready);
        let (open, all, n) = ready.fold((0.0, 0.0, 0.0), |(open, all, n), host| {
            let size = self.size(host);
            (open + if self.is_trusted(host) { size } else { 0.0 }, all + size, n + 1.0)
        });
        (self.fleet.open, self.fleet.mean_size) = if all > 0.0 { (open / all, all / n) } else { (1.0, 1.0) };
        self.fleet.level = sums.0 / sums.1.max(1e-9);
        for host in 0..self.hosts.len() {
            let (weight, mean) = (self.weight(host), 1.5 * self.fleet.level * self.size(host));
            let to = &mut self.hosts[host];
            if !std::mem::take(&mut to.over) && to.limit.is_finite() {
                // Danger: where all broke, limit and mean are nothing, and nothing grows from that.
                to.limit += 0.02 * to.limit.max(mean).max(0.1);
            }
            to.weight_before = weight;
        }
    }

    /// What a host's own word on its messages asks for: when their time grows by so much a second, that share
    /// of its load is too much, and what has piled up is to be gone in 0.8 s; all nodes hear the same.
    fn crowded_host(&mut self, host: usize, took: Span, port: &mut dyn Port) {
        let (target, took, weight) = (self.settings.message_target(), took.seconds(), self.weight(host));
        let to = &mut self.hosts[host];
        let since = self.now.since(to.piled_at).seconds();
        let before = if since < 1.5 { to.piled } else { 0.0 };
        (to.piled, to.piled_at) = (took, self.now);
        let growth = (took - before) / since.clamp(0.5, 1.0);
        let stands = growth > 0.8;
        to.strain = to.strain.max(if stands { 0.0 } else { (took / target).min(4.0) });
        // Below three tenths of the target all is well; shedding from a half or the whole lost far more.
        if took < 0.3 * target {
            return;
        }
        // Danger: a host that stands still shows nothing of what it can do: limits cut by it close the fleet.
        // All there is served sooner elsewhere, unless groups make that dear.
        // Danger: where most hosts are closed, what leaves one comes back to another like it.
        let most = if stands && self.groups.all == 0 { 1.0 } else { 0.5 };
        let share = (growth + self.fleet.open * took / 0.8).clamp(0.0, most);
        self.cut_limit(host, if stands { f64::INFINITY } else { weight * (1.0 - growth.max(0.0)) });
        let mut above = weight * share;
        while above > 0.0 {
            let Some(no) = self.least_worth(host) else { break };
            // What leaves counts as one connection at the least: many light ones would leave for little.
            let moved = self.told_weight(no).max(1.0);
            if above < moved && self.chance() * moved >= above {
                break;
            }
            above -= moved;
            self.calls[no].leaving = true;
            port.migrate(self.calls[no].call.id);
        }
    }

    /// A connection's load in connections of the mean load, as far as that was told.
    fn told_weight(&self, no: usize) -> f64 {
        let mean = self.loads.mean;
        self.calls[no].load.filter(|_| mean > 0.0).map_or(1.0, |load| load / mean)
    }

    /// Danger: while a host empties, its weight of the moment says nothing of what it can do; a limit taken
    /// from it would keep the host idle. A second cuts the limit by three tenths at most.
    fn cut_limit(&mut self, host: usize, weight: f64) {
        let to = &mut self.hosts[host];
        to.limit = to.limit.min(weight.max(0.7 * to.weight_before));
        to.over = true;
        to.over_until = self.now + Span::ms(1200);
    }

    /// Danger: where two fifths of the fleet are closed, what leaves finds no place soon, and any one would
    /// as well earn most. Of six drawn it is the one that earns least for its load; in an open fleet any one.
    fn least_worth(&mut self, host: usize) -> Option<usize> {
        let mut least = self.random_open(host)?;
        for _ in 1..if self.fleet.open < 0.6 { 6 } else { 1 } {
            let other = self.random_open(host)?;
            least = if self.worth(other) < self.worth(least) { other } else { least };
        }
        Some(least)
    }

    fn random_open(&mut self, host: usize) -> Option<usize> {
        let open = self.hosts[host].attempts.iter().filter(|no| self.calls[**no].is_open()).count();
        let pick = (open > 0).then(|| self.rng.generate_range(0..open as u64) as usize)?;
        self.hosts[host].attempts.iter().filter(|no| self.calls[**no].is_open()).nth(pick).copied()
    }

    /// Danger: all nodes together push a cold host over. Each sends it no more than its own part of what a
    /// host carries in the mean, times what the cold host can do by now and the multiple allowed.
    fn fill_budgets(&mut self, elapsed: f64) {
        let first = 1.0 / self.seconds as f64;
        self.rates.count(elapsed, first.max(0.06));
        // Danger: calls that wait, or hosts that are lost, would raise what a host seems to carry, and with
        // it what cold ones are sent: connections that stand count, and what is usual follows them slowly.
        let stand = self.hosts.iter().map(|to| to.stand() - f64::from(to.setting_up)).sum::<f64>();
        let ready = (0..self.hosts.len()).filter(|host| self.hosts[*host].condition == Condition::Ready);
        let (shares, size) = ready.fold((0.0, 0.0), |(shares, size), host| {
            (shares + self.hosts[host].nominal.0, size + self.size(host))
        });
        self.rates.weigh(stand, shares, size, first);
        self.sizes.weigh(&self.hosts, f64::from(self.settings.nodes), stand, first.max(0.06));
        let window = self.settings.slow_start.window.times(1.0 - 0.5 * self.settings.bound_together());
        for host in 0..self.hosts.len() {
            let warmth = self.warmth(host);
            if warmth < 1.0 {
                // Twice what a host carries came to half of the limit; many nodes use up theirs: once.
                let part = self.hosts[host].nominal.0 / shares.max(1e-6) * self.rates.arrival;
                let arrive = self.settings.slow_start.multiple * warmth * part * (2.0 - self.settings.many());
                // Danger: in a rush all nodes use theirs in full: 32 pushed a host over, each by one call.
                let usual = self.settings.many() * self.rates.held * self.warming_fill(host);
                let rate = arrive.max(self.calm().max(0.67 * warmth) * usual);
                let rate = rate.min(self.warming_bound(host));
                self.hosts[host].save_up(rate, window, self.now);
            }
        }
    }

    /// How much a second all nodes may send a cold host, in what a host of its size usually carries for one
    /// unit. Danger: with a call in ten seconds, most nodes let lapse what they saved up by their arrivals,
    /// and hosts that came back stay empty. Three times the multiple of what fills one once in its warm-up.
    fn warming_fill(&self, host: usize) -> f64 {
        let slow_start = &self.settings.slow_start;
        3.0 * slow_start.multiple * self.hosts[host].nominal.0 / slow_start.after.seconds().max(1e-9)
    }

    /// This node's part of what a cold host stands of all nodes together, told by what hosts hold where half
    /// of them is free. Budgets come due at even steps and lapse after half a window, which leaves room for a
    /// tenth as much by new clients, who come by chance and in bursts.
    fn warming_bound(&self, host: usize) -> f64 {
        let nodes = f64::from(self.settings.nodes.max(1));
        let allowed = self.warming_fill(host) / 3.0 * self.warmth(host) * self.rates.held * nodes;
        self.settings.slow_start.stands(allowed) / (nodes * self.settings.bound_together().max(1e-9))
    }

    /// Danger: a host that started of late looks like any other to a node with less than a connection a host.
    /// What others hold is reckoned: it ends as ours does or with its host, and goes to cold hosts first.
    fn reckon(&mut self, elapsed: f64) {
        let leave = (self.rates.arrival / (self.calls.len() as f64).max(1.0) * elapsed).min(1.0);
        let takes = (0..self.hosts.len()).map(|host| (self.warmth(host), self.warming_fill(host) * elapsed));
        let takes: Vec<(f64, f64)> = takes.collect();
        spread_held(&mut self.hosts, leave, &takes);
    }

    /// The design's gap test: one random connection leaves the top host, naming no target.
    fn move_one(&mut self, port: &mut dyn Port) {
        let local = self.local_burden();
        let (mut top, mut low) = (None, None);
        for host in (0..self.hosts.len()).filter(|host| self.hosts[*host].condition == Condition::Ready) {
            let burden = self.burden(host, local);
            if top.is_none_or(|(most, _)| burden > most) {
                top = Some((burden, host));
            }
            if self.is_trusted(host) && low.is_none_or(|(least, _)| burden < least) {
                low = Some((burden, host));
            }
        }
        let (Some((most, top)), Some((least, low))) = (top, low) else { return };
        let (above, below) = (&self.hosts[top], &self.hosts[low]);
        let more = above.attempts.len() as f64 - below.attempts.len() as f64;
        let heavier = above.smoothed - below.smoothed >= 2.0 * self.loads.mean && self.loads.mean > 0.0;
        if most - least <= 0.2 * most || !(more >= 2.0 || heavier) {
            return;
        }
        if let Some(no) = self.random_open(top) {
            self.calls[no].leaving = true;
            port.migrate(self.calls[no].call.id);
        }
    }

    pub(crate) fn chance(&mut self) -> f64 {
        f64::from(self.rng.generate::<f32>())
    }

    // What happens.

    pub fn call_arrived(&mut self, now: Time, call: Call, port: &mut dyn Port) {
        self.now = now;
        self.further.taken(&self.settings, now);
        self.rates.arrivals += u32::from(!call.returning && !call.mid_flow);
        let no = self.take_in(call);
        if self.is_beyond_part(no) {
            return self.answer(no, port);
        }
        let first = self.waiting.held.is_empty() || self.is_bound(no);
        if first { self.pass_on(no, port) } else { self.hold(no, port) }
    }

    /// Danger: when much of a large fleet is lost or cold, its clients come again to the hosts that are left,
    /// and these go under. As far as less is there than usual, a node on which connections broke within 5 s
    /// takes clients that come again up to that part of its usual, and three tenths more (none and six were
    /// worse); the others hear at once when to return.
    fn is_beyond_part(&mut self, no: usize) -> bool {
        let call = self.calls[no].call;
        let part = 1.3 * self.rates.size / self.rates.usual_size.max(1e-9);
        if !call.returning || call.mid_flow || part >= 1.0 || self.rates.broke < 0.3 {
            return false;
        }
        let stand = self.hosts.iter().map(Host::stand).sum::<f64>();
        draw(call.id.0, self.settings.me.into()) < self.settings.many()
            && stand + self.chance() > part * self.rates.usual_conns.max(1.0)
    }

    /// Danger: a heavy connection that was sent away comes back looking like any other. What it asked for is
    /// remembered for the client's return.
    fn take_in(&mut self, call: Call) -> usize {
        let load = call.load.or_else(|| self.remembered.load(call.subject?));
        let guest = call.returning && load.is_none();
        let load = load.or_else(|| self.remembered.left(call.subject?));
        let ran = call.before.and_then(|(host, at)| Some((*self.host_no.get(&host)?, at)));
        let no = self.calls.insert(InHand { guest, ran, ..InHand::new(call, load, self.now) });
        self.call_no.insert(call.id, no);
        self.rates.guests += f64::from(u8::from(guest));
        // Danger: limits in connections of ours, from when others had theirs there too, keep those out.
        for host in 0..if guest && self.taken_over() > 0.0 { self.hosts.len() } else { 0 } {
            self.hosts[host].limit += self.settings.few() * self.size(host) / self.rates.size.max(1e-9);
        }
        no
    }

    /// The part of our calls that another node had before. Danger: when a node drains or dies, its clients
    /// come to one that keeps to its own zone and its limits. Of many nodes each has too few calls to tell.
    fn taken_over(&self) -> f64 {
        self.settings.few() * self.rates.taken_over(self.calls.len()) / self.calls.len().max(1) as f64
    }

    pub fn existing_connection(&mut self, now: Time, call: Call, host: HostId) {
        self.now = now;
        let Some(host) = self.host_no.get(&host).copied() else { return };
        let no = self.take_in(call);
        self.calls[no].set_up = true;
        self.put(no, host);
    }

    pub fn attempt_established(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptNumber,
        took: Span,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some((no, host)) = self.outstanding_attempt(call, attempt) else { return };
        if std::mem::replace(&mut self.calls[no].set_up, true) {
            return;
        }
        self.hosts[host].setting_up -= 1;
        self.set_up_in(no, Some(took));
        self.setups.out -= 1;
        self.hosts[host].full_rest = Span::ZERO;
        self.judge(host, false);
        // Danger: a host that goes under answers probes beside its work; what is open there earns nothing.
        // A setup waits behind that work: what it took too long, a message takes too.
        let usual = self.rates.usual_setup(took, self.calls[no].ahead);
        if !self.settings.reports_message_times {
            let slower = self.hosts[host].set_up_slower(took.seconds() - usual);
            self.crowded_host(host, slower, port);
        }
    }

    fn outstanding_attempt(&self, call: CallId, attempt: AttemptNumber) -> Option<(usize, usize)> {
        let no = *self.call_no.get(&call)?;
        let held = self.calls.get(no).filter(|held| held.attempts == attempt.0 + 1)?;
        held.out.map(|(host, _)| (no, host))
    }

    pub fn attempt_ended(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        final_answer: bool,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some((no, host)) = self.outstanding_attempt(call, attempt) else { return };
        let was_set_up = self.calls[no].set_up;
        self.pass_back(no, Ended { outcome, final_answer, host, was_set_up }, port);
    }

    /// The client left: nothing is owed, and the attempt that is still out need not go on.
    pub fn client_left(&mut self, now: Time, call: CallId, port: &mut dyn Port) {
        self.now = now;
        let Some(no) = self.call_no.get(&call).copied() else { return };
        if self.calls[no].out.is_none() {
            return self.drop_call(no);
        }
        self.calls[no].answered = true;
        if self.settings.can_cancel && !self.calls[no].set_up {
            port.cancel(call, AttemptNumber(self.calls[no].attempts - 1));
        }
    }

    pub fn attempt_report(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptNumber,
        news: News,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some((no, host)) = self.outstanding_attempt(call, attempt) else { return };
        match news {
            News::Load(load) => {
                self.count_load(no, host, -1.0);
                self.calls[no].load = Some(load);
                self.count_load(no, host, 1.0);
            }
            News::MessageTime(took) => self.crowded_host(host, took, port),
        }
    }

    pub fn timer_fired(&mut self, now: Time, token: TimerToken, port: &mut dyn Port) {
        self.now = now;
        match token {
            SECOND => self.every_second(port),
            // Danger: an alarm that an earlier one has overtaken would start a second chain of alarms, and
            // chains that multiply stop the node.
            HELD if self.waiting.wake.is_some_and(|wake| now + Span(1000) >= wake) => {
                self.waiting.wake = None;
                self.retry_held(port);
            }
            ASK if now >= self.asking.ask_at && !self.asking.following && !self.asking.asked => {
                self.asking.asked = true;
                port.watch_endpoints();
            }
            _ => {}
        }
    }

    pub fn probe_finished(
        &mut self,
        now: Time,
        host: HostId,
        how: AttemptOutcome,
        took: Span,
        port: &mut dyn Port,
    ) {
        self.now = now;
        let Some(host) = self.host_no.get(&host).copied() else { return };
        let to = &mut self.hosts[host];
        let Some(aside) = &mut to.aside else {
            // Danger: a host that hangs still takes connections, and each call there waits out an attempt.
            if how != AttemptOutcome::Completed {
                self.judge(host, true);
            } else if !self.settings.reports_message_times {
                let slower =
                    Span::from_seconds(self.settings.message_target() * (to.answered_in(took) - 1.0));
                self.crowded_host(host, slower, port);
            }
            return;
        };
        if how == AttemptOutcome::Completed {
            aside.answers += 1;
            aside.next_probe = now + Span::ms(500);
            if aside.answers >= 2 {
                self.take_up(host);
            }
        } else {
            aside.answers = 0;
            to.wait = to.wait.times(2.0).min(Span::ms(8000));
        }
    }

    // The host list.

    pub fn endpoints_changed(
        &mut self,
        now: Time,
        update: ListUpdate,
        lines: &[Endpoint],
        port: &mut dyn Port,
    ) {
        self.now = now;
        if update != ListUpdate::Cached && self.asking.asked {
            self.asking.answered();
        }
        if update != ListUpdate::Delta {
            for to in &mut self.hosts {
                if !lines.iter().any(|line| line.host == to.id) {
                    to.condition = Condition::Gone;
                }
            }
        }
        for line in lines {
            let first_budget = self.first_budget(line.host);
            match self.host_no.get(&line.host) {
                Some(host) => {
                    let to = &mut self.hosts[*host];
                    if to.has_started(line.up_since, self.settings.start_uncertainty, now) {
                        (to.budget, to.budget_at, to.held) = (first_budget, now, 0.0);
                    }
                    (to.condition, to.zone, to.cell) = (line.condition, line.zone, line.cell);
                    to.kind = line.kind;
                    self.sizes.read(to, line.weight, self.settings.weights);
                }
                None => self.add_host(line),
            }
        }
        self.doubt();
        self.take_turns();
        self.retry_held(port);
    }

    /// A node with fewer connections than hosts begins with every n-th of the sorted list, from its start.
    fn take_turns(&mut self) {
        let ready = |host: &&usize| self.hosts[**host].condition == Condition::Ready;
        let n = self.sorted.iter().filter(ready).count().div_ceil(self.calls.len().max(1));
        let mut turn = self.settings.me as usize;
        for host in self.sorted.iter().copied() {
            let to = &mut self.hosts[host];
            to.phase = ((turn % n.max(1)) as f64 + draw(to.id.0, self.settings.me.into())) / n.max(1) as f64;
            turn += usize::from(to.condition == Condition::Ready);
        }
    }

    /// Danger: with the same budget from the start, all nodes would send a cold host their first call in one
    /// window. Each starts another part of a call below zero; of many nodes, below one.
    fn first_budget(&self, host: HostId) -> f64 {
        let turn = f64::from(self.settings.me) / f64::from(self.settings.nodes.max(1));
        let many = self.settings.many().max(self.settings.bound_together());
        many * (turn + draw(host.0, 0)).fract() - (1.0 - many) * turn
    }

    /// An unheard-from host's load starts at the others' mean.
    fn add_host(&mut self, line: &Endpoint) {
        let mean = self.hosts.iter().map(|to| to.smoothed).sum::<f64>() / self.hosts.len().max(1) as f64;
        self.host_no.insert(line.host, self.hosts.len());
        let at = self.sorted.partition_point(|host| self.hosts[*host].id < line.host);
        self.sorted.insert(at, self.hosts.len());
        let budget = self.first_budget(line.host);
        // One that is not cold is held to have as much for its size as the others.
        self.hosts.push(Host { budget, ..Host::new(line, mean, self.now) });
        let host = self.hosts.len() - 1;
        self.hosts[host].has_started(line.up_since, self.settings.start_uncertainty, self.now);
        self.sizes.read(&mut self.hosts[host], line.weight, self.settings.weights);
        let part = self.hosts[host].nominal.0 * held_per_share(&self.hosts[..host]);
        if line.condition == Condition::Ready && self.warmth(host) >= 1.0 {
            self.hosts[host].held = part;
        }
    }

    /// Danger: a list gone stale unnoticed. While most hosts look bad or none is ready, the whole list
    /// is asked for, at growing waits; and a question that nobody answers is put again.
    fn question_list(&mut self, port: &mut dyn Port) {
        let Some(poll_interval) = self.settings.poll_interval else { return };
        let none_ready = !self.hosts.iter().any(|to| to.condition == Condition::Ready);
        if self.hosts.is_empty() && self.asking.is_new() {
            self.asking.asked = true;
            port.watch_endpoints();
        }
        if !(self.doubts_itself || none_ready) {
            self.asking.doubt_wait = Span::ms(1000);
            self.asking.fetch_at = self.now + list_spread(&self.settings).times(self.chance());
        } else if self.now >= self.asking.fetch_at {
            self.asking.doubt_wait = self.asking.doubt_wait.times(2.0).min(poll_interval.times(0.5));
            self.asking.fetch_at = self.now + self.asking.doubt_wait.times(0.75 + 0.5 * self.chance());
            port.fetch_endpoints();
        }
        if self.asking.asked && self.now.since(self.asking.ask_at) > poll_interval.times(0.5) {
            self.asking.ask_at = self.now;
            port.watch_endpoints();
        }
    }

    /// Danger: nodes that ask again in step keep the list's service crowded. The waits grow and differ.
    pub fn watch_failed(&mut self, now: Time, port: &mut dyn Port) {
        self.now = now;
        (self.asking.asked, self.asking.following) = (false, false);
        self.asking.refusals += 1;
        let Some(poll_interval) = self.settings.poll_interval else { return };
        let longest = poll_interval.times(0.3);
        let wait = Span::ms(250).times(f64::from(1u32 << self.asking.refusals.min(6))).min(longest);
        let wait = wait.max(list_spread(&self.settings));
        self.asking.ask_at = now + wait.times(0.5 + 0.5 * self.chance());
        port.set_timer(self.asking.ask_at, ASK);
    }
}
