//! Steps of the clients that come through the front end, and what nodes know of the clients of lost ones.

use std::time::Duration;

use glendeck_harness::{GroupedClients, KeyedClients};

use crate::{PATIENCE, Run, seconds, until};

impl Run {
    pub(crate) fn play_clients(&mut self, words: &[&str]) {
        match words {
            ["guard", guard_ms] => self.cluster.reload_guard_time(guard_ms.parse().unwrap()).unwrap(),
            ["calls", count] => self.cluster.clients.add_clients(count.parse().unwrap(), 1),
            ["works", count] => {
                self.keyed_clients =
                    Some(KeyedClients::start(&self.cluster.clients, count.parse().unwrap(), 7));
            }
            ["agencies", count, groups] => {
                let (count, groups) = (count.parse().unwrap(), groups.parse().unwrap());
                self.grouped_clients = Some(GroupedClients::start(
                    &self.cluster.clients,
                    &self.cluster.groups,
                    count,
                    groups,
                    9,
                ));
                self.all_stand();
            }
            ["stand"] => self.all_stand(),
            // Works that are served go on being so, within so many seconds.
            ["worked", count, "within", most] => {
                let up = || {
                    self.keyed_clients
                        .as_ref()
                        .map_or(0, |keyed_clients| keyed_clients.stats.lock().unwrap().up)
                };
                let until_then = up() + count.parse::<u64>().unwrap();
                until(&format!("{count} works served"), seconds(most), || up() >= until_then);
            }
            ["twice"] => self.twice = true,
            ["forgiven"] => until("no node counts as harmed", PATIENCE, || {
                self.cluster.clear_recovered();
                let frontend = self.cluster.clients.frontend();
                !(0..self.cluster.spec.nodes).any(|node| frontend.is_disrupted(node))
            }),
            other => panic!("unknown line {other:?}"),
        }
    }

    pub(crate) fn play_clients_of_lost_nodes(&mut self, words: &[&str]) {
        match words {
            // Waited for by its own word: nobody else can see what it keeps.
            ["forgotten", units @ ..] => {
                for unit in units {
                    let at = self.node(unit);
                    until(&format!("{unit} keeps nothing"), PATIENCE, || {
                        let status = self.cluster.status(at).unwrap_or_default();
                        status["work"]["records_held"] == 0 && status["work"]["in_hand"] == 0
                    });
                }
            }
            // Without a client there is nothing that could be told of a node.
            ["peopled", units @ ..] => {
                let grouped_clients = self.grouped_clients.as_ref().unwrap();
                for unit in units {
                    let at = self.node(unit);
                    until(&format!("{unit} has clients"), PATIENCE, || grouped_clients.open_at(at) > 0);
                }
                // What a node knows it says once a second.
                std::thread::sleep(Duration::from_secs(2));
            }
            // What each node has heard of lost ones, by its own word.
            ["marked"] => {
                let nodes = 0..self.cluster.spec.nodes;
                self.expected = nodes.map(|at| self.expected(at).unwrap_or_default()).collect();
            }
            ["expect", count, units @ ..] => {
                let count: u64 = count.parse().unwrap();
                for unit in units {
                    let at = self.node(unit);
                    let all = self.expected[at] + count;
                    // Danger: a status waits for the group's word, which takes its time while a leader is missed and
                    // the machine is busy. A verdict tells nobody, so whatever comes is the keepers' word.
                    until(&format!("{unit} expects {count}"), PATIENCE, || {
                        self.expected(at).is_some_and(|now| now >= all)
                    });
                }
            }
            other => panic!("unknown line {other:?}"),
        }
    }

    fn expected(&self, at: usize) -> Option<u64> {
        self.cluster.status(at)?["estates"]["lost_expected"].as_u64()
    }

    fn all_stand(&self) {
        let Some(grouped_clients) = &self.grouped_clients else { return };
        until("all clients stand", PATIENCE, || grouped_clients.open() == grouped_clients.count);
    }
}
