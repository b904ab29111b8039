//! Nodes, hosts and clients in simulated time, and the guarantees that are checked: no work item runs twice,
//! and every call has its answer in time.

mod clients;
mod hosts;
mod nodes;
mod scenario;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{PriorAttempt, ReplicaMessage, Takeover};
use nanorand::{Rng, WyRand};

pub(crate) use scenario::Scenario;
use scenario::{Fault, Link};

const NODES: usize = 5;
const VOTERS: usize = 3;
const HOSTS: u64 = 4;
const WORK_ITEMS: usize = 70;
/// Hosts of one cell recognise a key for this long.
const KEY_WINDOW_MS: u64 = 3_000;
const RETENTION_MS: u64 = 8_000;
const CALL_TIMEOUT_MS: u64 = 2_000;
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;
/// The fleet declares a node lost after this long without contact to the leader, and back after as long with
/// it.
const LOST_AFTER_MS: u64 = 5_000;
/// A node counts as in contact with the leader for this long after its last link to it.
const LEADER_CONTACT_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Idempotency {
    NonIdempotent,
    Keyed,
}

/// Events at nodes hold, in this order, the node, its incarnation, the call, the attempt and the host, as far
/// as they apply.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    /// A client arrives at a node with a work item; the last number counts its repeats so far.
    ClientArrives(usize, usize, u32),
    /// A message reaches a node; the third field is the sender.
    MessageArrives(usize, u64, usize, ReplicaMessage),
    /// A node reads a client's request.
    RequestRead(usize, u64, u64),
    /// A node notices that the client has gone.
    ClientClosed(usize, u64, u64),
    /// An attempt of a node's call reaches its host.
    AttemptArrives(usize, u64, u64, u32, u64),
    HostReplied(usize, u64, u64, u32, HostReply),
    AttemptDeadline(usize, u64, u64, u32),
    /// A client receives its answer, or none if the connection broke.
    ClientAnswered(usize, u32, Option<ClientAnswer>),
    ClientGivesUp(usize, u32),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HostReply {
    Established,
    Rejected,
    Error,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientAnswer {
    Established,
    Rejected,
    Failed,
}

struct InFlightCall {
    work: usize,
    /// 0 for the first call with the work item, and a new number for each repeat.
    repeat: u32,
    deadline_at: u64,
    attempts: u32,
    /// The first attempt of earlier calls that may have run.
    inherited_prior: Option<PriorAttempt>,
    /// The first attempt of this call that may have run.
    own_prior: Option<PriorAttempt>,
    /// The host of the attempt that is pending or in flight, and whether the attempt was sent.
    current: Option<(u64, bool)>,
}

struct Node {
    takeover: Option<Takeover>,
    incarnation: u64,
    is_paused: bool,
    deferred_events: Vec<Event>,
    calls: BTreeMap<u64, InFlightCall>,
    last_call: u64,
    last_connected_at: u64,
    last_disconnected_at: u64,
    is_declared_lost: bool,
    term: u64,
    /// What the node's clock showed at simulated time 0, in ns, and its rate in thousandths of simulated
    /// time.
    clock: (u64, u64),
    handover: Option<glendeck_takeover::ReplicaHandover>,
}

struct WorkItem {
    idempotency: Idempotency,
    /// When, and in which cell, hosts ran the work item.
    executions: Vec<(u64, u64)>,
    repeat_count: u32,
    /// When the client first had a reason to repeat the call.
    first_end_at: Option<u64>,
    /// The node of each call that has not ended, by repeat number.
    open_calls: BTreeMap<u32, usize>,
    is_done: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub established: u64,
    pub rejected: u64,
    pub failed: u64,
    pub unanswered: u64,
    /// Repeats that were admitted although an earlier attempt may have run.
    pub admitted_after_record: u64,
    /// Attempts that were not sent, as a record of another call with the same work item conflicted.
    pub conflicted: u64,
    /// Attempts that were sent although an attempt of an earlier call may have run.
    pub sent_after_record: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, addend: &Totals) {
        self.established += addend.established;
        self.rejected += addend.rejected;
        self.failed += addend.failed;
        self.unanswered += addend.unanswered;
        self.admitted_after_record += addend.admitted_after_record;
        self.conflicted += addend.conflicted;
        self.sent_after_record += addend.sent_after_record;
    }
}

