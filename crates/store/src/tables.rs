//! The tables in the store's file, and their entries with checksums.

use std::collections::BTreeMap;

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableError};

/// One value for each [`StoreKey`], by its number.
const VALUES: TableDefinition<u8, &[u8]> = TableDefinition::new("values");

/// The log's entries by their index, without gaps.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Why a store's file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The library reports damage, by this message.
    #[error("{0}")]
    Database(String),
    /// The library panicked.
    #[error("it cannot be read at all")]
    Panicked,
    /// A value is damaged.
    #[error("a value does not match its checksum")]
    ValueChecksum,
    /// An entry of the log is damaged.
    #[error("an entry does not match its checksum")]
    EntryChecksum,
    /// A value's key is not known here.
    #[error("it holds a value of another version")]
    UnknownKey,
    /// The log has a gap.
    #[error("entry {index} of its log is missing")]
    MissingEntry {
        /// The index of the first entry that is missing.
        index: usize,
    },
}

impl ReadError {
    /// The library has an error type of its own for each operation.
    pub(crate) fn database(error: impl std::fmt::Display) -> ReadError {
        ReadError::Database(error.to_string())
    }
}

/// Reads all that the file holds.
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
        let (number, sealed) = entry.map_err(ReadError::database)?;
        let value = unseal(sealed.value()).ok_or(ReadError::ValueChecksum)?;
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
        let (number, sealed) = entry.map_err(ReadError::database)?;
        if number.value() != index as u64 {
            return Err(ReadError::MissingEntry { index });
        }
        log.push(unseal(sealed.value()).ok_or(ReadError::EntryChecksum)?);
    }
    Ok(log)
}

/// Writes a batch in one transaction: it is on disk whole or not at all.
pub(crate) fn write_batch(database: &Database, writes: &[StoreWrite]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut values = transaction.open_table(VALUES)?;
        let mut log = transaction.open_table(LOG)?;
        for write in writes {
            match write {
                StoreWrite::Put(key, value) => {
                    values.insert(*key as u8, seal(value).as_slice())?;
                }
                StoreWrite::Remove(key) => {
                    values.remove(*key as u8)?;
                }
                StoreWrite::Log(index, entry) => {
                    log.retain_in::<u64, _>(index + 1.., |_, _| false)?;
                    log.insert(index, seal(entry).as_slice())?;
                }
                StoreWrite::Cut(index) => log.retain_in::<u64, _>(*index.., |_, _| false)?,
            }
        }
    }
    transaction.commit()?;
    Ok(())
}

/// The bytes behind their CRC-32.
fn seal(value: &[u8]) -> Vec<u8> {
    [&crc32fast::hash(value).to_le_bytes(), value].concat()
}

/// The bytes behind a CRC-32 that they match.
fn unseal(sealed: &[u8]) -> Option<Vec<u8>> {
    let (checksum, value) = sealed.split_first_chunk::<4>()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(value)).then(|| value.to_vec())
}
