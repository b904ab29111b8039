//! What all commands share: the nodes to ask, and the form in which answers are printed.

use serde::Deserialize;
use serde_json::Value;

use crate::admin::AdminClient;
use crate::args::Target;
use crate::error::CommandError;
use crate::order::{Order, OrderRequest};
use crate::show;
use crate::status::Status;

/// One run of the command line.
pub(crate) struct Session<'a> {
    /// The nodes to ask.
    pub admin: AdminClient<'a>,
    /// Whether answers are printed as the JSON that nodes sent.
    pub is_json: bool,
    order_id: Option<&'a str>,
}

/// A status as a node sent it, and as it is read here.
pub(crate) struct FetchedStatus {
    /// The node's JSON.
    pub json: Value,
    /// What the commands use of it.
    pub status: Status,
}

impl FetchedStatus {
    /// Reads a node's JSON.
    ///
    /// # Errors
    /// It is not the status of a fleet.
    pub(crate) fn new(json: Value) -> Result<FetchedStatus, CommandError> {
        let status = Status::deserialize(&json)
            .map_err(|error| CommandError::Unanswered(format!("the status cannot be read: {error}")))?;
        Ok(FetchedStatus { json, status })
    }
}

impl Session<'_> {
    /// A session with the nodes and in the form that the arguments say.
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
            println!("{json}");
        } else {
            let reply = Reply::deserialize(&json).unwrap_or_default();
            println!("{}", reply.said.as_deref().unwrap_or("done"));
        }
        Ok(())
    }

    /// Prints the status of the first node that answers.
    ///
    /// # Errors
    /// Nobody answers, or the status is not confirmed, and may be old.
    pub(crate) fn show_status(&self, as_text: impl Fn(&Status) -> String) -> Result<(), CommandError> {
        let FetchedStatus { json, status } = self.status()?;
        if self.is_json {
            println!("{json}");
        } else {
            println!("{}", as_text(&status));
        }
        if status.is_confirmed {
            return Ok(());
        }
        let unheard = show::names(&status.unheard_voters);
        Err(CommandError::Unanswered(format!("not confirmed by a majority; not heard: {unheard}")))
    }
}
