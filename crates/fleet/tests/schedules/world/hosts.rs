//! Hosts in simulated time: a list that is told late or stands still, nodes with connections, and what the checker
//! holds against them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use glendeck_fleet::hosts::{EndpointState, HoldState};
use glendeck_fleet::policy::{Amount, HostSettings, Limit, Limits, Place, UnitName};
use glendeck_fleet::state::{Cause, Lease};

use super::{Event, MS, World};

/// A node's list may stand still for so long before its watch says so: the wait and the patience of the node.
const STANDS_MS: u64 = 24_000;

/// A leader knows a host to be out after its list's lag, one look and an entry.
const LIST_KNOWN_MS: u64 = STANDS_MS + 3_000;

const MOVES_PER_SECOND: u32 = 40;

/// A node that starts waits so long for a voter's word.
const FIRST_WORD_MS: u64 = 4_000;

pub(crate) struct SimHost {
    pub listed: EndpointState,
    since: u64,
}

/// One node's side.
#[derive(Default)]
pub(crate) struct Side {
    list: Vec<EndpointState>,
    /// It is told nothing.
    stands: bool,
    keeps: BTreeSet<usize>,
    pub(super) conns: Vec<u32>,
    every_ms: u64,
    easing: bool,
    began: u64,
}

#[derive(Default)]
pub(crate) struct Hosts {
    pub hosts: Vec<SimHost>,
    /// Permits that were looked at as nodes began to keep away: what the list shows later is nobody's to grant.
    granted: BTreeSet<Lease>,
    /// When each lease's host was first said to be empty.
    empty: BTreeMap<Lease, u64>,
    moved: VecDeque<u64>,
    pub most_kept: usize,
}

pub(crate) fn settings() -> HostSettings {
    HostSettings {
        limits: Limits {
            fleet: Limit { most_out: Some(Amount::Part(340)), least_left: None },
            zone: Limit { most_out: Some(Amount::Count(1)), least_left: None },
            ..Limits::default()
        },
        moves_per_second: MOVES_PER_SECOND,
        forget_after_s: 60,
    }
}

fn name(host: usize) -> UnitName {
    UnitName(format!("h{host}"))
}

fn place(host: usize) -> Place {
    Place { zone: format!("z{}", host % 3), cell: String::new(), kind: String::new() }
}

impl World {
    pub(crate) fn with_hosts(&mut self, count: usize) {
        self.hosts.hosts = (0..count).map(|_| SimHost { listed: EndpointState::Ready, since: 0 }).collect();
    }

    /// What the list says from here on.
    pub(crate) fn list_says(&mut self, host: usize, listed: EndpointState) {
        self.say(|| format!("the list shows h{host} as {listed:?}"));
        let now = self.now;
        let of = &mut self.hosts.hosts[host];
        if (of.listed == EndpointState::Ready) != (listed == EndpointState::Ready) {
            of.since = now;
        }
        of.listed = listed;
        for at in 0..self.procs.len() {
            self.tell_list(at);
        }
    }

    pub(crate) fn tell_list(&mut self, at: usize) {
        let incarnation = self.procs[at].incarnation;
        if !self.hosts.hosts.is_empty() && !self.procs[at].side.stands {
            let ms = 20 + self.roll(250);
            self.at(ms, Event::List(at, incarnation));
        }
    }

    pub(crate) fn list_stands(&mut self, at: usize, stands: bool) {
        self.procs[at].side.stands = stands;
        let incarnation = self.procs[at].incarnation;
        if stands {
            self.at(STANDS_MS, Event::ListLost(at, incarnation));
        } else {
            self.tell_list(at);
        }
    }

    pub(super) fn begin_side(&mut self, at: usize) {
        let (now, count) = (self.now, self.hosts.hosts.len());
        let stands = self.procs[at].side.stands;
        self.procs[at].side = Side { began: now, conns: vec![0; count], stands, ..Side::default() };
        self.tell_list(at);
    }

    pub(super) fn list_came(&mut self, at: usize) {
        if self.procs[at].side.stands {
            return;
        }
        let list: Vec<EndpointState> = self.hosts.hosts.iter().map(|host| host.listed).collect();
        let lines = list.iter().enumerate().map(|(at, listed)| (name(at), place(at), *listed)).collect();
        self.procs[at].side.list = list;
        let now = self.clock(at);
        if let Some(fleet) = &mut self.procs[at].fleet {
            fleet.hosts_listed(now, lines);
        }
    }

    pub(super) fn list_lost(&mut self, at: usize) {
        let now = self.clock(at);
        if self.procs[at].side.stands
            && let Some(fleet) = &mut self.procs[at].fleet
        {
            fleet.list_lost(now);
        }
    }

    /// A node's clients come and go.
    pub(super) fn serve(&mut self, at: usize) {
        if self.hosts.hosts.is_empty() || !self.procs[at].serving {
            return;
        }
        let host = self.roll(self.hosts.hosts.len() as u64) as usize;
        let comes = self.roll(3) > 0;
        let (now, process) = (self.now, &mut self.procs[at]);
        let knows = process.fleet.as_ref().is_some_and(|fleet| fleet.is_current())
            || now >= process.side.began + FIRST_WORD_MS * MS;
        let side = &mut process.side;
        if !comes {
            side.conns[host] = side.conns[host].saturating_sub(1);
        } else if knows
            && side.list.get(host) == Some(&EndpointState::Ready)
            && !side.keeps.contains(&host)
            && side.conns[host] < 20
        {
            side.conns[host] += 1;
            let began = side.began;
            let held = self.newest().and_then(|state| state.hosts.get(&name(host))?.held);
            let empty = held.filter(|held| held.hold == HoldState::Empty);
            if empty.is_some_and(|held| self.hosts.empty.get(&held.lease).is_some_and(|since| began < *since))
            {
                self.break_rule(format!("n{at} opened a connection at h{host}, which was said to be empty"));
            }
        }
    }

