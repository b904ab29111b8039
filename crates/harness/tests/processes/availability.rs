//! Which nodes take clients, as the front end and the fleet see it.

use std::time::{Duration, Instant};

use crate::{PATIENCE, Run, seconds, until};

impl Run {
    pub(crate) fn play_availability(&mut self, words: &[&str]) {
        match words {
            ["serving"] => {
                until("all serve", PATIENCE, || {
                    (0..self.cluster.spec.nodes).all(|at| self.accepts_clients(at))
                });
                self.cluster.clear_recovered();
                self.cluster.clients.reset_most_out();
            }
            ["led"] => drop(self.node("leader")),
            ["settled"] => until("all are seen to serve", PATIENCE, || {
                let status = self.cluster.leader().and_then(|at| self.cluster.status(at)).unwrap_or_default();
                let units = status["state"]["units"].as_object().cloned().unwrap_or_default();
                units.len() == self.cluster.spec.nodes
                    && units.values().all(|unit| unit["lost"] == false && unit["standing"] == "Serving")
            }),
            ["out", unit] => {
                let at = self.node(unit);
                until(&format!("{unit} out"), PATIENCE, || !self.accepts_clients(at));
            }
            ["in", unit] => {
                let at = self.node(unit);
                until(&format!("{unit} in"), PATIENCE, || self.accepts_clients(at));
            }
            ["stays", "out", unit, long] => {
                let (at, end) = (self.node(unit), Instant::now() + seconds(long));
                while Instant::now() < end {
                    assert!(!self.accepts_clients(at), "{unit} takes clients");
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
            ["none", "out", long] => self.expect_none_out(long),
            ["some", "out"] => until("some node out", PATIENCE, || {
                (0..self.cluster.spec.nodes).any(|at| !self.accepts_clients(at))
            }),
            ["count"] => self.cluster.clients.reset_most_out(),
            ["most", "out", most] => {
                let out = self.cluster.clients.stats().most_out;
                assert!(out <= most.parse().unwrap(), "{out} were out at once");
            }
            ["versions", version, rest @ ..] => {
                let now = self.cluster.versions();
                let of: Vec<usize> = match rest {
                    [] => (0..now.len()).collect(),
                    units => units.iter().map(|unit| self.node(unit)).collect(),
                };
                assert!(of.iter().all(|at| now[*at] == *version), "{now:?}");
            }
            other => panic!("unknown line {other:?}"),
        }
    }

    fn accepts_clients(&self, at: usize) -> bool {
        self.cluster
            .clients
            .frontend()
            .availability(at)
            .is_some_and(|availability| availability.accepts_clients)
    }

    /// No node goes out for so long, but for those that the harness has harmed.
    fn expect_none_out(&self, long: &str) {
        let began = Instant::now();
        std::thread::sleep(seconds(long));
        for at in 0..self.cluster.spec.nodes {
            let frontend = self.cluster.clients.frontend();
            let gone = frontend.availability(at).filter(|availability| !availability.accepts_clients);
            let disrupted = frontend.is_disrupted(at);
            assert!(
                disrupted || gone.is_none_or(|availability| availability.since < began),
                "n{at} went out"
            );
        }
    }
}
