//! Steps of single calls whose hosts do as the scenario says.

use glendeck_harness::{ClientAnswer, HostBehaviour, class_of};

use crate::{PATIENCE, Run, until};

impl Run {
    pub(crate) fn play_scripted_calls(&mut self, words: &[&str]) {
        match words {
            ["hosts", "do", name, kind, execute] => {
                let behaviour = match *execute {
                    "soon" => HostBehaviour::AnswerAtOnce,
                    "held" => HostBehaviour::HoldAnswer,
                    "half" => HostBehaviour::ReceiveHalf,
                    other => panic!("hosts cannot do {other:?}"),
                };
                self.scripted_clients.set_behaviour(name, *kind == class_of(true), behaviour);
            }
            ["come", name, units @ ..] => {
                for unit in units {
                    let at = self.node(unit);
                    self.scripted_clients.send(name, at);
                }
            }
            ["deaf", name] => self.scripted_clients.set_ignores_answers(name, true),
            ["hears", name] => self.scripted_clients.set_ignores_answers(name, false),
            ["unread", name] => {
                until("an answer came", PATIENCE, || self.scripted_clients.has_unread_answer(name))
            }
            ["half", name] => {
                until("half a line came", PATIENCE, || self.scripted_clients.partial_lines(name) > 0)
            }
            ["answered", name, expected @ ..] => self.expect_answers(name, expected),
            // So often hosts did it; of those, so often it was anything new.
            ["did", name, times, "anew", had_effect] => {
                let (times, had_effect): (usize, usize) =
                    (times.parse().unwrap(), had_effect.parse().unwrap());
                let work = self.scripted_clients.execution_key(name);
                let executions =
                    || self.cluster.executions.lock().unwrap().get(&work).cloned().unwrap_or_default();
                until(&format!("{name} done {times} times"), PATIENCE, || executions().len() >= times);
                let stats = (
                    executions().len(),
                    executions().iter().filter(|executions| executions.had_effect).count(),
                );
                assert_eq!(stats, (times, had_effect), "{:#?}", executions());
            }
            ["die", "where", name, "was", "done"] => {
                let work = self.scripted_clients.execution_key(name);
                let executions = self.cluster.executions.lock().unwrap();
                let executions = executions[&work].first().unwrap();
                self.cluster.hosts.iter().find(|host| host.name == executions.host).unwrap().set_dead(true);
            }
            ["hosts", "back"] => self.cluster.hosts.iter().for_each(|host| host.set_dead(false)),
            other => panic!("unknown line {other:?}"),
        }
    }

    /// What clients were answered the last times they sent the call, one each, in any order.
    fn expect_answers(&self, name: &str, expected: &[&str]) {
        let mut answers = None;
        until(&format!("{name} is over"), PATIENCE, || {
            answers = self.scripted_clients.answers(name, expected.len());
            answers.is_some()
        });
        let mut left = answers.unwrap();
        for alternatives in expected {
            let matches =
                |answer: &ClientAnswer| alternatives.split('|').any(|word| answer.to_string() == word);
            let at = left.iter().position(matches);
            left.remove(at.unwrap_or_else(|| panic!("{name}: {left:?}, not {expected:?}")));
        }
    }
}
