//! The tables of the store's file, whose entries carry checksums.

use std::collections::BTreeMap;

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableError};

/// At most one value per [`StoreKey`], by the key's number.
const VALUES: TableDefinition<u8, &[u8]> = TableDefinition::new("values");

/// The log entries by index, without gaps.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Why a store's file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The database library reports an error, with this message.
    #[error("{0}")]
    Database(String),
    /// The database library panicked.
    #[error("the database library panicked while reading the store file")]
    Panicked,
    /// A value is damaged.
    #[error("a stored value does not match its checksum")]
    ValueChecksum,
    /// A log entry is damaged.
    #[error("a log entry does not match its checksum")]
    EntryChecksum,
    /// A value's key is not known to this version.
    #[error("the store file holds a value with an unknown key, written by another version")]
    UnknownKey,
    /// The log has a gap.
    #[error("log entry {index} is missing")]
    MissingEntry {
        /// The index of the first missing entry.
        index: usize,
    },
}

impl ReadError {
    /// Converts any error of the database library, which has a separate error type for each operation.
    pub(crate) fn database(error: impl std::fmt::Display) -> ReadError {
        ReadError::Database(error.to_string())
    }
}

/// Reads the whole contents of the file.
pub(crate) fn read_state(database: &Database) -> Result<StoredState, ReadError> {
    let transaction = database.begin_read().map_err(ReadError::database)?;
    Ok(StoredState { values: read_values(&transaction)?, log: read_log(&transaction)? })
}

fn read_values(transaction: &ReadTransaction) -> Result<BTreeMap<StoreKey, Vec<u8>>, ReadError> {
    let keys: BTreeMap<u8, StoreKey> = StoreKey::ALL.iter().map(|key| (*key as u8, *key)).collect();
    let mut values = BTreeMap::new();
    let table = match transaction.open_table(VALUES) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(values),
        Err(error) => return Err(ReadError::database(error)),
    };
    for entry in table.iter().map_err(ReadError::database)? {
        let (number, checksummed) = entry.map_err(ReadError::database)?;
        let value = verify_checksum(checksummed.value()).ok_or(ReadError::ValueChecksum)?;
        let key = keys.get(&number.value()).ok_or(ReadError::UnknownKey)?;
        values.insert(*key, value);
    }
    Ok(values)
}

fn read_log(transaction: &ReadTransaction) -> Result<Vec<Vec<u8>>, ReadError> {
    let mut log = Vec::new();
    let table = match transaction.open_table(LOG) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(log),
        Err(error) => return Err(ReadError::database(error)),
    };
    for (index, entry) in table.iter().map_err(ReadError::database)?.enumerate() {
        let (number, checksummed) = entry.map_err(ReadError::database)?;
        if number.value() != index as u64 {
            return Err(ReadError::MissingEntry { index });
        }
        log.push(verify_checksum(checksummed.value()).ok_or(ReadError::EntryChecksum)?);
    }
    Ok(log)
}

/// Writes a batch in one transaction, so that either all of it reaches the disk or none.
pub(crate) fn write_batch(database: &Database, writes: &[StoreWrite]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut values = transaction.open_table(VALUES)?;
        let mut log = transaction.open_table(LOG)?;
        for write in writes {
            match write {
                StoreWrite::Put(key, value) => {
                    values.insert(*key as u8, add_checksum(value).as_slice())?;
                }
                StoreWrite::Remove(key) => {
                    values.remove(*key as u8)?;
                }
                StoreWrite::Log(index, entry) => {
                    log.retain_in::<u64, _>(index + 1.., |_, _| false)?;
                    log.insert(index, add_checksum(entry).as_slice())?;
                }
                StoreWrite::Cut(index) => log.retain_in::<u64, _>(*index.., |_, _| false)?,
            }
        }
    }
    transaction.commit()?;
    Ok(())
}

/// Prefixes a value with its CRC-32.
fn add_checksum(value: &[u8]) -> Vec<u8> {
    [&crc32fast::hash(value).to_le_bytes(), value].concat()
}

/// Removes the CRC-32 prefix. Returns `None` if the value does not match it.
fn verify_checksum(checksummed: &[u8]) -> Option<Vec<u8>> {
    let (checksum, value) = checksummed.split_first_chunk::<4>()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(value)).then(|| value.to_vec())
}
