//! Where a process writes its log, and a stand-in for what collects it.

use std::fs::File;
use std::io::{ErrorKind, Read};
use std::process::{ChildStderr, Stdio};
use std::time::{Duration, Instant};

use rustix::pipe::fcntl_setpipe_size;

use crate::PATIENCE;
use crate::node_config::NodeOptions;

/// A pipe holds no less: some thirty lines.
const PIPE_SIZE: usize = 4_096;

/// The log level and the standard error of a process.
pub(crate) struct LogSetup {
    pub level: Option<String>,
    pub output: Stdio,
}

impl Default for LogSetup {
    fn default() -> LogSetup {
        LogSetup { level: None, output: Stdio::null() }
    }
}

impl LogSetup {
    /// `log=debug` is the level, `stderr=` where the log goes: `pipe` to a collector, or `full`, a full disk.
    pub(crate) fn from_options(options: &NodeOptions) -> LogSetup {
        let output = match options.text("stderr") {
            None => Stdio::null(),
            Some("pipe") => Stdio::piped(),
            Some("full") => File::options().write(true).open("/dev/full").unwrap().into(),
            Some(other) => panic!("unknown standard error {other:?}"),
        };
        LogSetup { level: options.text("log").map(str::to_owned), output }
    }
}

/// Collects a log, but only while it is told to read. Dropping it closes the pipe.
pub(crate) struct LogCollector {
    pipe: ChildStderr,
    text: String,
}

impl LogCollector {
    pub(crate) fn new(pipe: ChildStderr) -> LogCollector {
        rustix::io::ioctl_fionbio(&pipe, true).unwrap();
        fcntl_setpipe_size(&pipe, PIPE_SIZE).unwrap();
        LogCollector { pipe, text: String::new() }
    }

    /// Reads until a line has this text, and returns the line.
    pub(crate) fn await_line(&mut self, text: &str) -> String {
        let deadline = Instant::now() + PATIENCE;
        loop {
            if let Some(line) = self.text.lines().find(|line| line.contains(text)) {
                return line.to_owned();
            }
            assert!(Instant::now() < deadline, "no line has {text:?}: {}", self.text);
            self.read();
        }
    }

    fn read(&mut self) {
        let mut buffer = [0; PIPE_SIZE];
        match self.pipe.read(&mut buffer) {
            Ok(count) => self.text += std::str::from_utf8(&buffer[..count]).unwrap(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => panic!("{error}"),
        }
    }
}
