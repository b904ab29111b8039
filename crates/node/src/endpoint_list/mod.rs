//! The endpoint list: its JSON form, and the watch that keeps it up to date.

mod decode;
mod watch;

use std::net::SocketAddr;

use glendeck::domain::{Endpoint, HostId, ListUpdate, Span};

use crate::http::response::ResponseReader;
use crate::socket::ConnectionId;

pub(crate) use decode::{condition, decode};

/// Why a list, or one of its entries, cannot be decoded.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum EndpointListError {
    /// A required key is missing, or its value has the wrong type.
    #[error("endpoint list: missing or mistyped {0}")]
    Missing(&'static str),
    /// A value cannot be used, or an entry lacks `status` or `address`.
    #[error("endpoint list: missing or invalid {0}")]
    Invalid(&'static str),
}

/// An endpoint list: all hosts, or those that changed.
#[derive(Debug)]
pub(crate) struct EndpointListUpdate {
    /// The version of the list.
    pub index: u64,
    /// Whether the update is the whole list or a change to it.
    pub update: ListUpdate,
    /// The entries of the hosts.
    pub endpoints: Vec<Endpoint>,
    /// The addresses of the hosts; hosts that have gone may have none.
    pub addresses: Vec<(HostId, SocketAddr)>,
}

/// The state of the watch on the endpoint list.
#[derive(Default)]
pub(crate) struct EndpointListClient {
    /// The version of the list that the node knows.
    index: Option<u64>,
    /// Whether the list's service has answered since the start or the last [`Service::restart_watch`].
    pub has_answered: bool,
    /// The connection of the watch. If there is none, the decision logic or a reload opens it.
    watch: Option<ConnectionId>,
    /// The watch timed out and was reopened, and nothing has been received since.
    is_reopened: bool,
    /// The decision logic knows that the watch is established.
    is_established: bool,
    /// Reads the current response as it arrives.
    response_reader: ResponseReader,
}

impl EndpointListClient {
    /// The version of the list that the node knows, if any.
    pub(crate) fn index(&self) -> Option<u64> {
        self.index
    }

    /// Sets the known version, from a list that was not received through this watch.
    pub(crate) fn set_index(&mut self, index: u64) {
        self.index = Some(index);
    }
}

/// Maximum poll interval told to the decision logic, which repeats a failed request after at most 0.4 of it.
/// Here that is 1.2 s, which leaves time for three requests within the maximum age of the list.
const MAX_POLL_INTERVAL: Span = Span::ms(3_000);

/// Poll interval if the list is pushed. Only the discovery agent on this machine is asked then, and the node
/// is expected to follow its data immediately, so failed requests are repeated within 0.1 s.
const PUSHED_POLL_INTERVAL: Span = Span::ms(250);

/// The interval within which the decision logic spreads first requests and repeats failed ones; `settings` is
/// `None` if the settings say that the list is pushed.
///
/// The node keeps a watch open in both modes: on sockets nothing is pushed without one, and a node that
/// waited for a push would never learn its hosts.
pub(crate) fn poll_interval(settings: Option<Span>) -> Span {
    settings.map_or(PUSHED_POLL_INTERVAL, |interval| interval.min(MAX_POLL_INTERVAL))
}
