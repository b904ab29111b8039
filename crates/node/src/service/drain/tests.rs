use std::collections::{HashSet, VecDeque};

use glendeck::domain::Time;

use super::{DrainChange, DrainState};

/// The oldest process of a node, one that replaces it, and one that replaces that.
const PROCESSES: usize = 3;

const NOW: Time = Time(0);

/// Three processes in a chain, and what they have sent to each other.
#[derive(Clone, Default)]
struct Chain {
    processes: [DrainState; PROCESSES],
    /// Changes in transit, by sender and receiver.
    links: [[VecDeque<DrainChange>; PROCESSES]; PROCESSES],
}

impl Chain {
    fn report(&mut self, process: usize, sender: Option<usize>) {
        let change = self.processes[process].last_change(NOW);
        for neighbour in 0..PROCESSES {
            if neighbour.abs_diff(process) == 1 && Some(neighbour) != sender {
                self.links[process][neighbour].push_back(change);
            }
        }
    }

    fn order(&mut self, process: usize, is_drain: bool) {
        if self.processes[process].order(is_drain.then_some(NOW)) {
            self.report(process, None);
        }
    }

    fn deliver(&mut self, sender: usize, receiver: usize) {
        if let Some(change) = self.links[sender][receiver].pop_front()
            && self.processes[receiver].follow(change, NOW)
        {
            self.report(receiver, Some(sender));
        }
    }

    fn busy_links(&self) -> Vec<(usize, usize)> {
        let links = (0..PROCESSES).flat_map(|sender| (0..PROCESSES).map(move |receiver| (sender, receiver)));
        links.filter(|(sender, receiver)| !self.links[*sender][*receiver].is_empty()).collect()
    }

    fn key(&self) -> String {
        format!("{:?} {:?}", self.processes, self.links)
    }
}

/// Plays these orders, with changes arriving at any time between them and after.
fn play(chain: &Chain, orders: &[(usize, bool)], seen: &mut HashSet<String>) {
    if !seen.insert(format!("{} {}", orders.len(), chain.key())) {
        return;
    }
    let busy_links = chain.busy_links();
    if let Some(((process, is_drain), later)) = orders.split_first() {
        let mut next = chain.clone();
        next.order(*process, *is_drain);
        play(&next, later, seen);
    } else if busy_links.is_empty() {
        let [first, others @ ..] = &chain.processes;
        assert!(others.iter().all(|other| other == first), "{:?}", chain.processes);
    }
    for (sender, receiver) in busy_links {
        let mut next = chain.clone();
        next.deliver(sender, receiver);
        play(&next, orders, seen);
    }
}

/// Contrary orders to two processes crossed on their way, and each took the other's: one drained, one did not.
#[test]
fn processes_agree_on_the_drain_whatever_orders_cross() {
    let orders: Vec<(usize, bool)> =
        (0..PROCESSES).flat_map(|process| [(process, true), (process, false)]).collect();
    for first in &orders {
        for second in &orders {
            for third in &orders {
                for fourth in &orders {
                    play(&Chain::default(), &[*first, *second, *third, *fourth], &mut HashSet::new());
                }
            }
        }
    }
}
