//! Output and exit codes of the commands, compared with recorded transcripts: a simulated admin interface
//! answers with the status in `tests/fixtures/NAME.json`, and `tests/fixtures/NAME.txt` has the transcript of
//! each command.
//!
//! `RECORD_COMMANDS=1` records the transcripts again.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;

use test_case::test_case;

/// Commands that query the status.
const QUERIES: &[&str] = &[
    "fleet status",
    "fleet members",
    "fleet hosts",
    "fleet work",
    "fleet work --json",
    "fleet members --json",
    "release status",
    "release status --door ADDRESS",
];

/// Commands that send an order, each with a fixed id, so that the transcript is the same on each run.
const ORDERS: &[&str] = &[
    "drain n3 --id order-1",
    "drain n3 --id order-2 --json",
    "drain n3 --id order-3 --beyond-limits fire",
    "activate n3 --id order-4",
    "fleet dead n3 --id order-5",
    "fleet replace n3 n4 --id order-6",
    "fleet trust --id order-7",
    "release start plan.toml --id order-8",
    "release halt --id order-9",
    "release halt --why lunch --id order-10",
    "release resume --id order-11",
    "release back --id order-12",
    "drain refused --id order-13",
    "drain refused --id order-14 --json",
    "drain misspelt --id order-15",
];

/// Commands that send no request.
const OFFLINE: &[&str] = &[
    "fleet trace f n1.log n2.log",
    "fleet trace 10 n1.log n2.log",
    "fleet trace 77 n1.log",
    "fleet trace 77 none.log",
    "release check plan.toml --fleet fleet.toml",
    "check plan.toml",
    "check fleet.toml",
    "check plan.toml --fleet fleet.toml",
    "check none.toml",
    "check n1.log",
];

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Starts a server that answers queries with this status, and orders according to their unit.
fn start_admin_interface(status: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            answer(stream.expect("a connection"), &status);
        }
    });
    address
}

fn answer(stream: TcpStream, status: &str) {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader.read_line(&mut request_line).expect("a request");
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).expect("a header");
        if let Some(value) = header.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("a length");
        }
        if header.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    let (code, reply) = if request_line.starts_with("GET /v1/fleet/status ") {
        (200, status.to_owned())
    } else {
        reply_to_order(&request_line, &body)
    };
    let mut stream = reader.into_inner();
    write!(stream, "HTTP/1.1 {code} X\r\nContent-Length: {}\r\n\r\n{reply}", reply.len())
        .expect("it is read");
}

fn reply_to_order(request_line: &str, body: &[u8]) -> (u16, String) {
    let order: serde_json::Value = serde_json::from_slice(body).expect("an order");
    let text = format!("{} {order}", request_line.trim());
    match order["unit"].as_str() {
        Some("refused") => (409, r#"{"done":false,"why":"too many are out"}"#.to_owned()),
        Some("misspelt") => (400, r#"{"error":"no such unit"}"#.to_owned()),
        _ => (200, serde_json::json!({"done": true, "said": text}).to_string()),
    }
}

/// The command line, its output and its exit code.
fn transcript(command: &str, address: SocketAddr) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_glendeck"))
        .args(command.replace("ADDRESS", &address.to_string()).split(' '))
        .env("GLENDECK_DOOR", address.to_string())
        .current_dir(fixture(""))
        .output()
        .expect("the command runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&address.to_string(), "ADDRESS");
    let code = output.status.code().expect("it exits");
    format!("$ glendeck {command}\n{}{}exit {code}\n\n", text(&output.stdout), text(&output.stderr))
}

fn compare(name: &str, commands: &[&str], address: SocketAddr) {
    let now: String = commands.iter().map(|command| transcript(command, address)).collect();
    let path = fixture(&format!("{name}.txt"));
    if std::env::var_os("RECORD_COMMANDS").is_some() {
        std::fs::write(&path, &now).expect("the transcript is written");
    }
    let recorded = std::fs::read_to_string(&path).expect("a recorded transcript");
    for (recorded, now) in recorded.lines().zip(now.lines()) {
        assert_eq!(recorded, now);
    }
    assert_eq!(recorded.lines().count(), now.lines().count(), "now:\n{now}");
}

#[test_case("busy")]
#[test_case("halted")]
#[test_case("quiet")]
#[test_case("finished")]
fn status_output_matches_the_transcript(name: &str) {
    let status = std::fs::read_to_string(fixture(&format!("{name}.json"))).expect("a status");
    compare(name, QUERIES, start_admin_interface(status));
}

#[test_case("halted")]
#[test_case("quiet")]
#[test_case("finished")]
fn watch_ends_when_no_release_is_running(name: &str) {
    let status = std::fs::read_to_string(fixture(&format!("{name}.json"))).expect("a status");
    let commands = ["release status --watch", "release status --watch --json"];
    compare(&format!("watch_{name}"), &commands, start_admin_interface(status));
}

#[test]
fn order_output_matches_the_transcript() {
    compare("orders", ORDERS, start_admin_interface(String::new()));
}

#[test]
fn offline_command_output_matches_the_transcript() {
    compare("offline", OFFLINE, start_admin_interface(String::new()));
}

#[test]
fn unreachable_node_is_reported_with_exit_code_3() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    compare("unanswered", &["fleet status", "fleet work", "drain n3 --id x --json"], address);
}
