//! What a node's clients come back to: where its groups have connections, and which clients are heavy. Two others keep it,
//! and tell all nodes when it is gone, before any verdict: clients are back within a second. Source: `docs/takeover.md`.
//!
//! These are hints. Nothing that must not be done twice rests on them, so they are neither agreed nor fenced, a false
//! alarm costs nothing, and whatever is lost on the way is only not known.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use serde::{Deserialize, Serialize};

use crate::fault_injection::{InjectedFault, is_injected};
use crate::{View, WorkId, name_number};

/// Of the three replicas that a node's name draws, so many keep for it: hints need no majority, and one may be lost.
const REPLICAS_PER_NODE: usize = 2;

/// Whoever has nothing new to say shows so often that its replicas are in step. A replica that missed its last word does not
/// know it before.
const SAY_ANYWAY_MS: u64 = 5_000;

/// A node without a link for so long is taken for gone. Told after 0.3 s it was worth 1.1 points of service in the 10 s
/// after a kill, after the verdict's 5 s next to nothing (simulated, `tests/lost_node.rs`); a link that was only
/// reset is back within 0.15 s.
const GONE_MS: u64 = 300;

/// Told later than this it is of no use any more.
const OF_USE_MS: u64 = 2_000;

/// Danger: when many are lost at once a replica would say each of them to everybody in one turn.
const MOST_A_TICK: usize = 64;

/// What one node may have kept: some 24 bytes each at a replica.
pub const MAX_HINTS: usize = 4_096;

/// What a replica has of a node that stays away goes after this, and so does the memory of having heard it.
const FORGET_MS: u64 = 60_000;

/// Told of the same process again within this, a node takes it for the other replica's word, which is at most 2 s in a queue
/// and as much later as the other's link fell silent. Danger: of a node that is lost soon after a false alarm nobody would
/// be told; with 10 s drawn days met that.
const ONCE_MS: u64 = 4_000;

/// One thing that is known, by any numbers that mean the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Hint {
    /// A host has connections of a group.
    Home { group: u64, host: u64 },
    /// What a client's connection asks for is told.
    Load { subject: u64 },
}

