//! Hosts as units: which there are, as the list tells it, which of them are wanted out, and when one of those may stop.
//!
//! The list stays the authority of what there is. What it shows as draining or gone counts as out beside what the
//! group holds out, so that a rolling deploy and an operator's drain share the same room.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::Timestamp;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::group::{Action, Fleet};
use crate::policy::{Place, UnitName};
use crate::state::Command;
pub use crate::state::{EndpointState, HoldState, Host, HostHold, HostUpdate, ListedHost};

/// A host that was out counts as back after the list has shown it ready for so long; as long as a node that was lost.
const READY_MS: u64 = 5_000;

/// Hosts named in one entry: a list of thousands comes in parts, none of which fills a link.
const IN_ONE_ENTRY: usize = 100;

/// The leader looks through its list so often, and proposes the same again after this.
const LOOKS_MS: u64 = 1_000;

/// The list as this node has it.
#[derive(Default)]
pub struct Listing {
    /// Of each host, what is said of it and since when.
    lines: BTreeMap<UnitName, (Place, EndpointState, Timestamp)>,
    /// It is told of changes now. Danger: a list that stands still shows a deploy's first host only.
    fresh: bool,
}

/// What the leader remembers of hosts.
#[derive(Default)]
pub struct HostWatch {
    looked: Option<Timestamp>,
    /// How each held host stands, and how far the log was then.
    stands: BTreeMap<UnitName, (HostHold, u64)>,
}

/// A host on its way out, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DrainingHost<'a> {
    pub host: &'a UnitName,
    /// Nodes that hold connections there, and how many.
    pub held_by: BTreeMap<&'a UnitName, u32>,
    /// Nodes of which nobody knows: it is not said to be empty while there are any.
    pub not_heard: Vec<&'a UnitName>,
    pub may_stop: bool,
}

impl Fleet {
    /// The whole list as the node has it now.
    pub fn hosts_listed(&mut self, now: Timestamp, lines: Vec<(UnitName, Place, EndpointState)>) {
        self.now = now;
        let mut before = std::mem::take(&mut self.listing.lines);
        for (name, place, listed) in lines {
            let since = match before.remove(&name) {
                Some((_, was, since)) if was == listed => since,
                _ => now,
            };
            self.listing.lines.insert(name, (place, listed, since));
        }
        for (name, (place, was, since)) in before {
            let since = if was == EndpointState::Gone { since } else { now };
            self.listing.lines.insert(name, (place, EndpointState::Gone, since));
        }
        self.listing.fresh = true;
    }

    /// The list's service does not answer: what is known may be old.
    pub fn list_lost(&mut self, now: Timestamp) {
        self.now = now;
        self.listing.fresh = false;
    }

    /// Whether an order that asks for a host may be put to the group now.
    pub(crate) fn may_hold_hosts(&self) -> bool {
        self.listing.fresh || is_injected(InjectedFault::ListNotCounted)
    }

    /// Tells the node which hosts to keep away from, and how fast to leave them, if that has changed.
    pub(crate) fn follow_hosts(&mut self) {
        let Some(settings) = self.state.host_settings().filter(|_| self.is_current()) else { return };
        let out: BTreeSet<UnitName> = self
            .state
            .hosts
            .iter()
            .filter(|(_, host)| host.is_wanted_out())
            .map(|(name, _)| name.clone())
            .collect();
        // The rate is the fleet's. Danger: shared among those that are heard alone, the ones cut off would be too fast.
        let nodes = self.state.units.len().max(1) as u64;
        let every_ms = (nodes * 1_000).div_ceil(u64::from(settings.moves_per_second.max(1)));
        if self.eased.as_ref().is_none_or(|(known, pace)| *known != out || *pace != every_ms) {
            let first = self.eased.is_none() && out.is_empty();
            self.eased = Some((out.clone(), every_ms));
            if !first {
                // Danger: what the node has counted so far was counted while it still went there.
                self.holds_count = false;
                self.actions.push(Action::AvoidHosts { hosts: out, every_ms });
            }
        }
    }

    /// The leader's part; a look a second does, as lists change in seconds.
    pub(crate) fn look_after_hosts(&mut self) {
        let Some(settings) = self.state.host_settings() else { return };
        let forget_ms = u64::from(settings.forget_after_s) * 1_000;
        if self.host_watch.looked.is_some_and(|at| self.now.ms_since(at) < LOOKS_MS) {
            return;
        }
        self.host_watch.looked = Some(self.now);
        self.note_holds();
        if self.listing.fresh {
            self.tell_lines(forget_ms);
        }
        for (name, (held, applied)) in self.host_watch.stands.clone() {
            match held.hold {
                HoldState::Out if self.is_empty(&name, applied) => {
                    self.propose_own(Command::MarkHostEmpty { host: name, lease: held.lease });
                }
                HoldState::Returning if self.all_have(applied) => {
                    self.propose_own(Command::MarkHostReturned { host: name, lease: held.lease });
                }
                _ => {}
            }
        }
    }

