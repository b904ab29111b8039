//! The cases.

mod dropped_class;
mod log_collector;
mod log_stall;
mod shorter_guard;
mod upgrade_drain;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, State};
use crate::config::{Class, Config};
use crate::discovery::Discovery;
use crate::host::Host;
use crate::node::{Node, TempFolder, free_address, until_ready};
use crate::record::Record;

pub fn play(case: &str, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    match case {
        "shorter-guard" => shorter_guard::play(record, has_trouble),
        "dropped-class" => dropped_class::play(record, has_trouble),
        "upgrade-drain" => upgrade_drain::play(record, has_trouble),
        "log-collector" => log_collector::play(record, has_trouble),
        "log-stall" => log_stall::play(record, has_trouble),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}

/// One node with its hosts and discovery.
pub struct World {
    pub root: PathBuf,
    pub folder: TempFolder,
    pub discovery: Discovery,
    pub listen: SocketAddr,
}

impl World {
    pub fn create(record: &Record, host_count: usize) -> io::Result<World> {
        let hosts: Vec<Host> = (0..host_count)
            .map(|number| Host::start(record, &format!("s-{number}")))
            .collect::<io::Result<_>>()?;
        let discovery = Discovery::start(hosts.iter().map(|host| host.entry("in_service")).collect())?;
        Ok(World {
            root: std::env::current_dir()?,
            folder: TempFolder::create()?,
            discovery,
            listen: free_address()?,
        })
    }

    pub fn config(&self, classes: &[Class]) -> Config {
        Config {
            listen: self.listen,
            discovery: self.discovery.address,
            known: self.discovery.known(),
            classes: classes.to_vec(),
        }
    }

    pub fn config_path(&self) -> PathBuf {
        self.folder.0.join("config.json")
    }

    /// Starts a process of the node, and returns it with its admin address.
    pub fn start(&self, record: &Record, name: &str) -> io::Result<(Node, SocketAddr)> {
        let admin = free_address()?;
        let node = Node::start(record, &self.root, name, &self.config_path(), &self.folder.0, admin)?;
        Ok((node, admin))
    }

    /// Starts a process and waits until it takes clients.
    pub fn start_ready(&self, record: &Record, name: &str) -> io::Result<(Node, SocketAddr)> {
        let (node, admin) = self.start(record, name)?;
        if !until_ready(admin, Duration::from_secs(10)) {
            return Err(io::Error::other(format!("{name} is not ready")));
        }
        record.note(format!("{name} is ready"));
        Ok((node, admin))
    }

    /// Opens connections one after another. One that is refused comes again a little later, up to five times.
    pub fn open_clients(
        &self,
        record: &Record,
        class: &str,
        first: u64,
        count: u64,
        wait_ms: u64,
    ) -> io::Result<Vec<Client>> {
        let mut clients = Vec::new();
        for number in first..first + count {
            let key = format!("{:016x}", 0x7f3a_0000 + number);
            let is_up = (0..5).any(|try_number| {
                let id = format!("{:016x}", 0x9b1f_0000 + 0x1_0000_0000 * try_number + number);
                let client =
                    Client::start(record, self.listen, &id, &key, wait_ms, &format!("c={class},t=one"));
                if client.answered() == State::Open {
                    clients.push(client);
                    return true;
                }
                thread::sleep(Duration::from_millis(200));
                false
            });
            if !is_up {
                return Err(io::Error::other(format!("a client of {key} did not come up")));
            }
        }
        Ok(clients)
    }
}

/// The open connections that ended without `MOVE`.
pub fn cut(clients: &[Client]) -> Vec<&Client> {
    clients.iter().filter(|client| matches!(client.state(), State::Cut(_))).collect()
}
