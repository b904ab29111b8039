//! One node's part in its fleet: its seat, if it has one, what it knows of what was agreed, and what it is to do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nanorand::{Rng, WyRand};
use serde::Serialize;

use crate::consensus::{ConsensusMessage, Decided, TICK_MS, Voter};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::hosts::{DrainingHost, HostWatch, Listing};
use crate::leader_state::{Heard, LeaderState};
use crate::member::Member;
use crate::message::{
    DurableMark, Echo, Envelope, Heartbeat, HeartbeatReply, LogPosition, LogStep, LogUpdate, Message,
    VoterStatus,
};
use crate::policy::{FleetPolicy, UnitName};
use crate::state::{
    BootCount, Cause, Command, CommandResult, Entry, Incarnation, Lease, RequestId, State, VoterSlot,
};
use crate::{StoreKey, StoreWrite, StoredState, Timestamp, bytes};

/// What a node starts with.
pub struct FleetConfig {
    pub name: UnitName,
    pub policy: FleetPolicy,
    pub incarnation: Incarnation,
    pub seed: u64,
    /// The build or settings that it runs.
    pub version: String,
    /// What its store holds, if it has one.
    pub saved: Option<StoredState>,
    /// The store had something that could not be read.
    pub spoilt: bool,
    /// An epoch ends with so many entries: [`LONGEST_LOG`] but where many epochs are to be seen soon.
    pub longest_log: usize,
}

/// What the node says of itself; counts are totals of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// It takes clients, and nothing of the fleet's keeps it from that.
    pub serving: bool,
    /// It was told to go out, and holds nothing any more.
    pub drained: bool,
    pub calls: u64,
    pub failed: u64,
    pub busy: u64,
    pub waiting: u32,
    pub hosts_down: u32,
    /// Connections and attempts at hosts that are to be kept away from, where there are any.
    pub holds: Vec<(UnitName, u32)>,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    Send(UnitName, Box<Envelope>),
    /// To be on disk whole before [`Fleet::written`] is told this number. Never two at once.
    Persist(u64, Vec<StoreWrite>),
    /// Send the clients away.
    StartDrain {
        lease: Lease,
        cause: Cause,
    },
    /// Take clients again.
    Resume,
    /// Open nothing new at these hosts and use all others; of what stands there one connection goes in so many ms.
    AvoidHosts {
        hosts: BTreeSet<UnitName>,
        every_ms: u64,
    },
    /// End this process; whoever supervises it is to start that version.
    Exit {
        version: String,
    },
    /// What an operator is to hear.
    Reply(RequestId, RequestResult),
    /// For the log.
    Log(String),
}

/// What became of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestResult {
    Answered(CommandResult),
    /// Nothing was decided in time; it may still be. The same question may be asked again.
    Unknown,
}

pub(crate) enum Input {
    ConsensusMessage(ConsensusMessage),
    Propose(Entry),
    Reconnected(u64),
    Reconfigure(Vec<VoterSlot>),
    Tick,
}

struct Question {
    command: Command,
    since: Timestamp,
    said: Option<Timestamp>,
}

/// What waits for the disk.
enum Pending {
    Opened,
    Step(Vec<ConsensusMessage>),
    Sit(u64),
    Forget,
}

struct Disk {
    saved: StoredState,
    batch: u64,
    /// On disk for good.
    stamp: u64,
    pending: Option<(u64, u64, Pending)>,
    /// Written with the next batch that has to wait anyway.
    lazy: Vec<StoreWrite>,
}

/// Entries of one epoch: a voter that takes them anew is told a few hundred KiB.
pub const LONGEST_LOG: usize = 2_000;

/// A node says so much to a voter once in this time.
pub const BEAT_MS: u64 = 1_000;

/// A question goes out again after this, and is given up after that: operators hear something within a second.
const ASK_AGAIN_MS: u64 = 250;
const ASK_ENDS_MS: u64 = 900;

/// Facts kept to be told to those who are a little behind.
const RECENT: usize = 512;

/// Inputs that wait for the disk; a disk that stalls for longer loses letters, as a link would.
const INPUTS: usize = 4_096;

/// A fresh voter waits so long for the others to be fresh too before it takes the group for founded without it.
const FOUNDING_MS: u64 = 5_000;

