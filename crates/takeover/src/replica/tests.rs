//! The bound on the records that a replica stores.

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
        remaining_ms: 1_500,
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
