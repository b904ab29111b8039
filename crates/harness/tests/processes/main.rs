//! Plays the scenarios of `scenarios/` against processes of the program; `scenarios/README.md` describes their notation.

mod availability;
mod clients;
mod faults;
mod hosts;
mod links;
mod orders;
mod scripted_calls;
mod status;

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use glendeck_harness::{
    Cluster, ClusterSpec, Execution, GroupedClients, KeyedClientStats, KeyedClients, ScriptedClients,
};
use test_case::test_case;

/// No step takes longer, however busy the machine.
const PATIENCE: Duration = Duration::from_secs(45);

struct Run {
    cluster: Cluster,
    keyed_clients: Option<KeyedClients>,
    scripted_clients: ScriptedClients,
    grouped_clients: Option<GroupedClients>,
    /// How many lost nodes' clients each node had expected.
    expected: Vec<u64>,
    /// Works are to have been done twice: the checker sees it.
    twice: bool,
    asked: Instant,
    orders: u32,
}

fn until(what: &str, patience: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !holds() {
        assert!(Instant::now() < end, "not within {patience:?}: {what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

fn seconds(text: &str) -> Duration {
    Duration::from_secs_f64(text.parse().unwrap())
}

impl Run {
    fn node(&self, name: &str) -> usize {
        let leader = || {
            let end = Instant::now() + PATIENCE;
            loop {
                if let Some(at) = self.cluster.leader() {
                    return at;
                }
                assert!(Instant::now() < end, "nobody leads");
                std::thread::sleep(Duration::from_millis(50));
            }
        };
        match name {
            "leader" => leader(),
            "other" => {
                let leads = leader();
                (0..self.cluster.spec.voters).find(|at| *at != leads).unwrap()
            }
            "member" => self.cluster.spec.nodes - 1,
            name => name[1..].parse().unwrap(),
        }
    }

    /// Plays one line of a scenario.
    fn play(&mut self, words: &[&str]) {
        match words {
            ["pause", long] => std::thread::sleep(seconds(long)),
            ["within", most] => {
                let took = self.asked.elapsed();
                assert!(took <= seconds(most), "took {took:?}");
            }
            ["guard" | "calls" | "works" | "agencies" | "stand" | "worked" | "twice" | "forgiven", ..] => {
                self.play_clients(words);
            }
            ["peopled" | "forgotten" | "marked" | "expect", ..] => self.play_clients_of_lost_nodes(words),
            ["hosts", "do" | "back", ..]
            | ["come" | "deaf" | "hears" | "unread" | "half" | "answered" | "did" | "die", ..] => {
                self.play_scripted_calls(words);
            }
            [
                "order" | "drain" | "activate" | "override" | "dead" | "release" | "halt" | "resume" | "back"
                | "replace" | "until",
                ..,
            ] => self.play_orders(words),
            [
                "serving" | "led" | "settled" | "out" | "in" | "stays" | "none" | "some" | "count" | "most"
                | "versions",
                ..,
            ] => self.play_availability(words),
            ["cut" | "stall" | "slow" | "trickle" | "garble" | "dials" | "reset" | "heal", ..] => {
                self.play_links(words);
            }
            [
                "kill" | "end" | "next" | "ended" | "start" | "stop" | "continue" | "copy" | "older"
                | "nofolder" | "torn" | "flip" | "disk" | "clock",
                ..,
            ] => self.play_faults(words),
            ["keeping" | "notkeeping" | "chair" | "seats" | "doubled" | "unconfirmed", ..] => {
                self.play_status(words);
            }
            ["list" | "host" | "hosts", ..] => self.play_hosts(words),
            other => panic!("unknown line {other:?}"),
        }
    }

    fn end(self) {
        if let Some(keyed_clients) = &self.keyed_clients {
            let ended = keyed_clients.end();
            assert!(ended.lost.is_empty(), "works lost: {:#?}", ended.lost);
            let executions = self.cluster.executions.lock().unwrap();
            let had_effect = |executions: &Vec<Execution>| {
                executions.iter().filter(|executions| executions.had_effect).count()
            };
            let twice: Vec<_> =
                executions.iter().filter(|(_, executions)| had_effect(executions) > 1).collect();
            assert_eq!(!twice.is_empty(), self.twice, "done more than once: {twice:#?}");
            let KeyedClientStats { up, failed, busy, unanswered, up_again, .. } = ended;
            println!(
                "works: up {up} ({up_again} again), released {failed}, busy {busy}, unanswered {unanswered}"
            );
        }
        if let Some(grouped_clients) = &self.grouped_clients {
            grouped_clients.end();
        }
        let stats = self.cluster.clients.end();
        assert!(stats.lost.is_empty(), "lost: {:#?}", stats.lost);
        assert!(
            self.cluster.max_attempts() <= 1 || stats.failed == 0,
            "one call had {} legs",
            self.cluster.max_attempts()
        );
        let badly = self.cluster.failed_exits();
        assert!(badly.is_empty(), "{badly:?}");
        println!(
            "answered {}, busy {}, failed {}, moved {}",
            stats.answered, stats.busy, stats.failed, stats.moved
        );
    }
}

#[test_case("release"; "a release of all nodes under load, a halt and the way back")]
#[test_case("leaders"; "leaders are killed, stopped and cut off while a release goes on")]
#[test_case("nine"; "nine nodes with five voters, faults in the middle of a release")]
#[test_case("killed"; "a leader of three voters is killed and stays away")]
#[test_case("split"; "without a majority nothing new goes out")]
#[test_case("lost_all"; "after the loss of all voters a release stands halted")]
#[test_case("drains"; "drains one at a time, one beyond the limits, and a drained node killed")]
#[test_case("disks"; "disks that stall, fail, fill up or forget")]
#[test_case("hosts"; "hosts are eased off, said to be empty and taken back")]
#[test_case("works"; "work in hand is done once while its nodes are lost")]
#[test_case("unkept"; "without keepers the same is done twice, and seen to be")]
#[test_case("clocks"; "wall clocks that are apart and step change nothing")]
#[test_case("handed"; "keepers hand on what they hold when they end as planned")]
#[test_case("keepers"; "keepers are lost, two, all, and with seven nodes in ten")]
#[test_case("steady"; "whoever has a link dials no other")]
#[test_case("estates"; "what clients come back to is kept by others")]
#[test_case("moments"; "nodes are lost at each moment of a leg")]
#[test_case("takers"; "nodes, takers and hosts are lost together, and old ones wake")]
#[test_case("garbled"; "links that turn bits over")]
#[test_case("links"; "links that are slow, one-way, stalled, flapping or resetting")]
#[test_case("replaced"; "a node that its fleet drained takes clients again after its process was replaced")]
#[test_case("ended_in_flight"; "a call that is out as its node exits is not run twice")]
#[test_case("longer_guard"; "replicas keep the intents of calls that a reload gave more time")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap();
    let mut run: Option<Run> = None;
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["fleet", nodes, rest @ ..] => {
                if let Some(run) = run.take() {
                    run.end();
                }
                let given: HashMap<&str, u32> = rest
                    .iter()
                    .filter_map(|word| word.split_once('='))
                    .map(|(key, value)| (key, value.parse().unwrap()))
                    .collect();
                let of = |key: &str, otherwise: u32| given.get(key).copied().unwrap_or(otherwise);
                let spec = ClusterSpec {
                    nodes: nodes.parse().unwrap(),
                    voters: of("voters", 3) as usize,
                    zones: of("zones", 3) as usize,
                    hosts: of("hosts", 3) as usize,
                    most_out: of("out", 1),
                    stores_intents: of("work", 0) > 0,
                    program: env!("CARGO_BIN_EXE_harness-node").into(),
                    logs: std::env::var_os("RIG_LOGS").map(|logs| PathBuf::from(logs).join(name)),
                };
                let cluster = Cluster::start(spec).unwrap();
                run = Some(Run {
                    scripted_clients: ScriptedClients::new(cluster.clients.nodes(), &cluster.host_script),
                    cluster,
                    keyed_clients: None,
                    grouped_clients: None,
                    expected: vec![],
                    twice: false,
                    asked: Instant::now(),
                    orders: 0,
                });
            }
            words => {
                println!("{name}.txt:{}: {line}", at + 1);
                run.as_mut().expect("a scenario starts with `fleet`").play(words);
            }
        }
    }
    run.expect("a scenario starts a fleet").end();
}