pub struct Fleet {
    pub(crate) name: UnitName,
    pub(crate) policy: FleetPolicy,
    pub(crate) incarnation: Incarnation,
    version: String,
    chance: WyRand,
    pub(crate) now: Timestamp,
    pub(crate) node_status: NodeStatus,
    pub(crate) actions: Vec<Action>,
    pub(crate) state: State,
    recent: VecDeque<LogStep>,
    leader: Option<(UnitName, Timestamp)>,
    /// When each voter last answered, and the moment that it named.
    pub(crate) told_at: BTreeMap<UnitName, Timestamp>,
    echoes: BTreeMap<UnitName, Echo>,
    disk: Option<Disk>,
    boot_count: BootCount,
    voter_status: VoterStatus,
    voter: Option<Voter>,
    /// Up to where the seat's log has been taken in; what is behind the state came from others.
    log_at: u64,
    inputs: VecDeque<Input>,
    /// What voters were heard to have on disk.
    witnessed: BTreeMap<UnitName, DurableMark>,
    /// Voters that were heard to be fresh in this life of ours, and that say there is a group.
    fresh: BTreeSet<UnitName>,
    founded_elsewhere: Option<Timestamp>,
    /// An operator has said that this disk is whole, whoever is missing.
    trusted: bool,
    /// Voters that know nothing better of our seat than our disk does.
    vouched: BTreeSet<UnitName>,
    pub(crate) heard: BTreeMap<UnitName, Heard>,
    pub(crate) leader_state: LeaderState,
    pub(crate) member: Member,
    pub(crate) listing: Listing,
    pub(crate) host_watch: HostWatch,
    /// What the node was told last of hosts to keep away from.
    pub(crate) eased: Option<(BTreeSet<UnitName>, u64)>,
    /// What it counts was counted since.
    pub(crate) holds_count: bool,
    questions: BTreeMap<RequestId, Question>,
    next_beat: Timestamp,
    next_tick: Timestamp,
    asked_around: usize,
    pub(crate) longest_log: usize,
    /// How far a leader has said that the log goes, since this process began.
    leader_said: Option<u64>,
    leader_at: Option<Timestamp>,
}

/// What may be shown of the fleet, as this node knows it.
#[derive(Clone, Debug, Serialize)]
pub struct FleetView<'a> {
    pub name: &'a UnitName,
    pub version: &'a str,
    pub leader: Option<&'a UnitName>,
    pub leads: bool,
    #[serde(rename = "chair")]
    pub voter_status: String,
    pub epoch: u32,
    pub applied: u64,
    /// Voters that answered within the last seconds, and those that did not.
    pub hears: Vec<&'a UnitName>,
    pub misses: Vec<&'a UnitName>,
    /// Names that two living processes give.
    pub doubled: Vec<&'a UnitName>,
    /// Hosts that are to be empty, and who holds what there; known to the leader alone.
    #[serde(rename = "emptying")]
    pub draining_hosts: Vec<DrainingHost<'a>>,
    pub state: &'a State,
}

impl Fleet {
    pub fn new(setup: FleetConfig, now: Timestamp) -> Fleet {
        let FleetConfig { name, policy, incarnation, seed, version, saved, spoilt, longest_log } = setup;
        let mut state = State::before_founding(&policy.voters);
        let mut fleet = Fleet {
            name,
            incarnation,
            version,
            chance: WyRand::new_seed(seed),
            now,
            node_status: NodeStatus::default(),
            actions: Vec::new(),
            recent: VecDeque::new(),
            leader: None,
            told_at: BTreeMap::new(),
            echoes: BTreeMap::new(),
            disk: None,
            boot_count: BootCount(0),
            voter_status: VoterStatus::NoStore,
            voter: None,
            log_at: 0,
            inputs: VecDeque::new(),
            witnessed: BTreeMap::new(),
            fresh: BTreeSet::new(),
            founded_elsewhere: None,
            trusted: false,
            vouched: BTreeSet::new(),
            heard: BTreeMap::new(),
            leader_state: LeaderState::default(),
            member: Member::default(),
            listing: Listing::default(),
            host_watch: HostWatch::default(),
            eased: None,
            holds_count: false,
            questions: BTreeMap::new(),
            next_beat: now,
            next_tick: now,
            asked_around: 0,
            longest_log,
            leader_said: None,
            leader_at: None,
            state: state.clone(),
            policy,
        };
        if let Some(saved) = saved {
            let voter_slot: Option<u64> = saved.value(StoreKey::VoterSlot);
            let base: Option<State> = saved.value(StoreKey::Base);
            // Danger: a log with a hole, or shorter than what is decided, would be taken for a short one.
            let decided = saved.value::<usize>(StoreKey::Decided).unwrap_or(0);
            let whole = saved.log.len() >= decided
                && saved.log.iter().all(|entry| postcard::from_bytes::<Entry>(entry).is_ok());
            fleet.voter_status = match (voter_slot, base) {
                (Some(voter_slot), Some(base)) if whole && !spoilt => {
                    state = base;
                    VoterStatus::Recovering(voter_slot)
                }
                (Some(_), _) => VoterStatus::StateLost,
                _ if spoilt => VoterStatus::StateLost,
                _ => VoterStatus::Fresh,
            };
            fleet.state = state;
            fleet.witnessed = saved.value(StoreKey::DurableMark).unwrap_or_default();
            fleet.boot_count = BootCount(saved.value::<u64>(StoreKey::BootCount).unwrap_or(0) + 1);
            let stamp = saved.value(StoreKey::Stamp).unwrap_or(0);
            fleet.disk = Some(Disk { saved, batch: 0, stamp, pending: None, lazy: Vec::new() });
            let writes = vec![StoreWrite::Put(StoreKey::BootCount, bytes(&fleet.boot_count.0))];
            fleet.write(writes, Pending::Opened);
        }
        fleet
    }

