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
use crate::{View, Work, name_number};

/// Of the three keepers that a node's name draws, so many keep for it: hints need no majority, and one may be lost.
const KEEPERS_OF_ONE: usize = 2;

/// Whoever has nothing new to say shows so often that its keepers are in step. A keeper that missed its last word does not
/// know it before.
const SAY_ANYWAY_MS: u64 = 5_000;

/// A node without a link for so long is taken for gone. Told after 0.3 s it was worth 1.1 points of service in the 10 s
/// after a kill, after the verdict's 5 s next to nothing (simulated, `tests/lost_node.rs`); a link that was only
/// reset is back within 0.15 s.
const GONE_MS: u64 = 300;

/// Told later than this it is of no use any more.
const OF_USE_MS: u64 = 2_000;

/// Danger: when many are lost at once a keeper would say each of them to everybody in one turn.
const MOST_A_TICK: usize = 64;

/// What one node may have kept: some 24 bytes each at a keeper.
pub const MOST: usize = 4_096;

/// What a keeper has of a node that stays away goes after this, and so does the memory of having heard it.
const FORGET_MS: u64 = 60_000;

/// Told of the same process again within this, a node takes it for the other keeper's word, which is at most 2 s in a queue
/// and as much later as the other's link fell silent. Danger: of a node that is lost soon after a false alarm nobody would
/// be told; with 10 s drawn days met that.
const ONCE_MS: u64 = 4_000;

/// One thing that is known, by any numbers that mean the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Known {
    /// A host has connections of a group.
    Home { group: u64, host: u64 },
    /// What a client's connection asks for is told.
    Load { subject: u64 },
}

/// A load in millionths of work a second, or 1 for a home.
pub type Facts = BTreeMap<Known, u32>;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// A node to its keepers: what has changed since its word of the number `since`, or all there is.
    Tell {
        incarnation: Incarnation,
        no: u32,
        since: Option<u32>,
        changes: Vec<(Known, Option<u32>)>,
        parting: bool,
    },
    /// A keeper has missed something, and has to be told all.
    Behind { incarnation: Incarnation },
    /// A keeper to everybody: this node has gone.
    Gone { of: UnitName, incarnation: Incarnation, facts: Vec<(Known, u32)> },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    Say(UnitName, Said),
    /// The clients of a node that has gone come to this one and others.
    Expect(UnitName, Vec<(Known, u32)>),
}

#[derive(Clone, Debug)]
struct Kept {
    incarnation: Incarnation,
    /// The process before it. Danger: its words may come late.
    before: Option<Incarnation>,
    no: u32,
    facts: Facts,
    /// It had a link then.
    linked: Timestamp,
    parting: bool,
    told: bool,
}

/// One node's part: what it has others keep, what it keeps, and what it has heard.
#[derive(Clone, Debug)]
pub struct Estates {
    me: UnitName,
    incarnation: Incarnation,
    said: Facts,
    no: u32,
    said_at: Timestamp,
    parting: bool,
    /// Its keepers, and whether each has been told all there was.
    keepers: BTreeMap<UnitName, bool>,
    kept: BTreeMap<UnitName, Kept>,
    /// To whom which node's is still to be told, since when.
    queue: VecDeque<(Timestamp, UnitName, UnitName)>,
    /// Danger: what is told of a process late, after its next one's end, is still the same word.
    heard: BTreeMap<(UnitName, Incarnation), Timestamp>,
}

/// Who keeps for a node: the same at all who know the same seats.
pub fn keepers_of(view: &View, of: &UnitName) -> Vec<UnitName> {
    let mut keepers = view.keepers(Work(name_number(of)));
    keepers.retain(|keeper| keeper != of);
    keepers.truncate(KEEPERS_OF_ONE);
    keepers
}

fn listed(facts: &Facts) -> Vec<(Known, u32)> {
    facts.iter().map(|(known, of)| (*known, *of)).collect()
}

impl Estates {
    pub fn new(now: Timestamp, me: UnitName, incarnation: Incarnation) -> Estates {
        Estates {
            me,
            incarnation,
            said: Facts::new(),
            no: 0,
            said_at: now,
            parting: false,
            keepers: BTreeMap::new(),
            kept: BTreeMap::new(),
            queue: VecDeque::new(),
            heard: BTreeMap::new(),
        }
    }

    /// What this process keeps for others: nodes, and things known of them.
    pub fn held(&self) -> (usize, usize) {
        (self.kept.len(), self.kept.values().map(|kept| kept.facts.len()).sum())
    }

    /// What it has of a node.
    pub fn kept(&self, of: &UnitName) -> Option<&Facts> {
        self.kept.get(of).map(|kept| &kept.facts)
    }

