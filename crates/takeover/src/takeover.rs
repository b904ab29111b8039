//! One node's part in the protocol: its [`Owner`] and its [`Replica`] behind one interface.

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;

use crate::action::{Action, Attempt};
use crate::handover::ReplicaHandover;
use crate::id::WorkId;
use crate::message::{Outcome, ReplicaMessage};
use crate::owner::Owner;
use crate::replica::Replica;
use crate::view::View;

/// Both roles of a node: the owner of its own calls, and a replica that stores records of calls, its own
/// included.
#[derive(Clone, Debug)]
pub struct Takeover {
    me: UnitName,
    replica: Replica,
    owner: Owner,
    view: View,
    actions: Vec<Action>,
}

impl Takeover {
    /// Creates a node that stores nothing yet.
    ///
    /// `now` has to be a day or more after the clock's zero: times before zero are raised to zero, so that
    /// old attempts would look younger than they are. `retention_ms` is the least time that a call's record
    /// is kept after its answer, `longest_call_ms` the longest time that any call may take, and `seed` seeds
    /// the random delays.
    pub fn new(
        now: Timestamp,
        me: UnitName,
        incarnation: Incarnation,
        seed: u64,
        retention_ms: u64,
        longest_call_ms: u64,
    ) -> Takeover {
        Takeover {
            replica: Replica::new(now, retention_ms, longest_call_ms),
            owner: Owner::new(me.clone(), incarnation, seed),
            me,
            view: View::default(),
            actions: Vec::new(),
        }
    }

    /// This node's replica, which stores records.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// This node's owner, which tracks its own calls.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// The membership as last reported.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Reports the membership that holds from now on.
    pub fn membership_changed(&mut self, now: Timestamp, view: View) {
        let is_voter = |view: &View| view.voter_slots.contains(&self.me);
        // The first view is not a change: it describes the membership that was already in force.
        let is_first = self.view.voter_slots.is_empty();
        let has_changed = view.version != self.view.version || is_voter(&view) != is_voter(&self.view);
        // A new voter lacks the records that were stored before, and must not answer as if it had them.
        if !is_first && has_changed {
            self.replica.restart_history(now);
        }
        self.view = view;
    }

    /// Reports a change of the longest time that any call may take, in ms. A shorter one changes nothing.
    pub fn longest_call_changed(&mut self, now: Timestamp, longest_call_ms: u64) {
        self.replica.raise_longest_call(now, longest_call_ms);
    }

    /// Stops this node's replica before a planned end of the process, and returns its records for the next
    /// process.
    pub fn hand_over(&mut self, now: Timestamp) -> ReplicaHandover {
        self.replica.hand_over(now)
    }

    /// Restores what the previous process handed over. That process must have ended as planned, and no other
    /// process may have restored the same handover.
    pub fn restore(&mut self, now: Timestamp, handover: ReplicaHandover) {
        self.replica.restore(now, handover);
    }

    /// Reports a repeated call. The outcome of its work item has to be known before the call is placed, so
    /// [`Action::Admit`] or [`Action::Fail`] follows within `remaining_ms`.
    pub fn call_repeated(&mut self, now: Timestamp, call: u64, work: WorkId, remaining_ms: u64) {
        let actions = self.owner.call_repeated(now, call, work, remaining_ms, &self.view);
        self.carry_out(now, actions);
    }

    /// Requests the replication of an attempt's intent. [`Action::Proceed`], [`Action::NotReplicated`] or
    /// [`Action::InFlightElsewhere`] follows.
    pub fn replicate_intent(&mut self, now: Timestamp, call: u64, attempt: Attempt) {
        let actions = self.owner.replicate_intent(now, call, attempt, &self.view);
        self.carry_out(now, actions);
    }

    /// Reports the end of a call. Replicas are informed only if the replication of an intent was requested
    /// for it.
    pub fn call_ended(&mut self, now: Timestamp, call: u64, outcome: Outcome) {
        let actions = self.owner.call_ended(call, outcome, &self.view);
        self.carry_out(now, actions);
    }

    /// Reports a message from another node.
    pub fn message_received(&mut self, now: Timestamp, from: &UnitName, message: ReplicaMessage) {
        match message {
            ReplicaMessage::StoreIntent(_)
            | ReplicaMessage::Query { .. }
            | ReplicaMessage::CallEnded { .. } => {
                if let Some(reply) = self.replica.handle_request(now, from, message, &self.view) {
                    self.actions.push(Action::Send(from.clone(), reply));
                }
            }
            ReplicaMessage::IntentReply { .. } | ReplicaMessage::QueryReply { .. } => {
                let actions = self.owner.handle_reply(now, from, message, &self.view);
                self.carry_out(now, actions);
            }
        }
    }

    /// Handles timeouts, resends and expiry. Has to be called at least ten times a second.
    pub fn tick(&mut self, now: Timestamp) {
        self.replica.tick(now);
        let actions = self.owner.tick(now, &self.view);
        self.carry_out(now, actions);
    }

    /// Returns the actions that were queued since the last call of this method, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Delivers messages to this node's own replica directly, and queues all other actions for the node.
    fn carry_out(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) if to == self.me => {
                    if let Some(reply) = self.replica.handle_request(now, &to, message, &self.view) {
                        let actions = self.owner.handle_reply(now, &to, reply, &self.view);
                        self.carry_out(now, actions);
                    }
                }
                action => self.actions.push(action),
            }
        }
    }
}
