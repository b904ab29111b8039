//! Scenarios: the faults that are injected, and how hosts, links and clients behave.

use nanorand::{Rng, WyRand};

use super::{LOST_AFTER_MS, NODES, VOTERS};

#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    /// The process ends as planned, and hands its records over to the next process of the node.
    HandOver(usize),
    Link(usize, usize, Link),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Link {
    Up,
    Cut,
    Slow,
}

pub(crate) struct Scenario {
    /// Each fault with its time, in ms.
    pub(super) faults: Vec<(u64, Fault)>,
    /// Percentages of hosts' replies: rejected, ran without a reply, ran with a late one, ran and failed.
    pub(super) host_replies: [u64; 4],
    /// Percentages of messages: lost, sent twice.
    pub(super) message_faults: [u64; 2],
    /// Percentage of repeats that go to two nodes at once.
    pub(super) double_repeats: u64,
    /// Percentage of clients that give up early; their node notices that late.
    pub(super) early_give_ups: u64,
    /// If set, all clients arrive at this node first, between these two times in ms.
    pub(super) burst: Option<(usize, u64, u64)>,
}

impl Scenario {
    pub(crate) fn without_faults() -> Scenario {
        Scenario {
            faults: vec![],
            host_replies: [0; 4],
            message_faults: [0; 2],
            double_repeats: 0,
            early_give_ups: 0,
            burst: None,
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm per kind of fault")]
    pub(crate) fn from_seed(seed: u64) -> Scenario {
        if seed % 5 == 4 {
            return Scenario::false_loss_verdict(seed);
        }
        let mut random = WyRand::new_seed(seed ^ 0xda7);
        let mut roll = |below: u64| random.generate_range(0..below);
        let mut faults = Vec::new();
        for _ in 0..2 + roll(9) {
            let (at, one, other) =
                (9_000 + roll(22_000), roll(NODES as u64) as usize, roll(NODES as u64) as usize);
            let ends_at = at + [200 + roll(900), 1_000 + roll(5_000), 6_000 + roll(9_000)][roll(3) as usize];
            match roll(10) {
                8 | 9 => {
                    faults.push((at, Fault::HandOver(one)));
                    faults.push((ends_at, Fault::Start(one)));
                }
                0 | 1 => {
                    faults.push((at, Fault::Kill(one)));
                    faults.push((ends_at, Fault::Start(one)));
                }
                2..4 => {
                    faults.push((at, Fault::Pause(one)));
                    faults.push((ends_at, Fault::Resume(one)));
                }
                4 => {
                    for (from, to) in [(one, other), (other, one)] {
                        faults.push((at, Fault::Link(from, to, Link::Cut)));
                        faults.push((ends_at, Fault::Link(from, to, Link::Up)));
                    }
                }
                5 => {
                    // A node is cut off from its peers in both directions or one, but not from clients and
                    // hosts.
                    // 0 cuts both directions, 1 only messages to the node, 2 only messages from it.
                    let cut_direction = roll(3);
                    for to in (0..NODES).filter(|to| *to != one) {
                        for (uncut_in, from, to) in [(1, one, to), (2, to, one)] {
                            if cut_direction != uncut_in {
                                faults.push((at, Fault::Link(from, to, Link::Cut)));
                                faults.push((ends_at, Fault::Link(from, to, Link::Up)));
                            }
                        }
                    }
                }
                6 => {
                    for to in (0..NODES).filter(|to| *to != one) {
                        for (from, to) in [(one, to), (to, one)] {
                            faults.push((at, Fault::Link(from, to, Link::Slow)));
                            faults.push((ends_at, Fault::Link(from, to, Link::Up)));
                        }
                    }
                }
                _ => {
                    // Several nodes are killed at once: replicas together with the owner, a zone, or all
                    // nodes.
                    let killed_mask = 1 + roll((1 << NODES) - 1);
                    for killed in (0..NODES).filter(|node| killed_mask >> node & 1 == 1) {
                        faults.push((at, Fault::Kill(killed)));
                        faults.push((ends_at, Fault::Start(killed)));
                    }
                }
            }
        }
        let host_replies = [roll(30), roll(20), roll(20), roll(10)];
        Scenario {
            faults,
            host_replies,
            message_faults: [roll(4), roll(6)],
            double_repeats: roll(60),
            early_give_ups: roll(2) * roll(50),
            burst: None,
        }
    }

    /// A node that serves and reaches two replicas is declared lost, because the leader does not hear it.
    fn false_loss_verdict(seed: u64) -> Scenario {
        let mut random = WyRand::new_seed(seed ^ 0xfa15e);
        let mut roll = |below: u64| random.generate_range(0..below);
        let (one, cut_at) = (VOTERS + roll(2) as usize, 12_000 + roll(1_000));
        let mut faults = Vec::new();
        for (from, to) in [(one, 0), (0, one)] {
            faults.push((cut_at, Fault::Link(from, to, Link::Cut)));
            faults.push((cut_at + 12_000, Fault::Link(from, to, Link::Up)));
        }
        let host_replies = [20 + roll(30), roll(30), roll(20), roll(10)];
        let burst = Some((one, cut_at + LOST_AFTER_MS - 2_500, cut_at + LOST_AFTER_MS));
        Scenario {
            faults,
            host_replies,
            message_faults: [0, 0],
            double_repeats: 0,
            early_give_ups: 60 + roll(40),
            burst,
        }
    }
}
