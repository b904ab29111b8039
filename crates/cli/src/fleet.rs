//! `glendeck fleet`: shows the members of the fleet and their state, and manages voters and lost nodes.

use serde_json::{Value, json};

use crate::args::FleetCommand;
use crate::error::CommandError;
use crate::order::Order;
use crate::output::print_line;
use crate::session::{FetchedStatus, Session};
use crate::{show, trace};

/// Runs the command.
pub(crate) fn run(session: &Session, command: &FleetCommand) -> Result<(), CommandError> {
    match command {
        FleetCommand::Status => session.show_status(show::status),
        FleetCommand::Members => session.show_status(show::members),
        FleetCommand::Hosts => session.show_status(show::hosts),
        FleetCommand::Work => show_takeover(session),
        FleetCommand::Trace { id, logs } => trace::run(id, logs),
        FleetCommand::Dead { node } => session.order(Order::DeclareDead { unit: node }),
        FleetCommand::Replace { old, new } => session.order(Order::ReplaceVoter { old, new }),
        FleetCommand::Trust => session.order(Order::TrustStore {}),
    }
}

/// Prints the replication of in-flight calls at each given node. If a query fails, the others are still
/// printed, and the last failure is returned; a status that cannot be decoded ends the command at once.
fn show_takeover(session: &Session) -> Result<(), CommandError> {
    let mut last_failure = None;
    for node in session.admin.each_status() {
        match node.status {
            Ok(json) => print_takeover(session, json)?,
            Err(reason) => last_failure = Some(format!("{}: {reason}", node.address)),
        }
    }
    last_failure.map_or(Ok(()), |failure| Err(CommandError::Unanswered(failure)))
}

fn print_takeover(session: &Session, json: Value) -> Result<(), CommandError> {
    if session.is_json {
        print_line(json!({"name": json["name"], "work": json["work"]}))
    } else {
        print_line(show::takeover(&FetchedStatus::new(json)?.status))
    }
}
