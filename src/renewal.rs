//! What a node goes on with: what one process of it leaves to the next. No decision is taken here.

use crate::book::Host;
use crate::domain::*;
use crate::rules::Node;

impl Node {
    /// Whether a host is set aside now; for who wants to see it.
    pub fn avoids(&self, host: HostId) -> bool {
        self.host_no.get(&host).is_some_and(|host| self.hosts[*host].aside.is_some())
    }

    /// What the next process has to know to go on from here.
    pub fn legacy(&self) -> Legacy {
        let open = self.calls.iter().filter_map(|(_, held)| held.call.subject.zip(held.load));
        let loads = self.remembered.all().chain(open).collect();
        Legacy {
            hosts: self.hosts.iter().map(Host::legacy).collect(),
            loads,
            ..self.rates.legacy(&self.loads)
        }
    }

    /// Danger: a process that begins with nothing takes hosts for empty and known to be well, sends cold ones
    /// a second budget, and holds the clients that the old one sends over for another node's.
    pub fn inherit(&mut self, legacy: &Legacy) {
        let known = legacy.hosts.iter().filter_map(|of| Some((*self.host_no.get(&of.host)?, of)));
        known.for_each(|(host, of)| self.hosts[host].inherit(of, self.now));
        legacy.loads.iter().for_each(|(subject, load)| self.remembered.keep(Some(*subject), Some(*load)));
        self.rates.inherit(&mut self.loads, legacy);
        // Past the time in which means are those of all seconds so far.
        self.seconds = 50;
        self.doubt();
    }

    /// How many connections the process before has at a host now; without a host, at all of them.
    pub fn elder_at(&mut self, host: Option<HostId>, n: f64) {
        self.hosts.iter_mut().filter(|to| host.is_none_or(|host| host == to.id)).for_each(|to| to.elder = n);
    }
}
