//! The checked configuration of a node, and which of its values may change while the node serves.
//!
//! [`decode`] reads the values and is the only place that sets defaults.

mod decode;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use glendeck::domain::{HostId, Settings, Span, Zone};
use glendeck_fleet::policy::{FleetPolicy, PolicyError, UnitName};
use glendeck_settings::SettingsError;
use tracing::level_filters::LevelFilter;

use crate::endpoint_list::{EndpointListError, EndpointListUpdate};
use crate::hash::hash_name;
use crate::protocol::Names;

pub(crate) use self::decode::{from_environment, read_again};

/// The environment variable for the log level. The platform defines none, so the name is glendeck's own.
const LOG_VARIABLE: &str = "GLENDECK_LOG";

/// Why a configuration is invalid. Each message names the key at fault.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// A required environment variable is not set.
    #[error("{0} is not set")]
    NotSet(&'static str),
    /// The file cannot be read.
    #[error("{key}: cannot read {path:?}: {fault}")]
    Unreadable {
        /// The variable that names the file.
        key: &'static str,
        /// The file.
        path: String,
        /// The system's error.
        fault: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{key}: invalid JSON: {fault}")]
    InvalidJson {
        /// The variable that names the file.
        key: &'static str,
        /// The parser's error with its position.
        fault: serde_json::Error,
    },
    /// A required key is absent.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// A value has the wrong type or is out of range.
    #[error("{key} is {value}, expected {expected}")]
    Invalid {
        /// The key, or the environment variable that overrides it.
        key: String,
        /// The value.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// The settings of the decisions are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The endpoint list in the file is invalid.
    #[error("known: {0}")]
    Known(#[from] EndpointListError),
    /// The fleet's policy cannot be read.
    #[error("fleet.charter: {path:?}: {fault}")]
    FleetPolicy {
        /// The policy's file.
        path: String,
        /// The cause.
        fault: String,
    },
    /// The fleet's policy is invalid.
    #[error("fleet.charter: {0}")]
    Limits(#[from] PolicyError),
}

/// The checked configuration of a node.
pub(crate) struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The address of the endpoint list's service.
    pub discovery: SocketAddr,
    /// The address of the admin interface, if there is one.
    pub admin: Option<SocketAddr>,
    /// Seed of the node's random draws.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Whether the endpoint list's service is the node's own agent, whose list counts as received at once.
    pub list_is_pushed: bool,
    /// Names of classes and tenants, by their numbers.
    pub names: Names,
    /// Names of zones, by their numbers.
    pub zones: Vec<String>,
    /// Connect timeout: a connection to a host that is not established by then has failed.
    pub connect_limit: Span,
    /// The longest time that any client waits for its answer, by the current settings.
    pub longest_deadline: Span,
    /// The endpoint list that the node starts with.
    pub known: Option<EndpointListUpdate>,
    /// The fleet that the node is a member of, if any.
    pub fleet: Option<FleetSettings>,
    /// Whether clients mark a call that repeats a failed one.
    pub marks_repeats: bool,
    /// The node's own folder, where its successor finds this process.
    pub folder: Option<PathBuf>,
}

/// How a node takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FleetSettings {
    /// The address where its peers reach it.
    pub listen: SocketAddr,
    /// The addresses of its peers; it connects to no others.
    pub peers: BTreeMap<UnitName, SocketAddr>,
    /// The folder of its store. A node without one never votes.
    pub folder: Option<PathBuf>,
    /// The version that it runs, under the name that operators use.
    pub version: String,
    /// The fleet's initial policy.
    pub policy: FleetPolicy,
}

/// What has changed when the configuration was read again.
pub(crate) struct ConfigChange {
    /// The settings of the decisions, the names of classes, tenants or zones, or the meaning of field `g`
    /// have changed.
    pub settings: bool,
    /// There are more zones than before.
    pub zones: bool,
    /// Those of `name`, `listen`, `admin` and `fleet` that changed, which only a new process applies.
    pub later: Vec<&'static str>,
}

impl NodeConfig {
    /// Applies the values that may change while the node serves.
    ///
    /// Calls in flight, hosts and metrics refer to classes, tenants and zones by number. So a name keeps its
    /// number as long as the process runs, whatever its order in the file, and an entry that the file no
    /// longer names stays unchanged.
    pub(crate) fn renew(&mut self, new: NodeConfig) -> ConfigChange {
        let later = self.changes_for_new_process(&new);
        let old_settings = self.settings.clone();
        let old_names = self.names.clone();
        let old_zone_count = self.zones.len();

        // Every field is named, so that a new one does not compile until it is decided when it counts.
        let NodeConfig {
            name: _,
            listen: _,
            discovery,
            admin: _,
            // Drawn from since the start.
            seed: _,
            descriptors,
            settings,
            list_is_pushed,
            names: Names { traffic, tenants, groups },
            zones,
            connect_limit,
            longest_deadline,
            // The node follows the endpoint list itself by now.
            known: _,
            fleet: _,
            marks_repeats,
            folder: _,
        } = new;
        self.discovery = discovery;
        self.descriptors = descriptors;
        self.list_is_pushed = list_is_pushed;
        self.connect_limit = connect_limit;
        self.longest_deadline = longest_deadline;
        self.marks_repeats = marks_repeats;
        let zone_numbers = merge_names(&mut self.zones, zones);
        let class_numbers = merge_names(&mut self.names.traffic, traffic);
        merge_names(&mut self.names.tenants, tenants);
        self.names.groups = groups;
        self.renew_settings(settings, &class_numbers, &zone_numbers);

        let has_new_zones = self.zones.len() != old_zone_count;
        let has_new_settings = self.settings != old_settings || self.names != old_names;
        ConfigChange { settings: has_new_settings || has_new_zones, zones: has_new_zones, later }
    }

    /// The longest time that any client waits for its answer, in ms.
    pub(crate) fn longest_deadline_ms(&self) -> u64 {
        self.longest_deadline.0 / 1_000_000
    }

    /// Those of `name`, `listen`, `admin` and `fleet` that changed; a running process cannot apply them.
    fn changes_for_new_process(&self, new: &NodeConfig) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin", self.admin != new.admin),
            ("fleet", self.fleet != new.fleet),
        ];
        keys.into_iter().filter(|(_, has_changed)| *has_changed).map(|(key, _)| key).collect()
    }

    /// Applies settings whose classes and zones have these numbers in this process.
    fn renew_settings(&mut self, new: Settings, class_numbers: &[usize], zone_numbers: &[usize]) {
        let mut classes = self.settings.classes.clone();
        for (number, class) in class_numbers.iter().zip(&new.classes) {
            match classes.get_mut(*number) {
                Some(known) => *known = *class,
                None => classes.push(*class),
            }
        }
        let zone = zone_numbers.get(usize::from(new.zone.0));
        let zone = zone.map_or(new.zone, |number| Zone(*number as u16));
        self.settings = Settings { classes, zone, ..new };
    }
}

/// Appends the new names to `known`, and returns the number of each name.
fn merge_names(known: &mut Vec<String>, names: Vec<String>) -> Vec<usize> {
    let mut numbers = Vec::new();
    for name in names {
        let number = known.iter().position(|known| *known == name).unwrap_or(known.len());
        if number == known.len() {
            known.push(name);
        }
        numbers.push(number);
    }
    numbers
}

/// The log level.
///
/// # Errors
///
/// Fails if the environment variable is not a valid level.
pub(crate) fn log_level() -> Result<LevelFilter, ConfigError> {
    let Ok(text) = std::env::var(LOG_VARIABLE) else { return Ok(LevelFilter::INFO) };
    text.parse().map_err(|_| ConfigError::Invalid {
        key: LOG_VARIABLE.to_owned(),
        value: format!("{text:?}"),
        expected: "off, error, warn, info, debug or trace",
    })
}

/// A host's id, which is the same on every node.
pub(crate) fn host_id(name: &str) -> HostId {
    HostId(hash_name(name))
}
