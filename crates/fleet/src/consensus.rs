//! One seat of the agreed log in one epoch: the library's engine, kept in memory, with all that must be on disk noted
//! as it changes.
//!
//! Danger: the library counts an entry as accepted by its leader once it is in memory. Whoever drives this must have
//! the writes of one step on disk before it lets a message out or takes further input.

use std::cell::RefCell;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message as EngineMessage;
use omnipaxos::messages::sequence_paxos::{AcceptSync, PaxosMsg};
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::state::{Command, Entry, LogStep, VoterSlot};
use crate::store::{StoreKey, StoreWrite, StoredState, encode};

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

pub type ConsensusMessage = EngineMessage<Entry>;

#[derive(Default)]
struct Memory {
    log: Vec<Entry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    stop: Option<StopSign>,
    /// What is not on disk yet.
    writes: Vec<StoreWrite>,
}

impl Memory {
    fn note(&mut self, from: usize) {
        for at in from..self.log.len() {
            self.writes.push(StoreWrite::Log(at as u64, encode(&self.log[at])));
        }
    }
}

/// The engine owns its storage, and we read what it has noted.
#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Memory>>);

impl Storage<Entry> for Shared {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(decided) => self.set_decided_idx(decided)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                // Epochs end instead: nothing is trimmed or taken together within one.
                StorageOp::SetCompactedIdx(_) | StorageOp::Trim(_) | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        let from = memory.log.len();
        memory.log.extend(entries);
        memory.note(from);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.log.truncate(from);
        memory.writes.push(StoreWrite::Cut(from as u64));
        memory.log.extend(entries);
        memory.note(from);
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.promise = Some(ballot);
        memory.writes.push(StoreWrite::Put(StoreKey::Promise, encode(&ballot)));
        Ok(())
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.decided = decided;
        memory.writes.push(StoreWrite::Put(StoreKey::Decided, encode(&decided)));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.accepted = Some(ballot);
        memory.writes.push(StoreWrite::Put(StoreKey::Accepted, encode(&ballot)));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().log.get(from..to).map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().log.get(from..).map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        // Nobody asks for one.
        memory.stop = stop;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().stop.clone())
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

enum Engine {
    /// The library refuses groups of one: what its only voter has on disk is decided.
    Alone,
    Many(Box<OmniPaxos<Entry, Shared>>),
}

/// A tick is 100 ms: heartbeats go out and are judged every 0.5 s. A loaded machine lets a process wait for a few
/// hundred ms, which must not cost it the lead.
const ELECTION_TICKS: u64 = 5;
pub const TICK_MS: u64 = 100;

/// What a step has changed that is not on disk yet.
pub struct PendingWrites {
    /// The changes, in order.
    pub writes: Vec<StoreWrite>,
    /// Whether the messages of the step have to wait for them.
    pub must_be_durable: bool,
}

/// One voter of one epoch, with its log in memory.
pub struct Voter {
    voter_slot: u64,
    consensus: Engine,
    memory: Shared,
    /// Decided entries handed out so far.
    read: usize,
    stopped: bool,
}

