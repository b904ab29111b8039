//! Warm state: hints that help the other nodes to place the clients of a lost node when they reconnect. They
//! tell which hosts have connections of which groups, and which clients have a high load. Two other nodes
//! store the hints and send them to all linked nodes when the node is gone. They do not wait until it is
//! declared lost, since clients reconnect within a second. Design: `docs/takeover.md`.
//!
//! Nothing that must not be done twice depends on hints. They therefore need neither consensus nor fencing, a
//! false alarm does no harm, and a hint that is lost on the way is merely unknown.

mod hint_store;
mod message;
mod notices;
mod placement;
mod publisher;

use std::collections::BTreeSet;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;

use crate::fault_injection::{InjectedFault, is_injected};
use crate::view::View;
use hint_store::{HintStore, ProcessId};
use notices::Notices;
use publisher::Publisher;

pub use message::{Hint, HintChange, HintUpdate, HintValue, Hints, WarmStateAction, WarmStateMessage};
pub use placement::{MAX_HINTS, replicas_of};

/// A node's own hints, the hints that it stores for other nodes, and the notices that nodes are gone.
#[derive(Clone, Debug)]
pub struct WarmStateExchange {
    me: UnitName,
    publisher: Publisher,
    store: HintStore,
    notices: Notices,
}

impl WarmStateExchange {
    /// Creates the exchange of a node that has published and stored nothing.
    pub fn new(now: Timestamp, me: UnitName, incarnation: Incarnation) -> WarmStateExchange {
        WarmStateExchange {
            publisher: Publisher::new(now, me.clone(), incarnation),
            me,
            store: HintStore::default(),
            notices: Notices::default(),
        }
    }

    /// The number of nodes that this one stores hints for.
    pub fn node_count(&self) -> usize {
        self.store.node_count()
    }

    /// The number of hints that this node stores for others.
    pub fn hint_count(&self) -> usize {
        self.store.hint_count()
    }

    /// The hints that are stored for a node.
    pub fn stored_hints(&self, node: &UnitName) -> Option<&Hints> {
        self.store.get(node).map(|stored| &stored.hints)
    }

    /// Reports this node's hints, once a second, and the nodes that it has a link to. `is_draining` means
    /// that it is sending its clients away before a planned end.
    pub fn publish(
        &mut self,
        now: Timestamp,
        hints: Hints,
        is_draining: bool,
        view: &View,
        linked: &BTreeSet<UnitName>,
    ) -> Vec<WarmStateAction> {
        self.publisher.publish(now, hints, is_draining, view, linked)
    }

    /// Reports a message from another node.
    pub fn message_received(
        &mut self,
        now: Timestamp,
        from: &UnitName,
        message: WarmStateMessage,
        view: &View,
    ) -> Vec<WarmStateAction> {
        match message {
            WarmStateMessage::Update(update) => {
                let incarnation = update.incarnation;
                if self.store.apply(now, from, update) {
                    return vec![];
                }
                vec![WarmStateAction::Send(from.clone(), WarmStateMessage::OutOfSync { incarnation })]
            }
            WarmStateMessage::OutOfSync { incarnation } => {
                let is_current = incarnation == self.publisher.incarnation();
                if is_current && !is_injected(InjectedFault::NeverResynchronized) {
                    self.publisher.resynchronize(from);
                }
                vec![]
            }
            WarmStateMessage::NodeGone { node, incarnation, hints } => {
                // A node without a voter slot stores no hints, so it has none to announce.
                if node == self.me || !view.voter_slots.contains(from) {
                    return vec![];
                }
                let process = ProcessId { node: node.clone(), incarnation };
                if !self.notices.receive(now, process) {
                    return vec![];
                }
                vec![WarmStateAction::Adopt { node, hints }]
            }
        }
    }

    /// Handles expiry, detects nodes that are gone and sends notices. `linked` are the nodes that this one
    /// has a link to. Has to be called ten times a second.
    pub fn tick(&mut self, now: Timestamp, linked: &BTreeSet<UnitName>) -> Vec<WarmStateAction> {
        self.store.expire(now);
        self.notices.expire(now);
        let mut actions = Vec::new();
        for process in self.store.take_gone(now, linked) {
            let node = process.node.clone();
            self.notices.enqueue(now, &node, linked);
            let is_new = self.notices.receive(now, process);
            let stored = self.store.get(&node).filter(|_| is_new);
            if let Some(stored) = stored {
                let hints = message::hint_values(&stored.hints);
                actions.push(WarmStateAction::Adopt { node, hints });
            }
        }
        actions.extend(self.notices.take_due(now, &self.store, linked));
        actions
    }
}