    // What happened.

    /// To be told at least ten times a second.
    pub fn tick(&mut self, now: Timestamp, node_status: NodeStatus) {
        self.now = now;
        if node_status.drained != self.node_status.drained || node_status.serving != self.node_status.serving
        {
            self.next_beat = now;
        }
        self.node_status = node_status;
        self.holds_count = self.eased.is_some();
        self.member.note(now, &self.node_status);
        if now >= self.next_tick {
            // Ticks that a stopped process has missed are gone.
            self.next_tick = now.plus_ms(TICK_MS);
            self.update_voter_status();
            if self.voter.is_some() {
                self.input(Input::Tick);
            }
            self.look_after();
            self.follow();
            self.follow_hosts();
            self.ask_on();
        }
        if now >= self.next_beat {
            self.heartbeat();
        }
        self.work();
    }

    /// A link to or from this peer has come up; what was under way may be lost.
    pub fn linked(&mut self, now: Timestamp, peer: &UnitName) {
        self.now = now;
        if let Some(voter_slot) = self.state.voter_slot_of(peer).map(|voter_slot| voter_slot.number)
            && self.voter.as_ref().is_some_and(|voter| voter.voter_slot != voter_slot)
        {
            self.input(Input::Reconnected(voter_slot));
            self.work();
        }
    }

    pub fn heard(&mut self, now: Timestamp, from: &UnitName, envelope: Envelope) {
        self.now = now;
        if let Some(witness) = envelope.witness {
            let known = self.witnessed.entry(from.clone()).or_default();
            *known = witness.max(*known);
        }
        match envelope.message {
            Message::Heartbeat(heartbeat) => self.take_beat(from, heartbeat),
            Message::HeartbeatReply(told) => self.take_told(from, told),
            Message::Request { id, command } => self.take_ask(from, id, command),
            Message::Consensus { epoch, consensus_message } => {
                let of = |number: u64| {
                    self.state.voter_slots.iter().find(|voter_slot| voter_slot.number == number)
                };
                // Danger: a letter of another epoch, or by another than its seat's holder, is no vote.
                let sender =
                    of(consensus_message.get_sender()).is_some_and(|voter_slot| voter_slot.name == *from);
                let mine = self
                    .voter
                    .as_ref()
                    .is_some_and(|voter| voter.voter_slot == consensus_message.get_receiver());
                if epoch == self.state.epoch && sender && mine {
                    self.input(Input::ConsensusMessage(consensus_message));
                }
            }
            Message::Resync => {
                if let Some(voter_slot) = self.state.voter_slot_of(from).map(|voter_slot| voter_slot.number) {
                    self.input(Input::Reconnected(voter_slot));
                }
            }
            Message::DurableMarkOnly => {}
            Message::FindUnits(echo, names) => self.sought(from, echo, &names),
            Message::UnitsFound(echo, found) => {
                // It was there so long before the other answered, and that was after we had asked.
                let Some(asked) = self.proved(Some(echo)) else { return };
                for (name, heartbeat, ago) in found {
                    let at = Timestamp(asked.0.saturating_sub(ago * 1_000_000));
                    let known = self.heard.remove(&name);
                    let newer = known.as_ref().is_none_or(|known| at > known.at);
                    let heard = match known {
                        Some(known) if !newer => known,
                        known => Heard::take(known, heartbeat, Some(at), now, false),
                    };
                    self.heard.insert(name, heard);
                }
            }
        }
        self.work();
    }

    /// That batch is on disk for good.
    pub fn written(&mut self, now: Timestamp, batch: u64) {
        self.now = now;
        let Some(disk) = &mut self.disk else { return };
        let Some((_, stamp, pending)) = disk.pending.take_if(|(of, _, _)| *of == batch) else { return };
        disk.stamp = stamp;
        match pending {
            Pending::Opened => {}
            Pending::Step(consensus_messages) => {
                // All voters are to know what this one has acknowledged, not only the one that it is for.
                for voter_slot in self.state.voter_slots.clone() {
                    let addressed = consensus_messages
                        .iter()
                        .any(|consensus_message| consensus_message.get_receiver() == voter_slot.number);
                    if voter_slot.name != self.name && !addressed {
                        self.send(&voter_slot.name, Message::DurableMarkOnly);
                    }
                }
                self.let_out(consensus_messages);
            }
            Pending::Sit(voter_slot) => self.sit(voter_slot),
            Pending::Forget => self.voter_status = VoterStatus::StateLost,
        }
        self.work();
    }

    /// The store has failed and counts as dead: this node votes no more until it is started anew.
    pub fn disk_died(&mut self, now: Timestamp, why: &str) {
        self.now = now;
        (self.disk, self.voter, self.voter_status) = (None, None, VoterStatus::NoStore);
        self.inputs.clear();
        self.leader_state = LeaderState::default();
        self.note(format!("the store counts as dead, this node gives up its vote: {why}"));
    }

