//! Lines of text, CRLF at the end: bytes to one typed value, and back.

use std::ops::Range;
use std::str::FromStr;

use glendeck::domain::{GroupId, HostId, Span, SubjectId, TenantId, TrafficId};

/// The longest line that a peer may send, its end included.
pub const LONGEST: usize = 4096;

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum LineFault {
    #[error("the line is no text")]
    NoText,
    #[error("the line is neither OPEN nor PING")]
    Verb,
    #[error("OPEN lacks {0}")]
    Missing(&'static str),
    #[error("OPEN has an unusable {0}")]
    Bad(&'static str),
}

/// The names that lines use for what the decisions number.
#[derive(PartialEq)]
pub struct Names {
    pub traffic: Vec<String>,
    pub tenants: Vec<String>,
    /// `g` names a group of clients, not the client itself.
    pub groups: bool,
}

/// How a connection begins.
#[derive(Debug, PartialEq)]
pub enum First {
    Ping,
    Open(Opening),
}

#[derive(Debug, PartialEq)]
pub struct Opening {
    pub traffic: TrafficId,
    pub tenant: TenantId,
    pub subject: Option<SubjectId>,
    pub group: Option<GroupId>,
    /// How long the client waits.
    pub wait: Span,
    /// Where that stands in the line.
    pub wait_at: Range<usize>,
    /// Seconds of work a second.
    pub load: Option<f64>,
    pub returning: bool,
    /// The connection was open at this host before.
    pub at: Option<HostId>,
}

/// What a host says before or among its lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Up,
    Bye,
    Move,
    Error,
    Busy,
    Pong,
    /// The connection's load, in seconds of work a second.
    Load(f64),
    Other,
}

/// How many bytes of `bytes` are whole lines.
pub fn whole_lines(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1)
}

/// The first line's length with its end, if it is whole.
pub fn first_line(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1)
}

fn bare(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\n").map_or(line, |line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// The same number at every node: names are compared by nothing else, so equal numbers must be out of reach
/// of chance. FNV-1a over 64 bits.
pub fn numbered(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// A guess at the load, in milliseconds of work a second.
fn guess(text: &str) -> Result<f64, LineFault> {
    Ok(amount(text, "h")?.min(1e9) / 1e3)
}

/// Ids are hexadecimal as a rule; any other text is numbered.
fn id(text: &str) -> Option<u64> {
    let number = u64::from_str_radix(text, 16).unwrap_or_else(|_| numbered(text));
    Some(number).filter(|number| *number != 0 && !text.is_empty() && text != "-")
}

fn amount(text: &str, what: &'static str) -> Result<f64, LineFault> {
    let number = f64::from_str(text).ok().filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or(LineFault::Bad(what))
}

fn index(names: &[String], name: &str, what: &'static str) -> Result<usize, LineFault> {
    names.iter().position(|known| known == name).ok_or(LineFault::Bad(what))
}

pub fn first(line: &[u8], names: &Names) -> Result<First, LineFault> {
    let text = std::str::from_utf8(bare(line)).map_err(|_| LineFault::NoText)?;
    let mut words = text.split(' ').filter(|word| !word.is_empty());
    match words.next() {
        Some("PING") => return Ok(First::Ping),
        Some("OPEN") => {}
        _ => return Err(LineFault::Verb),
    }
    words.next().ok_or(LineFault::Missing("an id"))?;
    let subject = id(words.next().ok_or(LineFault::Missing("a key"))?).map(SubjectId);
    let (mut traffic, mut wait) = (None, None);
    let mut opening = Opening {
        traffic: TrafficId(0),
        tenant: TenantId(0),
        subject,
        group: None,
        wait: Span::ZERO,
        wait_at: 0..0,
        load: None,
        returning: false,
        at: None,
    };
    for field in words.flat_map(|word| word.split(',')) {
        let (name, value) = field.split_once('=').unwrap_or((field, ""));
        match name {
            "c" => traffic = Some(TrafficId(index(&names.traffic, value, "c")? as u8)),
            "t" if !value.is_empty() => opening.tenant = TenantId(index(&names.tenants, value, "t")? as u32),
            "d" => {
                wait = Some(Span::from_seconds(amount(value, "d")? / 1e3));
                let at = value.as_ptr() as usize - line.as_ptr() as usize;
                opening.wait_at = at..at + value.len();
            }
            "g" if names.groups => opening.group = id(value).map(GroupId),
            "h" => opening.load = Some(guess(value)?),
            "r" | "again" => opening.returning |= value == "1",
            "at" => opening.at = Some(HostId(numbered(value))),
            _ => {}
        }
    }
    opening.traffic = traffic.ok_or(LineFault::Missing("c"))?;
    opening.wait = wait.ok_or(LineFault::Missing("d"))?;
    Ok(First::Open(opening))
}

/// The client's line as it goes on to a host: unchanged, but for how long the node waits.
pub fn encode_open(line: &[u8], wait_at: &Range<usize>, wait: Span, out: &mut Vec<u8>) {
    out.extend_from_slice(&line[..wait_at.start]);
    out.extend_from_slice((wait.0 / 1_000_000).max(1).to_string().as_bytes());
    out.extend_from_slice(&line[wait_at.end..]);
}

pub fn word(line: &[u8]) -> Word {
    let line = bare(line);
    let (verb, rest) = match line.iter().position(|byte| *byte == b' ') {
        Some(at) => (&line[..at], &line[at + 1..]),
        None => (line, &[][..]),
    };
    match verb {
        b"UP" => Word::Up,
        b"BYE" => Word::Bye,
        b"MOVE" => Word::Move,
        b"ERR" => Word::Error,
        b"BUSY" => Word::Busy,
        b"PONG" => Word::Pong,
        b"LOAD" => {
            let load = std::str::from_utf8(rest).ok().and_then(|text| amount(text.trim(), "load").ok());
            // More than a million cores is no load, and sums of such would be no numbers.
            let load = load.filter(|microseconds| *microseconds <= 1e12);
            load.map_or(Word::Other, |microseconds| Word::Load(microseconds / 1e6))
        }
        _ => Word::Other,
    }
}

/// A node's own words to a client.
pub enum Answer {
    Pong,
    Error,
    Busy(Option<Span>),
    Move,
}

pub fn encode_answer(answer: &Answer, out: &mut Vec<u8>) {
    let text: &[u8] = match answer {
        Answer::Pong => b"PONG\r\n",
        Answer::Error => b"ERR\r\n",
        Answer::Move => b"MOVE\r\n",
        Answer::Busy(None) => b"BUSY\r\n",
        Answer::Busy(Some(wait)) => {
            out.extend_from_slice(b"BUSY ");
            out.extend_from_slice((wait.0 / 1_000_000).to_string().as_bytes());
            b"\r\n"
        }
    };
    out.extend_from_slice(text);
}

pub const PROBE: &[u8] = b"PING\r\n";
