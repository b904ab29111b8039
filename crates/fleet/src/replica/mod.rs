//! This node's part in the agreed log: its voter slot, its store, and the consensus protocol between them.
//!
//! A message of the protocol goes out, and a decision counts, only once all that it rests on is on disk.

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

/// Inputs that wait for the disk; while a disk stalls for longer, messages are lost, as on a link.
const MAX_QUEUED_INPUTS: usize = 4_096;

/// An input of the consensus protocol.
pub(crate) enum Input {
    /// Another voter's message.
    Message(ConsensusMessage),
    /// An entry that this node proposes.
    Propose(Entry),
    /// Messages to or from the voter of this slot may have been lost.
    Reconnected(u64),
    /// Time passes.
    Tick,
}

/// A step of the log, and its place in it over all epochs.
pub(crate) struct DecidedStep {
    pub position: u64,
    pub step: LogStep,
}

/// Whether this node gave up its voter slot.
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
    /// How far the slot's log was handed on, over all epochs; what the state has beyond that came from other nodes.
    delivered: u64,
    inputs: VecDeque<Input>,
    /// What the other voters were heard to have on disk.
    peer_marks: BTreeMap<UnitName, DurableMark>,
    /// Voters whose store was heard to be empty since this process began.
    fresh_voters: BTreeSet<UnitName>,
    /// Since when a voter says that the fleet is founded.
    founded_since: Option<Timestamp>,
    /// An operator has said that this store is whole, whoever is missing.
    is_trusted: bool,
    /// Voters that know of nothing newer in this slot than this store has.
    confirmed_by: BTreeSet<UnitName>,
}

impl Replica {
    /// A node without a store, which never votes.
    pub(crate) fn without_store() -> Replica {
        Replica {
            store: None,
            status: VoterStatus::NoStore,
            voter: None,
            delivered: 0,
            inputs: VecDeque::new(),
            peer_marks: BTreeMap::new(),
            fresh_voters: BTreeSet::new(),
            founded_since: None,
            is_trusted: false,
            confirmed_by: BTreeSet::new(),
        }
    }

    /// A node with what its store held, and the state that it starts from if it held a whole one. `is_spoilt` says that
    /// something in the store could not be read.
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

    /// Records that the store was opened once more.
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

    /// Whether this node leads, and a majority follows as far as it knows.
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

    /// Entries of this epoch's log.
    pub(crate) fn log_length(&self) -> usize {
        self.voter.as_ref().map_or(0, Voter::log_length)
    }

    /// Whether a batch is not on disk yet.
    pub(crate) fn is_writing(&self) -> bool {
        self.store.as_ref().is_some_and(DurableStore::is_writing)
    }

    /// Whether this node holds or held a voter slot, so that the fleet is founded.
    pub(crate) fn knows_founding(&self) -> bool {
        match self.status {
            VoterStatus::Active(_) | VoterStatus::Recovering(_) | VoterStatus::StateLost => true,
            VoterStatus::NoStore | VoterStatus::Fresh => false,
        }
    }

    /// The slot that the store holds.
    fn held_slot(&self) -> Option<u64> {
        match self.status {
            VoterStatus::Recovering(voter_slot) | VoterStatus::Active(voter_slot) => Some(voter_slot),
            VoterStatus::NoStore | VoterStatus::Fresh | VoterStatus::StateLost => None,
        }
    }

    /// A message with how far this node's disk is.
    pub(crate) fn envelope(&self, message: Message) -> Envelope {
        let stamp = self.store.as_ref().map(DurableStore::stamp);
        let mark = self.held_slot().zip(stamp).map(|(voter_slot, stamp)| DurableMark { voter_slot, stamp });
        Envelope { durable_mark: mark, message }
    }

    /// What a peer was heard to have on disk.
    pub(crate) fn peer_mark(&self, name: &UnitName) -> Option<DurableMark> {
        self.peer_marks.get(name).copied()
    }

    /// Remembers the most that a peer was heard to have on disk.
    pub(crate) fn record_peer_mark(&mut self, name: &UnitName, mark: DurableMark) {
        let known = self.peer_marks.entry(name.clone()).or_default();
        *known = mark.max(*known);
    }

    /// A voter was heard to have an empty store.
    pub(crate) fn record_fresh_voter(&mut self, name: &UnitName) {
        self.fresh_voters.insert(name.clone());
    }

    /// A voter says that the fleet is founded.
    pub(crate) fn record_founded_elsewhere(&mut self, now: Timestamp) {
        self.founded_since.get_or_insert(now);
    }

    /// An operator vouches for the store. Whether there was anything to wait for.
    pub(crate) fn trust_store(&mut self) -> bool {
        self.is_trusted = matches!(self.status, VoterStatus::Recovering(_));
        self.is_trusted
    }

    /// The store has failed: this node votes no more until it is started anew.
    pub(crate) fn lose_store(&mut self) {
        self.store = None;
        self.voter = None;
        self.status = VoterStatus::NoStore;
        self.inputs.clear();
    }

    /// Queues an input of the protocol, for [`Replica::step`].
    pub(crate) fn enqueue(&mut self, input: Input) {
        if self.voter.is_none() {
            return;
        }
        if matches!(input, Input::Tick) && self.is_writing() {
            // Ticks that pile up behind a stalled disk would let elections race when it comes back.
            return;
        }
        if self.inputs.len() < MAX_QUEUED_INPUTS {
            self.inputs.push_back(input);
        }
    }

    /// Carries out the queued inputs and returns what was decided; `None` if there is nothing to do, or the disk has to be
    /// waited for.
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

    /// A batch is on disk. What was decided by that; `None` if it is not the batch that was waited for.
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

    /// All voters are to know what this one has acknowledged, not only those that a message goes to.
    fn announce_mark(&self, context: &Context, messages: &[ConsensusMessage], actions: &mut Vec<Action>) {
        for voter_slot in context.other_voters() {
            let is_addressed = messages.iter().any(|message| message.get_receiver() == voter_slot.number);
            if !is_addressed {
                self.send(&voter_slot.name, Message::DurableMarkOnly, actions);
            }
        }
    }

    /// All that these messages rest on is on disk: they go out, and what was decided counts.
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

    /// The state's epoch is new here: its slot is taken up, if one is this node's.
    pub(crate) fn enter_epoch(&mut self, context: &Context, actions: &mut Vec<Action>) {
        self.voter = None;
        self.inputs.clear();
        let held = self.held_slot();
        match (context.state.voter_slot_of(&context.name), held) {
            // Kept over the change.
            (Some(voter_slot), Some(held)) if voter_slot.number == held => {
                if matches!(self.status, VoterStatus::Active(_)) {
                    self.take_slot(context, held, actions);
                }
            }
            // Given anew, to this very process.
            (Some(voter_slot), _) if voter_slot.incarnation == context.incarnation => {
                self.take_slot(context, voter_slot.number, actions);
            }
            (_, Some(_)) => self.give_up_slot("its seat was given to another", actions),
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

/// A log with a hole, or shorter than what is decided, would be taken for a short one.
fn is_log_whole(saved: &StoredState) -> bool {
    let decided = saved.value::<usize>(StoreKey::Decided).unwrap_or(0);
    saved.log.len() >= decided && saved.log.iter().all(|entry| postcard::from_bytes::<Entry>(entry).is_ok())
}
