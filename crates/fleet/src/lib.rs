//! What a fleet of nodes decides together: which units and hosts may be out, releases in waves, halts and rollbacks.
//!
//! No I/O and no clock: [`Fleet`] is told what happened and when, and says what is to be done. The same events give the
//! same actions, to the byte. `docs/fleet.md` says what is promised.
//!
//! The parts, each of which imports only those before it:
//!
//! - [`policy`], `time`, `timing`, [`fault_injection`]: what files say, moments, intervals, faults for tests.
//! - [`state`]: the replicated state machine.
//! - `store`, [`consensus`], [`message`]: what is on disk, a voter of the log, and what nodes send each other.
//! - `liveness`, `context`: who is heard, and all that a node knows.
//! - `durable`, `replica`: this node's voter slot and its store.
//! - `leader`: the controllers of the voter that leads. `member`: this node's own drain.
//! - `fleet`: [`Fleet`], which brings them together.

mod action;
mod config;
pub mod consensus;
mod context;
mod durable;
mod endpoint_list;
pub mod fault_injection;
mod fleet;
mod host_avoidance;
mod leader;
mod liveness;
mod log_tail;
mod member;
pub mod message;
pub mod policy;
mod replica;
mod requests;
pub mod state;
mod store;
mod time;
mod timing;
mod view;

pub use action::{Action, RequestResult};
pub use config::{FleetConfig, LONGEST_LOG, NodeStatus};
pub use fleet::Fleet;
pub use store::{StoreKey, StoreWrite, StoredState};
pub use time::Timestamp;
pub use view::{DrainingHost, FleetView};

/// Hosts, as the fleet agrees on them.
pub mod hosts {
    pub use crate::state::{EndpointState, HoldState, Host, HostHold, HostUpdate, ListedHost};
    pub use crate::view::DrainingHost;
}
