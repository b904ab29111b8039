use glendeck_fleet::message::{Hello, VERSION};
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{Outcome, RecordId, ReplicaMessage, WorkId};

use super::frame::{
    Features, Frame, FrameError, append_checksum, decode_greeting, encode_greeting, strip_checksum,
};

#[test]
fn greetings_are_read_by_older_and_newer_versions() {
    let hello = || Hello {
        version: VERSION,
        group: "g".into(),
        name: UnitName("n1".into()),
        incarnation: Incarnation(7),
    };
    let read = |bytes: &[u8]| decode_greeting(bytes).ok();
    let first_version = postcard::to_stdvec(&hello()).unwrap();
    assert_eq!(read(&first_version), Some((hello(), Features::NONE)));
    let second_version = postcard::to_stdvec(&(hello(), 1_u32)).unwrap();
    assert_eq!(read(&second_version), Some((hello(), Features::WARM_STATE)));
    let greeting = encode_greeting(&hello()).unwrap();
    assert_eq!(read(&greeting), Some((hello(), Features::OWN)));
    // Older versions decode only the parts that they know.
    assert_eq!(postcard::from_bytes::<Hello>(&greeting).ok(), Some(hello()));
    let with_features = postcard::from_bytes::<(Hello, u32)>(&greeting);
    assert_eq!(with_features.ok(), Some((hello(), Features::OWN.number())));
    assert_eq!(read(&first_version[..first_version.len() - 1]), None);
}

#[test]
fn greetings_with_a_bad_checksum_or_other_version_are_refused() {
    let hello = Hello {
        version: VERSION,
        group: "g".into(),
        name: UnitName("n1".into()),
        incarnation: Incarnation(7),
    };
    let mut damaged = encode_greeting(&hello).unwrap();
    let last = damaged.len() - 1;
    damaged[last] ^= 1;
    assert!(matches!(decode_greeting(&damaged), Err(FrameError::Checksum)));
    let other_version = encode_greeting(&Hello { version: VERSION + 1, ..hello }).unwrap();
    assert!(matches!(decode_greeting(&other_version), Err(FrameError::Version(_))));
}

/// Without a checksum, for more than half of the bits of this message, flipping that bit alone gives another
/// valid message.
#[test]
fn checksum_detects_every_flipped_bit() {
    let outcome = Outcome::NeverRan;
    let owner = UnitName("n3".into());
    let id = RecordId { owner, incarnation: Incarnation(1 << 60), call_number: 77 };
    let message = ReplicaMessage::CallEnded { sequence: 1, id, work: WorkId(0xfeed_beef), outcome };
    let encoded = postcard::to_stdvec(&Frame::ReplicaMessages(vec![message])).unwrap();
    let flipped = |bytes: &[u8], bit: usize| {
        let mut bytes = bytes.to_vec();
        bytes[bit / 8] ^= 1 << (bit % 8);
        bytes
    };
    let is_read = |bytes: &[u8]| matches!(postcard::take_from_bytes::<Frame>(bytes), Ok((_, [])));
    let misread = (0..encoded.len() * 8).filter(|bit| is_read(&flipped(&encoded, *bit))).count();
    assert!(misread * 2 > encoded.len() * 8, "{misread} of {}", encoded.len() * 8);
    let mut with_checksum = encoded.clone();
    append_checksum(&mut with_checksum);
    assert!(Frame::decode(&with_checksum, Features::OWN).is_ok());
    assert_eq!(strip_checksum(&with_checksum), Some(encoded.as_slice()));
    assert!((0..with_checksum.len() * 8).all(|bit| strip_checksum(&flipped(&with_checksum, bit)).is_none()));
}
