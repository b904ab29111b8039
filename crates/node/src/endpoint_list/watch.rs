//! The watch on the endpoint list: requests that wait at the list's service until something changes.

use glendeck::domain::{Endpoint, ListUpdate, Span};
use tracing::{debug, warn};

use super::{EndpointListError, EndpointListUpdate, decode};
use crate::connection::{Connection, ReadOutcome};
use crate::http::response::{ResponseReader, encode_get};
use crate::service::{Report, Service};
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

const PATH: &str = "/registry/instances";

const STATUS_OK: u16 = 200;

/// A change is known this long after the list's service had it and could be reached, whatever failed
/// meanwhile.
///
/// This is the one bound on the list's age. A connection that died silently is noticed when its watch should
/// have ended and was not answered; it is opened anew, and the answer to that may wait in the service's
/// queue. Longer watches are noticed later, and calls would go to hosts that have drained long before.
const MAX_LIST_AGE: Span = Span::ms(6_000);

/// How long a watch may wait: what the others leave of the bound. A request that comes at once after an
/// answer goes on with the watch and costs the service little; after a pause it would be a new one, and
/// hundreds of these are more than it bears.
const WATCH_WAIT: Span = Span::ms(1_200);

/// Each watch waits a random part of [`WATCH_WAIT`], at least this: nodes whose watches end with one change
/// would otherwise ask in step from then on.
const MIN_WATCH_FRACTION: f64 = 0.6;

/// A watch whose wait is over is answered at once; after this its connection has fallen silent.
const WATCH_TIMEOUT: Span = Span::ms(1_000);

/// Answers wait in the service's queue for up to 3 s or fail there; after this nothing will come. A node that
/// gave up sooner would ask again, the service would have done its work for nobody, and never catch up.
const REQUEST_TIMEOUT: Span = Span::ms(3_200);

/// Left for the loop and the network; the grace that settings give comes on top.
const MAX_PROCESSING: Span = Span::ms(500);

const _: () =
    assert!(WATCH_WAIT.0 + WATCH_TIMEOUT.0 + REQUEST_TIMEOUT.0 + MAX_PROCESSING.0 <= MAX_LIST_AGE.0);

impl Service {
    /// Takes in the list as it was known before the start; it may be old.
    pub(crate) fn remember_list(&mut self, known: EndpointListUpdate) {
        self.hosts.apply(&known);
        let now = self.now;
        self.with_node(|node, port| node.endpoints_changed(now, ListUpdate::Cached, &known.endpoints, port));
    }

    /// Opens the watch unless it stands: then changes will be told, within [`MAX_LIST_AGE`].
    pub(crate) fn begin_watch(&mut self) {
        if self.list.watch.is_some() {
            return;
        }
        // The first request does not wait: what is known may be old, and the answer says that the watch
        // stands.
        self.list.watch = self.open_list_connection(Span::ZERO);
        if self.list.watch.is_none() {
            self.reports.push(Report::WatchFailed);
        }
    }

    /// The list's service is at another address now. The old watch ends here, which is no failure; hosts stay
    /// until the new list. Versions are each service's own, so the old one's must not be asked from, and an
    /// answer of the old service that is still on its way must not undo what the new one says.
    pub(crate) fn restart_watch(&mut self) {
        if let Some(id) = std::mem::take(&mut self.list).watch {
            self.close_connection(id);
        }
        self.begin_watch();
    }

    fn open_list_connection(&mut self, wait: Span) -> Option<ConnectionId> {
        self.list.arriving = ResponseReader::default();
        match Connection::connect(self.config.discovery) {
            Ok(connection) => {
                let id = self.add_connection(connection, SocketRole::EndpointList(self.now))?;
                self.request_list(id, wait);
                Some(id)
            }
            Err(cause) => {
                debug!(%cause, "cannot reach discovery");
                None
            }
        }
    }

    /// Asks for the list, or for what has changed since the version that is known.
    fn request_list(&mut self, id: ConnectionId, wait: Span) {
        let path = match self.list.index {
            Some(index) => format!("{PATH}?after={index}&wait_ms={}", wait.0 / 1_000_000),
            None => PATH.to_owned(),
        };
        let timeout = if wait > Span::ZERO { WATCH_TIMEOUT } else { REQUEST_TIMEOUT };
        let deadline = self.now + wait + timeout;
        let authority = self.config.discovery.to_string();
        if let Some(socket) = self.sockets.get_mut(id.0) {
            socket.role = SocketRole::EndpointList(deadline);
            encode_get(&path, &authority, &mut socket.connection.outbox);
        }
        self.timers.set(deadline, TimerEvent::EndpointListTimeout(id));
        self.flush_connection(id);
    }

