//! A process's knowledge of its hosts and clients, encoded as JSON for its successor.

use std::net::SocketAddr;

use glendeck::domain::{
    Cell, Condition, Endpoint, HostId, HostSnapshot, Kind, ListUpdate, NodeSnapshot, Size, Span, SubjectId,
    Time, Weight, Zone,
};
use serde::{Deserialize, Deserializer, Serialize};

use crate::endpoint_list::EndpointListUpdate;

/// Maximum number of clients whose loads are handed over.
const MAX_LOADS: usize = 10_000;

/// Everything that a process hands to its successor, except the sockets.
#[derive(Debug)]
pub(crate) struct HandoverState {
    /// The endpoint list as the process knows it.
    pub list: EndpointListUpdate,
    /// Snapshot of the decision logic, [`glendeck::Node`].
    pub node: NodeSnapshot,
    /// Time since the start of the node's drain; `None` if it is in service.
    pub drain_elapsed: Option<Span>,
    /// The number of the drain's last change. `None` if the process is of an early version, which does not follow
    /// changes that its successor reports.
    pub drain_number: Option<u32>,
    /// Names of the zones, indexed by their numbers in `list`. After the settings of a serving process have
    /// been reloaded, their order can differ from that in its file.
    pub zones: Vec<String>,
    /// Names of the classes, indexed by their numbers in `node`; their order can differ from the file's too.
    pub classes: Vec<String>,
}

/// Error from encoding or decoding a state. A state is used whole or not at all, as hosts that are missing
/// from a partial one would count as having no connections.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StateError {
    /// The message is not the JSON of a state.
    #[error("invalid state: {0}")]
    Json(#[from] serde_json::Error),
    /// A host's weight is negative.
    #[error("host {host:x} has the negative weight {weight}")]
    Weight {
        /// The host's id.
        host: u64,
        /// Its weight in the message.
        weight: f64,
    },
}

impl HandoverState {
    /// The state as JSON, without whitespace.
    ///
    /// # Errors
    ///
    /// Fails only if memory cannot be allocated.
    pub(crate) fn encode(&self) -> Result<String, StateError> {
        Ok(serde_json::to_string(&StateMessage::from(self))?)
    }

    /// Decodes a state, and maps the numbers of its zones and classes to those of this process's settings.
    ///
    /// # Errors
    ///
    /// Fails if the message is not the JSON of a state, lacks a required key, or has a negative weight.
    pub(crate) fn decode(
        message: &[u8],
        zones: &[String],
        classes: &[String],
    ) -> Result<HandoverState, StateError> {
        let message: StateMessage = serde_json::from_slice(message)?;
        message.into_state(zones, classes)
    }
}

/// The JSON of a state. The fields of this struct and of those below are in the alphabetical order of their
/// JSON keys, in which they are written.
#[derive(Serialize, Deserialize)]
struct StateMessage {
    #[serde(rename = "arrival")]
    new_client_rate: f64,
    /// Nanoseconds since the start of the drain. Not sent by predecessors of an early version: their drain
    /// counts as started now.
    #[serde(rename = "drain_ns", default, skip_serializing_if = "is_zero")]
    drain_elapsed_ns: u64,
    /// Not sent by predecessors of an early version, which do not follow changes of the drain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    drain_number: Option<u32>,
    drained: bool,
    #[serde(rename = "held")]
    connections_per_size: f64,
    hosts: Vec<HostMessage>,
    index: u64,
    list: Vec<EndpointMessage>,
    loads: Vec<(u64, f64)>,
    mean_load: f64,
    #[serde(rename = "of_type")]
    mean_load_by_class: Vec<f64>,
    #[serde(rename = "setup")]
    setup_time: f64,
    #[serde(rename = "size")]
    ready_size: f64,
    /// Predecessors of an early version send no names: their numbers follow the order in the file.
    #[serde(rename = "types")]
    classes: Option<Vec<String>>,
    #[serde(rename = "usual_conns")]
    usual_connections: f64,
    #[serde(rename = "usual_size")]
    usual_ready_size: f64,
    /// Not sent by predecessors of an early version, as with `classes`.
    zones: Option<Vec<String>>,
}

