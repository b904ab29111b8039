//! One node: the decisions of `glendeck` on real sockets.
//!
//! [`run`] is the whole program. It is a library so that the cluster harness can run it on a [`InjectedFaults`] with
//! injected faults. `service` has the event loop; `clients`, `hosts`, `endpoint_list`, `handover`, `peers`
//! and `admin` each deal with one kind of peer.

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

/// Why the program fails.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("bad configuration: {0}")]
    Config(#[from] config::ConfigError),
    #[error(transparent)]
    Service(#[from] ServiceError),
}

/// Injected faults of the machine under a node; by default there are none.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// Faults of the store's disk.
    pub disk: Option<Arc<dyn glendeck_store::DiskFaults>>,
    /// How far its wall clock is ahead, in seconds.
    pub clock_ahead_s: i64,
}

/// Starts a node that is configured by the environment, and serves until it is told to end.
///
/// The exit code says whether it could start and serve; what went wrong is logged.
pub fn run(machine: InjectedFaults) -> ExitCode {
    match serve(machine) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!("{cause}");
            ExitCode::FAILURE
        }
    }
}

fn serve(machine: InjectedFaults) -> Result<(), RunError> {
    let level = config::log_level();
    let shown = *level.as_ref().unwrap_or(&tracing::level_filters::LevelFilter::INFO);
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(shown).init();
    // A bad level is reported too, at the default level.
    level?;
    let mut service = Service::start(config::from_environment()?, machine)?;
    service.run()?;
    Ok(())
}
