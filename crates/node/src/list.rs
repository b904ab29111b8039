//! The host list: asked for once, or watched.

use std::net::SocketAddr;

use glendeck::domain::{Cell, Condition, Extent, HostId, Kind, Listed, Span, Time, Weight, Zone};
use serde_json::Value;
use tracing::{debug, warn};

use crate::config::host_id;
use crate::conn::{Conn, Got};
use crate::http::{self, Arriving};
use crate::service::{ConnId, Due, Role, Service};

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ListFault {
    #[error("the list lacks {0}")]
    Missing(&'static str),
    #[error("the list has an unusable {0}")]
    Bad(&'static str),
}

/// What was told of the hosts: all of them, or what changed.
#[derive(Debug)]
pub struct Told {
    pub index: u64,
    pub extent: Extent,
    pub lines: Vec<Listed>,
    pub addresses: Vec<(HostId, SocketAddr)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Watch,
    Once,
}

/// How far the list is known, and which questions are out.
#[derive(Default)]
pub struct List {
    index: Option<u64>,
    /// Its service has answered since the start.
    pub heard: bool,
    watch: Option<ConnId>,
    once: Option<ConnId>,
    /// The watch fell silent and was opened anew, and nothing has come since.
    anew: bool,
    /// What has come of the answer to each.
    watched: Arriving,
    fetched: Arriving,
}

const PATH: &str = "/registry/instances";

/// How long a watch may wait: each call costs the service work, and a line that died silently is noticed only
/// after it.
const WATCH: Span = Span::ms(20_000);

/// Answers wait in the service's queue for up to 2 s or fail there; past this nothing will come. Danger: what a line that
/// has fallen silent misses counts as told 6 s after: of 300 nodes one waited 4 s, then as long as refused ones spread
/// their next question, and sent a call to a host that had drained 0.6 s before. One that may wait counts as told
/// 2 s after its wait.
const PATIENCE: Span = Span::ms(2_500);
const AFTER_WAIT: Span = Span::ms(1_500);

pub fn decode(json: &Value, zones: &[String]) -> Result<Told, ListFault> {
    let index = json.get("index").and_then(Value::as_u64).ok_or(ListFault::Missing("index"))?;
    let whole = json.get("snapshot").and_then(Value::as_bool).ok_or(ListFault::Missing("snapshot"))?;
    let entries = json.get("endpoints").and_then(Value::as_array).ok_or(ListFault::Missing("endpoints"))?;
    let extent = if whole { Extent::Whole } else { Extent::Changes };
    let mut told = Told { index, extent, lines: Vec::new(), addresses: Vec::new() };
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

fn line(entry: &Value, zones: &[String]) -> Result<(Listed, Option<SocketAddr>), ListFault> {
    let text = |key| entry.get(key).and_then(Value::as_str);
    let number = |key, absent| entry.get(key).map_or(Some(absent), Value::as_f64).filter(|n| *n >= 0.0);
    let condition = condition(entry).ok_or(ListFault::Bad("status"))?;
    let address = text("address").and_then(|address| address.parse().ok());
    if address.is_none() && condition != Condition::Gone {
        return Err(ListFault::Bad("address"));
    }
    // A zone that the settings do not name is no zone of ours.
    let zone = zones.iter().position(|zone| Some(zone.as_str()) == text("zone")).unwrap_or(zones.len());
    let since = number("since_ms", 0.0).ok_or(ListFault::Bad("since_ms"))?;
    let listed = Listed {
        host: host_id(text("name").ok_or(ListFault::Missing("name"))?),
        zone: Zone(zone as u16),
        cell: Cell(entry.get("group").and_then(Value::as_u64).unwrap_or(0) as u16),
        condition,
        weight: Weight(number("weight", 1.0).ok_or(ListFault::Bad("weight"))?),
        kind: text("type").map(|kind| Kind(crate::line::numbered(kind))),
        up_since: Some(Time((since * 1e6) as u64)).filter(|up| up.0 > 0),
    };
    Ok((listed, address))
}

impl List {
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    pub fn set_index(&mut self, index: u64) {
        self.index = Some(index);
    }
}

impl Service {
    /// The list as it was known before the start; it may be old.
    pub fn remember_list(&mut self, known: Told) {
        self.hosts.learn(&known);
        let now = self.now;
        self.tell(|node, port| node.list_told(now, Extent::Remembered, &known.lines, port));
    }

    pub fn begin_watch(&mut self) {
        // While a watch goes on there is nothing to ask: what changes will be told.
        if self.list.watch.is_none() {
            // The first call does not wait: what is known may be old, and the answer says the watch stands.
            self.list.watch = self.ask_list(Ask::Watch, Span::ZERO);
            if self.list.watch.is_none() {
                self.list_failures += 1;
            }
        }
    }

    /// The list's service is at another address now. Danger: versions are each service's own, so what was
    /// known of the old one's must not be asked from, and an answer that is still on its way must not undo
    /// what the new one says. The old watch ends here, which is no failure; hosts stay until the new list.
    pub fn follow_elsewhere(&mut self) {
        let old = std::mem::take(&mut self.list);
        for id in [old.watch, old.once].into_iter().flatten() {
            self.drop_conn(id);
        }
        self.begin_watch();
    }

    pub fn ask_once(&mut self) {
        if self.list.once.is_none() {
            self.list.once = self.ask_list(Ask::Once, Span::ZERO);
        }
    }

    fn ask_list(&mut self, ask: Ask, wait: Span) -> Option<ConnId> {
        match ask {
            Ask::Watch => self.list.watched = Arriving::default(),
            Ask::Once => self.list.fetched = Arriving::default(),
        }
        match Conn::connect(self.startup.discovery) {
            Ok(conn) => {
                let id = self.add_conn(conn, Role::List(ask, self.now))?;
                self.put_question(id, ask, wait);
                Some(id)
            }
            Err(fault) => {
                debug!(%fault, "cannot reach discovery");
                None
            }
        }
    }

    fn put_question(&mut self, id: ConnId, ask: Ask, wait: Span) {
        let path = match (ask, self.list.index) {
            (Ask::Watch, Some(index)) => format!("{PATH}?after={index}&wait_ms={}", wait.0 / 1_000_000),
            _ => PATH.to_owned(),
        };
        let limit = self.now + wait + if wait > Span::ZERO { AFTER_WAIT } else { PATIENCE };
        let authority = self.startup.discovery.to_string();
        if let Some(seat) = self.conns.get_mut(id.0) {
            seat.role = Role::List(ask, limit);
            http::encode_get(&path, &authority, &mut seat.conn.outbox);
        }
        self.deadlines.set(limit, Due::ListLimit(id));
        self.pump(id);
    }

    pub fn list_limit(&mut self, id: ConnId) {
        if let Some(Role::List(ask, limit)) = self.role(id)
            && self.now >= limit
        {
            warn!("discovery does not answer");
            // A line that has fallen silent is no refusal, and nodes' lines do so at moments of their own.
            if ask == Ask::Watch && !std::mem::replace(&mut self.list.anew, true) {
                self.drop_conn(id);
                self.list.watch = None;
                return self.begin_watch();
            }
            self.list_lost(id, ask);
        }
    }

    pub fn list_lost(&mut self, id: ConnId, ask: Ask) {
        self.drop_conn(id);
        match ask {
            Ask::Watch => {
                self.list.watch = None;
                self.fleet_lost_list();
                let now = self.now;
                self.tell(|node, port| node.list_failed(now, port));
            }
            // The decisions ask again by themselves; that the watch has failed would be untrue.
            Ask::Once => self.list.once = None,
        }
    }

    pub fn list_came(&mut self, id: ConnId, ask: Ask, got: Got) {
        let ended = match got {
            Got::Bytes(n) => {
                let Some(seat) = self.conns.get_mut(id.0) else { return };
                seat.conn.inbox.extend_from_slice(&self.scratch[..n]);
                false
            }
            Got::NothingYet => return,
            Got::End => true,
        };
        let Some(seat) = self.conns.get_mut(id.0) else { return };
        let arriving = match ask {
            Ask::Watch => &mut self.list.watched,
            Ask::Once => &mut self.list.fetched,
        };
        let reply = match arriving.read(&mut seat.conn.inbox, ended) {
            Ok(Some(reply)) if reply.status == 200 => reply,
            Ok(None) => return,
            other => {
                let status = other.as_ref().ok().and_then(|reply| reply.as_ref().map(|reply| reply.status));
                debug!(status, fault = ?other.err(), "a call for the list failed");
                return self.list_lost(id, ask);
            }
        };
        let json = serde_json::from_slice(&reply.body).map_err(|_| ListFault::Bad("JSON text"));
        let decoded = json.and_then(|json| Ok((decode(&json, &self.startup.zones)?, json)));
        let told = match decoded {
            Ok((told, json)) => {
                self.tell_fleet_hosts(&told, &json);
                told
            }
            Err(fault) => {
                warn!(%fault, "the list cannot be read");
                return self.list_lost(id, ask);
            }
        };
        // The next call goes out before anything is done with the news, so that the watch goes on.
        // Danger: a service that began anew counts from the start again; its whole list, as the answer to a
        // watch, is the newest there is, and a node that held on to its own version would never hear again.
        self.list.anew &= ask != Ask::Watch;
        let anew = ask == Ask::Watch && told.extent == Extent::Whole;
        let mine = self.list.index.filter(|_| !anew);
        self.list.index = mine.max(Some(told.index));
        match ask {
            Ask::Watch if reply.keeps_open && !ended => self.put_question(id, ask, WATCH),
            Ask::Watch => {
                self.drop_conn(id);
                self.list.watch = self.ask_list(ask, WATCH);
            }
            Ask::Once => {
                self.drop_conn(id);
                self.list.once = None;
            }
        }
        self.take_news(told, mine);
        if ask == Ask::Watch && self.list.watch.is_none() {
            let now = self.now;
            self.tell(|node, port| node.list_failed(now, port));
        }
    }

    /// Danger: two questions may be out at once, and the older news must not undo the newer.
    fn take_news(&mut self, mut told: Told, mine: Option<u64>) {
        if mine.is_some_and(|mine| told.index < mine) {
            told = Told { extent: Extent::Changes, lines: Vec::new(), addresses: Vec::new(), ..told };
        }
        debug!(index = told.index, whole = told.extent == Extent::Whole, lines = told.lines.len(), "list");
        let left = self.hosts.learn(&told);
        self.list.heard = true;
        let now = self.now;
        let lines: Vec<Listed> = told.lines.iter().map(|line| self.hosts.overlaid(line)).collect();
        self.tell(|node, port| node.list_told(now, told.extent, &lines, port));
        for host in left {
            self.send_clients_away(host);
        }
        self.ready_now();
    }
}
