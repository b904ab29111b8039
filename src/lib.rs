//! glendeck: a balancer for long-lived connections.
//!
//! [`rules::Node`] makes every decision. [`domain`] holds the values it speaks in, [`port`] the interface
//! between the decisions and whatever carries them out.

mod book;
pub mod domain;
pub mod port;
mod renewal;
pub mod rules;
