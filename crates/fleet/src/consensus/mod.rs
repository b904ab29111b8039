//! One voter of the log in one epoch, based on the library [OmniPaxos](https://omnipaxos.com).
//!
//! The library counts an entry as accepted by the leader once it is in the leader's memory. So the caller of
//! a [`Voter`] must have the writes of a step on disk before it sends the step's messages or passes in
//! further input.

mod storage;

use omnipaxos::messages::Message as EngineMessage;
use omnipaxos::messages::sequence_paxos::{AcceptSync, PaxosMsg};
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use self::storage::SharedLog;
use crate::state::{Command, Entry, LogStep, VoterSlot};
use crate::store::{StoreKey, StoreWrite, StoredState};

/// A message between the voters of one epoch.
pub type ConsensusMessage = EngineMessage<Entry>;

enum Engine {
    /// A single voter, which the library does not support: every entry on disk is decided. Also used if the
    /// library rejects the configuration.
    Alone,
    /// The library's replica, for two or more voters.
    Group(Box<OmniPaxos<Entry, SharedLog>>),
}

/// Interval, in ms, at which [`Voter::tick`] is called.
pub const TICK_MS: u64 = 100;

/// Ticks between the library's own heartbeats. On a loaded machine a process may stall for a few hundred ms,
/// which must not cost it the leadership.
const ELECTION_TICKS: u64 = 5;

/// Changes of a step that are not on disk yet.
pub struct PendingWrites {
    /// The changes, in order.
    pub writes: Vec<StoreWrite>,
    /// Whether the step's messages must wait until the changes are on disk.
    pub must_be_durable: bool,
}

/// One voter of one epoch, with its log in memory.
pub struct Voter {
    voter_slot: u64,
    engine: Engine,
    log: SharedLog,
    /// Number of decided entries that [`Voter::take_decided`] has returned.
    taken: usize,
    is_epoch_over: bool,
}

impl Voter {
    /// Creates the voter of this slot from its store's log of this epoch.
    pub fn new(epoch: u32, voter_slot: u64, voter_slots: &[VoterSlot], saved: &StoredState) -> Voter {
        let log = SharedLog::restore(saved);
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
        let engine = match config.build(log.clone()) {
            Ok(omnipaxos) if voter_slots.len() > 1 => Engine::Group(Box::new(omnipaxos)),
            Ok(_) | Err(_) => Engine::Alone,
        };
        Voter { voter_slot, engine, log, taken: 0, is_epoch_over: false }
    }

    /// Advances the library's clock by [`TICK_MS`].
    pub fn tick(&mut self) {
        if let Engine::Group(omnipaxos) = &mut self.engine {
            omnipaxos.tick();
        }
    }

    /// Handles a message from another voter.
    pub fn receive(&mut self, consensus_message: ConsensusMessage) {
        if let EngineMessage::SequencePaxos(paxos) = &consensus_message
            && let PaxosMsg::AcceptSync(sync) = &paxos.msg
            && self.is_stale(sync)
        {
            return;
        }
        if let Engine::Group(omnipaxos) = &mut self.engine {
            omnipaxos.handle_incoming(consensus_message);
        }
    }

    /// Whether this answer to a promise is older than what this voter has accepted or decided since.
    ///
    /// A promise that is sent twice is answered twice. Over a slow link, the second answer may arrive after
    /// this follower has accepted more entries in the same round and promised again. The library (0.2.4)
    /// would then truncate the follower's log and lose entries that it has acknowledged; it panics if decided
    /// entries are among them. Within a round the leader's log only grows, so an answer that ends before this
    /// log does was sent before the leader knew of this log.
    fn is_stale(&self, sync: &AcceptSync<Entry>) -> bool {
        let end = sync.log_sync.sync_idx + sync.log_sync.suffix.len();
        let is_shorter = end < self.log.len();
        sync.log_sync.sync_idx < self.log.decided() || (self.log.accepted() == Some(sync.n) && is_shorter)
    }

    /// Records that messages to or from the voter of that slot may have been lost.
    pub fn reconnected(&mut self, voter_slot: u64) {
        if let Engine::Group(omnipaxos) = &mut self.engine {
            omnipaxos.reconnected(voter_slot);
        }
    }

    /// Proposes an entry, which may be lost. A [`Command::Reconfigure`] ends the epoch: every voter ignores
    /// the entries after it in the log. The library's own stop sign (0.2.4) is not used for that: it is
    /// counted twice if a follower's round is restarted after it, and decided entries are then skipped.
    pub fn propose(&mut self, entry: Entry) {
        match &mut self.engine {
            Engine::Alone if !self.is_epoch_over => self.log.append(entry),
            Engine::Alone => {}
            Engine::Group(omnipaxos) => drop(omnipaxos.append(entry)),
        }
    }

    /// The slot in which this voter votes.
    pub fn voter_slot(&self) -> u64 {
        self.voter_slot
    }

    /// Whether this voter is the leader and, as far as it knows, a majority follows it.
    pub fn is_leader(&self) -> bool {
        match &self.engine {
            Engine::Alone => true,
            Engine::Group(omnipaxos) => omnipaxos.get_current_leader() == Some((self.voter_slot, true)),
        }
    }

    /// The slot of the leader that this voter follows.
    pub fn leader(&self) -> Option<u64> {
        match &self.engine {
            Engine::Alone => Some(self.voter_slot),
            Engine::Group(omnipaxos) => omnipaxos.get_current_leader().map(|(leader, _)| leader),
        }
    }

    /// Whether this voter has accepted entries that are not decided.
    pub fn has_undecided(&self) -> bool {
        match &self.engine {
            Engine::Alone => false,
            Engine::Group(omnipaxos) => omnipaxos.get_accepted_idx() > omnipaxos.get_decided_idx(),
        }
    }

    /// Number of log entries in this epoch.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Returns the changes since the last call. If only the decided index has changed, no message has to wait
    /// for the write: should it be lost, the other voters send it again.
    pub fn take_writes(&mut self) -> PendingWrites {
        let writes = self.log.take_writes();
        let must_be_durable =
            writes.iter().any(|write| !matches!(write, StoreWrite::Put(StoreKey::Decided, _)));
        PendingWrites { writes, must_be_durable }
    }

    /// Returns the messages to other voters since the last call.
    pub fn take_messages(&mut self) -> Vec<ConsensusMessage> {
        let mut consensus_messages = Vec::new();
        if let Engine::Group(omnipaxos) = &mut self.engine {
            omnipaxos.take_outgoing_messages(&mut consensus_messages);
        }
        consensus_messages
    }

    /// Returns the steps decided since the last call. Must be called only when all writes so far are on disk.
    pub fn take_decided(&mut self) -> Vec<LogStep> {
        if self.is_epoch_over {
            return vec![];
        }
        let entries: Vec<Entry> = match &self.engine {
            Engine::Alone => self.log.suffix(self.taken),
            Engine::Group(omnipaxos) => {
                let entries = omnipaxos.read_decided_suffix(self.taken).unwrap_or_default().into_iter();
                entries
                    .map_while(|entry| if let LogEntry::Decided(entry) = entry { Some(entry) } else { None })
                    .collect()
            }
        };
        let mut decided = Vec::new();
        for entry in entries {
            self.taken += 1;
            if let Command::Reconfigure { voter_slots } = entry.command {
                decided.push(LogStep::Reconfigure(voter_slots));
                self.is_epoch_over = true;
                break;
            }
            decided.push(LogStep::Entry(entry));
        }
        decided
    }
}