    /// What this node knows now, once a second, and who has a link to it. `parting`: it sends its clients away as planned.
    pub fn tell(
        &mut self,
        now: Timestamp,
        mut facts: Facts,
        parting: bool,
        view: &View,
        linked: &BTreeSet<UnitName>,
    ) -> Vec<Do> {
        while facts.len() > MOST {
            facts.pop_last();
        }
        let gone = self.said.keys().filter(|known| !facts.contains_key(known)).map(|known| (*known, None));
        let news = facts.iter().filter(|(known, of)| self.said.get(known) != Some(of));
        let changes: Vec<_> = gone.chain(news.map(|(known, of)| (*known, Some(*of)))).collect();
        let since = self.no;
        let turns = parting != self.parting;
        (self.said, self.parting) = (facts, parting);
        self.no += u32::from(!changes.is_empty());
        let mut keepers = keepers_of(view, &self.me);
        keepers.retain(|keeper| linked.contains(keeper));
        self.keepers.retain(|keeper, _| keepers.contains(keeper));
        let anyway = turns || now.ms_since(self.said_at) >= SAY_ANYWAY_MS;
        let speaks = !changes.is_empty() || anyway;
        let mut acts = Vec::new();
        for keeper in keepers {
            let in_step = self.keepers.insert(keeper.clone(), true).unwrap_or(false);
            let (since, changes) = match in_step {
                true if !speaks => continue,
                true => (Some(since), changes.clone()),
                false => (None, self.said.iter().map(|(known, of)| (*known, Some(*of))).collect()),
            };
            let said = Said::Tell { incarnation: self.incarnation, no: self.no, since, changes, parting };
            acts.push(Do::Say(keeper, said));
        }
        if speaks {
            self.said_at = now;
        }
        acts
    }

    pub fn heard(&mut self, now: Timestamp, from: &UnitName, said: Said, view: &View) -> Vec<Do> {
        match said {
            Said::Tell { incarnation, no, since, changes, parting } => {
                if self.keep(now, from, (incarnation, no, since), changes, parting) {
                    return vec![];
                }
                vec![Do::Say(from.clone(), Said::Behind { incarnation })]
            }
            Said::Behind { incarnation } => {
                if incarnation == self.incarnation && !is_injected(InjectedFault::NeverWhole) {
                    self.keepers.entry(from.clone()).and_modify(|in_step| *in_step = false);
                }
                vec![]
            }
            Said::Gone { of, incarnation, facts } => {
                // Whoever holds no seat keeps nothing, and has nothing to tell.
                if of == self.me || !view.voter_slots.contains(from) || !self.is_news(now, &of, incarnation) {
                    return vec![];
                }
                vec![Do::Expect(of, facts)]
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
        changes: Vec<(Known, Option<u32>)>,
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
        let mut facts = match (since, known.filter(follows)) {
            (None, _) => Facts::new(),
            (_, Some(kept)) => kept.facts.clone(),
            // Said again what is here already.
            (Some(_), None) => return known.is_some_and(|kept| kept.no == no),
        };
        for (known, of) in changes {
            let _ = match of {
                Some(of) => facts.insert(known, of),
                None => facts.remove(&known),
            };
        }
        if facts.len() > MOST {
            self.kept.remove(from);
            return true;
        }
        let told = parting && self.kept.get(from).is_some_and(|kept| kept.parting && kept.told);
        self.kept.insert(from.clone(), Kept { incarnation, before, no, facts, linked: now, parting, told });
        true
    }

    /// To be told ten times a second: who has a link to this node now.
    pub fn tick(&mut self, now: Timestamp, linked: &BTreeSet<UnitName>) -> Vec<Do> {
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
            if is_gone && !std::mem::replace(&mut kept.told, true) && !kept.facts.is_empty() {
                gone.push((of.clone(), kept.incarnation));
            }
        }
        for (of, incarnation) in gone {
            let others = linked.iter().filter(|to| **to != of);
            self.queue.extend(others.map(|to| (now, to.clone(), of.clone())));
            if self.is_news(now, &of, incarnation)
                && let Some(kept) = self.kept.get(&of)
            {
                acts.push(Do::Expect(of, listed(&kept.facts)));
            }
        }
        for _ in 0..MOST_A_TICK {
            let Some((since, to, of)) = self.queue.pop_front() else { break };
            let Some(kept) = self.kept.get(&of) else { continue };
            let back = has_link(&of) && !kept.parting;
            if back || now.ms_since(since) >= OF_USE_MS {
                continue;
            }
            acts.push(Do::Say(
                to,
                Said::Gone { of, incarnation: kept.incarnation, facts: listed(&kept.facts) },
            ));
        }
        acts
    }
}
