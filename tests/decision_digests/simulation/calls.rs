//! Simulated calls and the outcomes of their attempts.

use glendeck::domain::{
    AttemptNumber, AttemptOutcome, AttemptReport, Call, CallId, ClassId, GroupId, HostId, Span, SubjectId,
    TenantId, Time,
};
use nanorand::Rng;

use super::{Behaviour, Client, Event, START, Simulation};

impl Simulation {
    pub(super) fn new_call(&mut self, now: Time) {
        let subject = SubjectId(self.rng.generate_range(1..400u64));
        let class_index = self.rng.generate_range(0..3u8);
        let group = self.chance(0.5).then_some(GroupId(subject.0 % 17));
        let call = self.random_call(now, subject, class_index, group, false);
        self.admit_call(now, call);
        let burst_factor = if now.since(START).seconds() % 20.0 > 15.0 { 4.0 } else { 1.0 };
        let mean_gap = 1.0 / (self.calls_per_second * burst_factor);
        let wait = Span::from_seconds(2.0 * mean_gap * f64::from(self.rng.generate::<f32>()));
        self.schedule_after(wait, Event::NewCall);
    }

    pub(super) fn random_call(
        &mut self,
        now: Time,
        subject: SubjectId,
        class_index: u8,
        group: Option<GroupId>,
        returning: bool,
    ) -> Call {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let due_at = now + self.random_span(400, 3_000);
        let has_known_load = self.chance(0.3);
        let prior = (returning && self.chance(0.1)).then(|| (self.hosts[0].0.host, now - Span::ms(300)));
        Call {
            id,
            class: ClassId(class_index),
            tenant: TenantId(0),
            subject: Some(subject),
            group,
            deadline: due_at,
            load: has_known_load.then(|| 0.02 + 0.1 * f64::from(self.rng.generate::<f32>())),
            is_returning: returning,
            is_mid_flow: false,
            prior_attempt: prior,
        }
    }

    pub(super) fn admit_call(&mut self, now: Time, call: Call) {
        self.clients.insert(call.id, Client { call, attempts: 0, host: None, is_open: false });
        self.node.call_arrived(now, call, &mut self.recorder);
        if self.chance(0.05) {
            let after = self.random_span(1, 500);
            self.schedule_after(after, Event::ClientLeaves(call.id));
        }
    }

    pub(super) fn established(&mut self, now: Time, call: CallId, attempt: u16, took: Span) {
        let Some(client) = self.clients.get_mut(&call).filter(|client| client.attempts == attempt + 1) else {
            return;
        };
        let Some(host) = client.host else { return };
        client.is_open = true;
        self.node.attempt_established(now, call, AttemptNumber(attempt), took, &mut self.recorder);
        if self.chance(0.6) {
            self.schedule_after(Span::ms(100), Event::LoadReport(call, attempt));
        }
        if self.behaviour(host) == Behaviour::Slow {
            self.schedule_after(Span::ms(300), Event::MessageTime(call, attempt, host));
        }
        let lifetime = self.random_span(500, 12_000);
        self.schedule_after(lifetime, Event::AttemptEnds(call, attempt, AttemptOutcome::Completed));
    }

    pub(super) fn message_time(&mut self, now: Time, call: CallId, attempt: u16, host: HostId) {
        if self.behaviour(host) != Behaviour::Slow || !self.clients.contains_key(&call) {
            return;
        }
        let took = self.random_span(20, 400);
        self.node.attempt_report(
            now,
            call,
            AttemptNumber(attempt),
            AttemptReport::MessageTime(took),
            &mut self.recorder,
        );
        self.schedule_after(Span::ms(1_000), Event::MessageTime(call, attempt, host));
    }

    pub(super) fn attempt_ends(&mut self, now: Time, call: CallId, attempt: u16, outcome: AttemptOutcome) {
        let Some(client) = self.clients.get_mut(&call).filter(|client| client.attempts == attempt + 1) else {
            return;
        };
        if client.host.take().is_none() {
            return;
        }
        let was_open = std::mem::take(&mut client.is_open);
        let is_final = outcome == AttemptOutcome::Completed || was_open;
        self.node.attempt_ended(now, call, AttemptNumber(attempt), outcome, is_final, &mut self.recorder);
        if is_final {
            let client = self.clients.remove(&call).expect("the client was looked up above");
            if self.chance(0.4) {
                let ended = client.call;
                let after = self.random_span(50, 800);
                let subject = ended.subject.expect("each call here has a subject");
                self.schedule_after(after, Event::ClientReturns(subject, ended.class.0, ended.group));
            }
        }
    }

    pub(super) fn attempt_sent(&mut self, call: CallId, host: HostId, timeout: Span) {
        let behaviour = self.behaviour(host);
        let took = match behaviour {
            Behaviour::Slow => self.random_span(50, 500),
            _ => self.random_span(5, 50),
        };
        let client = self.clients.get_mut(&call).expect("attempts are sent for known calls");
        let attempt = client.attempts;
        client.attempts += 1;
        client.host = Some(host);
        match behaviour {
            Behaviour::Healthy | Behaviour::Slow if took < timeout => {
                self.schedule_after(took, Event::Established(call, attempt, took));
            }
            Behaviour::Healthy | Behaviour::Slow | Behaviour::Silent => {
                self.schedule_after(timeout, Event::AttemptEnds(call, attempt, AttemptOutcome::TimedOut));
            }
            Behaviour::Breaks => {
                self.schedule_after(took, Event::Established(call, attempt, took));
                self.schedule_after(
                    Span(took.0 + Span::ms(700).0),
                    Event::AttemptEnds(call, attempt, AttemptOutcome::Broken),
                );
            }
            Behaviour::Fails => {
                self.schedule_after(Span::ms(8), Event::AttemptEnds(call, attempt, AttemptOutcome::Error))
            }
            Behaviour::Rejects => {
                self.schedule_after(Span::ms(3), Event::AttemptEnds(call, attempt, AttemptOutcome::Rejected))
            }
            Behaviour::Unreachable => {
                self.schedule_after(
                    Span::ms(2),
                    Event::AttemptEnds(call, attempt, AttemptOutcome::Unreachable),
                );
            }
        }
    }

    pub(super) fn report_load(&mut self, now: Time, call: CallId, attempt: u16) {
        let load = 0.01 + 0.1 * f64::from(self.rng.generate::<f32>());
        let attempt = AttemptNumber(attempt);
        self.node.attempt_report(now, call, attempt, AttemptReport::Load(load), &mut self.recorder);
    }

    pub(super) fn client_leaves(&mut self, now: Time, call: CallId) {
        if !self.clients.contains_key(&call) {
            return;
        }
        self.node.client_left(now, call, &mut self.recorder);
        if self.clients[&call].host.is_none() {
            self.clients.remove(&call);
        }
    }
}
