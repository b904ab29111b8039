//! Opening a store: its lock, its file, and what to do if the file cannot be read.

use std::fs::{File, OpenOptions};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use glendeck_fleet::StoredState;
use redb::Database;

use crate::disk::{Disk, DiskFaults};
use crate::tables::{ReadError, read_state};

const STORE_FILE: &str = "fleet.redb";
const LOCK_FILE: &str = "fleet.lock";

/// Where a file that cannot be read is moved.
const UNREADABLE_FILE: &str = "fleet.redb.unreadable";

/// Why a store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder does not exist.
    #[error("the store's folder {0:?} is not there")]
    NoFolder(PathBuf),
    /// Another process holds the lock.
    #[error("another process has the store in {0:?}")]
    InUse(PathBuf),
    /// A file in the folder cannot be created, opened or moved.
    #[error("cannot write in the store's folder {folder:?}: {source}")]
    Unwritable {
        /// The store's folder.
        folder: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file cannot be used by the library.
    #[error("cannot open the store in {folder:?}: {source}")]
    Database {
        /// The store's folder.
        folder: PathBuf,
        /// The library's error.
        source: Box<redb::Error>,
    },
    /// Even an empty file cannot be read.
    #[error("cannot open the store in {folder:?}: {source}")]
    Unreadable {
        /// The store's folder.
        folder: PathBuf,
        /// What is wrong with the file.
        source: ReadError,
    },
}

/// A store that was opened, and what it held.
pub struct Opened {
    /// What the store held; empty if it could not be read.
    pub saved: StoredState,
    /// Why the file could not be read. It was moved aside, and the store begins empty.
    pub unreadable: Option<ReadError>,
    pub(crate) file: LockedDatabase,
}

/// The store's database, and the lock that is held as long as it is open.
pub(crate) struct LockedDatabase {
    /// Declared, and so dropped, before the lock.
    pub(crate) database: Database,
    _lock: File,
}

/// Opens the store in this folder, which must exist.
///
/// `faults` makes the disk misbehave, in tests.
///
/// # Errors
/// A missing, unwritable or full folder, or one that another process uses. A file that cannot be read is no error: it is
/// moved aside and reported in [`Opened::unreadable`].
pub fn open(folder: &Path, faults: Option<Arc<dyn DiskFaults>>) -> Result<Opened, StoreError> {
    if !folder.is_dir() {
        return Err(StoreError::NoFolder(folder.to_owned()));
    }
    let lock = open_file(folder, LOCK_FILE)?;
    if lock.try_lock().is_err() {
        return Err(StoreError::InUse(folder.to_owned()));
    }
    let read = open_database(folder, faults.clone())?.and_then(|database| {
        let saved = catch_unwind(AssertUnwindSafe(|| read_state(&database)));
        let saved = saved.unwrap_or(Err(ReadError::Panicked))?;
        Ok((database, saved))
    });
    match read {
        Ok((database, saved)) => {
            Ok(Opened { saved, unreadable: None, file: LockedDatabase { database, _lock: lock } })
        }
        Err(reason) => {
            let moved = std::fs::rename(folder.join(STORE_FILE), folder.join(UNREADABLE_FILE));
            moved.map_err(|source| unwritable(folder, source))?;
            let database = open_database(folder, faults)?
                .map_err(|source| StoreError::Unreadable { folder: folder.to_owned(), source })?;
            Ok(Opened {
                saved: StoredState::default(),
                unreadable: Some(reason),
                file: LockedDatabase { database, _lock: lock },
            })
        }
    }
}

/// The outer error is that the file cannot be opened, the inner one that it is damaged.
fn open_database(
    folder: &Path,
    faults: Option<Arc<dyn DiskFaults>>,
) -> Result<Result<Database, ReadError>, StoreError> {
    let file = open_file(folder, STORE_FILE)?;
    let disk = Disk::new(file, faults)
        .map_err(|source| StoreError::Database { folder: folder.to_owned(), source: Box::new(source) })?;
    // The library trusts pages that it has not checked, and panics on some damage. All pages are checked here, while
    // nobody waits.
    let built = catch_unwind(AssertUnwindSafe(|| {
        Database::builder().set_check_integrity_on_open(true).create_with_backend(disk)
    }));
    Ok(match built {
        Ok(built) => built.map_err(ReadError::database),
        Err(_) => Err(ReadError::Panicked),
    })
}

fn open_file(folder: &Path, name: &str) -> Result<File, StoreError> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(name))
        .map_err(|source| unwritable(folder, source))
}

fn unwritable(folder: &Path, source: std::io::Error) -> StoreError {
    StoreError::Unwritable { folder: folder.to_owned(), source }
}
