//! Estimate of the connections that other nodes have on each host.

use crate::domain::Condition;
use crate::state::host::Host;

/// How far a host can be filled in one step of the redistribution.
pub(crate) struct FillLimit {
    /// Share of its capacity that the host has at present.
    pub slow_start_share: f64,
    /// Largest increase of a cold host's remote load in this step.
    pub max_fill: f64,
}

/// Estimated remote load per unit of size, over the hosts that have any; 1 if none has.
pub(crate) fn remote_load_per_size(hosts: &[Host]) -> f64 {
    let occupied_size =
        hosts.iter().filter(|host| host.remote_load > 0.0).map(|host| host.size.0).sum::<f64>();
    let remote_load = hosts.iter().map(|host| host.remote_load).sum::<f64>();
    if remote_load > 0.0 { remote_load / occupied_size.max(1e-9) } else { 1.0 }
}

/// Advances the estimate by one step: the share `ending_share` of the connections of ready hosts ends, and
/// all connections of the others; all are placed anew. Cold hosts are filled first; the rest goes to warm
/// hosts in proportion to their size, or to all ready hosts if none is warm.
pub(crate) fn redistribute(hosts: &mut [Host], ending_share: f64, fill_limits: &[FillLimit]) {
    let mut unplaced = 0.0;
    let mut warm_size = 0.0;
    let mut ready_size = 0.0;
    for (host, limit) in hosts.iter_mut().zip(fill_limits) {
        let is_ready = host.condition == Condition::Ready;
        let ending = host.remote_load * if is_ready { ending_share } else { 1.0 };
        host.remote_load -= ending;
        unplaced += ending;
        ready_size += if is_ready { host.size.0 } else { 0.0 };
        warm_size += if is_ready && limit.slow_start_share >= 1.0 { host.size.0 } else { 0.0 };
    }
    let is_ready = |(host, _): &(&mut Host, &FillLimit)| host.condition == Condition::Ready;
    for (host, limit) in hosts.iter_mut().zip(fill_limits).filter(is_ready) {
        if limit.slow_start_share < 1.0 {
            let room = host.size.0 * limit.slow_start_share - host.remote_load;
            let fill = limit.max_fill.min(room).clamp(0.0, unplaced);
            host.remote_load += fill;
            unplaced -= fill;
        }
    }
    for (host, limit) in hosts.iter_mut().zip(fill_limits).filter(is_ready) {
        if warm_size <= 0.0 || limit.slow_start_share >= 1.0 {
            let target_size = if warm_size > 0.0 { warm_size } else { ready_size };
            host.remote_load += unplaced * host.size.0 / target_size;
        }
    }
}
