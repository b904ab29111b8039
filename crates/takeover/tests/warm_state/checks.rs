//! The invariants that are checked at each tick, and of adopted hints at each adoption.

use glendeck_takeover::warm_state::{Hints, replicas_of};

use super::{NODES, VOTERS, World, index_of, marker, name, pair, view};

impl World {
    /// Checks that the hints are exactly what one process published at one moment.
    pub(super) fn check_published_together(&mut self, index: usize, publisher: usize, hints: &Hints) {
        let published = marker(hints.keys().copied())
            .and_then(|(incarnation, count)| self.history.get(&(publisher, incarnation, count)));
        if published != Some(hints) {
            self.report_violation(format!(
                "n{index} has hints that n{publisher} never published together: {hints:?}"
            ));
        }
    }

    pub(super) fn check_replicas(&mut self) {
        for index in 0..VOTERS {
            for publisher in 0..NODES {
                let Some(exchange) = &self.nodes[index].exchange else { continue };
                let replica_hints = exchange.stored_hints(&name(publisher)).cloned();
                if let Some(hints) = &replica_hints {
                    self.check_published_together(index, publisher, hints);
                }
                let stored_marker = replica_hints.and_then(|hints| marker(hints.keys().copied()));
                if let Some((incarnation, count)) = stored_marker {
                    let key = (index, self.nodes[index].incarnation, publisher, incarnation);
                    let previous = self.last_counts.insert(key, count);
                    if previous.is_some_and(|previous| previous > count) {
                        self.report_violation(format!(
                            "n{index} goes back from publication {previous:?} to {count} of n{publisher}"
                        ));
                    }
                }
                // Without faults, a replica has hints that were published within the last two seconds, once
                // it has had time to receive all.
                let (replica_node, publisher_node) = (&self.nodes[index], &self.nodes[publisher]);
                let is_settled = self.now > replica_node.started_at.max(publisher_node.started_at) + 7_000
                    && self
                        .cuts
                        .get(&pair(index, publisher))
                        .is_none_or(|cut| self.now > cut.0.max(cut.1) + 7_000);
                let is_replica = replicas_of(&view(), &name(publisher)).contains(&name(index));
                let must_be_current = self.message_faults == [0, 0]
                    && is_settled
                    && is_replica
                    && publisher_node.exchange.is_some();
                if must_be_current
                    && stored_marker.is_none_or(|(incarnation, count)| {
                        incarnation != publisher_node.incarnation || count + 2 < publisher_node.publish_count
                    })
                {
                    let (incarnation, count) = (publisher_node.incarnation, publisher_node.publish_count);
                    self.report_violation(format!(
                        "n{index} has (incarnation, publish count) {stored_marker:?} of n{publisher}, \
                         which is at ({incarnation}, {count})"
                    ));
                }
            }
        }
    }

    /// Checks that every linked node has adopted the hints of a killed node in time, if a running replica
    /// stores them.
    pub(super) fn check_kills(&mut self) {
        let due_kills: Vec<_> = self.kills.iter().copied().filter(|kill| self.now >= kill.0 + 600).collect();
        self.kills.retain(|kill| self.now < kill.0 + 600);
        let is_settled = |since: u64, at: u64| since + 8_000 < at;
        for (killed_at, killed, incarnation) in due_kills {
            // No notice is required if the node is back by now, or if messages or links had faults around
            // that time.
            let is_disturbed = self.message_faults != [0, 0]
                || self.nodes[killed].exchange.is_some()
                || self.nodes[killed].incarnation != incarnation
                || self.cuts.values().any(|cut| !is_settled(cut.0.max(cut.1), killed_at));
            let replica = replicas_of(&view(), &name(killed)).iter().map(index_of).find(|index| {
                self.nodes[*index].exchange.is_some() && is_settled(self.nodes[*index].started_at, killed_at)
            });
            let Some(replica) = replica.filter(|_| !is_disturbed) else { continue };
            for index in (0..NODES).filter(|index| *index != killed) {
                let node = &self.nodes[index];
                let is_up = node.exchange.is_some() && is_settled(node.started_at, killed_at);
                let was_told = self
                    .adopted_at
                    .get(&(index, node.incarnation, killed, incarnation))
                    .is_some_and(|told_at| *told_at >= killed_at);
                if is_up && !was_told {
                    self.report_violation(format!(
                        "n{index} is not told that n{killed} was killed at {killed_at}, \
                         though n{replica} stores its hints"
                    ));
                }
            }
        }
    }
}
