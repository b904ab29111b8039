//! Plays the scenarios of `scenarios/` against the program itself, on loopback, with stand-ins for its peers;
//! `scenarios/README.md` describes their notation.

mod admin;
mod connection;
mod discovery;
mod drawn_orders;
mod front;
mod log_collector;
mod logging;
mod node_config;
mod peers;
mod processes;
mod world;

use std::time::{Duration, Instant};

use discovery::AnswerFault;
use test_case::test_case;
use world::World;

/// No step takes longer, however busy the machine.
const PATIENCE: Duration = Duration::from_secs(10);

/// Scenarios that write calls in other ways than `opens`, which are not counted here.
const UNCOUNTED: [&str; 5] = ["garbage", "rude", "splits", "admin", "crowd_speaks"];

impl World {
    /// Plays one line of a scenario.
    fn play(&mut self, words: &[&str]) {
        match words {
            ["admin", rest @ ..] => self.play_admin(rest),
            ["metrics", expected @ ..] => self.expect_metrics(expected),
            ["pong"] => self.await_pong(),
            ["unready"] => self.expect_unready(),
            ["clients", count, verb, rest @ ..] => self.play_clients(count, verb, rest),
            ["crowd", count, step @ ..] => self.play_crowd(count, step),
            ["attempt", name, "at", host, expected @ ..] => self.expect_attempt(name, host, expected),
            ["flood", name, kib] => self.flood(name, kib),
            [side @ ("client" | "host"), name, rest @ ..] => self.play_peer(side, name, rest),
            ["list" | "discovery", ..] => self.play_discovery(words),
            ["reload", rest @ ..] => self.play_reload(rest),
            ["within" | "after" | "until" | "pause", ..] => self.play_time(words),
            words => self.play_process(words),
        }
    }

    fn play_discovery(&mut self, words: &[&str]) {
        match words {
            ["list", "within", seconds] => self.expect_elapsed_at_most(seconds),
            ["list", name, "weighs", weight] => {
                let weight: f64 = weight.parse().unwrap();
                self.discovery.change_entry(name, |entry| entry["weight"] = weight.into());
            }
            ["list", name, status] => {
                self.discovery.change_entry(name, |entry| entry["status"] = (*status).into());
            }
            ["discovery", "anew"] => self.discovery.restart_versions(),
            ["discovery", "watches", fault] => {
                self.discovery.update(|registry| {
                    registry.watch_round += 1;
                    registry.watch_fault = Some(AnswerFault::parse(fault));
                });
                self.restart_timer();
            }
            ["discovery", "lines", count] => {
                assert_eq!(self.discovery.connection_count(), count.parse::<u32>().unwrap());
            }
            ["discovery", "spoils", faults @ ..] => {
                let faults = faults.iter().rev().map(|name| AnswerFault::parse(name)).collect();
                self.discovery.update(|registry| registry.faults = faults);
            }
            ["discovery", "up"] => {
                self.discovery.update(|registry| registry.is_down = false);
                self.restart_timer();
            }
            ["discovery", "down"] => self.discovery.update(|registry| registry.is_down = true),
            other => panic!("unknown step of the list {other:?}"),
        }
    }

    fn play_time(&mut self, words: &[&str]) {
        match words {
            ["within", seconds] => self.expect_elapsed_at_most(seconds),
            ["after", seconds] => {
                assert!(self.timer_start.elapsed().as_secs_f64() >= seconds.parse().unwrap())
            }
            ["until", seconds] => {
                let end = self.timer_start + Duration::from_secs_f64(seconds.parse().unwrap());
                std::thread::sleep(end.saturating_duration_since(Instant::now()));
            }
            ["pause", seconds] => std::thread::sleep(Duration::from_secs_f64(seconds.parse().unwrap())),
            other => panic!("unknown step {other:?}"),
        }
    }

    fn expect_elapsed_at_most(&self, seconds: &str) {
        let elapsed = self.timer_start.elapsed().as_secs_f64();
        assert!(elapsed <= seconds.parse().unwrap(), "took {elapsed} s, not {seconds}");
    }
}

