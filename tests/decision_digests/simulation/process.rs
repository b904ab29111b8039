//! Changes of settings, a handover to the next process of the node, and the loss of another node.

use glendeck::Node;
use glendeck::domain::{AttemptOutcome, Call, CallId, GroupId, ListUpdate, SubjectId, Time};
use nanorand::Rng;

use super::settings::random_settings;
use super::{Client, Event, Simulation};

impl Simulation {
    /// Hands over to the next process of the node: open connections stay at their hosts, other calls are
    /// lost.
    pub(super) fn replace_process(&mut self, now: Time) {
        let snapshot = self.node.snapshot();
        self.digest_snapshot(&snapshot);
        let seed = self.rng.generate::<u64>();
        self.queue.retain(|_, event| !matches!(event, Event::Timer(_)));
        self.recorder.timers.clear();
        self.node = Node::start(self.settings.clone(), seed, now, &mut self.recorder);
        let endpoints = self.endpoints();
        self.publish_list(ListUpdate::Complete, &endpoints);
        self.node.restore(&snapshot);
        self.node.set_predecessor_connections(None, 0.0);
        let clients = std::mem::take(&mut self.clients);
        for (_, client) in clients {
            let Some(host) = client.host.filter(|_| client.is_open) else { continue };
            let call = Call { id: CallId(self.next_call), is_mid_flow: true, ..client.call };
            self.next_call += 1;
            self.node.existing_connection(now, call, host);
            self.clients.insert(call.id, Client { call, attempts: 1, host: Some(host), is_open: true });
            let lifetime = self.random_span(500, 8_000);
            self.schedule_after(lifetime, Event::AttemptEnds(call.id, 0, AttemptOutcome::Completed));
        }
    }

    pub(super) fn lose_node(&mut self, now: Time) {
        let mut warm_state = self.node.warm_state(50);
        self.digest_warm_state(&warm_state);
        warm_state.homes.push((GroupId(3), self.hosts[0].0.host));
        warm_state.loads.push((SubjectId(5), 0.4));
        self.node.adopt_warm_state(now, &warm_state);
    }

    pub(super) fn change_settings(&mut self, now: Time) {
        let node_index = self.settings.node_index;
        let node_count = self.settings.node_count;
        self.settings = random_settings(&mut self.rng, node_count);
        self.settings.node_index = node_index;
        self.node.update_settings(now, self.settings.clone(), &mut self.recorder);
    }
}
