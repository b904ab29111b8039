//! Warm state: other nodes store hints about the hosts and loads of this node's clients, and this node adopts
//! the hints of a lost node, so that its clients find their hosts and loads known when they return.
//!
//! `glendeck_takeover::warm_state` decides when and to whom hints are sent; docs/takeover.md describes their
//! purpose.

use glendeck::domain::{self, GroupId, HostId, Span, SubjectId, Time};
use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::warm_state::{
    Hint, HintValue, Hints, MAX_HINTS, WarmStateAction, WarmStateExchange, WarmStateMessage,
};
use nanorand::Rng;
use serde::Serialize;
use tracing::info;

use crate::lifecycle::Phase;
use crate::peers::Frame;
use crate::service::Service;

/// Mean interval between updates of this node's hints. Connections live for tens of seconds, so nearly all
/// hints that are a second old still hold.
const SEND_INTERVAL: Span = Span::ms(1_000);

/// Minimum share of the interval before the next update, and the maximum share that is added at random.
/// Without jitter, nodes that were started together would send in step.
const MIN_INTERVAL_FACTOR: f64 = 0.9;
const INTERVAL_JITTER_FACTOR: f64 = 0.2;

/// Loads are sent in millionths.
const LOAD_SCALE: f64 = 1e6;

/// This node's part in the exchange of warm state.
pub(crate) struct WarmState {
    exchange: WarmStateExchange,
    /// When this node's own hints are next due.
    next_send: Time,
    /// The node was sending its clients away when its hints were last sent.
    was_leaving: bool,
    /// Lost nodes whose clients were expected here.
    lost_expected: u64,
}

/// Metrics of warm state, under the names that the admin interface shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WarmStateMetrics {
    /// Nodes whose warm state is held here.
    pub nodes: usize,
    /// Number of hints held for these nodes.
    pub known: usize,
    /// Lost nodes whose clients were expected here.
    pub lost_expected: u64,
}

impl WarmState {
    /// Creates the state without hints of other nodes.
    pub(crate) fn new(now: Time, start: Timestamp, name: UnitName, incarnation: Incarnation) -> WarmState {
        WarmState {
            exchange: WarmStateExchange::new(start, name, incarnation),
            next_send: now,
            was_leaving: false,
            lost_expected: 0,
        }
    }

    /// The metrics of warm state.
    pub(crate) fn metrics(&self) -> WarmStateMetrics {
        WarmStateMetrics {
            nodes: self.exchange.node_count(),
            known: self.exchange.hint_count(),
            lost_expected: self.lost_expected,
        }
    }

    /// Whether this node's own hints are to be sent now. A change of `is_leaving` is sent at once, as clients
    /// that are sent away reach another node within a second.
    fn is_due(&self, now: Time, is_leaving: bool) -> bool {
        now >= self.next_send || self.was_leaving != is_leaving
    }
}

/// A load in millionths, rounded down to a multiple of an eighth of the greatest power of two not above it,
/// so that small changes are not sent.
fn rounded_load(load: f64) -> u32 {
    let millionths = (load * LOAD_SCALE) as u32;
    let step = (1 << millionths.max(1).ilog2()) / 8;
    millionths / step.max(1) * step.max(1)
}

impl Service {
    /// Hints about the hosts and loads of this node's clients.
    fn own_hints(&self) -> Hints {
        let state = self.warm_state_of_node(MAX_HINTS / 2);
        let homes = state.homes.iter().map(|(group, host)| {
            let hint = Hint::GroupOnHost { group: group.0, host: host.0 };
            (hint, 1)
        });
        let loads = state.loads.iter().map(|(subject, load)| {
            let hint = Hint::Load { subject: subject.0 };
            (hint, rounded_load(*load))
        });
        homes.chain(loads).collect()
    }

    /// Sends this node's hints when they are due, and ticks the exchange.
    pub(crate) fn warm_state_tick(&mut self) {
        let timestamp = self.timestamp();
        let now = self.now;
        let sends_clients_away = self.is_draining() || matches!(self.phase, Phase::Leaving { .. });
        let is_leaving = sends_clients_away && !self.handover.is_replaced();
        let warm_state = self.membership.as_ref().and_then(|membership| membership.warm_state.as_ref());
        let Some(warm_state) = warm_state else { return };
        let hints = warm_state.is_due(now, is_leaving).then(|| self.own_hints());
        let Some(membership) = &mut self.membership else { return };
        let peers = membership.peers.warm_state_peers();
        let (Some(warm_state), Some(work)) = (&mut membership.warm_state, &membership.work) else { return };
        let mut actions = Vec::new();
        if let Some(hints) = hints {
            let factor =
                MIN_INTERVAL_FACTOR + INTERVAL_JITTER_FACTOR * f64::from(membership.rng.generate::<f32>());
            warm_state.next_send = now + SEND_INTERVAL.times(factor);
            warm_state.was_leaving = is_leaving;
            actions = warm_state.exchange.publish(timestamp, hints, is_leaving, work.view(), &peers);
        }
        actions.extend(warm_state.exchange.tick(timestamp, &peers));
        self.perform_warm_state_actions(actions);
    }

    /// Handles a peer's message.
    pub(crate) fn handle_warm_state_message(&mut self, peer: &UnitName, message: WarmStateMessage) {
        let timestamp = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let (Some(warm_state), Some(work)) = (&mut membership.warm_state, &membership.work) else { return };
        let actions = warm_state.exchange.message_received(timestamp, peer, message, work.view());
        self.perform_warm_state_actions(actions);
    }

    fn perform_warm_state_actions(&mut self, actions: Vec<WarmStateAction>) {
        for action in actions {
            match action {
                WarmStateAction::Send(peer, message) => self.send_peer(&peer, &Frame::WarmState(message)),
                WarmStateAction::Adopt { node, hints } => self.adopt_warm_state(&node, &hints),
            }
        }
    }

    /// Passes the hints about a lost node's clients to the decision logic, which then expects them.
    fn adopt_warm_state(&mut self, lost_node: &UnitName, hints: &[HintValue]) {
        let state = decode_hints(hints);
        let homes = state.homes.len();
        let loads = state.loads.len();
        info!(%lost_node, homes, loads, "expecting the clients of a lost node");
        let membership = self.membership.as_mut();
        if let Some(warm_state) = membership.and_then(|membership| membership.warm_state.as_mut()) {
            warm_state.lost_expected += 1;
        }
        let now = self.now;
        self.with_node(|node, _| node.adopt_warm_state(now, &state));
    }
}

fn decode_hints(hints: &[HintValue]) -> domain::WarmState {
    let mut state = domain::WarmState::default();
    for HintValue { hint, value } in hints {
        match hint {
            Hint::GroupOnHost { group, host } => state.homes.push((GroupId(*group), HostId(*host))),
            Hint::Load { subject } => {
                state.loads.push((SubjectId(*subject), f64::from(*value) / LOAD_SCALE));
            }
        }
    }
    state
}
