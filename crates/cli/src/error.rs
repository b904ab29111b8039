//! Errors of commands, with their exit codes.

/// An error that ends a command with an exit code other than 0.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A node refused the request, or the requested state does not hold.
    #[error("{0}")]
    Refused(String),
    /// The command, or a file that it names, is invalid.
    #[error("{0}")]
    Invalid(String),
    /// No node answered, the answer is unconfirmed or cannot be decoded, or no decision was reached in time.
    #[error("{0}")]
    Unanswered(String),
}

impl CommandError {
    /// The exit code, by which scripts tell the kinds of errors apart.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Refused(_) => 1,
            CommandError::Invalid(_) => 2,
            CommandError::Unanswered(_) => 3,
        }
    }
}
