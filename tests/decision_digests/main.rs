//! The decisions are deterministic for a seed. Drawn days drive a node through its port, and a digest of every
//! action, in order, has to equal the digest recorded in `tests/fixtures/decision-digests.txt`.
//!
//! A recorded digest may change only in a commit that changes a decision, and that says why.

mod day;
mod recorder;

use day::Day;

const RECORDED: &str = include_str!("../fixtures/decision-digests.txt");

/// `seed digest actions`, a line each.
fn recorded() -> Vec<(u64, u64, u64)> {
    let parse = |line: &str| {
        let mut words = line.split_whitespace();
        let mut next = || words.next().expect("each line has three words");
        let seed = next().parse().expect("a seed is a number");
        let digest = u64::from_str_radix(next(), 16).expect("a digest is hexadecimal");
        (seed, digest, next().parse().expect("a count is a number"))
    };
    RECORDED.lines().filter(|line| !line.starts_with('#')).map(parse).collect()
}

#[test]
fn drawn_days_give_the_recorded_actions() {
    let recorded = recorded();
    assert_eq!(recorded.len(), 64, "a day is missing from the fixture");
    let mut differing = Vec::new();
    let mut kinds = [0; 10];
    for (seed, digest, actions) in recorded {
        let (played, by_kind) = Day::new(seed).play();
        let count: u64 = by_kind.iter().sum();
        if (played, count) != (digest, actions) {
            differing.push(format!("{seed} {played:016x} {count}"));
        }
        kinds.iter_mut().zip(by_kind).for_each(|(sum, count)| *sum += count);
    }
    assert!(differing.is_empty(), "days that went otherwise, as played now:\n{}", differing.join("\n"));
    // A day that never rejects or moves anything would show nothing of rejects or moves.
    assert!(kinds[1..].iter().all(|count| *count >= 50), "actions by kind: {kinds:?}");
}
