//! Hosts as the endpoint list names them.

use super::{Cell, HostId, Kind, Time, Zone};

/// One host of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of the host.
    pub host: HostId,
    /// Its zone.
    pub zone: Zone,
    /// Its cell, for calls whose repeats only hosts of one cell recognise.
    pub cell: Cell,
    /// Whether it may get new connections.
    pub condition: Condition,
    /// What the list gives to compare hosts by.
    pub weight: Weight,
    /// Hosts of one kind are of one nominal size; `None` where the list names none.
    pub kind: Option<Kind>,
    /// When it last started; `None` is long ago.
    pub started_at: Option<Time>,
}

/// Whether a host may get new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It may.
    Ready,
    /// It may not; its open connections go on.
    Draining,
    /// It left the list.
    Gone,
}

/// What the list gives to compare hosts by; [`WeightKind`] says what it stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Weight(pub f64);

/// How much a host can do when warm and empty, beside other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Size(pub f64);

/// What the list's weights stand for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightKind {
    /// Sizes, or nothing to tell hosts apart by.
    #[default]
    Sizes,
    /// Sizes, each divided by one and the connections that the host has a core; late.
    Live,
}

/// Whether a list names all hosts or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as last seen, maybe stale.
    Cached,
    /// The whole list.
    Complete,
    /// Only hosts that changed.
    Delta,
}
