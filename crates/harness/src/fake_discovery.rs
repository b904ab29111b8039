//! A discovery service on loopback: answers list requests and long polls over HTTP/1.1.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fake_host::FakeHost;
use crate::{loopback, spawn};

/// A discovery service whose endpoints a test changes.
pub struct FakeDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    endpoints: Arc<Endpoints>,
}

#[derive(Default)]
struct Endpoints {
    list: Mutex<VersionedList>,
    changed: Condvar,
}

#[derive(Default)]
struct VersionedList {
    version: u64,
    entries: Vec<VersionedEntry>,
}

struct VersionedEntry {
    /// The list's version in which it changed last.
    changed_in: u64,
    json: Value,
}

impl FakeDiscovery {
    /// Starts with all these hosts in service.
    ///
    /// # Errors
    /// No socket is granted.
    pub fn start(hosts: &[FakeHost]) -> std::io::Result<FakeDiscovery> {
        let entries = hosts.iter().map(|host| VersionedEntry { changed_in: 1, json: entry_of(host) });
        let list = VersionedList { version: 1, entries: entries.collect() };
        let endpoints = Arc::new(Endpoints { list: Mutex::new(list), changed: Condvar::new() });
        let listener: TcpListener = loopback()?;
        let discovery = FakeDiscovery { address: listener.local_addr()?, endpoints: endpoints.clone() };
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoints = endpoints.clone();
                spawn(move || drop(serve(stream, &endpoints)));
            }
        });
        Ok(discovery)
    }

    /// Lists a host with this status from here on, such as `in_service` or `terminating`.
    pub fn set_status(&self, host: &str, status: &str) {
        let Ok(mut list) = self.endpoints.list.lock() else { return };
        list.version += 1;
        let version = list.version;
        for entry in &mut list.entries {
            if entry.json["name"] == host {
                entry.changed_in = version;
                entry.json["status"] = status.into();
            }
        }
        drop(list);
        self.endpoints.changed.notify_all();
    }
}

fn entry_of(host: &FakeHost) -> Value {
    json!({"name": host.name, "address": host.address.to_string(), "zone": "here", "type": "m",
           "group": host.cell, "status": "in_service", "weight": 1.0, "since_ms": 0})
}

/// The number that follows `key` in a request line.
fn parameter(request_line: &str, key: &str) -> Option<u64> {
    let rest = request_line.split(key).nth(1)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn serve(stream: TcpStream, endpoints: &Endpoints) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut request_line = String::new();
        if reader.read_line(&mut request_line)? == 0 {
            return Ok(());
        }
        let mut header = String::new();
        while reader.read_line(&mut header)? > 2 {
            header.clear();
        }
        let after = parameter(&request_line, "after=");
        let wait = Duration::from_millis(parameter(&request_line, "wait_ms=").unwrap_or(0));
        let Some(body) = wait_for_changes(endpoints, after, wait) else { return Ok(()) };
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
}

/// The changes since version `after`, as soon as there are some or `wait` is over; the whole list without `after`.
fn wait_for_changes(endpoints: &Endpoints, after: Option<u64>, wait: Duration) -> Option<String> {
    let until = Instant::now() + wait;
    let mut list = endpoints.list.lock().ok()?;
    while after.is_some_and(|after| list.version <= after) && Instant::now() < until {
        let left = until.saturating_duration_since(Instant::now());
        list = endpoints.changed.wait_timeout(list, left).ok()?.0;
    }
    let changed = list.entries.iter().filter(|entry| after.is_none_or(|after| entry.changed_in > after));
    let changed: Vec<&Value> = changed.map(|entry| &entry.json).collect();
    Some(json!({"index": list.version, "snapshot": after.is_none(), "endpoints": changed}).to_string())
}
