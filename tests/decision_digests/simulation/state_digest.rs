//! Digests of the state that a node exposes.

use glendeck::domain::{NodeSnapshot, WarmState};

use super::Simulation;

impl Simulation {
    pub(super) fn digest_state(&mut self) {
        let snapshot = self.node.snapshot();
        self.digest_snapshot(&snapshot);
        let ejected: Vec<u64> = self
            .hosts
            .iter()
            .map(|(endpoint, _)| endpoint.host)
            .filter(|host| self.node.is_ejected(*host))
            .map(|host| host.0)
            .collect();
        ejected.iter().for_each(|host| self.recorder.digest.add(*host));
    }

    pub(super) fn digest_snapshot(&mut self, snapshot: &NodeSnapshot) {
        let digest = &mut self.recorder.digest;
        for host in &snapshot.hosts {
            digest.add(host.host.0);
            for number in [
                host.connections,
                host.smoothed_load,
                host.overload_penalty,
                host.slow_start_budget,
                host.remote_load,
                host.usual_probe_time,
            ] {
                digest.add_float(number);
            }
            digest.add_float(host.load_limit.unwrap_or(-1.0));
            digest.add_float(host.size.map_or(-1.0, |size| size.0));
            digest.add(u64::from(host.is_ejected));
        }
        let mut loads = snapshot.loads.clone();
        loads.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        for (subject, load) in loads {
            digest.add(subject.0);
            digest.add_float(load);
        }
        let rates = [
            snapshot.mean_load,
            snapshot.new_client_rate,
            snapshot.connections_per_size,
            snapshot.usual_connections,
            snapshot.ready_size,
            snapshot.usual_ready_size,
            snapshot.setup_time,
        ];
        rates.iter().chain(&snapshot.mean_load_by_class).for_each(|number| digest.add_float(*number));
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
