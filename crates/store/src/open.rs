//! Opens a store: takes its lock, opens its file, and replaces a file that cannot be read.

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

/// The name to which an unreadable store file is moved.
const UNREADABLE_FILE: &str = "fleet.redb.unreadable";

/// Why a store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder does not exist, or is not a folder.
    #[error("store folder {0:?} does not exist or is not a folder")]
    NoFolder(PathBuf),
    /// Another process holds the lock.
    #[error("store in folder {0:?} is in use by another process")]
    InUse(PathBuf),
    /// A file in the folder cannot be created, opened or moved.
    #[error("cannot create, open or move a file in store folder {folder:?}: {source}")]
    Unwritable {
        /// The store's folder.
        folder: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The database library cannot use the file.
    #[error("cannot open the store file in folder {folder:?}: {source}")]
    Database {
        /// The store's folder.
        folder: PathBuf,
        /// The database library's error.
        source: Box<redb::Error>,
    },
    /// The new, empty file that replaces an unreadable one cannot be read either.
    #[error("cannot open a new store file in folder {folder:?} in place of the unreadable one: {source}")]
    Unreadable {
        /// The store's folder.
        folder: PathBuf,
        /// What is wrong with the file.
        source: ReadError,
    },
}

/// An open store and its contents when it was opened.
pub struct Opened {
    /// The contents of the store; empty if the file could not be read.
    pub saved: StoredState,
    /// Why the file could not be read, if so. The file was then moved aside, and the store starts empty.
    pub unreadable: Option<ReadError>,
    pub(crate) file: LockedDatabase,
}

/// The store's database, and the lock that is held while it is open.
pub(crate) struct LockedDatabase {
    /// Declared before the lock, so that it is closed before the lock is released.
    pub(crate) database: Database,
    _lock: File,
}

/// Opens the store in `folder`, which must exist.
///
/// Tests pass `faults` to make the disk fail.
///
/// # Errors
/// Fails if the folder is missing, unwritable, full or in use by another process. A file that cannot be read
/// is no error: it is moved aside and reported in [`Opened::unreadable`].
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

/// Opens the database. The outer error means that the file cannot be opened, the inner one that the database
/// library cannot read it, as when it is damaged.
fn open_database(
    folder: &Path,
    faults: Option<Arc<dyn DiskFaults>>,
) -> Result<Result<Database, ReadError>, StoreError> {
    let file = open_file(folder, STORE_FILE)?;
    let disk = Disk::new(file, faults)
        .map_err(|source| StoreError::Database { folder: folder.to_owned(), source: Box::new(source) })?;
    // The database library trusts pages that it has not checked and panics on some damage. All pages are
    // therefore checked on opening, when no request waits for them.
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
