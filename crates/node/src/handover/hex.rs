//! Bytes as hexadecimal text, for messages that are lines of words.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Stands before the digits, so that a text for no bytes at all is still a word.
const PREFIX: char = 'x';

/// Bytes that are written as `x` and two lower-case hexadecimal digits a byte.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct HexBytes(Vec<u8>);

/// Why a text is not [`HexBytes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HexError {
    /// The prefix is missing.
    #[error("hexadecimal bytes begin with {PREFIX}")]
    Prefix,
    /// A byte has one digit, or a character is not a digit.
    #[error("not pairs of hexadecimal digits")]
    Digits,
}

impl HexBytes {
    /// The bytes themselves.
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
        // Without the check for ASCII, a slice of two bytes could cut a character in two.
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
