//! What a node is told at its start: read, checked and given defaults here and nowhere else.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use glendeck::domain::{HostId, Settings, Span, Zone};
use glendeck_fleet::policy::{FleetPolicy, PolicyError, UnitName};
use glendeck_settings::SettingsMap;
use serde_json::Value;
use tracing::level_filters::LevelFilter;

use crate::endpoint_list;
use crate::protocol::Names;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{0} is not set")]
    NotSet(&'static str),
    #[error("{key}: cannot read {path:?}: {fault}")]
    Unreadable { key: &'static str, path: String, fault: std::io::Error },
    #[error("{key}: no JSON: {fault}")]
    NoJson { key: &'static str, fault: serde_json::Error },
    #[error("{key} is missing")]
    Missing { key: String },
    #[error("{key} is {value}, expected {expected}")]
    Bad { key: String, value: String, expected: &'static str },
    #[error("settings: {0}")]
    Settings(#[from] glendeck_settings::SettingsError),
    #[error("known: {0}")]
    Known(#[from] endpoint_list::EndpointListError),
    #[error("fleet.charter: {path:?}: {fault}")]
    FleetPolicy { path: String, fault: String },
    #[error("fleet.charter: {0}")]
    Limits(#[from] PolicyError),
}

pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators are heard, if anywhere.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub descriptors: usize,
    pub settings: Settings,
    /// The list's service is an agent of the node's own, and what it has counts as told at once.
    pub list_is_pushed: bool,
    pub names: Names,
    pub zones: Vec<String>,
    /// A connection to a host that has not come up by then never will.
    pub connect_limit: Span,
    /// The longest time that any client waits.
    pub longest_guard: Span,
    pub known: Option<endpoint_list::EndpointListUpdate>,
    /// The fleet that it is part of, if it is of one.
    pub fleet: Option<FleetSettings>,
    /// Clients say of a call that it repeats one that failed.
    pub marks_repeats: bool,
    /// A folder of the node's own, where its next process finds this one.
    pub folder: Option<PathBuf>,
}

/// How a node takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Where its peers reach it.
    pub listen: SocketAddr,
    /// Where its peers are; to all others it does not speak.
    pub peers: BTreeMap<UnitName, SocketAddr>,
    /// Its store's. A node without one never votes.
    pub folder: Option<PathBuf>,
    /// What it runs, in the operators' words.
    pub version: String,
    pub policy: FleetPolicy,
}

/// What a configuration read anew has changed.
pub struct ConfigChange {
    pub settings: bool,
    /// There are more zones than before.
    pub zones: bool,
    /// What has to wait for a new start.
    pub later: Vec<&'static str>,
}

/// Puts what is new at the end; says what number each name has.
fn merge(known: &mut Vec<String>, names: Vec<String>) -> Vec<usize> {
    let mut number = |name: String| {
        known.iter().position(|known| *known == name).unwrap_or_else(|| {
            known.push(name);
            known.len() - 1
        })
    };
    names.into_iter().map(&mut number).collect()
}

impl NodeConfig {
    /// Takes over what may change while the node serves. Danger: calls in hand, hosts and figures go by the
    /// numbers of traffic classes, customers and zones. A name keeps its number as long as the process runs, in
    /// whatever order a file has them; what a file no longer names stays as it was, for what is in hand.
    pub fn renew(&mut self, new: NodeConfig) -> ConfigChange {
        let later = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin", self.admin != new.admin),
            ("fleet", self.fleet != new.fleet),
        ];
        let before = (self.settings.clone(), self.names.clone(), self.zones.len());
        (self.discovery, self.descriptors) = (new.discovery, new.descriptors);
        let zones = merge(&mut self.zones, new.zones);
        let types = merge(&mut self.names.traffic, new.names.traffic);
        merge(&mut self.names.tenants, new.names.tenants);
        self.names.groups = new.names.groups;
        let mut traffic = self.settings.classes.clone();
        for (at, of) in types.into_iter().zip(new.settings.classes) {
            if at < traffic.len() { traffic[at] = of } else { traffic.push(of) }
        }
        let zone =
            zones.get(usize::from(new.settings.zone.0)).map_or(new.settings.zone, |at| Zone(*at as u16));
        self.settings = Settings { classes: traffic, zone, ..new.settings };
        self.list_is_pushed = new.list_is_pushed;
        self.connect_limit = new.connect_limit;
        // Calls in hand keep the deadline that they came with.
        self.longest_guard = self.longest_guard.max(new.longest_guard);
        ConfigChange {
            settings: before != (self.settings.clone(), self.names.clone(), self.zones.len()),
            zones: before.2 != self.zones.len(),
            later: later.iter().filter(|(_, changed)| *changed).map(|(key, _)| *key).collect(),
        }
    }
}

/// How much is logged; a name of the program's own, as the platform says nothing of it.
pub fn log_level() -> Result<LevelFilter, ConfigError> {
    match std::env::var("GLENDECK_LOG") {
        Ok(text) => {
            text.parse().map_err(|_| bad("GLENDECK_LOG", &text, "off, error, warn, info, debug or trace"))
        }
        Err(_) => Ok(LevelFilter::INFO),
    }
}

/// From `ROUTER_CONFIG`; the other variables say the same as its keys and win where they are set.
pub fn from_environment() -> Result<NodeConfig, ConfigError> {
    read(&file()?, |variable| std::env::var(variable).ok())
}

/// The file as it is now. Danger: the variables keep what they said at the start; the list's service may have
/// moved since, and a node that trusts its variable asks one that is about to go.
pub fn anew() -> Result<NodeConfig, ConfigError> {
    read(&file()?, |variable| std::env::var(variable).ok().filter(|_| variable != "ROUTER_DISCOVERY"))
}

fn file() -> Result<String, ConfigError> {
    let key = "ROUTER_CONFIG";
    let path = std::env::var(key).map_err(|_| ConfigError::NotSet(key))?;
    std::fs::read_to_string(&path).map_err(|fault| ConfigError::Unreadable { key, path, fault })
}

pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<NodeConfig, ConfigError> {
    let json: Value =
        serde_json::from_str(text).map_err(|fault| ConfigError::NoJson { key: "ROUTER_CONFIG", fault })?;
    let given = |env: &'static str, key: &'static str| match variable(env) {
        Some(value) => Ok((env, value)),
        None => text_at(&json, key).map(|value| (key, value.to_owned())),
    };
    let address = |(key, value): (&'static str, String)| {
        value.parse::<SocketAddr>().map_err(|_| bad(key, &value, "an address and a port"))
    };
    let told = variable("ROUTER_ADMIN").is_some() || json.get("admin").is_some_and(|admin| !admin.is_null());
    let admin = if told { Some(address(given("ROUTER_ADMIN", "admin")?)?) } else { None };
    let seed = text_at(&json, "seed")?;
    let settings_json = json.get("settings").ok_or_else(|| missing("settings"))?;
    let pairs = SettingsMap::from_json(settings_json);
    // Danger: the settings promise message times, but lines between nodes and hosts carry none, and the
    // decisions would wait for them while hosts go under.
    let settings = Settings { reports_message_times: false, ..glendeck_settings::settings(&pairs)? };
    let list_is_pushed = settings.poll_interval.is_none();
    let settings =
        Settings { poll_interval: Some(endpoint_list::poll_interval(settings.poll_interval)), ..settings };
    let traffic = named(settings_json, "trafficTypes")?;
    let guards = (0..traffic.len()).map(|i| pairs.span(&format!("trafficTypes.{i}.guardTimeMs")));
    let longest_guard = guards.collect::<Result<Vec<_>, _>>()?.into_iter().max().unwrap_or_default();
    let zones = texts(settings_json, "dcs")?;
    let known = json.get("known").filter(|known| !known.is_null());
    let known = known.map(|known| endpoint_list::decode(known, &zones)).transpose()?;
    let name = given("ROUTER_NAME", "name")?.1;
    let fleet = json.get("fleet").filter(|fleet| !fleet.is_null());
    let fleet = fleet.map(|fleet| fleet_settings(fleet, &name, &variable)).transpose()?;
    Ok(NodeConfig {
        name,
        listen: address(given("ROUTER_LISTEN", "listen")?)?,
        discovery: address(given("ROUTER_DISCOVERY", "discovery")?)?,
        admin,
        fleet,
        marks_repeats: pairs.flag_or("clients.marksRetry", false)?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| bad("seed", seed, "up to 16 hexadecimal digits"))?,
        descriptors: descriptors(&json)?,
        names: Names {
            traffic,
            tenants: if settings_json.get("projects").is_some() {
                named(settings_json, "projects")?
            } else {
                vec![]
            },
            groups: pairs.flag_or("extra.groups", false)?,
        },
        connect_limit: pairs.span("caps.connectTimeoutMs")?,
        longest_guard,
        zones,
        settings,
        list_is_pushed,
        known,
        folder: variable("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from),
    })
}

fn fleet_settings(
    json: &Value,
    name: &str,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<FleetSettings, ConfigError> {
    let known = ["listen", "peers", "folder", "version", "charter"];
    if let Some(other) =
        json.as_object().and_then(|all| all.keys().find(|key| !known.contains(&key.as_str())))
    {
        return Err(bad(&format!("fleet.{other}"), "set", "one of listen, peers, folder, version, charter"));
    }
    let text = |key: &str| {
        let value = json.get(key).ok_or_else(|| missing(&format!("fleet.{key}")))?;
        value.as_str().ok_or_else(|| bad(&format!("fleet.{key}"), &value.to_string(), "text"))
    };
    let address = |key: &str, value: &str| {
        value.parse::<SocketAddr>().map_err(|_| bad(key, value, "an address and a port"))
    };
    let path = text("charter")?;
    let unreadable = |fault: String| ConfigError::FleetPolicy { path: path.to_owned(), fault };
    let policy = std::fs::read_to_string(path).map_err(|fault| unreadable(fault.to_string()))?;
    let policy: FleetPolicy = toml::from_str(&policy).map_err(|fault| unreadable(fault.to_string()))?;
    policy.check()?;
    if !policy.units.contains_key(&UnitName(name.to_owned())) {
        return Err(bad("fleet.charter", path, "a file whose units have this node's name"));
    }
    let mut peers = BTreeMap::new();
    let all = json.get("peers").and_then(Value::as_object).ok_or_else(|| missing("fleet.peers"))?;
    for (peer, value) in all {
        let key = format!("fleet.peers.{peer}");
        let value = value.as_str().ok_or_else(|| bad(&key, &value.to_string(), "an address and a port"))?;
        peers.insert(UnitName(peer.clone()), address(&key, value)?);
    }
    let reached = |voter: &&UnitName| voter.0 == name || peers.contains_key(*voter);
    if let Some(voter) = policy.voters.iter().find(|voter| !reached(voter)) {
        return Err(missing(&format!("fleet.peers.{voter}")));
    }
    let version = variable("ROUTER_FLEET_VERSION").map_or_else(|| text("version").map(str::to_owned), Ok)?;
    Ok(FleetSettings {
        listen: address("fleet.listen", text("listen")?)?,
        peers,
        folder: json.get("folder").map(|_| text("folder").map(PathBuf::from)).transpose()?,
        version,
        policy,
    })
}

/// Two descriptors a connection, and a few for the node itself; with fewer than 64 nothing could be served.
fn descriptors(json: &Value) -> Result<usize, ConfigError> {
    // Without a limit from the platform: what most systems grant a process.
    let Some(limit) = json.pointer("/limits/sockets").filter(|limit| !limit.is_null()) else {
        return Ok(1024);
    };
    let number = limit.as_u64().filter(|n| (64..1 << 20).contains(n));
    number
        .map(|n| n as usize)
        .ok_or_else(|| bad("limits.sockets", &limit.to_string(), "a whole number from 64 on"))
}

fn missing(key: &str) -> ConfigError {
    ConfigError::Missing { key: key.to_owned() }
}

fn bad(key: &str, value: &str, expected: &'static str) -> ConfigError {
    ConfigError::Bad { key: key.to_owned(), value: format!("{value:?}"), expected }
}

fn text_at<'a>(json: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = json.get(key).ok_or_else(|| missing(key))?;
    value.as_str().ok_or_else(|| bad(key, &value.to_string(), "text"))
}

fn items<'a>(settings: &'a Value, key: &str) -> Result<&'a [Value], ConfigError> {
    let value = settings.get(key).ok_or_else(|| missing(&format!("settings.{key}")))?;
    let items = value.as_array().map(Vec::as_slice);
    items.ok_or_else(|| bad(&format!("settings.{key}"), &value.to_string(), "a list"))
}

fn texts(settings: &Value, key: &str) -> Result<Vec<String>, ConfigError> {
    let text = |value: &Value| value.as_str().map(str::to_owned);
    let all: Option<Vec<String>> = items(settings, key)?.iter().map(text).collect();
    all.ok_or_else(|| bad(&format!("settings.{key}"), "its items", "names"))
}

fn named(settings: &Value, key: &str) -> Result<Vec<String>, ConfigError> {
    let name = |item: &Value| item.get("name").and_then(Value::as_str).map(str::to_owned);
    let all: Option<Vec<String>> = items(settings, key)?.iter().map(name).collect();
    all.ok_or_else(|| bad(&format!("settings.{key}"), "its items", "objects with a name"))
}

/// A host's number, the same at every node.
pub fn host_id(name: &str) -> HostId {
    HostId(crate::hash::hash_name(name))
}

#[cfg(test)]
mod tests;
