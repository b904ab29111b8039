//! The replacement of a process by its successor, which continues a drain.

use super::{Event, World};

impl World {
    /// Replaces a process that is out by one of this version, which inherits its drain and its store.
    pub(crate) fn replace_drained_now(&mut self, node: usize, version: &str) {
        let process = &self.processes[node];
        let (out, is_beyond_limits) = (process.out, process.out_beyond_limits);
        let lease = out.expect("the process is out");
        self.terminate(node);
        let incarnation = self.launch(node, version.to_owned());
        let process = &mut self.processes[node];
        (process.serving, process.out, process.out_beyond_limits) = (true, out, is_beyond_limits);
        self.schedule(1_000, Event::Drained(node, incarnation, lease));
    }
}
