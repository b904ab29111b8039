//! The configuration as a node is given it: a JSON file, and environment variables that win over its keys.

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

/// The variable that names the configuration file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";

/// The variable of the endpoint list's service.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// File descriptors that most systems grant a process, where the platform says no limit.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Limits of file descriptors that are taken. A connection needs two, and the node some for itself: with
/// fewer than 64 nothing could be served.
const DESCRIPTORS: std::ops::Range<u64> = 64..1 << 20;

/// Keys that a fleet's section may have.
const FLEET_KEYS: [&str; 5] = ["listen", "peers", "folder", "version", "charter"];

/// What an address has to look like.
const ADDRESS: &str = "an address and a port";

/// The configuration at the start of a process.
///
/// # Errors
///
/// Fails with the key that is missing, cannot be read or is out of range.
pub(crate) fn from_environment() -> Result<NodeConfig, ConfigError> {
    decode(&read_file()?, |variable| std::env::var(variable).ok())
}

/// The configuration as the file has it now. The variables keep what they were at the start, but the service
/// of the endpoint list may have moved since, and a node that trusts its variable asks one that is about to
/// go.
///
/// # Errors
///
/// As [`from_environment`].
pub(crate) fn anew() -> Result<NodeConfig, ConfigError> {
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
        serde_json::from_str(text).map_err(|fault| ConfigError::NoJson { key: FILE_VARIABLE, fault })?;
    let source = Source { json: &json, variable: &variable };
    let admin = source.admin()?;
    let seed = text_at(&json, "seed")?;
    let settings_json = json.get("settings").ok_or_else(|| missing("settings"))?;
    let map = SettingsMap::from_json(settings_json);
    let (settings, list_is_pushed) = decode_settings(&map)?;
    let classes = names(settings_json, "trafficTypes")?;
    let longest_guard = longest_deadline(&map, classes.len())?;
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
        seed: u64::from_str_radix(seed, 16).map_err(|_| bad("seed", seed, "up to 16 hexadecimal digits"))?,
        descriptors: descriptors(&json)?,
        names: Names {
            traffic: classes,
            tenants: tenants(settings_json)?,
            groups: map.flag_or("extra.groups", false)?,
        },
        connect_limit: map.span("caps.connectTimeoutMs")?,
        longest_guard,
        zones,
        settings,
        list_is_pushed,
        known,
        folder: variable("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from),
    })
}

/// The file and the variables that win over its keys.
struct Source<'a, V> {
    json: &'a Value,
    variable: &'a V,
}

/// A text of the configuration, and where it was found.
struct Text {
    key: &'static str,
    value: String,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    /// What the variable says, or else the key of the file.
    fn text(&self, variable: &'static str, key: &'static str) -> Result<Text, ConfigError> {
        match (self.variable)(variable) {
            Some(value) => Ok(Text { key: variable, value }),
            None => Ok(Text { key, value: text_at(self.json, key)?.to_owned() }),
        }
    }

    /// The admin interface's address, which need not be there.
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

/// The settings of the decisions, and whether the endpoint list is pushed to an agent of the node's own.
fn decode_settings(map: &SettingsMap) -> Result<(Settings, bool), ConfigError> {
    let settings = glendeck_settings::settings(map)?;
    let list_is_pushed = settings.poll_interval.is_none();
    let settings = Settings {
        // The settings promise message times, but lines between nodes and hosts carry none, and the decisions
        // would wait for them while hosts go under.
        reports_message_times: false,
        poll_interval: Some(endpoint_list::poll_interval(settings.poll_interval)),
        ..settings
    };
    Ok((settings, list_is_pushed))
}

/// The longest time that a client of any class waits.
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
        Some(key) => {
            Err(bad(&format!("fleet.{key}"), "set", "one of listen, peers, folder, version, charter"))
        }
        None => Ok(()),
    }
}

