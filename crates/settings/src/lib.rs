//! Reads a deployment's settings into the [`Settings`](glendeck::domain::Settings) that the routing decisions
//! use.
//!
//! Settings come in two forms: `path=value` lines from the simulator, and JSON in a node's configuration.
//! Both are read into a [`SettingsMap`], which [`settings()`] decodes. The mapping from the keys of
//! deployments to the names in the code exists only in this decoder.

mod decode;
mod error;
mod map;
#[cfg(test)]
mod tests;

pub use decode::settings;
pub use error::SettingsError;
pub use map::SettingsMap;
