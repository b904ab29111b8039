//! Bytes as hexadecimal text, for line-based messages whose words are separated by spaces.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Precedes the digits, so that the encoding of an empty byte string is not an empty word.
const PREFIX: char = 'x';

/// Bytes, written as `x` followed by two lower-case hexadecimal digits per byte.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct HexBytes(Vec<u8>);

/// Error from parsing [`HexBytes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HexError {
    /// The prefix is missing.
    #[error("hexadecimal bytes lack the prefix {PREFIX}")]
    Prefix,
    /// The number of digits is odd, or a character is not a digit.
    #[error("expected pairs of hexadecimal digits")]
    Digits,
}

impl HexBytes {
    /// Returns the bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

impl From<&[u8]> for HexBytes {
    fn from(bytes: &[u8]) -> HexBytes {
        HexBytes(bytes.to_vec())
    }
}

impl Display for HexBytes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{PREFIX}")?;
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for HexBytes {
    type Err = HexError;

    fn from_str(text: &str) -> Result<HexBytes, HexError> {
        let digits = text.strip_prefix(PREFIX).ok_or(HexError::Prefix)?;
        // In a text that is not ASCII, a slice of two bytes could split a character and panic.
        if digits.len() % 2 != 0 || !digits.is_ascii() {
            return Err(HexError::Digits);
        }
        let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16);
        let bytes: Result<Vec<u8>, _> = (0..digits.len()).step_by(2).map(byte).collect();
        bytes.map(HexBytes).map_err(|_| HexError::Digits)
    }
}

impl From<HexBytes> for String {
    fn from(bytes: HexBytes) -> String {
        bytes.to_string()
    }
}

impl TryFrom<String> for HexBytes {
    type Error = HexError;

    fn try_from(text: String) -> Result<HexBytes, HexError> {
        text.parse()
    }
}
