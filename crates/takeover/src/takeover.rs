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

/// What a node stores for others, and what others store for it.
#[derive(Clone, Debug)]
pub struct Takeover {
    me: UnitName,
    replica: Replica,
    owner: Owner,
    view: View,
    actions: Vec<Action>,
}

impl Takeover {
    /// A node that stores nothing yet.
    ///
    /// `now` has to be a day or more: times before the start of the clock would look younger than they are.
    /// `retention_ms` is how long a call's record is kept after its answer, `longest_call_ms` the longest time that any
    /// call has, and `seed` that of the random waits.
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

    /// This node's part as a replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// This node's part as the owner of its calls.
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
        // The first view is no change: it says what has been so.
        let is_first = self.view.voter_slots.is_empty();
        let has_changed = view.version != self.view.version || is_voter(&view) != is_voter(&self.view);
        // A new voter has not heard of what was stored before, and must not answer as if it had.
        if !is_first && has_changed {
            self.replica.restart_history(now);
        }
        self.view = view;
    }

    /// Ends this node's part as a replica before a planned end of the process; the result is for the next process.
    pub fn hand_over(&mut self, now: Timestamp) -> ReplicaHandover {
        self.replica.hand_over(now)
    }

    /// Takes over what the process before handed over. It must have ended as planned, and nobody else may have restored
    /// the same handover.
    pub fn restore(&mut self, now: Timestamp, handover: ReplicaHandover) {
        self.replica.restore(now, handover);
    }

    /// Reports a repeated call: what came of its work has to be known before it is placed. [`Action::Admit`] or
    /// [`Action::Fail`] follows within `remaining_ms`.
    pub fn call_repeated(&mut self, now: Timestamp, call: u64, work: WorkId, remaining_ms: u64) {
        let actions = self.owner.call_repeated(now, call, work, remaining_ms, &self.view);
        self.carry_out(now, actions);
    }

    /// Asks for an attempt's intent to be replicated. [`Action::Proceed`], [`Action::NotReplicated`] or
    /// [`Action::InFlightElsewhere`] follows.
    pub fn replicate_intent(&mut self, now: Timestamp, call: u64, attempt: Attempt) {
        let actions = self.owner.replicate_intent(now, call, attempt, &self.view);
        self.carry_out(now, actions);
    }

    /// Reports the end of a call. Nothing happens if none of its intents was to be replicated.
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

    /// Lets time pass; to be called ten times a second at least.
    pub fn tick(&mut self, now: Timestamp) {
        self.replica.tick(now);
        let actions = self.owner.tick(now, &self.view);
        self.carry_out(now, actions);
    }

    /// Takes the actions that have come up since the last call, in their order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Messages to this node's own replica are handled at once; all other actions are the node's.
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
