//! glendeck: a balancer for long-lived connections.
//!
//! [`Node`] makes every decision. [`domain`] holds the values it speaks in, [`port`] the interface between the decisions
//! and whatever carries them out.

pub mod domain;
mod node;
pub mod port;
mod state;

pub use node::Node;