    /// A request may have passed its deadline. A connection that falls silent is opened anew once; that is no
    /// refusal yet, and nodes' connections do so at moments of their own.
    pub(crate) fn list_timeout(&mut self, id: ConnectionId) {
        let Some(SocketRole::EndpointList(deadline)) = self.role(id) else { return };
        if self.now < deadline {
            return;
        }
        warn!("discovery does not answer");
        if std::mem::replace(&mut self.list.is_reopened, true) {
            return self.list_lost(id);
        }
        self.close_connection(id);
        self.list.watch = None;
        self.begin_watch();
    }

    /// The one way in which a request fails: refused, broken, unreadable or never answered.
    pub(crate) fn list_lost(&mut self, id: ConnectionId) {
        self.close_connection(id);
        self.list.watch = None;
        self.list.is_established = false;
        self.endpoint_list_lost();
        self.report_lost_watch();
    }

    fn report_lost_watch(&mut self) {
        let now = self.now;
        self.with_node(|node, port| node.watch_failed(now, port));
    }

    /// The list's service has sent something, or ended the connection.
    pub(crate) fn list_read(&mut self, id: ConnectionId, outcome: ReadOutcome) {
        let has_ended = match outcome {
            ReadOutcome::Bytes(count) => {
                let Some(socket) = self.sockets.get_mut(id.0) else { return };
                socket.connection.inbox.extend_from_slice(&self.read_buffer[..count]);
                false
            }
            ReadOutcome::NothingYet => return,
            ReadOutcome::End => true,
        };
        let Some(socket) = self.sockets.get_mut(id.0) else { return };
        let reply = match self.list.arriving.read(&mut socket.connection.inbox, has_ended) {
            Ok(Some(reply)) if reply.status == STATUS_OK => reply,
            Ok(None) => return,
            Ok(Some(reply)) => {
                debug!(status = reply.status, "endpoint list request failed");
                return self.list_lost(id);
            }
            Err(cause) => {
                debug!(?cause, "endpoint list request failed");
                return self.list_lost(id);
            }
        };
        match self.decode_list(&reply.body) {
            Ok(update) => self.handle_list(id, update, reply.keeps_open && !has_ended),
            Err(cause) => {
                warn!(%cause, "endpoint list unreadable");
                self.list_lost(id);
            }
        }
    }

    /// Reads an answer, and hands it to the fleet as it came.
    fn decode_list(&mut self, body: &[u8]) -> Result<EndpointListUpdate, EndpointListError> {
        let json = serde_json::from_slice(body).map_err(|_| EndpointListError::Bad("JSON text"))?;
        let update = decode(&json, &self.config.zones)?;
        self.update_fleet_hosts(&update, &json);
        Ok(update)
    }

    /// Sends the next request before anything is done with the update, so that the watch goes on.
    fn handle_list(&mut self, id: ConnectionId, mut update: EndpointListUpdate, can_reuse: bool) {
        self.list.is_reopened = false;
        // A service that began anew counts from the start again: its complete list is the newest there is,
        // and a node that held on to its own version would never hear again. Changes to an older list are
        // none.
        let is_complete = update.update == ListUpdate::Complete;
        let newer_index = self.list.index.filter(|known| !is_complete && update.index < *known);
        self.list.index = newer_index.or(Some(update.index));
        let fraction = MIN_WATCH_FRACTION + (1.0 - MIN_WATCH_FRACTION) * self.random_fraction();
        let wait = WATCH_WAIT.times(fraction);
        if can_reuse {
            self.request_list(id, wait);
        } else {
            self.close_connection(id);
            self.list.watch = self.open_list_connection(wait);
        }
        if newer_index.is_some() {
            update.endpoints.clear();
            update.addresses.clear();
        }
        self.apply_list(update);
        if self.list.watch.is_none() {
            self.list.is_established = false;
            self.report_lost_watch();
        }
    }

    fn apply_list(&mut self, update: EndpointListUpdate) {
        let is_complete = update.update == ListUpdate::Complete;
        debug!(
            index = update.index,
            is_complete,
            endpoints = update.endpoints.len(),
            "endpoint list received"
        );
        let draining = self.hosts.apply(&update);
        self.list.heard = true;
        let endpoints: Vec<Endpoint> =
            update.endpoints.iter().map(|endpoint| self.hosts.effective(endpoint)).collect();
        // A watch that ends with nothing new is no event: for it the decisions would go through all hosts and
        // all waiting calls every second.
        let was_established = std::mem::replace(&mut self.list.is_established, true);
        if !was_established || is_complete || !endpoints.is_empty() {
            let now = self.now;
            self.with_node(|node, port| node.endpoints_changed(now, update.update, &endpoints, port));
        }
        for host in draining {
            self.migrate_from(host);
        }
        self.serve_if_ready();
    }
}
