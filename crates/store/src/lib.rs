//! Durable storage of a voter: its log, its promises and its boot count.
//!
//! The store is one file in a folder that belongs to the node. A separate thread writes it, so a stalled disk
//! delays only what waits for a batch to be written. After the first failed write the store accepts no
//! further batch, as a retry might succeed and hide that an earlier write was lost.

mod disk;
mod open;
mod tables;
mod writer;

pub use disk::{DiskFaults, FaultAction};
pub use open::{Opened, StoreError, open};
pub use tables::ReadError;
pub use writer::{Outcome, Store};