/// A load in millionths of work a second, or 1 for a home.
pub type Hints = BTreeMap<Hint, u32>;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarmStateMessage {
    /// A node to its replicas: what has changed since its word of the number `since`, or all there is.
    Update {
        incarnation: Incarnation,
        no: u32,
        since: Option<u32>,
        changes: Vec<(Hint, Option<u32>)>,
        parting: bool,
    },
    /// A replica has missed something, and has to be told all.
    OutOfSync { incarnation: Incarnation },
    /// A replica to everybody: this node has gone.
    NodeGone { of: UnitName, incarnation: Incarnation, hints: Vec<(Hint, u32)> },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WarmStateAction {
    Send(UnitName, WarmStateMessage),
    /// The clients of a node that has gone come to this one and others.
    Adopt(UnitName, Vec<(Hint, u32)>),
}

#[derive(Clone, Debug)]
struct Kept {
    incarnation: Incarnation,
    /// The process before it. Danger: its words may come late.
    before: Option<Incarnation>,
    no: u32,
    hints: Hints,
    /// It had a link then.
    linked: Timestamp,
    parting: bool,
    told: bool,
}

/// One node's part: what it has others keep, what it keeps, and what it has heard.
#[derive(Clone, Debug)]
pub struct WarmStateExchange {
    me: UnitName,
    incarnation: Incarnation,
    said: Hints,
    no: u32,
    said_at: Timestamp,
    parting: bool,
    /// Its replicas, and whether each has been told all there was.
    replicas: BTreeMap<UnitName, bool>,
    kept: BTreeMap<UnitName, Kept>,
    /// To whom which node's is still to be told, since when.
    queue: VecDeque<(Timestamp, UnitName, UnitName)>,
    /// Danger: what is told of a process late, after its next one's end, is still the same word.
    heard: BTreeMap<(UnitName, Incarnation), Timestamp>,
}

/// Who keeps for a node: the same at all who know the same seats.
pub fn replicas_of(view: &View, of: &UnitName) -> Vec<UnitName> {
    let mut replicas = view.replicas(WorkId(name_number(of)));
    replicas.retain(|replica| replica != of);
    replicas.truncate(REPLICAS_PER_NODE);
    replicas
}

fn listed(hints: &Hints) -> Vec<(Hint, u32)> {
    hints.iter().map(|(known, of)| (*known, *of)).collect()
}

impl WarmStateExchange {
    pub fn new(now: Timestamp, me: UnitName, incarnation: Incarnation) -> WarmStateExchange {
        WarmStateExchange {
            me,
            incarnation,
            said: Hints::new(),
            no: 0,
            said_at: now,
            parting: false,
            replicas: BTreeMap::new(),
            kept: BTreeMap::new(),
            queue: VecDeque::new(),
            heard: BTreeMap::new(),
        }
    }

    /// What this process keeps for others: nodes, and things known of them.
    pub fn held(&self) -> (usize, usize) {
        (self.kept.len(), self.kept.values().map(|kept| kept.hints.len()).sum())
    }

    /// What it has of a node.
    pub fn kept(&self, of: &UnitName) -> Option<&Hints> {
        self.kept.get(of).map(|kept| &kept.hints)
    }

    /// What this node knows now, once a second, and who has a link to it. `parting`: it sends its clients away as planned.
    pub fn tell(
        &mut self,
        now: Timestamp,
        mut hints: Hints,
        parting: bool,
        view: &View,
        linked: &BTreeSet<UnitName>,
    ) -> Vec<WarmStateAction> {
        while hints.len() > MAX_HINTS {
            hints.pop_last();
        }
        let gone = self.said.keys().filter(|known| !hints.contains_key(known)).map(|known| (*known, None));
        let news = hints.iter().filter(|(known, of)| self.said.get(known) != Some(of));
        let changes: Vec<_> = gone.chain(news.map(|(known, of)| (*known, Some(*of)))).collect();
        let since = self.no;
        let turns = parting != self.parting;
        (self.said, self.parting) = (hints, parting);
        self.no += u32::from(!changes.is_empty());
        let mut replicas = replicas_of(view, &self.me);
        replicas.retain(|replica| linked.contains(replica));
        self.replicas.retain(|replica, _| replicas.contains(replica));
        let anyway = turns || now.ms_since(self.said_at) >= SAY_ANYWAY_MS;
        let speaks = !changes.is_empty() || anyway;
        let mut acts = Vec::new();
        for replica in replicas {
            let in_step = self.replicas.insert(replica.clone(), true).unwrap_or(false);
            let (since, changes) = match in_step {
                true if !speaks => continue,
                true => (Some(since), changes.clone()),
                false => (None, self.said.iter().map(|(known, of)| (*known, Some(*of))).collect()),
            };
            let said = WarmStateMessage::Update {
                incarnation: self.incarnation,
                no: self.no,
                since,
                changes,
                parting,
            };
            acts.push(WarmStateAction::Send(replica, said));
        }
        if speaks {
            self.said_at = now;
        }
        acts
    }

    pub fn heard(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        said: WarmStateMessage,
        view: &View,
    ) -> Vec<WarmStateAction> {
        match said {
            WarmStateMessage::Update { incarnation, no, since, changes, parting } => {
                if self.keep(now, from, (incarnation, no, since), changes, parting) {
                    return vec![];
                }
                vec![WarmStateAction::Send(from.clone(), WarmStateMessage::OutOfSync { incarnation })]
            }
            WarmStateMessage::OutOfSync { incarnation } => {
                if incarnation == self.incarnation && !is_injected(InjectedFault::NeverWhole) {
                    self.replicas.entry(from.clone()).and_modify(|in_step| *in_step = false);
                }
                vec![]
            }
            WarmStateMessage::NodeGone { of, incarnation, hints } => {
                // Whoever holds no seat keeps nothing, and has nothing to tell.
                if of == self.me || !view.voter_slots.contains(from) || !self.is_news(now, &of, incarnation) {
                    return vec![];
                }
                vec![WarmStateAction::Adopt(of, hints)]
            }
        }
    }

    fn is_news(&mut self, now: Timestamp, of: &UnitName, incarnation: Incarnation) -> bool {
        let before = self.heard.get(&(of.clone(), incarnation));
        let twice =
            before.is_some_and(|at| now.ms_since(*at) < ONCE_MS) && !is_injected(InjectedFault::ToldTwice);
        if !twice {
            self.heard.insert((of.clone(), incarnation), now);
        }
        !twice
    }

    /// Whether it could be followed.
    fn keep(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        (incarnation, no, since): (Incarnation, u32, Option<u32>),
        changes: Vec<(Hint, Option<u32>)>,
        parting: bool,
    ) -> bool {
        let of = self.kept.get(from);
        if of.is_some_and(|kept| kept.before == Some(incarnation)) {
            return true;
        }
        let before =
            of.and_then(
                |kept| if kept.incarnation == incarnation { kept.before } else { Some(kept.incarnation) },
            );
        let known = of
            .filter(|kept| kept.incarnation == incarnation || is_injected(InjectedFault::IncarnationsMixed));
        // Danger: a word that comes twice or late would undo what came after it.
        if known.is_some_and(|kept| no < kept.no) && !is_injected(InjectedFault::LateCounts) {
            return true;
        }
        let follows = |kept: &&Kept| since == Some(kept.no) || is_injected(InjectedFault::AnySince);
        let mut hints = match (since, known.filter(follows)) {
            (None, _) => Hints::new(),
            (_, Some(kept)) => kept.hints.clone(),
            // Said again what is here already.
            (Some(_), None) => return known.is_some_and(|kept| kept.no == no),
        };
        for (known, of) in changes {
            let _ = match of {
                Some(of) => hints.insert(known, of),
                None => hints.remove(&known),
            };
        }
        if hints.len() > MAX_HINTS {
            self.kept.remove(from);
            return true;
        }
        let told = parting && self.kept.get(from).is_some_and(|kept| kept.parting && kept.told);
        self.kept.insert(from.clone(), Kept { incarnation, before, no, hints, linked: now, parting, told });
        true
    }

    /// To be told ten times a second: who has a link to this node now.
    pub fn tick(&mut self, now: Timestamp, linked: &BTreeSet<UnitName>) -> Vec<WarmStateAction> {
        let has_link = |of: &UnitName| linked.contains(of);
        let mut acts = Vec::new();
        let stays =
            |kept: &Kept| now.ms_since(kept.linked) < FORGET_MS || is_injected(InjectedFault::KeptForever);
        self.kept.retain(|_, kept| stays(kept));
        self.heard.retain(|_, at| now.ms_since(*at) < FORGET_MS);
        let mut gone: Vec<(UnitName, Incarnation)> = Vec::new();
        for (of, kept) in &mut self.kept {
            if has_link(of) {
                kept.linked = now;
                kept.told &= kept.parting;
            }
            let is_gone = kept.parting || now.ms_since(kept.linked) >= GONE_MS;
            if is_gone && !std::mem::replace(&mut kept.told, true) && !kept.hints.is_empty() {
                gone.push((of.clone(), kept.incarnation));
            }
        }
        for (of, incarnation) in gone {
            let others = linked.iter().filter(|to| **to != of);
            self.queue.extend(others.map(|to| (now, to.clone(), of.clone())));
            if self.is_news(now, &of, incarnation)
                && let Some(kept) = self.kept.get(&of)
            {
                acts.push(WarmStateAction::Adopt(of, listed(&kept.hints)));
            }
        }
        for _ in 0..MOST_A_TICK {
            let Some((since, to, of)) = self.queue.pop_front() else { break };
            let Some(kept) = self.kept.get(&of) else { continue };
            let back = has_link(&of) && !kept.parting;
            if back || now.ms_since(since) >= OF_USE_MS {
                continue;
            }
            acts.push(WarmStateAction::Send(
                to,
                WarmStateMessage::NodeGone { of, incarnation: kept.incarnation, hints: listed(&kept.hints) },
            ));
        }
        acts
    }
}
