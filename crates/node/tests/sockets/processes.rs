//! Steps on the node's processes and their surroundings.

use std::process::ExitStatus;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::Value;

use crate::PATIENCE;
use crate::connection::ReservedAddress;
use crate::discovery::{Discovery, Entry, Registry};
use crate::front::SteadyFront;
use crate::log_collector::LogSetup;
use crate::world::{NodeProcess, World};

/// A process that is told to end has exited by now: the longest deadline of the scenarios' settings (1.5 s),
/// what the node adds to that (0.4 s) and the time to send its last answers (0.15 s), with room for a busy
/// machine.
pub(crate) const EXIT_LIMIT: Duration = Duration::from_millis(2_500);

impl World {
    pub(crate) fn play_process(&mut self, words: &[&str]) {
        match words {
            ["next"] => self.start_successor(),
            ["next", "kill"] => self.kill_successor(),
            ["kill"] => self.process.child.kill().unwrap(),
            ["term"] => {
                self.process.signal(Signal::TERM);
                self.restart_timer();
            }
            ["exit", code] => {
                let status = self.await_exit();
                assert_eq!(status.code(), Some(code.parse().unwrap()));
            }
            ["old", "term"] => {
                self.predecessors.last().unwrap().signal(Signal::TERM);
                self.restart_timer();
            }
            ["old", "exit", code] => {
                let status = self.predecessors.last_mut().unwrap().child.wait().unwrap();
                assert_eq!(status.code(), Some(code.parse().unwrap()));
            }
            ["old", "admin", method, path, status] => {
                let admin = self.predecessors.last().unwrap().admin.address;
                self.expect_admin_status(admin, method, path, status);
            }
            ["old", "kill"] => self.predecessors.last_mut().unwrap().child.kill().unwrap(),
            ["first", "exits"] => self.end_first_predecessor(),
            ["stop"] => self.stop_process(),
            ["go"] => self.process.signal(Signal::CONT),
            ["steady", "start"] => self.steady_front = Some(SteadyFront::start(self.listen_address())),
            ["steady", "stop"] => self.steady_front.take().unwrap().stop(),
            ["folder", "gone"] => std::fs::remove_dir_all(&self.folder).unwrap(),
            other => panic!("unknown process step {other:?}"),
        }
    }

    fn start_successor(&mut self) {
        let admin = ReservedAddress::new();
        let discovery = self.config["discovery"].as_str().unwrap().parse().unwrap();
        let successor =
            NodeProcess::start(&self.config_path, discovery, &self.folder, admin, LogSetup::default());
        self.predecessors.push(std::mem::replace(&mut self.process, successor));
        self.restart_timer();
    }

    /// The successor dies, and the process before it is this node's again.
    fn kill_successor(&mut self) {
        let predecessor = self.predecessors.pop().unwrap();
        drop(std::mem::replace(&mut self.process, predecessor));
    }

    /// Ends the process before the predecessor, which migrates the clients that it still has.
    fn end_first_predecessor(&mut self) {
        std::thread::sleep(Duration::from_millis(50));
        let index = self.predecessors.len() - 2;
        let process = &mut self.predecessors[index];
        process.signal(Signal::TERM);
        let start = Instant::now();
        let status = process.child.wait().unwrap();
        let elapsed = start.elapsed();
        assert!(status.success(), "{status}");
        assert!(elapsed < EXIT_LIMIT, "took {elapsed:?}");
    }

    /// What happens while the process is stopped lies there when it goes on, in this order.
    fn stop_process(&mut self) {
        self.process.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.process.child.id());
        let deadline = Instant::now() + PATIENCE;
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(Instant::now() < deadline, "it does not stop");
            std::thread::yield_now();
        }
    }

    pub(crate) fn await_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.process.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "still running");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub(crate) fn play_reload(&mut self, words: &[&str]) {
        match words {
            ["elsewhere"] => self.move_discovery(),
            ["bad"] => {
                // A key before the fault has changed too: nothing of such a file counts.
                let mut config = self.config.clone();
                config["discovery"] = "127.0.0.1:9".into();
                config["settings"] = 7.into();
                self.reload(&config);
            }
            ["never", changes @ ..] => self.write_config(&self.config_with(changes)),
            ["unheard", changes @ ..] => self.reload(&self.config_with(changes)),
            ["settings", changes @ ..] => {
                self.reload(&self.config_with(changes));
                // The signal is there before the first request, and what is there in one turn is done in it.
                for _ in 0..2 {
                    self.call_admin("GET", "/v1/readyz").unwrap();
                }
            }
            other => panic!("unknown reload {other:?}"),
        }
    }

    /// The configuration with these changes of its settings. They are made to the settings of the start, so that
    /// no change at all is the way back.
    fn config_with(&self, changes: &[&str]) -> Value {
        let mut config = self.config.clone();
        for change in changes {
            change_setting(&mut config["settings"], change);
        }
        config
    }

    /// The new service has versions of its own, from the start; the old one ends its watches.
    fn move_discovery(&mut self) {
        let entries: Vec<Entry> =
            self.discovery.entries().into_iter().map(|entry| Entry { version: 0, ..entry }).collect();
        self.discovery.update(|registry| registry.is_down = true);
        self.discovery = Discovery::start(Registry { entries, ..Registry::default() });
        self.config["discovery"] = self.discovery.address.to_string().into();
        self.reload(&self.config);
        self.restart_timer();
    }
}

/// Applies `/path/to/key=value`; for the key `-`, inserts a copy of a list's first item of this name before
/// the others.
fn change_setting(settings: &mut Value, change: &str) {
    let (path, value) = change.split_once('=').unwrap();
    let (parent, key) = path.rsplit_once('/').unwrap();
    let value: Value = serde_json::from_str(value).unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    if let Some(list) = parent.as_array_mut().filter(|_| key == "-") {
        list.insert(0, list[0].clone());
        list[0]["name"] = value;
    } else {
        parent[key] = value;
    }
}
