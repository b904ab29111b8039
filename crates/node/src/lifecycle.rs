//! The phases of a node process, from its start to its exit.

use glendeck::domain::Time;

#[cfg(doc)]
use crate::service::Service;

/// The phase of the process. A drain is a state of the whole node, see [`Service::drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The node listens, but is not ready to serve yet: it knows no ready host, or still waits for the
    /// endpoint list or the fleet.
    Starting,
    /// The node accepts and serves clients.
    Serving,
    /// The successor accepts new clients; this process serves its remaining ones until it is told to exit.
    Replaced,
    /// The node was told to exit and migrates its clients until `until`.
    Leaving {
        /// When the remaining calls are ended.
        until: Time,
    },
    /// All calls have been answered and the last bytes are being sent.
    Flushing,
    /// The process exits.
    Left,
}
