//! Hosts in simulated time: an endpoint list that arrives late or stalls, nodes with connections, and the
//! invariants of hosts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use glendeck_fleet::hosts::{EndpointState, HoldState};
use glendeck_fleet::policy::{Amount, HostSettings, Limit, Limits, Place, UnitName};
use glendeck_fleet::state::{Cause, Lease};

use super::{Event, NANOS_PER_MS, World};

/// Time until a node notices that its endpoint list is stalled, in ms: the watch's wait and the node's own
/// timeout.
const LIST_STALL_NOTICED_MS: u64 = 24_000;

/// Time after which the leader must know that the list shows a host as out, in ms: the time until a stalled
/// list is noticed, one round of the leader's control and one log entry.
const LIST_KNOWN_MS: u64 = LIST_STALL_NOTICED_MS + 3_000;

const MOVES_PER_SECOND: u32 = 40;

/// How long a starting node waits for a voter to bring it up to date before it opens connections anyway, in
/// ms.
const FIRST_REPLY_TIMEOUT_MS: u64 = 4_000;

pub(crate) struct SimHost {
    pub listed: EndpointState,
    /// When the list began or stopped showing it as ready.
    readiness_changed_at: u64,
}

/// One node's endpoint list and connections.
#[derive(Default)]
pub(crate) struct NodeHosts {
    list: Vec<EndpointState>,
    /// The node receives no updates of its list.
    list_stalled: bool,
    avoided: BTreeSet<usize>,
    /// Connections by host.
    pub(super) connections: Vec<u32>,
    /// Interval between moves of connections off avoided hosts, in ms.
    every_ms: u64,
    /// A [`Event::MoveConnection`] is scheduled.
    is_moving: bool,
    started_at: u64,
}

#[derive(Default)]
pub(crate) struct Hosts {
    pub hosts: Vec<SimHost>,
    /// Leases that were checked against the limits when the first node began to avoid the host. They are
    /// checked only then, as no lease controls what the list shows later.
    checked_leases: BTreeSet<Lease>,
    /// When the host of each lease was first reported as empty.
    empty_since: BTreeMap<Lease, u64>,
    /// When connections were moved, over the last 5 s.
    recent_moves: VecDeque<u64>,
    /// Most hosts out at once, avoided or long shown as out by the list, without overrides.
    pub most_hosts_out: usize,
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
    pub(crate) fn create_hosts(&mut self, count: usize) {
        self.hosts.hosts =
            (0..count).map(|_| SimHost { listed: EndpointState::Ready, readiness_changed_at: 0 }).collect();
    }

    /// Sets what the list shows for a host from now on.
    pub(crate) fn set_listed(&mut self, host: usize, listed: EndpointState) {
        self.log_line(|| format!("the list shows h{host} as {listed:?}"));
        let now = self.now;
        let of = &mut self.hosts.hosts[host];
        if (of.listed == EndpointState::Ready) != (listed == EndpointState::Ready) {
            of.readiness_changed_at = now;
        }
        of.listed = listed;
        for node in 0..self.processes.len() {
            self.send_list(node);
        }
    }

    pub(crate) fn send_list(&mut self, node: usize) {
        let incarnation = self.processes[node].incarnation;
        if !self.hosts.hosts.is_empty() && !self.processes[node].node_hosts.list_stalled {
            let ms = 20 + self.random_below(250);
            self.schedule(ms, Event::DeliverList(node, incarnation));
        }
    }

    pub(crate) fn set_list_stalled(&mut self, node: usize, list_stalled: bool) {
        self.processes[node].node_hosts.list_stalled = list_stalled;
        let incarnation = self.processes[node].incarnation;
        if list_stalled {
            self.schedule(LIST_STALL_NOTICED_MS, Event::NoticeStalledList(node, incarnation));
        } else {
            self.send_list(node);
        }
    }

    pub(super) fn reset_node_hosts(&mut self, node: usize) {
        let (now, count) = (self.now, self.hosts.hosts.len());
        let list_stalled = self.processes[node].node_hosts.list_stalled;
        self.processes[node].node_hosts =
            NodeHosts { started_at: now, connections: vec![0; count], list_stalled, ..NodeHosts::default() };
        self.send_list(node);
    }

