//! What a node must not forget, on disk: the log, its votes and its incarnation.
//!
//! One file in a folder of the node's own, written by a thread of its own: a disk that stalls delays nobody but whoever
//! waits for this very batch. After the first failure the store is dead; it is not tried again into silence.

mod disk;

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

pub use disk::{Faults, Instead};

const VALUES: TableDefinition<u8, &[u8]> = TableDefinition::new("values");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

const FILE: &str = "fleet.redb";
const LOCK: &str = "fleet.lock";

/// Why a store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("the store's folder {0:?} is not there")]
    NoFolder(PathBuf),
    #[error("another process has the store in {0:?}")]
    InUse(PathBuf),
    #[error("cannot write in the store's folder {folder:?}: {fault}")]
    Unwritable { folder: PathBuf, fault: std::io::Error },
    #[error("cannot open the store in {folder:?}: {fault}")]
    Unopened { folder: PathBuf, fault: String },
}

/// What came of a batch.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    Written(u64),
    /// The store is dead, for this reason.
    Dead(String),
}

/// A store and what it held when it was opened.
pub struct Opened {
    pub saved: StoredState,
    /// Something could not be read: it is set aside, and the store begins empty.
    pub spoilt: Option<String>,
    database: Database,
    lock: File,
}

fn checked(bytes: &[u8]) -> Option<Vec<u8>> {
    let (sum, value) = bytes.split_first_chunk::<4>()?;
    (u32::from_le_bytes(*sum) == crc32fast::hash(value)).then(|| value.to_vec())
}

fn sealed(value: &[u8]) -> Vec<u8> {
    [&crc32fast::hash(value).to_le_bytes(), value].concat()
}

/// What is in the file, or what is wrong with it.
fn read(database: &Database) -> Result<StoredState, String> {
    let reading = database.begin_read().map_err(|fault| fault.to_string())?;
    let mut saved = StoredState::default();
    match reading.open_table(VALUES) {
        Ok(table) => {
            let keys: BTreeMap<u8, StoreKey> = StoreKey::ALL.iter().map(|key| (*key as u8, *key)).collect();
            for entry in table.iter().map_err(|fault| fault.to_string())? {
                let (number, value) = entry.map_err(|fault| fault.to_string())?;
                let value = checked(value.value()).ok_or("a value does not match its checksum")?;
                let key = keys.get(&number.value()).ok_or("it holds a value of another version")?;
                saved.values.insert(*key, value);
            }
        }
        Err(redb::TableError::TableDoesNotExist(_)) => {}
        Err(fault) => return Err(fault.to_string()),
    }
    match reading.open_table(LOG) {
        Ok(table) => {
            for (at, entry) in table.iter().map_err(|fault| fault.to_string())?.enumerate() {
                let (number, entry) = entry.map_err(|fault| fault.to_string())?;
                if number.value() != at as u64 {
                    return Err(format!("entry {at} of its log is missing"));
                }
                saved.log.push(checked(entry.value()).ok_or("an entry does not match its checksum")?);
            }
        }
        Err(redb::TableError::TableDoesNotExist(_)) => {}
        Err(fault) => return Err(fault.to_string()),
    }
    Ok(saved)
}

fn write(database: &Database, writes: &[StoreWrite]) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    {
        let mut values = writing.open_table(VALUES)?;
        let mut log = writing.open_table(LOG)?;
        for write in writes {
            match write {
                StoreWrite::Put(key, value) => drop(values.insert(*key as u8, sealed(value).as_slice())?),
                StoreWrite::Remove(key) => drop(values.remove(*key as u8)?),
                StoreWrite::Log(at, entry) => {
                    log.retain_in::<u64, _>(at + 1.., |_, _| false)?;
                    log.insert(at, sealed(entry).as_slice())?;
                }
                StoreWrite::Cut(at) => log.retain_in::<u64, _>(*at.., |_, _| false)?,
            }
        }
    }
    writing.commit()?;
    Ok(())
}

