//! Clients: they send a call to a node, wait, and repeat it at another node.

use glendeck_takeover::WorkId;

use super::{CALL_TIMEOUT_MS, ClientAnswer, Event, Idempotency, InFlightCall, NODES, RETENTION_MS, World};

impl World {
    pub(super) fn client_arrives(&mut self, node: usize, work: usize, time: u32) {
        if self.works[work].done {
            return;
        }
        if self.nodes[node].takeover.is_none() {
            let (ms, other) = (50 + self.roll(300), self.roll(NODES as u64) as usize);
            return self.schedule(ms, Event::ClientArrives(other, work, time));
        }
        self.log(|| format!("w{work} comes to n{node}, time {time}"));
        self.works[work].open.insert(time, node);
        // Some have gone long before their node knows.
        let patience =
            if self.roll(100) < self.day.impatient { 300 + self.roll(1_500) } else { CALL_TIMEOUT_MS + 200 };
        self.schedule(patience, Event::ClientGivesUp(work, time));
        let held = &mut self.nodes[node];
        held.next += 1;
        let (call, deadline_at, incarnation) = (held.next, u64::MAX / 2, held.incarnation);
        held.calls.insert(
            call,
            InFlightCall { work, time, deadline_at, attempts: 0, before: None, ran: None, out: None },
        );
        self.schedule(0, Event::RequestRead(node, incarnation, call));
    }

    pub(super) fn read_request(&mut self, node: usize, call: u64) {
        let (now, timestamp) = (self.now, self.timestamp(node));
        let Some(held) = self.nodes[node].calls.get_mut(&call) else { return };
        // Its time counts from when it is read, as far as the node knows.
        held.deadline_at = now + CALL_TIMEOUT_MS;
        let of = WorkId(held.work as u64);
        if held.time > 0 {
            if let Some(takeover) = &mut self.nodes[node].takeover {
                takeover.call_repeated(timestamp, call, of, CALL_TIMEOUT_MS);
            }
            self.carry_out(node);
        } else {
            self.place(node, call);
        }
    }

    /// The client has gone from a node: nothing more is sent for it there.
    pub(super) fn client_leaves(&mut self, node: usize, work: usize, time: u32) {
        let of = |held: &InFlightCall| held.work == work && held.time == time;
        let Some(call) = self.nodes[node].calls.iter().find(|(_, held)| of(held)).map(|(call, _)| *call)
        else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let unseen = if self.day.impatient > 0 { self.roll(2_500) } else { 0 };
        self.schedule(unseen, Event::ClientClosed(node, incarnation, call));
    }

    pub(super) fn schedule_repeat(&mut self, work: usize) {
        let now = self.now;
        let of = &mut self.works[work];
        // Whoever comes later than a record is kept is not recognised; its time there counts as well.
        let late = now + 600 + CALL_TIMEOUT_MS + 200 > *of.first_end.get_or_insert(now) + RETENTION_MS;
        if of.done || of.times >= 5 || late {
            return;
        }
        of.times += 1;
        let time = of.times;
        let (ms, node) = (self.roll(600), self.roll(NODES as u64) as usize);
        self.schedule(ms, Event::ClientArrives(node, work, time));
        if self.roll(100) < self.day.twins {
            self.works[work].times += 1;
            let (time, other, later) =
                (self.works[work].times, self.roll(NODES as u64) as usize, self.roll(4));
            self.schedule(ms + later, Event::ClientArrives(other, work, time));
        }
    }

    pub(super) fn client_answered(&mut self, work: usize, time: u32, answer: Option<ClientAnswer>) {
        if self.works[work].open.remove(&time).is_none() {
            return;
        }
        self.log(|| format!("w{work} hears {answer:?}, time {time}"));
        match answer {
            Some(ClientAnswer::Established) => {
                self.totals.up += 1;
                self.works[work].done = true;
            }
            // What is once-only is not tried again after this; what is referenced is.
            Some(ClientAnswer::Failed) => {
                self.totals.released += 1;
                if self.works[work].idempotency == Idempotency::Keyed {
                    self.schedule_repeat(work);
                }
            }
            Some(ClientAnswer::Rejected) => {
                self.totals.busy += 1;
                self.schedule_repeat(work);
            }
            None => {
                self.totals.broke += 1;
                self.schedule_repeat(work);
            }
        }
    }
}
