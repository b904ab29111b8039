//! One node: the decisions on real sockets. A library so that the rig can put a bad disk under it; the program is `main`.

mod admin;
mod call;
mod clients;
mod config;
mod connection;
mod endpoint_list;
mod fleet;
mod handover;
mod hash;
mod hosts;
mod http;
mod lifecycle;
mod metrics;
mod peers;
mod protocol;
mod reactor;
mod service;
mod slots;
mod socket;
mod takeover;
mod timers;
mod warm_state;

use std::process::ExitCode;
use std::sync::Arc;

use service::{Service, ServiceError};
use tracing::error;

#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("bad configuration: {0}")]
    Config(#[from] config::ConfigError),
    #[error(transparent)]
    Service(#[from] ServiceError),
}

/// What is wrong with the machine under a node. The product's has nothing wrong.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    /// The store's disk.
    pub disk: Option<Arc<dyn glendeck_store::Faults>>,
    /// Seconds that its wall clock is ahead.
    pub ahead_s: i64,
}

/// Starts, serves until it is told to end, and says by its exit code whether all went well.
pub fn run(machine: Machine) -> ExitCode {
    match serve(machine) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(machine: Machine) -> Result<(), Fault> {
    let level = config::log_level();
    let shown = *level.as_ref().unwrap_or(&tracing::level_filters::LevelFilter::INFO);
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(shown).init();
    level?;
    Ok(Service::start(config::from_environment()?, machine)?.run()?)
}
