//! What a node goes on with: under other settings, and from one process of it to the next. No decision on a
//! call is taken here.

use crate::book::{Asking, Further, Host, Sizes};
use crate::domain::*;
use crate::port::Port;
use crate::rules::{ASK, Node, list_spread, weighed};

impl Node {
    /// Whether a host is set aside now; for who wants to see it.
    pub fn avoids(&self, host: HostId) -> bool {
        self.host_no.get(&host).is_some_and(|host| self.hosts[*host].aside.is_some())
    }

    /// Other settings count from now on. Calls in hand keep the deadline and the attempts that they have; hosts
    /// keep what is known of them, their cold budgets and set-asides too. Types keep their numbers: the settings
    /// may name more of them than before, not fewer.
    pub fn update_settings(&mut self, now: Time, settings: Settings, port: &mut dyn Port) {
        self.now = now;
        let (asked, live) = (self.settings.poll_interval.is_some(), self.settings.weights == Weights::Live);
        if settings.retry_budget != self.settings.retry_budget {
            self.further = Further::renewed(&settings, now);
        }
        self.settings = weighed(settings);
        self.loads.of_type.resize(self.settings.traffic.len(), 0.0);
        match self.settings.weights {
            // Danger: what was told of loads would go on to count beside sizes, and never age.
            Weights::Sizes => {
                self.sizes = Sizes::default();
                self.hosts.iter_mut().for_each(|to| (to.told_held, to.fresh) = (None, [0.0; 2]));
            }
            // Danger: without the sizes of before, the first weights that fell with load would be taken for them.
            Weights::Live if !live => self.sizes.know(&self.hosts),
            Weights::Live => {}
        }
        match (asked, self.settings.poll_interval.is_some()) {
            (true, false) => self.asking = Asking::new(false, false, now),
            (false, true) => {
                // Danger: a fleet is told its settings together, and would ask in step.
                let at = now + list_spread(&self.settings).times(self.chance());
                self.asking = Asking::new(true, false, at);
                port.set_timer(at, ASK);
            }
            _ => {}
        }
    }

    fn learn_sizes(&mut self, snapshot: &NodeSnapshot) {
        for (of, size) in snapshot.hosts.iter().filter_map(|of| Some((of, of.nominal?))) {
            if let Some(host) = self.host_no.get(&of.host).copied() {
                let to = &mut self.hosts[host];
                let weight = to.nominal.0 / (1.0 + to.told_held.unwrap_or(0.0));
                to.nominal = Size(to.nominal.0.max(size.0));
                to.told_held = Some(to.nominal.0 / weight.max(1e-6) - 1.0);
            }
        }
        self.sizes.know(&self.hosts);
    }

    /// What the next process has to know to go on from here.
    pub fn snapshot(&self) -> NodeSnapshot {
        let open = self.calls.iter().filter_map(|(_, held)| held.call.subject.zip(held.load));
        let loads = self.remembered.all().chain(open).collect();
        NodeSnapshot {
            hosts: self.hosts.iter().map(Host::snapshot).collect(),
            loads,
            ..self.rates.snapshot(&self.loads)
        }
    }

    /// Danger: a process that begins with nothing takes hosts for empty and known to be well, sends cold ones
    /// a second budget, and holds the clients that the old one sends over for another node's.
    pub fn restore(&mut self, snapshot: &NodeSnapshot) {
        let known = snapshot.hosts.iter().filter_map(|of| Some((*self.host_no.get(&of.host)?, of)));
        known.for_each(|(host, of)| self.hosts[host].restore(of, self.now));
        if self.settings.weights == Weights::Live {
            self.learn_sizes(snapshot);
        }
        snapshot.loads.iter().for_each(|(subject, load)| self.remembered.keep(Some(*subject), Some(*load)));
        self.rates.restore(&mut self.loads, snapshot);
        // Past the time in which means are those of all seconds so far.
        self.seconds = 50;
        self.doubt();
    }

    /// How many connections the process before has at a host now; without a host, at all of them.
    pub fn set_predecessor_connections(&mut self, host: Option<HostId>, n: f64) {
        self.hosts
            .iter_mut()
            .filter(|to| host.is_none_or(|host| host == to.id))
            .for_each(|to| to.predecessor = n);
    }

    /// What its clients come back to, should this node be lost: at most so much of each, of loads what is furthest from
    /// what anybody would expect.
    pub fn warm_state(&self, most: usize) -> WarmState {
        let mut homes: Vec<(GroupId, HostId)> =
            self.groups.homes().map(|(group, host)| (group, self.hosts[host].id)).collect();
        homes.sort_unstable();
        homes.truncate(most);
        let open = self.calls.iter().filter_map(|(_, held)| held.call.subject.zip(held.load));
        // Heavy ones alone (over 1.5 times the mean) were worth as much, but for groups beside them: 0.876 for 0.883.
        let odd = |load: f64| (load / self.loads.mean.max(1e-9) - 1.0).abs();
        let told = self.remembered.all().chain(open).filter(|(_, load)| odd(*load) > 0.1);
        let mut loads: Vec<(SubjectId, f64)> = told.collect();
        loads.sort_unstable_by(|one, other| odd(other.1).total_cmp(&odd(one.1)).then(one.0.cmp(&other.0)));
        loads.truncate(most);
        WarmState { homes, loads }
    }

    /// A node was lost, and its clients come to this one and others.
    pub fn adopt_warm_state(&mut self, now: Time, warm_state: &WarmState) {
        self.now = now;
        for (group, host) in &warm_state.homes {
            if let Some(host) = self.host_no.get(host) {
                self.groups.keep_home(*group, *host, 10);
            }
        }
        warm_state.loads.iter().for_each(|(subject, load)| self.remembered.keep_left(*subject, *load));
    }
}
