//! A node: the part of a balancer that makes the decisions.
//!
//! Start one with [`Node::start`], then report each event, in order, through its other methods. The node
//! responds on the [`Port`] that is passed in. docs/design.md describes where the mechanism comes from.
//!
//! A call passes the stages of [`CHAIN`]: [`eligibility`] decides whether it may still be tried,
//! [`placement`] chooses its host, and [`dispatch`] is the only place that checks and sends attempts. The end
//! of an attempt passes the stages in reverse order. Each submodule adds one concern to [`Node`] and imports
//! no other submodule; the shared state is in [`crate::state`].

mod admission;
mod affinity;
mod dispatch;
mod eligibility;
mod endpoint_list;
mod events;
mod idempotency;
mod outlier_detection;
mod overload;
mod placement;
mod rebalancing;
mod reconfiguration;
mod score;
mod slow_start;
mod snapshot;
mod tick;

use std::ops::ControlFlow;

use nanorand::{Rng, WyRand};
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::domain::{CallId, HostId, Settings, Time};
use crate::port::Port;
use crate::state::call::{AttemptEnd, CallIndex, InFlightCall};
use crate::state::concurrency_limit::ConcurrencyLimit;
use crate::state::endpoint_watch::{EndpointWatch, request_spread};
use crate::state::fleet_estimate::FleetEstimate;
use crate::state::groups::{GroupTable, HomeOrder};
use crate::state::host::{Host, HostIndex};
use crate::state::host_size::SizeEstimator;
use crate::state::load_cache::LoadCache;
use crate::state::load_stats::LoadStats;
use crate::state::retry_counter::RetryCounter;
use crate::state::timers::{TICK_PERIOD, TICK_TIMER};
use crate::state::traffic_stats::TrafficStats;
use crate::state::waiting_queue::WaitingQueue;

/// Result of one stage for a call.
enum StageResult {
    /// The call goes on to the next stage.
    Continue,
    /// The call is put into the waiting queue.
    Enqueue,
    /// The call gets its final answer now.
    Answer,
}

/// One stage of the chain: `forward` handles a call, `unwind` the end of an attempt.
struct Stage {
    forward: fn(&mut Node, CallIndex, &mut dyn Port) -> StageResult,
    unwind: fn(&mut Node, CallIndex, AttemptEnd, &mut dyn Port) -> ControlFlow<()>,
}

const CHAIN: [Stage; 3] = [
    Stage { forward: Node::check_eligibility, unwind: Node::finish_or_retry },
    Stage { forward: Node::place, unwind: Node::learn_from_attempt },
    Stage { forward: Node::send, unwind: Node::release_slot },
];

/// All state and all decisions of one node.
pub struct Node {
    settings: Settings,
    rng: WyRand,
    /// Time of the event that is being handled.
    now: Time,
    hosts: Vec<Host>,
    /// Hosts ordered by id.
    hosts_by_id: Vec<HostIndex>,
    host_index: FxHashMap<HostId, HostIndex>,
    calls: Slab<InFlightCall>,
    call_index: FxHashMap<CallId, CallIndex>,
    groups: GroupTable,
    home_order: HomeOrder,
    fleet: FleetEstimate,
    sizes: SizeEstimator,
    setup_limit: ConcurrencyLimit,
    waiting: WaitingQueue,
    loads: LoadStats,
    load_cache: LoadCache,
    traffic: TrafficStats,
    retries: RetryCounter,
    /// Number of ticks so far.
    ticks: u64,
    last_tick: Time,
    /// Last host considered when hosts in service are probed in turn to measure their probe times.
    probe_cursor: HostIndex,
    /// Ejections are ignored: more than half of the ready hosts are ejected, which points to a fault of this
    /// node rather than of the hosts.
    is_in_panic_mode: bool,
    endpoint_watch: EndpointWatch,
}

impl Node {
    /// Starts a node that knows no hosts yet. All random numbers derive from the seed.
    pub fn start(settings: Settings, seed: u64, now: Time, port: &mut dyn Port) -> Node {
        let settings = settings.with_effective_revenue();
        let mut rng = WyRand::new_seed(seed);
        // Nodes that start together tick at different times, so that their migrations do not coincide.
        let tick_offset = TICK_PERIOD.times(f64::from(rng.generate::<f32>()));
        port.set_timer(now + tick_offset, TICK_TIMER);
        let watch_offset = request_spread(&settings).times(f64::from(rng.generate::<f32>()));
        let endpoint_watch = EndpointWatch::start(&settings, now, watch_offset, port);
        Node {
            rng,
            now,
            hosts: Vec::new(),
            hosts_by_id: Vec::new(),
            host_index: FxHashMap::default(),
            calls: Slab::new(),
            call_index: FxHashMap::default(),
            groups: GroupTable::default(),
            home_order: HomeOrder::default(),
            fleet: FleetEstimate::default(),
            sizes: SizeEstimator::default(),
            setup_limit: ConcurrencyLimit::new(),
            waiting: WaitingQueue::default(),
            loads: LoadStats::new(settings.classes.len()),
            load_cache: LoadCache::default(),
            traffic: TrafficStats::default(),
            retries: RetryCounter::default(),
            ticks: 0,
            last_tick: now,
            probe_cursor: 0,
            is_in_panic_mode: false,
            endpoint_watch,
            settings,
        }
    }

    /// Passes a call through the stages, from the first to the last.
    fn forward(&mut self, call_index: CallIndex, port: &mut dyn Port) {
        for stage in &CHAIN {
            match (stage.forward)(self, call_index, port) {
                StageResult::Continue => {}
                StageResult::Enqueue => return self.enqueue(call_index, port),
                StageResult::Answer => return self.answer(call_index, port),
            }
        }
    }

    /// Passes the end of an attempt through the stages, from the last to the first.
    fn unwind(&mut self, call_index: CallIndex, end: AttemptEnd, port: &mut dyn Port) {
        for stage in CHAIN.iter().rev() {
            if (stage.unwind)(self, call_index, end, port).is_break() {
                return;
            }
        }
    }

    /// A random number from 0 to below 1.
    fn random(&mut self) -> f64 {
        f64::from(self.rng.generate::<f32>())
    }

    /// A random factor from 0.5 to 1, which spreads simultaneous events over the second half of a wait.
    fn second_half_jitter(&mut self) -> f64 {
        0.5 + 0.5 * self.random()
    }

    /// A random factor from 0.75 to 1.25, so that nodes do not act at the same time.
    fn jitter(&mut self) -> f64 {
        0.75 + 0.5 * self.random()
    }
}
