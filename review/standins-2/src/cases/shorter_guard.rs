//! New settings with a shorter guard time by SIGHUP, then a planned restart: is every connection moved before SIGKILL?

use std::io;
use std::thread;
use std::time::Duration;

use super::{World, cut};
use crate::Verdict;
use crate::client::State;
use crate::config::Class;
use crate::record::Record;

const OLD_GUARD_MS: u64 = 3_200;
const NEW_GUARD_MS: u64 = 2_000;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; each limit is 50 ms longer.
const KILL_AFTER_MS: u64 = NEW_GUARD_MS + 700 + 50;
const CLIENTS: u64 = 60;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::create(record, 3)?;
    let queue_pos = Class::repeatable("queue-pos", 500, NEW_GUARD_MS);
    let old = [Class::repeatable("slot-feed", 800, OLD_GUARD_MS), queue_pos.clone()];
    let new = [Class::repeatable("slot-feed", 500, NEW_GUARD_MS), queue_pos];
    world.config(if has_trouble { &old } else { &new }).write(&world.config_path())?;
    let (mut node, _) = world.start_ready(record, "n0")?;
    let clients = world.open_clients(record, "slot-feed", 1, CLIENTS, NEW_GUARD_MS)?;
    if has_trouble {
        world.config(&new).write(&world.config_path())?;
        record.note("the configuration is replaced: the longest guard time is 2000 ms instead of 3200 ms");
        node.signal("HUP");
    }
    // Longer than any deadline of the old settings.
    thread::sleep(Duration::from_secs(5));
    node.signal("TERM");
    thread::sleep(Duration::from_millis(KILL_AFTER_MS));
    let held = clients.iter().filter(|client| client.state() == State::Open).count();
    match node.exit_code() {
        Some(code) => record.note(format!("the node has exited with {code:?}")),
        None => node.kill(),
    }
    thread::sleep(Duration::from_millis(300));
    let lost = cut(&clients).len();
    record.note(format!(
        "{held} of {CLIENTS} connections were still held at the time of SIGKILL, {lost} ended without MOVE"
    ));
    Ok(if lost > 0 || held > 0 { Verdict::Broken } else { Verdict::Held })
}
