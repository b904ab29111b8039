//! Errors in settings.

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting {0} is missing")]
    Missing(String),
    /// A setting has an invalid value.
    #[error("setting {key} has the value {value:?}, expected {expected}")]
    Invalid {
        /// The setting's path.
        key: String,
        /// Its value as text.
        value: String,
        /// The accepted values.
        expected: &'static str,
    },
    /// A line is not of the form `path=value`.
    #[error("line {line} of the settings is not a path=value pair")]
    NotAPair {
        /// The line number, starting at 1.
        line: usize,
    },
}

impl SettingsError {
    pub(crate) fn invalid(key: &str, value: &str, expected: &'static str) -> SettingsError {
        SettingsError::Invalid { key: key.to_owned(), value: value.to_owned(), expected }
    }
}
