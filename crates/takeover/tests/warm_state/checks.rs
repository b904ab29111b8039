//! What has to hold at each moment.

use glendeck_takeover::warm_state::{Hints, replicas_of};

use super::{NODES, VOTERS, World, mark, name, number, pair, view};

impl World {
    /// Hints are what one process knew at one moment, whole.
    pub(super) fn check_whole(&mut self, at: usize, of: usize, hints: &Hints) {
        let was = mark(hints.keys().copied())
            .and_then(|(incarnation, said)| self.history.get(&(of, incarnation, said)));
        if was != Some(hints) {
            self.report_violation(format!("n{at} has of n{of} what it never knew at one moment: {hints:?}"));
        }
    }

    pub(super) fn check_replicas(&mut self) {
        for at in 0..VOTERS {
            for of in 0..NODES {
                let Some(exchange) = &self.nodes[at].exchange else { continue };
                let kept = exchange.stored_hints(&name(of)).cloned();
                if let Some(hints) = &kept {
                    self.check_whole(at, of, hints);
                }
                let had = kept.and_then(|hints| mark(hints.keys().copied()));
                if let Some((incarnation, said)) = had {
                    let mine = (at, self.nodes[at].incarnation, of, incarnation);
                    let before = self.marks.insert(mine, said);
                    if before.is_some_and(|before| before > said) {
                        self.report_violation(format!("n{at} goes back from {before:?} to {said} of n{of}"));
                    }
                }
                // In peace a replica has what was said within the last two seconds, once it has had time to hear all.
                let (one, other) = (&self.nodes[at], &self.nodes[of]);
                let quiet = self.now > one.started_at.max(other.started_at) + 7_000
                    && self.cuts.get(&pair(at, of)).is_none_or(|cut| self.now > cut.0.max(cut.1) + 7_000);
                let keeps = replicas_of(&view(), &name(of)).contains(&name(at));
                let well = self.noise == [0, 0] && quiet && keeps && other.exchange.is_some();
                if well
                    && had.is_none_or(|(incarnation, said)| {
                        incarnation != other.incarnation || said + 2 < other.publish_count
                    })
                {
                    let (incarnation, said) = (other.incarnation, other.publish_count);
                    self.report_violation(format!(
                        "n{at} has {had:?} of n{of}, whose process {incarnation} said {said}"
                    ));
                }
            }
        }
    }

    /// All nodes that are linked to a replica of a killed node are told of it in time.
    pub(super) fn check_kills(&mut self) {
        let due: Vec<_> = self.kills.iter().copied().filter(|kill| self.now >= kill.0 + 600).collect();
        self.kills.retain(|kill| self.now < kill.0 + 600);
        let quiet = |since: u64, at: u64| since + 8_000 < at;
        for (killed, of, incarnation) in due {
            // Back within that, or an uneasy time: nothing is asked.
            let uneasy = self.noise != [0, 0]
                || self.nodes[of].exchange.is_some()
                || self.nodes[of].incarnation != incarnation
                || self.cuts.values().any(|cut| !quiet(cut.0.max(cut.1), killed));
            let replica = replicas_of(&view(), &name(of))
                .iter()
                .map(number)
                .find(|at| self.nodes[*at].exchange.is_some() && quiet(self.nodes[*at].started_at, killed));
            let Some(replica) = replica.filter(|_| !uneasy) else { continue };
            for at in (0..NODES).filter(|at| *at != of) {
                let node = &self.nodes[at];
                let there = node.exchange.is_some() && quiet(node.started_at, killed);
                let told = self
                    .adopted_at
                    .get(&(at, node.incarnation, of, incarnation))
                    .is_some_and(|told| *told >= killed);
                if there && !told {
                    self.report_violation(format!(
                        "n{at} is not told of n{of}, killed at {killed}, which n{replica} keeps"
                    ));
                }
            }
        }
    }
}
