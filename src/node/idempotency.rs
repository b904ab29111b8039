//! Protection against repeated effects: where a call may run again after an attempt that may have run.

use super::Node;
use crate::domain::{Idempotency, Scope};
use crate::state::call::CallIndex;
use crate::state::host::HostIndex;

impl Node {
    fn idempotency(&self, call_index: CallIndex) -> Idempotency {
        self.settings.classes[self.calls[call_index].class_index()].idempotency
    }

    /// Whether the call may run again at all.
    pub(super) fn may_repeat(&self, call_index: CallIndex) -> bool {
        match (self.idempotency(call_index), self.calls[call_index].first_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { window, .. }, Some(run)) => self.now.since(run.sent_at) < window,
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Whether the call may run again on this host: a keyed call only where hosts recognise its repeat.
    pub(super) fn may_repeat_on(&self, call_index: CallIndex, host: HostIndex) -> bool {
        let (Idempotency::Keyed { scope, .. }, Some(run)) =
            (self.idempotency(call_index), self.calls[call_index].first_run)
        else {
            return self.may_repeat(call_index);
        };
        let first_host = &self.hosts[run.host];
        let next_host = &self.hosts[host];
        let is_in_scope = match scope {
            Scope::All => true,
            Scope::Zone => first_host.zone == next_host.zone,
            Scope::Cell => first_host.cell == next_host.cell,
        };
        self.may_repeat(call_index) && is_in_scope
    }

    /// Whether the call may be rejected, which assures the client that a new try does no harm.
    pub(super) fn may_reject(&self, call_index: CallIndex) -> bool {
        match (self.idempotency(call_index), self.calls[call_index].first_run) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { scope: Scope::All, .. }, _) => self.may_repeat(call_index),
            (Idempotency::Keyed { scope: Scope::Zone | Scope::Cell, .. } | Idempotency::NonIdempotent, _) => {
                false
            }
        }
    }
}
