//! Steps at the node's admin interface, and the comparison of its metrics with what the stand-ins saw.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::PATIENCE;
use crate::world::World;

/// The longest that an admin request may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Counts may lag while what ended is still told.
const METRICS_LAG: Duration = Duration::from_secs(2);

impl World {
    pub(crate) fn play_admin(&mut self, words: &[&str]) {
        match words {
            ["hears", status, text] => {
                let mut stream = TcpStream::connect(self.process.admin.address).unwrap();
                stream.write_all(text.replace("\\r\\n", "\r\n").replace('_', " ").as_bytes()).unwrap();
                let mut answer = String::new();
                stream.read_to_string(&mut answer).unwrap();
                assert!(has_status(&answer, status), "{answer}");
            }
            ["until", status] => self.await_ready_status(status),
            ["slow", count] => {
                for _ in 0..count.parse::<u32>().unwrap() {
                    let mut stream = TcpStream::connect(self.process.admin.address).unwrap();
                    stream.write_all(b"GET /v1/me").unwrap();
                    self.held_open.push(stream);
                }
            }
            [method, path, status] => {
                self.expect_admin_status(self.process.admin.address, method, path, status)
            }
            other => panic!("unknown admin step {other:?}"),
        }
    }

    /// One request at the admin interface of the node's process that listens there.
    pub(crate) fn expect_admin_status(&self, admin: SocketAddr, method: &str, path: &str, status: &str) {
        let answer = call_admin_at(admin, method, path).unwrap();
        assert!(has_status(&answer, status), "{answer}");
    }

    fn await_ready_status(&self, status: &str) {
        let deadline = Instant::now() + PATIENCE;
        while !self.call_admin("GET", "/v1/readyz").is_ok_and(|answer| has_status(&answer, status)) {
            assert!(Instant::now() < deadline, "never {status}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// One request at the admin interface of the current process.
    pub(crate) fn call_admin(&self, method: &str, path: &str) -> std::io::Result<String> {
        call_admin_at(self.process.admin.address, method, path)
    }

    pub(crate) fn metrics(&self) -> Value {
        let answer = self.call_admin("GET", "/v1/metrics").unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.contains(&format!("Content-Length: {}", body.len())), "{answer}");
        serde_json::from_str(body).unwrap()
    }

    /// The metrics have these values before long, each given as `name=value`.
    pub(crate) fn expect_metrics(&self, expected: &[&str]) {
        let deadline = Instant::now() + METRICS_LAG;
        loop {
            let metrics = self.metrics();
            let Some(wrong) = expected.iter().find(|expected| !has_value(&metrics, expected)) else { return };
            assert!(Instant::now() < deadline, "{metrics} lacks {wrong}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Every call was answered once or waits, and nothing was counted that no stand-in saw. Scenarios that
    /// write calls by other means than `opens`, or have more than one process, are not held to it.
    pub(crate) fn check_metrics(&mut self) {
        if !self.predecessors.is_empty() || !matches!(self.process.child.try_wait(), Ok(None)) {
            return;
        }
        let deadline = Instant::now() + Duration::from_secs(3);
        while !self.has_consistent_metrics() {
            assert!(
                Instant::now() < deadline,
                "opened {}, saw {} established, {} busy, {} attempts: {}",
                self.tally.opened,
                self.tally.established,
                self.tally.busy,
                self.tally.attempts,
                self.metrics()
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn has_consistent_metrics(&self) -> bool {
        let metrics = self.metrics();
        let classes = metrics["calls"].as_object().unwrap();
        let sum =
            |outcome: &str| -> u64 { classes.values().map(|class| class[outcome].as_u64().unwrap()).sum() };
        let success = sum("success");
        let busy = sum("busy");
        let failure = sum("failure");
        let waiting = metrics["waiting"].as_u64().unwrap();
        let attempts = metrics["backend_calls"].as_u64().unwrap();
        let has_all_seen =
            success >= self.tally.established && busy >= self.tally.busy && attempts >= self.tally.attempts;
        has_all_seen && success + busy + failure + waiting == self.tally.opened
    }
}

/// One admin request, answered within the limit; the whole answer as it comes back.
pub(crate) fn call_admin_at(admin: SocketAddr, method: &str, path: &str) -> std::io::Result<String> {
    // The node may have been started a moment ago.
    let deadline = Instant::now() + PATIENCE;
    let mut stream = loop {
        match TcpStream::connect(admin) {
            Err(error) if error.kind() == ErrorKind::ConnectionRefused && Instant::now() < deadline => {}
            other => break other?,
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    stream.set_read_timeout(Some(PATIENCE))?;
    let start = Instant::now();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 2\r\n\r\n{{}}")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    assert!(start.elapsed() < ANSWER_LIMIT, "the admin interface took {:?}", start.elapsed());
    Ok(answer)
}

pub(crate) fn has_status(answer: &str, status: &str) -> bool {
    answer.starts_with(&format!("HTTP/1.1 {status} "))
}

/// Whether a metric, or a count of a class's calls, is as in `name=value`.
fn has_value(metrics: &Value, expected: &str) -> bool {
    let (name, value) = expected.split_once('=').unwrap();
    let path = format!("/{}", name.replace('.', "/"));
    let found = metrics.pointer(&path).or(metrics.pointer(&format!("/calls{path}")));
    found.and_then(Value::as_u64) == value.parse().ok()
}
