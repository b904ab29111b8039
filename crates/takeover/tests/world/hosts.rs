//! Hosts: they run the attempts that reach them, and reply.

use glendeck_takeover::PriorAttempt;

use super::{
    ATTEMPT_TIMEOUT_MS, ClientAnswer, Event, HostReply, Idempotency, KEY_WINDOW_MS, World, timestamp_before,
};

impl World {
    pub(super) fn attempt_arrives(
        &mut self,
        node: usize,
        incarnation: u64,
        call: u64,
        attempt: u32,
        host: u64,
    ) {
        // An attempt in transit arrives even while its node is paused. It is dropped if its call is gone.
        let Some(work) = self.work_of(node, incarnation, call) else { return };
        let [rejected, no_reply, late_reply, error] = self.scenario.host_replies;
        let draw = self.roll(100);
        let short_ms = 5 + self.roll(55);
        if draw < rejected {
            // Half of the rejections come only after some time in a queue.
            let ms = if self.roll(2) == 0 { short_ms } else { 300 + self.roll(ATTEMPT_TIMEOUT_MS - 310) };
            return self
                .schedule(ms, Event::HostReplied(node, incarnation, call, attempt, HostReply::Rejected));
        }
        self.run_at(host, work);
        let (ms, reply) = if draw < rejected + no_reply {
            return;
        } else if draw < rejected + no_reply + late_reply {
            (ATTEMPT_TIMEOUT_MS + self.roll(800), HostReply::Established)
        } else if draw < rejected + no_reply + late_reply + error {
            (short_ms, HostReply::Error)
        } else {
            (short_ms, HostReply::Established)
        };
        self.schedule(ms, Event::HostReplied(node, incarnation, call, attempt, reply));
    }

    pub(super) fn work_of(&self, node: usize, incarnation: u64, call: u64) -> Option<usize> {
        let origin = &self.nodes[node];
        // When a process ends, its attempts in transit may arrive or be dropped; the simulation drops them.
        (origin.incarnation == incarnation).then(|| origin.calls.get(&call).map(|owned| owned.work))?
    }

    pub(super) fn run_at(&mut self, host: u64, work: usize) {
        let (now, cell) = (self.now, host % 2);
        let item = &mut self.work_items[work];
        let is_recognised =
            item.executions.iter().any(|(ran_at, ran_in)| *ran_in == cell && now < ran_at + KEY_WINDOW_MS);
        if item.idempotency == Idempotency::Keyed && is_recognised {
            return;
        }
        item.executions.push((now, cell));
        let (executions, idempotency) = (item.executions.clone(), item.idempotency);
        if executions.len() > 1 {
            self.report_violation(format!("w{work}, {idempotency:?}, ran {executions:?}"));
        }
    }

    pub(super) fn host_replied(&mut self, index: usize, call: u64, attempt: u32, reply: HostReply) {
        let timestamp = self.timestamp(index);
        let Some(owned) = self.nodes[index].calls.get_mut(&call) else { return };
        let Some((host, true)) = owned.current.filter(|_| owned.attempts == attempt) else {
            return;
        };
        match reply {
            HostReply::Established => return self.answer(index, call, ClientAnswer::Established),
            HostReply::Rejected => {}
            HostReply::Error => {
                owned
                    .own_prior
                    .get_or_insert(PriorAttempt { host, sent_at: timestamp_before(timestamp, 100) });
            }
        }
        if let Some(owned) = self.nodes[index].calls.get_mut(&call) {
            owned.current = None;
        }
        self.place(index, call);
    }
}
