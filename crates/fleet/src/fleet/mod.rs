//! [`Fleet`]: the membership of one node in its fleet, driven by the caller's events.

mod messages;
mod queries;
mod requests;

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};

use crate::Timestamp;
use crate::action::Action;
use crate::config::{FleetConfig, NodeStatus};
use crate::consensus::TICK_MS;
use crate::context::Context;
use crate::endpoint_list::EndpointList;
use crate::host_avoidance::HostAvoidance;
use crate::leader::{HostController, LeaderAction, Leadership, ReplicaStatus};
use crate::liveness::{HeartbeatSource, Liveness};
use crate::log_tail::LogTail;
use crate::member::{Member, MemberStep};
use crate::message::{Echo, Heartbeat, LogUpdate, Message};
use crate::policy::{Place, UnitName};
use crate::replica::{DecidedStep, Input, Replica, SlotChange};
use crate::requests::Requests;
use crate::state::{BootCount, EndpointState, Entry, LogStep, State};
use crate::store::StoreKey;
use crate::timing::HEARTBEAT_MS;

/// One node's side of the fleet protocol: its voter slot, if it has one, its copy of the replicated state,
/// and its pending actions.
///
/// It does no I/O and reads no clock. The caller reports events with their timestamps, and carries out the
/// actions that it takes after each event.
pub struct Fleet {
    context: Context,
    version: String,
    random: WyRand,
    node_status: NodeStatus,
    actions: Vec<Action>,
    replica: Replica,
    log_tail: LogTail,
    member: Member,
    leadership: Leadership,
    hosts: HostController,
    endpoint_list: EndpointList,
    avoidance: HostAvoidance,
    requests: Requests,
    longest_log: usize,
    /// The last echo of each voter, to be sent back to it.
    echoes: BTreeMap<UnitName, Echo>,
    /// The leader that a voter last named, and when.
    leader: Option<(UnitName, Timestamp)>,
    /// The highest applied position that a leader has reported since this process started.
    leader_applied: Option<u64>,
    /// When a reply from a leader was last received.
    leader_heard_at: Option<Timestamp>,
    next_heartbeat: Timestamp,
    next_tick: Timestamp,
    /// Position in the round robin over the voters, which is used when no leader is known.
    requests_forwarded: usize,
}

impl Fleet {
    /// Creates a node that starts now.
    pub fn new(config: FleetConfig, now: Timestamp) -> Fleet {
        let FleetConfig { name, policy, incarnation, seed, version, saved, spoilt, longest_log } = config;
        let boot_count = saved.as_ref().map_or(0, |saved| saved.value(StoreKey::BootCount).unwrap_or(0) + 1);
        let has_store = saved.is_some();
        let (replica, base) = match saved {
            Some(saved) => Replica::open(saved, spoilt),
            None => (Replica::without_store(), None),
        };
        let mut fleet = Fleet {
            context: Context {
                state: base.unwrap_or_else(|| State::before_founding(&policy.voters)),
                name,
                policy,
                incarnation,
                boot_count: BootCount(boot_count),
                now,
                liveness: Liveness::default(),
                voter_replies: BTreeMap::new(),
            },
            version,
            random: WyRand::new_seed(seed),
            node_status: NodeStatus::default(),
            actions: Vec::new(),
            replica,
            log_tail: LogTail::default(),
            member: Member::default(),
            leadership: Leadership::default(),
            hosts: HostController::default(),
            endpoint_list: EndpointList::default(),
            avoidance: HostAvoidance::default(),
            requests: Requests::default(),
            longest_log,
            echoes: BTreeMap::new(),
            leader: None,
            leader_applied: None,
            leader_heard_at: None,
            next_heartbeat: now,
            next_tick: now,
            requests_forwarded: 0,
        };
        if has_store {
            fleet.replica.record_boot(&fleet.context, &mut fleet.actions);
        }
        fleet
    }

    /// Continues with the node's store, which another process of the node used until now. What this process
    /// knew of the log is dropped, as the store may hold less; operators' requests stay pending.
    pub fn rejoin(&mut self, config: FleetConfig, now: Timestamp) {
        let requests = std::mem::take(&mut self.requests);
        let member = self.member.rejoined();
        *self = Fleet { requests, member, ..Fleet::new(config, now) };
    }

