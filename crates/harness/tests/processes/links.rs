//! Faults of the links between nodes.

use glendeck_harness::LinkFault;

use crate::{Run, seconds};

impl Run {
    pub(crate) fn play_links(&mut self, words: &[&str]) {
        match words {
            ["cut", rest @ ..] => self.link(LinkFault::Cut, rest),
            ["stall", rest @ ..] => self.link(LinkFault::Stalled, rest),
            ["slow", rest @ ..] => self.link(LinkFault::Slow, rest),
            ["trickle", rest @ ..] => self.link(LinkFault::Trickle, rest),
            ["garble", rest @ ..] => self.link(LinkFault::Garbled, rest),
            // Whoever has a link dials no other.
            ["dials", most, long] => {
                let before = self.cluster.links.dials();
                std::thread::sleep(seconds(long));
                let dials = self.cluster.links.dials() - before;
                assert!(dials <= most.parse().unwrap(), "{dials} dials in {long} s");
            }
            ["reset", one] => {
                let at = self.node(one);
                for other in (0..self.cluster.spec.nodes).filter(|other| *other != at) {
                    self.cluster.links.reset(at, other);
                    self.cluster.links.reset(other, at);
                }
            }
            ["heal"] => self.cluster.links.heal(),
            other => panic!("unknown line {other:?}"),
        }
    }

    fn link(&self, fault: LinkFault, words: &[&str]) {
        match words {
            [one] if one.contains('>') => {
                let (from, to) = one.split_once('>').unwrap();
                self.cluster.links.set(self.node(from), self.node(to), fault);
            }
            [one] => self.cluster.set_all_links(self.node(one), fault),
            [one, other] => {
                let (one, other) = (self.node(one), self.node(other));
                self.cluster.links.set(one, other, fault);
                self.cluster.links.set(other, one, fault);
            }
            other => panic!("which link is {other:?}"),
        }
    }
}
