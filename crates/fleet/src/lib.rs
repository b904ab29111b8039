//! Coordination of a fleet of nodes: which units and hosts may be out of service, releases in waves, halts
//! and rollbacks.
//!
//! The crate does no I/O and reads no clock: [`Fleet`] takes events with their timestamps and returns
//! actions. The same events give the same actions, byte for byte. `docs/fleet.md` states the guarantees.
//!
//! The modules, each of which imports only those before it:
//!
//! - [`policy`], `time`, `timing`, [`fault_injection`]: configuration files, timestamps, intervals, faults
//!   for tests.
//! - [`state`]: the replicated state machine.
//! - `store`, [`consensus`], [`message`]: the stored data, a voter of the log, and the messages between
//!   nodes.
//! - `liveness`, `context`: which units are alive, and the data that the other modules share.
//! - `durable`, `replica`: this node's voter slot and its store.
//! - `leader`: the controllers that run on the leader. `member`: this node's own drain.
//! - `fleet`: [`Fleet`], which combines them.

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

/// Types for the hosts whose drains the fleet coordinates.
pub mod hosts {
    pub use crate::state::{EndpointState, HoldState, Host, HostHold, HostUpdate, ListedHost};
    pub use crate::view::DrainingHost;
}