pub(crate) struct World {
    /// The percentage of messages with a flipped bit, and whether checksums detect it.
    pub bit_flips: (u64, bool),
    now: u64,
    event_id: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    random: WyRand,
    scenario: Scenario,
    nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    work_items: Vec<WorkItem>,
    pub totals: Totals,
    pub violation: Option<String>,
    pub verbose: bool,
    pub log_lines: Vec<String>,
}

fn name(index: usize) -> UnitName {
    UnitName(format!("n{index}"))
}

impl World {
    pub(crate) fn new(seed: u64, scenario: Scenario) -> World {
        let mut world = World {
            bit_flips: (0, true),
            now: 0,
            event_id: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            random: WyRand::new_seed(seed),
            scenario,
            nodes: Vec::new(),
            links: BTreeMap::new(),
            work_items: Vec::new(),
            totals: Totals::default(),
            violation: None,
            verbose: false,
            log_lines: Vec::new(),
        };
        for index in 0..NODES {
            world.nodes.push(Node {
                takeover: None,
                incarnation: 0,
                is_paused: false,
                deferred_events: vec![],
                calls: BTreeMap::new(),
                last_call: 0,
                last_connected_at: 0,
                last_disconnected_at: 0,
                is_declared_lost: false,
                term: 0,
                clock: (0, 1_000),
                handover: None,
            });
            world.start(index);
        }
        world.schedule(0, Event::Tick);
        for (due_at, fault) in std::mem::take(&mut world.scenario.faults) {
            world.schedule(due_at, Event::Fault(fault));
        }
        for work in 0..WORK_ITEMS {
            let idempotency =
                if world.roll(2) == 0 { Idempotency::NonIdempotent } else { Idempotency::Keyed };
            world.work_items.push(WorkItem {
                idempotency,
                executions: vec![],
                repeat_count: 0,
                first_end_at: None,
                open_calls: BTreeMap::new(),
                is_done: false,
            });
            let (due_at, node) = match world.scenario.burst {
                Some((node, from, to)) => (from + world.roll(to - from), node),
                // The first clients arrive while the replicas, which have just started, do not answer queries
                // yet.
                None => (1_000 + world.roll(32_000), world.roll(NODES as u64) as usize),
            };
            world.schedule(due_at, Event::ClientArrives(node, work, 0));
        }
        world
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.random.generate_range(0..below)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_id += 1;
        self.queue.push(Reverse((self.now + delay_ms, self.event_id)));
        self.events.insert(self.event_id, event);
    }

    fn log(&mut self, text: impl FnOnce() -> String) {
        if self.verbose {
            self.log_lines.push(format!("{:7.3} {}", self.now as f64 / 1e3, text()));
        }
    }

