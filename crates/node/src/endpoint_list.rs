//! The host list, watched: what it misses, and for how long at most.

use std::net::SocketAddr;

use glendeck::domain::{Cell, Condition, Endpoint, HostId, Kind, ListUpdate, Span, Time, Weight, Zone};
use serde_json::Value;
use tracing::{debug, warn};

use crate::config::host_id;
use crate::connection::{Connection, Got};
use crate::http::response::{ResponseReader, encode_get};
use crate::service::{ConnectionId, Service, SocketRole, TimerEvent};

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    #[error("the list lacks {0}")]
    Missing(&'static str),
    #[error("the list has an unusable {0}")]
    Bad(&'static str),
}

/// What was told of the hosts: all of them, or what changed.
#[derive(Debug)]
pub struct EndpointListUpdate {
    pub index: u64,
    pub update: ListUpdate,
    pub lines: Vec<Endpoint>,
    pub addresses: Vec<(HostId, SocketAddr)>,
}

/// How far the list is known, and the watch on it.
#[derive(Default)]
pub struct EndpointListClient {
    index: Option<u64>,
    /// Its service has answered since the start.
    pub heard: bool,
    /// The line of the watch; without one, it is asked for again when the decisions say so.
    watch: Option<ConnectionId>,
    /// The watch fell silent and was opened anew, and nothing has come since.
    anew: bool,
    /// The decisions know that the watch stands.
    stands: bool,
    /// What has come of the answer.
    arriving: ResponseReader,
}

const PATH: &str = "/registry/instances";

/// A change counts as told so long after the list's service had it and could be reached, whatever failed meanwhile. This
/// is the one bound on the list's age: a line that died silently is noticed when its watch should have ended and
/// was not answered, and opened anew, and the answer to that may wait in the service's queue. Danger: watches of 20 s were
/// noticed after 21.5 s, and calls went to hosts that had drained long before.
const TOLD_WITHIN: Span = Span::ms(6_000);

/// How long a watch may wait: what the others leave of the bound. A call that comes at once after an answer goes on with the
/// watch and costs the service little; after a rest it would be a new one, and 300 of these were more than it bears. Each waits another
/// part of this, or nodes whose watches end with one change would ask in step from then on.
const WATCH: Span = Span::ms(1_200);
const LEAST_WATCH: f64 = 0.6;

/// A watch whose wait is over is answered at once; more is a line that has fallen silent.
const AFTER_WAIT: Span = Span::ms(1_000);

/// Answers wait in the service's queue for up to 3 s or fail there; past this nothing will come. Danger: whoever gives up sooner asks
/// again, the service has done its work for nobody, and never catches up: with 2.1 s lists were 20 s old.
const PATIENCE: Span = Span::ms(3_200);

/// What is left is for the loop and the network; the grace that settings give comes on top.
const _: () = assert!(WATCH.0 + AFTER_WAIT.0 + PATIENCE.0 <= TOLD_WITHIN.0 - 500_000_000);

/// What the decisions spread first questions and wait between refused ones by, at the most. Where the list is asked for:
/// refused questions are put again after 1.2 s at the latest, which leaves time for three in [`TOLD_WITHIN`]. Where it is pushed,
/// what the node's agent has counts as told at once, and only the agent is asked: within a tenth of a second.
const ASKED_WITHIN: Span = Span::ms(3_000);
const PUSHED_WITHIN: Span = Span::ms(250);

/// Within what time the list is to be asked for on sockets. Danger: nothing comes unasked here but what a watch
/// brings, and a node that waited for a push would never hear of its hosts: a watch stands under either mode.
pub fn poll_interval(settings: Option<Span>) -> Span {
    settings.map_or(PUSHED_WITHIN, |told| told.min(ASKED_WITHIN))
}

pub fn decode(json: &Value, zones: &[String]) -> Result<EndpointListUpdate, EndpointListError> {
    let index = json.get("index").and_then(Value::as_u64).ok_or(EndpointListError::Missing("index"))?;
    let whole =
        json.get("snapshot").and_then(Value::as_bool).ok_or(EndpointListError::Missing("snapshot"))?;
    let entries =
        json.get("endpoints").and_then(Value::as_array).ok_or(EndpointListError::Missing("endpoints"))?;
    let update = if whole { ListUpdate::Complete } else { ListUpdate::Delta };
    let mut told = EndpointListUpdate { index, update, lines: Vec::new(), addresses: Vec::new() };
    for entry in entries {
        // Danger: one entry that cannot be read must not keep the node from all others.
        match line(entry, zones) {
            Ok((listed, address)) => {
                told.lines.push(listed);
                told.addresses.extend(address.map(|address| (listed.host, address)));
            }
            Err(fault) => warn!(%fault, %entry, "passing over an entry"),
        }
    }
    Ok(told)
}

/// What an entry says of its host, if that can be read.
pub fn condition(entry: &Value) -> Option<Condition> {
    match entry.get("status").and_then(Value::as_str) {
        Some("in_service") => Some(Condition::Ready),
        Some("terminating") => Some(Condition::Draining),
        Some("terminated") => Some(Condition::Gone),
        _ => None,
    }
}

fn line(entry: &Value, zones: &[String]) -> Result<(Endpoint, Option<SocketAddr>), EndpointListError> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let number = |key, absent| entry.get(key).map_or(Some(absent), Value::as_f64).filter(|n| *n >= 0.0);
    let condition = condition(entry).ok_or(EndpointListError::Bad("status"))?;
    let address = text("address").and_then(|address| address.parse().ok());
    if address.is_none() && condition != Condition::Gone {
        return Err(EndpointListError::Bad("address"));
    }
    // A zone that the settings do not name is no zone of ours.
    let zone = zones.iter().position(|zone| Some(zone.as_str()) == text("zone")).unwrap_or(zones.len());
    let since = number("since_ms", 0.0).ok_or(EndpointListError::Bad("since_ms"))?;
    let listed = Endpoint {
        host: host_id(text("name").ok_or(EndpointListError::Missing("name"))?),
        zone: Zone(zone as u16),
        cell: Cell(entry.get("group").and_then(Value::as_u64).unwrap_or(0) as u16),
        condition,
        weight: Weight(number("weight", 1.0).ok_or(EndpointListError::Bad("weight"))?),
        kind: text("type").map(|kind| Kind(crate::protocol::numbered(kind))),
        up_since: Some(Time((since * 1e6) as u64)).filter(|up| up.0 > 0),
    };
    Ok((listed, address))
}