    pub(super) fn deliver_list(&mut self, node: usize) {
        if self.processes[node].node_hosts.list_stalled {
            return;
        }
        let list: Vec<EndpointState> = self.hosts.hosts.iter().map(|host| host.listed).collect();
        let lines =
            list.iter().enumerate().map(|(index, listed)| (name(index), place(index), *listed)).collect();
        self.processes[node].node_hosts.list = list;
        let now = self.clock(node);
        if let Some(fleet) = &mut self.processes[node].fleet {
            fleet.hosts_listed(now, lines);
        }
    }

    pub(super) fn notice_stalled_list(&mut self, node: usize) {
        let now = self.clock(node);
        if self.processes[node].node_hosts.list_stalled
            && let Some(fleet) = &mut self.processes[node].fleet
        {
            fleet.list_lost(now);
        }
    }

    /// Opens or closes a client's connection at a random host.
    pub(super) fn update_connections(&mut self, node: usize) {
        if self.hosts.hosts.is_empty() || !self.processes[node].serving {
            return;
        }
        let host = self.random_below(self.hosts.hosts.len() as u64) as usize;
        let opens = self.random_below(3) > 0;
        let (now, process) = (self.now, &mut self.processes[node]);
        let may_open = process.fleet.as_ref().is_some_and(|fleet| fleet.is_current())
            || now >= process.node_hosts.started_at + FIRST_REPLY_TIMEOUT_MS * NANOS_PER_MS;
        let node_hosts = &mut process.node_hosts;
        if !opens {
            node_hosts.connections[host] = node_hosts.connections[host].saturating_sub(1);
        } else if may_open
            && node_hosts.list.get(host) == Some(&EndpointState::Ready)
            && !node_hosts.avoided.contains(&host)
            && node_hosts.connections[host] < 20
        {
            node_hosts.connections[host] += 1;
            let started_at = node_hosts.started_at;
            let held = self.newest_state().and_then(|state| state.hosts.get(&name(host))?.held);
            let empty = held.filter(|held| held.hold == HoldState::Empty);
            if empty.is_some_and(|held| {
                self.hosts.empty_since.get(&held.lease).is_some_and(|since| started_at < *since)
            }) {
                self.report_violation(format!(
                    "n{node} opened a connection at h{host}, which was reported as empty"
                ));
            }
        }
    }

    pub(super) fn held_connections(&self, node: usize) -> Vec<(UnitName, u32)> {
        let node_hosts = &self.processes[node].node_hosts;
        let count_at = |host: &usize| (name(*host), node_hosts.connections.get(*host).copied().unwrap_or(0));
        node_hosts.avoided.iter().map(count_at).filter(|(_, count)| *count > 0).collect()
    }

    pub(super) fn avoid_hosts(&mut self, node: usize, hosts: &BTreeSet<UnitName>, every_ms: u64) {
        self.log_line(|| format!("n{node} avoids {hosts:?}, moves one connection every {every_ms} ms"));
        let incarnation = self.processes[node].incarnation;
        let hosts: BTreeSet<usize> = hosts.iter().filter_map(|host| host.0[1..].parse().ok()).collect();
        let node_hosts = &mut self.processes[node].node_hosts;
        let new_hosts: Vec<usize> = hosts.difference(&node_hosts.avoided).copied().collect();
        (node_hosts.avoided, node_hosts.every_ms) = (hosts, every_ms);
        let begins = !node_hosts.avoided.is_empty() && !std::mem::replace(&mut node_hosts.is_moving, true);
        if begins {
            let first = self.random_below(every_ms.max(1));
            self.schedule(first, Event::MoveConnection(node, incarnation));
        }
        for host in new_hosts {
            let held = self.newest_state().and_then(|state| state.hosts.get(&name(host))?.held);
            if held.is_none_or(|held| self.hosts.checked_leases.insert(held.lease)) {
                self.check_host_limits(host);
            }
        }
    }

