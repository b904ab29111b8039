//! Reads a node's configuration: a JSON file, and environment variables that override its keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use glendeck::domain::{Settings, Span};
use glendeck_fleet::policy::{FleetPolicy, UnitName};
use glendeck_settings::SettingsMap;
use serde_json::Value;

use super::{ConfigError, FleetSettings, NodeConfig};
use crate::endpoint_list;
use crate::protocol::Names;

/// The environment variable that names the configuration file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";

/// The environment variable with the address of the endpoint list's service.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// Limit of file descriptors if the configuration sets none: what most systems grant a process.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Accepted limits of file descriptors. A connection needs two, and the node needs some for itself: with
/// fewer than 64 it could serve nothing.
const DESCRIPTORS: std::ops::Range<u64> = 64..1 << 20;

/// Keys allowed in the `fleet` section.
const FLEET_KEYS: [&str; 5] = ["listen", "peers", "folder", "version", "charter"];

/// The expected form of an address, for error messages.
const ADDRESS: &str = "an address and a port";

/// Reads the configuration at the start of the process.
///
/// # Errors
///
/// Fails with the key that is missing, cannot be read or is out of range.
pub(crate) fn from_environment() -> Result<NodeConfig, ConfigError> {
    decode(&read_file()?, |variable| std::env::var(variable).ok())
}

/// Reads the configuration file again. The environment variables still have their values from the start of
/// the process. `ROUTER_DISCOVERY` is ignored in favour of the file's key: the service may have moved since,
/// and a node that used the variable would ask an instance that is about to shut down.
///
/// # Errors
///
/// As [`from_environment`].
pub(crate) fn read_again() -> Result<NodeConfig, ConfigError> {
    decode(
        &read_file()?,
        |variable| {
            if variable == DISCOVERY_VARIABLE { None } else { std::env::var(variable).ok() }
        },
    )
}

fn read_file() -> Result<String, ConfigError> {
    let key = FILE_VARIABLE;
    let path = std::env::var(key).map_err(|_| ConfigError::NotSet(key))?;
    std::fs::read_to_string(&path).map_err(|fault| ConfigError::Unreadable { key, path, fault })
}

/// Reads a configuration from the file's text, and checks it.
///
/// # Errors
///
/// As [`from_environment`].
pub(super) fn decode(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<NodeConfig, ConfigError> {
    let json: Value =
        serde_json::from_str(text).map_err(|fault| ConfigError::InvalidJson { key: FILE_VARIABLE, fault })?;
    let source = Source { json: &json, variable: &variable };
    let admin = source.admin()?;
    let seed = text_at(&json, "seed")?;
    let settings_json = json.get("settings").ok_or_else(|| missing("settings"))?;
    let map = SettingsMap::from_json(settings_json);
    let (settings, list_is_pushed) = decode_settings(&map)?;
    let classes = names(settings_json, "trafficTypes")?;
    let longest_deadline = longest_deadline(&map, classes.len())?;
    let zones = texts(settings_json, "dcs")?;
    let known = present(&json, "known");
    let known = known.map(|known| endpoint_list::decode(known, &zones)).transpose()?;
    let name = source.text("ROUTER_NAME", "name")?.value;
    let fleet = present(&json, "fleet").map(|fleet| decode_fleet(fleet, &name, &variable)).transpose()?;
    Ok(NodeConfig {
        name,
        listen: source.text("ROUTER_LISTEN", "listen")?.address()?,
        discovery: source.text(DISCOVERY_VARIABLE, "discovery")?.address()?,
        admin,
        fleet,
        marks_repeats: map.flag_or("clients.marksRetry", false)?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| invalid("seed", seed, "up to 16 hexadecimal digits"))?,
        descriptors: descriptors(&json)?,
        names: Names {
            traffic: classes,
            tenants: tenants(settings_json)?,
            groups: map.flag_or("extra.groups", false)?,
        },
        connect_limit: map.span("caps.connectTimeoutMs")?,
        longest_deadline,
        zones,
        settings,
        list_is_pushed,
        known,
        folder: variable("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from),
    })
}

/// The file and the environment variables that override its keys.
struct Source<'a, V> {
    json: &'a Value,
    variable: &'a V,
}

