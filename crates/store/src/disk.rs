//! The database's file backend, where tests inject disk faults.

use std::fmt::Debug;
use std::fs::File;
use std::io;
use std::sync::Arc;

use redb::StorageBackend;
use redb::backends::FileBackend;

/// What happens to a write or sync for which [`DiskFaults`] returns no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// The operation is carried out.
    Proceed,
    /// The operation is skipped but reported as successful.
    SkipSilently,
}

/// Injected disk faults, consulted before each write and sync. Used only in tests.
pub trait DiskFaults: Debug + Send + Sync {
    /// Called before `data` is written at `offset`, and with empty `data` before the file's length is set to
    /// `offset`.
    ///
    /// # Errors
    /// The error that the operation returns instead of being carried out.
    fn on_write(&self, offset: u64, data: &[u8]) -> io::Result<FaultAction>;

    /// Called before a sync.
    ///
    /// # Errors
    /// The error that the operation returns instead of being carried out.
    fn on_sync(&self) -> io::Result<FaultAction>;
}

/// A file whose writes and syncs can be made to fail.
#[derive(Debug)]
pub(crate) struct Disk {
    file: FileBackend,
    faults: Option<Arc<dyn DiskFaults>>,
}

impl Disk {
    pub(crate) fn new(file: File, faults: Option<Arc<dyn DiskFaults>>) -> Result<Disk, redb::Error> {
        Ok(Disk { file: FileBackend::new(file)?, faults })
    }

    fn before_write(&self, offset: u64, data: &[u8]) -> io::Result<FaultAction> {
        self.faults.as_ref().map_or(Ok(FaultAction::Proceed), |faults| faults.on_write(offset, data))
    }

    fn before_sync(&self) -> io::Result<FaultAction> {
        self.faults.as_ref().map_or(Ok(FaultAction::Proceed), |faults| faults.on_sync())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, buffer)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        match self.before_write(length, &[])? {
            FaultAction::SkipSilently => Ok(()),
            FaultAction::Proceed => self.file.set_len(length),
        }
    }

    fn sync_data(&self) -> io::Result<()> {
        match self.before_sync()? {
            FaultAction::SkipSilently => Ok(()),
            FaultAction::Proceed => self.file.sync_data(),
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        match self.before_write(offset, data)? {
            FaultAction::SkipSilently => Ok(()),
            FaultAction::Proceed => self.file.write(offset, data),
        }
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}
