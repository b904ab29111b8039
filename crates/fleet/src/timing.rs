//! How often nodes speak to each other, and when silence counts.

/// A node sends each voter a heartbeat once in this time, in ms.
pub(crate) const HEARTBEAT_MS: u64 = 1_000;

/// A unit that no voter has heard for so long, in ms, is lost: five heartbeats.
pub(crate) const LOST_MS: u64 = 5_000;

/// A unit that is known to have been alive within this time, in ms, counts as alive. A heartbeat proves that its sender
/// was alive when it got the reply that it echoes, which is a heartbeat earlier; two may be late.
pub(crate) const ALIVE_MS: u64 = 3_500;

/// A node that no voter has answered for so long, in ms, does not hear the group, and starts nothing.
pub(crate) const VOTER_SILENCE_MS: u64 = 3_000;

/// The leader proposes the same again after this time, in ms, if nothing has come of it.
pub(crate) const PROPOSE_AGAIN_MS: u64 = 1_000;
