//! State that the commands to nodes share: the nodes to query, and the output format.

use serde::Deserialize;
use serde_json::Value;

use crate::admin::AdminClient;
use crate::args::Target;
use crate::error::CommandError;
use crate::order::{Order, OrderRequest};
use crate::output::print_line;
use crate::show;
use crate::status::Status;

/// One run of the command line.
pub(crate) struct Session<'a> {
    /// Client for the nodes to query.
    pub admin: AdminClient<'a>,
    /// Whether replies are printed as JSON.
    pub is_json: bool,
    order_id: Option<&'a str>,
}

/// A node's status, as JSON and decoded.
pub(crate) struct FetchedStatus {
    /// The JSON that the node sent.
    pub json: Value,
    /// The part of it that the commands use.
    pub status: Status,
}

impl FetchedStatus {
    /// Decodes a node's JSON.
    ///
    /// # Errors
    /// It is not the status of a fleet.
    pub(crate) fn new(json: Value) -> Result<FetchedStatus, CommandError> {
        let status = Status::deserialize(&json)
            .map_err(|error| CommandError::Unanswered(format!("the status cannot be decoded: {error}")))?;
        Ok(FetchedStatus { json, status })
    }
}

impl Session<'_> {
    /// A session with the nodes and the output format that the arguments give.
    pub(crate) fn new(target: &Target) -> Session<'_> {
        Session {
            admin: AdminClient::new(&target.addresses),
            is_json: target.json,
            order_id: target.id.as_deref(),
        }
    }

    /// The status of the first node that answers.
    pub(crate) fn status(&self) -> Result<FetchedStatus, CommandError> {
        FetchedStatus::new(self.admin.status()?)
    }

    /// Sends an order and prints the reply.
    pub(crate) fn order(&self, order: Order) -> Result<(), CommandError> {
        #[derive(Default, Deserialize)]
        struct Reply {
            said: Option<String>,
        }
        let request = OrderRequest::new(order, self.order_id.map(str::to_owned));
        let json = self.admin.order(&request)?;
        if self.is_json {
            return print_line(json);
        }
        let reply = Reply::deserialize(&json).unwrap_or_default();
        print_line(reply.said.as_deref().unwrap_or("done"))
    }

    /// Prints the status of the first node that answers.
    ///
    /// # Errors
    /// No node answers, the node refuses, the status cannot be decoded, or no majority has confirmed it, so
    /// that it may be stale.
    pub(crate) fn show_status(&self, as_text: impl Fn(&Status) -> String) -> Result<(), CommandError> {
        let FetchedStatus { json, status } = self.status()?;
        let printed = if self.is_json { print_line(json) } else { print_line(as_text(&status)) };
        if status.is_confirmed {
            return printed;
        }
        let unheard = show::names(&status.unheard_voters);
        Err(CommandError::Unanswered(format!(
            "status not confirmed by a majority; voters not heard: {unheard}"
        )))
    }
}
