//! The replica of the log on this node: its voter slot, its store, and the consensus protocol.
//!
//! A protocol message is sent, and a decision is applied, only once all writes that it depends on are on
//! disk.

mod recovery;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Timestamp;
use crate::action::Action;
use crate::consensus::{ConsensusMessage, Voter};
use crate::context::Context;
use crate::durable::{AfterWrite, DurableStore};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::message::{DurableMark, Envelope, Message, VoterStatus};
use crate::policy::UnitName;
use crate::state::{Entry, LogStep, State};
use crate::store::{StoreKey, StoreWrite, StoredState, encode};

/// Maximum number of inputs that wait for the disk. Further inputs are dropped while the disk stalls, as if a
/// link had lost them.
const MAX_QUEUED_INPUTS: usize = 4_096;

/// An input of the consensus protocol.
pub(crate) enum Input {
    /// A message from another voter.
    Message(ConsensusMessage),
    /// An entry that this node proposes.
    Propose(Entry),
    /// Messages to or from the voter of this slot may have been lost.
    Reconnected(u64),
    /// [`crate::consensus::TICK_MS`] have passed.
    Tick,
}

/// A decided step of the log, and its position in the log over all epochs.
pub(crate) struct DecidedStep {
    pub position: u64,
    pub step: LogStep,
}

/// Whether a call has made this node give up its voter slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum SlotChange {
    Unchanged,
    GivenUp,
}

/// The replica of the log on this node.
pub(crate) struct Replica {
    store: Option<DurableStore>,
    status: VoterStatus,
    voter: Option<Voter>,
    /// The log position, over all epochs, up to which this voter has delivered decided steps. Steps of the
    /// state beyond it came from other nodes.
    delivered: u64,
    inputs: VecDeque<Input>,
    /// The highest durable mark received from each other node.
    peer_marks: BTreeMap<UnitName, DurableMark>,
    /// Voters that have reported an empty store since this process started.
    fresh_voters: BTreeSet<UnitName>,
    /// When a voter first reported that the fleet is founded.
    founding_reported_at: Option<Timestamp>,
    /// Whether an operator trusts this store, so that no confirmations are needed.
    is_trusted: bool,
    /// Voters that have confirmed that they know of nothing newer in this slot than this store holds.
    confirmed_by: BTreeSet<UnitName>,
}

impl Replica {
    /// Creates the replica of a node without a store, which never votes.
    pub(crate) fn without_store() -> Replica {
        Replica {
            store: None,
            status: VoterStatus::NoStore,
            voter: None,
            delivered: 0,
            inputs: VecDeque::new(),
            peer_marks: BTreeMap::new(),
            fresh_voters: BTreeSet::new(),
            founding_reported_at: None,
            is_trusted: false,
            confirmed_by: BTreeSet::new(),
        }
    }

    /// Creates the replica from the store's contents. Also returns the state to start from, if the store
    /// holds a complete one. `is_spoilt` says whether some of the contents could not be read.
    pub(crate) fn open(saved: StoredState, is_spoilt: bool) -> (Replica, Option<State>) {
        let voter_slot: Option<u64> = saved.value(StoreKey::VoterSlot);
        let base: Option<State> = saved.value(StoreKey::Base);
        let is_whole = is_log_whole(&saved) && !is_spoilt;
        let (status, base) = match (voter_slot, base) {
            (Some(voter_slot), Some(base)) if is_whole => (VoterStatus::Recovering(voter_slot), Some(base)),
            (Some(_), _) => (VoterStatus::StateLost, None),
            (None, _) if is_spoilt => (VoterStatus::StateLost, None),
            (None, _) => (VoterStatus::Fresh, None),
        };
        let peer_marks = saved.value(StoreKey::DurableMark).unwrap_or_default();
        let store = Some(DurableStore::open(saved));
        (Replica { store, status, peer_marks, ..Replica::without_store() }, base)
    }

    /// Writes the boot count of this process to the store.
    pub(crate) fn record_boot(&mut self, context: &Context, actions: &mut Vec<Action>) {
        let writes = vec![StoreWrite::Put(StoreKey::BootCount, encode(&context.boot_count.0))];
        self.write(writes, AfterWrite::Nothing, actions);
    }

    pub(crate) fn status(&self) -> VoterStatus {
        self.status
    }

    pub(crate) fn is_voting(&self) -> bool {
        self.voter.is_some()
    }

    /// Whether this node is the leader and, as far as it knows, a majority follows it.
    pub(crate) fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// The slot of the leader that this voter follows.
    pub(crate) fn leader_slot(&self) -> Option<u64> {
        self.voter.as_ref().and_then(Voter::leader)
    }

    /// The slot in which this node votes.
    pub(crate) fn voter_slot(&self) -> Option<u64> {
        self.voter.as_ref().map(Voter::voter_slot)
    }

