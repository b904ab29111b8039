//! The simulator's frames: batches in, one reply each out, for all instances of this process.

use std::io::{self, Read};

use glendeck::Node;
use glendeck::domain::*;
use glendeck::port::Port;
use glendeck_settings::SettingsMap;
use rustc_hash::FxHashMap;

pub const HEADER: usize = 20;
const EVENT: usize = 64;
const ACTION: usize = 32;
const LIST_LINE: usize = 25;

#[derive(Debug, thiserror::Error)]
pub enum WireError {
    #[error("cannot use the wire: {0}")]
    Io(#[from] io::Error),
    #[error("input ended inside a frame, after {got} of {wanted} bytes of its {part}")]
    Truncated { part: &'static str, got: usize, wanted: usize },
    #[error("batch {batch}, byte 4: {records} records need {needed} bytes, the header says {length}")]
    Length { batch: u32, records: u32, needed: u64, length: u32 },
    #[error("batch {batch}, byte 12: the clock {clock} is no usable time")]
    Clock { batch: u32, clock: f64 },
    #[error("batch {batch}, record {record}, byte {byte}: unknown {what} {code}")]
    Code { batch: u32, record: usize, byte: usize, what: &'static str, code: u64 },
    #[error("batch {batch}, record {record}, byte {byte}: {what} reaches past the frame's tail")]
    Tail { batch: u32, record: usize, byte: usize, what: &'static str },
    #[error("batch {batch}, record {record}, byte {byte}: {value} is no usable {what}")]
    Value { batch: u32, record: usize, byte: usize, what: &'static str, value: f64 },
    #[error("batch {batch}, record {record}, byte {byte}: instance {instance} was never started")]
    NeverStarted { batch: u32, record: usize, byte: usize, instance: u32 },
    #[error("batch {batch}, record {record}: instance {instance}: {fault}")]
    Profile { batch: u32, record: usize, instance: u32, fault: glendeck_settings::SettingsError },
    #[error("batch {batch}, record {record}: the settings of instance {instance} are not UTF-8")]
    Text { batch: u32, record: usize, instance: u32 },
}

pub struct Frame {
    batch: u32,
    records: usize,
    now: Time,
}

/// Reads one batch; `None` when the input has ended before it.
pub fn read_frame(
    input: &mut impl Read,
    head: &mut [u8; HEADER],
    body: &mut Vec<u8>,
) -> Result<Option<Frame>, WireError> {
    match fill(input, head)? {
        0 => return Ok(None),
        HEADER => {}
        got => {
            return Err(WireError::Truncated { part: "header", got, wanted: HEADER });
        }
    }
    let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (batch, length, records) = (word(0), word(4), word(8));
    let clock =
        f64::from_be_bytes([head[12], head[13], head[14], head[15], head[16], head[17], head[18], head[19]]);
    let needed = u64::from(records) * EVENT as u64;
    if needed > u64::from(length) {
        return Err(WireError::Length { batch, records, needed, length });
    }
    let now = time(clock).ok_or(WireError::Clock { batch, clock })?;
    body.clear();
    let got = input.by_ref().take(u64::from(length)).read_to_end(body)?;
    if got < length as usize {
        return Err(WireError::Truncated { part: "body", got, wanted: length as usize });
    }
    Ok(Some(Frame { batch, records: records as usize, now }))
}

fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

fn time(ms: f64) -> Option<Time> {
    (ms.is_finite() && (0.0..1e12).contains(&ms)).then(|| Time((ms * 1e6).round() as u64))
}

/// One event record with its place in the input, for plain messages.
struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
    batch: u32,
    number: usize,
    now: Time,
}

impl<'a> Record<'a> {
    fn byte(&self, at: usize) -> usize {
        HEADER + self.number * EVENT + at
    }

    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        std::array::from_fn(|i| self.bytes[at + i])
    }

    fn u8(&self, at: usize) -> u8 {
        self.bytes[at]
    }

    fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.take(at))
    }

    fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.take(at))
    }

    fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.take(at))
    }

    fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.take(at)))
    }

    fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.take(at))
    }

    fn host(&self, at: usize) -> HostId {
        host(self.take(at))
    }

    fn code(&self, at: usize, what: &'static str) -> WireError {
        let code = u64::from(self.u8(at));
        WireError::Code { batch: self.batch, record: self.number, byte: self.byte(at), what, code }
    }

    fn value(&self, at: usize, what: &'static str, value: f64) -> WireError {
        WireError::Value { batch: self.batch, record: self.number, byte: self.byte(at), what, value }
    }

    fn time(&self, at: usize) -> Result<Time, WireError> {
        let ms = self.f64(at);
        time(ms).ok_or_else(|| self.value(at, "time", ms))
    }

    fn span(&self, at: usize) -> Result<Span, WireError> {
        let ms = self.f64(at);
        time(ms).map(|t| t.since(Time(0))).ok_or_else(|| self.value(at, "duration", ms))
    }

    fn load(&self, at: usize, value: f64, per_second: f64) -> Result<f64, WireError> {
        if value.is_finite() && value >= 0.0 {
            Ok(value / per_second)
        } else {
            Err(self.value(at, "load", value))
        }
    }

    fn outcome(&self, at: usize) -> Result<AttemptOutcome, WireError> {
        Ok(match self.u8(at) {
            0 => AttemptOutcome::Completed,
            1 => AttemptOutcome::Error,
            2 => AttemptOutcome::Rejected,
            3 => AttemptOutcome::TimedOut,
            4 => AttemptOutcome::Unreachable,
            5 => AttemptOutcome::Broken,
            6 => AttemptOutcome::Canceled,
            7 => AttemptOutcome::NeverSent,
            _ => return Err(self.code(at, "outcome")),
        })
    }

    /// The part of the tail that the offset and count at `at` name.
    fn tail(&self, at: usize, size: usize, what: &'static str) -> Result<&'a [u8], WireError> {
        let (from, count) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let part = count.checked_mul(size).and_then(|len| from.checked_add(len));
        part.and_then(|end| self.tail.get(from..end)).ok_or(WireError::Tail {
            batch: self.batch,
            record: self.number,
            byte: self.byte(at),
            what,
        })
    }

    /// A call; its fields lie at other places for new and for open connections.
    fn call(
        &self,
        lane: usize,
        guard: usize,
        marks: usize,
        team: usize,
        org: usize,
        subject: usize,
    ) -> Result<Call, WireError> {
        let marked = self.u16(marks);
        let expected = team + 8 + if org > team { 4 } else { 0 };
        let load = match marked & 1 != 0 {
            true => Some(self.load(expected, self.f64(expected), 1e3)?),
            false => None,
        };
        Ok(Call {
            id: CallId(self.u64(5)),
            traffic: ClassId(self.u8(lane)),
            tenant: TenantId(self.u32(org)),
            subject: Some(SubjectId(self.u64(subject))).filter(|subject| subject.0 != 0),
            group: Some(GroupId(self.u64(team))).filter(|group| group.0 != 0),
            guard: self.time(guard)?,
            load,
            returning: marked & (2 | 16) != 0,
            mid_flow: marked & 8 != 0,
            before: None,
        })
    }

    fn list(&self, lines: &mut Vec<Endpoint>) -> Result<(), WireError> {
        lines.clear();
        for line in self.tail(10, LIST_LINE, "the host list")?.chunks_exact(LIST_LINE) {
            let word = |at: usize| u16::from_be_bytes([line[at], line[at + 1]]);
            let condition = match line[14] {
                0 => Condition::Gone,
                1 => Condition::Ready,
                2 => Condition::Draining,
                other => {
                    let (batch, record, byte) = (self.batch, self.number, self.byte(10));
                    let code = u64::from(other);
                    return Err(WireError::Code { batch, record, byte, what: "host condition", code });
                }
            };
            let up = f64::from_be_bytes(std::array::from_fn(|i| line[17 + i]));
            let up = time(up).ok_or_else(|| self.value(10, "start time in the host list", up))?;
            let weight = f64::from(f32::from_be_bytes([line[0], line[1], line[2], line[3]]));
            if !weight.is_finite() || weight < 0.0 {
                return Err(self.value(10, "share in the host list", weight));
            }
            lines.push(Endpoint {
                host: host(std::array::from_fn(|i| line[8 + i])),
                zone: Zone(word(6)),
                cell: Cell(word(4)),
                condition,
                weight: Weight(weight),
                kind: Some(Kind(u64::from(word(15)))),
                up_since: Some(up).filter(|up| up.0 != 0),
            });
        }
        Ok(())
    }
}

