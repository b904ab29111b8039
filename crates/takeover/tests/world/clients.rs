//! Clients: they send a call to a node, wait for the answer, and repeat the call at another node.

use glendeck_takeover::WorkId;

use super::{CALL_TIMEOUT_MS, ClientAnswer, Event, Idempotency, InFlightCall, NODES, RETENTION_MS, World};

impl World {
    pub(super) fn client_arrives(&mut self, node: usize, work: usize, repeat: u32) {
        if self.work_items[work].is_done {
            return;
        }
        if self.nodes[node].takeover.is_none() {
            let (ms, other) = (50 + self.roll(300), self.roll(NODES as u64) as usize);
            return self.schedule(ms, Event::ClientArrives(other, work, repeat));
        }
        self.log(|| format!("w{work} arrives at n{node}, repeat {repeat}"));
        self.work_items[work].open_calls.insert(repeat, node);
        // Some clients give up early, long before their node notices.
        let patience_ms = if self.roll(100) < self.scenario.early_give_ups {
            300 + self.roll(1_500)
        } else {
            CALL_TIMEOUT_MS + 200
        };
        self.schedule(patience_ms, Event::ClientGivesUp(work, repeat));
        let receiver = &mut self.nodes[node];
        receiver.last_call += 1;
        let (call, deadline_at, incarnation) = (receiver.last_call, u64::MAX / 2, receiver.incarnation);
        receiver.calls.insert(
            call,
            InFlightCall {
                work,
                repeat,
                deadline_at,
                attempts: 0,
                inherited_prior: None,
                own_prior: None,
                current: None,
            },
        );
        self.schedule(0, Event::RequestRead(node, incarnation, call));
    }

    pub(super) fn read_request(&mut self, node: usize, call: u64) {
        let (now, timestamp) = (self.now, self.timestamp(node));
        let Some(owned) = self.nodes[node].calls.get_mut(&call) else { return };
        // The node counts the call's time from when it reads the request.
        owned.deadline_at = now + CALL_TIMEOUT_MS;
        let work_id = WorkId(owned.work as u64);
        if owned.repeat > 0 {
            if let Some(takeover) = &mut self.nodes[node].takeover {
                takeover.call_repeated(timestamp, call, work_id, CALL_TIMEOUT_MS);
            }
            self.carry_out(node);
        } else {
            self.place(node, call);
        }
    }

    /// The client leaves a node, which sends nothing more for the call once it has noticed that. It notices
    /// at once in scenarios without early give-ups, else after a delay.
    pub(super) fn client_leaves(&mut self, node: usize, work: usize, repeat: u32) {
        let is_same_call = |owned: &InFlightCall| owned.work == work && owned.repeat == repeat;
        let Some(call) =
            self.nodes[node].calls.iter().find(|(_, owned)| is_same_call(owned)).map(|(call, _)| *call)
        else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let notice_delay_ms = if self.scenario.early_give_ups > 0 { self.roll(2_500) } else { 0 };
        self.schedule(notice_delay_ms, Event::ClientClosed(node, incarnation, call));
    }

    pub(super) fn schedule_repeat(&mut self, work: usize) {
        let now = self.now;
        let item = &mut self.work_items[work];
        // No repeat is sent if it could outlast the retention of the record, the time of the repeated call
        // included: it would not be recognised.
        let is_too_late =
            now + 600 + CALL_TIMEOUT_MS + 200 > *item.first_end_at.get_or_insert(now) + RETENTION_MS;
        if item.is_done || item.repeat_count >= 5 || is_too_late {
            return;
        }
        item.repeat_count += 1;
        let repeat = item.repeat_count;
        let (ms, node) = (self.roll(600), self.roll(NODES as u64) as usize);
        self.schedule(ms, Event::ClientArrives(node, work, repeat));
        if self.roll(100) < self.scenario.double_repeats {
            self.work_items[work].repeat_count += 1;
            let (repeat, other, delay_ms) =
                (self.work_items[work].repeat_count, self.roll(NODES as u64) as usize, self.roll(4));
            self.schedule(ms + delay_ms, Event::ClientArrives(other, work, repeat));
        }
    }

    pub(super) fn client_answered(&mut self, work: usize, repeat: u32, answer: Option<ClientAnswer>) {
        if self.work_items[work].open_calls.remove(&repeat).is_none() {
            return;
        }
        self.log(|| format!("w{work} receives {answer:?}, repeat {repeat}"));
        match answer {
            Some(ClientAnswer::Established) => {
                self.totals.established += 1;
                self.work_items[work].is_done = true;
            }
            // After a failure, clients repeat only work items with an idempotency key.
            Some(ClientAnswer::Failed) => {
                self.totals.failed += 1;
                if self.work_items[work].idempotency == Idempotency::Keyed {
                    self.schedule_repeat(work);
                }
            }
            Some(ClientAnswer::Rejected) => {
                self.totals.rejected += 1;
                self.schedule_repeat(work);
            }
            None => {
                self.totals.unanswered += 1;
                self.schedule_repeat(work);
            }
        }
    }
}
