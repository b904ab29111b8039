//! Operators' requests that wait for their result.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::state::{Command, RequestId};

/// Interval, in ms, after which a request is sent again.
const RETRY_MS: u64 = 250;

/// Time, in ms, after which a request is given up, so that operators get a reply within a second.
const TIMEOUT_MS: u64 = 900;

struct PendingRequest {
    command: Command,
    received_at: Timestamp,
    sent_at: Option<Timestamp>,
}

/// The pending requests, by id.
#[derive(Default)]
pub(crate) struct Requests {
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl Requests {
    /// Adds a request, which is due immediately.
    pub(crate) fn add(&mut self, now: Timestamp, id: RequestId, command: Command) {
        self.pending.insert(id, PendingRequest { command, received_at: now, sent_at: None });
    }

    /// Removes a request that was decided. Returns whether it was pending on this node.
    pub(crate) fn finish(&mut self, id: &RequestId) -> bool {
        self.pending.remove(id).is_some()
    }

    /// Removes and returns the requests that have waited for [`TIMEOUT_MS`].
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut expired = Vec::new();
        self.pending.retain(|id, request| {
            let is_expired = now.ms_since(request.received_at) >= TIMEOUT_MS;
            if is_expired {
                expired.push(id.clone());
            }
            !is_expired
        });
        expired
    }

    /// The requests that are due to be sent, for the first time or again.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<(RequestId, Command)> {
        let mut due = Vec::new();
        for (id, request) in &mut self.pending {
            if request.sent_at.is_none_or(|sent_at| now.ms_since(sent_at) >= RETRY_MS) {
                request.sent_at = Some(now);
                due.push((id.clone(), request.command.clone()));
            }
        }
        due
    }
}