/// A string of the configuration, and the key or variable that it comes from.
struct Text {
    key: &'static str,
    value: String,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    /// The value of the environment variable, or else of the file's key.
    fn text(&self, variable: &'static str, key: &'static str) -> Result<Text, ConfigError> {
        match (self.variable)(variable) {
            Some(value) => Ok(Text { key: variable, value }),
            None => Ok(Text { key, value: text_at(self.json, key)?.to_owned() }),
        }
    }

    /// The admin interface's address, which is optional.
    fn admin(&self) -> Result<Option<SocketAddr>, ConfigError> {
        let variable = "ROUTER_ADMIN";
        let key = "admin";
        if (self.variable)(variable).is_none() && present(self.json, key).is_none() {
            return Ok(None);
        }
        self.text(variable, key)?.address().map(Some)
    }
}

impl Text {
    fn address(&self) -> Result<SocketAddr, ConfigError> {
        parse_address(self.key, &self.value)
    }
}

/// Reads the settings of the decisions, and whether the endpoint list is pushed to the node's own agent.
fn decode_settings(map: &SettingsMap) -> Result<(Settings, bool), ConfigError> {
    let settings = glendeck_settings::settings(map)?;
    let list_is_pushed = settings.poll_interval.is_none();
    let settings = Settings {
        // The settings promise message times, but lines between nodes and hosts carry none. The decisions
        // would wait for these times while hosts become overloaded.
        reports_message_times: false,
        poll_interval: Some(endpoint_list::poll_interval(settings.poll_interval)),
        ..settings
    };
    Ok((settings, list_is_pushed))
}

/// The longest time that a client of any class waits for its answer.
fn longest_deadline(map: &SettingsMap, classes: usize) -> Result<Span, ConfigError> {
    let mut longest = Span::ZERO;
    for class in 0..classes {
        longest = longest.max(map.span(&format!("trafficTypes.{class}.guardTimeMs"))?);
    }
    Ok(longest)
}

fn tenants(settings: &Value) -> Result<Vec<String>, ConfigError> {
    let key = "projects";
    if settings.get(key).is_some() { names(settings, key) } else { Ok(vec![]) }
}

