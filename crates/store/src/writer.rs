//! The thread that writes batches.

use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use glendeck_fleet::StoreWrite;

use crate::open::{LockedDatabase, Opened};
use crate::tables::write_batch;

/// Batches that may wait. Whoever writes one waits for its outcome before the next, so that there is never a second.
const MAX_WAITING_BATCHES: usize = 4;

/// The result of a batch.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The batch of this number is on disk.
    Written(u64),
    /// The store is dead, for this reason.
    Failed(String),
}

struct Batch {
    number: u64,
    writes: Vec<StoreWrite>,
}

/// A store that is being written.
pub struct Store {
    batches: SyncSender<Batch>,
    outcomes: Receiver<Outcome>,
}

impl Opened {
    /// Starts the thread that writes. It sends one byte on `wake` with each outcome.
    ///
    /// # Errors
    /// The system grants no thread.
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

/// Writes until a write fails or nobody sends batches any more.
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
        let is_dead = matches!(outcome, Outcome::Failed(_));
        let is_reported = outcomes.send(outcome).is_ok() && wake.write_all(&[0]).is_ok();
        if is_dead || !is_reported {
            return;
        }
    }
}

impl Store {
    /// Hands a batch to the thread, and returns whether it was taken; never waits.
    pub fn write(&self, number: u64, writes: Vec<StoreWrite>) -> bool {
        self.batches.try_send(Batch { number, writes }).is_ok()
    }

    /// The next outcome that has not been taken, if any.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcomes.try_recv().ok()
    }
}