/// Opens the store in this folder, which must exist.
///
/// # Errors
/// A missing, unwritable or full folder, or one that another process uses. What cannot be read is no error: it is set
/// aside and said.
pub fn open(folder: &Path, faults: Option<Arc<dyn Faults>>) -> Result<Opened, StoreError> {
    if !folder.is_dir() {
        return Err(StoreError::NoFolder(folder.to_owned()));
    }
    let unwritable = |fault| StoreError::Unwritable { folder: folder.to_owned(), fault };
    let make = |name: &str| {
        let path = folder.join(name);
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path).map_err(unwritable)
    };
    let lock = make(LOCK)?;
    if lock.try_lock().is_err() {
        return Err(StoreError::InUse(folder.to_owned()));
    }
    let database = |faults: Option<Arc<dyn Faults>>| -> Result<Result<Database, String>, StoreError> {
        let disk = disk::Disk::new(make(FILE)?, faults)
            .map_err(|fault| StoreError::Unopened { folder: folder.to_owned(), fault: fault.to_string() })?;
        // Danger: the library trusts what it does not look at. All pages are gone through while nobody waits.
        let built = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            Database::builder().set_check_integrity_on_open(true).create_with_backend(disk)
        }));
        Ok(match built {
            Ok(built) => built.map_err(|fault| fault.to_string()),
            Err(_) => Err("it cannot be read at all".into()),
        })
    };
    let opened = database(faults.clone())?.and_then(|database| {
        let saved = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| read(&database)));
        let saved = saved.unwrap_or_else(|_| Err("it cannot be read at all".into()))?;
        Ok((database, saved))
    });
    match opened {
        Ok((database, saved)) => Ok(Opened { saved, spoilt: None, database, lock }),
        Err(spoilt) => {
            let (path, aside) = (folder.join(FILE), folder.join("fleet.redb.unreadable"));
            std::fs::rename(path, aside).map_err(unwritable)?;
            let database = database(faults)?
                .map_err(|fault| StoreError::Unopened { folder: folder.to_owned(), fault })?;
            Ok(Opened { saved: StoredState::default(), spoilt: Some(spoilt), database, lock })
        }
    }
}

/// The thread that writes, from the side of those who want something written.
pub struct Store {
    batches: SyncSender<(u64, Vec<StoreWrite>)>,
    outcomes: Receiver<Outcome>,
}

/// Batches that may wait. Whoever writes one waits for it before the next, so that there is never a second.
const BATCHES: usize = 4;

impl Opened {
    /// Starts the thread. A byte comes on `wake` with each outcome.
    ///
    /// # Errors
    /// The system grants no thread.
    pub fn start(self, mut wake: UnixStream) -> Result<Store, std::io::Error> {
        let (batches, from) = sync_channel::<(u64, Vec<StoreWrite>)>(BATCHES);
        let (to, outcomes) = sync_channel(BATCHES * 2);
        let Opened { database, lock, .. } = self;
        std::thread::Builder::new().name("store".into()).spawn(move || {
            // Held as long as the file is.
            let _lock = lock;
            for (batch, writes) in from {
                let outcome = match write(&database, &writes) {
                    Ok(()) => Outcome::Written(batch),
                    Err(fault) => Outcome::Dead(fault.to_string()),
                };
                let dead = matches!(outcome, Outcome::Dead(_));
                if to.send(outcome).is_err() || wake.write_all(&[0]).is_err() || dead {
                    return;
                }
            }
        })?;
        Ok(Store { batches, outcomes })
    }
}

impl Store {
    /// Hands over a batch; never waits. Whether it was taken.
    pub fn write(&self, batch: u64, writes: Vec<StoreWrite>) -> bool {
        match self.batches.try_send((batch, writes)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// What has come of batches since.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcomes.try_recv().ok()
    }
}
