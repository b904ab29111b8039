//! Identifiers and counters used in the log.

use serde::{Deserialize, Serialize};

/// The number of a lease, which allows a unit or host to be out. Numbers only increase, so a lease serves as
/// a fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// Identifies one process of a node: a random number drawn at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// How often a voter's store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BootCount(pub u64);

/// Idempotency key of a request, chosen by its sender. A repeated request gets the result of the first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub String);

/// Identifies one request to begin a drain, so that an answer to an older request is not taken for one to the
/// newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce {
    /// The process that asked.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts the requests of that process.
    pub count: u64,
}
