//! The end of the log's queue: writes lines and counts those that are lost.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};

/// Counts the log lines that were lost since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct LostLines {
    /// Lines that found the queue full.
    dropped: OnceLock<ErrorCounter>,
    /// Lines that could not be written.
    unwritten: AtomicU64,
}

impl LostLines {
    /// Includes the lines that this queue drops. Only the first queue counts.
    pub(super) fn count_dropped_by(&self, queue: ErrorCounter) {
        let _ = self.dropped.set(queue);
    }

    /// Number of lost lines.
    pub(crate) fn total(&self) -> u64 {
        let dropped = self.dropped.get().map_or(0, ErrorCounter::dropped_lines);
        dropped as u64 + self.unwritten.load(Ordering::Relaxed)
    }

    fn count_unwritten(&self) {
        self.unwritten.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes whole lines, and before the first one after a loss the number of lines that were lost.
pub(super) struct LogOutput<W> {
    output: W,
    lost_lines: Arc<LostLines>,
    /// How many of the lost lines the log already tells of.
    told: u64,
}

impl<W: Write> LogOutput<W> {
    pub(super) fn new(output: W, lost_lines: Arc<LostLines>) -> LogOutput<W> {
        LogOutput { output, lost_lines, told: 0 }
    }

    fn tell_lost_lines(&mut self) -> io::Result<()> {
        let total = self.lost_lines.total();
        if total > self.told {
            self.output.write_all(lost_lines_line(total - self.told).as_bytes())?;
            self.told = total;
        }
        Ok(())
    }
}

impl<W: Write> Write for LogOutput<W> {
    /// Writes one line. An error is counted and not returned: nobody could handle it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = self.tell_lost_lines().and_then(|()| self.output.write_all(line));
        if written.is_err() {
            self.lost_lines.count_unwritten();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let _ = self.output.flush();
        Ok(())
    }
}

/// A line in the format of the others.
fn lost_lines_line(count: u64) -> String {
    let mut time = String::new();
    let _ = SystemTime.format_time(&mut Writer::new(&mut time));
    format!("{time}  WARN {}: log lines were lost lines={count}\n", module_path!())
}
