//! Simulated clients: they arrive, return and leave.

use glendeck::domain::{
    AttemptNumber, AttemptOutcome, Call, CallId, ClassId, GroupId, Span, SubjectId, TenantId,
};

use super::{CallState, Client, ClientIndex, Event, LOST_NODE, Simulation};

impl Simulation {
    /// Adds a client that arrives within the given time.
    pub(super) fn add_client(&mut self, within_ms: u64) {
        let heavy = self.parameters.heavy_clients;
        let mean = 1.0 + heavy.percent as f64 / 100.0 * (heavy.factor - 1.0);
        let is_heavy = self.random_below(100) < heavy.percent;
        let load = if is_heavy { heavy.factor / mean } else { 1.0 / mean };
        let groups = self.parameters.groups.count;
        let group = (groups > 0).then(|| GroupId(1 + self.random_below(groups)));
        let index = self.clients.len();
        self.clients.push(Client {
            load,
            group,
            request: None,
            host: None,
            is_open: false,
            wants_service: true,
            reconnects: 0,
        });
        let delay = self.random_below(within_ms);
        self.schedule(delay, Event::ClientArrives(index));
    }

    /// Ends a client's connection at its node and host.
    pub(super) fn end_connection(&mut self, client: ClientIndex, outcome: AttemptOutcome) {
        let Some((node, call)) = self.clients[client].request else { return };
        self.clients[client].disconnect();
        if let Some(state) = self.calls[node].remove(&call) {
            let attempt = AttemptNumber(state.attempts - 1);
            self.notify(node, |node, now, port| {
                node.attempt_ended(now, call, attempt, outcome, true, port);
            });
        }
    }

    pub(super) fn client_returns(&mut self, client: ClientIndex) {
        self.clients[client].disconnect();
        self.clients[client].reconnects += 1;
        let delay = 60 + self.random_below(540);
        self.schedule(delay, Event::ClientArrives(client));
    }

    pub(super) fn client_arrives(&mut self, client: ClientIndex) {
        let first_node = usize::from(self.nodes[LOST_NODE].is_none());
        let nodes = (self.nodes.len() - first_node) as u64;
        let node = first_node + self.random_below(nodes) as usize;
        self.last_call += 1;
        let id = CallId(self.last_call);
        let call = Call {
            id,
            class: ClassId(0),
            tenant: TenantId(0),
            subject: Some(SubjectId(client as u64)),
            group: self.clients[client].group,
            deadline: self.now + Span::ms(3_000),
            load: None,
            is_returning: self.clients[client].reconnects > 0,
            is_mid_flow: false,
            prior_attempt: None,
        };
        self.clients[client].request = Some((node, id));
        self.calls[node].insert(id, CallState { client, attempts: 0, host: 0 });
        self.notify(node, |node, now, port| node.call_arrived(now, call, port));
    }

    /// Ends the client's connection; a new client soon arrives at a random node instead.
    pub(super) fn client_leaves(&mut self, client: ClientIndex, expected_reconnects: u32) {
        if self.clients[client].reconnects == expected_reconnects && self.clients[client].is_open {
            self.end_connection(client, AttemptOutcome::Completed);
            self.clients[client].wants_service = false;
            self.add_client(500);
        }
    }
}
