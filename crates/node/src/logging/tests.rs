use std::cell::RefCell;
use std::io::{self, ErrorKind, Write};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::info;
use tracing::level_filters::LevelFilter;

use super::output::{LogOutput, LostLines};
use super::{Log, QUEUED_LINES};

/// Set in the process that panics.
const PANIC_VARIABLE: &str = "GLENDECK_TEST_PANIC";

/// Takes lines while it is up. Clones are the same collector.
#[derive(Clone, Default)]
struct Collector(Rc<RefCell<CollectorState>>);

#[derive(Default)]
struct CollectorState {
    is_down: bool,
    text: Vec<u8>,
}

impl Write for Collector {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.flush()?;
        self.0.borrow_mut().text.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.0.borrow().is_down { Err(ErrorKind::BrokenPipe.into()) } else { Ok(()) }
    }
}

#[test]
fn lines_that_cannot_be_written_are_counted_and_told_once() {
    let lost_lines = Arc::new(LostLines::default());
    let collector = Collector::default();
    let mut output = LogOutput::new(collector.clone(), lost_lines.clone());
    output.write_all(b"first\n").unwrap();
    collector.0.borrow_mut().is_down = true;
    for _ in 0..3 {
        output.write_all(b"lost\n").unwrap();
        output.flush().unwrap();
    }
    assert_eq!(lost_lines.total(), 3);
    collector.0.borrow_mut().is_down = false;
    output.write_all(b"second\n").unwrap();
    output.write_all(b"third\n").unwrap();
    let text = String::from_utf8(collector.0.borrow().text.clone()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let [first, told, second, third] = lines[..] else { panic!("{text}") };
    assert_eq!((first, second, third), ("first", "second", "third"));
    assert!(told.contains("  WARN ") && told.ends_with(": log lines were lost lines=3"), "{told}");
}

/// The standard panic hook waits for standard error, and the process would neither serve nor end.
#[test]
fn a_panic_ends_the_process_although_nobody_reads_its_log() {
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "--nocapture", "logging::tests::panics_if_told"])
        .env(PANIC_VARIABLE, "1")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let end = Instant::now() + Duration::from_secs(10);
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if Instant::now() > end {
            child.kill().unwrap();
            panic!("the process still runs");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert_eq!(status.code(), Some(101));
}

/// The process that [`a_panic_ends_the_process_although_nobody_reads_its_log`] starts.
#[test]
fn panics_if_told() {
    if std::env::var_os(PANIC_VARIABLE).is_none() {
        return;
    }
    let _log = Log::start(LevelFilter::INFO);
    for _ in 0..2 * QUEUED_LINES {
        info!("a line of the log, which nobody reads");
    }
    panic!("a fault");
}
