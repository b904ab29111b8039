//! Why a command fails, and its exit code.

/// Why a command ends with another exit code than 0.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A node refused, or what was asked for is not so.
    #[error("{0}")]
    Refused(String),
    /// The command or a file that it names is wrong.
    #[error("{0}")]
    Invalid(String),
    /// No node answered, or nothing was decided in time.
    #[error("{0}")]
    Unanswered(String),
}

impl CommandError {
    /// The exit code, by which scripts tell the reasons apart.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Refused(_) => 1,
            CommandError::Invalid(_) => 2,
            CommandError::Unanswered(_) => 3,
        }
    }
}