    pub(super) fn holds(&self, at: usize) -> Vec<(UnitName, u32)> {
        let side = &self.procs[at].side;
        let of = |host: &usize| (name(*host), side.conns.get(*host).copied().unwrap_or(0));
        side.keeps.iter().map(of).filter(|(_, count)| *count > 0).collect()
    }

    pub(super) fn keep_from(&mut self, at: usize, hosts: &BTreeSet<UnitName>, every_ms: u64) {
        self.say(|| format!("n{at} keeps from {hosts:?}, one each {every_ms} ms"));
        let incarnation = self.procs[at].incarnation;
        let hosts: BTreeSet<usize> = hosts.iter().filter_map(|host| host.0[1..].parse().ok()).collect();
        let side = &mut self.procs[at].side;
        let fresh: Vec<usize> = hosts.difference(&side.keeps).copied().collect();
        (side.keeps, side.every_ms) = (hosts, every_ms);
        let begins = !side.keeps.is_empty() && !std::mem::replace(&mut side.easing, true);
        if begins {
            let first = self.roll(every_ms.max(1));
            self.at(first, Event::Ease(at, incarnation));
        }
        for host in fresh {
            let held = self.newest().and_then(|state| state.hosts.get(&name(host))?.held);
            if held.is_none_or(|held| self.hosts.granted.insert(held.lease)) {
                self.check_hosts(host);
            }
        }
    }

    pub(super) fn ease(&mut self, at: usize) {
        let incarnation = self.procs[at].incarnation;
        let side = &mut self.procs[at].side;
        if side.keeps.is_empty() {
            side.easing = false;
            return;
        }
        let every = side.every_ms;
        if let Some(host) = side.keeps.iter().copied().find(|host| side.conns[*host] > 0) {
            side.conns[host] -= 1;
            self.hosts.moved.push_back(self.now);
            while self.hosts.moved.front().is_some_and(|at| self.now - at > 5_000 * MS) {
                self.hosts.moved.pop_front();
            }
            // By clocks that are fast by a 25th.
            let most = 5 * MOVES_PER_SECOND as usize * 26 / 25 + self.procs.len();
            if self.hosts.moved.len() > most {
                self.break_rule(format!("{} moves within 5 s, {most} may be", self.hosts.moved.len()));
            }
        }
        self.at(every, Event::Ease(at, incarnation));
    }

    /// Hosts that nodes of the group keep away from, and those that have long been out by the list, are within the limits.
    fn check_hosts(&mut self, fresh: usize) {
        let Some(state) = self.newest() else { return };
        let beyond = |host: &usize| {
            let held = state.hosts.get(&name(*host)).and_then(|host| host.held);
            held.is_some_and(|held| held.cause == Cause::Override)
        };
        if beyond(&fresh) {
            return;
        }
        // A node that is lost to the group may keep away from a host for longer: that spares the host and no more.
        let counts = |process: &&super::Process| {
            process.fleet.is_some() && state.units.get(&process.name).is_some_and(|unit| !unit.lost)
        };
        let mut out: BTreeSet<usize> =
            self.procs.iter().filter(counts).flat_map(|process| process.side.keeps.iter().copied()).collect();
        let long = |host: &SimHost| {
            host.listed != EndpointState::Ready && self.now > host.since + LIST_KNOWN_MS * MS
        };
        out.extend((0..self.hosts.hosts.len()).filter(|at| long(&self.hosts.hosts[*at])));
        out.retain(|host| !beyond(host));
        self.hosts.most_kept = self.hosts.most_kept.max(out.len());
        let all = self.hosts.hosts.len() as u32;
        let limits = settings().limits;
        let zone = out.iter().filter(|host| **host % 3 == fresh % 3).count() as u32;
        if out.len() as u32 > limits.fleet.room(all) || zone > limits.zone.room(all / 3) {
            self.break_rule(format!("hosts {out:?} are out at once, with h{fresh}"));
        }
    }

    /// What is said to be empty is, at every node that lives, whoever hears it.
    pub(super) fn check_empty(&mut self, at: usize) {
        // Operators are told so in a confirmed status alone: what a former leader believes is none.
        let newest = self.newest().map_or(0, |state| state.applied);
        let confirmed = |fleet: &&glendeck_fleet::Fleet| fleet.leads() && fleet.state().applied >= newest;
        let Some(fleet) = self.procs[at].fleet.as_ref().filter(confirmed) else { return };
        let said: Vec<(usize, Lease)> = fleet
            .state()
            .hosts
            .iter()
            .filter(|(name, _)| fleet.may_stop(name))
            .filter_map(|(name, host)| Some((name.0[1..].parse().ok()?, host.held?.lease)))
            .collect();
        for (host, lease) in said {
            self.hosts.empty.entry(lease).or_insert(self.now);
            let holder = self.procs.iter().position(|process| {
                let declared = self
                    .newest()
                    .is_some_and(|state| state.units.get(&process.name).is_some_and(|unit| unit.dead));
                process.fleet.is_some() && !declared && process.side.conns.get(host).is_some_and(|of| *of > 0)
            });
            if let Some(holder) = holder {
                self.break_rule(format!(
                    "h{host} is said to be empty, and n{holder} holds connections there"
                ));
            }
        }
    }

    pub(crate) fn conns_at(&self, host: usize) -> u32 {
        self.procs.iter().filter_map(|process| process.side.conns.get(host)).sum()
    }

    pub(crate) fn hold_of(&self, host: usize) -> Option<HoldState> {
        Some(self.newest()?.hosts.get(&name(host))?.held?.hold)
    }
}
