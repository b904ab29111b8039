//! The phases of a node's process, from its start to its exit.

use glendeck::domain::Time;

/// How far the process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It listens, but knows no host yet.
    Starting,
    /// It takes clients.
    Serving,
    /// Operators want it empty: it serves what the front still sends and migrates its clients, but stays.
    Draining {
        /// When it was told to drain.
        since: Time,
    },
    /// Its successor takes the clients; it serves those that it has until it is told to end.
    Replaced,
    /// It was told to end: clients are migrated until then.
    Leaving {
        /// When it ends what is left.
        until: Time,
    },
    /// All calls have been answered and the last bytes are sent.
    Flushing,
    /// It exits.
    Left,
}
