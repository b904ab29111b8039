//! Hints, and the messages that carry them.
//!
//! They are encoded with `postcard`, which is positional: the order of fields and of variants is part of the
//! wire format.

use std::collections::BTreeMap;

use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use serde::{Deserialize, Serialize};

/// A hint without its value. Its numbers mean the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Hint {
    /// A host has connections of a group.
    GroupOnHost {
        /// The group.
        group: u64,
        /// The host.
        host: u64,
    },
    /// The load of a client's connection is known.
    Load {
        /// The subject of the connection.
        subject: u64,
    },
}

/// The value of each hint: a load in microseconds of work per second, or 1 for [`Hint::GroupOnHost`].
pub type Hints = BTreeMap<Hint, u32>;

/// A hint with its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HintValue {
    /// What the value belongs to.
    pub hint: Hint,
    /// Its value, as in [`Hints`].
    pub value: u32,
}

/// A change of one hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HintChange {
    /// The hint that has changed.
    pub hint: Hint,
    /// Its new value, as in [`Hints`]; `None` if the hint was removed.
    pub value: Option<u32>,
}

/// What a node sends its replicas: the changes of its hints, or all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HintUpdate {
    /// The process that sends it.
    pub incarnation: Incarnation,
    /// Counts the changes of the process's hints.
    pub sequence: u32,
    /// The sequence number that the changes are based on; `None` if they contain all hints of the process.
    pub base: Option<u32>,
    /// The changed hints.
    pub changes: Vec<HintChange>,
    /// Whether the node is sending its clients away before a planned end.
    pub is_draining: bool,
}

/// What nodes send each other about hints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarmStateMessage {
    /// Node to replica: its hints.
    Update(HintUpdate),
    /// Replica to node: an update is missing, send all hints.
    OutOfSync {
        /// The process whose update is missing.
        incarnation: Incarnation,
    },
    /// Replica to all nodes: a node is gone.
    NodeGone {
        /// The node that is gone.
        node: UnitName,
        /// The process of it that is gone.
        incarnation: Incarnation,
        /// Its hints.
        hints: Vec<HintValue>,
    },
}

/// What the node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WarmStateAction {
    /// Send this message to this node.
    Send(UnitName, WarmStateMessage),
    /// Use the hints of a node that is gone, as its clients reconnect to this node and others.
    Adopt {
        /// The node that is gone.
        node: UnitName,
        /// Its hints.
        hints: Vec<HintValue>,
    },
}

/// The hints in the form that messages carry, in order.
pub(super) fn hint_values(hints: &Hints) -> Vec<HintValue> {
    hints.iter().map(|(hint, value)| HintValue { hint: *hint, value: *value }).collect()
}
