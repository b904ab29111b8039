//! What a node is configured with: checked values, and which of them may change while it serves.
//!
//! [`decode`] reads them; defaults are given there and nowhere else.

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

pub(crate) use self::decode::{anew, from_environment};

/// The variable that says how much is logged. Its name is the program's own, as the platform has none for it.
const LOG_VARIABLE: &str = "GLENDECK_LOG";

/// Why a node cannot be configured. Each names the key that is at fault.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// A variable that must be there is not.
    #[error("{0} is not set")]
    NotSet(&'static str),
    /// The file cannot be read.
    #[error("{key}: cannot read {path:?}: {fault}")]
    Unreadable {
        /// The variable that names the file.
        key: &'static str,
        /// The file.
        path: String,
        /// What the system says.
        fault: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{key}: no JSON: {fault}")]
    NoJson {
        /// The variable that names the file.
        key: &'static str,
        /// Where and why.
        fault: serde_json::Error,
    },
    /// A key that must be there is not.
    #[error("{key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// A value has another type than its key needs, or is out of range.
    #[error("{key} is {value}, expected {expected}")]
    Bad {
        /// The key, or the variable that wins over it.
        key: String,
        /// The value.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
    /// The settings of the decisions cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The endpoint list of the file cannot be used.
    #[error("known: {0}")]
    Known(#[from] EndpointListError),
    /// The fleet's policy cannot be read.
    #[error("fleet.charter: {path:?}: {fault}")]
    FleetPolicy {
        /// Its file.
        path: String,
        /// Why.
        fault: String,
    },
    /// The fleet's policy cannot be kept.
    #[error("fleet.charter: {0}")]
    Limits(#[from] PolicyError),
}

/// The checked configuration of a node.
pub(crate) struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The service of the endpoint list.
    pub discovery: SocketAddr,
    /// The admin interface, if there is one.
    pub admin: Option<SocketAddr>,
    /// Seed of the node's random draws.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The service of the list is an agent of the node's own, and what it has counts as told at once.
    pub list_is_pushed: bool,
    /// Names of classes and tenants, by their numbers.
    pub names: Names,
    /// Names of zones, by their numbers.
    pub zones: Vec<String>,
    /// A connection to a host that has not come up after this never will.
    pub connect_limit: Span,
    /// The longest time that any client waits.
    pub longest_guard: Span,
    /// The endpoint list that the node starts with.
    pub known: Option<EndpointListUpdate>,
    /// The fleet that the node is a member of, if any.
    pub fleet: Option<FleetSettings>,
    /// Clients mark a call that repeats one that failed.
    pub marks_repeats: bool,
    /// A folder of the node's own, where its successor finds this process.
    pub folder: Option<PathBuf>,
}

/// How a node takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FleetSettings {
    /// Where its peers reach it.
    pub listen: SocketAddr,
    /// Where its peers are; it talks to no others.
    pub peers: BTreeMap<UnitName, SocketAddr>,
    /// The folder of its store. A node without one never votes.
    pub folder: Option<PathBuf>,
    /// The version that it runs, as operators name it.
    pub version: String,
    /// The policy that the fleet was founded on.
    pub policy: FleetPolicy,
}

/// What a configuration that was read anew has changed.
pub(crate) struct ConfigChange {
    /// The settings of the decisions, or names, are other ones.
    pub settings: bool,
    /// There are more zones than before.
    pub zones: bool,
    /// Keys whose change has to wait for a new process.
    pub later: Vec<&'static str>,
}

impl NodeConfig {
    /// Takes over what may change while the node serves.
    ///
    /// Calls in flight, hosts and metrics go by the numbers of classes, tenants and zones. So a name keeps
    /// its number as long as the process runs, in whatever order a file has them, and what a file no longer
    /// names stays as it was.
    pub(crate) fn renew(&mut self, new: NodeConfig) -> ConfigChange {
        let later = self.changes_for_new_process(&new);
        let old_settings = self.settings.clone();
        let old_names = self.names.clone();
        let old_zone_count = self.zones.len();

        self.discovery = new.discovery;
        self.descriptors = new.descriptors;
        self.list_is_pushed = new.list_is_pushed;
        self.connect_limit = new.connect_limit;
        // Calls in flight keep the deadline that they came with.
        self.longest_guard = self.longest_guard.max(new.longest_guard);
        let zone_numbers = merge_names(&mut self.zones, new.zones);
        let class_numbers = merge_names(&mut self.names.traffic, new.names.traffic);
        merge_names(&mut self.names.tenants, new.names.tenants);
        self.names.groups = new.names.groups;
        self.renew_settings(new.settings, &class_numbers, &zone_numbers);

        let has_new_zones = self.zones.len() != old_zone_count;
        let has_new_settings = self.settings != old_settings || self.names != old_names;
        ConfigChange { settings: has_new_settings || has_new_zones, zones: has_new_zones, later }
    }

    /// Keys that differ, and that a running process cannot change.
    fn changes_for_new_process(&self, new: &NodeConfig) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin", self.admin != new.admin),
            ("fleet", self.fleet != new.fleet),
        ];
        keys.into_iter().filter(|(_, has_changed)| *has_changed).map(|(key, _)| key).collect()
    }

    /// Takes over settings whose classes and zones have these numbers here.
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

/// Adds the names that are new at the end, and returns the number of each name.
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

/// How much is logged.
///
/// # Errors
///
/// Fails if the variable has a value that is no level.
pub(crate) fn log_level() -> Result<LevelFilter, ConfigError> {
    let Ok(text) = std::env::var(LOG_VARIABLE) else { return Ok(LevelFilter::INFO) };
    text.parse().map_err(|_| ConfigError::Bad {
        key: LOG_VARIABLE.to_owned(),
        value: format!("{text:?}"),
        expected: "off, error, warn, info, debug or trace",
    })
}

/// A host's id, the same at every node.
pub(crate) fn host_id(name: &str) -> HostId {
    HostId(hash_name(name))
}
