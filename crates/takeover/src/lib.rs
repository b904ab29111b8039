//! Takeover of in-flight calls after the loss of their node. A node replicates an intent before it sends an
//! attempt. When a client repeats the call at another node, that node queries the replicas and decides what
//! the repeat may still do. Design and guarantees: `docs/takeover.md`.
//!
//! This crate has no I/O and no clock. A [`Takeover`] is told what happened and when, and returns
//! [`Action`]s; the same events give the same actions. [`warm_state`] works the same way for hints that may
//! be lost without harm.

mod action;
pub mod fault_injection;
mod handover;
mod id;
mod message;
mod owner;
mod replica;
mod takeover;
mod timing;
mod view;
pub mod warm_state;

pub use action::{Action, Attempt, PriorAttempt};
pub use handover::ReplicaHandover;
pub use id::{RecordId, WorkId};
pub use message::{
    FirstAttempt, Intent, IntentVerdict, Outcome, RecordView, ReplicaMessage, SupersededRecord,
};
pub use owner::Owner;
pub use replica::Replica;
pub use takeover::Takeover;
pub use timing::{QUIET_PERIOD_MS, SEND_WINDOW_MS, UNKNOWN_AGE_MS};
pub use view::{REPLICAS, View};
