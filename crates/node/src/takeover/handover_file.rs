//! What a process stores for other nodes' calls goes to its successor in a file of the node's folder, as the
//! process ends as planned and nobody waits for it.

use std::io::Write as _;
use std::path::Path;

use glendeck_takeover::ReplicaHandover;
use tracing::warn;

use crate::peers::{seal, unseal};
use crate::service::Service;

/// Name of the file, beside the store.
const FILE_NAME: &str = "work";

/// Name under which it is written until it is whole.
const NEW_FILE_NAME: &str = "work.new";

/// What the file holds. The order of the fields is part of its form.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(super) struct HandoverFile {
    /// The boot count of the store in the process that wrote it.
    pub(super) boot_count: u64,
    /// What that process stored.
    pub(super) replica: ReplicaHandover,
}

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandoverFileError {
    /// Its checksum is wrong.
    #[error("it is damaged")]
    Damaged,
    /// It has another form.
    #[error("it cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

impl HandoverFile {
    /// The bytes of the file, with a checksum: a bit that a disk turns over would make a record another
    /// work's, and the replica would forget one that it has vouched for.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_stdvec(self)?;
        seal(&mut bytes);
        Ok(bytes)
    }

    /// Reads the bytes of a file.
    pub(super) fn decode(bytes: &[u8]) -> Result<HandoverFile, HandoverFileError> {
        let content = unseal(bytes).ok_or(HandoverFileError::Damaged)?;
        Ok(postcard::from_bytes(content)?)
    }

    /// Writes the file into a folder, so that it is there whole or not at all.
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
    /// Leaves what this process stores to its successor.
    pub(crate) fn write_work_handover(&mut self) {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return };
        let Some(folder) = &membership.folder else { return };
        let Some(work) = &mut membership.work else { return };
        let boot_count = membership.fleet.boot_count().0;
        let file = HandoverFile { boot_count, replica: work.takeover.hand_over(now) };
        if let Err(cause) = file.write(folder) {
            warn!(%cause, "cannot leave the stored intents to the successor: it will not answer for repeats at first");
        }
    }

    /// Takes what the predecessor left. An older copy of the file knows nothing of what was stored since, so
    /// the file is removed once it was read, and must be of the process just before by the store's boot
    /// count. As the whole folder may be an older copy, it counts only when the other voters have given this
    /// node a slot.
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
                warn!(%cause, "cannot read the predecessor's stored intents: not answering for repeats at first");
                work.inherited = None;
                return;
            }
        };
        let previous_boot = membership.fleet.boot_count().0.checked_sub(1);
        let is_of_predecessor = Some(file.boot_count) == previous_boot;
        work.inherited = is_of_predecessor.then_some(file.replica);
    }
}
