//! Frames between nodes: a length, the encoded message, and in newer versions a checksum. The first frame of
//! a link is a greeting.

use glendeck_fleet::message::{Envelope, Hello, VERSION};
use glendeck_takeover::ReplicaMessage;
use glendeck_takeover::warm_state::WarmStateMessage;
use serde::{Deserialize, Serialize};

/// Maximum length of a frame in bytes. The whole state of 300 units takes about 60 KiB, and a log that is
/// sent anew a few hundred KiB.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Size of a frame's length prefix in bytes; it is little-endian.
const LENGTH_BYTES: usize = 4;

/// Size of a checksum in bytes; it is little-endian.
const CHECKSUM_BYTES: usize = 4;

/// A message to a peer. The order of the variants is part of the protocol.
#[derive(Serialize, Deserialize)]
pub(crate) enum Frame {
    /// A message for the fleet logic.
    ConsensusMessage(Box<Envelope>),
    /// The messages of one turn of the event loop for replicated work.
    ReplicaMessages(Vec<ReplicaMessage>),
    /// Warm state, only for peers that support [`Features::WARM_STATE`].
    WarmState(WarmStateMessage),
}

/// Features that a node's version supports, sent in its greeting after the [`Hello`]. In a rolling release,
/// nodes of an older version close a link on which they receive a frame that they cannot decode. The first
/// version neither reads nor sends features.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Features(u32);

impl Features {
    /// No features, as in the first version.
    pub(crate) const NONE: Features = Features(0);
    /// Supports [`Frame::WarmState`].
    pub(crate) const WARM_STATE: Features = Features(1);
    /// Frames, including the greeting, end with a checksum.
    pub(crate) const CHECKSUMS: Features = Features(2);
    /// The features of this version.
    pub(crate) const OWN: Features = Features::CHECKSUMS;

    /// Whether a node supports a feature. Each feature includes those with lower numbers.
    pub(crate) fn has(self, feature: Features) -> bool {
        self >= feature
    }

    #[cfg(test)]
    pub(super) fn number(self) -> u32 {
        self.0
    }
}

/// Error in a frame of a peer, for which its link is closed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The frame is longer than any frame of this version.
    #[error("a frame of {0} bytes exceeds the maximum length")]
    TooLong(usize),
    /// The checksum is missing or wrong.
    #[error("the checksum is missing or wrong")]
    Checksum,
    /// The frame cannot be decoded.
    #[error("cannot decode the frame: {0}")]
    Decode(#[from] postcard::Error),
    /// The frame continues after the end of the message.
    #[error("{0} bytes follow the end of the message")]
    Trailing(usize),
    /// The greeting has another protocol version.
    #[error("protocol version is {0}, expected {VERSION}")]
    Version(u32),
}

/// Appends the bytes' CRC-32. A bit flipped in transit could change the host, attempt or term of a record, so
/// that work is done twice. TCP's checksum misses one in 65,536 damaged segments, and middleboxes recompute
/// it.
pub(crate) fn append_checksum(bytes: &mut Vec<u8>) {
    let checksum = crc32fast::hash(bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
}

/// Checks the bytes' checksum, and returns the bytes before it, or `None` if they are damaged.
pub(crate) fn strip_checksum(bytes: &[u8]) -> Option<&[u8]> {
    let (content, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
    (crc32fast::hash(content).to_le_bytes() == *checksum).then_some(content)
}

/// Encodes a greeting.
///
/// # Errors
///
/// Fails only if memory cannot be allocated.
pub(super) fn encode_greeting(hello: &Hello) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_stdvec(&(hello, Features::OWN))?;
    append_checksum(&mut bytes);
    Ok(bytes)
}

/// Decodes a greeting. The first version sends only the [`Hello`], the second also its features, and newer
/// ones also a checksum. Each version ignores the parts that it does not know.
///
/// # Errors
///
/// Fails if the greeting is damaged or has another protocol version.
pub(super) fn decode_greeting(bytes: &[u8]) -> Result<(Hello, Features), FrameError> {
    let (hello, rest) = postcard::take_from_bytes::<Hello>(bytes)?;
    let features = if rest.is_empty() { Features::NONE } else { postcard::from_bytes(rest)? };
    if features.has(Features::CHECKSUMS) && strip_checksum(bytes).is_none() {
        return Err(FrameError::Checksum);
    }
    if hello.version != VERSION {
        return Err(FrameError::Version(hello.version));
    }
    Ok((hello, features))
}

impl Frame {
    /// Encodes the frame for a peer with these features.
    ///
    /// # Errors
    ///
    /// Fails only if memory cannot be allocated.
    pub(crate) fn encode(&self, features: Features) -> Result<Vec<u8>, FrameError> {
        let mut bytes = postcard::to_stdvec(self)?;
        if features.has(Features::CHECKSUMS) {
            append_checksum(&mut bytes);
        }
        Ok(bytes)
    }

    /// Decodes a frame of a peer with these features.
    ///
    /// # Errors
    ///
    /// Fails if the frame is damaged, cannot be decoded, or has trailing bytes.
    pub(crate) fn decode(bytes: &[u8], features: Features) -> Result<Frame, FrameError> {
        let bytes = if features.has(Features::CHECKSUMS) {
            strip_checksum(bytes).ok_or(FrameError::Checksum)?
        } else {
            bytes
        };
        match postcard::take_from_bytes(bytes)? {
            (frame, []) => Ok(frame),
            (_, rest) => Err(FrameError::Trailing(rest.len())),
        }
    }
}

/// Appends a frame's length and its bytes to an outbox.
pub(super) fn append_frame(bytes: &[u8], outbox: &mut Vec<u8>) {
    outbox.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    outbox.extend_from_slice(bytes);
}

/// Removes the first frame from an inbox. Returns `None` if the frame is not complete yet.
///
/// # Errors
///
/// Fails if the frame is longer than the maximum.
pub(super) fn take_frame(inbox: &mut Vec<u8>) -> Result<Option<Vec<u8>>, FrameError> {
    let Some((length, _)) = inbox.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let end = LENGTH_BYTES + length;
    if inbox.len() < end {
        return Ok(None);
    }
    let frame = inbox[LENGTH_BYTES..end].to_vec();
    inbox.drain(..end);
    Ok(Some(frame))
}
