//! Orders to the fleet.

use std::hash::{BuildHasher, Hasher, RandomState};

use glendeck_fleet::policy::Plan;
use serde::Serialize;

use crate::error::CommandError;

/// What an operator wants, with the JSON of the admin interface.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum Order<'a> {
    /// Take a node or host out, within the limits.
    Drain {
        /// The node or host.
        unit: &'a str,
    },
    /// Take a node out beyond the limits.
    Override {
        /// The node.
        unit: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// Take a node or host back.
    Activate {
        /// The node or host.
        unit: &'a str,
    },
    /// Vouch that no process of a lost node runs.
    DeclareDead {
        /// The node.
        unit: &'a str,
    },
    /// Give a voter's slot to another node.
    ReplaceVoter {
        /// The voter.
        old: &'a str,
        /// The node that takes its place.
        new: &'a str,
    },
    /// Vouch for the disk of the node that is asked.
    TrustDisk {},
    /// Start a release.
    StartRelease {
        /// What it is to do.
        plan: &'a Plan,
    },
    /// Halt the release.
    HaltRelease {
        /// Why.
        why: &'a str,
    },
    /// Go on with a halted release.
    ResumeRelease {},
    /// Take back what the release has changed.
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
            Order::TrustDisk {} => "/v1/fleet/trust",
            Order::StartRelease { .. } => "/v1/fleet/release/start",
            Order::HaltRelease { .. } => "/v1/fleet/release/halt",
            Order::ResumeRelease {} => "/v1/fleet/release/resume",
            Order::RevertRelease {} => "/v1/fleet/release/back",
        }
    }
}

/// An order with its id, under which it is the same order however often it is sent.
#[derive(Debug, Serialize)]
pub(crate) struct OrderRequest<'a> {
    id: String,
    #[serde(flatten)]
    order: Order<'a>,
}

impl<'a> OrderRequest<'a> {
    /// The order under this id, or under one that is drawn at random.
    pub(crate) fn new(order: Order<'a>, id: Option<String>) -> OrderRequest<'a> {
        let id = id.unwrap_or_else(|| format!("{:016x}{:016x}", random_number(), random_number()));
        OrderRequest { id, order }
    }

    /// The order's id.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// The path of the admin interface that takes it.
    pub(crate) fn path(&self) -> &'static str {
        self.order.path()
    }

    /// The body of the request.
    ///
    /// # Errors
    /// A plan that has no JSON form.
    pub(crate) fn to_json(&self) -> Result<String, CommandError> {
        serde_json::to_string(self).map_err(|error| CommandError::Invalid(error.to_string()))
    }
}

/// The standard library's hash keys are drawn from the system's random numbers.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}