    // Events.

    /// Advances the time. Must be called at least ten times a second, with the node's current status.
    pub fn tick(&mut self, now: Timestamp, node_status: NodeStatus) {
        self.context.now = now;
        let has_changed = node_status.drained != self.node_status.drained
            || node_status.serving != self.node_status.serving;
        if has_changed {
            self.next_heartbeat = now;
        }
        self.node_status = node_status;
        self.avoidance.record_count();
        self.member.note_totals(now, &self.node_status);
        if self.is_current() {
            self.member.inherit_drain(&self.context, &self.node_status);
        }
        if now >= self.next_tick {
            // Ticks that were missed while the process was stopped are skipped.
            self.next_tick = now.plus_ms(TICK_MS);
            self.control();
        }
        if now >= self.next_heartbeat {
            self.send_heartbeats();
        }
        self.run_replica();
    }

    /// Records that a link to or from this peer was established. Messages that were in transit may be lost.
    pub fn linked(&mut self, now: Timestamp, peer: &UnitName) {
        self.context.now = now;
        let peer_slot = self.context.state.voter_slot_of(peer).map(|voter_slot| voter_slot.number);
        let Some(peer_slot) = peer_slot else { return };
        if self.replica.voter_slot().is_some_and(|own_slot| own_slot != peer_slot) {
            self.replica.enqueue(Input::Reconnected(peer_slot));
            self.run_replica();
        }
    }

    /// Records that this batch of [`Action::Persist`] is durable on disk.
    pub fn written(&mut self, now: Timestamp, batch: u64) {
        self.context.now = now;
        let decided = self.replica.finish_write(&self.context, batch, &mut self.actions);
        if let Some(decided) = decided {
            self.apply_decided(decided);
            self.run_replica();
        }
    }

    /// Records that the store has failed. This node does not vote again until it is restarted.
    pub fn disk_died(&mut self, now: Timestamp, why: &str) {
        self.context.now = now;
        self.replica.lose_store();
        self.leadership = Leadership::default();
        self.log(format!("the store has failed, this node no longer votes: {why}"));
    }

    /// Replaces the endpoint list.
    pub fn hosts_listed(&mut self, now: Timestamp, listed: Vec<(UnitName, Place, EndpointState)>) {
        self.context.now = now;
        self.endpoint_list.replace(now, listed);
    }

    /// Records that discovery does not respond, so the endpoint list may be out of date.
    pub fn list_lost(&mut self, now: Timestamp) {
        self.context.now = now;
        self.endpoint_list.disconnect();
    }

    /// Records that an operator trusts this node's store: it votes without waiting for confirmations, for use
    /// when other voters are permanently lost. If the store lacks acknowledged entries after all, decided
    /// entries may be lost. Returns whether the node was waiting for confirmations.
    pub fn trust(&mut self, now: Timestamp) -> bool {
        self.context.now = now;
        self.replica.trust_store()
    }

    /// Returns the actions since the last call, in the order in which they are to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // Steps.

    /// Runs the periodic checks, at most once in [`TICK_MS`].
    fn control(&mut self) {
        let change = self.replica.update_status(&self.context, &mut self.actions);
        self.end_leadership_if(change);
        self.replica.enqueue(Input::Tick);
        self.control_as_leader();
        self.follow_state();
        self.send_due_requests();
    }

    fn control_as_leader(&mut self) {
        if !self.leads() {
            self.leadership = Leadership::default();
            self.hosts = HostController::default();
            return;
        }
        let replica = ReplicaStatus {
            has_undecided: self.replica.has_undecided(),
            log_length: self.replica.log_length(),
        };
        let actions = self.leadership.control(
            &self.context,
            replica,
            self.longest_log,
            &mut self.hosts,
            &mut self.endpoint_list,
        );
        for action in actions {
            match action {
                LeaderAction::Propose(command) => {
                    self.replica.enqueue(Input::Propose(Entry { id: None, command }));
                }
                LeaderAction::Send(receiver, message) => self.send(&receiver, message),
            }
        }
    }