fn decode_fleet(
    json: &Value,
    name: &str,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<FleetSettings, ConfigError> {
    check_fleet_keys(json)?;
    let policy = read_policy(fleet_text(json, "charter")?, name)?;
    let peers = decode_peers(json)?;
    let is_reachable = |voter: &UnitName| voter.0 == name || peers.contains_key(voter);
    if let Some(voter) = policy.voters.iter().find(|voter| !is_reachable(voter)) {
        return Err(missing(&format!("fleet.peers.{voter}")));
    }
    let version = match variable("ROUTER_FLEET_VERSION") {
        Some(version) => version,
        None => fleet_text(json, "version")?.to_owned(),
    };
    let listen = parse_address("fleet.listen", fleet_text(json, "listen")?)?;
    let folder = json.get("folder").map(|_| fleet_text(json, "folder")).transpose()?;
    Ok(FleetSettings { listen, peers, folder: folder.map(PathBuf::from), version, policy })
}

fn check_fleet_keys(json: &Value) -> Result<(), ConfigError> {
    let mut keys = json.as_object().into_iter().flat_map(serde_json::Map::keys);
    match keys.find(|key| !FLEET_KEYS.contains(&key.as_str())) {
        Some(key) => Err(invalid(
            &format!("fleet.{key}"),
            "unknown key",
            "one of listen, peers, folder, version, charter",
        )),
        None => Ok(()),
    }
}

/// Reads the fleet's initial policy, which has to list this node as a unit.
fn read_policy(path: &str, name: &str) -> Result<FleetPolicy, ConfigError> {
    let unreadable = |fault: String| ConfigError::FleetPolicy { path: path.to_owned(), fault };
    let text = std::fs::read_to_string(path).map_err(|fault| unreadable(fault.to_string()))?;
    let policy: FleetPolicy = toml::from_str(&text).map_err(|fault| unreadable(fault.to_string()))?;
    policy.check()?;
    if !policy.units.contains_key(&UnitName(name.to_owned())) {
        return Err(invalid("fleet.charter", path, "a file whose units have this node's name"));
    }
    Ok(policy)
}

fn decode_peers(json: &Value) -> Result<BTreeMap<UnitName, SocketAddr>, ConfigError> {
    let peers = json.get("peers").and_then(Value::as_object).ok_or_else(|| missing("fleet.peers"))?;
    let mut addresses = BTreeMap::new();
    for (peer, value) in peers {
        let key = format!("fleet.peers.{peer}");
        let text = value.as_str().ok_or_else(|| invalid(&key, &value.to_string(), ADDRESS))?;
        addresses.insert(UnitName(peer.clone()), parse_address(&key, text)?);
    }
    Ok(addresses)
}

fn descriptors(json: &Value) -> Result<usize, ConfigError> {
    let limit = json.pointer("/limits/sockets").filter(|limit| !limit.is_null());
    let Some(limit) = limit else { return Ok(DEFAULT_DESCRIPTORS) };
    match limit.as_u64().filter(|number| DESCRIPTORS.contains(number)) {
        Some(number) => Ok(number as usize),
        None => Err(invalid("limits.sockets", &limit.to_string(), "a whole number from 64 to 1048575")),
    }
}

// Access to the file's values by key.

fn missing(key: &str) -> ConfigError {
    ConfigError::Missing { key: key.to_owned() }
}

fn invalid(key: &str, value: &str, expected: &'static str) -> ConfigError {
    ConfigError::Invalid { key: key.to_owned(), value: format!("{value:?}"), expected }
}

/// The value of a key that may be missing or null.
fn present<'a>(json: &'a Value, key: &str) -> Option<&'a Value> {
    json.get(key).filter(|value| !value.is_null())
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| invalid(key, text, ADDRESS))
}

fn text_at<'a>(json: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = json.get(key).ok_or_else(|| missing(key))?;
    value.as_str().ok_or_else(|| invalid(key, &value.to_string(), "a string"))
}

fn fleet_text<'a>(fleet: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let full_key = format!("fleet.{key}");
    let value = fleet.get(key).ok_or_else(|| missing(&full_key))?;
    value.as_str().ok_or_else(|| invalid(&full_key, &value.to_string(), "a string"))
}

fn items<'a>(settings: &'a Value, key: &str) -> Result<&'a [Value], ConfigError> {
    let full_key = format!("settings.{key}");
    let value = settings.get(key).ok_or_else(|| missing(&full_key))?;
    let items = value.as_array().map(Vec::as_slice);
    items.ok_or_else(|| invalid(&full_key, &value.to_string(), "a list"))
}

/// Reads a list of strings.
fn texts(settings: &Value, key: &str) -> Result<Vec<String>, ConfigError> {
    let text = |item: &Value| item.as_str().map(str::to_owned);
    let texts: Option<Vec<String>> = items(settings, key)?.iter().map(text).collect();
    texts.ok_or_else(|| invalid(&format!("settings.{key}"), "other items", "a list of strings"))
}

/// Reads the names of the objects in a list.
fn names(settings: &Value, key: &str) -> Result<Vec<String>, ConfigError> {
    let name = |item: &Value| item.get("name").and_then(Value::as_str).map(str::to_owned);
    let names: Option<Vec<String>> = items(settings, key)?.iter().map(name).collect();
    names.ok_or_else(|| invalid(&format!("settings.{key}"), "other items", "a list of named objects"))
}
