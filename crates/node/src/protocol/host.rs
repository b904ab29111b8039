//! Parsing of the lines that hosts send.

/// One line from a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HostMessage {
    /// The connection is open.
    Up,
    /// The connection has ended normally.
    Bye,
    /// The host ends the connection and its client reconnects.
    Move,
    /// The call failed.
    Error,
    /// The host has no capacity left and ran nothing.
    Busy,
    /// The answer to a probe.
    Pong,
    /// The connection's load in seconds of work per second.
    Load(f64),
    /// Any other line, which is meant for the client.
    Other,
}

/// Maximum load in microseconds of work per second. More than a million cores is not a real load, and sums
/// of such values would not be finite.
const MAX_LOAD_MICROSECONDS: f64 = 1e12;

impl HostMessage {
    /// Parses one line, with or without its line ending.
    pub(crate) fn parse(line: &[u8]) -> HostMessage {
        let line = without_end(line);
        let (verb, arguments) = match line.iter().position(|byte| *byte == b' ') {
            Some(space) => (&line[..space], &line[space + 1..]),
            None => (line, &[][..]),
        };
        match verb {
            b"UP" => HostMessage::Up,
            b"BYE" => HostMessage::Bye,
            b"MOVE" => HostMessage::Move,
            b"ERR" => HostMessage::Error,
            b"BUSY" => HostMessage::Busy,
            b"PONG" => HostMessage::Pong,
            b"LOAD" => parse_load(arguments).map_or(HostMessage::Other, HostMessage::Load),
            _ => HostMessage::Other,
        }
    }
}

fn without_end(line: &[u8]) -> &[u8] {
    match line.strip_suffix(b"\n") {
        Some(line) => line.strip_suffix(b"\r").unwrap_or(line),
        None => line,
    }
}

fn parse_load(arguments: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(arguments).ok()?;
    let microseconds = super::parse_amount(text.trim(), "load").ok()?;
    (microseconds <= MAX_LOAD_MICROSECONDS).then_some(microseconds / 1e6)
}
