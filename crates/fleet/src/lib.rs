//! What a fleet of nodes decides together: who may be out, releases in waves, halts and the way back.
//!
//! No I/O and no clock: [`Fleet`] is told what happened and when, and says what is to be done. The same events give
//! the same actions, to the byte. [`state::State`] is what is agreed; [`consensus::Voter`] is one seat of the agreed log,
//! on the library `omnipaxos`; `docs/fleet.md` says what is promised.

pub mod consensus;
pub mod fault_injection;
mod group;
pub mod hosts;
mod leader_state;
mod liveness;
mod member;
pub mod message;
pub mod policy;
pub mod state;
mod store;
mod time;
mod timing;

pub use group::{Action, Fleet, FleetConfig, FleetView, LONGEST_LOG, NodeStatus, RequestResult};
pub use store::{StoreKey, StoreWrite, StoredState};
pub use time::Timestamp;
