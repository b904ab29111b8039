//! Encoding of the actions that the recorded batches do not contain.

use glendeck::domain::{AttemptNumber, CallId, HostId};
use glendeck::port::Port;

use super::{ACTION_BYTES, ActionWriter};

const CALL: CallId = CallId(0x0102_0304_0506_0708);
const HOST: HostId = HostId(0x0a12_0001_1b5b);

/// Asserts that the record of one action is `prefix` followed by zeros.
fn assert_record(act: impl FnOnce(&mut ActionWriter), prefix: &[u8]) {
    let mut reply = Vec::new();
    act(&mut ActionWriter::new(3, &mut reply));
    let mut expected = prefix.to_vec();
    expected.resize(ACTION_BYTES, 0);
    assert_eq!(reply, expected);
}

#[test]
fn fetching_and_probing_are_encoded_by_the_protocol() {
    assert_record(|actions| actions.fetch_endpoints(), &[2, 0, 0, 0, 3]);
    assert_record(|actions| actions.probe(HOST), &[3, 0, 0, 0, 3, 0x0a, 0x12, 0, 1, 0x1b, 0x5b]);
}

#[test]
fn failing_and_migrating_are_encoded_by_the_protocol() {
    assert_record(|actions| actions.fail(CALL), &[7, 0, 0, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8]);
    assert_record(|actions| actions.migrate(CALL), &[10, 0, 0, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[test]
fn cancelling_is_encoded_with_the_attempt() {
    let record = [9, 0, 0, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8, 0, 4];
    assert_record(|actions| actions.cancel(CALL, AttemptNumber(4)), &record);
}
