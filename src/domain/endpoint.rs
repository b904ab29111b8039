//! Entries and updates of the endpoint list.

use super::{Cell, HostId, Kind, Time, Zone};

/// One host of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of the host.
    pub host: HostId,
    /// Its zone.
    pub zone: Zone,
    /// Its cell, for keyed calls whose repeats are recognised only within one cell.
    pub cell: Cell,
    /// Whether it may receive new connections.
    pub condition: Condition,
    /// Its weight in the list, by which hosts are compared.
    pub weight: Weight,
    /// Its kind of machine, which determines its nominal size; `None` if the list does not name it.
    pub kind: Option<Kind>,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Time>,
}

/// Whether a host may receive new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It may receive new connections.
    Ready,
    /// It may not receive new connections; open ones continue.
    Draining,
    /// It is no longer in the list.
    Gone,
}

/// Number in the endpoint list by which hosts are compared; [`WeightKind`] defines its meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Weight(pub f64);

/// Capacity of a warm and empty host, relative to other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Size(pub f64);

/// What the weights of the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightKind {
    /// Weights are sizes, or the list has no weights that differ between hosts.
    #[default]
    Sizes,
    /// Each weight is the host's size divided by one plus its connections per core, reported with a delay.
    Live,
}

/// Whether an update of the list names all hosts or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as last seen; it may be stale.
    Cached,
    /// The whole list.
    Complete,
    /// Only the hosts that changed.
    Delta,
}
