//! Frames between nodes: a length, the bytes, and in newer versions a checksum; the first frame is a
//! greeting.

use glendeck_fleet::message::{Envelope, Hello, VERSION};
use glendeck_takeover::ReplicaMessage;
use glendeck_takeover::warm_state::WarmStateMessage;
use serde::{Deserialize, Serialize};

/// Longest frame in bytes. A whole state of 300 units takes some 60 KiB, a log that is sent anew a few
/// hundred.
const MAX_FRAME: usize = 8 << 20;

/// Bytes of a frame's length, which is little-endian.
const LENGTH_BYTES: usize = 4;

/// Bytes of a checksum, which is little-endian.
const CHECKSUM_BYTES: usize = 4;

/// A message to a peer. The order of the variants is part of the protocol.
#[derive(Serialize, Deserialize)]
pub(crate) enum Frame {
    /// For the fleet's decisions.
    ConsensusMessage(Box<Envelope>),
    /// For replicated work: all messages of one turn of the event loop.
    ReplicaMessages(Vec<ReplicaMessage>),
    /// Warm state, for peers of [`Features::WARM_STATE`] alone.
    WarmState(WarmStateMessage),
}

/// What a node's version can do, sent after its greeting. In a rolling release, nodes of an older version end
/// a link that brings what they cannot read; these read no further than the greeting, and send nothing after
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Features(u32);

impl Features {
    /// The first version.
    pub(crate) const NONE: Features = Features(0);
    /// It understands [`Frame::WarmState`].
    pub(crate) const WARM_STATE: Features = Features(1);
    /// Its frames end in a checksum, the greeting among them.
    pub(crate) const CHECKSUMS: Features = Features(2);
    /// What this version can do.
    pub(crate) const OWN: Features = Features::CHECKSUMS;

    /// Whether a node can do this: each version can do all that those before it could.
    pub(crate) fn has(self, feature: Features) -> bool {
        self >= feature
    }

    #[cfg(test)]
    pub(super) fn number(self) -> u32 {
        self.0
    }
}

/// Why a frame of a peer's ends its link.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// Longer than any of ours.
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The checksum is missing or wrong.
    #[error("the checksum is wrong")]
    Checksum,
    /// It has another form.
    #[error("cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// There are bytes after its end.
    #[error("{0} bytes after its end")]
    Trailing(usize),
    /// The greeting is of another protocol version.
    #[error("protocol version {0}, not {VERSION}")]
    Version(u32),
}

/// Appends the bytes' CRC-32. One bit turned over on the way could make another host, attempt or term of a
/// record, and work could be done twice. TCP's checksum misses one in 65,536 damaged segments, and middle
/// boxes make it anew.
pub(crate) fn seal(bytes: &mut Vec<u8>) {
    let checksum = crc32fast::hash(bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
}

/// The bytes that were sealed, if they are undamaged.
pub(crate) fn unseal(bytes: &[u8]) -> Option<&[u8]> {
    let (sealed, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>()?;
    (crc32fast::hash(sealed).to_le_bytes() == *checksum).then_some(sealed)
}

/// The bytes of a greeting.
///
/// # Errors
///
/// Fails only where memory does.
pub(super) fn encode_greeting(hello: &Hello) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_stdvec(&(hello, Features::OWN))?;
    seal(&mut bytes);
    Ok(bytes)
}

/// Reads a greeting. The first version sends nothing after it, the second its features, newer ones a checksum
/// too; each reads as far as it knows.
///
/// # Errors
///
/// Fails for a greeting that is damaged, or not of this protocol version.
pub(super) fn decode_greeting(bytes: &[u8]) -> Result<(Hello, Features), FrameError> {
    let (hello, rest) = postcard::take_from_bytes::<Hello>(bytes)?;
    let features = if rest.is_empty() { Features::NONE } else { postcard::from_bytes(rest)? };
    if features.has(Features::CHECKSUMS) && unseal(bytes).is_none() {
        return Err(FrameError::Checksum);
    }
    if hello.version != VERSION {
        return Err(FrameError::Version(hello.version));
    }
    Ok((hello, features))
}

impl Frame {
    /// The frame's bytes for a peer of these features.
    ///
    /// # Errors
    ///
    /// Fails only where memory does.
    pub(crate) fn encode(&self, features: Features) -> Result<Vec<u8>, FrameError> {
        let mut bytes = postcard::to_stdvec(self)?;
        if features.has(Features::CHECKSUMS) {
            seal(&mut bytes);
        }
        Ok(bytes)
    }

    /// Reads a frame of a peer of these features.
    ///
    /// # Errors
    ///
    /// Fails for a frame that is damaged, or has another form or length.
    pub(crate) fn decode(bytes: &[u8], features: Features) -> Result<Frame, FrameError> {
        let bytes = if features.has(Features::CHECKSUMS) {
            unseal(bytes).ok_or(FrameError::Checksum)?
        } else {
            bytes
        };
        match postcard::take_from_bytes(bytes)? {
            (frame, []) => Ok(frame),
            (_, rest) => Err(FrameError::Trailing(rest.len())),
        }
    }
}

/// Appends the bytes with their length to what is to be sent.
pub(super) fn append_frame(bytes: &[u8], outbox: &mut Vec<u8>) {
    outbox.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    outbox.extend_from_slice(bytes);
}

/// Takes the first frame out of what was received. None if it is not whole yet.
///
/// # Errors
///
/// Fails if the frame is longer than any of ours.
pub(super) fn take_frame(inbox: &mut Vec<u8>) -> Result<Option<Vec<u8>>, FrameError> {
    let Some((length, _)) = inbox.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME {
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