    /// An operator's question or order; the answer comes as an action within a second.
    pub fn ask(&mut self, now: Timestamp, id: RequestId, command: Command) {
        self.now = now;
        if let Some(answer) = self.state.result_of(&id) {
            let answer = RequestResult::Answered(answer.clone());
            return self.actions.push(Action::Reply(id, answer));
        }
        self.questions.insert(id, Question { command, since: now, said: None });
        self.ask_on();
        self.work();
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// An operator vouches for this node's disk: it sits without waiting for voters that are gone for good. Nothing
    /// helps if the disk had forgotten something after all. Whether there was anything to wait for.
    pub fn trust(&mut self, now: Timestamp) -> bool {
        self.now = now;
        self.trusted = matches!(self.voter_status, VoterStatus::Recovering(_));
        self.trusted
    }

    // What is known.

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Those that this node is to be linked to: all voters, and whoever holds a seat.
    pub fn voters(&self) -> BTreeSet<UnitName> {
        let seated = self.state.voter_slots.iter().map(|voter_slot| &voter_slot.name);
        self.policy.voters.iter().chain(seated).filter(|name| **name != self.name).cloned().collect()
    }

    /// It has taken in all that a leader has told it of. Danger: a process that has just begun knows the log as its own
    /// disk has it, and would do what has long been undone.
    pub fn is_current(&self) -> bool {
        let told = self.leader_said.is_some_and(|applied| self.state.applied >= applied);
        self.state.policy.is_some() && (told || self.leads())
    }

    /// A leader that a majority hears has said so of late, and all that it told of is known here.
    pub fn hears_leader(&self) -> bool {
        let told = self.leader_at.is_some_and(|at| self.now.ms_since(at) < crate::member::HEARS_MS);
        self.is_current() && if self.leads() { self.hears_majority() } else { told }
    }

    pub fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// Under which lease this process is out.
    pub fn is_out(&self) -> Option<(Lease, Cause)> {
        self.member.out
    }

    pub fn boot_count(&self) -> BootCount {
        self.boot_count
    }

    pub fn voter_status(&self) -> VoterStatus {
        self.voter_status
    }

    pub(crate) fn has_undecided(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::has_undecided)
    }

    pub(crate) fn sitting_log_length(&self) -> usize {
        self.voter.as_ref().map_or(0, Voter::log_length)
    }

