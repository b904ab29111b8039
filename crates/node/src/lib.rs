//! A balancer node: runs the decision logic of the `glendeck` crate on real sockets.
//!
//! [`run`] is the whole program. It is a library so that the cluster harness can run it with
//! [`InjectedFaults`]. `service` contains the event loop; `clients`, `hosts`, `endpoint_list`, `handover`,
//! `peers` and `admin` each handle the connections of one kind of peer.

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
mod logging;
mod metrics;
mod peers;
mod protocol;
mod reactor;
mod service;
mod signals;
mod slots;
mod socket;
mod takeover;
mod timers;
mod warm_state;

use std::process::ExitCode;
use std::sync::Arc;

use logging::Log;
use service::{Service, ServiceError};
use tracing::error;
use tracing::level_filters::LevelFilter;

/// Why the program cannot start or stops with an error.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("invalid configuration: {0}")]
    Config(#[from] config::ConfigError),
    #[error(transparent)]
    Service(#[from] ServiceError),
}

/// Faults injected into the machine that a node runs on; none by default.
#[derive(Clone, Debug, Default)]
pub struct InjectedFaults {
    /// Faults of the disk that holds the fleet store.
    pub disk: Option<Arc<dyn glendeck_store::DiskFaults>>,
    /// How far the node's wall clock is ahead of the system's, in seconds.
    pub clock_ahead_s: i64,
}

/// Starts a node with the configuration that the environment names, and serves until it is told to exit.
///
/// The exit code tells whether the node started and served without an error; errors are logged.
pub fn run(faults: InjectedFaults) -> ExitCode {
    let level = config::log_level();
    // Dropped last, as it writes the last lines.
    let log = Log::start(*level.as_ref().unwrap_or(&LevelFilter::INFO));
    // An invalid log level is itself logged as an error, at the default level.
    let result = level.map_err(RunError::from).and_then(|_| serve(faults, &log));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!("{cause}");
            ExitCode::FAILURE
        }
    }
}

fn serve(faults: InjectedFaults, log: &Log) -> Result<(), RunError> {
    let config = config::from_environment()?;
    let mut service = Service::start(config, faults, log.lost_lines.clone())?;
    service.run()?;
    Ok(())
}
