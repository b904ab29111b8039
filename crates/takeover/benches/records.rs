//! Time and memory that the records of calls take: `cargo bench -p glendeck-takeover`.

use divan::{AllocProfiler, Bencher, black_box};
use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{Action, Attempt, Outcome, ReplicaMessage, Takeover, View, WorkId};

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

const RETENTION_MS: u64 = 6_000;
const LONGEST_CALL_MS: u64 = 5_000;
const REPLICAS: usize = 3;

fn main() {
    divan::main();
}

fn name(index: usize) -> UnitName {
    UnitName(format!("node-{index}"))
}

fn timestamp(ms: u64) -> Timestamp {
    Timestamp((100_000_000 + ms) * 1_000_000)
}

fn node(index: usize) -> Takeover {
    let mut node =
        Takeover::new(timestamp(0), name(index), Incarnation(index as u64), 7, RETENTION_MS, LONGEST_CALL_MS);
    let view = View { voter_slots: (0..REPLICAS).map(name).collect(), hears_leader: true, ..View::default() };
    node.membership_changed(timestamp(0), view);
    node
}

/// Three replicas, and one more node that owns the calls.
fn fleet() -> Vec<Takeover> {
    (0..=REPLICAS).map(node).collect()
}

/// Delivers messages until there are none, and returns how many there were.
fn deliver(fleet: &mut [Takeover], now: Timestamp) -> u64 {
    let mut messages = 0;
    loop {
        let mut sent = Vec::new();
        for (from, node) in fleet.iter_mut().enumerate() {
            for action in node.take_actions() {
                if let Action::Send(to, message) = action {
                    sent.push((from, to, message));
                }
            }
        }
        if sent.is_empty() {
            return messages;
        }
        messages += sent.len() as u64;
        for (from, to, message) in sent {
            let to = (0..fleet.len()).find(|index| name(*index) == to).unwrap();
            fleet[to].message_received(now, &name(from), message);
        }
    }
}

fn attempt(work: u64) -> Attempt {
    Attempt {
        work: WorkId(work),
        host: work % 50,
        prior: None,
        remaining_ms: 1_500,
        send_before: timestamp(90_000),
    }
}

fn begin(fleet: &mut [Takeover], work: u64, now: Timestamp) {
    fleet[REPLICAS].replicate_intent(now, work, attempt(work));
    deliver(fleet, now);
}

fn end(fleet: &mut [Takeover], work: u64, now: Timestamp) {
    fleet[REPLICAS].call_ended(now, work, Outcome::Answered);
    deliver(fleet, now);
}

fn fleet_with_records(records: u64) -> Vec<Takeover> {
    let mut fleet = fleet();
    for work in 0..records {
        begin(&mut fleet, work, timestamp(20_000));
        end(&mut fleet, work, timestamp(20_000));
    }
    fleet
}

/// One call: its intent is replicated at three nodes and its end is reported, with `records` other records
/// stored.
#[divan::bench(args = [0, 1_000, 30_000])]
fn a_call_with_three_replicas(bencher: Bencher, records: u64) {
    let mut fleet = fleet_with_records(records);
    let mut work = records;
    bencher.bench_local(|| {
        work += 1;
        begin(&mut fleet, work, timestamp(20_000));
        end(&mut fleet, work, timestamp(20_000));
    });
}

/// A repeat of an answered call: three queries with their replies, and the end of the call. No intent is
/// sent.
#[divan::bench]
fn a_repeat_that_was_answered(bencher: Bencher) {
    let mut fleet = fleet_with_records(1_000);
    let mut call = 10_000;
    bencher.bench_local(|| {
        call += 1;
        let work = WorkId(call % 1_000);
        fleet[REPLICAS].call_repeated(timestamp(20_010), call, work, 1_400);
        deliver(&mut fleet, timestamp(20_010));
        end(&mut fleet, call, timestamp(20_010));
    });
}

/// One replica with `records` records. The allocated bytes divided by `records` are the bytes of one record.
#[divan::bench(args = [1_000, 10_000, 100_000], sample_count = 5)]
fn memory_of_a_replica(bencher: Bencher, records: u64) {
    // The messages come from a node that is not a replica itself.
    let mut fleet = fleet();
    let mut messages: Vec<ReplicaMessage> = Vec::new();
    for work in 0..records {
        fleet[REPLICAS].replicate_intent(timestamp(20_000), work, attempt(work));
        let intent_for_first_replica = |action| match action {
            Action::Send(to, message @ ReplicaMessage::StoreIntent(_)) if to == name(0) => Some(message),
            _ => None,
        };
        messages.extend(fleet[REPLICAS].take_actions().into_iter().filter_map(intent_for_first_replica));
    }
    let owner = name(REPLICAS);
    bencher.bench_local(|| {
        let mut replica = node(0);
        for message in &messages {
            replica.message_received(timestamp(20_000), &owner, message.clone());
            black_box(replica.take_actions());
        }
        assert_eq!(replica.replica().record_count() as u64, records);
        replica
    });
}
