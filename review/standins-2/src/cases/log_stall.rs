//! The process that reads the node's log stands still for some 40 s; clients go on coming, eight a second.

use std::io;
use std::thread;
use std::time::Duration;

use super::World;
use crate::Verdict;
use crate::client::{Client, State};
use crate::config::Class;
use crate::node::{Node, free_address, until_ready};
use crate::record::Record;

const GUARD_MS: u64 = 3_200;
const CLIENTS: u64 = 300;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::create(record, 3)?;
    world.config(&[Class::repeatable("slot-feed", 800, GUARD_MS)]).write(&world.config_path())?;
    let door = free_address()?;
    let (_node, collector) = Node::start_with_collector(
        "debug",
        record,
        &world.root,
        "n0",
        &world.config_path(),
        &world.folder.0,
        door,
    )?;
    if !until_ready(door, Duration::from_secs(10)) {
        return Err(io::Error::other("the node is not ready"));
    }
    world.open_clients(record, "slot-feed", 1, 5, GUARD_MS)?;
    if has_trouble {
        collector.signal("STOP");
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let id = format!("{:016x}", 0x9b1f_1000 + number);
        let key = format!("{:016x}", 0x7f3a_1000 + number);
        clients.push(Client::start(record, world.listen, &id, &key, GUARD_MS, "c=slot-feed,t=one"));
        thread::sleep(Duration::from_millis(125));
        let old = clients.len().checked_sub(25).and_then(|index| clients.get(index));
        if let Some(client) = old.filter(|client| client.state() == State::Open) {
            client.leave();
        }
    }
    thread::sleep(Duration::from_millis(GUARD_MS + 600));
    if has_trouble {
        collector.signal("CONT");
    }
    let unanswered = clients
        .iter()
        .filter(|client| matches!(client.state(), State::Unanswered | State::CutUnanswered | State::Waiting))
        .count();
    record.note(format!("{unanswered} of {CLIENTS} clients had no answer half a second after their time"));
    Ok(if unanswered > 0 { Verdict::Broken } else { Verdict::Held })
}
