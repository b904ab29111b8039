//! What a process knows of its hosts and clients, as JSON for its successor.

use std::net::SocketAddr;

use glendeck::domain::{
    Cell, Condition, Endpoint, HostId, HostSnapshot, Kind, ListUpdate, NodeSnapshot, Size, SubjectId, Time,
    Weight, Zone,
};
use serde::{Deserialize, Deserializer, Serialize};

use crate::endpoint_list::EndpointListUpdate;

/// Clients whose loads go over at most.
const MAX_LOADS: usize = 10_000;

/// All that a process tells its successor, but for the sockets.
#[derive(Debug)]
pub(crate) struct HandoverState {
    /// The endpoint list as the process knows it.
    pub list: EndpointListUpdate,
    /// What the decisions know.
    pub node: NodeSnapshot,
    /// Operators have drained the node.
    pub drained: bool,
    /// Names of the zones by their numbers in `list`. A process whose settings were changed while it served
    /// has them in another order than its file.
    pub zones: Vec<String>,
    /// Names of the classes by their numbers in `node`, in another order than the file's for the same reason.
    pub classes: Vec<String>,
}

/// Why a state is not taken over. A state counts whole or not at all: hosts that half a message leaves out
/// would be taken for empty.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StateError {
    /// The message is not the JSON of a state.
    #[error("unreadable state: {0}")]
    Json(#[from] serde_json::Error),
    /// A host's weight is negative.
    #[error("host {host:x} has the weight {weight}")]
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
    /// Fails only where memory does.
    pub(crate) fn encode(&self) -> Result<String, StateError> {
        Ok(serde_json::to_string(&StateMessage::from(self))?)
    }

    /// Reads a state, with the numbers of zones and classes mapped to those of this process's settings.
    ///
    /// # Errors
    ///
    /// Fails if anything in it is missing or cannot be read.
    pub(crate) fn decode(
        message: &[u8],
        zones: &[String],
        classes: &[String],
    ) -> Result<HandoverState, StateError> {
        let message: StateMessage = serde_json::from_slice(message)?;
        message.into_state(zones, classes)
    }
}

/// The JSON of a state. The fields of this struct and of those below stand in alphabetical order, in which
/// they are written.
#[derive(Serialize, Deserialize)]
struct StateMessage {
    arrival: f64,
    drained: bool,
    held: f64,
    hosts: Vec<HostMessage>,
    index: u64,
    list: Vec<EndpointMessage>,
    loads: Vec<(u64, f64)>,
    mean_load: f64,
    #[serde(rename = "of_type")]
    class_loads: Vec<f64>,
    setup: f64,
    size: f64,
    /// Predecessors of an early version send no names: their numbers are those of the file.
    #[serde(rename = "types")]
    classes: Option<Vec<String>>,
    #[serde(rename = "usual_conns")]
    usual_connections: f64,
    usual_size: f64,
    /// As with `classes`.
    zones: Option<Vec<String>>,
}

#[derive(Serialize, Deserialize)]
struct EndpointMessage {
    address: SocketAddr,
    cell: u16,
    condition: ConditionMessage,
    host: u64,
    /// Predecessors of an early version send none.
    kind: Option<u64>,
    #[serde(rename = "share")]
    weight: f64,
    /// Start of the host, in nanoseconds of Unix time.
    #[serde(rename = "up", deserialize_with = "required")]
    up_since: Option<u64>,
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
    answers: f64,
    aside: bool,
    budget: f64,
    held: f64,
    host: u64,
    #[serde(deserialize_with = "required")]
    limit: Option<f64>,
    /// Predecessors of an early version send none.
    nominal: Option<f64>,
    open: f64,
    smoothed: f64,
    strain: f64,
}

/// Reads an optional value whose key must be there; `serde` takes a missing key for none otherwise.
fn required<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<Option<T>, D::Error> {
    Option::deserialize(deserializer)
}

impl From<&HandoverState> for StateMessage {
    fn from(state: &HandoverState) -> StateMessage {
        let node = &state.node;
        let addresses = state.list.addresses.iter().map(|(_, address)| *address);
        let endpoints = state.list.endpoints.iter().zip(addresses);
        let loads = node.loads.iter().take(MAX_LOADS);
        StateMessage {
            arrival: node.new_client_rate,
            drained: state.drained,
            held: node.connections_per_size,
            hosts: node.hosts.iter().map(HostMessage::from).collect(),
            index: state.list.index,
            list: endpoints.map(|(endpoint, address)| EndpointMessage::new(endpoint, address)).collect(),
            loads: loads.map(|(subject, load)| (subject.0, *load)).collect(),
            mean_load: node.mean_load,
            class_loads: node.mean_load_by_class.clone(),
            setup: node.setup_time,
            size: node.ready_size,
            classes: Some(state.classes.clone()),
            usual_connections: node.usual_connections,
            usual_size: node.usual_ready_size,
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
        let of_type = match &self.classes {
            Some(sent) => reorder_by_name(&self.class_loads, sent, classes),
            None => self.class_loads,
        };
        let node = NodeSnapshot {
            hosts: self.hosts.into_iter().map(HostSnapshot::from).collect(),
            loads: self.loads.into_iter().map(|(subject, load)| (SubjectId(subject), load)).collect(),
            mean_load: self.mean_load,
            mean_load_by_class: of_type,
            new_client_rate: self.arrival,
            connections_per_size: self.held,
            usual_connections: self.usual_connections,
            ready_size: self.size,
            usual_ready_size: self.usual_size,
            setup_time: self.setup,
        };
        Ok(HandoverState {
            list,
            node,
            drained: self.drained,
            zones: self.zones.unwrap_or_default(),
            classes: self.classes.unwrap_or_default(),
        })
    }
}

/// Values in the order of `names`, from values in the order of `sent`; zero for a name that was not sent.
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
            up_since: endpoint.started_at.map(|up_since| up_since.0),
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
            started_at: self.up_since.map(Time),
        })
    }
}

/// A zone's number in `zones`; one past the last for a zone that the settings do not name, which is no zone
/// of ours.
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
            answers: host.usual_probe_time,
            aside: host.is_ejected,
            budget: host.slow_start_budget,
            held: host.remote_load,
            host: host.host.0,
            limit: host.load_limit,
            nominal: host.size.map(|size| size.0),
            open: host.connections,
            smoothed: host.smoothed_load,
            strain: host.overload_penalty,
        }
    }
}

impl From<HostMessage> for HostSnapshot {
    fn from(message: HostMessage) -> HostSnapshot {
        HostSnapshot {
            host: HostId(message.host),
            connections: message.open,
            smoothed_load: message.smoothed,
            load_limit: message.limit,
            overload_penalty: message.strain,
            is_ejected: message.aside,
            slow_start_budget: message.budget,
            remote_load: message.held,
            usual_probe_time: message.answers,
            size: message.nominal.map(Size),
        }
    }
}