    pub fn view(&self) -> FleetView<'_> {
        let (hears, misses) =
            self.state.voter_slots.iter().map(|voter_slot| &voter_slot.name).partition(|name| {
                let told =
                    self.told_at.get(name).is_some_and(|at| self.now.ms_since(*at) < crate::member::HEARS_MS);
                **name == self.name || told
            });
        FleetView {
            name: &self.name,
            version: &self.version,
            leader: self.leader(),
            leads: self.leads(),
            voter_status: self.voter_status.to_string(),
            epoch: self.state.epoch,
            applied: self.state.applied,
            hears,
            misses,
            doubled: self.heard.iter().filter(|(_, of)| of.doubled.is_some()).map(|(name, _)| name).collect(),
            draining_hosts: self.draining_hosts(),
            state: &self.state,
        }
    }

    fn leader(&self) -> Option<&UnitName> {
        if self.leads() {
            return Some(&self.name);
        }
        if let Some(leader) = self.voter.as_ref().and_then(Voter::leader) {
            return self
                .state
                .voter_slots
                .iter()
                .find(|voter_slot| voter_slot.number == leader)
                .map(|voter_slot| &voter_slot.name);
        }
        self.leader.as_ref().filter(|(_, at)| self.now.ms_since(*at) < 3 * BEAT_MS).map(|(name, _)| name)
    }

    fn log_position(&self) -> LogPosition {
        LogPosition { epoch: self.state.epoch, applied: self.state.applied }
    }

    // Sending.

    pub(crate) fn note(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    pub(crate) fn send(&mut self, to: &UnitName, message: Message) {
        let voter_slot = match self.voter_status {
            VoterStatus::Active(voter_slot) | VoterStatus::Recovering(voter_slot) => Some(voter_slot),
            _ => None,
        };
        let stamp = self.disk.as_ref().map(|disk| disk.stamp);
        let witness = voter_slot.zip(stamp).map(|(voter_slot, stamp)| DurableMark { voter_slot, stamp });
        self.actions.push(Action::Send(to.clone(), Box::new(Envelope { witness, message })));
    }

    fn own_beat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            have: self.log_position(),
            serving: self.node_status.serving,
            out: self.member.out.map(|(lease, _)| lease),
            version: self.version.clone(),
            call_counts: self.member.call_counts(&self.node_status),
            holds: (self.holds_count && self.is_current()).then(|| self.node_status.holds.clone()),
            voter_status: self.voter_status,
            boot_count: self.boot_count,
            echo: None,
        }
    }

    /// Now, to be said back.
    pub(crate) fn echo(&self) -> Echo {
        Echo { incarnation: self.incarnation, at: self.now.0 }
    }

    /// The moment that an echo of ours names.
    fn proved(&self, echo: Option<Echo>) -> Option<Timestamp> {
        echo.filter(|echo| echo.incarnation == self.incarnation).map(|echo| Timestamp(echo.at))
    }

    fn heartbeat(&mut self) {
        // Jittered by a tenth: a fleet started at once must not speak at once for ever.
        let jitter = self.chance.generate_range(0..BEAT_MS / 10);
        self.next_beat = self.now.plus_ms(BEAT_MS - jitter);
        let heartbeat = self.own_beat();
        for voter in self.voters() {
            let heartbeat = Heartbeat { echo: self.echoes.get(&voter).copied(), ..heartbeat.clone() };
            self.send(&voter, Message::Heartbeat(heartbeat));
        }
        if self.voter.is_some() {
            let known = self.heard.remove(&self.name);
            self.heard
                .insert(self.name.clone(), Heard::take(known, heartbeat, Some(self.now), self.now, true));
        }
    }

    fn news_for(&self, have: LogPosition) -> LogUpdate {
        if self.state.policy.is_none() || have.applied >= self.state.applied {
            return LogUpdate::None;
        }
        // What came before the epoch's start is no entry of its log: a voter that has fallen behind enters it whole.
        // Whoever has nothing starts from the group's beginnings, not from those that its own file names.
        if have.epoch < self.state.epoch || have.applied == 0 {
            return LogUpdate::Whole(Box::new(self.state.clone()));
        }
        let behind = (self.state.applied - have.applied) as usize;
        if behind <= self.recent.len() {
            let node_status = self.recent.iter().skip(self.recent.len() - behind).cloned().collect();
            return LogUpdate::Since(have, node_status);
        }
        LogUpdate::Whole(Box::new(self.state.clone()))
    }

    fn tell(&mut self, to: &UnitName, log_update: LogUpdate) {
        let told = HeartbeatReply {
            echo: self.echo(),
            leader: self.leader().cloned(),
            log_update,
            applied: self.state.applied,
            of_you: self.witnessed.get(to).copied(),
            founded: matches!(
                self.voter_status,
                VoterStatus::Active(_) | VoterStatus::Recovering(_) | VoterStatus::StateLost
            ),
            voter_status: self.voter_status,
        };
        self.send(to, Message::HeartbeatReply(told));
    }

    /// Says something to whoever leads, or to a voter that may know.
    pub(crate) fn submit(&mut self, id: Option<RequestId>, command: Command) {
        if self.leads() {
            return self.propose(Entry { id, command });
        }
        let to = self.leader().filter(|leader| **leader != self.name).cloned().or_else(|| {
            let voters: Vec<UnitName> = self.voters().into_iter().collect();
            self.asked_around += 1;
            voters.get(self.asked_around % voters.len().max(1)).cloned()
        });
        if let Some(to) = to {
            self.send(&to, Message::Request { id, command });
        }
    }

    /// What the leader says by itself.
    pub(crate) fn propose_own(&mut self, command: Command) {
        self.input(Input::Propose(Entry { id: None, command }));
    }

    fn propose(&mut self, entry: Entry) {
        // Danger: a leader that has just begun does not know yet who was lost meanwhile. Whoever asked asks again.
        if matches!(entry.command, Command::Drain { .. }) && !self.may_grant() {
            return;
        }
        // Danger: after a loss of all voters the halt is not in the log yet, and a begin that comes before it would count.
        if matches!(entry.command, Command::BeginDrain { .. }) && !self.has_reigned() {
            return;
        }
        // Danger: while its list stands still a deploy may be under way there that nobody counts.
        if let Command::Drain { unit } = &entry.command
            && self.state.hosts.contains_key(unit)
            && !self.may_hold_hosts()
        {
            return;
        }
        // Danger: an order that waits for a majority would be carried out when there is one again, long after its
        // operator was told that nothing had been decided.
        if entry.id.is_some() && !self.hears_majority() {
            return;
        }
        self.input(Input::Propose(entry));
    }

    /// A majority of the voters has answered this one of late, itself counted.
    pub(crate) fn hears_majority(&self) -> bool {
        let answers = |voter_slot: &&VoterSlot| {
            let told = self.told_at.get(&voter_slot.name);
            voter_slot.name == self.name || told.is_some_and(|at| self.now.ms_since(*at) < 2 * BEAT_MS)
        };
        self.state.voter_slots.iter().filter(answers).count() * 2 > self.state.voter_slots.len()
    }

    fn ask_on(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        self.questions.retain(|id, question| {
            if now.ms_since(question.since) >= ASK_ENDS_MS {
                self.actions.push(Action::Reply(id.clone(), RequestResult::Unknown));
                return false;
            }
            if question.said.is_none_or(|at| now.ms_since(at) >= ASK_AGAIN_MS) {
                question.said = Some(now);
                again.push((id.clone(), question.command.clone()));
            }
            true
        });
        for (id, command) in again {
            self.submit(Some(id), command);
        }
    }

    // Hearing.

    fn take_beat(&mut self, from: &UnitName, heartbeat: Heartbeat) {
        let have = heartbeat.have;
        if heartbeat.voter_status == VoterStatus::Fresh {
            self.fresh.insert(from.clone());
        }
        let known = self.heard.remove(from);
        let doubled = known.as_ref().and_then(|known| known.doubled);
        let proved = self.proved(heartbeat.echo);
        let heard = Heard::take(known, heartbeat, proved, self.now, true);
        if heard.doubled.is_some() && doubled.is_none() {
            self.note(format!("two living processes give the name {from}"));
        }
        self.heard.insert(from.clone(), heard);
        let log_update = self.news_for(have);
        self.tell(from, log_update);
    }

    fn take_ask(&mut self, from: &UnitName, id: Option<RequestId>, command: Command) {
        // Danger: what only a leader may propose would end an epoch, or call a unit back, on another's word.
        if command.is_leader_only() {
            return;
        }
        if self.leads() {
            return self.propose(Entry { id, command });
        }
        // Danger: two voters that take each other for the leader would pass it to and fro for ever.
        let from_voter = self.state.voter_slot_of(from).is_some();
        if let Some(leader) = self.leader().cloned().filter(|leader| !from_voter && *leader != self.name) {
            self.send(&leader, Message::Request { id, command });
        }
    }

    fn take_told(&mut self, from: &UnitName, told: HeartbeatReply) {
        self.told_at.insert(from.clone(), self.now);
        if self
            .echoes
            .insert(from.clone(), told.echo)
            .is_none_or(|known| known.incarnation != told.echo.incarnation)
        {
            // The next heartbeat is the first that proves anything to it.
            self.next_beat = self.now;
        }
        if told.leader.as_ref() == Some(from) {
            self.leader_said = self.leader_said.max(Some(told.applied));
            self.leader_at = Some(self.now);
        }
        if let Some(leader) = told.leader {
            self.leader = Some((leader, self.now));
        }
        if told.voter_status == VoterStatus::Fresh {
            self.fresh.insert(from.clone());
        }
        if told.founded {
            self.founded_elsewhere.get_or_insert(self.now);
        }
        self.judge_voter_status(from, told.of_you, told.voter_status);
        self.take_news(told.log_update);
        self.follow();
        self.follow_hosts();
    }

    fn take_news(&mut self, log_update: LogUpdate) {
        match log_update {
            LogUpdate::None => {}
            // A voter knows of its own epoch by its seat alone.
            LogUpdate::Since(from, node_status) => {
                if self.voter.is_none() && from == self.log_position() && self.state.policy.is_some() {
                    for fact in node_status {
                        self.take_fact(fact);
                    }
                }
            }
            LogUpdate::Whole(state) => {
                let further = state.applied > self.state.applied || self.state.policy.is_none();
                let replaces = self.voter.is_none() || state.epoch > self.state.epoch;
                let busy = self.disk.as_ref().is_some_and(|disk| disk.pending.is_some());
                if further && replaces && !(busy && state.epoch > self.state.epoch) {
                    let anew = state.epoch > self.state.epoch;
                    self.state = *state;
                    self.recent.clear();
                    if anew {
                        self.enter_epoch();
                    }
                }
            }
        }
    }

    fn take_fact(&mut self, fact: LogStep) {
        match &fact {
            LogStep::Entry(entry) => {
                let answer = self.state.apply(entry);
                let asked = entry.id.as_ref().filter(|id| self.questions.contains_key(id)).cloned();
                if let Some(id) = asked {
                    self.questions.remove(&id);
                    self.actions.push(Action::Reply(id, RequestResult::Answered(answer)));
                }
            }
            LogStep::Reconfigure(voter_slots) => {
                self.state.start_epoch(voter_slots.clone());
            }
        }
        let reseated = matches!(fact, LogStep::Reconfigure(_));
        self.recent.push_back(fact);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        if reseated {
            self.enter_epoch();
        }
    }

    // The seat.

    fn write(&mut self, mut writes: Vec<StoreWrite>, pending: Pending) {
        let witnessed = bytes(&self.witnessed);
        let Some(disk) = &mut self.disk else { return };
        disk.batch += 1;
        let stamp = match pending {
            // Danger: opening an older copy again and again must not make it look newer than it is.
            Pending::Opened | Pending::Forget => disk.stamp,
            Pending::Step(_) | Pending::Sit(_) => disk.stamp + 1,
        };
        let mut all = std::mem::take(&mut disk.lazy);
        all.append(&mut writes);
        all.push(StoreWrite::Put(StoreKey::Stamp, bytes(&stamp)));
        all.push(StoreWrite::Put(StoreKey::DurableMark, witnessed));
        disk.saved.take(&all);
        disk.pending = Some((disk.batch, stamp, pending));
        self.actions.push(Action::Persist(disk.batch, all));
    }

    fn writes_now(&self) -> bool {
        self.disk.as_ref().is_some_and(|disk| disk.pending.is_some())
    }

    /// The epoch of the state is new here: its seat is taken up, if one is ours.
    fn enter_epoch(&mut self) {
        self.voter = None;
        self.inputs.clear();
        self.leader_state = LeaderState::default();
        let mine = self.state.voter_slot_of(&self.name).cloned();
        let held = match self.voter_status {
            VoterStatus::Recovering(voter_slot) | VoterStatus::Active(voter_slot) => Some(voter_slot),
            _ => None,
        };
        match (mine, held) {
            // Kept over the change.
            (Some(voter_slot), Some(held)) if voter_slot.number == held => {
                if matches!(self.voter_status, VoterStatus::Active(_)) {
                    self.occupy_voter_slot(held);
                }
            }
            // Given anew, to this very process.
            (Some(voter_slot), _) if voter_slot.incarnation == self.incarnation => {
                self.occupy_voter_slot(voter_slot.number)
            }
            (_, Some(_)) => self.forget("its seat was given to another"),
            _ => {}
        }
    }

    fn occupy_voter_slot(&mut self, voter_slot: u64) {
        let mut writes = vec![
            StoreWrite::Cut(0),
            StoreWrite::Remove(StoreKey::Promise),
            StoreWrite::Remove(StoreKey::Accepted),
            StoreWrite::Remove(StoreKey::Decided),
        ];
        writes.push(StoreWrite::Put(StoreKey::Base, bytes(&self.state)));
        writes.push(StoreWrite::Put(StoreKey::VoterSlot, bytes(&voter_slot)));
        if let Some(disk) = &mut self.disk {
            disk.lazy.clear();
        }
        self.voter_status = VoterStatus::Recovering(voter_slot);
        self.write(writes, Pending::Sit(voter_slot));
    }

    fn sit(&mut self, voter_slot: u64) {
        let Some(disk) = &self.disk else { return };
        self.log_at = self.state.epoch_began;
        self.voter = Some(Voter::new(self.state.epoch, voter_slot, &self.state.voter_slots, &disk.saved));
        self.voter_status = VoterStatus::Active(voter_slot);
        self.note(format!("sits on seat {voter_slot} of epoch {}", self.state.epoch));
    }

    fn forget(&mut self, why: &str) {
        (self.voter, self.voter_status) = (None, VoterStatus::NoStore);
        self.inputs.clear();
        self.leader_state = LeaderState::default();
        self.note(format!("does not vote: {why}"));
        let gone =
            [StoreKey::VoterSlot, StoreKey::Base, StoreKey::Promise, StoreKey::Accepted, StoreKey::Decided];
        let mut writes = vec![StoreWrite::Cut(0)];
        writes.extend(gone.map(StoreWrite::Remove));
        if let Some(disk) = &mut self.disk {
            disk.lazy.clear();
        }
        self.write(writes, Pending::Forget);
    }

    /// What a voter knows of our seat.
    fn judge_voter_status(&mut self, from: &UnitName, of_us: Option<DurableMark>, theirs: VoterStatus) {
        if self.writes_now() {
            return;
        }
        match self.voter_status {
            VoterStatus::Recovering(voter_slot) => {
                let stamp = self.disk.as_ref().map_or(0, |disk| disk.stamp);
                let better = of_us.is_some_and(|known| known > DurableMark { voter_slot, stamp });
                if better && !is_injected(InjectedFault::OlderDiskVotes) {
                    return self.forget("its disk is older than what it has acknowledged");
                }
                // One that has never been part of the group knows nothing, which is no word for us. One whose disk has
                // failed it counts: it is of the minority that may fail, and so this one is the less likely to.
                if matches!(
                    theirs,
                    VoterStatus::Active(_) | VoterStatus::Recovering(_) | VoterStatus::StateLost
                ) {
                    self.vouched.insert(from.clone());
                }
            }
            VoterStatus::Fresh if of_us.is_some() => {
                self.forget("its store is empty, but peers know of its seat")
            }
            _ => {}
        }
    }

    /// Sits down where nothing stands against it.
    fn update_voter_status(&mut self) {
        if self.writes_now() || self.disk.is_none() {
            return;
        }
        match self.voter_status {
            VoterStatus::Recovering(voter_slot) => {
                if self.state.voter_slots.iter().all(|of| of.number != voter_slot) {
                    return self.forget("its seat was given to another");
                }
                let others = self.state.voter_slots.iter().filter(|of| of.number != voter_slot);
                let vouched = others.filter(|of| self.vouched.contains(&of.name)).count();
                // Danger: a majority would do to vote, but all that know of the last acknowledgement may be among the
                // rest. So many as meet every majority that this voter was part of, without itself.
                let voter_slots = self.state.voter_slots.len();
                let majority = voter_slots / 2 + 1;
                let enough = if is_injected(InjectedFault::OlderDiskVotes) {
                    majority - 1
                } else {
                    (voter_slots - majority + 1).min(voter_slots - 1)
                };
                if vouched >= enough || self.trusted {
                    // The group may be in a later epoch than the disk.
                    let base = self.disk.as_ref().and_then(|disk| disk.saved.value::<State>(StoreKey::Base));
                    match base.is_some_and(|base| base.epoch == self.state.epoch) {
                        true => self.sit(voter_slot),
                        false => self.occupy_voter_slot(voter_slot),
                    }
                }
            }
            VoterStatus::Fresh => {
                let Some(at) = self.policy.voters.iter().position(|name| *name == self.name) else { return };
                let others = self.policy.voters.iter().filter(|name| **name != self.name);
                let all_fresh = others.clone().all(|name| self.fresh.contains(name));
                if all_fresh && self.state.policy.is_none() {
                    return self.occupy_voter_slot(at as u64 + 1);
                }
                if self.founded_elsewhere.is_some_and(|at| self.now.ms_since(at) >= FOUNDING_MS) {
                    self.forget("its store is empty, but the group exists");
                }
            }
            VoterStatus::StateLost => {
                let given = self
                    .state
                    .voter_slots
                    .iter()
                    .find(|of| of.name == self.name && of.incarnation == self.incarnation);
                if let Some(voter_slot) = given.map(|voter_slot| voter_slot.number)
                    && self.voter.is_none()
                {
                    self.occupy_voter_slot(voter_slot);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn input(&mut self, input: Input) {
        if self.voter.is_none() {
            return;
        }
        if matches!(input, Input::Tick) && self.writes_now() {
            // Danger: ticks that pile up behind a stalled disk would let elections race when it comes back.
            return;
        }
        if self.inputs.len() < INPUTS {
            self.inputs.push_back(input);
        }
    }

    /// Takes steps until the disk has to be waited for.
    fn work(&mut self) {
        loop {
            if self.writes_now() || self.inputs.is_empty() {
                return;
            }
            let Some(voter) = &mut self.voter else { return self.inputs.clear() };
            for input in self.inputs.drain(..) {
                match input {
                    Input::ConsensusMessage(consensus_message) => voter.take(consensus_message),
                    Input::Propose(entry) => voter.propose(entry),
                    Input::Reconnected(voter_slot) => voter.reconnected(voter_slot),
                    Input::Reconfigure(voter_slots) => voter.reseat(&voter_slots),
                    Input::Tick => voter.tick(),
                }
            }
            let ((writes, binds), consensus_messages) = (voter.take_writes(), voter.take_messages());
            if binds && is_injected(InjectedFault::SentBeforeSynced) {
                self.write(writes, Pending::Step(vec![]));
                self.let_out(consensus_messages);
            } else if binds {
                self.write(writes, Pending::Step(consensus_messages));
            } else {
                if let Some(disk) = &mut self.disk {
                    disk.lazy.extend(writes);
                }
                self.let_out(consensus_messages);
            }
        }
    }

    /// All of a step is on disk: what it says goes out, and what it has decided counts.
    fn let_out(&mut self, consensus_messages: Vec<ConsensusMessage>) {
        let epoch = self.state.epoch;
        for consensus_message in consensus_messages {
            let to = self
                .state
                .voter_slots
                .iter()
                .find(|voter_slot| voter_slot.number == consensus_message.get_receiver());
            if let Some(to) = to.map(|voter_slot| voter_slot.name.clone()) {
                self.send(&to, Message::Consensus { epoch, consensus_message });
            }
        }
        let decided = self.voter.as_mut().map(Voter::take_decided).unwrap_or_default();
        if decided.is_empty() {
            return;
        }
        let before = self.log_position();
        let leads = self.leads();
        let mut node_status = Vec::new();
        for decided in decided {
            let fact = match decided {
                Decided::Entry(entry) => LogStep::Entry(entry),
                Decided::Reconfigure(voter_slots) => LogStep::Reconfigure(voter_slots),
            };
            self.log_at += 1;
            if self.log_at <= self.state.applied {
                continue;
            }
            node_status.push(fact.clone());
            self.take_fact(fact);
        }
        if leads && before.applied > 0 && !node_status.is_empty() {
            self.push(before, &node_status);
        }
        self.follow();
        self.follow_hosts();
    }

    /// The leader tells all that it hears what was decided, so that nobody waits for its next heartbeat.
    fn push(&mut self, before: LogPosition, node_status: &[LogStep]) {
        let names: Vec<UnitName> = self
            .heard
            .iter()
            .filter(|(name, heard)| {
                **name != self.name && heard.direct && self.now.ms_since(heard.at) < 3 * BEAT_MS
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.tell(&name, LogUpdate::Since(before, node_status.to_vec()));
        }
    }
}
