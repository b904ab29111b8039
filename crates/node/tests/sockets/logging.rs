//! A log that cannot be written neither delays nor ends the node.

use std::time::{Duration, Instant};

use test_case::test_case;

use crate::peers::serve_host;
use crate::processes::EXIT_LIMIT;
use crate::world::World;

/// More calls than fill the pipe and the queue with their lines at level `debug`.
const CALLS: u32 = 1_500;

/// The longest deadline of the settings.
const GUARD_TIME: Duration = Duration::from_millis(1_500);

fn start_node(log: &[&str]) -> World {
    let mut world = World::start(&[&["hosts=a", "guard=1500", "load=ignored"], log].concat());
    let host = world.hosts.remove("a").unwrap();
    std::thread::spawn(move || serve_host(&host));
    world.await_pong();
    world
}

fn open_client(world: &mut World, name: &str) {
    world.play_peer("client", name, &["opens", "c=chat,d=1500"]);
    assert_eq!(world.connection("client", name).receive(), format!("UP {name}"));
    assert!(world.timer_start.elapsed() < GUARD_TIME, "the answer is late");
}

/// So many calls come, are answered and end.
fn open_and_close_clients(world: &mut World, count: u32) {
    for number in 1_000..1_000 + count {
        let name = number.to_string();
        open_client(world, &name);
        world.clients.remove(&name);
    }
}

/// Told to end, the node moves these clients and exits in time.
fn expect_orderly_end(world: &mut World, clients: &[&str]) {
    world.play_process(&["term"]);
    for name in clients {
        assert_eq!(world.connection("client", name).receive(), "MOVE");
        assert_eq!(world.connection("client", name).receive(), "end");
    }
    assert!(world.await_exit().success());
    let elapsed = world.timer_start.elapsed();
    assert!(elapsed < EXIT_LIMIT, "took {elapsed:?}");
}

fn lost_lines(world: &World) -> u64 {
    world.metrics()["log_lines_lost"].as_u64().unwrap()
}

/// The next line that was logged ended the process, with all its connections.
#[test_case("log=info", "stderr=pipe"; "collector gone at info")]
#[test_case("log=trace", "stderr=pipe"; "collector gone at trace")]
#[test_case("log=info", "stderr=full"; "disk full at info")]
#[test_case("log=trace", "stderr=full"; "disk full at trace")]
fn a_log_that_cannot_be_written_ends_neither_node_nor_connection(level: &str, output: &str) {
    let mut world = start_node(&[level, output]);
    open_client(&mut world, "1");
    world.collector = None;
    open_client(&mut world, "2");
    world.reload(&world.config);
    open_client(&mut world, "3");
    let start = Instant::now();
    while lost_lines(&world) == 0 {
        assert!(start.elapsed() < GUARD_TIME, "lost lines are not counted");
    }
    expect_orderly_end(&mut world, &["1", "2", "3"]);
}

/// Once the pipe was full, the whole node stood still.
#[test_case("log=debug")]
#[test_case("log=trace")]
fn a_log_collector_that_stands_still_delays_neither_calls_nor_the_end(level: &str) {
    let mut world = start_node(&[level, "stderr=pipe"]);
    open_client(&mut world, "1");
    open_and_close_clients(&mut world, CALLS);
    assert_ne!(lost_lines(&world), 0);
    expect_orderly_end(&mut world, &["1"]);
}

#[test]
fn a_log_tells_how_many_lines_were_lost_and_has_the_last_ones() {
    let mut world = start_node(&["log=debug", "stderr=pipe"]);
    open_client(&mut world, "1");
    open_and_close_clients(&mut world, CALLS);
    // The node may log, and lose, more lines until the collector reads.
    let lost_before = lost_lines(&world);
    let mut collector = world.collector.take().unwrap();
    let line = collector.await_line("log lines were lost");
    let told: u64 = line.rsplit_once("lines=").unwrap().1.parse().unwrap();
    assert!((lost_before..=lost_lines(&world)).contains(&told), "{line}, {lost_before} before");
    let reader = std::thread::spawn(move || collector.await_line("shutdown complete"));
    expect_orderly_end(&mut world, &["1"]);
    reader.join().unwrap();
}
