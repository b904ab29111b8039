//! Connections by group, and each group's order of preference among the hosts. The preferred hosts of a
//! group, and those that have connections of it, are its homes.

use rustc_hash::FxHashMap;

use crate::domain::GroupId;
use crate::state::host::HostIndex;

/// Connections of one group.
#[derive(Default)]
struct GroupConnections {
    total: u32,
    by_host: Vec<u32>,
}

/// A host on which a lost node had connections of the group; it counts as one connection for some seconds.
struct InheritedHome {
    seconds_left: u32,
    group: GroupId,
    host: HostIndex,
}

/// The groups of all in-flight connections.
#[derive(Default)]
pub(crate) struct GroupTable {
    groups: FxHashMap<GroupId, GroupConnections>,
    /// Number of pairs of connections that belong to the same group.
    pairs: i64,
    /// Number of connections that belong to any group.
    pub total: i64,
    /// Smoothed probability that two connections belong to the same group.
    pub similarity: f64,
    inherited: Vec<InheritedHome>,
}

impl GroupTable {
    /// Number of connections of the group.
    pub(crate) fn connections(&self, group: GroupId) -> u32 {
        self.groups.get(&group).map_or(0, |connections| connections.total)
    }

    /// The group's connections by host index; trailing hosts without any may be missing.
    pub(crate) fn connections_by_host(&self, group: GroupId) -> &[u32] {
        self.groups.get(&group).map_or(&[], |connections| &connections.by_host)
    }

    /// Adds or removes one connection (`change` is 1 or -1).
    pub(crate) fn count(&mut self, group: Option<GroupId>, host: HostIndex, change: i32) {
        let Some(group) = group else { return };
        let connections = self.groups.entry(group).or_default();
        if connections.by_host.len() <= host {
            connections.by_host.resize(host + 1, 0);
        }
        connections.by_host[host] = connections.by_host[host].wrapping_add_signed(change);
        let total_before = i64::from(connections.total);
        connections.total = connections.total.wrapping_add_signed(change);
        self.pairs += if change > 0 { total_before } else { 1 - total_before };
        self.total += i64::from(change);
    }

    /// Updates the similarity by the smoothing factor and expires inherited homes; called once per second.
    pub(crate) fn tick(&mut self, smoothing: f64) {
        let total = self.total as f64;
        let similarity_now = 2.0 * self.pairs as f64 / (total * (total - 1.0)).max(1.0);
        self.similarity += (similarity_now - self.similarity) * smoothing;
        for home in &mut self.inherited {
            home.seconds_left -= 1;
        }
        while let Some(expired) = self.inherited.iter().position(|home| home.seconds_left == 0) {
            let home = self.inherited.swap_remove(expired);
            self.count(Some(home.group), home.host, -1);
        }
    }

    /// Groups with the hosts of their connections, in arbitrary order, without inherited homes.
    pub(crate) fn homes(&self) -> impl Iterator<Item = (GroupId, HostIndex)> {
        let occupied = self.groups.iter().flat_map(|(group, connections)| {
            let by_host = connections.by_host.iter().enumerate();
            by_host.filter(|(_, count)| **count > 0).map(|(host, count)| (*group, host, *count))
        });
        occupied.filter_map(|(group, host, count)| {
            let is_same = |home: &&InheritedHome| home.group == group && home.host == host;
            let inherited = self.inherited.iter().filter(is_same).count();
            (count as usize > inherited).then_some((group, host))
        })
    }

    /// Makes the host a home of the group for `seconds`, as it was at a lost node.
    pub(crate) fn inherit_home(&mut self, group: GroupId, host: HostIndex, seconds: u32) {
        self.inherited.push(InheritedHome { seconds_left: seconds, group, host });
        self.count(Some(group), host, 1);
    }
}

/// Order of all hosts for the group of the call that is being placed, by weighted rendezvous hashing. The
/// buffers are reused from call to call.
#[derive(Default)]
pub(crate) struct HomeOrder {
    /// Key of each host, by index; low keys come first, hosts with infinite keys cannot be homes.
    pub keys: Vec<f64>,
    scratch: Vec<f64>,
    /// Key of the last host that counts as a home.
    last_home_key: f64,
}

impl HomeOrder {
    /// Discards the order of the previous call.
    pub(crate) fn clear(&mut self) {
        self.keys.clear();
        self.last_home_key = f64::MAX;
    }

    /// Makes the first `home_count` hosts in the order homes.
    pub(crate) fn set_home_count(&mut self, home_count: usize) {
        self.scratch.clear();
        self.scratch.extend_from_slice(&self.keys);
        if home_count < self.scratch.len() {
            let (_, last, _) = self.scratch.select_nth_unstable_by(home_count - 1, f64::total_cmp);
            self.last_home_key = last.min(f64::MAX);
        }
    }

    /// A host's distance from the group: 0 if it has connections of the group or the call has no group, up to
    /// 1 for other homes, above 1 for the rest.
    pub(crate) fn distance(&self, host: HostIndex) -> f64 {
        self.keys.get(host).map_or(0.0, |key| (key / self.last_home_key).min(1e9))
    }
}
