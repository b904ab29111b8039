//! The configuration of a node, from the options of a scenario's `node` line.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;

use serde_json::{Value, json};

/// Words of the form `key=value`.
pub(crate) struct NodeOptions<'a>(HashMap<&'a str, &'a str>);

impl<'a> NodeOptions<'a> {
    pub(crate) fn parse(words: &[&'a str]) -> NodeOptions<'a> {
        NodeOptions(words.iter().filter_map(|word| word.split_once('=')).collect())
    }

    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    pub(crate) fn number<T: FromStr>(&self, key: &str, default: T) -> T {
        let Some(text) = self.text(key) else { return default };
        text.parse().unwrap_or_else(|_| panic!("{key} is {text}"))
    }

    pub(crate) fn hosts(&self) -> Vec<&'a str> {
        self.text("hosts").map_or(vec![], |names| names.split(',').collect())
    }
}

/// Where the node listens and asks.
pub(crate) struct NodeAddresses {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub discovery: SocketAddr,
}

/// The file that the node reads; `known` are the entries of the endpoint list that it starts with.
pub(crate) fn node_config(options: &NodeOptions, addresses: &NodeAddresses, known: &[&Value]) -> Value {
    let index = if known.is_empty() { 0 } else { 1 };
    json!({
        "name": "n0",
        "listen": addresses.listen.to_string(),
        "admin": addresses.admin.to_string(),
        "seed": "00000000000000ff",
        "discovery": addresses.discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": options.number("sockets", 256u64)},
        "known": {"index": index, "snapshot": true, "endpoints": known},
        "settings": settings(options),
    })
}

fn settings(options: &NodeOptions) -> Value {
    let deadline_ms = options.number("guard", 1500.0);
    let may_judge_load = options.text("load") != Some("ignored");
    let message_aim_ms = may_judge_load.then_some(100.0);
    let class = |name: &str, effect: &str| {
        json!({
            "name": name, "effect": effect, "group": "all", "windowMs": 5000.0, "setupTargetMs": 400.0,
            "guardTimeMs": deadline_ms, "revenue": 1.0,
        })
    };
    json!({
        "caps": {
            "connectTimeoutMs": options.number("connect", 200.0), "maxLegs": options.number("attempts", 4u64),
            "mayCancel": true, "mayProbe": may_judge_load, "retryAfter": true, "maxRetryAfterMs": 900.0,
        },
        "dcs": ["here"],
        "extra": {"groups": true, "messageAimMs": [message_aim_ms, null]},
        "fleetSize": options.number("fleet", 1u64),
        "me": 0,
        "membershipMode": options.text("list").unwrap_or("on_request"),
        "myZone": 0,
        "projects": [{"name": "one"}, {"name": "two"}],
        "safety": {
            "askWithinMs": 10000.0, "coldFrom": 0.2, "fallMs": 1000.0, "fallMultiple": 4.0,
            "warmAfterMs": 20000.0,
        },
        "tickMs": 5.0,
        "trafficTypes": [class("chat", "retryable"), class("pay", "fragile")],
    })
}
