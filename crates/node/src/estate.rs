//! What this node's clients would come back to, kept by others, and what those of a lost node come back to here. When it is
//! said, and to whom, is decided in `glendeck_takeover::estate`; docs/takeover.md says what for.

use glendeck::domain::{Estate as Back, GroupId, HostId, Span, SubjectId, Time};
use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::estate::{Do, Estates, Facts, Known, MOST, Said};
use nanorand::Rng;
use serde_json::{Value, json};
use tracing::{debug, info};

use crate::peers::Frame;
use crate::service::{Phase, Service};

/// Connections live for tens of seconds: what is a second old is nearly all true.
const EVERY: Span = Span::ms(1_000);

pub struct Estate {
    estates: Estates,
    /// What it knows is said then.
    next: Time,
    parting: bool,
    /// Nodes whose clients were expected here.
    expected: u64,
}

impl Estate {
    pub fn new(now: Time, start: Timestamp, me: UnitName, incarnation: Incarnation) -> Estate {
        Estate { estates: Estates::new(start, me, incarnation), next: now, parting: false, expected: 0 }
    }

    pub fn figures(&self) -> Value {
        let (nodes, known) = self.estates.held();
        json!({"nodes": nodes, "known": known, "lost_expected": self.expected})
    }
}

/// To an eighth of its power of two: a load that wavers is no news.
fn rounded(load: f64) -> u32 {
    let micro = (load * 1e6) as u32;
    let step = (1 << micro.max(1).ilog2()) / 8;
    micro / step.max(1) * step.max(1)
}

impl Service {
    fn known(&self) -> Facts {
        let back = self.estate_of_node(MOST / 2);
        let homes = back.homes.iter().map(|(group, host)| (Known::Home { group: group.0, host: host.0 }, 1));
        let loads = back.loads.iter().map(|(of, load)| (Known::Load { subject: of.0 }, rounded(*load)));
        homes.chain(loads).collect()
    }

    pub fn estate_tick(&mut self) {
        let timestamp = self.timestamp();
        let parting = matches!(self.phase, Phase::Draining { .. } | Phase::Leaving { .. })
            && !self.handover.is_replaced();
        let Some(membership) = &self.membership else { return };
        let Some(of) = &membership.estate else { return };
        // Danger: clients that are sent away are elsewhere within the second.
        let says = self.now >= of.next || of.parting != parting;
        let facts = says.then(|| self.known());
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        let linked = membership.peers.speakers();
        let (Some(of), Some(work)) = (&mut membership.estate, &membership.work) else { return };
        let mut acts = Vec::new();
        if let Some(facts) = facts {
            // Danger: a fleet that was started together would say it in step.
            of.next = now + EVERY.times(0.9 + 0.2 * f64::from(membership.chance.generate::<f32>()));
            of.parting = parting;
            acts = of.estates.tell(timestamp, facts, parting, work.view(), &linked);
        }
        acts.extend(of.estates.tick(timestamp, &linked));
        self.do_for_estate(acts);
    }

    pub fn peer_told(&mut self, peer: &UnitName, said: Said) {
        let timestamp = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let (Some(of), Some(work)) = (&mut membership.estate, &membership.work) else { return };
        let acts = of.estates.heard(timestamp, peer, said, work.view());
        self.do_for_estate(acts);
    }

    fn do_for_estate(&mut self, acts: Vec<Do>) {
        for act in acts {
            match act {
                Do::Say(to, said) => self.send_peer(&to, &Frame::Estate(said)),
                Do::Expect(of, facts) => self.expect_clients(&of, facts),
            }
        }
    }

    fn expect_clients(&mut self, of: &UnitName, facts: Vec<(Known, u32)>) {
        info!(%of, known = facts.len(), "has gone: its clients are expected");
        let mut back = Back::default();
        for (known, value) in facts {
            match known {
                Known::Home { group, host } => back.homes.push((GroupId(group), HostId(host))),
                Known::Load { subject } => back.loads.push((SubjectId(subject), f64::from(value) / 1e6)),
            }
        }
        debug!(homes = back.homes.len(), loads = back.loads.len(), "what they come back to");
        if let Some(of) = self.membership.as_mut().and_then(|membership| membership.estate.as_mut()) {
            of.expected += 1;
        }
        let now = self.now;
        self.tell(|node, _| node.expect(now, &back));
    }
}
