//! What nodes say of themselves.

use std::time::Duration;

use crate::{PATIENCE, Run, until};

impl Run {
    pub(crate) fn play_status(&mut self, words: &[&str]) {
        match words {
            // What a node says of its own keeping: used to see that it was handed on, never to judge what was done.
            [what @ ("keeping" | "notkeeping"), unit] => {
                let (at, want) = (self.node(unit), *what == "keeping");
                let remembers = || self.cluster.status(at).map(|status| status["work"]["remembers"] == want);
                until(&format!("{unit} {what}"), Duration::from_secs(3), || remembers() == Some(true));
            }
            ["chair", unit, voter_status] => {
                let at = self.node(unit);
                until(&format!("{unit} {voter_status}"), PATIENCE, || {
                    self.cluster
                        .status(at)
                        .is_some_and(|of| of["chair"].as_str().unwrap_or("").starts_with(voter_status))
                });
            }
            ["seats", unit] => {
                let name = format!("n{}", self.node(unit));
                until(&format!("{unit} has a seat"), PATIENCE, || {
                    let status =
                        self.cluster.leader().and_then(|at| self.cluster.status(at)).unwrap_or_default();
                    let voter_slots = status["state"]["seats"].as_array().cloned().unwrap_or_default();
                    voter_slots.iter().any(|voter_slot| voter_slot["name"] == name.as_str())
                });
            }
            ["doubled", unit] => {
                let name = format!("n{}", self.node(unit));
                until(&format!("{unit} doubled"), PATIENCE, || {
                    let status =
                        self.cluster.leader().and_then(|at| self.cluster.status(at)).unwrap_or_default();
                    status["doubled"].as_array().is_some_and(|of| of.iter().any(|of| *of == name.as_str()))
                });
            }
            ["unconfirmed", unit] => {
                let status = self.cluster.status(self.node(unit)).unwrap();
                assert_eq!(status["confirmed"], false, "{status}");
            }
            other => panic!("unknown line {other:?}"),
        }
    }
}
