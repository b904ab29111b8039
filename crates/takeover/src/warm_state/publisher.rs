//! A node's own hints, and which replicas have been sent all of them.

use std::collections::{BTreeMap, BTreeSet};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;

use crate::view::View;

use super::message::{HintChange, HintUpdate, Hints, WarmStateAction, WarmStateMessage};
use super::placement::{MAX_HINTS, replicas_of};

/// How often a node whose hints do not change sends an empty update. A replica that missed the last update
/// notices it only then.
const KEEPALIVE_MS: u64 = 5_000;

/// Sends a node's hints to its replicas.
#[derive(Clone, Debug)]
pub(super) struct Publisher {
    me: UnitName,
    incarnation: Incarnation,
    /// The hints as last published.
    hints: Hints,
    sequence: u32,
    published_at: Timestamp,
    is_draining: bool,
    /// Whether each linked replica, as far as is known, has the hints as last published.
    is_in_sync: BTreeMap<UnitName, bool>,
}

impl Publisher {
    pub(super) fn new(now: Timestamp, me: UnitName, incarnation: Incarnation) -> Publisher {
        Publisher {
            me,
            incarnation,
            hints: Hints::new(),
            sequence: 0,
            published_at: now,
            is_draining: false,
            is_in_sync: BTreeMap::new(),
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(super) fn publish(
        &mut self,
        now: Timestamp,
        mut hints: Hints,
        is_draining: bool,
        view: &View,
        linked: &BTreeSet<UnitName>,
    ) -> Vec<WarmStateAction> {
        while hints.len() > MAX_HINTS {
            hints.pop_last();
        }
        let changes = self.changes_to(&hints);
        let is_keepalive_due = now.ms_since(self.published_at) >= KEEPALIVE_MS;
        let is_update_due = !changes.is_empty() || is_draining != self.is_draining || is_keepalive_due;
        let base = self.sequence;
        self.hints = hints;
        self.is_draining = is_draining;
        if !changes.is_empty() {
            self.sequence += 1;
        }
        if is_update_due {
            self.published_at = now;
        }
        let mut actions = Vec::new();
        for replica in self.linked_replicas(view, linked) {
            let is_in_sync = self.is_in_sync.insert(replica.clone(), true).unwrap_or(false);
            let update = match (is_in_sync, is_update_due) {
                (true, false) => continue,
                (true, true) => self.update(Some(base), changes.clone()),
                (false, _) => self.update(None, self.all_hints()),
            };
            actions.push(WarmStateAction::Send(replica, WarmStateMessage::Update(update)));
        }
        actions
    }

    /// Makes the next update for this replica contain all hints.
    pub(super) fn resynchronize(&mut self, replica: &UnitName) {
        if let Some(is_in_sync) = self.is_in_sync.get_mut(replica) {
            *is_in_sync = false;
        }
    }

    /// The replicas that this node has a link to. All others are forgotten, so that they are sent all hints
    /// when their link is back.
    fn linked_replicas(&mut self, view: &View, linked: &BTreeSet<UnitName>) -> Vec<UnitName> {
        let mut replicas = replicas_of(view, &self.me);
        replicas.retain(|replica| linked.contains(replica));
        self.is_in_sync.retain(|replica, _| replicas.contains(replica));
        replicas
    }

    fn changes_to(&self, hints: &Hints) -> Vec<HintChange> {
        let removed = self.hints.keys().filter(|hint| !hints.contains_key(hint));
        let removed = removed.map(|hint| HintChange { hint: *hint, value: None });
        let changed = hints.iter().filter(|(hint, value)| self.hints.get(hint) != Some(value));
        let changed = changed.map(|(hint, value)| HintChange { hint: *hint, value: Some(*value) });
        removed.chain(changed).collect()
    }

    fn all_hints(&self) -> Vec<HintChange> {
        self.hints.iter().map(|(hint, value)| HintChange { hint: *hint, value: Some(*value) }).collect()
    }

    fn update(&self, base: Option<u32>, changes: Vec<HintChange>) -> HintUpdate {
        HintUpdate {
            incarnation: self.incarnation,
            sequence: self.sequence,
            base,
            changes,
            is_draining: self.is_draining,
        }
    }
}
