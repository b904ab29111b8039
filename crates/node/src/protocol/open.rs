//! Parsing of a connection's first line: `PING`, or `OPEN id key field=value,field=value,…`.

use std::ops::Range;

use glendeck::domain::{ClassId, GroupId, HostId, Span, SubjectId, TenantId};

use super::{ClientId, ClientMessage, Names, OpenLine, OpenRequest, ProtocolError};
use crate::hash::hash_name;

/// Maximum waiting time that a client may send, in milliseconds: one day. Clients whose connection was
/// open before the node started send hours.
const MAX_WAIT_MILLISECONDS: f64 = 86_400_000.0;

/// Maximum load in milliseconds of work per second. More than a million cores is not a real load.
const MAX_LOAD_MILLISECONDS: f64 = 1e9;

/// Maximum number of fields in one line; nine are in use.
const MAX_FIELDS: usize = 32;

impl ClientMessage {
    /// Parses a first line with its line ending.
    ///
    /// Parsing is strict: an invalid line that is forwarded costs a host a connection and counts as a failure
    /// of that host.
    ///
    /// # Errors
    ///
    /// Fails if the line is not exactly of the form that this module describes, has a value out of range, or
    /// uses a class or tenant that is not in `names`.
    pub(crate) fn parse(line: Vec<u8>, names: &Names) -> Result<ClientMessage, ProtocolError> {
        let text = printable_text(&line)?;
        if text == "PING" {
            return Ok(ClientMessage::Ping);
        }
        let arguments = text.strip_prefix("OPEN ").ok_or(ProtocolError::UnknownVerb)?;
        let mut words = arguments.split(' ');
        let mut next_word =
            |name| words.next().filter(|word| !word.is_empty()).ok_or(ProtocolError::Missing(name));
        let id = next_word("an id")?;
        let key = next_word("a key")?;
        let list = next_word("a list")?;
        if words.next().is_some() {
            return Err(ProtocolError::Invalid("word behind its list"));
        }
        let id = ClientId(parse_hexadecimal(id).ok_or(ProtocolError::Invalid("id"))?);
        let subject = parse_key(key).map(SubjectId);
        // The list is the last word of the text.
        let fields = OpenFields::parse(list, text.len() - list.len(), names)?;
        Ok(ClientMessage::Open(OpenRequest {
            id,
            subject,
            traffic: fields.traffic.ok_or(ProtocolError::Missing("c"))?,
            tenant: fields.tenant,
            group: fields.group,
            wait: fields.wait.ok_or(ProtocolError::Missing("d"))?,
            load: fields.load,
            is_repeat: fields.is_repeat,
            is_reconnect: fields.is_reconnect,
            previous_host: fields.previous_host,
            line: OpenLine { bytes: line, wait_range: fields.wait_range },
        }))
    }
}

/// The field list of an `OPEN` line.
#[derive(Default)]
struct OpenFields {
    traffic: Option<ClassId>,
    tenant: TenantId,
    group: Option<GroupId>,
    wait: Option<Span>,
    /// Position of the waiting time in the line.
    wait_range: Range<usize>,
    load: Option<f64>,
    is_repeat: bool,
    is_reconnect: bool,
    previous_host: Option<HostId>,
}

impl OpenFields {
    /// Parses the field list, which begins at `list_start` in the line.
    fn parse(list: &str, list_start: usize, names: &Names) -> Result<OpenFields, ProtocolError> {
        let mut fields = OpenFields::default();
        let mut field_start = list_start;
        for (index, field) in list.split(',').enumerate() {
            let (name, value) = field.split_once('=').ok_or(ProtocolError::Invalid("list"))?;
            let is_duplicate =
                || list.split(',').take(index).any(|earlier| earlier.split('=').next() == Some(name));
            if name.is_empty() || value.is_empty() || index >= MAX_FIELDS || is_duplicate() {
                return Err(ProtocolError::Invalid("list"));
            }
            let value_start = field_start + name.len() + 1;
            fields.set(name, value, value_start, names)?;
            field_start += field.len() + 1;
        }
        Ok(fields)
    }

    /// Sets one field. Unknown fields are ignored, as they are meant for the host.
    fn set(
        &mut self,
        name: &str,
        value: &str,
        value_start: usize,
        names: &Names,
    ) -> Result<(), ProtocolError> {
        match name {
            "c" => self.traffic = Some(ClassId(position(&names.traffic, value, "c")? as u8)),
            "t" => self.tenant = TenantId(position(&names.tenants, value, "t")? as u32),
            "d" => {
                let milliseconds = parse_decimal(value, "d", MAX_WAIT_MILLISECONDS)?;
                let wait = Span::from_seconds(milliseconds / 1e3);
                self.wait = Some(wait).filter(|wait| *wait > Span::ZERO);
                self.wait_range = value_start..value_start + value.len();
            }
            "g" if names.groups => self.group = parse_key(value).map(GroupId),
            "h" => self.load = Some(parse_decimal(value, "h", MAX_LOAD_MILLISECONDS)? / 1e3),
            "r" => self.is_repeat = parse_flag(value, "r")?,
            "again" => self.is_reconnect = parse_flag(value, "again")?,
            "at" => self.previous_host = Some(HostId(hash_name(value))),
            _ => {}
        }
        Ok(())
    }
}

/// The line without its CRLF, if it is printable ASCII.
fn printable_text(line: &[u8]) -> Result<&str, ProtocolError> {
    let line = line.strip_suffix(b"\r\n").ok_or(ProtocolError::NotText)?;
    let text = std::str::from_utf8(line).map_err(|_| ProtocolError::NotText)?;
    let is_printable = text.bytes().all(|byte| (b' '..=b'~').contains(&byte));
    if is_printable { Ok(text) } else { Err(ProtocolError::NotText) }
}

/// Up to 16 hexadecimal digits and nothing else.
fn parse_hexadecimal(text: &str) -> Option<u64> {
    let is_number = (1..=16).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_number { u64::from_str_radix(text, 16).ok() } else { None }
}

/// Parses a key or group. Most are hexadecimal; any other text is hashed. `-` and 0 mean none.
fn parse_key(text: &str) -> Option<u64> {
    let number = parse_hexadecimal(text).unwrap_or_else(|| hash_name(text));
    Some(number).filter(|number| *number != 0 && text != "-")
}

/// Parses decimal digits with an optional fraction. The standard parser also accepts signs, exponents and
/// words such as `inf`, which hosts refuse.
fn parse_decimal(text: &str, field: &'static str, maximum: f64) -> Result<f64, ProtocolError> {
    let is_plain = text.starts_with(|first: char| first.is_ascii_digit())
        && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = super::parse_amount(text, field)?;
    if is_plain && number <= maximum { Ok(number) } else { Err(ProtocolError::Invalid(field)) }
}

fn parse_flag(text: &str, field: &'static str) -> Result<bool, ProtocolError> {
    match text {
        "0" => Ok(false),
        "1" => Ok(true),
        _ => Err(ProtocolError::Invalid(field)),
    }
}

fn position(names: &[String], name: &str, field: &'static str) -> Result<usize, ProtocolError> {
    names.iter().position(|known| known == name).ok_or(ProtocolError::Invalid(field))
}
