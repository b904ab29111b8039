//! Plays the scenarios of `scenarios/` against processes of the program; `scenarios/README.md` describes their notation.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use glendeck_harness::{
    AdminReply, ClientAnswer, Cluster, ClusterSpec, Execution, GroupedClients, HostBehaviour,
    KeyedClientStats, KeyedClients, LinkFault, ScriptedClients, class_of,
};
use rustix::process::Signal;
use serde_json::{Value, json};
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

    fn order(&mut self, path: &str, mut body: Value, words: &[&str]) {
        let status: u16 = words[0].parse().unwrap();
        let at = words.iter().position(|word| *word == "at").map(|at| self.node(words[at + 1]));
        self.orders += 1;
        body["id"] = format!("order {}", self.orders).into();
        let end = Instant::now() + Duration::from_secs(12);
        loop {
            let at = at.unwrap_or_else(|| self.node("leader"));
            let began = Instant::now();
            let reply = self.cluster.call(at, "POST", path, &body);
            let took = began.elapsed();
            assert!(took < Duration::from_millis(1_500), "the door took {took:?}");
            match reply {
                Ok(reply) if reply.status == status => break,
                // Not decided in time: asked again with the same id, as operators do.
                Ok(AdminReply { status: 503, .. }) | Err(_) if status != 503 && Instant::now() < end => {}
                other => panic!("{path} at n{at}: {other:?}, not {status}"),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.asked = Instant::now();
    }

    fn expected(&self, at: usize) -> Option<u64> {
        self.cluster.status(at)?["estates"]["lost_expected"].as_u64()
    }

    fn all_stand(&self) {
        let Some(grouped_clients) = &self.grouped_clients else { return };
        until("all clients stand", PATIENCE, || grouped_clients.open() == grouped_clients.count);
    }

    fn release_state(&self) -> Option<(u64, String)> {
        let status = self.cluster.status(self.cluster.leader()?)?;
        let release = &status["state"]["release"];
        let release_state = &release["course"];
        let name = release_state.as_str().map_or_else(|| "Halted".to_owned(), str::to_owned);
        Some((release["number"].as_u64()?, name))
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

    fn accepts_clients(&self, at: usize) -> bool {
        self.cluster
            .clients
            .frontend()
            .availability(at)
            .is_some_and(|availability| availability.accepts_clients)
    }

    fn link(&self, fault: LinkFault, words: &[&str]) {
        match words {
            [one] if one.contains('>') => {
                let (from, to) = one.split_once('>').unwrap();
                self.cluster.links.set(self.node(from), self.node(to), fault);
            }
            [one] => self.cluster.set_all_links(self.node(one), fault),
            [one, other] => {
                let (one, other) = (self.node(one), self.node(other));
                self.cluster.links.set(one, other, fault);
                self.cluster.links.set(other, one, fault);
            }
            other => panic!("which link is {other:?}"),
        }
    }

    fn file(&self, at: usize) -> PathBuf {
        self.cluster.store(at).join("fleet.redb")
    }

    #[expect(clippy::too_many_lines, reason = "one arm a statement of the notation")]
    fn play(&mut self, words: &[&str]) {
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
            // What clients were answered the last times they sent the call, one each, in any order.
            ["answered", name, expected @ ..] => {
                let mut answers = None;
                until(&format!("{name} is over"), PATIENCE, || {
                    answers = self.scripted_clients.answers(name, expected.len());
                    answers.is_some()
                });
                let mut left = answers.unwrap();
                for alternatives in expected {
                    let matches = |answer: &ClientAnswer| {
                        alternatives.split('|').any(|word| answer.to_string() == word)
                    };
                    let at = left.iter().position(matches);
                    left.remove(at.unwrap_or_else(|| panic!("{name}: {left:?}, not {expected:?}")));
                }
            }
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
            ["stand"] => self.all_stand(),
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
            ["serving"] => {
                until("all serve", PATIENCE, || {
                    (0..self.cluster.spec.nodes).all(|at| self.accepts_clients(at))
                });
                self.cluster.clear_recovered();
                self.cluster.clients.reset_most_out();
            }
            ["led"] => drop(self.node("leader")),
            ["order", path, rest @ ..] => self.order(path, json!({}), rest),
            [what @ ("drain" | "activate" | "override" | "dead"), unit, rest @ ..] => {
                let unit =
                    if unit.starts_with('h') { (*unit).into() } else { format!("n{}", self.node(unit)) };
                // A unit that was just founded, or whose leader is new, is not known to serve yet.
                let body = json!({"unit": unit, "reason": "a scenario"});
                self.order(&format!("/v1/fleet/{what}"), body, rest);
            }
            ["settled"] => until("all are seen to serve", PATIENCE, || {
                let status = self.cluster.leader().and_then(|at| self.cluster.status(at)).unwrap_or_default();
                let units = status["state"]["units"].as_object().cloned().unwrap_or_default();
                units.len() == self.cluster.spec.nodes
                    && units.values().all(|unit| unit["lost"] == false && unit["standing"] == "Serving")
            }),
            ["release", version, status, rest @ ..] => {
                let given: HashMap<&str, &str> =
                    rest.iter().filter_map(|word| word.split_once('=')).collect();
                let units: Vec<&str> = given.get("units").map_or(vec![], |units| units.split(',').collect());
                let plan = json!({
                    "version": version, "units": units, "waves": [1, "100%"],
                    "watch_s": given.get("watch").map_or(3, |s| s.parse().unwrap()), "unit_limit_s": 40,
                    "act": given.get("act").unwrap_or(&"exit"), "on_halt": given.get("halt").unwrap_or(&"hold"),
                    "gates": {"most_lost": given.get("lost").map_or(0, |n| n.parse().unwrap()),
                              "failures_per_thousand": 300, "busy_per_thousand": 1000},
                });
                let mut at = vec![*status];
                at.extend(rest.iter().skip_while(|word| **word != "at"));
                self.order("/v1/fleet/release/start", json!({"plan": plan}), &at);
            }
            [what @ ("halt" | "resume" | "back"), rest @ ..] => {
                self.order(&format!("/v1/fleet/release/{what}"), json!({}), rest);
            }
            ["replace", old, new, rest @ ..] => {
                let body =
                    json!({"old": format!("n{}", self.node(old)), "new": format!("n{}", self.node(new))});
                self.order("/v1/fleet/replace", body, rest);
            }
            ["until", release_state, rest @ ..] => {
                let patience = if let ["within", most] = rest { seconds(most) } else { PATIENCE * 3 };
                let want = release_state.to_lowercase();
                let end = Instant::now() + patience;
                loop {
                    self.cluster.clear_recovered();
                    let now = self.release_state();
                    if now.as_ref().is_some_and(|(_, now)| now.to_lowercase() == want) {
                        break;
                    }
                    if Instant::now() > end {
                        let status = self.cluster.leader().and_then(|at| self.cluster.status(at));
                        panic!("not {release_state} within {patience:?}: {now:?}, {status:#?}");
                    }
                    std::thread::sleep(Duration::from_millis(30));
                }
            }
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
            ["none", "out", long] => {
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
            ["cut", rest @ ..] => self.link(LinkFault::Cut, rest),
            ["stall", rest @ ..] => self.link(LinkFault::Stalled, rest),
            ["slow", rest @ ..] => self.link(LinkFault::Slow, rest),
            ["trickle", rest @ ..] => self.link(LinkFault::Trickle, rest),
            ["garble", rest @ ..] => self.link(LinkFault::Garbled, rest),
            // Whoever has a link dials no other.
            ["dials", most, long] => {
                let before = self.cluster.links.dials();
                std::thread::sleep(seconds(long));
                let dials = self.cluster.links.dials() - before;
                assert!(dials <= most.parse().unwrap(), "{dials} dials in {long} s");
            }
            ["reset", one] => {
                let at = self.node(one);
                for other in (0..self.cluster.spec.nodes).filter(|other| *other != at) {
                    self.cluster.links.reset(at, other);
                    self.cluster.links.reset(other, at);
                }
            }
            ["heal"] => self.cluster.links.heal(),
            ["kill", unit] => {
                self.cluster.kill(self.node(unit));
                self.asked = Instant::now();
            }
            ["kill", "all", "voters"] => (0..self.cluster.spec.voters).for_each(|at| self.cluster.kill(at)),
            ["start", "all"] => {
                (0..self.cluster.spec.nodes).for_each(|at| self.cluster.start_node(at).unwrap())
            }
            ["start", unit] => self.cluster.start_node(self.node(unit)).unwrap(),
            ["stop", unit] => {
                self.cluster.signal(self.node(unit), Signal::STOP);
                self.asked = Instant::now();
            }
            ["continue", unit] => self.cluster.signal(self.node(unit), Signal::CONT),
            ["copy", unit] => {
                let file = self.file(self.node(unit));
                std::fs::copy(&file, file.with_extension("copy")).unwrap();
            }
            ["older", unit] => {
                let file = self.file(self.node(unit));
                std::fs::copy(file.with_extension("copy"), &file).unwrap();
            }
            ["nofolder", unit] => {
                let store = self.cluster.store(self.node(unit));
                std::fs::remove_dir_all(&store).unwrap();
                std::fs::create_dir_all(&store).unwrap();
            }
            ["torn", unit] => {
                let file = self.file(self.node(unit));
                let bytes = std::fs::read(&file).unwrap();
                std::fs::write(&file, &bytes[..bytes.len() / 2]).unwrap();
            }
            ["flip", unit] => flip(&self.file(self.node(unit))),
            ["disk", unit, execute] => {
                let execute = if *execute == "well" { "" } else { execute };
                self.cluster.set_disk_fault(self.node(unit), execute).unwrap();
            }
            ["clock", unit, ahead] => self.cluster.set_clock(self.node(unit), ahead.parse().unwrap()),
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
            ["pause", long] => std::thread::sleep(seconds(long)),
            ["within", most] => {
                let took = self.asked.elapsed();
                assert!(took <= seconds(most), "took {took:?}");
            }
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

/// One bit of each KiB: wherever the log is, it is hit.
fn flip(file: &Path) {
    let mut bytes = std::fs::read(file).unwrap();
    for at in (100..bytes.len()).step_by(1_024) {
        bytes[at] ^= 4;
    }
    std::fs::write(file, bytes).unwrap();
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
