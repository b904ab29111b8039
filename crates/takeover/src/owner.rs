//! A node's own calls: what has to be kept before an attempt goes, and what has been before a call that comes again.

use std::collections::BTreeMap;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use nanorand::{Rng, WyRand};

use crate::fault_injection::{InjectedFault, is_injected};
use crate::{
    Action, Attempt, Intent, IntentVerdict, Outcome, QUIET_PERIOD_MS, RecordId, RecordView, ReplicaMessage,
    SEND_WINDOW_MS, UNKNOWN_AGE_MS, View, WorkId,
};

/// What was not answered is said again after this: a link that came up anew has lost it.
const AGAIN_MS: u64 = 120;

/// A record that is not over is looked at again after this and up to twice as long: two that met must not meet again.
const LOOK_AGAIN_MS: u64 = 100;

/// Kept back of a call's time, so that it is answered within it.
const KEPT_BACK_MS: u64 = 150;

/// What has been before a call: where the work's first attempt went that may have run, and when at the earliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    pub host: u64,
    pub at: Timestamp,
}

/// An intent that waits for its replicas.
#[derive(Clone, Debug)]
struct Asking {
    since: Timestamp,
    said: Timestamp,
    latest: Timestamp,
    /// No attempt of the call ran so far.
    clean: bool,
    intent: Intent,
    replicas: Vec<UnitName>,
    verdicts: BTreeMap<UnitName, IntentVerdict>,
}

/// A look at what replicas hold.
#[derive(Clone, Debug)]
struct Looking {
    no: u32,
    since: Timestamp,
    said: Timestamp,
    replicas: Vec<UnitName>,
    shown: BTreeMap<UnitName, Option<Vec<RecordView>>>,
    /// Over for now, to begin anew then.
    again: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Mine {
    count: u64,
    work: WorkId,
    repeat: bool,
    over: Vec<(RecordId, u32)>,
    before: Option<PriorAttempt>,
    /// Up to then it may look.
    limit: Timestamp,
    no: u32,
    asking: Option<Asking>,
    looking: Option<Looking>,
    intended: bool,
}

#[derive(Clone, Debug)]
pub struct Owner {
    me: UnitName,
    incarnation: Incarnation,
    chance: WyRand,
    count: u64,
    calls: BTreeMap<u64, Mine>,
    /// Which call each record is of.
    by_count: BTreeMap<u64, u64>,
}

fn majority(replicas: &[UnitName]) -> usize {
    if is_injected(InjectedFault::OneIsEnough) { 1 } else { replicas.len() / 2 + 1 }
}

/// What two replicas show of one record, taken together.
///
/// Danger: a replica that was stopped, or behind a stalled link, has kept late and takes the record for young. Of any
/// majority one has kept the last attempt's intent in time, and shows the greater age.
fn merge(known: &mut RecordView, other: &RecordView) {
    if other.first.0 == known.first.0 {
        known.first.1 = known.first.1.max(other.first.1);
    } else if other.no > known.no {
        known.first = other.first;
    }
    match other.no.cmp(&known.no) {
        std::cmp::Ordering::Greater => {
            (known.no, known.term, known.age_ms) = (other.no, other.term, other.age_ms);
        }
        std::cmp::Ordering::Equal => known.age_ms = known.age_ms.max(other.age_ms),
        std::cmp::Ordering::Less => {}
    }
    known.answered |= other.answered;
    known.open_ms = known.open_ms.min(other.open_ms);
}

impl Owner {
    pub fn new(me: UnitName, incarnation: Incarnation, seed: u64) -> Owner {
        let chance = WyRand::new_seed(seed);
        Owner { me, incarnation, chance, count: 0, calls: BTreeMap::new(), by_count: BTreeMap::new() }
    }

    /// Calls that have asked for something to be kept, or look.
    pub fn in_hand(&self) -> usize {
        self.calls.len()
    }

    fn id(&self, count: u64) -> RecordId {
        RecordId { owner: self.me.clone(), incarnation: self.incarnation, count }
    }

    fn mine(&mut self, call: u64, work: WorkId, now: Timestamp) -> &mut Mine {
        let fresh = !self.calls.contains_key(&call);
        if fresh {
            self.count += 1;
            self.by_count.insert(self.count, call);
        }
        let count = self.count;
        self.calls.entry(call).or_insert(Mine {
            count,
            work,
            repeat: false,
            over: Vec::new(),
            before: None,
            limit: now,
            no: 0,
            asking: None,
            looking: None,
            intended: false,
        })
    }

    pub(crate) fn returned(
        &mut self,
        now: Timestamp,
        call: u64,
        work: WorkId,
        left_ms: u64,
        view: &View,
    ) -> Vec<Action> {
        let mine = self.mine(call, work, now);
        mine.repeat = true;
        mine.limit = now.plus_ms(left_ms.saturating_sub(KEPT_BACK_MS));
        self.look(now, call, view)
    }