/// Reads the policy that the fleet was founded on, of which this node has to be a unit.
fn read_policy(path: &str, name: &str) -> Result<FleetPolicy, ConfigError> {
    let unreadable = |fault: String| ConfigError::FleetPolicy { path: path.to_owned(), fault };
    let text = std::fs::read_to_string(path).map_err(|fault| unreadable(fault.to_string()))?;
    let policy: FleetPolicy = toml::from_str(&text).map_err(|fault| unreadable(fault.to_string()))?;
    policy.check()?;
    if !policy.units.contains_key(&UnitName(name.to_owned())) {
        return Err(bad("fleet.charter", path, "a file whose units have this node's name"));
    }
    Ok(policy)
}

fn decode_peers(json: &Value) -> Result<BTreeMap<UnitName, SocketAddr>, ConfigError> {
    let peers = json.get("peers").and_then(Value::as_object).ok_or_else(|| missing("fleet.peers"))?;
    let mut addresses = BTreeMap::new();
    for (peer, value) in peers {
        let key = format!("fleet.peers.{peer}");
        let text = value.as_str().ok_or_else(|| bad(&key, &value.to_string(), ADDRESS))?;
        addresses.insert(UnitName(peer.clone()), parse_address(&key, text)?);
    }
    Ok(addresses)
}

fn descriptors(json: &Value) -> Result<usize, ConfigError> {
    let limit = json.pointer("/limits/sockets").filter(|limit| !limit.is_null());
    let Some(limit) = limit else { return Ok(DEFAULT_DESCRIPTORS) };
    match limit.as_u64().filter(|number| DESCRIPTORS.contains(number)) {
        Some(number) => Ok(number as usize),
        None => Err(bad("limits.sockets", &limit.to_string(), "a whole number from 64 on")),
    }
}

// Values of the file, by their keys.

fn missing(key: &str) -> ConfigError {
    ConfigError::Missing { key: key.to_owned() }
}

fn bad(key: &str, value: &str, expected: &'static str) -> ConfigError {
    ConfigError::Bad { key: key.to_owned(), value: format!("{value:?}"), expected }
}

/// The value of a key that may be missing or null.
fn present<'a>(json: &'a Value, key: &str) -> Option<&'a Value> {
    json.get(key).filter(|value| !value.is_null())
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| bad(key, text, ADDRESS))
}

fn text_at<'a>(json: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = json.get(key).ok_or_else(|| missing(key))?;
    value.as_str().ok_or_else(|| bad(key, &value.to_string(), "text"))
}

fn fleet_text<'a>(fleet: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let full_key = format!("fleet.{key}");
    let value = fleet.get(key).ok_or_else(|| missing(&full_key))?;
    value.as_str().ok_or_else(|| bad(&full_key, &value.to_string(), "text"))
}

fn items<'a>(settings: &'a Value, key: &str) -> Result<&'a [Value], ConfigError> {
    let full_key = format!("settings.{key}");
    let value = settings.get(key).ok_or_else(|| missing(&full_key))?;
    let items = value.as_array().map(Vec::as_slice);
    items.ok_or_else(|| bad(&full_key, &value.to_string(), "a list"))
}

/// A list of texts.
fn texts(settings: &Value, key: &str) -> Result<Vec<String>, ConfigError> {
    let text = |item: &Value| item.as_str().map(str::to_owned);
    let texts: Option<Vec<String>> = items(settings, key)?.iter().map(text).collect();
    texts.ok_or_else(|| bad(&format!("settings.{key}"), "its items", "names"))
}

/// The names of a list's objects.
fn names(settings: &Value, key: &str) -> Result<Vec<String>, ConfigError> {
    let name = |item: &Value| item.get("name").and_then(Value::as_str).map(str::to_owned);
    let names: Option<Vec<String>> = items(settings, key)?.iter().map(name).collect();
    names.ok_or_else(|| bad(&format!("settings.{key}"), "its items", "objects with a name"))
}
