//! `glendeck release`: rolls a release out to the nodes in waves.

use std::time::Duration;

use crate::args::ReleaseCommand;
use crate::check;
use crate::error::CommandError;
use crate::order::Order;
use crate::output::print_line;
use crate::session::{FetchedStatus, Session};
use crate::show;
use crate::status::ReleaseState;

const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the command.
pub(crate) fn run(session: &Session, command: &ReleaseCommand) -> Result<(), CommandError> {
    match command {
        ReleaseCommand::Check { plan, fleet } => {
            let plan = check::read_plan(plan)?;
            let policy = check::read_policy(fleet)?;
            print_line(check::waves(&plan, &policy)?)
        }
        ReleaseCommand::Start { plan } => {
            let plan = check::read_plan(plan)?;
            session.order(Order::StartRelease { plan: &plan })
        }
        ReleaseCommand::Status { watch: false } => session.show_status(show::release),
        ReleaseCommand::Status { watch: true } => watch(session),
        ReleaseCommand::Halt { why } => session.order(Order::HaltRelease { why }),
        ReleaseCommand::Resume => session.order(Order::ResumeRelease {}),
        ReleaseCommand::Back => session.order(Order::RevertRelease {}),
    }
}

/// Prints each change once, until the release is finished.
///
/// # Errors
/// The release is halted, there is none, no node answers, the node refuses, or the status cannot be decoded.
fn watch(session: &Session) -> Result<(), CommandError> {
    let mut printed = String::new();
    loop {
        let FetchedStatus { json, status } = session.status()?;
        let text =
            if session.is_json { json["state"]["release"].to_string() } else { show::release(&status) };
        if text != printed {
            print_line(&text)?;
            printed = text;
        }
        match status.state.release.map(|release| release.state) {
            Some(ReleaseState::Running) => std::thread::sleep(WATCH_INTERVAL),
            Some(ReleaseState::Finished) => return Ok(()),
            Some(ReleaseState::Halted(reason)) => {
                return Err(CommandError::Refused(format!("the release is halted: {reason}")));
            }
            None => return Err(CommandError::Refused("there is no release".into())),
        }
    }
}
