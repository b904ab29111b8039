//! Tests of the line protocol: which first lines are accepted, and every parsed and written form against a
//! trace.

use std::fmt::Write as _;
use std::ops::Range;

use glendeck::domain::Span;
use test_case::test_case;

use super::{Answer, ClientMessage, HostMessage, Names};
use crate::hash::hash_name;

/// One line for each parsed or written message, as recorded before the parser was restructured.
const TRACE: &str = include_str!("../../tests/fixtures/protocol-trace.txt");

fn names(groups: bool) -> Names {
    let traffic = vec!["chat".to_owned(), "pay".to_owned()];
    let tenants = vec!["one".to_owned(), "two".to_owned()];
    Names { traffic, tenants, groups }
}

#[test_case("OPEN 9b1f 7f3a c=chat,t=one,d=2000,g=5c0f,r=1,again=0,h=1.5,zz=9\r\n", true; "all fields but at, and an unknown one")]
#[test_case("OPEN 9b1f - c=chat,d=4294967,at=s-1\r\n", true; "with a previous host")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=2000\n", false; "no CR")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=2000 \r\n", false; "a stray space")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=20\x0000\r\n", false; "a stray byte")]
#[test_case("OPEN 7f3a c=chat,d=2000\r\n", false; "no id")]
#[test_case("OPEN +9b1f 7f3a c=chat,d=2000\r\n", false; "an id with a sign")]
#[test_case("OPEN 9b1f9b1f9b1f9b1f9 7f3a c=chat,d=2000\r\n", false; "an id of 17 digits")]
#[test_case("OPEN 9b1f 7f3a c=chats,d=2000\r\n", false; "no such traffic type")]
#[test_case("OPEN 9b1f 7f3a c=chat,t=,d=2000\r\n", false; "no tenant named")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=soon\r\n", false; "time is not a number")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=-5\r\n", false; "a negative time")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=+5\r\n", false; "a time with a sign")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=1e3\r\n", false; "a time with an exponent")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=0\r\n", false; "zero time")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=99999999999999999999999\r\n", false; "a huge time")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=2000,d=3000\r\n", false; "duplicate field")]
#[test_case("OPEN 9b1f 7f3a c=chat,d=2000,r=2\r\n", false; "invalid flag")]
#[test_case("OPEN 9b1f 7f3a c=chat,,d=2000\r\n", false; "an empty field")]
#[test_case("PING \r\n", false; "PING with a trailing space")]
fn only_well_formed_open_lines_are_accepted(line: &str, accepted: bool) {
    let message = ClientMessage::parse(line.as_bytes().to_vec(), &names(true));
    assert_eq!(matches!(message, Ok(ClientMessage::Open(_))), accepted, "{message:?}");
}

const FIRST_LINES: &[&str] = &[
    "PING\r\n",
    "PING\n",
    "PING \r\n",
    "ping\r\n",
    "\r\n",
    "\n",
    "OPEN\r\n",
    "OPEN \r\n",
    "OPEN 9b1f\r\n",
    "OPEN 9b1f 7f3a\r\n",
    "OPEN  7f3a c=chat,d=1\r\n",
    "OPEN 9b1f 7f3a c=chat,d=2000\r\n",
    "OPEN 9b1f 7f3a c=chat,d=2000 more\r\n",
    "OPEN 9b1f 7f3a c=pay,t=two,d=2000.5,g=5c0f,r=1,again=0,h=1.5,zz=9\r\n",
    "OPEN 9b1f 7f3a c=pay,d=1500,again=1,at=s-1\r\n",
    "OPEN 9b1f - c=chat,d=4294967,at=s-1\r\n",
    "OPEN 9b1f somebody c=chat,d=1,g=team\r\n",
    "OPEN 9b1f 0 c=chat,d=1,g=-\r\n",
    "OPEN 9b1f 00000000000000001 c=chat,d=1\r\n",
    "OPEN ffffffffffffffff FFFF c=chat,d=0.0001\r\n",
    "OPEN 9b1fg 7f3a c=chat,d=1\r\n",
    "OPEN +9b1f 7f3a c=chat,d=1\r\n",
    "OPEN 9b1f9b1f9b1f9b1f9 7f3a c=chat,d=1\r\n",
    "OPEN 9b1f 7f3a d=1\r\n",
    "OPEN 9b1f 7f3a c=chat\r\n",
    "OPEN 9b1f 7f3a c=chat,d=0\r\n",
    "OPEN 9b1f 7f3a c=fax,d=1\r\n",
    "OPEN 9b1f 7f3a c=chat,t=three,d=1\r\n",
    "OPEN 9b1f 7f3a c=chat,t=,d=1\r\n",
    "OPEN 9b1f 7f3a c=chat,,d=1\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,d=2\r\n",
    "OPEN 9b1f 7f3a c=chat,d=86400000\r\n",
    "OPEN 9b1f 7f3a c=chat,d=86400001\r\n",
    "OPEN 9b1f 7f3a c=chat,d=-5\r\n",
    "OPEN 9b1f 7f3a c=chat,d=+5\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1e3\r\n",
    "OPEN 9b1f 7f3a c=chat,d=.5\r\n",
    "OPEN 9b1f 7f3a c=chat,d=5.\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1.2.3\r\n",
    "OPEN 9b1f 7f3a c=chat,d=inf\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,h=1000000000\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,h=1000000001\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,r=2\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,again=yes\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,x=a=b\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,=x\r\n",
    "OPEN 9b1f 7f3a c=chat,d=20\x0000\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1\u{e9}\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,a1=1,a2=1,a3=1,a4=1,a5=1,a6=1,a7=1,a8=1,a9=1,b0=1,b1=1,b2=1,b3=1,b4=1,b5=1,b6=1,\
     b7=1,b8=1,b9=1,c0=1,c1=1,c2=1,c3=1,c4=1,c5=1,c6=1,c7=1,c8=1,c9=1,d0=1\r\n",
    "OPEN 9b1f 7f3a c=chat,d=1,a1=1,a2=1,a3=1,a4=1,a5=1,a6=1,a7=1,a8=1,a9=1,b0=1,b1=1,b2=1,b3=1,b4=1,b5=1,b6=1,\
     b7=1,b8=1,b9=1,c0=1,c1=1,c2=1,c3=1,c4=1,c5=1,c6=1,c7=1,c8=1,c9=1,d0=1,d1=1\r\n",
];

