//! What this node's clients would come back to, kept by others, and what those of a lost node come back to here. When it is
//! said, and to whom, is decided in `glendeck_takeover::warm_state`; docs/takeover.md says what for.

use glendeck::domain::{GroupId, HostId, Span, SubjectId, Time, WarmState as Back};
use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::warm_state::{
    Hint, HintValue, Hints, MAX_HINTS, WarmStateAction, WarmStateExchange, WarmStateMessage,
};
use nanorand::Rng;
use serde::Serialize;
use tracing::{debug, info};

use crate::lifecycle::Phase;
use crate::peers::Frame;
use crate::service::Service;

/// Connections live for tens of seconds: what is a second old is nearly all true.
const EVERY: Span = Span::ms(1_000);

pub struct WarmState {
    estates: WarmStateExchange,
    /// What it knows is said then.
    next: Time,
    parting: bool,
    /// Nodes whose clients were expected here.
    expected: u64,
}

impl WarmState {
    pub fn new(now: Time, start: Timestamp, me: UnitName, incarnation: Incarnation) -> WarmState {
        WarmState {
            estates: WarmStateExchange::new(start, me, incarnation),
            next: now,
            parting: false,
            expected: 0,
        }
    }

    /// The metrics of warm state.
    pub fn metrics(&self) -> WarmStateMetrics {
        let (nodes, known) = (self.estates.node_count(), self.estates.hint_count());
        WarmStateMetrics { nodes, known, lost_expected: self.expected }
    }
}

/// Metrics of warm state, under the names that the admin interface shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WarmStateMetrics {
    /// Nodes whose warm state is held here.
    pub nodes: usize,
    /// Hints that are held of them.
    pub known: usize,
    /// Lost nodes whose clients were expected here.
    pub lost_expected: u64,
}

/// To an eighth of its power of two: a load that wavers is no news.
fn rounded(load: f64) -> u32 {
    let micro = (load * 1e6) as u32;
    let step = (1 << micro.max(1).ilog2()) / 8;
    micro / step.max(1) * step.max(1)
}

impl Service {
    fn known(&self) -> Hints {
        let back = self.warm_state_of_node(MAX_HINTS / 2);
        let homes = back.homes.iter().map(|(group, host)| (Hint::Home { group: group.0, host: host.0 }, 1));
        let loads = back.loads.iter().map(|(of, load)| (Hint::Load { subject: of.0 }, rounded(*load)));
        homes.chain(loads).collect()
    }

    pub fn warm_state_tick(&mut self) {
        let timestamp = self.timestamp();
        let parting = matches!(self.phase, Phase::Draining { .. } | Phase::Leaving { .. })
            && !self.handover.is_replaced();
        let Some(membership) = &self.membership else { return };
        let Some(of) = &membership.warm_state else { return };
        // Danger: clients that are sent away are elsewhere within the second.
        let says = self.now >= of.next || of.parting != parting;
        let hints = says.then(|| self.known());
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        let linked = membership.peers.speakers();
        let (Some(of), Some(work)) = (&mut membership.warm_state, &membership.work) else { return };
        let mut acts = Vec::new();
        if let Some(hints) = hints {
            // Danger: a fleet that was started together would say it in step.
            of.next = now + EVERY.times(0.9 + 0.2 * f64::from(membership.chance.generate::<f32>()));
            of.parting = parting;
            acts = of.estates.publish(timestamp, hints, parting, work.view(), &linked);
        }
        acts.extend(of.estates.tick(timestamp, &linked));
        self.carry_out_warm_state(acts);
    }

    pub fn peer_told(&mut self, peer: &UnitName, said: WarmStateMessage) {
        let timestamp = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let (Some(of), Some(work)) = (&mut membership.warm_state, &membership.work) else { return };
        let acts = of.estates.message_received(timestamp, peer, said, work.view());
        self.carry_out_warm_state(acts);
    }

    fn carry_out_warm_state(&mut self, acts: Vec<WarmStateAction>) {
        for act in acts {
            match act {
                WarmStateAction::Send(to, said) => self.send_peer(&to, &Frame::WarmState(said)),
                WarmStateAction::Adopt { node, hints } => self.adopt_warm_state(&node, hints),
            }
        }
    }

    fn adopt_warm_state(&mut self, of: &UnitName, hints: Vec<HintValue>) {
        info!(%of, known = hints.len(), "has gone: its clients are expected");
        let mut back = Back::default();
        for HintValue { hint, value } in hints {
            match hint {
                Hint::Home { group, host } => back.homes.push((GroupId(group), HostId(host))),
                Hint::Load { subject } => back.loads.push((SubjectId(subject), f64::from(value) / 1e6)),
            }
        }
        debug!(homes = back.homes.len(), loads = back.loads.len(), "what they come back to");
        if let Some(of) = self.membership.as_mut().and_then(|membership| membership.warm_state.as_mut()) {
            of.expected += 1;
        }
        let now = self.now;
        self.tell(|node, _| node.adopt_warm_state(now, &back));
    }
}
