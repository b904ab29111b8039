//! Requests from operators and nodes, and which of them a leader proposes.

use super::Fleet;
use crate::Timestamp;
use crate::action::{Action, RequestResult};
use crate::leader::are_voters_recorded;
use crate::message::Message;
use crate::policy::UnitName;
use crate::replica::Input;
use crate::state::{Command, CommandResult, Entry, RequestId};

impl Fleet {
    /// Submits an operator's request. Its result is returned as [`Action::Reply`] within a second.
    pub fn ask(&mut self, now: Timestamp, id: RequestId, command: Command) {
        self.context.now = now;
        if let Some(result) = self.context.state.result_of(&id) {
            let result = RequestResult::Answered(result.clone());
            self.actions.push(Action::Reply(id, result));
            return;
        }
        self.requests.add(now, id, command);
        self.send_due_requests();
        self.run_replica();
    }

    pub(super) fn send_due_requests(&mut self) {
        for id in self.requests.take_expired(self.context.now) {
            self.actions.push(Action::Reply(id, RequestResult::Unknown));
        }
        for (id, command) in self.requests.due(self.context.now) {
            self.submit(Some(id), command);
        }
    }

    pub(super) fn answer_request(&mut self, id: &RequestId, result: Option<CommandResult>) {
        if let Some(result) = result
            && self.requests.finish(id)
        {
            self.actions.push(Action::Reply(id.clone(), RequestResult::Answered(result)));
        }
    }

    /// Proposes a command if this node is the leader; otherwise sends it to the leader, or to a voter that
    /// may know the leader.
    pub(super) fn submit(&mut self, id: Option<RequestId>, command: Command) {
        if self.leads() {
            return self.propose(Entry { id, command });
        }
        let leader = self.leader().filter(|leader| **leader != self.context.name).cloned();
        if let Some(receiver) = leader.or_else(|| self.next_voter()) {
            self.send(&receiver, Message::Request { id, command });
        }
    }

    /// The next voter in round-robin order.
    fn next_voter(&mut self) -> Option<UnitName> {
        let voters: Vec<UnitName> = self.voters().into_iter().collect();
        self.requests_forwarded += 1;
        voters.get(self.requests_forwarded % voters.len().max(1)).cloned()
    }

    /// Handles a request from another node.
    pub(super) fn receive_request(&mut self, sender: &UnitName, id: Option<RequestId>, command: Command) {
        // Leader-only commands, such as ending an epoch or marking a unit as serving, must not be proposed on
        // another node's behalf.
        if command.is_leader_only() {
            return;
        }
        if self.leads() {
            return self.propose(Entry { id, command });
        }
        // Two voters that take each other for the leader would forward the request back and forth forever.
        if self.context.state.voter_slot_of(sender).is_some() {
            return;
        }
        if let Some(leader) = self.leader().filter(|leader| **leader != self.context.name).cloned() {
            self.send(&leader, Message::Request { id, command });
        }
    }

    /// Proposes a request, or drops it; the sender retries.
    fn propose(&mut self, entry: Entry) {
        if self.may_propose(&entry) {
            self.replica.enqueue(Input::Propose(entry));
        }
    }

    fn may_propose(&self, entry: &Entry) -> bool {
        // Without a majority, the request would be carried out once there is one again, long after the
        // operator was told that it had not been decided.
        if entry.id.is_some() && !self.context.hears_majority() {
            return false;
        }
        match &entry.command {
            Command::Drain { unit } => {
                // While the endpoint list is not updated, a rolling deploy of the hosts may be running that
                // the limits do not count.
                let is_host = self.context.state.hosts.contains_key(unit);
                self.leadership.may_grant(&self.context) && (!is_host || self.endpoint_list.may_drain_hosts())
            }
            // After a restart of all voters, the halt of the release is not in the log until the voters are
            // recorded, and a `BeginDrain` that precedes it in the log would be accepted.
            Command::BeginDrain { .. } => are_voters_recorded(&self.context),
            _ => true,
        }
    }
}