fn host(bytes: [u8; 6]) -> HostId {
    HostId(bytes.iter().fold(0, |id, byte| id << 8 | u64::from(*byte)))
}

/// All instances that this process hosts; one that went down keeps its number.
#[derive(Default)]
pub struct Tier {
    /// Each with how many traffic classes it knows.
    nodes: FxHashMap<u32, Option<(usize, Node)>>,
    lines: Vec<Endpoint>,
}

impl Tier {
    pub fn answer(&mut self, frame: &Frame, body: &[u8], reply: &mut Vec<u8>) -> Result<(), WireError> {
        let (records, tail) = body.split_at(frame.records * EVENT);
        reply.extend_from_slice(&frame.batch.to_be_bytes());
        reply.extend_from_slice(&[0; 8]);
        for (number, bytes) in records.chunks_exact(EVENT).enumerate() {
            self.event(&Record { bytes, tail, batch: frame.batch, number, now: frame.now }, reply)?;
        }
        let length = (reply.len() - 12) as u32;
        reply[4..8].copy_from_slice(&(length / ACTION as u32).to_be_bytes());
        reply[8..12].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    fn event(&mut self, record: &Record, reply: &mut Vec<u8>) -> Result<(), WireError> {
        let instance = record.u32(1);
        let out = &mut Outbox { instance, reply };
        let (batch, number, now) = (record.batch, record.number, record.now);
        if !(1..=12).contains(&record.u8(0)) {
            return Err(record.code(0, "event"));
        }
        if record.u8(0) == 1 {
            let text = std::str::from_utf8(record.tail(13, 1, "the settings")?);
            let text = text.map_err(|_| WireError::Text { batch, record: number, instance })?;
            let settings =
                SettingsMap::from_lines(text).and_then(|pairs| glendeck_settings::settings(&pairs));
            let settings =
                settings.map_err(|fault| WireError::Profile { batch, record: number, instance, fault })?;
            let types = settings.traffic.len();
            self.nodes.insert(instance, Some((types, Node::start(settings, record.u64(5), now, out))));
            return Ok(());
        }
        let slot = self.nodes.get_mut(&instance);
        let slot =
            slot.ok_or(WireError::NeverStarted { batch, record: number, byte: record.byte(1), instance })?;
        if record.u8(0) == 10 {
            *slot = None;
            return Ok(());
        }
        let Some((types, node)) = slot else { return Ok(()) };
        let knows = |call: &Call| usize::from(call.traffic.0) < *types;
        let (call, attempt) = (CallId(record.u64(5)), |at| AttemptNumber(record.u16(at)));
        match record.u8(0) {
            2 => {
                let update = match record.u8(5) {
                    1 => {
                        node.watch_failed(now, out);
                        return Ok(());
                    }
                    2 => ListUpdate::Complete,
                    3 => ListUpdate::Cached,
                    4 => ListUpdate::Delta,
                    _ => return Err(record.code(5, "list form")),
                };
                record.list(&mut self.lines)?;
                node.endpoints_changed(now, update, &self.lines, out);
            }
            3 => {
                let call = record.call(25, 26, 34, 36, 21, 13)?;
                if !knows(&call) {
                    return Err(record.code(25, "traffic type"));
                }
                node.call_arrived(now, call, out);
            }
            11 => {
                let call = record.call(57, 23, 13, 31, 39, 15)?;
                if !knows(&call) {
                    return Err(record.code(57, "traffic type"));
                }
                node.existing_connection(now, call, record.host(51));
            }
            4 => node.attempt_established(now, call, attempt(13), record.span(21)?, out),
            5 => {
                let (outcome, ended) = (record.outcome(21)?, record.u8(30) != 0);
                node.attempt_ended(now, call, attempt(13), outcome, ended, out);
            }
            6 => node.client_left(now, call, out),
            7 => node.timer_fired(now, TimerToken(record.u32(5)), out),
            8 => node.probe_finished(now, record.host(13), record.outcome(19)?, record.span(5)?, out),
            9 => {
                record.tail(9, 1, "the message")?;
            }
            12 => {
                let news = match record.u8(13) {
                    1 => News::Load(record.load(20, record.f32(20), 1e6)?),
                    2 => News::MessageTime(Span::from_seconds(record.load(20, record.f32(20), 1e3)?)),
                    _ => return Err(record.code(13, "note")),
                };
                node.attempt_report(now, call, attempt(24), news, out);
            }
            _ => unreachable!("codes were checked above"),
        }
        Ok(())
    }
}

/// Writes what one instance does as action records.
struct Outbox<'a> {
    instance: u32,
    reply: &'a mut Vec<u8>,
}

