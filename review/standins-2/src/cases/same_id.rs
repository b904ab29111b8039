//! During an upgrade a bad client sends the id of another client's open request.

use std::io;

use super::World;
use crate::Verdict;
use crate::client::{Client, State};
use crate::config::Class;
use crate::host::Does;
use crate::record::Record;

const GUARD_MS: u64 = 3_200;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::create(record, 3, Does::UpAfterMs(5))?;
    world.config(&[Class::repeatable("slot-feed", 800, GUARD_MS)]).write(&world.config_path())?;
    let (_old, _) = world.start_ready(record, "old")?;
    let clients = world.open_clients(record, "slot-feed", 1, 5, GUARD_MS)?;
    let new = if has_trouble { Some(world.start_ready(record, "new")?) } else { None };
    let mut served = 0;
    for client in &clients {
        let bad = Client::start(record, world.listen, &client.id, "bad0", GUARD_MS, "c=slot-feed,t=one");
        served += u32::from(bad.answered() == State::Open);
        bad.leave();
    }
    drop(new);
    record.note(format!("{served} of 5 bad clients were served"));
    Ok(if served > 0 { Verdict::Broken } else { Verdict::Held })
}