impl Voter {
    /// Takes up a seat with what its store holds of this epoch.
    pub fn new(epoch: u32, voter_slot: u64, voter_slots: &[VoterSlot], saved: &StoredState) -> Voter {
        let memory = Memory {
            log: saved.log.iter().map_while(|entry| postcard::from_bytes(entry).ok()).collect(),
            promise: saved.value(StoreKey::Promise),
            accepted: saved.value(StoreKey::Accepted),
            decided: saved.value(StoreKey::Decided).unwrap_or(0),
            stop: None,
            writes: Vec::new(),
        };
        let memory = Shared(Rc::new(RefCell::new(memory)));
        let nodes: Vec<u64> = voter_slots.iter().map(|voter_slot| voter_slot.number).collect();
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig { configuration_id: epoch, nodes, flexible_quorum: None },
            server_config: ServerConfig {
                pid: voter_slot,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: ELECTION_TICKS,
                ..ServerConfig::default()
            },
        };
        let consensus = match config.build(memory.clone()) {
            Ok(consensus) if voter_slots.len() > 1 => Engine::Many(Box::new(consensus)),
            _ => Engine::Alone,
        };
        Voter { voter_slot, consensus, memory, read: 0, stopped: false }
    }

    pub fn tick(&mut self) {
        if let Engine::Many(consensus) = &mut self.consensus {
            consensus.tick();
        }
    }

    /// A message of another voter has come.
    pub fn receive(&mut self, consensus_message: ConsensusMessage) {
        if let EngineMessage::SequencePaxos(paxos) = &consensus_message
            && let PaxosMsg::AcceptSync(sync) = &paxos.msg
            && self.is_stale(sync)
        {
            return;
        }
        if let Engine::Many(consensus) = &mut self.consensus {
            consensus.handle_incoming(consensus_message);
        }
    }

    /// Danger: a promise said twice is answered twice, and the second answer may come late, over a slow link, when this
    /// follower has accepted more in the same round and promised again. The library (0.2.4) would cut its log back by
    /// it: entries that it has acknowledged would be gone, and below what is decided it panics. Within a round its
    /// leader's log only grows, so an answer that ends before ours was sent before ours was known.
    fn is_stale(&self, sync: &AcceptSync<Entry>) -> bool {
        let memory = self.memory.0.borrow();
        let ends = sync.log_sync.sync_idx + sync.log_sync.suffix.len();
        let shorter = ends < memory.log.len();
        sync.log_sync.sync_idx < memory.decided || memory.accepted == Some(sync.n) && shorter
    }

    /// What was under way to that seat may be lost.
    pub fn reconnected(&mut self, voter_slot: u64) {
        if let Engine::Many(consensus) = &mut self.consensus {
            consensus.reconnected(voter_slot);
        }
    }

    /// Proposes an entry; it may be lost. A [`Command::Reconfigure`] ends the epoch: what stands behind it in the log is void,
    /// for every voter alike. The library's own stop sign (0.2.4) is not used for that, as it counts twice where its
    /// follower's round is begun anew after it, and decided entries are passed over.
    pub fn propose(&mut self, entry: Entry) {
        match &mut self.consensus {
            Engine::Alone if !self.stopped => {
                let _ = self.memory.append_entry(entry);
            }
            Engine::Alone => {}
            Engine::Many(consensus) => drop(consensus.append(entry)),
        }
    }

    /// The slot in which it votes.
    pub fn voter_slot(&self) -> u64 {
        self.voter_slot
    }

    /// Whether it leads, and a majority follows as far as it knows.
    pub fn is_leader(&self) -> bool {
        match &self.consensus {
            Engine::Alone => true,
            Engine::Many(consensus) => consensus.get_current_leader() == Some((self.voter_slot, true)),
        }
    }

    pub fn leader(&self) -> Option<u64> {
        match &self.consensus {
            Engine::Alone => Some(self.voter_slot),
            Engine::Many(consensus) => consensus.get_current_leader().map(|(leader, _)| leader),
        }
    }

    /// Something is accepted here that is not decided.
    pub fn has_undecided(&self) -> bool {
        match &self.consensus {
            Engine::Alone => false,
            Engine::Many(consensus) => consensus.get_accepted_idx() > consensus.get_decided_idx(),
        }
    }

    pub fn log_length(&self) -> usize {
        self.memory.0.borrow().log.len()
    }

    /// What must be on disk before anything of this step leaves. Where only the decided index has changed there is
    /// nothing to wait for: lost, it is found out again.
    pub fn take_writes(&mut self) -> PendingWrites {
        let writes = std::mem::take(&mut self.memory.0.borrow_mut().writes);
        let must_be_durable =
            writes.iter().any(|write| !matches!(write, StoreWrite::Put(StoreKey::Decided, _)));
        PendingWrites { writes, must_be_durable }
    }

    pub fn take_messages(&mut self) -> Vec<ConsensusMessage> {
        let mut consensus_messages = Vec::new();
        if let Engine::Many(consensus) = &mut self.consensus {
            consensus.take_outgoing_messages(&mut consensus_messages);
        }
        consensus_messages
    }

    /// What has been decided since the last time. To be asked only when all writes so far are on disk.
    pub fn take_decided(&mut self) -> Vec<LogStep> {
        if self.stopped {
            return vec![];
        }
        let entries: Vec<Entry> = match &self.consensus {
            Engine::Alone => self.memory.0.borrow().log[self.read..].to_vec(),
            Engine::Many(consensus) => {
                let entries = consensus.read_decided_suffix(self.read).unwrap_or_default().into_iter();
                entries
                    .map_while(|entry| if let LogEntry::Decided(entry) = entry { Some(entry) } else { None })
                    .collect()
            }
        };
        let mut decided = Vec::new();
        for entry in entries {
            self.read += 1;
            if let Command::Reconfigure { voter_slots } = entry.command {
                decided.push(LogStep::Reconfigure(voter_slots));
                self.stopped = true;
                break;
            }
            decided.push(LogStep::Entry(entry));
        }
        decided
    }
}
