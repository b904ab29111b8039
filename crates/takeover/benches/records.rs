//! Time and memory of what is kept of a call: `cargo bench -p glendeck-takeover`.

use divan::{AllocProfiler, Bencher, black_box};
use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::{Attempt, Outcome, Step, Takeover, View, Word, Work};

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

const RECALL_MS: u64 = 6_000;
const LONGEST_MS: u64 = 5_000;
const KEEPERS: usize = 3;

fn main() {
    divan::main();
}

fn name(at: usize) -> UnitName {
    UnitName(format!("node-{at}"))
}

fn timestamp(ms: u64) -> Timestamp {
    Timestamp((100_000_000 + ms) * 1_000_000)
}

fn node(at: usize) -> Takeover {
    let mut node = Takeover::new(timestamp(0), name(at), Incarnation(at as u64), 7, RECALL_MS, LONGEST_MS);
    let view = View { voter_slots: (0..KEEPERS).map(name).collect(), hears: true, ..View::default() };
    node.agreed(timestamp(0), view);
    node
}

/// Three keepers, and a node of its own that begins calls.
fn fleet() -> Vec<Takeover> {
    (0..=KEEPERS).map(node).collect()
}

/// Carries what is said until nobody says any more; how many words that took.
fn carry(fleet: &mut [Takeover], now: Timestamp) -> u64 {
    let mut words = 0;
    loop {
        let mut said = Vec::new();
        for (from, node) in fleet.iter_mut().enumerate() {
            for step in node.take_all() {
                if let Step::Say(to, word) = step {
                    said.push((from, to, word));
                }
            }
        }
        if said.is_empty() {
            return words;
        }
        words += said.len() as u64;
        for (from, to, word) in said {
            let to = (0..fleet.len()).find(|at| name(*at) == to).unwrap();
            fleet[to].heard(now, &name(from), word);
        }
    }
}

fn attempt(work: u64) -> Attempt {
    Attempt { work: Work(work), host: work % 50, ran: None, left_ms: 1_500, latest: timestamp(90_000) }
}

fn begin(fleet: &mut [Takeover], work: u64, now: Timestamp) {
    fleet[KEEPERS].intend(now, work, attempt(work));
    carry(fleet, now);
}

fn end(fleet: &mut [Takeover], work: u64, now: Timestamp) {
    fleet[KEEPERS].ended(now, work, Outcome::Answered);
    carry(fleet, now);
}

fn holding(records: u64) -> Vec<Takeover> {
    let mut fleet = fleet();
    for work in 0..records {
        begin(&mut fleet, work, timestamp(20_000));
        end(&mut fleet, work, timestamp(20_000));
    }
    fleet
}

/// A call of four nodes together: its intent kept by three, and its end; what they hold beside it.
#[divan::bench(args = [0, 1_000, 30_000])]
fn a_call_kept_by_three(bencher: Bencher, records: u64) {
    let mut fleet = holding(records);
    let mut work = records;
    bencher.bench_local(|| {
        work += 1;
        begin(&mut fleet, work, timestamp(20_000));
        end(&mut fleet, work, timestamp(20_000));
    });
}

/// A repeat: three looks, its intent, its end.
#[divan::bench]
fn a_repeat_that_was_answered(bencher: Bencher) {
    let mut fleet = holding(1_000);
    let mut call = 10_000;
    bencher.bench_local(|| {
        call += 1;
        let work = Work(call % 1_000);
        fleet[KEEPERS].returned(timestamp(20_010), call, work, 1_400);
        carry(&mut fleet, timestamp(20_010));
        end(&mut fleet, call, timestamp(20_010));
    });
}

/// One keeper that holds so many: the bytes it has allocated, by so many, are a record's.
#[divan::bench(args = [1_000, 10_000, 100_000], sample_count = 5)]
fn memory_of_a_keeper(bencher: Bencher, records: u64) {
    // Said by a node that this keeper only hears.
    let mut fleet = fleet();
    let mut words: Vec<Word> = Vec::new();
    for work in 0..records {
        fleet[KEEPERS].intend(timestamp(20_000), work, attempt(work));
        let keeps = |step| match step {
            Step::Say(to, word @ Word::Keep(_)) if to == name(0) => Some(word),
            _ => None,
        };
        words.extend(fleet[KEEPERS].take_all().into_iter().filter_map(keeps));
    }
    let owner = name(KEEPERS);
    bencher.bench_local(|| {
        let mut keeper = node(0);
        for word in &words {
            keeper.heard(timestamp(20_000), &owner, word.clone());
            black_box(keeper.take_all());
        }
        assert_eq!(keeper.keeper.held() as u64, records);
        keeper
    });
}
