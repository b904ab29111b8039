//! Handling of messages from other nodes.

use super::Fleet;
use crate::Timestamp;
use crate::consensus::ConsensusMessage;
use crate::liveness::HeartbeatSource;
use crate::message::{Echo, Envelope, FoundUnit, Heartbeat, HeartbeatReply, LogUpdate, Message, VoterStatus};
use crate::policy::UnitName;
use crate::replica::Input;
use crate::state::State;

impl Fleet {
    /// Handles a message from another node.
    pub fn heard(&mut self, now: Timestamp, sender: &UnitName, envelope: Envelope) {
        self.context.now = now;
        if let Some(mark) = envelope.durable_mark {
            self.replica.record_peer_mark(sender, mark);
        }
        match envelope.message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(sender, heartbeat),
            Message::HeartbeatReply(reply) => self.receive_reply(sender, reply),
            Message::Request { id, command } => self.receive_request(sender, id, command),
            Message::Consensus { epoch, consensus_message } => {
                self.receive_consensus(sender, epoch, consensus_message);
            }
            Message::Resync => {
                if let Some(voter_slot) = self.context.state.voter_slot_of(sender) {
                    self.replica.enqueue(Input::Reconnected(voter_slot.number));
                }
            }
            Message::DurableMarkOnly => {}
            Message::FindUnits(echo, names) => self.find_units(sender, echo, &names),
            Message::UnitsFound(echo, found) => self.receive_found_units(echo, found),
        }
        self.run_replica();
    }

    fn receive_heartbeat(&mut self, sender: &UnitName, heartbeat: Heartbeat) {
        let position = heartbeat.have;
        if heartbeat.voter_status == VoterStatus::Fresh {
            self.replica.record_fresh_voter(sender);
        }
        let was_duplicate = self.context.liveness.is_duplicate(sender);
        let proved_at = heartbeat.echo.and_then(|echo| self.own_echo_time(echo));
        let now = self.context.now;
        self.context.liveness.record(sender, heartbeat, proved_at, now, HeartbeatSource::Direct);
        if self.context.liveness.is_duplicate(sender) && !was_duplicate {
            self.log(format!("two live processes use the node name {sender}"));
        }
        let update = self.log_tail.update_for(&self.context.state, position);
        self.send_reply(sender, update);
    }

    /// Replies to a heartbeat, or sends decided steps unsolicited.
    pub(super) fn send_reply(&mut self, receiver: &UnitName, log_update: LogUpdate) {
        let reply = HeartbeatReply {
            echo: self.echo(),
            leader: self.leader().cloned(),
            log_update,
            applied: self.context.state.applied,
            receiver_mark: self.replica.peer_mark(receiver),
            founded: self.replica.knows_founding(),
            voter_status: self.replica.status(),
        };
        self.send(receiver, Message::HeartbeatReply(reply));
    }

    fn receive_reply(&mut self, sender: &UnitName, reply: HeartbeatReply) {
        let now = self.context.now;
        self.context.voter_replies.insert(sender.clone(), now);
        let known_echo = self.echoes.insert(sender.clone(), reply.echo);
        if known_echo.is_none_or(|known| known.incarnation != reply.echo.incarnation) {
            // This process of the voter is new to this node. It accepts only its own echo as proof, so the
            // next heartbeat is sent immediately.
            self.next_heartbeat = now;
        }
        if reply.leader.as_ref() == Some(sender) {
            self.leader_applied = self.leader_applied.max(Some(reply.applied));
            self.leader_heard_at = Some(now);
        }
        if let Some(leader) = reply.leader {
            self.leader = Some((leader, now));
        }
        if reply.voter_status == VoterStatus::Fresh {
            self.replica.record_fresh_voter(sender);
        }
        if reply.founded {
            self.replica.record_founded_elsewhere(now);
        }
        let change = self.replica.compare_with_peer(
            sender,
            reply.voter_status,
            reply.receiver_mark,
            &mut self.actions,
        );
        self.end_leadership_if(change);
        self.receive_update(reply.log_update);
        self.follow_state();
    }

    fn receive_update(&mut self, update: LogUpdate) {
        match update {
            LogUpdate::None => {}
            // A voter applies the steps of its own epoch only through its replica.
            LogUpdate::Since(position, steps) => {
                let is_next = position == self.context.log_position();
                if !self.replica.is_voting() && is_next && self.context.state.policy.is_some() {
                    for step in steps {
                        self.apply(step);
                    }
                }
            }
            LogUpdate::Whole(state) => self.replace_state(*state),
        }
    }

    fn replace_state(&mut self, state: State) {
        let known = &self.context.state;
        let is_further = state.applied > known.applied || known.policy.is_none();
        let is_new_epoch = state.epoch > known.epoch;
        if !is_further || (self.replica.is_voting() && !is_new_epoch) {
            return;
        }
        // The voter slot can change only once the batch in flight is on disk.
        if is_new_epoch && self.replica.is_writing() {
            return;
        }
        self.context.state = state;
        self.log_tail.clear();
        if is_new_epoch {
            self.enter_epoch();
        }
    }

    /// Handles a consensus message. Messages of another epoch, from a node that does not hold the sender's
    /// slot, or for another slot are ignored.
    fn receive_consensus(&mut self, sender: &UnitName, epoch: u32, message: ConsensusMessage) {
        let state = &self.context.state;
        let is_from_holder = state.voter_slot(message.get_sender()).is_some_and(|slot| slot.name == *sender);
        let is_for_this_slot = self.replica.voter_slot() == Some(message.get_receiver());
        if epoch == state.epoch && is_from_holder && is_for_this_slot {
            self.replica.enqueue(Input::Message(message));
        }
    }

    /// Replies to the leader with the units that this node hears directly.
    fn find_units(&mut self, sender: &UnitName, echo: Echo, names: &[UnitName]) {
        let find = |name: &UnitName| {
            let known = self.context.alive(name).filter(|known| known.source == HeartbeatSource::Direct)?;
            let age_ms = self.context.now.ms_since(known.alive_at);
            Some(FoundUnit { name: name.clone(), heartbeat: known.heartbeat.clone(), age_ms })
        };
        let found: Vec<FoundUnit> = names.iter().filter_map(find).collect();
        if !found.is_empty() {
            self.send(sender, Message::UnitsFound(echo, found));
        }
    }

    fn receive_found_units(&mut self, echo: Echo, found: Vec<FoundUnit>) {
        // The other voter measured each age when it replied, which was after this node had asked. So the time
        // of asking minus the age is a lower bound of the time at which the unit was alive.
        let Some(asked_at) = self.own_echo_time(echo) else { return };
        let now = self.context.now;
        for FoundUnit { name, heartbeat, age_ms } in found {
            self.context.liveness.record_relayed(&name, heartbeat, asked_at.minus_ms(age_ms), now);
        }
    }

    /// The current time, to be sent back by the receiver.
    fn echo(&self) -> Echo {
        Echo { incarnation: self.context.incarnation, at: self.context.now.0 }
    }

    /// The time of an echo, if it comes from this process.
    fn own_echo_time(&self, echo: Echo) -> Option<Timestamp> {
        (echo.incarnation == self.context.incarnation).then_some(Timestamp(echo.at))
    }
}
