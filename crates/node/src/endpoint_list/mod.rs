//! The endpoint list: its form, and the watch that keeps it up to date.

mod decode;
mod watch;

use std::net::SocketAddr;

use glendeck::domain::{Endpoint, HostId, ListUpdate, Span};

use crate::http::response::ResponseReader;
use crate::socket::ConnectionId;

pub(crate) use decode::{condition, decode};

/// Why a list, or an entry of it, cannot be read.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum EndpointListError {
    /// A part that is always there is absent.
    #[error("the list lacks {0}")]
    Missing(&'static str),
    /// A part is not of its form.
    #[error("the list has an unusable {0}")]
    Invalid(&'static str),
}

/// What was told of the hosts: all of them, or what changed.
#[derive(Debug)]
pub(crate) struct EndpointListUpdate {
    /// The version of the list.
    pub index: u64,
    /// Whether it is the whole list.
    pub update: ListUpdate,
    /// The hosts' entries.
    pub endpoints: Vec<Endpoint>,
    /// Where they listen; hosts that have gone may have no address.
    pub addresses: Vec<(HostId, SocketAddr)>,
}

/// How far the list is known, and the watch on it.
#[derive(Default)]
pub(crate) struct EndpointListClient {
    /// The version that is known.
    index: Option<u64>,
    /// Its service has answered since the start.
    pub has_answered: bool,
    /// The connection of the watch. Without one, it is opened when the decisions say so.
    watch: Option<ConnectionId>,
    /// The watch fell silent and was opened anew, and nothing has come since.
    is_reopened: bool,
    /// The decisions know that the watch stands.
    is_established: bool,
    /// The part of an answer that has come.
    response_reader: ResponseReader,
}

impl EndpointListClient {
    /// The version that is known, if any is.
    pub(crate) fn index(&self) -> Option<u64> {
        self.index
    }

    /// A version is known from elsewhere.
    pub(crate) fn set_index(&mut self, index: u64) {
        self.index = Some(index);
    }
}

/// Refused requests are put again after 1.2 s at the latest, which leaves time for three within the bound of
/// the list's age.
const MAX_POLL_INTERVAL: Span = Span::ms(3_000);

/// Where the list is pushed, only the node's own agent is asked, and what it has counts as known at once:
/// refused requests are put again within a tenth of a second.
const PUSHED_POLL_INTERVAL: Span = Span::ms(250);

/// The interval within which the decisions spread first requests and repeat refused ones; `None` if the
/// settings say that the list is pushed.
///
/// Nothing comes unasked on sockets but what a watch brings, so a watch stands under either mode: a node that
/// waited for a push would never hear of its hosts.
pub(crate) fn poll_interval(settings: Option<Span>) -> Span {
    settings.map_or(PUSHED_POLL_INTERVAL, |interval| interval.min(MAX_POLL_INTERVAL))
}
