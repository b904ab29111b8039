//! glendeck: a balancer for long-lived connections.
//!
//! [`Node`] makes every decision. [`domain`] holds the types it works with, [`port`] the interface between
//! the decisions and the program that carries them out.

pub mod domain;
mod node;
pub mod port;
mod state;

pub use node::Node;
