//! The watch on the endpoint list: long-poll requests that wait at the list's service until the list changes.

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

/// Maximum time until the node knows a change, counted from when the list's service has it and can be
/// reached, whatever fails in between.
///
/// This is the only bound on the list's age. A connection that failed silently is detected when its watch
/// request is not answered in time; it is reopened, and the answer to the new request may wait in the
/// service's queue. If watches waited longer, such failures would be detected later, and calls would go to
/// hosts that drained long before.
const MAX_LIST_AGE: Span = Span::ms(6_000);

/// Maximum time that a watch request waits at the service: what the other limits leave of [`MAX_LIST_AGE`].
/// A request sent immediately after an answer continues the watch and costs the service little. After a pause
/// it would start a new watch, and hundreds of new watches overload the service.
const MAX_WATCH_WAIT: Span = Span::ms(1_200);

/// Each watch request waits for a random fraction of [`MAX_WATCH_WAIT`], at least this one. Otherwise nodes
/// whose watches end with the same change would send their requests at the same time from then on.
const MIN_WATCH_FRACTION: f64 = 0.6;

/// Time limit for the answer after the wait of a watch request. The service answers at once when the wait is
/// over, so the connection has failed silently if no answer comes by then.
const WATCH_TIMEOUT: Span = Span::ms(1_000);

/// Time limit for a request that does not wait. Requests stay in the service's queue for up to 3 s or fail
/// there; after this time no answer comes. If nodes gave up sooner and asked again, the service would do its
/// work for nobody and never catch up.
const REQUEST_TIMEOUT: Span = Span::ms(3_200);

/// Part of [`MAX_LIST_AGE`] for the event loop and the network; the grace time of the settings comes on top.
const MAX_PROCESSING_TIME: Span = Span::ms(500);

const _: () =
    assert!(MAX_WATCH_WAIT.0 + WATCH_TIMEOUT.0 + REQUEST_TIMEOUT.0 + MAX_PROCESSING_TIME.0 <= MAX_LIST_AGE.0);

impl Service {
    /// Applies the list that was known before the start; it may be outdated.
    pub(crate) fn apply_cached_list(&mut self, known: EndpointListUpdate) {
        self.hosts.apply(&known);
        let now = self.now;
        self.with_node(|node, port| node.endpoints_changed(now, ListUpdate::Cached, &known.endpoints, port));
    }

    /// Opens the watch unless it is open. Changes are then known within [`MAX_LIST_AGE`].
    pub(crate) fn begin_watch(&mut self) {
        if self.list.watch.is_some() {
            return;
        }
        // The first request does not wait: the known list may be outdated, and the answer shows that the
        // watch is established.
        self.list.watch = self.open_list_connection(Span::ZERO);
        if self.list.watch.is_none() {
            self.reports.push(Report::WatchFailed);
        }
    }

    /// Reopens the watch, after a reload changed the address of the list's service or added zones. Closing
    /// the old watch does not count as a failure, and hosts stay until the new list arrives. The known
    /// version is dropped: each service has its own versions, and new zones need the whole list. An answer of
    /// the old service that is still in transit must not undo the new list.
    pub(crate) fn restart_watch(&mut self) {
        if let Some(id) = std::mem::take(&mut self.list).watch {
            self.close_connection(id);
        }
        self.begin_watch();
    }

    fn open_list_connection(&mut self, wait: Span) -> Option<ConnectionId> {
        self.list.response_reader = ResponseReader::default();
        match Connection::connect(self.config.discovery) {
            Ok(connection) => {
                let id = self.add_connection(connection, SocketRole::EndpointList(self.now))?;
                self.request_list(id, wait);
                Some(id)
            }
            Err(cause) => {
                debug!(%cause, "cannot connect to the endpoint list's service");
                None
            }
        }
    }

    /// Requests the list, or the changes since the known version.
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

    /// Handles a request that may have passed its deadline. The first time, a silent connection is reopened
    /// immediately. That does not count as a failure yet, and the connections of different nodes fall silent
    /// at different times.
    pub(crate) fn list_timeout(&mut self, id: ConnectionId) {
        let Some(SocketRole::EndpointList(deadline)) = self.role(id) else { return };
        if self.now < deadline {
            return;
        }
        warn!("endpoint list request timed out");
        if std::mem::replace(&mut self.list.is_reopened, true) {
            return self.list_request_failed(id);
        }
        self.close_connection(id);
        self.list.watch = None;
        self.begin_watch();
    }

    /// Handles every failure of a request: refused, connection failed, invalid answer or no answer.
    pub(crate) fn list_request_failed(&mut self, id: ConnectionId) {
        self.close_connection(id);
        self.list.watch = None;
        self.list.is_established = false;
        self.endpoint_list_lost();
        self.report_watch_failure();
    }

    fn report_watch_failure(&mut self) {
        let now = self.now;
        self.with_node(|node, port| node.watch_failed(now, port));
    }

    /// Handles data from the list's service, or the end of the connection.
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
        let reply = match self.list.response_reader.read(&mut socket.connection.inbox, has_ended) {
            Ok(Some(reply)) if reply.status == STATUS_OK => reply,
            Ok(None) => return,
            Ok(Some(reply)) => {
                debug!(status = reply.status, "endpoint list request failed");
                return self.list_request_failed(id);
            }
            Err(cause) => {
                debug!(?cause, "endpoint list request failed");
                return self.list_request_failed(id);
            }
        };
        match self.decode_list(&reply.body) {
            Ok(update) => self.handle_list(id, update, reply.keeps_open && !has_ended),
            Err(cause) => {
                warn!(%cause, "cannot decode the endpoint list");
                self.list_request_failed(id);
            }
        }
    }

    /// Decodes an answer, and passes the update and its JSON to the fleet logic.
    fn decode_list(&mut self, body: &[u8]) -> Result<EndpointListUpdate, EndpointListError> {
        let json = serde_json::from_slice(body).map_err(|_| EndpointListError::Invalid("JSON text"))?;
        let update = decode(&json, &self.config.zones)?;
        self.update_fleet_hosts(&update, &json);
        Ok(update)
    }

    /// Sends the next request before it applies the update, so that the watch continues without a pause.
    fn handle_list(&mut self, id: ConnectionId, mut update: EndpointListUpdate, can_reuse: bool) {
        self.list.is_reopened = false;
        // A restarted service counts its versions from the start again. Its complete list is the newest
        // one, and a node that kept its higher version would never get an update again. Changes whose
        // version is lower than the known one are ignored.
        let is_complete = update.update == ListUpdate::Complete;
        let newer_index = self.list.index.filter(|known| !is_complete && update.index < *known);
        self.list.index = newer_index.or(Some(update.index));
        let fraction = MIN_WATCH_FRACTION + (1.0 - MIN_WATCH_FRACTION) * self.random_fraction();
        let wait = MAX_WATCH_WAIT.times(fraction);
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
            self.report_watch_failure();
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
        self.list.has_answered = true;
        let endpoints: Vec<Endpoint> =
            update.endpoints.iter().map(|endpoint| self.hosts.effective(endpoint)).collect();
        // An answer without changes is not reported: the decision logic would go through all hosts and all
        // waiting calls every second.
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
