//! What all fake hosts of a cluster record, shared between their threads and the test that reads it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::grouped_clients::SharedGroupObservations;
use crate::scripted_clients::HostScript;

/// How many attempts hosts were sent, by the call's id.
pub(crate) type Attempts = Arc<Mutex<HashMap<String, u32>>>;

/// What hosts executed, by the call's class and key (`c=pay 1f`).
pub type Executions = Arc<Mutex<HashMap<String, Vec<Execution>>>>;

/// One call that a host executed, or recognised as executed.
#[derive(Clone, Debug)]
pub struct Execution {
    /// When it did.
    pub at: Instant,
    /// The host's name.
    pub host: String,
    /// The host's cell: hosts of one cell share the keys that they recognise.
    pub cell: usize,
    /// It had an effect; otherwise its key was recognised and nothing was done.
    pub had_effect: bool,
}

/// What hosts record, and what they are told to do with single calls.
#[derive(Clone, Default)]
pub struct Observations {
    /// Attempts by call.
    pub attempts: Attempts,
    /// Executions by class and key.
    pub executions: Executions,
    /// Connections by client group.
    pub groups: SharedGroupObservations,
    /// Behaviour towards scripted calls.
    pub host_script: HostScript,
}