    pub(crate) fn has_undecided(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::has_undecided)
    }

    /// Number of entries in this epoch's log.
    pub(crate) fn log_length(&self) -> usize {
        self.voter.as_ref().map_or(0, Voter::log_length)
    }

    /// Whether a batch is in flight.
    pub(crate) fn is_writing(&self) -> bool {
        self.store.as_ref().is_some_and(DurableStore::is_writing)
    }

    /// Whether this node holds or held a voter slot, which means that the fleet is founded.
    pub(crate) fn knows_founding(&self) -> bool {
        match self.status {
            VoterStatus::Active(_) | VoterStatus::Recovering(_) | VoterStatus::StateLost => true,
            VoterStatus::NoStore | VoterStatus::Fresh => false,
        }
    }

    /// The slot that this node holds, recovering or active.
    fn held_slot(&self) -> Option<u64> {
        match self.status {
            VoterStatus::Recovering(voter_slot) | VoterStatus::Active(voter_slot) => Some(voter_slot),
            VoterStatus::NoStore | VoterStatus::Fresh | VoterStatus::StateLost => None,
        }
    }

    /// Wraps a message in an envelope with this node's durable mark.
    pub(crate) fn envelope(&self, message: Message) -> Envelope {
        let stamp = self.store.as_ref().map(DurableStore::stamp);
        let mark = self.held_slot().zip(stamp).map(|(voter_slot, stamp)| DurableMark { voter_slot, stamp });
        Envelope { durable_mark: mark, message }
    }

    /// The highest durable mark received from a peer.
    pub(crate) fn peer_mark(&self, name: &UnitName) -> Option<DurableMark> {
        self.peer_marks.get(name).copied()
    }

    /// Records a durable mark received from a peer, if it is higher than the known one.
    pub(crate) fn record_peer_mark(&mut self, name: &UnitName, mark: DurableMark) {
        let known = self.peer_marks.entry(name.clone()).or_default();
        *known = mark.max(*known);
    }

    /// Records that a voter reported an empty store.
    pub(crate) fn record_fresh_voter(&mut self, name: &UnitName) {
        self.fresh_voters.insert(name.clone());
    }

    /// Records that a voter reported that the fleet is founded.
    pub(crate) fn record_founded_elsewhere(&mut self, now: Timestamp) {
        self.founding_reported_at.get_or_insert(now);
    }

    /// Records that an operator trusts the store. Returns whether the node was waiting for confirmations.
    pub(crate) fn trust_store(&mut self) -> bool {
        self.is_trusted = matches!(self.status, VoterStatus::Recovering(_));
        self.is_trusted
    }

    /// Records that the store has failed. This node does not vote again until it is restarted.
    pub(crate) fn lose_store(&mut self) {
        self.store = None;
        self.voter = None;
        self.status = VoterStatus::NoStore;
        self.inputs.clear();
    }

    /// Queues an input for [`Replica::step`].
    pub(crate) fn enqueue(&mut self, input: Input) {
        if self.voter.is_none() {
            return;
        }
        if matches!(input, Input::Tick) && self.is_writing() {
            // Ticks queued behind a stalled disk would all run at once when it recovers, and set off
            // elections.
            return;
        }
        if self.inputs.len() < MAX_QUEUED_INPUTS {
            self.inputs.push_back(input);
        }
    }

    /// Processes the queued inputs and returns the decided steps; `None` if there are no inputs or a write is
    /// in flight.
    pub(crate) fn step(&mut self, context: &Context, actions: &mut Vec<Action>) -> Option<Vec<DecidedStep>> {
        if self.is_writing() || self.inputs.is_empty() {
            return None;
        }
        let Some(voter) = &mut self.voter else {
            self.inputs.clear();
            return None;
        };
        for input in self.inputs.drain(..) {
            match input {
                Input::Message(message) => voter.receive(message),
                Input::Propose(entry) => voter.propose(entry),
                Input::Reconnected(voter_slot) => voter.reconnected(voter_slot),
                Input::Tick => voter.tick(),
            }
        }
        let pending = voter.take_writes();
        let messages = voter.take_messages();
        if !pending.must_be_durable {
            if let Some(store) = &mut self.store {
                store.defer(pending.writes);
            }
            return Some(self.release(context, messages, actions));
        }
        if is_injected(InjectedFault::SendBeforeDurable) {
            self.write(pending.writes, AfterWrite::Send(vec![]), actions);
            return Some(self.release(context, messages, actions));
        }
        self.write(pending.writes, AfterWrite::Send(messages), actions);
        Some(vec![])
    }

    /// Records that a batch is on disk and returns the steps decided by that; `None` if it is not the batch
    /// in flight.
    pub(crate) fn finish_write(
        &mut self,
        context: &Context,
        batch: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Vec<DecidedStep>> {
        match self.store.as_mut()?.finish_write(batch)? {
            AfterWrite::Nothing => {}
            AfterWrite::Send(messages) => {
                self.announce_mark(context, &messages, actions);
                return Some(self.release(context, messages, actions));
            }
            AfterWrite::Vote(voter_slot) => self.start_voting(context, voter_slot, actions),
            AfterWrite::StateLost => self.status = VoterStatus::StateLost,
        }
        Some(vec![])
    }

    /// Sends the new durable mark to the voters that none of these messages is addressed to, so that all
    /// voters know it.
    fn announce_mark(&self, context: &Context, messages: &[ConsensusMessage], actions: &mut Vec<Action>) {
        for voter_slot in context.other_voters() {
            let is_addressed = messages.iter().any(|message| message.get_receiver() == voter_slot.number);
            if !is_addressed {
                self.send(&voter_slot.name, Message::DurableMarkOnly, actions);
            }
        }
    }

    /// Sends these messages and returns the decided steps, now that all writes that they depend on are on
    /// disk.
    fn release(
        &mut self,
        context: &Context,
        messages: Vec<ConsensusMessage>,
        actions: &mut Vec<Action>,
    ) -> Vec<DecidedStep> {
        let epoch = context.state.epoch;
        for consensus_message in messages {
            if let Some(receiver) = context.state.voter_slot(consensus_message.get_receiver()) {
                self.send(&receiver.name, Message::Consensus { epoch, consensus_message }, actions);
            }
        }
        let steps = self.voter.as_mut().map(Voter::take_decided).unwrap_or_default();
        let first = self.delivered + 1;
        self.delivered += steps.len() as u64;
        (first..).zip(steps).map(|(position, step)| DecidedStep { position, step }).collect()
    }

    fn send(&self, receiver: &UnitName, message: Message, actions: &mut Vec<Action>) {
        actions.push(Action::Send(receiver.clone(), Box::new(self.envelope(message))));
    }

    fn write(&mut self, writes: Vec<StoreWrite>, after: AfterWrite, actions: &mut Vec<Action>) {
        if let Some(store) = &mut self.store {
            actions.push(store.write(writes, &self.peer_marks, after));
        }
    }

    /// Enters the state's new epoch, and takes the voter slot if one belongs to this node.
    pub(crate) fn enter_epoch(&mut self, context: &Context, actions: &mut Vec<Action>) {
        self.voter = None;
        self.inputs.clear();
        let held = self.held_slot();
        match (context.state.voter_slot_of(&context.name), held) {
            // The node keeps its slot in the new epoch.
            (Some(voter_slot), Some(held)) if voter_slot.number == held => {
                if matches!(self.status, VoterStatus::Active(_)) {
                    self.take_slot(context, held, actions);
                }
            }
            // The slot was newly assigned to this process.
            (Some(voter_slot), _) if voter_slot.incarnation == context.incarnation => {
                self.take_slot(context, voter_slot.number, actions);
            }
            (_, Some(_)) => self.give_up_slot("its voter slot was reassigned", actions),
            (_, None) => {}
        }
    }

    fn take_slot(&mut self, context: &Context, voter_slot: u64, actions: &mut Vec<Action>) {
        let writes = vec![
            StoreWrite::Cut(0),
            StoreWrite::Remove(StoreKey::Promise),
            StoreWrite::Remove(StoreKey::Accepted),
            StoreWrite::Remove(StoreKey::Decided),
            StoreWrite::Put(StoreKey::Base, encode(&context.state)),
            StoreWrite::Put(StoreKey::VoterSlot, encode(&voter_slot)),
        ];
        if let Some(store) = &mut self.store {
            store.drop_deferred();
        }
        self.status = VoterStatus::Recovering(voter_slot);
        self.write(writes, AfterWrite::Vote(voter_slot), actions);
    }

    fn start_voting(&mut self, context: &Context, voter_slot: u64, actions: &mut Vec<Action>) {
        let Some(store) = &self.store else { return };
        let State { epoch, epoch_began, voter_slots, .. } = &context.state;
        self.delivered = *epoch_began;
        self.voter = Some(Voter::new(*epoch, voter_slot, voter_slots, store.saved()));
        self.status = VoterStatus::Active(voter_slot);
        actions.push(Action::Log(format!("votes in voter slot {voter_slot} of epoch {epoch}")));
    }

    fn give_up_slot(&mut self, why: &str, actions: &mut Vec<Action>) {
        self.voter = None;
        self.status = VoterStatus::NoStore;
        self.inputs.clear();
        actions.push(Action::Log(format!("does not vote: {why}")));
        let removed =
            [StoreKey::VoterSlot, StoreKey::Base, StoreKey::Promise, StoreKey::Accepted, StoreKey::Decided];
        let mut writes = vec![StoreWrite::Cut(0)];
        writes.extend(removed.map(StoreWrite::Remove));
        if let Some(store) = &mut self.store {
            store.drop_deferred();
        }
        self.write(writes, AfterWrite::StateLost, actions);
    }
}

/// Whether the stored log is complete. A log that ends before the decided index, or has an entry that cannot
/// be decoded, would otherwise be read as a shorter log.
fn is_log_whole(saved: &StoredState) -> bool {
    let decided = saved.value::<usize>(StoreKey::Decided).unwrap_or(0);
    saved.log.len() >= decided && saved.log.iter().all(|entry| postcard::from_bytes::<Entry>(entry).is_ok())
}