#[test_case("serves"; "a call is set up, its lines pass unchanged and its end is passed on")]
#[test_case("splits"; "lines may come in any pieces")]
#[test_case("again"; "an attempt that fails is followed by one elsewhere")]
#[test_case("once_only"; "a non-idempotent call that may have run is not sent again")]
#[test_case("unready"; "the front hears PONG once a host is known")]
#[test_case("returning"; "a connection from before goes to its host")]
#[test_case("silent"; "a client of a host that says nothing is sent away")]
#[test_case("leaving_host"; "clients of a leaving host are sent away before it goes")]
#[test_case("given_up"; "the attempt of a client that leaves early ends with it")]
#[test_case("garbage"; "garbage ends its connection only")]
#[test_case("pressure"; "a host that does not read is not flooded, and nothing is lost")]
#[test_case("crowded"; "near the limit of descriptors clients are told to come back")]
#[test_case("restart"; "told to end, it sends all clients away and exits")]
#[test_case("rude"; "who says nothing, half a line or another's id is turned away and disturbs nobody")]
#[test_case("switch"; "settings change in a running node, there and back, and no call is lost or sent twice")]
#[test_case("switch_upgrade"; "a process whose settings changed hands over by name")]
#[test_case("reload"; "a new configuration is followed under load, a bad one is not")]
#[test_case("admin"; "the admin interface answers whatever is sent to it, and its metrics hold")]
#[test_case("drain"; "a drained node migrates its clients, stays, and serves again")]
#[test_case("upgrade"; "the next process takes over and no connection is refused")]
#[test_case("upgrade_alone"; "without a folder for it the next process listens beside the old one")]
#[test_case("upgrade_undone"; "a next process that dies leaves the clients to the old one")]
#[test_case("upgrade_ended"; "a next process that is told to end early takes no clients along")]
#[test_case("upgrade_crowd"; "a crowd and slow callers keep nobody from taking over")]
#[test_case("upgrade_drained"; "a drain holds across a replacement")]
#[test_case("discovery"; "a node goes on without the list's service")]
#[test_case("gone"; "for a client that has gone no attempt begins, wherever its end was met")]
#[test_case("gone_between"; "a client that goes as its attempt fails has no retry")]
#[test_case("spoke_on"; "a client that speaks as its attempt fails has an answer and no retry")]
#[test_case("gone_late"; "a connection that comes up after its client has gone carries nothing")]
#[test_case("late_drain"; "a connection that comes up after its host began to drain carries nothing")]
#[test_case("left_queue"; "whoever was in the queue when a leaving node stops accepting has an answer")]
#[test_case("crowd_speaks"; "an idle client whose line lies unread is not closed to make room")]
#[test_case("queued"; "the time that a client waited to be accepted counts")]
#[test_case("queued_over"; "once the accept queue was empty nobody counts as having waited in it")]
#[test_case("list_age"; "whatever befalls the list, a change is known within six seconds")]
#[test_case("list_crowd"; "idle clients that fill the descriptors do not keep the node from asking for the list")]
#[test_case("pushed"; "what the node's agent has counts from its first moment")]
#[test_case("slow_list"; "a list request that waits in its queue for long is not repeated")]
#[test_case("silent_list"; "a list request that is never answered is repeated before hosts drain")]
#[test_case("upgrade_drain"; "a drain ordered while the process is replaced holds for both processes")]
#[test_case("upgrade_drain_early"; "a drain ordered as the process is being replaced is not lost")]
#[test_case("drain_ended"; "a drained node that is told to end keeps to the time of its drain")]
#[test_case("upgrade_chain"; "a process that leaves passes on what its predecessor hands over")]
#[test_case("upgrade_undone_twice"; "two next processes die, and the first has the clients again")]
#[test_case("shorter_guard"; "a node whose guard times were shortened by a reload leaves within them")]
#[test_case("reload_and_term"; "settings that a reload brought count for an end that is ordered right after it")]
#[test_case("upgrade_class_gone"; "clients whose class the next process does not know are sent away")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap();
    let mut world: Option<World> = None;
    for (index, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            ["node", options @ ..] => {
                drop(world.take());
                world = Some(World::start(options));
            }
            words => {
                println!("{name}.txt:{}: {line}", index + 1);
                world.as_mut().expect("a scenario starts with `node`").play(words);
            }
        }
    }
    if !UNCOUNTED.contains(&name) {
        world.expect("a scenario starts a node").check_metrics();
    }
}
