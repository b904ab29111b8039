//! Loads of calls that are over, kept for when their clients return.

use rustc_hash::FxHashMap;

use crate::domain::SubjectId;

/// Two generations of loads: entries live for one to two periods of [`LoadCache::rotate`].
#[derive(Default)]
struct Generations([FxHashMap<SubjectId, f64>; 2]);

impl Generations {
    fn load(&self, subject: SubjectId) -> Option<f64> {
        self.0.iter().find_map(|loads| loads.get(&subject).copied())
    }

    fn insert(&mut self, subject: SubjectId, load: f64) {
        self.0[0].insert(subject, load);
    }

    fn rotate(&mut self) {
        self.0.swap(0, 1);
        self.0[0].clear();
    }
}

/// Loads of recent calls that are over, at this node and at lost nodes.
///
/// The two are kept apart: a load known from this node shows that the returning client's last call was here,
/// so it is not displaced and load limits are not raised for it. A load from a lost node does not show that.
#[derive(Default)]
pub(crate) struct LoadCache {
    local: Generations,
    from_lost_nodes: Generations,
}

impl LoadCache {
    /// Load of the client's last call at this node.
    pub(crate) fn local_load(&self, subject: SubjectId) -> Option<f64> {
        self.local.load(subject)
    }

    /// Load of the client's last connection at a lost node.
    pub(crate) fn lost_node_load(&self, subject: SubjectId) -> Option<f64> {
        self.from_lost_nodes.load(subject)
    }

    /// Records the load of a call of this node that is over.
    pub(crate) fn insert_local(&mut self, subject: SubjectId, load: f64) {
        self.local.insert(subject, load);
    }

    /// Records a load from the warm state of a lost node.
    pub(crate) fn insert_from_lost_node(&mut self, subject: SubjectId, load: f64) {
        self.from_lost_nodes.insert(subject, load);
    }

    /// All recorded loads of this node's calls that are over.
    pub(crate) fn local_loads(&self) -> impl Iterator<Item = (SubjectId, f64)> {
        self.local.0.iter().flatten().map(|(subject, load)| (*subject, *load))
    }

    /// Starts a new generation and drops the older one.
    pub(crate) fn rotate(&mut self) {
        self.local.rotate();
        self.from_lost_nodes.rotate();
    }
}
