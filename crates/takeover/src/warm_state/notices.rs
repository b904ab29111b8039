//! Notices that a node is gone: those still to be sent, and those received.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;

use crate::fault_injection::{InjectedFault, is_injected};

use super::hint_store::{HintStore, ProcessId};
use super::message::{WarmStateAction, WarmStateMessage, hint_values};
use super::placement::EXPIRY_MS;

/// A notice that has been queued for longer than this is dropped: the clients have reconnected by then.
const MAX_NOTICE_AGE_MS: u64 = 2_000;

/// Without this limit, a replica would send the hints of all nodes to all nodes in one tick when many are
/// lost at once.
const MAX_NOTICES_PER_TICK: usize = 64;

/// A second notice of the same process within this time comes from the other replica: it is queued there for
/// 2 s at most, and is delayed further if that replica's link fell silent later. A longer time would suppress
/// the notice of a node that is lost soon after a false alarm.
const DUPLICATE_WINDOW_MS: u64 = 4_000;

/// A notice that is still to be sent.
#[derive(Clone, Debug)]
struct PendingNotice {
    queued_at: Timestamp,
    to: UnitName,
    node: UnitName,
}

/// Notices to send and notices received.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    pending: VecDeque<PendingNotice>,
    /// When each process was last announced as gone. The key contains the incarnation, as a late notice of
    /// one process may arrive after the end of the next one.
    received: BTreeMap<ProcessId, Timestamp>,
}

impl Notices {
    /// Records a notice and returns true, or returns false if the notice is a duplicate of a recent one.
    pub(super) fn receive(&mut self, now: Timestamp, process: ProcessId) -> bool {
        let last = self.received.get(&process);
        let is_duplicate = last.is_some_and(|received_at| now.ms_since(*received_at) < DUPLICATE_WINDOW_MS);
        if is_duplicate && !is_injected(InjectedFault::DuplicateNoticeAccepted) {
            return false;
        }
        self.received.insert(process, now);
        true
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.received.retain(|_, received_at| now.ms_since(*received_at) < EXPIRY_MS);
    }

    /// Queues, for every linked node but `node`, a notice that `node` is gone.
    pub(super) fn enqueue(&mut self, now: Timestamp, node: &UnitName, linked: &BTreeSet<UnitName>) {
        for to in linked.iter().filter(|to| *to != node) {
            self.pending.push_back(PendingNotice { queued_at: now, to: to.clone(), node: node.clone() });
        }
    }

    /// The notices to send now.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        store: &HintStore,
        linked: &BTreeSet<UnitName>,
    ) -> Vec<WarmStateAction> {
        let mut actions = Vec::new();
        for _ in 0..MAX_NOTICES_PER_TICK {
            let Some(PendingNotice { queued_at, to, node }) = self.pending.pop_front() else { break };
            let Some(stored) = store.get(&node) else { continue };
            let is_back = linked.contains(&node) && !stored.is_draining;
            if is_back || now.ms_since(queued_at) >= MAX_NOTICE_AGE_MS {
                continue;
            }
            let hints = hint_values(&stored.hints);
            let notice = WarmStateMessage::NodeGone { node, incarnation: stored.incarnation, hints };
            actions.push(WarmStateAction::Send(to, notice));
        }
        actions
    }
}
