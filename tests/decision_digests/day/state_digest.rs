//! Digests of what a node tells of its state.

use glendeck::domain::*;

use super::Day;

impl Day {
    pub(super) fn digest_state(&mut self) {
        let snapshot = self.node.snapshot();
        self.digest_snapshot(&snapshot);
        let avoided: Vec<u64> = self
            .hosts
            .iter()
            .map(|(endpoint, _)| endpoint.host)
            .filter(|host| self.node.is_ejected(*host))
            .map(|host| host.0)
            .collect();
        avoided.iter().for_each(|host| self.recorder.digest.add(*host));
    }

    pub(super) fn digest_snapshot(&mut self, snapshot: &NodeSnapshot) {
        let digest = &mut self.recorder.digest;
        for host in &snapshot.hosts {
            digest.add(host.host.0);
            for number in [host.open, host.smoothed, host.strain, host.budget, host.held, host.answers] {
                digest.add_float(number);
            }
            digest.add_float(host.limit.unwrap_or(-1.0));
            digest.add_float(host.nominal.map_or(-1.0, |size| size.0));
            digest.add(u64::from(host.aside));
        }
        let mut loads = snapshot.loads.clone();
        loads.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        for (subject, load) in loads {
            digest.add(subject.0);
            digest.add_float(load);
        }
        let rates = [
            snapshot.mean_load,
            snapshot.arrival,
            snapshot.held,
            snapshot.usual_conns,
            snapshot.size,
            snapshot.usual_size,
            snapshot.setup,
        ];
        rates.iter().chain(&snapshot.of_type).for_each(|number| digest.add_float(*number));
    }

    pub(super) fn digest_warm_state(&mut self, warm_state: &WarmState) {
        let digest = &mut self.recorder.digest;
        for (group, host) in &warm_state.homes {
            digest.add(group.0);
            digest.add(host.0);
        }
        for (subject, load) in &warm_state.loads {
            digest.add(subject.0);
            digest.add_float(*load);
        }
    }
}