    fn note_holds(&mut self) {
        let applied = self.state.applied;
        let mut stands = std::mem::take(&mut self.host_watch.stands);
        for (name, host) in &self.state.hosts {
            let Some(held) = host.held else { continue };
            let known = stands.remove(name).filter(|(known, _)| *known == held);
            self.host_watch.stands.insert(name.clone(), known.unwrap_or((held, applied)));
        }
    }

    fn tell_lines(&mut self, forget_ms: u64) {
        let mut lines = Vec::new();
        // Hosts that this leader's list never had are gone, as of now.
        let unknown = self.state.hosts.iter().filter(|(name, _)| !self.listing.lines.contains_key(*name));
        let unknown: Vec<(UnitName, Place)> =
            unknown.map(|(name, host)| (name.clone(), host.place.clone())).collect();
        for (name, place) in unknown {
            self.listing.lines.insert(name, (place, EndpointState::Gone, self.now));
        }
        for (name, (place, listed, since)) in &self.listing.lines {
            let stood = self.now.ms_since(*since);
            let known = self.state.hosts.get(name);
            let said = match (known, listed) {
                (None, EndpointState::Gone) => continue,
                (Some(known), EndpointState::Gone)
                    if known.listed == EndpointState::Gone && stood >= forget_ms =>
                {
                    None
                }
                // Danger: one that flaps between ready and draining would look back each time.
                (_, EndpointState::Ready) if stood < READY_MS => continue,
                (Some(known), listed) if known.listed == *listed && known.place == *place => continue,
                _ => Some(ListedHost { place: place.clone(), endpoint_state: *listed }),
            };
            lines.push(HostUpdate { host: name.clone(), listed: said });
            if lines.len() == IN_ONE_ENTRY {
                break;
            }
        }
        if !lines.is_empty() {
            self.propose_own(Command::UpdateHosts { updates: lines });
        }
    }

    /// Every unit has said, knowing that the host is held out, that it holds nothing there.
    fn is_empty(&self, host: &UnitName, applied: u64) -> bool {
        self.state.units.iter().all(|(name, unit)| {
            let passed_over = unit.dead || (unit.lost && is_injected(InjectedFault::EmptyWithoutLost));
            let says = self.fresh(name).is_some_and(|heard| {
                let none = |holds: &Vec<(UnitName, u32)>| !holds.iter().any(|(of, _)| of == host);
                // Danger: one that knows more than this leader may use the host again, and has nothing to say of it.
                let as_here = (applied..=self.state.applied).contains(&heard.heartbeat.have.applied);
                as_here && heard.heartbeat.holds.as_ref().is_some_and(none)
            });
            passed_over || says
        })
    }

    /// The host may stop: the group found it empty, and by all that is heard now it is.
    pub fn may_stop(&self, host: &UnitName) -> bool {
        let stands = self.host_watch.stands.get(host);
        let known = stands.filter(|(held, _)| held.hold == HoldState::Empty);
        let agreed = self.state.hosts.get(host).and_then(|host| host.held).map(|held| held.hold);
        let sound = self.leads() && self.hears_majority() && agreed == Some(HoldState::Empty);
        sound && known.is_some_and(|(_, applied)| self.is_empty(host, *applied))
    }

    /// Every unit that is heard of has taken in the log so far. One that is lost and still keeps away from a host only
    /// spares it.
    fn all_have(&self, applied: u64) -> bool {
        self.state.units.iter().all(|(name, unit)| {
            unit.lost || self.fresh(name).is_some_and(|heard| heard.heartbeat.have.applied >= applied)
        })
    }

    /// Who still holds what at hosts that are to be empty.
    pub(crate) fn draining_hosts(&self) -> Vec<DrainingHost<'_>> {
        if !self.leads() {
            return vec![];
        }
        let of = |host| {
            let holds = |name| {
                let heard = self.fresh(name)?;
                heard
                    .heartbeat
                    .holds
                    .iter()
                    .flatten()
                    .find(|(of, _)| of == host)
                    .map(|(_, count)| (name, *count))
            };
            DrainingHost {
                host,
                held_by: self.state.units.keys().filter_map(holds).collect(),
                not_heard: self
                    .state
                    .units
                    .iter()
                    .filter(|(name, unit)| !unit.dead && self.fresh(name).is_none())
                    .map(|(name, _)| name)
                    .collect(),
                may_stop: self.may_stop(host),
            }
        };
        let out = |host: &Host| host.is_wanted_out();
        self.state.hosts.iter().filter(|(_, host)| out(host)).map(|(name, _)| of(name)).collect()
    }
}
