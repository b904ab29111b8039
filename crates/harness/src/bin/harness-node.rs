//! The node as it is, on a machine whose disk does what the file named by `HARNESS_DISK` says (`fails`, `full`, `stalls`), and
//! whose wall clock is `HARNESS_CLOCK` seconds ahead.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use glendeck_store::{DiskFaults, FaultAction};

#[derive(Debug)]
struct ScriptEntry {
    file: PathBuf,
}

impl ScriptEntry {
    fn now(&self) -> String {
        std::fs::read_to_string(&self.file).unwrap_or_default().trim().to_owned()
    }
}

impl DiskFaults for ScriptEntry {
    fn on_write(&self, _: u64, _: &[u8]) -> io::Result<FaultAction> {
        match self.now().as_str() {
            "full" => Err(io::Error::from_raw_os_error(28)),
            _ => Ok(FaultAction::Proceed),
        }
    }

    fn on_sync(&self) -> io::Result<FaultAction> {
        match self.now().as_str() {
            "fails" => Err(io::Error::from_raw_os_error(5)),
            "stalls" => {
                while self.now() == "stalls" {
                    std::thread::sleep(Duration::from_millis(20));
                }
                Ok(FaultAction::Proceed)
            }
            _ => Ok(FaultAction::Proceed),
        }
    }
}

fn main() -> ExitCode {
    let told = std::env::var_os("HARNESS_DISK").map(PathBuf::from);
    let faults = told.map(|file| Arc::new(ScriptEntry { file }) as Arc<dyn DiskFaults>);
    let ahead_s = std::env::var("HARNESS_CLOCK").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    glendeck_node::run(glendeck_node::InjectedFaults { disk: faults, clock_ahead_s: ahead_s })
}