    fn look(&mut self, now: Timestamp, call: u64, view: &View) -> Vec<Action> {
        let Some(mine) = self.calls.get_mut(&call) else { return vec![] };
        mine.no += 1;
        let replicas = view.replicas(mine.work);
        if replicas.is_empty() {
            return self.give_up(call, view);
        }
        let (no, shown) = (mine.no, BTreeMap::new());
        mine.looking = Some(Looking { no, since: now, said: now, replicas, shown, again: None });
        self.say_look(call, view)
    }

    fn say_look(&self, call: u64, view: &View) -> Vec<Action> {
        let Some(mine) = self.calls.get(&call) else { return vec![] };
        let Some(looking) = &mine.looking else { return vec![] };
        let id = self.id(mine.count);
        let silent = looking.replicas.iter().filter(|replica| !looking.shown.contains_key(*replica));
        let message = ReplicaMessage::Query { id, no: looking.no, work: mine.work, version: view.version };
        silent.map(|replica| Action::Send(replica.clone(), message.clone())).collect()
    }

    pub(crate) fn intend(&mut self, now: Timestamp, call: u64, attempt: Attempt, view: &View) -> Vec<Action> {
        let Attempt { work, host, ran, left_ms, latest } = attempt;
        let me = self.me.clone();
        let mine = self.mine(call, work, now);
        mine.no += 1;
        mine.intended = true;
        let first = match (mine.before, ran) {
            (Some(before), _) => (before.host, now.ms_since(before.at)),
            (None, Some((host, at))) => (host, now.ms_since(at)),
            (None, None) => (host, 0),
        };
        let (no, count, repeat, over) = (mine.no, mine.count, mine.repeat, mine.over.clone());
        let (term, version) = (view.term(&me), view.version);
        let id = self.id(count);
        let intent = Intent { id, work, term, version, repeat, over, first, no, left_ms };
        let replicas = view.replicas(work);
        if replicas.is_empty() {
            return vec![Action::NotReplicated(call)];
        }
        let verdicts = BTreeMap::new();
        let actions = replicas
            .iter()
            .map(|replica| Action::Send(replica.clone(), ReplicaMessage::StoreIntent(intent.clone())));
        let mut actions: Vec<Action> = actions.collect();
        if is_injected(InjectedFault::SentBeforeKept) {
            actions.push(Action::Proceed(call));
            return actions;
        }
        if let Some(mine) = self.calls.get_mut(&call) {
            mine.asking = Some(Asking {
                since: now,
                said: now,
                latest,
                clean: ran.is_none(),
                intent,
                replicas,
                verdicts,
            });
        }
        actions
    }

    pub(crate) fn ended(&mut self, call: u64, outcome: Outcome, view: &View) -> Vec<Action> {
        let Some(mine) = self.calls.remove(&call) else { return vec![] };
        self.by_count.remove(&mine.count);
        if !mine.intended {
            return vec![];
        }
        let message =
            ReplicaMessage::CallEnded { id: self.id(mine.count), work: mine.work, no: mine.no, outcome };
        view.replicas(mine.work).into_iter().map(|replica| Action::Send(replica, message.clone())).collect()
    }

    fn give_up(&mut self, call: u64, view: &View) -> Vec<Action> {
        let mut actions = self.ended(call, Outcome::NeverRan, view);
        actions.push(Action::Fail(call));
        actions
    }

    pub(crate) fn heard(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        message: ReplicaMessage,
        view: &View,
    ) -> Vec<Action> {
        match message {
            ReplicaMessage::IntentReply { id, no, verdict } => {
                let Some(call) = self.call_of(&id) else { return vec![] };
                let Some(mine) = self.calls.get_mut(&call) else { return vec![] };
                let Some(asking) = mine.asking.as_mut().filter(|asking| asking.intent.no == no) else {
                    return vec![];
                };
                if asking.replicas.contains(from) {
                    asking.verdicts.insert(from.clone(), verdict);
                }
                self.judge(now, call, view)
            }
            ReplicaMessage::QueryReply { id, no, records } => {
                let Some(call) = self.call_of(&id) else { return vec![] };
                let Some(mine) = self.calls.get_mut(&call) else { return vec![] };
                let open = |looking: &&mut Looking| looking.no == no && looking.again.is_none();
                let Some(looking) = mine.looking.as_mut().filter(open) else { return vec![] };
                if looking.replicas.contains(from) {
                    looking.shown.insert(from.clone(), records);
                }
                self.see(now, call, view)
            }
            _ => vec![],
        }
    }

    fn call_of(&self, id: &RecordId) -> Option<u64> {
        (id.owner == self.me && id.incarnation == self.incarnation)
            .then(|| self.by_count.get(&id.count).copied())?
    }