    fn report_violation(&mut self, text: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {:.3} s: {text}", self.now as f64 / 1e3));
        }
    }

    pub(crate) fn run(&mut self) {
        self.run_for(45_000);
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(Reverse((due_at, event_id))) = self.queue.peek().copied() {
            if due_at > until || self.violation.is_some() {
                break;
            }
            self.queue.pop();
            self.now = due_at;
            if let Some(event) = self.events.remove(&event_id) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    pub(crate) fn record_count(&self) -> usize {
        self.nodes
            .iter()
            .filter_map(|node| node.takeover.as_ref())
            .map(|running| running.replica().record_count())
            .sum()
    }

    /// The time on a node's own clock. Clocks differ by hours, and their rates by up to 1.5 % from simulated
    /// time.
    fn timestamp(&self, index: usize) -> Timestamp {
        self.timestamp_at(index, self.now)
    }

    fn timestamp_at(&self, index: usize, ms: u64) -> Timestamp {
        let (base_ns, rate) = self.nodes[index].clock;
        Timestamp(base_ns + ms * rate * 1_000)
    }

    fn start(&mut self, index: usize) {
        if self.nodes[index].takeover.is_some() {
            return;
        }
        let seed = self.roll(1 << 40);
        self.nodes[index].clock = ((90_000_000 + self.roll(20_000_000)) * 1_000_000, 985 + self.roll(31));
        let timestamp = self.timestamp(index);
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let incarnation = Incarnation(node.incarnation * 10 + index as u64);
        let mut takeover = Takeover::new(timestamp, name(index), incarnation, seed, RETENTION_MS, 3_000);
        if let Some(handover) = node.handover.take() {
            takeover.restore(timestamp, handover);
        }
        node.takeover = Some(takeover);
        (node.is_paused, node.deferred_events) = (false, vec![]);
        // Its view holds no voters until the node is linked to the leader.
        self.log(|| format!("n{index} starts"));
    }

    fn link(&self, from: usize, to: usize) -> Link {
        self.links.get(&(from, to)).copied().unwrap_or(Link::Up)
    }

    fn is_running(&self, index: usize) -> bool {
        self.nodes[index].takeover.is_some() && !self.nodes[index].is_paused
    }

    /// Updates the fleet: the leader is the first running voter with links in both directions to enough
    /// running voters for a majority of all voters, itself included. Nodes are declared lost or back by their
    /// links to the leader. Each running node then gets its view and a tick.
    fn update_membership(&mut self) {
        let is_linked = |one: usize, other: usize| {
            one == other || (self.link(one, other) != Link::Cut && self.link(other, one) != Link::Cut)
        };
        let leader = (0..VOTERS).find(|index| {
            self.is_running(*index)
                && (0..VOTERS).filter(|voter| self.is_running(*voter) && is_linked(*index, *voter)).count()
                    * 2
                    > VOTERS
        });
        let has_leader_link: Vec<bool> = (0..NODES)
            .map(|index| leader.is_some_and(|leader| self.is_running(index) && is_linked(index, leader)))
            .collect();
        for (index, is_connected) in has_leader_link.iter().copied().enumerate() {
            let now = self.now;
            let node = &mut self.nodes[index];
            if leader.is_some() && !is_connected {
                if !node.is_declared_lost && now >= node.last_connected_at + LOST_AFTER_MS {
                    (node.is_declared_lost, node.term) = (true, node.term + 1);
                }
                node.last_disconnected_at = now;
            } else if is_connected {
                if node.is_declared_lost && now >= node.last_disconnected_at + LOST_AFTER_MS {
                    node.is_declared_lost = false;
                }
                node.last_connected_at = now;
            }
        }
        let terms: BTreeMap<UnitName, u64> =
            (0..NODES).map(|index| (name(index), self.nodes[index].term)).collect();
        for (index, is_connected) in has_leader_link.into_iter().enumerate() {
            let timestamp = self.timestamp(index);
            let has_leader_contact = self.now < self.nodes[index].last_connected_at + LEADER_CONTACT_MS;
            if !self.is_running(index) {
                continue;
            }
            let node = &mut self.nodes[index];
            let Some(takeover) = &mut node.takeover else { continue };
            let mut view = takeover.view().clone();
            view.hears_leader = has_leader_contact;
            if is_connected {
                view.voter_slots = (0..VOTERS).map(name).collect();
                view.terms = terms.clone();
            }
            takeover.membership_changed(timestamp, view);
            takeover.tick(timestamp);
            self.carry_out(index);
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm per event")]
    fn handle(&mut self, event: Event) {
        let recipient = match &event {
            Event::MessageArrives(to, incarnation, ..) => Some((*to, *incarnation)),
            Event::HostReplied(index, incarnation, ..) | Event::AttemptDeadline(index, incarnation, ..) => {
                Some((*index, *incarnation))
            }
            Event::RequestRead(index, incarnation, _) | Event::ClientClosed(index, incarnation, _) => {
                Some((*index, *incarnation))
            }
            _ => None,
        };
        if let Some((index, incarnation)) = recipient {
            let node = &mut self.nodes[index];
            if node.incarnation != incarnation || node.takeover.is_none() {
                return;
            }
            if node.is_paused {
                return node.deferred_events.push(event);
            }
        }
        match event {
            Event::Tick => {
                self.update_membership();
                self.check_deadlines();
                self.schedule(100, Event::Tick);
            }
            Event::ClientArrives(node, work, repeat) => self.client_arrives(node, work, repeat),
            Event::MessageArrives(to, _, from, message) => {
                let timestamp = self.timestamp(to);
                if let Some(takeover) = &mut self.nodes[to].takeover {
                    takeover.message_received(timestamp, &name(from), message);
                }
                self.carry_out(to);
            }
            Event::RequestRead(node, _, call) => self.read_request(node, call),
            Event::ClientClosed(node, _, call) => self.end(node, call),
            Event::AttemptArrives(node, incarnation, call, attempt, host) => {
                self.attempt_arrives(node, incarnation, call, attempt, host)
            }
            Event::HostReplied(index, _, call, attempt, reply) => {
                self.host_replied(index, call, attempt, reply)
            }
            Event::AttemptDeadline(index, _, call, attempt) => {
                let timestamp = self.timestamp(index);
                let Some(owned) = self.nodes[index].calls.get_mut(&call) else { return };
                if owned.attempts == attempt
                    && let Some((host, true)) = owned.current
                {
                    owned.current = None;
                    owned.own_prior.get_or_insert(PriorAttempt {
                        host,
                        sent_at: timestamp_before(timestamp, ATTEMPT_TIMEOUT_MS),
                    });
                    self.place(index, call);
                }
            }
            Event::ClientAnswered(work, repeat, answer) => self.client_answered(work, repeat, answer),
            Event::ClientGivesUp(work, repeat) => {
                if let Some(node) = self.work_items[work].open_calls.remove(&repeat) {
                    self.totals.unanswered += 1;
                    self.client_leaves(node, work, repeat);
                    self.schedule_repeat(work);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        self.log(|| format!("fault {fault:?}"));
        match fault {
            Fault::Kill(index) => {
                if self.nodes[index].takeover.take().is_none() {
                    return;
                }
                let calls = std::mem::take(&mut self.nodes[index].calls);
                self.nodes[index].deferred_events.clear();
                for owned in calls.into_values() {
                    let ms = 1 + self.roll(40);
                    self.schedule(ms, Event::ClientAnswered(owned.work, owned.repeat, None));
                }
            }
            Fault::HandOver(index) => {
                if !self.is_running(index) {
                    return;
                }
                let timestamp = self.timestamp(index);
                let calls: Vec<u64> = self.nodes[index].calls.keys().copied().collect();
                for call in calls {
                    let Some(owned) = self.nodes[index].calls.get(&call) else { continue };
                    let may_have_run = owned.current.is_some()
                        || owned.own_prior.is_some()
                        || owned.inherited_prior.is_some();
                    self.answer(
                        index,
                        call,
                        if may_have_run { ClientAnswer::Failed } else { ClientAnswer::Rejected },
                    );
                }
                let handover =
                    self.nodes[index].takeover.as_mut().map(|takeover| takeover.hand_over(timestamp));
                self.nodes[index].handover = handover;
                self.apply_fault(Fault::Kill(index));
            }
            Fault::Start(index) => self.start(index),
            Fault::Pause(index) => self.nodes[index].is_paused = self.nodes[index].takeover.is_some(),
            Fault::Resume(index) => {
                if std::mem::take(&mut self.nodes[index].is_paused) {
                    for event in std::mem::take(&mut self.nodes[index].deferred_events) {
                        self.schedule(0, event);
                    }
                }
            }
            Fault::Link(from, to, link) => drop(self.links.insert((from, to), link)),
        }
    }

    /// Checks that running nodes answer their calls by the deadline.
    fn check_deadlines(&mut self) {
        for index in 0..NODES {
            if !self.is_running(index) {
                continue;
            }
            let is_overdue = |owned: &&InFlightCall| {
                self.now > owned.deadline_at + 150 && owned.current.is_none_or(|(_, is_sent)| !is_sent)
            };
            let overdue_call = self.nodes[index].calls.values().find(is_overdue);
            if let Some(owned) = overdue_call
                .filter(|owned| self.work_items[owned.work].open_calls.contains_key(&owned.repeat))
            {
                let text = format!("w{} is past its deadline at n{index}", owned.work);
                return self.report_violation(text);
            }
        }
    }
}

fn timestamp_before(timestamp: Timestamp, ms: u64) -> Timestamp {
    Timestamp(timestamp.0.saturating_sub(ms * 1_000_000))
}
