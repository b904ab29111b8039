//! The phases of a node's process, from its start to its exit.

use glendeck::domain::Time;

/// From start to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It listens, but knows no host yet.
    Starting,
    Serving,
    /// Operators want it empty: it takes what the front still sends and sends clients away, but stays.
    Draining {
        since: Time,
    },
    /// The next process takes the clients; it serves those that it has, and waits for its end.
    Replaced,
    /// It was told to end: clients are sent away until then.
    Leaving {
        until: Time,
    },
    /// All has been answered: what was said still goes out.
    Flushing,
    Left,
}
