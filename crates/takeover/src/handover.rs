//! The records that a replica hands over to the next process of its node at a planned end.
//!
//! They are encoded with `postcard`, which is positional: the order of fields is part of the format.

use serde::{Deserialize, Serialize};

use crate::id::{RecordId, WorkId};

/// Everything that a replica stores, for its successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaHandover {
    /// Whether the replica had its full history and so answered queries.
    pub(crate) has_full_history: bool,
    pub(crate) records: Vec<RecordHandover>,
}

/// One record. It holds no points in time, as the successor has another clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordHandover {
    pub(crate) work: WorkId,
    pub(crate) id: RecordId,
    pub(crate) term: u64,
    pub(crate) is_repeat: bool,
    pub(crate) first_host: u64,
    pub(crate) sequence: u32,
    /// Time until the call's deadline, in ms.
    pub(crate) remaining_ms: u64,
    pub(crate) is_answered: bool,
    pub(crate) is_superseded: bool,
}