impl EndpointListClient {
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    pub fn set_index(&mut self, index: u64) {
        self.index = Some(index);
    }
}

impl Service {
    /// The list as it was known before the start; it may be old.
    pub fn remember_list(&mut self, known: EndpointListUpdate) {
        self.hosts.learn(&known);
        let now = self.now;
        self.tell(|node, port| node.endpoints_changed(now, ListUpdate::Cached, &known.lines, port));
    }

    /// While a watch stands there is nothing to ask: what changes will be told, within [`TOLD_WITHIN`].
    pub fn begin_watch(&mut self) {
        if self.list.watch.is_none() {
            // The first call does not wait: what is known may be old, and the answer says the watch stands.
            self.list.watch = self.ask_list(Span::ZERO);
            if self.list.watch.is_none() {
                self.list_failures += 1;
            }
        }
    }

    /// The list's service is at another address now. Danger: versions are each service's own, so what was
    /// known of the old one's must not be asked from, and an answer that is still on its way must not undo
    /// what the new one says. The old watch ends here, which is no failure; hosts stay until the new list.
    pub fn follow_elsewhere(&mut self) {
        if let Some(id) = std::mem::take(&mut self.list).watch {
            self.close_connection(id);
        }
        self.begin_watch();
    }

    fn ask_list(&mut self, wait: Span) -> Option<ConnectionId> {
        self.list.arriving = ResponseReader::default();
        match Connection::connect(self.config.discovery) {
            Ok(connection) => {
                let id = self.add_connection(connection, SocketRole::EndpointListClient(self.now))?;
                self.put_question(id, wait);
                Some(id)
            }
            Err(fault) => {
                debug!(%fault, "cannot reach discovery");
                None
            }
        }
    }

    fn put_question(&mut self, id: ConnectionId, wait: Span) {
        let path = match self.list.index {
            Some(index) => format!("{PATH}?after={index}&wait_ms={}", wait.0 / 1_000_000),
            _ => PATH.to_owned(),
        };
        let limit = self.now + wait + if wait > Span::ZERO { AFTER_WAIT } else { PATIENCE };
        let authority = self.config.discovery.to_string();
        if let Some(seat) = self.sockets.get_mut(id.0) {
            seat.role = SocketRole::EndpointListClient(limit);
            encode_get(&path, &authority, &mut seat.connection.outbox);
        }
        self.timers.set(limit, TimerEvent::ListLimit(id));
        self.pump(id);
    }

