//! Rebalancing: migrates one connection at a time from the most loaded host, without naming a target (the gap
//! test of docs/design.md).

use super::Node;
use crate::domain::Condition;
use crate::port::Port;
use crate::state::host::HostIndex;

/// Share of the highest load that the gap to the lowest load must exceed.
const MIN_GAP_SHARE: f64 = 0.2;
/// Minimum gap between the highest and the lowest load, in connections or in multiples of the mean load.
const MIN_GAP: f64 = 2.0;

/// A host and its load for each unit of size.
#[derive(Clone, Copy)]
struct LoadedHost {
    host: HostIndex,
    load: f64,
}

impl Node {
    /// Migrates a random connection of the most loaded host if the gap to the least loaded host is wide
    /// enough.
    pub(super) fn rebalance(&mut self, port: &mut dyn Port) {
        let Some((highest, lowest)) = self.load_extremes() else { return };
        if !self.is_gap_wide(highest, lowest) {
            return;
        }
        if let Some(call_index) = self.random_open_call(highest.host) {
            self.migrate(call_index, port);
        }
    }

    /// The most loaded ready host and the least loaded available one.
    fn load_extremes(&self) -> Option<(LoadedHost, LoadedHost)> {
        let remote_zone_load = self.remote_zone_load();
        let mut highest: Option<LoadedHost> = None;
        let mut lowest: Option<LoadedHost> = None;
        for host in 0..self.hosts.len() {
            if self.hosts[host].condition != Condition::Ready {
                continue;
            }
            let load = self.relative_load(host, remote_zone_load);
            let candidate = LoadedHost { host, load };
            if highest.is_none_or(|highest| load > highest.load) {
                highest = Some(candidate);
            }
            if self.is_available(host) && lowest.is_none_or(|lowest| load < lowest.load) {
                lowest = Some(candidate);
            }
        }
        highest.zip(lowest)
    }

    fn is_gap_wide(&self, highest: LoadedHost, lowest: LoadedHost) -> bool {
        if highest.load - lowest.load <= MIN_GAP_SHARE * highest.load {
            return false;
        }
        let upper = &self.hosts[highest.host];
        let lower = &self.hosts[lowest.host];
        let more_connections = upper.calls.len() as f64 - lower.calls.len() as f64;
        let more_load = upper.work.smoothed_rate - lower.work.smoothed_rate;
        let is_heavier = self.loads.mean > 0.0 && more_load >= MIN_GAP * self.loads.mean;
        more_connections >= MIN_GAP || is_heavier
    }
}
