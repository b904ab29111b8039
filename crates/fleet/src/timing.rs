//! Heartbeat interval and the timeouts derived from it.

/// Interval, in ms, at which a node sends each voter a heartbeat.
pub(crate) const HEARTBEAT_MS: u64 = 1_000;

/// Time, in ms, after which a unit that no voter has heard is lost: five heartbeats.
pub(crate) const LOST_MS: u64 = 5_000;

/// Time, in ms, for which a unit counts as alive after it was last known to be alive. A heartbeat proves that
/// its sender was alive when it got the reply that it echoes, one heartbeat earlier, and two heartbeats may
/// be late.
pub(crate) const ALIVE_MS: u64 = 3_500;

/// Time, in ms, after which a voter that has not replied counts as unreachable. A node that reaches no voter
/// starts nothing.
pub(crate) const VOTER_SILENCE_MS: u64 = 3_000;

/// Time, in ms, after which the leader proposes a command again if it was not decided.
pub(crate) const PROPOSE_AGAIN_MS: u64 = 1_000;