const HOST_LINES: &[&str] = &[
    "UP\r\n",
    "UP",
    "UP\n",
    "UP\r",
    "UP now\r\n",
    "UPS\r\n",
    "up\r\n",
    "BYE\r\n",
    "BYE well\r\n",
    "MOVE\r\n",
    "ERR\r\n",
    "ERROR\r\n",
    "BUSY\r\n",
    "BUSY 500\r\n",
    "PONG\r\n",
    "LOAD 250000\r\n",
    "LOAD  2.5e3 \r\n",
    "LOAD 1000000000000\r\n",
    "LOAD 1000000000001\r\n",
    "LOAD -1\r\n",
    "LOAD nan\r\n",
    "LOAD\r\n",
    "LOAD \u{e9}\r\n",
    " UP\r\n",
    "hello\r\n",
    "\r\n",
    "",
];

/// Spans from below a millisecond up to a minute.
const WAITS: [Span; 4] = [Span(1), Span(1_999_999), Span(1_500_000_000), Span(60_000_000_000)];

fn first_line_record(line: &str, names: &Names) -> String {
    let request = match ClientMessage::parse(line.as_bytes().to_vec(), names) {
        Ok(ClientMessage::Ping) => return "ping".to_owned(),
        Ok(ClientMessage::Open(request)) => request,
        Err(error) => return format!("error: {error}"),
    };
    let Range { start, end } = request.line.wait_range;
    let mut record = format!(
        "open id={:x} class={} tenant={} subject={:x?} group={:x?} wait_ns={} wait_at={start}..{end} load={:?} \
         returning={} repeat={} again={} at={:x?} written",
        request.id.0,
        request.traffic.0,
        request.tenant.0,
        request.subject.map(|subject| subject.0),
        request.group.map(|group| group.0),
        request.wait.0,
        request.load,
        request.is_returning(),
        request.is_repeat,
        request.is_reconnect,
        request.previous_host.map(|host| host.0),
    );
    for wait in WAITS {
        let mut written = Vec::new();
        request.line.encode(wait, &mut written);
        write!(record, " {:?}", String::from_utf8_lossy(&written)).unwrap();
    }
    record
}

fn host_message_record(message: HostMessage) -> String {
    match message {
        HostMessage::Up => "up".to_owned(),
        HostMessage::Bye => "bye".to_owned(),
        HostMessage::Move => "move".to_owned(),
        HostMessage::Error => "error".to_owned(),
        HostMessage::Busy => "busy".to_owned(),
        HostMessage::Pong => "pong".to_owned(),
        HostMessage::Load(load) => format!("load {load:?}"),
        HostMessage::Other => "other".to_owned(),
    }
}

fn answer_record(answer: Answer) -> String {
    let mut written = Vec::new();
    answer.encode(&mut written);
    format!("{:?}", String::from_utf8_lossy(&written))
}

fn trace() -> String {
    let mut trace = String::new();
    for groups in [true, false] {
        for line in FIRST_LINES {
            let record = first_line_record(line, &names(groups));
            writeln!(trace, "first groups={groups} {line:?} -> {record}").unwrap();
        }
    }
    for line in HOST_LINES {
        let record = host_message_record(HostMessage::parse(line.as_bytes()));
        writeln!(trace, "host {line:?} -> {record}").unwrap();
    }
    for (name, answer) in [
        ("pong", Answer::Pong),
        ("error", Answer::Error),
        ("busy", Answer::Busy(None)),
        ("move", Answer::Move),
    ] {
        writeln!(trace, "answer {name} -> {}", answer_record(answer)).unwrap();
    }
    for wait in WAITS {
        writeln!(trace, "answer busy {} -> {}", wait.0, answer_record(Answer::Busy(Some(wait)))).unwrap();
    }
    for bytes in ["", "\n", "UP", "UP\r\n", "UP\r\nBYE", "UP\r\nBYE\r\n"] {
        let first = super::first_line_length(bytes.as_bytes());
        let whole = super::complete_lines_length(bytes.as_bytes());
        writeln!(trace, "frame {bytes:?} -> first={first:?} whole={whole}").unwrap();
    }
    for name in ["", "s-1", "team"] {
        writeln!(trace, "name {name:?} -> {:016x}", hash_name(name)).unwrap();
    }
    writeln!(trace, "probe -> {:?}", String::from_utf8_lossy(super::PROBE)).unwrap();
    trace
}

#[test]
fn messages_parse_and_encode_as_recorded() {
    let trace = trace();
    for (line, (now, recorded)) in trace.lines().zip(TRACE.lines()).enumerate() {
        assert_eq!(now, recorded, "line {} of the trace", line + 1);
    }
    assert_eq!(trace, TRACE);
}
