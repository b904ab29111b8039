//! What a voter must not forget, on disk: the log, its promises and its boot count.
//!
//! The store is one file in a folder of the node's own, written by a thread of its own: a disk that stalls delays nobody but
//! whoever waits for this very batch. After the first failed write the store is dead and takes no further batch, as a retry
//! might succeed and hide that an earlier write was lost.

mod disk;
mod open;
mod tables;
mod writer;

pub use disk::{DiskFaults, FaultAction};
pub use open::{Opened, StoreError, open};
pub use tables::ReadError;
pub use writer::{Outcome, Store};
