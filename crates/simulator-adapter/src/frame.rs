//! Decodes frames: a header, records of a fixed size, and a tail with data of variable size.

use std::io::{self, Read};

use glendeck::domain::Time;

use crate::error::WireError;
use crate::record::{EVENT_BYTES, EventRecord, HEADER_BYTES};
use crate::units::time_from_ms;

/// One batch of events.
pub(crate) struct Frame<'a> {
    /// The batch's number, which the reply repeats.
    pub batch: u32,
    /// The time of all its events.
    pub now: Time,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Frame<'a> {
    /// The events in order.
    pub(crate) fn events(&self) -> impl Iterator<Item = EventRecord<'a>> + use<'a> {
        let batch = self.batch;
        let tail = self.tail;
        let records = self.records.chunks_exact(EVENT_BYTES).enumerate();
        records.map(move |(number, bytes)| EventRecord::new(batch, number, bytes, tail))
    }
}

struct Header {
    batch: u32,
    length: u32,
    records: u32,
    now: Time,
}

impl Header {
    fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Header, WireError> {
        let word = |at: usize| u32::from_be_bytes(std::array::from_fn(|index| bytes[at + index]));
        let batch = word(0);
        let length = word(4);
        let records = word(8);
        let clock = f64::from_be_bytes(std::array::from_fn(|index| bytes[12 + index]));
        let needed = u64::from(records) * EVENT_BYTES as u64;
        if needed > u64::from(length) {
            return Err(WireError::Length { batch, records, needed, length });
        }
        let now = time_from_ms(clock).ok_or(WireError::Clock { batch, clock })?;
        Ok(Header { batch, length, records, now })
    }
}

/// Reads frames into a buffer that is reused.
pub(crate) struct FrameReader<R> {
    input: R,
    body: Vec<u8>,
}

impl<R: Read> FrameReader<R> {
    /// A reader for the frames in `input`.
    pub(crate) fn new(input: R) -> FrameReader<R> {
        FrameReader { input, body: Vec::new() }
    }

    /// Reads one batch; `None` if the input has ended.
    ///
    /// # Errors
    /// The input fails, ends within the frame, or has an invalid header.
    pub(crate) fn read(&mut self) -> Result<Option<Frame<'_>>, WireError> {
        let mut bytes = [0; HEADER_BYTES];
        match fill(&mut self.input, &mut bytes)? {
            0 => return Ok(None),
            HEADER_BYTES => {}
            got => return Err(WireError::Truncated { part: "header", got, wanted: HEADER_BYTES }),
        }
        let header = Header::decode(&bytes)?;
        let wanted = header.length as usize;
        self.body.clear();
        let got = self.input.by_ref().take(u64::from(header.length)).read_to_end(&mut self.body)?;
        if got < wanted {
            return Err(WireError::Truncated { part: "body", got, wanted });
        }
        let (records, tail) = self.body.split_at(header.records as usize * EVENT_BYTES);
        Ok(Some(Frame { batch: header.batch, now: header.now, records, tail }))
    }
}

/// Reads until the buffer is full or the input ends, and returns the number of bytes read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(count) => got += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(got)
}
