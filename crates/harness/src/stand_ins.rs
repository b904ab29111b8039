//! Stand-ins for hosts and for the list's service.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::agencies::{Homes, group_of, load_of};
use crate::errands::{Told, Wish, Wishes};
use crate::{loopback, spawn};

/// Which attempts hosts were sent, by the call's id: where, and how many.
pub type Attempts = Arc<Mutex<HashMap<String, u32>>>;

/// Hosts of one cell recall a reference for so long, in ms.
pub const WINDOW_MS: f64 = 3_000.0;

/// One thing that a host did: when, which host in which cell, and whether it was anything new there.
#[derive(Clone, Debug)]
pub struct Did {
    pub at: Instant,
    pub host: String,
    pub cell: usize,
    pub anew: bool,
}

/// What all hosts write down, and what they are told to do.
#[derive(Clone, Default)]
pub struct Book {
    pub attempts: Attempts,
    pub effects: Effects,
    pub homes: Homes,
    pub wishes: Wishes,
}

/// What hosts did for each work, by its traffic class and key.
pub type Effects = Arc<Mutex<HashMap<String, Vec<Did>>>>;

/// How a host does with a work: its key draws it, so that each day is the same.
enum Way {
    Soon(u64),
    /// It does it and says nothing.
    Silent,
    /// It turns it away unseen.
    Busy,
}

fn way(key: &str, attempts: usize) -> Way {
    let number = u64::from_str_radix(key, 16).unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    match number % 20 {
        0 => Way::Silent,
        1 | 2 if attempts == 0 => Way::Busy,
        _ => Way::Soon(20 + number / 20 % 300),
    }
}

/// A host that takes every connection, answers at once and says each line back.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub cell: usize,
    seen: Arc<Seen>,
    /// It was killed: it takes nothing, and its connections have ended.
    dead: Arc<AtomicBool>,
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

/// What a host saw of its connections.
#[derive(Default)]
struct Seen {
    open: AtomicI64,
    opened: AtomicU64,
}

