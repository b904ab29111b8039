//! Reads the fields of an event's record by their byte offset.

use glendeck::domain::{AttemptNumber, AttemptOutcome, HostId, Span, Time};

use crate::error::WireError;
use crate::units::time_from_ms;

/// Length of a batch's header in bytes.
pub(crate) const HEADER_BYTES: usize = 20;

/// Length of an event's record in bytes.
pub(crate) const EVENT_BYTES: usize = 64;

/// Length of a host's address in bytes; the address is the host's id.
pub(crate) const HOST_BYTES: usize = 6;

/// One event's record.
pub(crate) struct EventRecord<'a> {
    batch: u32,
    /// Index of the record in the batch, from 0.
    number: usize,
    bytes: &'a [u8],
    tail: &'a [u8],
}

impl<'a> EventRecord<'a> {
    /// The record with this index in a batch; `bytes` is [`EVENT_BYTES`] long.
    pub(crate) fn new(batch: u32, number: usize, bytes: &'a [u8], tail: &'a [u8]) -> EventRecord<'a> {
        EventRecord { batch, number, bytes, tail }
    }

    /// The number of its batch.
    pub(crate) fn batch(&self) -> u32 {
        self.batch
    }

    /// Index of the record in the batch, from 0.
    pub(crate) fn number(&self) -> usize {
        self.number
    }

    /// Position in the frame of the field at offset `at` of the record.
    pub(crate) fn byte(&self, at: usize) -> usize {
        HEADER_BYTES + self.number * EVENT_BYTES + at
    }

    /// The `N` bytes at offset `at` of the record.
    pub(crate) fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        std::array::from_fn(|index| self.bytes[at + index])
    }

    /// The byte at `at`.
    pub(crate) fn u8(&self, at: usize) -> u8 {
        self.bytes[at]
    }

    /// An unsigned integer of two bytes.
    pub(crate) fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }

    /// An unsigned integer of four bytes.
    pub(crate) fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }

    /// An unsigned integer of eight bytes.
    pub(crate) fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }

    /// A floating-point number of four bytes.
    pub(crate) fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.bytes(at)))
    }

    /// A floating-point number of eight bytes.
    pub(crate) fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.bytes(at))
    }

    /// The host whose address is at `at`.
    pub(crate) fn host(&self, at: usize) -> HostId {
        host_id(self.bytes(at))
    }

    /// The number of a call's attempt.
    pub(crate) fn attempt_number(&self, at: usize) -> AttemptNumber {
        AttemptNumber(self.u16(at))
    }

    /// Reads a time that is given in ms.
    pub(crate) fn time(&self, at: usize) -> Result<Time, WireError> {
        let ms = self.f64(at);
        time_from_ms(ms).ok_or_else(|| self.value_error(at, "time", ms))
    }

    /// Reads a duration that is given in ms.
    pub(crate) fn span(&self, at: usize) -> Result<Span, WireError> {
        let ms = self.f64(at);
        let span = time_from_ms(ms).map(|time| time.since(Time(0)));
        span.ok_or_else(|| self.value_error(at, "duration", ms))
    }

    /// Converts a load or a time that was read at `at` to seconds of work per second, or to seconds; `value`
    /// is in units of which `per_second` make a second.
    pub(crate) fn load(&self, at: usize, value: f64, per_second: f64) -> Result<f64, WireError> {
        if !value.is_finite() || value < 0.0 {
            return Err(self.value_error(at, "load", value));
        }
        Ok(value / per_second)
    }

    /// The outcome of an attempt or a probe.
    pub(crate) fn outcome(&self, at: usize) -> Result<AttemptOutcome, WireError> {
        match self.u8(at) {
            0 => Ok(AttemptOutcome::Completed),
            1 => Ok(AttemptOutcome::Error),
            2 => Ok(AttemptOutcome::Rejected),
            3 => Ok(AttemptOutcome::TimedOut),
            4 => Ok(AttemptOutcome::Unreachable),
            5 => Ok(AttemptOutcome::Broken),
            6 => Ok(AttemptOutcome::Canceled),
            7 => Ok(AttemptOutcome::NeverSent),
            _ => Err(self.code_error(at, "outcome")),
        }
    }

    /// The part of the tail that the offset and count at `at` refer to, with entries of `entry_bytes` bytes.
    pub(crate) fn tail(
        &self,
        at: usize,
        entry_bytes: usize,
        what: &'static str,
    ) -> Result<&'a [u8], WireError> {
        let offset = self.u32(at) as usize;
        let count = self.u32(at + 4) as usize;
        let end = count.checked_mul(entry_bytes).and_then(|length| offset.checked_add(length));
        end.and_then(|end| self.tail.get(offset..end)).ok_or(WireError::Tail {
            batch: self.batch,
            record: self.number,
            byte: self.byte(at),
            what,
        })
    }

    /// An error: the byte at `at` is an unknown code.
    pub(crate) fn code_error(&self, at: usize, what: &'static str) -> WireError {
        self.code_error_with(at, what, self.u8(at))
    }

    /// An error: the field at `at` holds or refers to an unknown code.
    pub(crate) fn code_error_with(&self, at: usize, what: &'static str, code: u8) -> WireError {
        let byte = self.byte(at);
        WireError::Code { batch: self.batch, record: self.number, byte, what, code: u64::from(code) }
    }

    /// An error: the field at `at` holds or refers to an invalid number.
    pub(crate) fn value_error(&self, at: usize, what: &'static str, value: f64) -> WireError {
        WireError::Value { batch: self.batch, record: self.number, byte: self.byte(at), what, value }
    }
}

/// A host's id: its address read as a big-endian number.
pub(crate) fn host_id(address: [u8; HOST_BYTES]) -> HostId {
    HostId(address.iter().fold(0, |id, byte| id << 8 | u64::from(*byte)))
}
