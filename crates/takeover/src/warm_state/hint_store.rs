//! The hints that a node stores for others, and which of those nodes are gone.

use std::collections::{BTreeMap, BTreeSet};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;

use crate::fault_injection::{InjectedFault, is_injected};

use super::message::{HintChange, HintUpdate, Hints};
use super::placement::{EXPIRY_MS, MAX_HINTS};

/// A node that has had no link for this long counts as gone. A link that was only reset is back before that,
/// and the notice is still early enough to be useful (`docs/takeover.md`).
const GONE_AFTER_MS: u64 = 300;

/// What is stored for one node.
#[derive(Clone, Debug)]
pub(super) struct StoredHints {
    pub(super) incarnation: Incarnation,
    /// The node's previous process, whose updates may still arrive late.
    previous_incarnation: Option<Incarnation>,
    sequence: u32,
    pub(super) hints: Hints,
    /// When the node last had a link to this one.
    linked_at: Timestamp,
    pub(super) is_draining: bool,
    /// Whether the node was announced as gone or draining.
    is_announced: bool,
}

/// A process of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessId {
    pub(super) node: UnitName,
    pub(super) incarnation: Incarnation,
}

/// The hints of other nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct HintStore {
    by_node: BTreeMap<UnitName, StoredHints>,
}

impl HintStore {
    pub(super) fn get(&self, node: &UnitName) -> Option<&StoredHints> {
        self.by_node.get(node)
    }

    pub(super) fn node_count(&self) -> usize {
        self.by_node.len()
    }

    pub(super) fn hint_count(&self) -> usize {
        self.by_node.values().map(|stored| stored.hints.len()).sum()
    }

    /// Applies an update, and returns whether the store is in sync with the sender afterwards.
    pub(super) fn apply(&mut self, now: Timestamp, from: &UnitName, update: HintUpdate) -> bool {
        let stored = self.by_node.get(from);
        let is_from_previous_process =
            stored.is_some_and(|stored| stored.previous_incarnation == Some(update.incarnation));
        if is_from_previous_process {
            return true;
        }
        let is_same_process = |stored: &&StoredHints| {
            stored.incarnation == update.incarnation || is_injected(InjectedFault::IncarnationsMixed)
        };
        let same_process = stored.filter(is_same_process);
        // A duplicate or late update would overwrite newer hints.
        let is_stale = same_process.is_some_and(|stored| update.sequence < stored.sequence);
        if is_stale && !is_injected(InjectedFault::StaleUpdateAccepted) {
            return true;
        }
        let Some(mut hints) = base_hints(same_process, update.base) else {
            // A repetition of the last update changes nothing.
            return same_process.is_some_and(|stored| stored.sequence == update.sequence);
        };
        apply_changes(&mut hints, &update.changes);
        if hints.len() > MAX_HINTS {
            self.by_node.remove(from);
            return true;
        }
        let updated = StoredHints::after(now, stored, &update, hints);
        self.by_node.insert(from.clone(), updated);
        true
    }

    /// Removes the hints of nodes that have not come back.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.by_node.retain(|_, stored| {
            now.ms_since(stored.linked_at) < EXPIRY_MS || is_injected(InjectedFault::HintsNeverExpire)
        });
    }

    /// Returns the processes that are gone or draining, have hints and are not yet announced. Marks all gone
    /// or draining processes as announced.
    pub(super) fn take_gone(&mut self, now: Timestamp, linked: &BTreeSet<UnitName>) -> Vec<ProcessId> {
        let mut gone = Vec::new();
        for (node, stored) in &mut self.by_node {
            if linked.contains(node) {
                stored.linked_at = now;
                stored.is_announced &= stored.is_draining;
            }
            let is_gone = stored.is_draining || now.ms_since(stored.linked_at) >= GONE_AFTER_MS;
            if !is_gone {
                continue;
            }
            let was_announced = std::mem::replace(&mut stored.is_announced, true);
            if !was_announced && !stored.hints.is_empty() {
                gone.push(ProcessId { node: node.clone(), incarnation: stored.incarnation });
            }
        }
        gone
    }
}

impl StoredHints {
    /// The state to store after an update that results in these hints.
    fn after(
        now: Timestamp,
        previous: Option<&StoredHints>,
        update: &HintUpdate,
        hints: Hints,
    ) -> StoredHints {
        let was_announced = previous.is_some_and(|previous| previous.is_draining && previous.is_announced);
        StoredHints {
            incarnation: update.incarnation,
            previous_incarnation: previous
                .and_then(|previous| previous.process_preceding(update.incarnation)),
            sequence: update.sequence,
            hints,
            linked_at: now,
            is_draining: update.is_draining,
            is_announced: update.is_draining && was_announced,
        }
    }

    /// The process that preceded `incarnation`, whose update has arrived.
    fn process_preceding(&self, incarnation: Incarnation) -> Option<Incarnation> {
        if self.incarnation == incarnation { self.previous_incarnation } else { Some(self.incarnation) }
    }
}

/// The hints that an update's changes apply to; `None` if they are not stored here.
fn base_hints(stored: Option<&StoredHints>, base: Option<u32>) -> Option<Hints> {
    if base.is_none() {
        return Some(Hints::new());
    }
    let is_base =
        |stored: &&StoredHints| base == Some(stored.sequence) || is_injected(InjectedFault::AnyBaseAccepted);
    stored.filter(is_base).map(|stored| stored.hints.clone())
}

fn apply_changes(hints: &mut Hints, changes: &[HintChange]) {
    for change in changes {
        match change.value {
            Some(value) => hints.insert(change.hint, value),
            None => hints.remove(&change.hint),
        };
    }
}
