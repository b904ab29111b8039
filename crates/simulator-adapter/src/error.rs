//! Why the adapter ends.

use std::io;

use glendeck_settings::SettingsError;

/// Input that cannot be used, with its place: bytes count from the start of the frame.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// Standard input or output failed.
    #[error("cannot use the wire: {0}")]
    Io(#[from] io::Error),
    /// The input ended within a frame.
    #[error("input ended inside a frame, after {got} of {wanted} bytes of its {part}")]
    Truncated {
        /// The part of the frame that is incomplete.
        part: &'static str,
        /// The bytes of it that were read.
        got: usize,
        /// The bytes that it has.
        wanted: usize,
    },
    /// The header has more records than its length holds.
    #[error("batch {batch}, byte 4: {records} records need {needed} bytes, the header says {length}")]
    Length {
        /// The batch's number.
        batch: u32,
        /// The number of records by the header.
        records: u32,
        /// The bytes that so many records take.
        needed: u64,
        /// The bytes by the header.
        length: u32,
    },
    /// The header's clock is no time.
    #[error("batch {batch}, byte 12: the clock {clock} is no usable time")]
    Clock {
        /// The batch's number.
        batch: u32,
        /// The clock, in ms.
        clock: f64,
    },
    /// A code has no meaning.
    #[error("batch {batch}, record {record}, byte {byte}: unknown {what} {code}")]
    Code {
        /// The batch's number.
        batch: u32,
        /// The number of the record in it.
        record: usize,
        /// The place of the code.
        byte: usize,
        /// What the code is one of.
        what: &'static str,
        /// The code.
        code: u64,
    },
    /// Data of variable size is not in the frame.
    #[error("batch {batch}, record {record}, byte {byte}: {what} reaches past the frame's tail")]
    Tail {
        /// The batch's number.
        batch: u32,
        /// The number of the record in it.
        record: usize,
        /// The place of the reference to the data.
        byte: usize,
        /// What the data is.
        what: &'static str,
    },
    /// A number cannot be used.
    #[error("batch {batch}, record {record}, byte {byte}: {value} is no usable {what}")]
    Value {
        /// The batch's number.
        batch: u32,
        /// The number of the record in it.
        record: usize,
        /// The place of the number.
        byte: usize,
        /// What the number is.
        what: &'static str,
        /// The number.
        value: f64,
    },
    /// An event is for an instance that there is not.
    #[error("batch {batch}, record {record}, byte {byte}: instance {instance} was never started")]
    NeverStarted {
        /// The batch's number.
        batch: u32,
        /// The number of the record in it.
        record: usize,
        /// The place of the instance's number.
        byte: usize,
        /// The instance's number.
        instance: u32,
    },
    /// An instance's settings make no sense.
    #[error("batch {batch}, record {record}: instance {instance}: {source}")]
    Settings {
        /// The batch's number.
        batch: u32,
        /// The number of the record in it.
        record: usize,
        /// The instance's number.
        instance: u32,
        /// What is wrong with them.
        source: SettingsError,
    },
    /// An instance's settings are no text.
    #[error("batch {batch}, record {record}: the settings of instance {instance} are not UTF-8")]
    Text {
        /// The batch's number.
        batch: u32,
        /// The number of the record in it.
        record: usize,
        /// The instance's number.
        instance: u32,
    },
}