#[derive(Serialize, Deserialize)]
struct EndpointMessage {
    address: SocketAddr,
    cell: u16,
    condition: ConditionMessage,
    host: u64,
    /// Not sent by predecessors of an early version.
    kind: Option<u64>,
    #[serde(rename = "share")]
    weight: f64,
    /// When the host started, in nanoseconds of Unix time.
    #[serde(rename = "up", deserialize_with = "required")]
    started_at: Option<u64>,
    zone: u16,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ConditionMessage {
    Ready,
    Draining,
}

#[derive(Serialize, Deserialize)]
struct HostMessage {
    #[serde(rename = "answers")]
    usual_probe_time: f64,
    #[serde(rename = "aside")]
    is_ejected: bool,
    #[serde(rename = "budget")]
    slow_start_budget: f64,
    #[serde(rename = "held")]
    remote_load: f64,
    host: u64,
    #[serde(rename = "limit", deserialize_with = "required")]
    load_limit: Option<f64>,
    /// Not sent by predecessors of an early version.
    #[serde(rename = "nominal")]
    size: Option<f64>,
    #[serde(rename = "open")]
    connections: f64,
    #[serde(rename = "smoothed")]
    smoothed_load: f64,
    #[serde(rename = "strain")]
    overload_penalty: f64,
}

/// Deserializes an optional value whose key must be present; by default `serde` reads a missing key as
/// `None`.
fn required<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<Option<T>, D::Error> {
    Option::deserialize(deserializer)
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl From<&HandoverState> for StateMessage {
    fn from(state: &HandoverState) -> StateMessage {
        let node = &state.node;
        let addresses = state.list.addresses.iter().map(|(_, address)| *address);
        let endpoints = state.list.endpoints.iter().zip(addresses);
        let loads = node.loads.iter().take(MAX_LOADS);
        StateMessage {
            new_client_rate: node.new_client_rate,
            drain_elapsed_ns: state.drain_elapsed.map_or(0, |elapsed| elapsed.0),
            drain_number: state.drain_number,
            drained: state.drain_elapsed.is_some(),
            connections_per_size: node.connections_per_size,
            hosts: node.hosts.iter().map(HostMessage::from).collect(),
            index: state.list.index,
            list: endpoints.map(|(endpoint, address)| EndpointMessage::new(endpoint, address)).collect(),
            loads: loads.map(|(subject, load)| (subject.0, *load)).collect(),
            mean_load: node.mean_load,
            mean_load_by_class: node.mean_load_by_class.clone(),
            setup_time: node.setup_time,
            ready_size: node.ready_size,
            classes: Some(state.classes.clone()),
            usual_connections: node.usual_connections,
            usual_ready_size: node.usual_ready_size,
            zones: Some(state.zones.clone()),
        }
    }
}

impl StateMessage {
    fn into_state(self, zones: &[String], classes: &[String]) -> Result<HandoverState, StateError> {
        let sent_zones = self.zones.as_deref();
        let addresses = self.list.iter().map(|endpoint| (HostId(endpoint.host), endpoint.address)).collect();
        let endpoints = self.list.iter().map(|endpoint| endpoint.to_endpoint(sent_zones, zones));
        let list = EndpointListUpdate {
            index: self.index,
            update: ListUpdate::Complete,
            endpoints: endpoints.collect::<Result<_, _>>()?,
            addresses,
        };
        let mean_load_by_class = match &self.classes {
            Some(sent) => reorder_by_name(&self.mean_load_by_class, sent, classes),
            None => self.mean_load_by_class,
        };
        let node = NodeSnapshot {
            hosts: self.hosts.into_iter().map(HostSnapshot::from).collect(),
            loads: self.loads.into_iter().map(|(subject, load)| (SubjectId(subject), load)).collect(),
            mean_load: self.mean_load,
            mean_load_by_class,
            new_client_rate: self.new_client_rate,
            connections_per_size: self.connections_per_size,
            usual_connections: self.usual_connections,
            ready_size: self.ready_size,
            usual_ready_size: self.usual_ready_size,
            setup_time: self.setup_time,
        };
        Ok(HandoverState {
            list,
            node,
            drain_elapsed: self.drained.then_some(Span(self.drain_elapsed_ns)),
            drain_number: self.drain_number,
            zones: self.zones.unwrap_or_default(),
            classes: self.classes.unwrap_or_default(),
        })
    }
}

/// Reorders values from the order of the names `sent` to that of `names`; the value is 0 for a name that was
/// not sent.
fn reorder_by_name(values: &[f64], sent: &[String], names: &[String]) -> Vec<f64> {
    let value = |name: &String| {
        let index = sent.iter().position(|known| known == name)?;
        values.get(index).copied()
    };
    names.iter().map(|name| value(name).unwrap_or_default()).collect()
}

impl EndpointMessage {
    fn new(endpoint: &Endpoint, address: SocketAddr) -> EndpointMessage {
        EndpointMessage {
            address,
            cell: endpoint.cell.0,
            condition: match endpoint.condition {
                Condition::Ready => ConditionMessage::Ready,
                Condition::Draining | Condition::Gone => ConditionMessage::Draining,
            },
            host: endpoint.host.0,
            kind: endpoint.kind.map(|kind| kind.0),
            weight: endpoint.weight.0,
            started_at: endpoint.started_at.map(|started_at| started_at.0),
            zone: endpoint.zone.0,
        }
    }

    fn to_endpoint(&self, sent_zones: Option<&[String]>, zones: &[String]) -> Result<Endpoint, StateError> {
        if self.weight < 0.0 {
            return Err(StateError::Weight { host: self.host, weight: self.weight });
        }
        Ok(Endpoint {
            host: HostId(self.host),
            zone: map_zone(self.zone, sent_zones, zones),
            cell: Cell(self.cell),
            condition: match self.condition {
                ConditionMessage::Ready => Condition::Ready,
                ConditionMessage::Draining => Condition::Draining,
            },
            weight: Weight(self.weight),
            kind: self.kind.map(Kind),
            started_at: self.started_at.map(Time),
        })
    }
}

/// Maps a predecessor's zone number to this process's. A zone that is not in the settings gets the number
/// after the last, which stands for no known zone. Without `sent_zones`, both processes number the zones
/// alike.
fn map_zone(zone: u16, sent_zones: Option<&[String]>, zones: &[String]) -> Zone {
    let Some(sent_zones) = sent_zones else {
        return Zone(zone.min(zones.len() as u16));
    };
    let name = sent_zones.get(usize::from(zone));
    let index = zones.iter().position(|known| Some(known) == name);
    Zone(index.unwrap_or(zones.len()) as u16)
}

impl From<&HostSnapshot> for HostMessage {
    fn from(host: &HostSnapshot) -> HostMessage {
        HostMessage {
            usual_probe_time: host.usual_probe_time,
            is_ejected: host.is_ejected,
            slow_start_budget: host.slow_start_budget,
            remote_load: host.remote_load,
            host: host.host.0,
            load_limit: host.load_limit,
            size: host.size.map(|size| size.0),
            connections: host.connections,
            smoothed_load: host.smoothed_load,
            overload_penalty: host.overload_penalty,
        }
    }
}

impl From<HostMessage> for HostSnapshot {
    fn from(message: HostMessage) -> HostSnapshot {
        HostSnapshot {
            host: HostId(message.host),
            connections: message.connections,
            smoothed_load: message.smoothed_load,
            load_limit: message.load_limit,
            overload_penalty: message.overload_penalty,
            is_ejected: message.is_ejected,
            slow_start_budget: message.slow_start_budget,
            remote_load: message.remote_load,
            usual_probe_time: message.usual_probe_time,
            size: message.size.map(Size),
        }
    }
}