    /// Acts on the replicated state: this unit's own drain, and the hosts that it has to avoid.
    fn follow_state(&mut self) {
        let is_leader = self.leads();
        match self.member.follow(&self.context, &self.node_status, is_leader) {
            Some(MemberStep::Act(action)) => self.actions.push(action),
            Some(MemberStep::Submit(command)) => self.submit(None, command),
            None => {}
        }
        if self.is_current() {
            self.actions.extend(self.avoidance.update(&self.context.state));
        }
    }

    /// Runs replica steps until no input is left or a write has to finish first.
    fn run_replica(&mut self) {
        while let Some(decided) = self.replica.step(&self.context, &mut self.actions) {
            self.apply_decided(decided);
        }
    }

    fn apply_decided(&mut self, decided: Vec<DecidedStep>) {
        if decided.is_empty() {
            return;
        }
        let before = self.context.log_position();
        let was_leader = self.leads();
        let mut steps = Vec::new();
        for DecidedStep { position, step } in decided {
            if position > self.context.state.applied {
                steps.push(step.clone());
                self.apply(step);
            }
        }
        if was_leader && before.applied > 0 && !steps.is_empty() {
            self.push_update(&LogUpdate::Since(before, steps));
        }
        self.follow_state();
    }

    /// Sends decided steps to all units that the leader hears directly, so that none has to wait for its next
    /// heartbeat.
    fn push_update(&mut self, update: &LogUpdate) {
        let Context { name: own_name, now, liveness, .. } = &self.context;
        let is_heard = |name: &UnitName, source: HeartbeatSource, alive_at: Timestamp| {
            name != own_name && source == HeartbeatSource::Direct && now.ms_since(alive_at) < 3 * HEARTBEAT_MS
        };
        let receivers: Vec<UnitName> = liveness
            .iter()
            .filter(|(name, unit)| is_heard(name, unit.source, unit.alive_at))
            .map(|(name, _)| name.clone())
            .collect();
        for receiver in receivers {
            self.send_reply(&receiver, update.clone());
        }
    }

    fn apply(&mut self, step: LogStep) {
        let result = self.context.state.apply_step(&step);
        if let LogStep::Entry(Entry { id: Some(id), .. }) = &step {
            self.answer_request(id, result);
        }
        let ends_epoch = matches!(step, LogStep::Reconfigure(_));
        self.log_tail.push(step);
        if ends_epoch {
            self.enter_epoch();
        }
    }

    fn enter_epoch(&mut self) {
        self.leadership = Leadership::default();
        self.replica.enter_epoch(&self.context, &mut self.actions);
    }

    /// Discards the leader's state if this node gave up its voter slot, since it is then no longer the
    /// leader.
    fn end_leadership_if(&mut self, change: SlotChange) {
        match change {
            SlotChange::GivenUp => self.leadership = Leadership::default(),
            SlotChange::Unchanged => {}
        }
    }

    // Sending.

    fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    fn send(&mut self, receiver: &UnitName, message: Message) {
        let envelope = Box::new(self.replica.envelope(message));
        self.actions.push(Action::Send(receiver.clone(), envelope));
    }

    fn send_heartbeats(&mut self) {
        // A jitter of a tenth spreads the heartbeats of nodes that were started at the same time.
        let jitter = self.random.generate_range(0..HEARTBEAT_MS / 10);
        self.next_heartbeat = self.context.now.plus_ms(HEARTBEAT_MS - jitter);
        let heartbeat = self.own_heartbeat();
        for voter in self.voters() {
            let heartbeat = Heartbeat { echo: self.echoes.get(&voter).copied(), ..heartbeat.clone() };
            self.send(&voter, Message::Heartbeat(heartbeat));
        }
        if self.replica.is_voting() {
            let Context { name, now, liveness, .. } = &mut self.context;
            liveness.record(name, heartbeat, Some(*now), *now, HeartbeatSource::Direct);
        }
    }

    fn own_heartbeat(&self) -> Heartbeat {
        let has_counted = self.avoidance.has_counted() && self.is_current();
        Heartbeat {
            incarnation: self.context.incarnation,
            have: self.context.log_position(),
            serving: self.node_status.serving,
            out: self.member.drain().map(|drain| drain.lease),
            version: self.version.clone(),
            call_counts: self.member.call_counts(&self.node_status),
            holds: has_counted.then(|| self.node_status.holds.clone()),
            voter_status: self.replica.status(),
            boot_count: self.context.boot_count,
            echo: None,
        }
    }
}
