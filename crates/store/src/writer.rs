//! The thread that writes batches to the store.

use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use glendeck_fleet::StoreWrite;

use crate::open::{LockedDatabase, Opened};
use crate::tables::write_batch;

/// Capacity of the queue of batches. One would do, as the caller waits for the outcome of a batch before it
/// writes the next.
const MAX_WAITING_BATCHES: usize = 4;

/// The result of a batch.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch with this number is on disk.
    Written(u64),
    /// A write failed for this reason; the store accepts no further batch.
    Failed(String),
}

struct Batch {
    number: u64,
    writes: Vec<StoreWrite>,
}

/// A store with a running writer thread.
pub struct Store {
    batches: SyncSender<Batch>,
    outcomes: Receiver<Outcome>,
}

impl Opened {
    /// Starts the writer thread, which sends one byte on `wake` after each outcome.
    ///
    /// # Errors
    /// Fails if the operating system cannot create the thread.
    pub fn start(self, wake: UnixStream) -> Result<Store, std::io::Error> {
        let file = self.file;
        let (batches, received_batches) = sync_channel(MAX_WAITING_BATCHES);
        let (sent_outcomes, outcomes) = sync_channel(MAX_WAITING_BATCHES * 2);
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || write_batches(&file, &received_batches, &sent_outcomes, wake))?;
        Ok(Store { batches, outcomes })
    }
}

/// Writes batches until a write fails, an outcome cannot be reported, or the [`Store`] is dropped.
fn write_batches(
    file: &LockedDatabase,
    batches: &Receiver<Batch>,
    outcomes: &SyncSender<Outcome>,
    mut wake: UnixStream,
) {
    for batch in batches {
        let outcome = match write_batch(&file.database, &batch.writes) {
            Ok(()) => Outcome::Written(batch.number),
            Err(error) => Outcome::Failed(error.to_string()),
        };
        let has_failed = matches!(outcome, Outcome::Failed(_));
        let is_reported = outcomes.send(outcome).is_ok() && wake.write_all(&[0]).is_ok();
        if has_failed || !is_reported {
            return;
        }
    }
}

impl Store {
    /// Queues a batch for the writer thread without blocking. Returns `false` if the queue is full or the
    /// writer thread has ended.
    pub fn write(&self, number: u64, writes: Vec<StoreWrite>) -> bool {
        self.batches.try_send(Batch { number, writes }).is_ok()
    }

    /// Returns the next outcome that has not been read yet, if any.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcomes.try_recv().ok()
    }
}
