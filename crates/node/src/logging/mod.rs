//! The node's log on standard error.
//!
//! Lines are queued, and a thread of their own writes them: the event loop neither waits for whatever collects
//! the log nor fails with it. Lines that find the queue full, or that cannot be written, are lost. They are
//! counted, and their number precedes the next line that is written.

mod output;
#[cfg(test)]
mod tests;

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io;
use std::panic::{self, PanicHookInfo};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use tracing::error;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use self::output::LogOutput;
pub(crate) use self::output::LostLines;
use crate::signals::without_signals;

/// Number of lines that wait to be written: about 1 MB of them.
const QUEUED_LINES: usize = 4_096;

/// Maximum time that the exit waits for the last lines to be written. The platform kills the process no sooner
/// than 0.15 s after its last answers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The log of this process. Dropping it writes the lines that are still queued, as far as that takes no longer
/// than [`FLUSH_TIMEOUT`].
pub(crate) struct Log {
    /// Counts lines that were lost.
    pub lost_lines: Arc<LostLines>,
    worker: Option<WorkerGuard>,
}

impl Log {
    /// Logs events and panics from this level on to standard error. May be called once in a process.
    pub(crate) fn start(level: LevelFilter) -> Log {
        let lost_lines = Arc::new(LostLines::default());
        let output = LogOutput::new(io::stderr(), lost_lines.clone());
        let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUED_LINES).lossy(true);
        let (queue, worker) = without_signals(|| builder.thread_name("log").finish(output));
        lost_lines.count_dropped_by(queue.error_counter());
        // The fmt layer would report a failed write to standard error itself.
        let subscriber = tracing_subscriber::fmt().log_internal_errors(false).with_ansi(false);
        subscriber.with_max_level(level).with_writer(queue).init();
        panic::set_hook(Box::new(log_panic));
        Log { lost_lines, worker: Some(worker) }
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        let Some(worker) = self.worker.take() else { return };
        let (flushed, is_flushed) = mpsc::channel();
        // The guard waits for longer than this process may, so another thread waits for it.
        let flush = thread::Builder::new().spawn(move || {
            drop(worker);
            let _ = flushed.send(());
        });
        if flush.is_ok() {
            let _ = is_flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Logs a panic. The standard hook writes to standard error itself, and a collector that does not read would
/// keep the process from ending.
fn log_panic(info: &PanicHookInfo<'_>) {
    let backtrace = Backtrace::capture();
    let message = info.to_string().replace('\n', " ");
    if backtrace.status() == BacktraceStatus::Captured {
        error!(%backtrace, "{message}");
    } else {
        error!("{message}");
    }
}