impl Host {
    /// # Errors
    /// No socket is granted.
    pub fn start(name: &str, cell: usize, book: &Book) -> std::io::Result<Host> {
        let listener = loopback()?;
        let address = listener.local_addr()?;
        let host = Host {
            name: name.to_owned(),
            address,
            cell,
            seen: Arc::default(),
            dead: Arc::default(),
            streams: Arc::default(),
        };
        let (book, of, seen) = (book.clone(), name.to_owned(), host.seen.clone());
        let (dead, streams) = (host.dead.clone(), host.streams.clone());
        spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming().flatten()) {
                if dead.load(Ordering::SeqCst) {
                    continue;
                }
                if let (Ok(mut streams), Ok(stream)) = (streams.lock(), stream.try_clone()) {
                    streams.insert(number, stream);
                }
                let (book, of, seen, streams) = (book.clone(), of.clone(), seen.clone(), streams.clone());
                spawn(move || {
                    let (mut opened, mut group) = (false, None);
                    let _ = serve(&stream, (&of, cell), &book, &seen, (&mut opened, &mut group));
                    let _ = stream.shutdown(Shutdown::Both);
                    if let Ok(mut streams) = streams.lock() {
                        streams.remove(&number);
                    }
                    if opened {
                        seen.open.fetch_sub(1, Ordering::SeqCst);
                    }
                    if let (Some(group), Ok(mut homes)) = (group, book.homes.lock()) {
                        homes.closed(&of, group);
                    }
                });
            }
        });
        Ok(host)
    }

    /// Its connections end and it takes no other; `false`: it is back, and recalls what it did.
    pub fn die(&self, dead: bool) {
        self.dead.store(dead, Ordering::SeqCst);
        if let (true, Ok(mut streams)) = (dead, self.streams.lock()) {
            for (_, stream) in streams.drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Connections that stand now, and all that have ever been opened.
    pub fn seen(&self) -> (i64, u64) {
        (self.seen.open.load(Ordering::SeqCst), self.seen.opened.load(Ordering::SeqCst))
    }
}

fn serve(
    stream: &TcpStream,
    (host, cell): (&str, usize),
    book: &Book,
    seen: &Seen,
    (opened, group): (&mut bool, &mut Option<u64>),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = (BufReader::new(stream), stream);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 {
        let mut words = line.split_whitespace();
        match (words.next(), words.next()) {
            (Some("PING"), _) => writer.write_all(b"PONG\r\n")?,
            (Some("OPEN"), Some(id)) => {
                let (key, list) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
                let kind = ["c=pay", "c=edit"].into_iter().find(|kind| list.starts_with(*kind));
                let told = book.wishes.told(key);
                // What did not come in whole was never read: nothing of it is known here.
                if let Some(Told { wish: Wish::Half, .. }) = told {
                    book.wishes.came(key);
                    line.clear();
                    continue;
                }
                if let Ok(mut attempts) = book.attempts.lock() {
                    *attempts.entry(id.to_owned()).or_default() += 1;
                }
                if !std::mem::replace(opened, true) {
                    seen.open.fetch_add(1, Ordering::SeqCst);
                }
                seen.opened.fetch_add(1, Ordering::SeqCst);
                if let Some(kind) = kind {
                    match does(&book.effects, kind, key, (host, cell), told.is_some()) {
                        _ if told.is_some() => book.wishes.answer(key),
                        Way::Soon(ms) => std::thread::sleep(Duration::from_millis(ms)),
                        Way::Silent => {
                            line.clear();
                            continue;
                        }
                        Way::Busy => return writer.write_all(b"BUSY\r\n"),
                    }
                }
                if let Some(of) = group_of(list) {
                    if let Ok(mut homes) = book.homes.lock() {
                        homes.opened(host, of, key);
                    }
                    *group = Some(of);
                    writer.write_all(format!("UP {id}\r\nLOAD {}\r\n", load_of(key)).as_bytes())?;
                    line.clear();
                    continue;
                }
                writer.write_all(format!("UP {id}\r\n").as_bytes())?;
            }
            _ => writer.write_all(line.as_bytes())?,
        }
        line.clear();
    }
    Ok(())
}

/// The work is done, or turned away. Hosts of a cell that did it of late do nothing again.
fn does(effects: &Effects, kind: &str, key: &str, (host, cell): (&str, usize), told: bool) -> Way {
    let Ok(mut effects) = effects.lock() else { return Way::Silent };
    let did = effects.entry(format!("{kind} {key}")).or_default();
    let way = if told { Way::Soon(0) } else { way(key, did.len()) };
    if !matches!(way, Way::Busy) {
        let recalls = |of: &Did| of.cell == cell && of.at.elapsed() < Duration::from_millis(WINDOW_MS as u64);
        let anew = kind == "c=pay" || !did.iter().any(recalls);
        did.push(Did { at: Instant::now(), host: host.to_owned(), cell, anew });
    }
    way
}

/// The list's service.
pub struct List {
    pub address: SocketAddr,
    entries: Arc<Entries>,
}

/// Each entry with the version in which it changed last.
#[derive(Default)]
struct Entries {
    now: Mutex<(u64, Vec<(u64, Value)>)>,
    changed: Condvar,
}

impl List {
    /// All hosts in service.
    ///
    /// # Errors
    /// No socket is granted.
    pub fn start(hosts: &[Host]) -> std::io::Result<List> {
        let lines = hosts.iter().map(|host| {
            let line = json!({"name": host.name, "address": host.address.to_string(), "zone": "here", "type": "m",
                              "group": host.cell, "status": "in_service", "weight": 1.0, "since_ms": 0});
            (1, line)
        });
        let entries = Arc::new(Entries { now: Mutex::new((1, lines.collect())), changed: Condvar::new() });
        let listener: TcpListener = loopback()?;
        let list = List { address: listener.local_addr()?, entries: entries.clone() };
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let entries = entries.clone();
                spawn(move || drop(answer(stream, &entries)));
            }
        });
        Ok(list)
    }

    /// From here on the list says so of a host.
    pub fn say(&self, host: &str, status: &str) {
        let Ok(mut now) = self.entries.now.lock() else { return };
        now.0 += 1;
        let index = now.0;
        for (changed, line) in &mut now.1 {
            if line["name"] == host {
                (*changed, line["status"]) = (index, status.into());
            }
        }
        drop(now);
        self.entries.changed.notify_all();
    }
}

fn number(line: &str, key: &str) -> Option<u64> {
    let rest = line.split(key).nth(1)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn answer(stream: TcpStream, entries: &Entries) -> std::io::Result<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    loop {
        let (mut first, mut line) = (String::new(), String::new());
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let after = number(&first, "after=");
        let until = Instant::now() + Duration::from_millis(number(&first, "wait_ms=").unwrap_or(0));
        let Ok(mut now) = entries.now.lock() else { return Ok(()) };
        while after.is_some_and(|after| now.0 <= after) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let Ok((guard, _)) = entries.changed.wait_timeout(now, left) else { return Ok(()) };
            now = guard;
        }
        let of = now.1.iter().filter(|(changed, _)| after.is_none_or(|after| *changed > after));
        let endpoints: Vec<Value> = of.map(|(_, line)| line.clone()).collect();
        let body = json!({"index": now.0, "snapshot": after.is_none(), "endpoints": endpoints}).to_string();
        drop(now);
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
}
