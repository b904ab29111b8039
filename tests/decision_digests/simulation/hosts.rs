//! Simulated hosts, their behaviour, and the endpoint list.

use glendeck::domain::{
    AttemptOutcome, Cell, Condition, Endpoint, HostId, Kind, ListUpdate, Span, Time, Weight, Zone,
};
use nanorand::Rng;

use super::{Behaviour, Event, Simulation};

impl Simulation {
    pub(super) fn add_host(&mut self, now: Time) {
        let number = self.hosts.len() as u64;
        let is_cold = self.chance(0.2);
        let started = now - self.random_span(0, 5_000);
        let endpoint = Endpoint {
            host: HostId(number * 7 + 11),
            zone: Zone(self.rng.generate_range(0..3u16)),
            cell: Cell(self.rng.generate_range(0..4u16)),
            condition: Condition::Ready,
            weight: Weight(f64::from(self.rng.generate_range(1..5u32)) * 0.5),
            kind: self.chance(0.5).then_some(Kind(number % 3)),
            started_at: is_cold.then_some(started),
        };
        let behaviour = self.random_behaviour();
        self.hosts.push((endpoint, behaviour));
    }

    pub(super) fn random_behaviour(&mut self) -> Behaviour {
        match self.rng.generate_range(0..20u32) {
            0 => Behaviour::Fails,
            1 => Behaviour::Rejects,
            2 => Behaviour::Silent,
            3 => Behaviour::Unreachable,
            4 => Behaviour::Breaks,
            5 | 6 => Behaviour::Slow,
            _ => Behaviour::Healthy,
        }
    }

    pub(super) fn behaviour(&self, host: HostId) -> Behaviour {
        let known = self.hosts.iter().find(|(endpoint, _)| endpoint.host == host);
        known.map_or(Behaviour::Unreachable, |(endpoint, behaviour)| match endpoint.condition {
            Condition::Gone => Behaviour::Unreachable,
            Condition::Ready | Condition::Draining => *behaviour,
        })
    }

    pub(super) fn probe_ends(&mut self, now: Time, host: HostId) {
        let (outcome, took) = match self.behaviour(host) {
            Behaviour::Healthy | Behaviour::Rejects | Behaviour::Breaks => {
                (AttemptOutcome::Completed, self.random_span(1, 4))
            }
            Behaviour::Slow => (AttemptOutcome::Completed, self.random_span(5, 60)),
            Behaviour::Fails => (AttemptOutcome::Error, Span::ms(3)),
            Behaviour::Silent => (AttemptOutcome::TimedOut, Span::ms(400)),
            Behaviour::Unreachable => (AttemptOutcome::Unreachable, Span::ms(1)),
        };
        self.node.probe_finished(now, host, outcome, took, &mut self.recorder);
    }

    pub(super) fn endpoints(&self) -> Vec<Endpoint> {
        self.hosts.iter().map(|(endpoint, _)| *endpoint).collect()
    }

    pub(super) fn publish_list(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        let now = self.recorder.now;
        self.node.endpoints_changed(now, update, endpoints, &mut self.recorder);
    }

    pub(super) fn list_answered(&mut self, now: Time, is_watch: bool) {
        if self.chance(0.3) {
            if is_watch {
                self.node.watch_failed(now, &mut self.recorder);
            }
            return;
        }
        let endpoints: Vec<Endpoint> =
            self.endpoints().into_iter().filter(|endpoint| endpoint.condition != Condition::Gone).collect();
        self.publish_list(ListUpdate::Complete, &endpoints);
    }

    pub(super) fn change_list(&mut self, now: Time) {
        let mut changed = Vec::new();
        for index in 0..self.hosts.len() {
            if !self.chance(0.06) {
                continue;
            }
            let started = now - self.random_span(0, 1_000);
            // One draw decides whether a returning host is cold and in which direction a host's weight
            // changes.
            let is_cold = self.chance(0.5);
            let endpoint = &mut self.hosts[index].0;
            endpoint.condition = match endpoint.condition {
                Condition::Ready => Condition::Draining,
                Condition::Draining => Condition::Gone,
                Condition::Gone => Condition::Ready,
            };
            if endpoint.condition == Condition::Ready && is_cold {
                endpoint.started_at = Some(started);
            }
            endpoint.weight = Weight(endpoint.weight.0 * if is_cold { 0.9 } else { 1.1 });
            changed.push(*endpoint);
        }
        if self.hosts.len() < 40 && self.chance(0.5) {
            self.add_host(now);
            changed.push(self.hosts.last().expect("a host was just added").0);
        }
        self.publish_list(ListUpdate::Delta, &changed);
        self.schedule_after(Span::ms(1_500), Event::ChangeList);
    }

    /// Changes some hosts' behaviour. Sometimes all hosts become unreachable, as if the node's own network
    /// had failed.
    pub(super) fn change_behaviours(&mut self) {
        let is_outage = self.chance(0.2);
        for index in 0..self.hosts.len() {
            if is_outage || self.chance(0.2) {
                let new_behaviour = self.random_behaviour();
                self.hosts[index].1 = if is_outage { Behaviour::Unreachable } else { new_behaviour };
            }
        }
        self.schedule_after(Span::ms(6_000), Event::ChangeBehaviours);
    }
}
