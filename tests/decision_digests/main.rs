//! Guards against unintended changes of decisions, which are deterministic for a seed. Random simulations
//! drive a node through its port. The digest of all its actions, in order, and of the state it exposes must
//! equal the one recorded in `tests/fixtures/decision-digests.txt`, as must the number of actions.
//!
//! A recorded digest may change only in a commit that changes a decision and explains why.

mod recorder;
mod simulation;

use simulation::Simulation;

const RECORDED: &str = include_str!("../fixtures/decision-digests.txt");

/// Parses the fixture's lines, each `seed digest actions`.
fn recorded() -> Vec<(u64, u64, u64)> {
    let parse = |line: &str| {
        let mut fields = line.split_whitespace();
        let mut next = || fields.next().expect("each line has three fields");
        let seed = next().parse().expect("a seed is a number");
        let digest = u64::from_str_radix(next(), 16).expect("a digest is hexadecimal");
        (seed, digest, next().parse().expect("a count is a number"))
    };
    RECORDED.lines().filter(|line| !line.starts_with('#')).map(parse).collect()
}

#[test]
fn random_simulations_produce_the_recorded_actions() {
    let recorded = recorded();
    assert_eq!(recorded.len(), 64, "number of simulations in the fixture");
    let mut differing = Vec::new();
    let mut counts_by_kind = [0; 10];
    for (seed, digest, actions) in recorded {
        let (actual, by_kind) = Simulation::new(seed).run();
        let count: u64 = by_kind.iter().sum();
        if (actual, count) != (digest, actions) {
            differing.push(format!("{seed} {actual:016x} {count}"));
        }
        counts_by_kind.iter_mut().zip(by_kind).for_each(|(sum, count)| *sum += count);
    }
    assert!(differing.is_empty(), "actual values of differing simulations:\n{}", differing.join("\n"));
    // Without enough actions of a kind, the digests would not cover the decisions behind them.
    assert!(counts_by_kind[1..].iter().all(|count| *count >= 50), "actions by kind: {counts_by_kind:?}");
}