    fn judge(&mut self, now: Timestamp, call: u64, view: &View) -> Vec<Action> {
        let Some(mine) = self.calls.get_mut(&call) else { return vec![] };
        let Some(asking) = &mine.asking else { return vec![] };
        let of = |verdict: IntentVerdict| asking.verdicts.values().filter(|of| **of == verdict).count();
        let (kept, others, needed) =
            (of(IntentVerdict::Accepted), of(IntentVerdict::Conflict), majority(&asking.replicas));
        let refused = others + of(IntentVerdict::Unavailable);
        let soon = now.ms_since(asking.since) <= SEND_WINDOW_MS && now <= asking.latest;
        let in_time = soon || is_injected(InjectedFault::LateSend);
        if kept >= needed && in_time {
            mine.asking = None;
            return vec![Action::Proceed(call)];
        }
        if kept >= needed || asking.replicas.len() - refused < needed {
            let clean = asking.clean;
            mine.asking = None;
            // Danger: with an earlier attempt that may have run the record has to stay.
            if others == 0 || !clean {
                return vec![Action::NotReplicated(call)];
            }
            // What some replicas took is taken back, or two that met would stand in each other's way for good.
            let (count, work, no) = (mine.count, mine.work, mine.no);
            let message =
                ReplicaMessage::CallEnded { id: self.id(count), work, no, outcome: Outcome::NeverRan };
            let replicas = view.replicas(work).into_iter();
            let mut actions: Vec<Action> =
                replicas.map(|replica| Action::Send(replica, message.clone())).collect();
            actions.push(Action::InFlightElsewhere(call));
            return actions;
        }
        vec![]
    }

    fn see(&mut self, now: Timestamp, call: u64, view: &View) -> Vec<Action> {
        let Some(mine) = self.calls.get_mut(&call) else { return vec![] };
        let Some(looking) = &mut mine.looking else { return vec![] };
        let needed = majority(&looking.replicas);
        let told = looking.shown.values().flatten().count();
        let untold = looking.shown.len() - told;
        if told < needed {
            // Danger: nobody that could tell is left. Waiting would only park the call.
            let none = looking.replicas.len() - untold < needed;
            return if none { self.give_up(call, view) } else { vec![] };
        }
        let mut records: BTreeMap<RecordId, RecordView> = BTreeMap::new();
        for shown in looking.shown.values().flatten().flatten() {
            records
                .entry(shown.id.clone())
                .and_modify(|known| merge(known, shown))
                .or_insert_with(|| shown.clone());
        }
        let is_over = |shown: &RecordView| {
            let lost = view.term(&shown.id.owner) > shown.term && shown.age_ms >= QUIET_PERIOD_MS;
            shown.answered || shown.open_ms == 0 || lost || is_injected(InjectedFault::OpenTaken)
        };
        if !records.values().all(is_over) {
            let wait = LOOK_AGAIN_MS + self.chance.generate_range(0..LOOK_AGAIN_MS);
            looking.again = Some(now.plus_ms(wait));
            return vec![];
        }
        // Danger: a record that its node took back may still stand at one replica. It and another would name two hosts, only
        // one of which ran the work, and nobody can tell which.
        let mut firsts = records.values().map(|shown| shown.first.0);
        let first = firsts.next();
        if firsts.any(|host| Some(host) != first) {
            return self.give_up(call, view);
        }
        // When it went is not known any more: no host can be held to recall it.
        if records.values().any(|shown| shown.first.1 >= UNKNOWN_AGE_MS) {
            return self.give_up(call, view);
        }
        let oldest = records.values().max_by_key(|shown| shown.first.1);
        let since = looking.since;
        let before = oldest.map(|shown| {
            // The replica reckoned it after it was asked: it can only have been later.
            let at = Timestamp(since.0.saturating_sub(shown.first.1 * 1_000_000));
            PriorAttempt {
                host: shown.first.0,
                at: if is_injected(InjectedFault::WindowAnew) { now } else { at },
            }
        });
        let over = records.into_values().map(|shown| (shown.id, shown.no)).collect();
        (mine.over, mine.before, mine.looking) = (over, before, None);
        vec![Action::Admit(call, before)]
    }

    pub(crate) fn tick(&mut self, now: Timestamp, view: &View) -> Vec<Action> {
        let (mut actions, mut again, mut give_up) = (Vec::new(), Vec::new(), Vec::new());
        let mut silent = Vec::new();
        for (call, mine) in &mut self.calls {
            if let Some(asking) = &mut mine.asking {
                let late = now.ms_since(asking.since) > SEND_WINDOW_MS || now >= asking.latest;
                if late && !is_injected(InjectedFault::LateSend) {
                    mine.asking = None;
                    actions.push(Action::NotReplicated(*call));
                } else if now.ms_since(asking.said) >= AGAIN_MS {
                    asking.said = now;
                    let of = |replica: &&UnitName| !asking.verdicts.contains_key(*replica);
                    let messages = asking.replicas.iter().filter(of);
                    actions.extend(messages.map(|replica| {
                        Action::Send(replica.clone(), ReplicaMessage::StoreIntent(asking.intent.clone()))
                    }));
                }
            }
            let Some(looking) = &mut mine.looking else { continue };
            if now >= mine.limit {
                give_up.push(*call);
            } else if looking.again.is_some_and(|at| now >= at) {
                again.push(*call);
            } else if looking.again.is_none() && now.ms_since(looking.said) >= AGAIN_MS {
                looking.said = now;
                silent.push(*call);
            }
        }
        for call in silent {
            actions.extend(self.say_look(call, view));
        }
        for call in again {
            actions.extend(self.look(now, call, view));
        }
        for call in give_up {
            actions.extend(self.give_up(call, view));
        }
        actions
    }
}
