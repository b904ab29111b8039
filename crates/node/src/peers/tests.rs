use super::*;

#[test]
fn greetings_are_read_by_the_version_before_and_after() {
    let hello = || Hello {
        version: VERSION,
        group: "g".into(),
        name: UnitName("n1".into()),
        incarnation: glendeck_fleet::state::Incarnation(7),
    };
    let before = postcard::to_stdvec(&hello()).unwrap();
    assert_eq!(read_greeting(&before), Some((hello(), 0)));
    let between = postcard::to_stdvec(&(hello(), 1_u32)).unwrap();
    assert_eq!(read_greeting(&between), Some((hello(), 1)));
    assert_eq!(read_greeting(&write_greeting(hello())), Some((hello(), SPEAKS)));
    // As the versions before read it.
    assert_eq!(postcard::from_bytes::<Hello>(&write_greeting(hello())).ok(), Some(hello()));
    let read = postcard::from_bytes::<(Hello, u32)>(&write_greeting(hello()));
    assert_eq!(read.ok(), Some((hello(), SPEAKS)));
    assert_eq!(read_greeting(&before[..before.len() - 1]), None);
}

/// Without the sum more than half of the bits of such a letter may turn over and it is read as another.
#[test]
fn a_letter_of_which_a_bit_has_turned_over_is_not_read() {
    let outcome = glendeck_takeover::Outcome::NeverRan;
    let owner = UnitName("n3".into());
    let id = glendeck_takeover::RecordId {
        owner,
        incarnation: glendeck_fleet::state::Incarnation(1 << 60),
        count: 77,
    };
    let message =
        ReplicaMessage::CallEnded { sequence: 1, id, work: glendeck_takeover::WorkId(0xfeed_beef), outcome };
    let bare = postcard::to_stdvec(&Frame::Words(vec![message])).unwrap();
    let flipped = |bytes: &[u8], bit: usize| {
        let mut bytes = bytes.to_vec();
        bytes[bit / 8] ^= 1 << (bit % 8);
        bytes
    };
    let is_read = |bytes: &[u8]| matches!(postcard::take_from_bytes::<Frame>(bytes), Ok((_, [])));
    let misread = (0..bare.len() * 8).filter(|bit| is_read(&flipped(&bare, *bit))).count();
    assert!(misread * 2 > bare.len() * 8, "{misread} of {}", bare.len() * 8);
    let mut sealed = bare.clone();
    seal(&mut sealed);
    assert_eq!(unseal(&sealed), Some(bare.as_slice()));
    assert!((0..sealed.len() * 8).all(|bit| unseal(&flipped(&sealed, bit)).is_none()));
}