    pub fn list_limit(&mut self, id: ConnectionId) {
        if let Some(SocketRole::EndpointListClient(limit)) = self.role(id)
            && self.now >= limit
        {
            warn!("discovery does not answer");
            // A line that has fallen silent is no refusal, and nodes' lines do so at moments of their own.
            if std::mem::replace(&mut self.list.anew, true) {
                return self.list_lost(id);
            }
            self.close_connection(id);
            self.list.watch = None;
            self.begin_watch();
        }
    }

    /// The one way in which a question fails: refused, broken, unreadable or never answered.
    pub fn list_lost(&mut self, id: ConnectionId) {
        self.close_connection(id);
        self.list.watch = None;
        self.list.stands = false;
        self.fleet_lost_list();
        let now = self.now;
        self.tell(|node, port| node.watch_failed(now, port));
    }

    pub fn list_came(&mut self, id: ConnectionId, got: Got) {
        let ended = match got {
            Got::Bytes(n) => {
                let Some(seat) = self.sockets.get_mut(id.0) else { return };
                seat.connection.inbox.extend_from_slice(&self.scratch[..n]);
                false
            }
            Got::NothingYet => return,
            Got::End => true,
        };
        let Some(seat) = self.sockets.get_mut(id.0) else { return };
        let reply = match self.list.arriving.read(&mut seat.connection.inbox, ended) {
            Ok(Some(reply)) if reply.status == 200 => reply,
            Ok(None) => return,
            other => {
                let status = other.as_ref().ok().and_then(|reply| reply.as_ref().map(|reply| reply.status));
                debug!(status, fault = ?other.err(), "a call for the list failed");
                return self.list_lost(id);
            }
        };
        let json = serde_json::from_slice(&reply.body).map_err(|_| EndpointListError::Bad("JSON text"));
        let decoded = json.and_then(|json| Ok((decode(&json, &self.config.zones)?, json)));
        let told = match decoded {
            Ok((told, json)) => {
                self.tell_fleet_hosts(&told, &json);
                told
            }
            Err(fault) => {
                warn!(%fault, "the list cannot be read");
                return self.list_lost(id);
            }
        };
        // The next call goes out before anything is done with the news, so that the watch goes on.
        // Danger: a service that began anew counts from the start again; its whole list is the newest there is, and a
        // node that held on to its own version would never hear again. Changes to an older list are none.
        self.list.anew = false;
        let whole = told.update == ListUpdate::Complete;
        let mine = self.list.index.filter(|mine| !whole && told.index < *mine);
        self.list.index = mine.or(Some(told.index));
        let wait = WATCH.times(LEAST_WATCH + (1.0 - LEAST_WATCH) * self.chance());
        if reply.keeps_open && !ended {
            self.put_question(id, wait);
        } else {
            self.close_connection(id);
            self.list.watch = self.ask_list(wait);
        }
        self.take_news(if mine.is_some() {
            EndpointListUpdate { lines: vec![], addresses: vec![], ..told }
        } else {
            told
        });
        if self.list.watch.is_none() {
            self.list.stands = false;
            let now = self.now;
            self.tell(|node, port| node.watch_failed(now, port));
        }
    }

    fn take_news(&mut self, told: EndpointListUpdate) {
        debug!(
            index = told.index,
            whole = told.update == ListUpdate::Complete,
            lines = told.lines.len(),
            "list"
        );
        let left = self.hosts.learn(&told);
        self.list.heard = true;
        let now = self.now;
        let lines: Vec<Endpoint> = told.lines.iter().map(|line| self.hosts.overlaid(line)).collect();
        // A watch that ends with nothing new is no event: for it the decisions would go through all hosts and all
        // waiting calls every second.
        let known = std::mem::replace(&mut self.list.stands, true);
        if !known || told.update == ListUpdate::Complete || !lines.is_empty() {
            self.tell(|node, port| node.endpoints_changed(now, told.update, &lines, port));
        }
        for host in left {
            self.send_clients_away(host);
        }
        self.ready_now();
    }
}
