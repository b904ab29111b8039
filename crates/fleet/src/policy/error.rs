//! Errors in policy and plan files.

/// An invalid value in a fleet policy or a plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {why}")]
pub struct PolicyError {
    /// The key in the file.
    pub key: String,
    /// Why its value is invalid.
    pub why: String,
}

impl PolicyError {
    pub(super) fn new(key: impl Into<String>, why: impl Into<String>) -> PolicyError {
        PolicyError { key: key.into(), why: why.into() }
    }
}
