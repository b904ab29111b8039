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
        // An attempt that is on its way arrives, whatever has become of its node; its work is known by the call.
        let Some(work) = self.work_of(node, incarnation, call) else { return };
        let [busy, silent, late, fails] = self.day.host_replies;
        let way = self.roll(100);
        let soon = 5 + self.roll(55);
        if way < busy {
            // Some only after a while in a queue.
            let ms = if self.roll(2) == 0 { soon } else { 300 + self.roll(ATTEMPT_TIMEOUT_MS - 310) };
            return self
                .schedule(ms, Event::HostReplied(node, incarnation, call, attempt, HostReply::Rejected));
        }
        self.run_at(host, work);
        let (ms, reply) = if way < busy + silent {
            return;
        } else if way < busy + silent + late {
            (ATTEMPT_TIMEOUT_MS + self.roll(800), HostReply::Established)
        } else if way < busy + silent + late + fails {
            (soon, HostReply::Error)
        } else {
            (soon, HostReply::Established)
        };
        self.schedule(ms, Event::HostReplied(node, incarnation, call, attempt, reply));
    }

    pub(super) fn work_of(&self, node: usize, incarnation: u64, call: u64) -> Option<usize> {
        let of = &self.nodes[node];
        // Gone with its process: the attempt was cut off on its way, or has arrived. Here it was cut off.
        (of.incarnation == incarnation).then(|| of.calls.get(&call).map(|held| held.work))?
    }

    pub(super) fn run_at(&mut self, host: u64, work: usize) {
        let (now, cell) = (self.now, host % 2);
        let of = &mut self.works[work];
        let recalled = of.ran.iter().any(|(at, there)| *there == cell && now < at + KEY_WINDOW_MS);
        if of.idempotency == Idempotency::Keyed && recalled {
            return;
        }
        of.ran.push((now, cell));
        let (ran, idempotency) = (of.ran.clone(), of.idempotency);
        if ran.len() > 1 {
            self.report_violation(format!("w{work}, {idempotency:?}, ran {ran:?}"));
        }
    }

    pub(super) fn host_replied(&mut self, at: usize, call: u64, attempt: u32, reply: HostReply) {
        let timestamp = self.timestamp(at);
        let Some(held) = self.nodes[at].calls.get_mut(&call) else { return };
        let Some((host, true)) = held.out.filter(|_| held.attempts == attempt) else { return };
        match reply {
            HostReply::Established => return self.answer(at, call, ClientAnswer::Established),
            HostReply::Rejected => {}
            HostReply::Error => {
                held.ran.get_or_insert(PriorAttempt { host, sent_at: timestamp_before(timestamp, 100) });
            }
        }
        if let Some(held) = self.nodes[at].calls.get_mut(&call) {
            held.out = None;
        }
        self.place(at, call);
    }
}