impl Outbox<'_> {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.reply.len();
        self.reply.push(code);
        self.reply.extend_from_slice(&self.instance.to_be_bytes());
        for field in fields {
            self.reply.extend_from_slice(field);
        }
        self.reply.resize(start + ACTION, 0);
    }
}

fn ms(ns: u64) -> [u8; 8] {
    (ns as f64 / 1e6).to_be_bytes()
}

fn address(host: &HostId) -> [u8; 6] {
    let bytes = host.0.to_be_bytes();
    std::array::from_fn(|i| bytes[2 + i])
}

impl Port for Outbox<'_> {
    fn send_attempt(&mut self, call: CallId, host: HostId, within: Span) {
        self.record(5, &[&call.0.to_be_bytes(), &ms(within.0), &address(&host)]);
    }

    fn reject(&mut self, call: CallId, retry_after: Option<Span>) {
        self.record(13, &[&call.0.to_be_bytes(), &ms(retry_after.unwrap_or_default().0)]);
    }

    fn fail(&mut self, call: CallId) {
        self.record(7, &[&call.0.to_be_bytes()]);
    }

    fn cancel(&mut self, call: CallId, attempt: AttemptNumber) {
        self.record(9, &[&call.0.to_be_bytes(), &attempt.0.to_be_bytes()]);
    }

    fn migrate(&mut self, call: CallId) {
        self.record(10, &[&call.0.to_be_bytes()]);
    }

    fn probe(&mut self, host: HostId) {
        self.record(3, &[&address(&host)]);
    }

    fn fetch_endpoints(&mut self) {
        self.record(2, &[]);
    }

    fn watch_endpoints(&mut self) {
        self.record(11, &[&[1]]);
    }

    fn set_timer(&mut self, time: Time, token: TimerToken) {
        self.record(8, &[&ms(time.0), &token.0.to_be_bytes()]);
    }
}
