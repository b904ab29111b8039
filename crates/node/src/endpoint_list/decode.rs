//! Decodes the JSON of the endpoint list.

use std::net::SocketAddr;

use glendeck::domain::{Cell, Condition, Endpoint, Kind, ListUpdate, Time, Weight, Zone};
use serde_json::Value;
use tracing::warn;

use super::{EndpointListError, EndpointListUpdate};
use crate::config::host_id;
use crate::hash::hash_name;

const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;

/// Decodes a list; `zones` holds the zone names in the order of their numbers.
///
/// An invalid entry is skipped, as it must not make all others unusable.
///
/// # Errors
///
/// Fails if the list lacks `index`, `snapshot` or `endpoints`, or one of them has the wrong type.
pub(crate) fn decode(json: &Value, zones: &[String]) -> Result<EndpointListUpdate, EndpointListError> {
    let index = json.get("index").and_then(Value::as_u64).ok_or(EndpointListError::Missing("index"))?;
    let is_complete =
        json.get("snapshot").and_then(Value::as_bool).ok_or(EndpointListError::Missing("snapshot"))?;
    let entries =
        json.get("endpoints").and_then(Value::as_array).ok_or(EndpointListError::Missing("endpoints"))?;
    let update = if is_complete { ListUpdate::Complete } else { ListUpdate::Delta };
    let mut endpoints = Vec::new();
    let mut addresses = Vec::new();
    for entry in entries {
        match decode_entry(entry, zones) {
            Ok((endpoint, address)) => {
                endpoints.push(endpoint);
                addresses.extend(address.map(|address| (endpoint.host, address)));
            }
            Err(cause) => warn!(%cause, %entry, "endpoint list entry skipped"),
        }
    }
    Ok(EndpointListUpdate { index, update, endpoints, addresses })
}

/// The condition of an entry's host; `None` if `status` is missing or unknown.
pub(crate) fn condition(entry: &Value) -> Option<Condition> {
    match entry.get("status").and_then(Value::as_str) {
        Some("in_service") => Some(Condition::Ready),
        Some("terminating") => Some(Condition::Draining),
        Some("terminated") => Some(Condition::Gone),
        _ => None,
    }
}

/// Decodes one entry. A host that has gone needs no address.
fn decode_entry(
    entry: &Value,
    zones: &[String],
) -> Result<(Endpoint, Option<SocketAddr>), EndpointListError> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let condition = condition(entry).ok_or(EndpointListError::Invalid("status"))?;
    let address = text("address").and_then(|address| address.parse().ok());
    if address.is_none() && condition != Condition::Gone {
        return Err(EndpointListError::Invalid("address"));
    }
    // A zone that the settings do not name gets the first number that no zone of the settings has.
    let zone = zones.iter().position(|zone| Some(zone.as_str()) == text("zone")).unwrap_or(zones.len());
    let since_ms = non_negative_number(entry, "since_ms", 0.0)?;
    let endpoint = Endpoint {
        host: host_id(text("name").ok_or(EndpointListError::Missing("name"))?),
        zone: Zone(zone as u16),
        cell: Cell(entry.get("group").and_then(Value::as_u64).unwrap_or(0) as u16),
        condition,
        weight: Weight(non_negative_number(entry, "weight", 1.0)?),
        kind: text("type").map(|kind| Kind(hash_name(kind))),
        started_at: Some(Time((since_ms * NANOSECONDS_PER_MILLISECOND) as u64)).filter(|up| up.0 > 0),
    };
    Ok((endpoint, address))
}

/// The non-negative number under `key`, or `default` if the entry lacks it.
fn non_negative_number(entry: &Value, key: &'static str, default: f64) -> Result<f64, EndpointListError> {
    let number = entry.get(key).map_or(Some(default), Value::as_f64);
    number.filter(|number| *number >= 0.0).ok_or(EndpointListError::Invalid(key))
}
