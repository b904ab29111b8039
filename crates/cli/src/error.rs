//! Errors of commands, with their exit codes.

use std::io;

/// What ends a command early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A node refused the request, or the requested state does not hold.
    #[error("{0}")]
    Refused(String),
    /// The command, or a file that it names, is invalid.
    #[error("{0}")]
    Invalid(String),
    /// Nobody reads the output any more.
    #[error("nobody reads the output")]
    NoReader,
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[source] io::Error),
    /// No node answered, the answer is unconfirmed or cannot be decoded, or no decision was reached in time.
    #[error("{0}")]
    Unanswered(String),
}

impl CommandError {
    /// The exit code, by which scripts tell the kinds of errors apart.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::NoReader => 0,
            CommandError::Refused(_) => 1,
            CommandError::Invalid(_) => 2,
            CommandError::Unanswered(_) | CommandError::Output(_) => 3,
        }
    }
}
