//! Orders: the requests of operators that change the fleet.

use std::hash::{BuildHasher, Hasher, RandomState};

use glendeck_fleet::policy::Plan;
use serde::Serialize;

use crate::error::CommandError;

/// An order, serialised as the admin interface's JSON.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum Order<'a> {
    /// Drain a node or host, within the limits.
    Drain {
        /// The node or host.
        unit: &'a str,
    },
    /// Drain a node beyond the limits.
    Override {
        /// The node.
        unit: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// Return a drained node or host to service.
    Activate {
        /// The node or host.
        unit: &'a str,
    },
    /// Confirm that no process of a lost node is running.
    DeclareDead {
        /// The node.
        unit: &'a str,
    },
    /// Give a voter's slot to another node.
    ReplaceVoter {
        /// The voter.
        old: &'a str,
        /// The node that takes over its slot.
        new: &'a str,
    },
    /// Confirm that the store of the node that receives the order is intact.
    TrustStore {},
    /// Start a release.
    StartRelease {
        /// The release's plan.
        plan: &'a Plan,
    },
    /// Halt the release.
    HaltRelease {
        /// Why.
        why: &'a str,
    },
    /// Resume a halted release.
    ResumeRelease {},
    /// Revert the units that the release has changed.
    RevertRelease {},
}

impl Order<'_> {
    fn path(&self) -> &'static str {
        match self {
            Order::Drain { .. } => "/v1/fleet/drain",
            Order::Override { .. } => "/v1/fleet/override",
            Order::Activate { .. } => "/v1/fleet/activate",
            Order::DeclareDead { .. } => "/v1/fleet/dead",
            Order::ReplaceVoter { .. } => "/v1/fleet/replace",
            Order::TrustStore {} => "/v1/fleet/trust",
            Order::StartRelease { .. } => "/v1/fleet/release/start",
            Order::HaltRelease { .. } => "/v1/fleet/release/halt",
            Order::ResumeRelease {} => "/v1/fleet/release/resume",
            Order::RevertRelease {} => "/v1/fleet/release/back",
        }
    }
}

/// An order with its id. An order that is sent again with the same id is carried out once.
#[derive(Debug, Serialize)]
pub(crate) struct OrderRequest<'a> {
    id: String,
    #[serde(flatten)]
    order: Order<'a>,
}

impl<'a> OrderRequest<'a> {
    /// The order with this id, or with a random one.
    pub(crate) fn new(order: Order<'a>, id: Option<String>) -> OrderRequest<'a> {
        let id = id.unwrap_or_else(|| format!("{:016x}{:016x}", random_number(), random_number()));
        OrderRequest { id, order }
    }

    /// The order's id.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// The path of the admin interface to which the order is sent.
    pub(crate) fn path(&self) -> &'static str {
        self.order.path()
    }

    /// The body of the request.
    ///
    /// # Errors
    /// The plan cannot be written as JSON.
    pub(crate) fn to_json(&self) -> Result<String, CommandError> {
        serde_json::to_string(self).map_err(|error| CommandError::Invalid(error.to_string()))
    }
}

/// A random number: the standard library draws the keys of its hashers from the system's random numbers.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}