    pub(super) fn move_connection(&mut self, node: usize) {
        let incarnation = self.processes[node].incarnation;
        let node_hosts = &mut self.processes[node].node_hosts;
        if node_hosts.avoided.is_empty() {
            node_hosts.is_moving = false;
            return;
        }
        let every = node_hosts.every_ms;
        if let Some(host) = node_hosts.avoided.iter().copied().find(|host| node_hosts.connections[*host] > 0)
        {
            node_hosts.connections[host] -= 1;
            self.hosts.recent_moves.push_back(self.now);
            while self
                .hosts
                .recent_moves
                .front()
                .is_some_and(|moved_at| self.now - moved_at > 5_000 * NANOS_PER_MS)
            {
                self.hosts.recent_moves.pop_front();
            }
            // The nodes' clocks may be 4 % fast.
            let most = 5 * MOVES_PER_SECOND as usize * 26 / 25 + self.processes.len();
            if self.hosts.recent_moves.len() > most {
                self.report_violation(format!(
                    "{} moves within 5 s, at most {most} allowed",
                    self.hosts.recent_moves.len()
                ));
            }
        }
        self.schedule(every, Event::MoveConnection(node, incarnation));
    }

    /// Checks that the hosts that the fleet's nodes avoid, and those that the list has long shown as out, are
    /// within the limits.
    fn check_host_limits(&mut self, new_host: usize) {
        let Some(state) = self.newest_state() else { return };
        let is_override = |host: &usize| {
            let held = state.hosts.get(&name(*host)).and_then(|host| host.held);
            held.is_some_and(|held| held.cause == Cause::Override)
        };
        if is_override(&new_host) {
            return;
        }
        // Lost nodes are not counted: they may avoid a host for longer, which only keeps load off it.
        let counts = |process: &&super::Process| {
            process.fleet.is_some() && state.units.get(&process.name).is_some_and(|unit| !unit.lost)
        };
        let mut out: BTreeSet<usize> = self
            .processes
            .iter()
            .filter(counts)
            .flat_map(|process| process.node_hosts.avoided.iter().copied())
            .collect();
        let long_out = |host: &SimHost| {
            host.listed != EndpointState::Ready
                && self.now > host.readiness_changed_at + LIST_KNOWN_MS * NANOS_PER_MS
        };
        out.extend((0..self.hosts.hosts.len()).filter(|index| long_out(&self.hosts.hosts[*index])));
        out.retain(|host| !is_override(host));
        self.hosts.most_hosts_out = self.hosts.most_hosts_out.max(out.len());
        let all = self.hosts.hosts.len() as u32;
        let limits = settings().limits;
        let zone = out.iter().filter(|host| **host % 3 == new_host % 3).count() as u32;
        if out.len() as u32 > limits.fleet.room(all) || zone > limits.zone.room(all / 3) {
            self.report_violation(format!("hosts {out:?} are out at once, with h{new_host}"));
        }
    }

    /// Checks that no running node, heard or not, holds connections at a host that is reported as empty,
    /// except nodes that an operator has confirmed dead.
    pub(super) fn check_hosts_empty(&mut self, node: usize) {
        // Operators get this report only in a confirmed status, so a former leader's view does not count.
        let newest = self.newest_state().map_or(0, |state| state.applied);
        let confirmed = |fleet: &&glendeck_fleet::Fleet| fleet.leads() && fleet.state().applied >= newest;
        let Some(fleet) = self.processes[node].fleet.as_ref().filter(confirmed) else { return };
        let reported_empty: Vec<(usize, Lease)> = fleet
            .state()
            .hosts
            .iter()
            .filter(|(name, _)| fleet.may_stop(name))
            .filter_map(|(name, host)| Some((name.0[1..].parse().ok()?, host.held?.lease)))
            .collect();
        for (host, lease) in reported_empty {
            self.hosts.empty_since.entry(lease).or_insert(self.now);
            let holder = self.processes.iter().position(|process| {
                let is_confirmed_dead = self
                    .newest_state()
                    .is_some_and(|state| state.units.get(&process.name).is_some_and(|unit| unit.dead));
                process.fleet.is_some()
                    && !is_confirmed_dead
                    && process.node_hosts.connections.get(host).is_some_and(|of| *of > 0)
            });
            if let Some(holder) = holder {
                self.report_violation(format!(
                    "h{host} is reported as empty, but n{holder} holds connections there"
                ));
            }
        }
    }

    pub(crate) fn connections_at(&self, host: usize) -> u32 {
        self.processes.iter().filter_map(|process| process.node_hosts.connections.get(host)).sum()
    }

    pub(crate) fn hold_of(&self, host: usize) -> Option<HoldState> {
        Some(self.newest_state()?.hosts.get(&name(host))?.held?.hold)
    }
}
