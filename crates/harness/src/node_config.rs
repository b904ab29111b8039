//! The configuration files of a cluster's nodes: settings, fleet policy and each node's own file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

use crate::cluster::ClusterSpec;
use crate::fake_host::KEY_WINDOW_MS;

/// Where one node listens.
#[derive(Clone, Copy)]
pub(crate) struct NodeAddresses {
    pub(crate) clients: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// The deployment's settings as the node of this number is told them.
fn settings(nodes: usize, node: usize) -> Value {
    let class = |name: &str, effect: &str, key_scope: &str, window_ms: f64| {
        json!({"name": name, "effect": effect, "group": key_scope, "windowMs": window_ms, "setupTargetMs": 400.0,
               "guardTimeMs": 1500.0, "revenue": 1.0})
    };
    json!({
        "caps": {"connectTimeoutMs": 200.0, "maxLegs": 4, "mayCancel": true, "mayProbe": true, "retryAfter": true,
                 "maxRetryAfterMs": 900.0},
        "dcs": ["here"], "extra": {"groups": true, "messageAimMs": [100.0]}, "fleetSize": nodes, "me": node,
        "membershipMode": "on_request", "myZone": 0, "projects": [{"name": "one"}],
        "safety": {"askWithinMs": 10000.0, "coldFrom": 0.2, "fallMs": 1000.0, "fallMultiple": 4.0,
                   "warmAfterMs": 20000.0},
        "tickMs": 5.0,
        "clients": {"marksRetry": true},
        "trafficTypes": [class("chat", "retryable", "all", 5000.0), class("pay", "fragile", "all", 5000.0),
                         class("edit", "dedup", "cell", KEY_WINDOW_MS)],
    })
}

/// The fleet policy file, in TOML.
pub(crate) fn fleet_policy(spec: &ClusterSpec) -> String {
    let voters: Vec<String> = (0..spec.voters).map(|node| format!("\"n{node}\"")).collect();
    let mut text = format!("group = \"harness\"\nvoters = [{}]\n\n", voters.join(", "));
    text +=
        &format!("[limits.fleet]\nmost_out = {}\n\n[hosts.limits.fleet]\nmost_out = 1\n\n", spec.most_out);
    if spec.stores_intents {
        text += "[work]\nrecall_s = 6\n\n";
    }
    text += "[units]\n";
    for node in 0..spec.nodes {
        let zone = node % spec.zones.max(1);
        text += &format!("n{node} = {{ zone = \"z{zone}\", cell = \"\", kind = \"node\" }}\n");
    }
    text
}

/// One node's configuration file.
pub(crate) fn node_config(
    spec: &ClusterSpec,
    node: usize,
    addresses: NodeAddresses,
    peers: &BTreeMap<String, String>,
    discovery: SocketAddr,
    folder: &Path,
) -> Value {
    json!({
        "name": format!("n{node}"), "listen": addresses.clients.to_string(), "admin": addresses.admin.to_string(),
        "seed": format!("{:016x}", node + 1), "discovery": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024 + 4 * spec.nodes}, "known": null,
        "settings": settings(spec.nodes, node),
        "fleet": {"listen": addresses.peers.to_string(), "peers": peers, "version": "v1",
                  "folder": folder.join(format!("n{node}")).join("store"), "charter": folder.join("fleet.toml")},
    })
}
