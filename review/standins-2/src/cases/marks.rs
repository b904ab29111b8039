//! New settings in which clients do not mark their retries, by SIGHUP; then a node is killed, and the clients of its
//! once-only calls try again at another node.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use super::World;
use crate::Verdict;
use crate::client::{Client, State};
use crate::config::{Class, Config};
use crate::host::{Does, Run};
use crate::node::{Node, free_address, until, until_ready};
use crate::record::Record;

const GUARD_MS: u64 = 1_500;
const NODES: usize = 3;
const CALLS: u64 = 1;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let world = World::create(record, 3, Does::UpAfterMs(600))?;
    let folder = &world.folder.0;
    let names: Vec<String> = (0..NODES).map(|node| format!("\"n{node}\"")).collect();
    let mut charter =
        format!("group = \"review\"\nvoters = [{}]\n\n[limits.fleet]\nmost_out = 1\n\n", names.join(", "));
    charter += "[work]\nrecall_s = 6\n\n[units]\n";
    for node in 0..NODES {
        charter += &format!("n{node} = {{ zone = \"z1\", cell = \"c1\", kind = \"k1\" }}\n");
    }
    fs::write(folder.join("fleet.toml"), charter)?;
    let peers: Vec<SocketAddr> = (0..NODES).map(|_| free_address()).collect::<io::Result<_>>()?;
    let listens: Vec<SocketAddr> = (0..NODES).map(|_| free_address()).collect::<io::Result<_>>()?;
    let config = |node: usize, marks_retry: bool| -> Config {
        let others: BTreeMap<String, SocketAddr> = (0..NODES)
            .filter(|other| *other != node)
            .map(|other| (format!("n{other}"), peers[other]))
            .collect();
        let others: Vec<String> =
            others.iter().map(|(name, address)| format!("\"{name}\":\"{address}\"")).collect();
        let store = folder.join(format!("store{node}"));
        let fleet = format!(
            r#"{{"listen":"{}","version":"v1","folder":"{}","charter":"{}","peers":{{{}}}}}"#,
            peers[node],
            store.display(),
            folder.join("fleet.toml").display(),
            others.join(",")
        );
        let class = Class { effect: "fragile", ..Class::repeatable("slot-set", 400, GUARD_MS) };
        Config {
            name: format!("n{node}"),
            listen: listens[node],
            nodes: NODES,
            me: node,
            marks_retry,
            fleet: Some(fleet),
            ..world.config(&[class])
        }
    };
    let path = |node: usize| folder.join(format!("n{node}.json"));
    let mut nodes = Vec::new();
    let mut admins = Vec::new();
    for node in 0..NODES {
        fs::create_dir_all(folder.join(format!("store{node}")))?;
        fs::create_dir_all(folder.join(format!("tmp{node}")))?;
        config(node, has_trouble).write(&path(node))?;
        let admin = free_address()?;
        let tmpdir = folder.join(format!("tmp{node}"));
        nodes.push(Node::start(record, &world.root, &format!("n{node}"), &path(node), &tmpdir, admin)?);
        admins.push(admin);
    }
    for admin in &admins {
        if !until_ready(*admin, Duration::from_secs(20)) {
            return Err(io::Error::other("a node is not ready"));
        }
    }
    // Replicas answer for repeats once recall_s and the longest guard time have gone since their start.
    thread::sleep(Duration::from_secs(10));
    if has_trouble {
        for node in 0..NODES {
            config(node, false).write(&path(node))?;
            record.note(format!("n{node}: the configuration is replaced: clients do not mark retries"));
            nodes[node].signal("HUP");
        }
    }
    thread::sleep(Duration::from_secs(2));
    let runs = || -> Vec<Run> {
        world.hosts.iter().flat_map(|host| host.runs.lock().map_or(vec![], |runs| runs.clone())).collect()
    };
    let keys: Vec<String> = (0..CALLS).map(|call| format!("{:016x}", 0x7f3a_0000 + call)).collect();
    let open = |node: usize, first_id: u64| -> Vec<Client> {
        let start = |(key, id): (&String, u64)| {
            Client::start(record, listens[node], &format!("{id:016x}"), key, GUARD_MS, "c=slot-set,t=one")
        };
        keys.iter().zip(first_id..).map(start).collect()
    };
    let count = |key: &String| runs().iter().filter(|run| run.key == *key).count();
    let first = open(0, 0x1000);
    if !until(Duration::from_secs(1), || keys.iter().all(|key| count(key) == 1)) {
        return Err(io::Error::other("the first tries reached no host"));
    }
    nodes[0].kill();
    for client in &first {
        record.note(format!("the first try {} ended: {:?}", client.id, client.answered()));
    }
    if first.iter().any(|client| client.state() == State::Open) {
        return Err(io::Error::other("a first try was answered before its node was killed"));
    }
    record.note("their clients try again at another node");
    for client in open(1, 0x2000) {
        record.note(format!("the second try {} ended: {:?}", client.id, client.answered()));
    }
    let twice = keys.iter().filter(|key| count(key) > 1).count();
    record.note(format!("{twice} of {CALLS} once-only calls ran twice"));
    Ok(if twice > 0 { Verdict::Broken } else { Verdict::Held })
}
