//! Output of the commands. A reader that has gone, as in `glendeck fleet status | head -1`, is no fault of the
//! command: what it does not read is not written, and orders are carried out all the same.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

use crate::error::CommandError;

/// Prints a line to standard output.
///
/// # Errors
/// It cannot be written, for another reason than that nobody reads any more.
pub(crate) fn print_line(line: impl Display) -> Result<(), CommandError> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Err(CommandError::NoReader),
        Err(error) => Err(CommandError::Output(error)),
        Ok(()) => Ok(()),
    }
}

/// Prints a line to standard error, as far as that is possible.
pub(crate) fn print_error(line: impl Display) {
    let _ = writeln!(io::stderr(), "{line}");
}
