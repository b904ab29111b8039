//! Hosts that the fleet drains, as the fleet and the hosts themselves see them.

use std::time::{Duration, Instant};

use crate::{PATIENCE, Run, seconds, until};

impl Run {
    pub(crate) fn play_hosts(&mut self, words: &[&str]) {
        match words {
            ["list", host, status] => self.cluster.discovery.set_status(host, status),
            // What the group says of a host is waited for; what is so, the host itself saw.
            ["host", host, "empty"] => {
                until(&format!("{host} empty"), PATIENCE, || self.hold(host) == "Empty");
                assert_eq!(self.host(host).0, 0, "connections at {host}, which is said to be empty");
            }
            ["host", host, "held", long] => {
                let end = Instant::now() + seconds(long);
                while Instant::now() < end {
                    assert_ne!(self.hold(host), "Empty", "{host} is said to be empty");
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
            ["host", host, "unused", long] => {
                let before = self.host(host);
                std::thread::sleep(seconds(long));
                assert_eq!((before.0, self.host(host)), (0, before), "{host} was used");
            }
            ["host", host, "used"] => {
                let before = self.host(host).1;
                until(&format!("{host} used"), PATIENCE, || self.host(host).1 > before + 3);
            }
            ["host", host, "back"] => until(&format!("{host} back"), PATIENCE, || self.hold(host).is_empty()),
            ["hosts", "known"] => until("hosts known", PATIENCE, || {
                let status = self.cluster.leader().and_then(|at| self.cluster.status(at)).unwrap_or_default();
                status["state"]["hosts"].as_object().is_some_and(|of| of.len() == self.cluster.hosts.len())
            }),
            other => panic!("unknown line {other:?}"),
        }
    }

    /// Connections that a host saw, standing now and ever.
    fn host(&self, name: &str) -> (i64, u64) {
        let host = self.cluster.hosts.iter().find(|host| host.name == name).unwrap();
        (host.open_connections(), host.opened_connections())
    }

    /// How the group holds a host out, by its leader's confirmed word.
    fn hold(&self, host: &str) -> String {
        let status = self.cluster.leader().and_then(|at| self.cluster.status(at));
        let status = status.filter(|status| status["confirmed"] == true);
        status.map_or("?".into(), |status| {
            let draining_hosts = status["emptying"].as_array().cloned().unwrap_or_default();
            let may_stop = draining_hosts.iter().any(|of| of["host"] == host && of["may_stop"] == true);
            let hold = status["state"]["hosts"][host]["held"]["hold"].as_str().unwrap_or_default();
            // What was found is one thing, what is so now another.
            match (hold, may_stop) {
                (_, true) => "Empty".into(),
                ("Empty", false) => "Out".into(),
                (hold, _) => hold.to_owned(),
            }
        })
    }
}
