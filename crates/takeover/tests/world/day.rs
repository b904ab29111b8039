//! Days: the faults that are injected, and how hosts, links and clients behave.

use nanorand::{Rng, WyRand};

use super::{LOST_AFTER_MS, NODES, VOTERS};

#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Kill(usize),
    Start(usize),
    Stop(usize),
    Continue(usize),
    /// It ends as planned, and hands its records over to its next process.
    Leave(usize),
    Link(usize, usize, Link),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Link {
    Up,
    Cut,
    Slow,
}

pub(crate) struct Day {
    pub(super) faults: Vec<(u64, Fault)>,
    /// Percentages of hosts' replies: rejected, ran without a reply, ran with a late one, ran and failed.
    pub(super) host_replies: [u64; 4],
    /// Percentages of messages: lost, sent twice.
    pub(super) noise: [u64; 2],
    /// Percentage of repeats that go to two nodes at once.
    pub(super) twins: u64,
    /// Percentage of clients that give up early, which their node notices late.
    pub(super) impatient: u64,
    /// All clients come to this node first, within this time.
    pub(super) crowd: Option<(usize, u64, u64)>,
}

impl Day {
    pub(crate) fn calm() -> Day {
        Day { faults: vec![], host_replies: [0; 4], noise: [0; 2], twins: 0, impatient: 0, crowd: None }
    }

    #[expect(clippy::too_many_lines, reason = "one arm a kind of event")]
    pub(crate) fn draw(seed: u64) -> Day {
        if seed % 5 == 4 {
            return Day::false_verdict(seed);
        }
        let mut chance = WyRand::new_seed(seed ^ 0xda7);
        let mut roll = |below: u64| chance.generate_range(0..below);
        let mut faults = Vec::new();
        for _ in 0..2 + roll(9) {
            let (at, one, other) =
                (9_000 + roll(22_000), roll(NODES as u64) as usize, roll(NODES as u64) as usize);
            let lasts = at + [200 + roll(900), 1_000 + roll(5_000), 6_000 + roll(9_000)][roll(3) as usize];
            match roll(10) {
                8 | 9 => {
                    faults.push((at, Fault::Leave(one)));
                    faults.push((lasts, Fault::Start(one)));
                }
                0 | 1 => {
                    faults.push((at, Fault::Kill(one)));
                    faults.push((lasts, Fault::Start(one)));
                }
                2..4 => {
                    faults.push((at, Fault::Stop(one)));
                    faults.push((lasts, Fault::Continue(one)));
                }
                4 => {
                    for (from, to) in [(one, other), (other, one)] {
                        faults.push((at, Fault::Link(from, to, Link::Cut)));
                        faults.push((lasts, Fault::Link(from, to, Link::Up)));
                    }
                }
                5 => {
                    // Cut off from its peers, not from clients and hosts; or one way.
                    let ways = roll(3);
                    for to in (0..NODES).filter(|to| *to != one) {
                        for (way, from, to) in [(1, one, to), (2, to, one)] {
                            if ways != way {
                                faults.push((at, Fault::Link(from, to, Link::Cut)));
                                faults.push((lasts, Fault::Link(from, to, Link::Up)));
                            }
                        }
                    }
                }
                6 => {
                    for to in (0..NODES).filter(|to| *to != one) {
                        for (from, to) in [(one, to), (to, one)] {
                            faults.push((at, Fault::Link(from, to, Link::Slow)));
                            faults.push((lasts, Fault::Link(from, to, Link::Up)));
                        }
                    }
                }
                _ => {
                    // Some at once: replicas with their node, a zone, or all.
                    let some = 1 + roll((1 << NODES) - 1);
                    for at_once in (0..NODES).filter(|node| some >> node & 1 == 1) {
                        faults.push((at, Fault::Kill(at_once)));
                        faults.push((lasts, Fault::Start(at_once)));
                    }
                }
            }
        }
        let host_replies = [roll(30), roll(20), roll(20), roll(10)];
        Day {
            faults,
            host_replies,
            noise: [roll(4), roll(6)],
            twins: roll(60),
            impatient: roll(2) * roll(50),
            crowd: None,
        }
    }

    /// A node that serves and reaches two replicas is called lost: the leader does not hear it.
    fn false_verdict(seed: u64) -> Day {
        let mut chance = WyRand::new_seed(seed ^ 0xfa15e);
        let mut roll = |below: u64| chance.generate_range(0..below);
        let (one, cut) = (VOTERS + roll(2) as usize, 12_000 + roll(1_000));
        let mut faults = Vec::new();
        for (from, to) in [(one, 0), (0, one)] {
            faults.push((cut, Fault::Link(from, to, Link::Cut)));
            faults.push((cut + 12_000, Fault::Link(from, to, Link::Up)));
        }
        let host_replies = [20 + roll(30), roll(30), roll(20), roll(10)];
        let crowd = Some((one, cut + LOST_AFTER_MS - 2_500, cut + LOST_AFTER_MS));
        Day { faults, host_replies, noise: [0, 0], twins: 0, impatient: 60 + roll(40), crowd }
    }
}
