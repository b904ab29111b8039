//! A drain that is ordered while two processes of the node run, in an upgrade.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::World;
use crate::Verdict;
use crate::client::State;
use crate::config::Class;
use crate::node::{admin, ping};
use crate::record::Record;

const GUARD_MS: u64 = 3_200;
/// SIGTERM reaches the old process within 6 s of the start of the new one.
const TERM_WITHIN: Duration = Duration::from_millis(5_500);

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::create(record, 3)?;
    world.config(&[Class::repeatable("slot-feed", 800, GUARD_MS)]).write(&world.config_path())?;
    let (old, old_admin) = world.start_ready(record, "old")?;
    let clients = world.open_clients(record, "slot-feed", 1, 10, GUARD_MS)?;
    let started_at = Instant::now();
    let new = if has_trouble { Some(world.start_ready(record, "new")?) } else { None };
    let door = new.as_ref().map_or(old_admin, |(_, door)| *door);
    let reply = admin(door, "POST", "/v1/node/drain", "");
    let drained_at = Instant::now();
    record.note(format!("the node is told to drain: {reply:?}"));
    if reply.is_none_or(|(status, _)| status != 200) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(4).saturating_sub(drained_at.elapsed()) + Duration::from_millis(50));
    let says_yes = ping(world.listen);
    record.note(format!("4 s after the drain PING is answered PONG: {says_yes:?}"));
    let held = clients.iter().filter(|client| client.state() == State::Open).count();
    record.note(format!("{held} connections were not moved"));
    if has_trouble {
        thread::sleep(TERM_WITHIN.saturating_sub(started_at.elapsed()));
        old.signal("TERM");
        thread::sleep(Duration::from_secs(5));
        let held = clients.iter().filter(|client| client.state() == State::Open).count();
        record.note(format!("5 s after SIGTERM to the old process {held} connections were not moved"));
    }
    drop(new);
    Ok(if says_yes == Some(true) || held > 0 { Verdict::Broken } else { Verdict::Held })
}
