//! Errors that end the adapter.

use std::io;

use glendeck_settings::SettingsError;

/// An I/O error, or invalid input with its position. Byte positions count from the start of the frame.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// Standard input or output failed.
    #[error("standard input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The input ended within a frame.
    #[error("input ended inside a frame, after {got} of {wanted} bytes of its {part}")]
    Truncated {
        /// The part of the frame that is incomplete.
        part: &'static str,
        /// Bytes of the part that were read.
        got: usize,
        /// Length of the part in bytes.
        wanted: usize,
    },
    /// The header gives more records than fit into the length that it gives.
    #[error(
        "batch {batch}, byte 4: {records} records need {needed} bytes, but the header's length is {length}"
    )]
    Length {
        /// The batch's number.
        batch: u32,
        /// The number of records that the header gives.
        records: u32,
        /// Length of that many records in bytes.
        needed: u64,
        /// The length that the header gives, in bytes.
        length: u32,
    },
    /// The header's clock is not a valid time.
    #[error("batch {batch}, byte 12: the clock {clock} is not a valid time")]
    Clock {
        /// The batch's number.
        batch: u32,
        /// The clock, in ms.
        clock: f64,
    },
    /// A code is not in the protocol.
    #[error("batch {batch}, record {record}, byte {byte}: unknown {what} {code}")]
    Code {
        /// The batch's number.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: usize,
        /// Position of the code.
        byte: usize,
        /// The kind of code, such as `event` or `outcome`.
        what: &'static str,
        /// The code.
        code: u64,
    },
    /// Data of variable size is not within the frame's tail.
    #[error("batch {batch}, record {record}, byte {byte}: {what} extends past the end of the frame's tail")]
    Tail {
        /// The batch's number.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: usize,
        /// Position of the reference to the data.
        byte: usize,
        /// What the data is.
        what: &'static str,
    },
    /// A number is invalid.
    #[error("batch {batch}, record {record}, byte {byte}: {value} is not a valid {what}")]
    Value {
        /// The batch's number.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: usize,
        /// Position of the number.
        byte: usize,
        /// What the number is.
        what: &'static str,
        /// The number.
        value: f64,
    },
    /// An event is for an instance that was never started.
    #[error("batch {batch}, record {record}, byte {byte}: instance {instance} was never started")]
    NeverStarted {
        /// The batch's number.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: usize,
        /// Position of the instance's number.
        byte: usize,
        /// The instance's number.
        instance: u32,
    },
    /// A setting of an instance is missing or invalid.
    #[error("batch {batch}, record {record}: instance {instance}: {source}")]
    Settings {
        /// The batch's number.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: usize,
        /// The instance's number.
        instance: u32,
        /// The error in the settings.
        source: SettingsError,
    },
    /// An instance's settings are not UTF-8 text.
    #[error("batch {batch}, record {record}: the settings of instance {instance} are not valid UTF-8")]
    Text {
        /// The batch's number.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: usize,
        /// The instance's number.
        instance: u32,
    },
}
