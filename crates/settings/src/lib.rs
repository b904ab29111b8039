//! Reads a deployment's settings into the [`Settings`](glendeck::domain::Settings) that the decisions use.
//!
//! They come in two forms, the simulator's `path=value` lines and a node's JSON. Both become a [`SettingsMap`], and
//! [`settings()`] is the one decoder. It is also the one place that maps the keys of deployments to the terms of the code.

mod decode;
mod error;
mod map;
#[cfg(test)]
mod tests;

pub use decode::settings;
pub use error::SettingsError;
pub use map::SettingsMap;
