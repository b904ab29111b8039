//! The file in the node's folder by which a process hands the records that it stores for other nodes' calls
//! to its successor. It is written at a planned exit, once this process no longer waits for clients. The
//! handover of connections is separate, see [`crate::handover`].

use std::io::Write as _;
use std::path::Path;

use glendeck_takeover::ReplicaHandover;
use tracing::warn;

use crate::peers::{append_checksum, strip_checksum};
use crate::service::Service;

/// Name of the file, in the same folder as the store.
const FILE_NAME: &str = "work";

/// Temporary name of the file until it is complete.
const NEW_FILE_NAME: &str = "work.new";

/// Content of the file. The order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct HandoverFile {
    /// The store's boot count in the process that wrote the file.
    pub(super) boot_count: u64,
    /// The records that the process stored as a replica.
    pub(super) replica: ReplicaHandover,
}

/// Error from decoding the file.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandoverFileError {
    /// The checksum is missing or wrong.
    #[error("the file's checksum is missing or wrong")]
    Damaged,
    /// The content cannot be decoded.
    #[error("cannot decode the file: {0}")]
    Decode(#[from] postcard::Error),
}

impl HandoverFile {
    /// Encodes the file, with a checksum. A bit flipped on disk could move a record to other work, and the
    /// replica would lose a record that it has acknowledged.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(self)?;
        append_checksum(&mut bytes);
        Ok(bytes)
    }

    /// Decodes the bytes of a file.
    pub(super) fn decode(bytes: &[u8]) -> Result<HandoverFile, HandoverFileError> {
        let content = strip_checksum(bytes).ok_or(HandoverFileError::Damaged)?;
        Ok(postcard::from_bytes(content)?)
    }

    /// Writes the file into a folder atomically.
    fn write(&self, folder: &Path) -> std::io::Result<()> {
        let bytes = self.encode().map_err(std::io::Error::other)?;
        let new_path = folder.join(NEW_FILE_NAME);
        let mut file = std::fs::File::create(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&new_path, folder.join(FILE_NAME))
    }
}

impl Service {
    /// Writes the records that this process stores for other nodes' calls to the file, for its successor.
    pub(crate) fn write_work_handover(&mut self) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let Some(folder) = &membership.folder else { return };
        let Some(work) = &mut membership.work else { return };
        let boot_count = membership.fleet.boot_count().0;
        let file = HandoverFile { boot_count, replica: work.takeover.hand_over(now) };
        if let Err(cause) = file.write(folder) {
            warn!(%cause, "cannot write the stored intents for the successor: it will not answer queries about repeats at first");
        }
    }

    /// Reads the records that the predecessor left. An outdated file lacks the records stored after it was
    /// written, so it is removed once read, and is used only if its boot count is the one before this
    /// process's. As the whole folder may be an old copy, the records are restored only once the other
    /// voters have confirmed this node's voter slot.
    pub(crate) fn read_work_handover(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let Some(path) = membership.folder.as_ref().map(|folder| folder.join(FILE_NAME)) else { return };
        let Some(work) = &mut membership.work else { return };
        let Ok(bytes) = std::fs::read(&path) else { return };
        if std::fs::remove_file(&path).is_err() {
            return;
        }
        let file = match HandoverFile::decode(&bytes) {
            Ok(file) => file,
            Err(cause) => {
                warn!(%cause, "cannot read the predecessor's stored intents: not answering queries about repeats at first");
                work.inherited = None;
                return;
            }
        };
        let previous_boot = membership.fleet.boot_count().0.checked_sub(1);
        let is_from_predecessor = Some(file.boot_count) == previous_boot;
        work.inherited = is_from_predecessor.then_some(file.replica);
    }
}
