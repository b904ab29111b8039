//! The bound on the records that a replica stores, and how long it stores them.

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;

use super::{MAX_RECORDS, Replica};
use crate::id::{RecordId, WorkId};
use crate::message::{FirstAttempt, Intent, IntentVerdict, ReplicaMessage};
use crate::view::View;

const RETENTION_MS: u64 = 6_000;
const LONGEST_CALL_MS: u64 = 5_000;

fn timestamp(ms: u64) -> Timestamp {
    Timestamp((100_000_000 + ms) * 1_000_000)
}

fn store(replica: &mut Replica, ms: u64, call_number: u64) -> IntentVerdict {
    store_for(replica, ms, call_number, 1_500)
}

fn store_for(replica: &mut Replica, ms: u64, call_number: u64, remaining_ms: u64) -> IntentVerdict {
    let owner = UnitName::from("n3");
    let view = View { voter_slots: vec![UnitName::from("n0")], hears_leader: true, ..View::default() };
    let intent = Intent {
        id: RecordId { owner: owner.clone(), incarnation: Incarnation(1), call_number },
        work: WorkId(call_number),
        term: 0,
        version: 0,
        is_repeat: false,
        supersedes: vec![],
        first: FirstAttempt { host: 1, age_ms: 0 },
        sequence: 1,
        remaining_ms,
    };
    match replica.handle_request(timestamp(ms), &owner, ReplicaMessage::StoreIntent(intent), &view) {
        Some(ReplicaMessage::IntentReply { verdict, .. }) => verdict,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_full_replica_refuses_accepts_again_after_expiry_and_has_no_spare_capacity() {
    let max_records = MAX_RECORDS as u64;
    let mut replica = Replica::new(timestamp(0), RETENTION_MS, LONGEST_CALL_MS);
    assert!(
        (0..max_records).all(|call_number| store(&mut replica, 0, call_number) == IntentVerdict::Accepted)
    );
    assert_eq!(store(&mut replica, 0, max_records), IntentVerdict::Unavailable);
    assert!(replica.records.values().all(|records| records.capacity() == 1));
    replica.tick(timestamp(11_600));
    assert_eq!(replica.record_count(), 0);
    assert_eq!(store(&mut replica, 11_600, max_records), IntentVerdict::Accepted);
}

/// A reload that lengthens the longest call must reach the replicas: they would refuse the intents of longer calls.
#[test]
fn a_longer_call_time_counts_at_once_and_keeps_records_and_the_full_history() {
    const LONGER_CALL_MS: u64 = 8_000;
    const LIFETIME_MS: u64 = LONGEST_CALL_MS + 600 + RETENTION_MS;
    const ADDED_MS: u64 = LONGER_CALL_MS - LONGEST_CALL_MS;
    let mut replica = Replica::new(timestamp(0), RETENTION_MS, LONGEST_CALL_MS);
    let start = LIFETIME_MS + 1;
    assert!(replica.has_full_history(timestamp(start)));
    assert_eq!(store(&mut replica, start, 1), IntentVerdict::Accepted);
    assert_eq!(store_for(&mut replica, start, 2, LONGER_CALL_MS), IntentVerdict::Unavailable);
    replica.raise_longest_call(timestamp(start), LONGER_CALL_MS);
    assert_eq!(store_for(&mut replica, start, 2, LONGER_CALL_MS), IntentVerdict::Accepted);
    // What had expired was not needed for longer, so nothing is missing.
    assert!(replica.has_full_history(timestamp(start)));
    replica.tick(timestamp(start + LIFETIME_MS + ADDED_MS - 1));
    assert_eq!(replica.record_count(), 2);
    replica.tick(timestamp(start + LIFETIME_MS + ADDED_MS));
    assert_eq!(replica.record_count(), 0);
    // Calls under the longer time may still be in flight, so a shorter one changes nothing.
    replica.raise_longest_call(timestamp(start), LONGEST_CALL_MS);
    assert_eq!(store_for(&mut replica, start, 3, LONGER_CALL_MS), IntentVerdict::Accepted);
}

/// A replica whose history was not full yet waits for the longer time.
#[test]
fn a_longer_call_time_lengthens_the_wait_for_a_full_history() {
    let mut replica = Replica::new(timestamp(0), RETENTION_MS, LONGEST_CALL_MS);
    replica.raise_longest_call(timestamp(1_000), LONGEST_CALL_MS + 2_000);
    assert!(!replica.has_full_history(timestamp(LONGEST_CALL_MS + 600 + RETENTION_MS + 2_000)));
    assert!(replica.has_full_history(timestamp(LONGEST_CALL_MS + 600 + RETENTION_MS + 2_001)));
}
