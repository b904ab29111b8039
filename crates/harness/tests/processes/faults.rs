//! Faults of processes, disks and clocks.

use std::path::{Path, PathBuf};
use std::time::Instant;

use rustix::process::Signal;

use crate::{PATIENCE, Run, until};

impl Run {
    pub(crate) fn play_faults(&mut self, words: &[&str]) {
        match words {
            ["kill", unit] => {
                self.cluster.kill(self.node(unit));
                self.asked = Instant::now();
            }
            ["kill", "all", "voters"] => (0..self.cluster.spec.voters).for_each(|at| self.cluster.kill(at)),
            ["start", "all"] => {
                (0..self.cluster.spec.nodes).for_each(|at| self.cluster.start_node(at).unwrap())
            }
            ["next", unit] => {
                let at = self.node(unit);
                self.cluster.start_successor(at).unwrap();
                until(&format!("{unit} replaced"), PATIENCE, || self.cluster.is_predecessor_replaced(at));
            }
            ["end", unit] => self.cluster.signal(self.node(unit), Signal::TERM),
            ["ended", unit] => self.cluster.end_predecessor(self.node(unit)).unwrap(),
            ["start", unit] => self.cluster.start_node(self.node(unit)).unwrap(),
            ["stop", unit] => {
                self.cluster.signal(self.node(unit), Signal::STOP);
                self.asked = Instant::now();
            }
            ["continue", unit] => self.cluster.signal(self.node(unit), Signal::CONT),
            ["copy", unit] => {
                let file = self.file(self.node(unit));
                std::fs::copy(&file, file.with_extension("copy")).unwrap();
            }
            ["older", unit] => {
                let file = self.file(self.node(unit));
                std::fs::copy(file.with_extension("copy"), &file).unwrap();
            }
            ["nofolder", unit] => {
                let store = self.cluster.store(self.node(unit));
                std::fs::remove_dir_all(&store).unwrap();
                std::fs::create_dir_all(&store).unwrap();
            }
            ["torn", unit] => {
                let file = self.file(self.node(unit));
                let bytes = std::fs::read(&file).unwrap();
                std::fs::write(&file, &bytes[..bytes.len() / 2]).unwrap();
            }
            ["flip", unit] => flip(&self.file(self.node(unit))),
            ["disk", unit, execute] => {
                let execute = if *execute == "well" { "" } else { execute };
                self.cluster.set_disk_fault(self.node(unit), execute).unwrap();
            }
            ["clock", unit, ahead] => self.cluster.set_clock(self.node(unit), ahead.parse().unwrap()),
            other => panic!("unknown line {other:?}"),
        }
    }

    fn file(&self, at: usize) -> PathBuf {
        self.cluster.store(at).join("fleet.redb")
    }
}

/// One bit of each KiB: wherever the log is, it is hit.
fn flip(file: &Path) {
    let mut bytes = std::fs::read(file).unwrap();
    for at in (100..bytes.len()).step_by(1_024) {
        bytes[at] ^= 4;
    }
    std::fs::write(file, bytes).unwrap();
}
