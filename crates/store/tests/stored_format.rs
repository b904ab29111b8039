//! Checks that a store file of an earlier version can still be read. `tests/fixtures/store.txt` holds the
//! rows of its bytes that are not all zero, as hexadecimal digits.

use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use glendeck_store::{ReadError, StoreError, open};

const RECORDED: &str = include_str!("fixtures/store.txt");

const STORE_FILE: &str = "fleet.redb";

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes in one line of the fixture.
const ROW_BYTES: usize = 32;

struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("glendeck-store-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the test folder can be created");
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn writes() -> Vec<StoreWrite> {
    let mut writes: Vec<StoreWrite> = StoreKey::ALL
        .iter()
        .map(|key| StoreWrite::Put(*key, vec![*key as u8 + 1; 5 + *key as usize]))
        .collect();
    writes.extend((0..6).map(|index| StoreWrite::Log(index, vec![0xa0 + index as u8; 12 + index as usize])));
    writes.push(StoreWrite::Cut(4));
    writes.push(StoreWrite::Remove(StoreKey::Decided));
    writes
}

fn expected() -> StoredState {
    let mut expected = StoredState::default();
    expected.apply(&writes());
    expected
}

/// Encodes bytes as fixture text: a line with the length, then one line for each run of equal rows with the
/// number of its first row, the number of rows, and the bytes of a row without trailing zeros. Rows of zeros
/// are left out.
fn to_text(bytes: &[u8]) -> String {
    let rows: Vec<&[u8]> = bytes.chunks(ROW_BYTES).collect();
    let mut text = format!("length {}\n", bytes.len());
    let mut number = 0;
    for run in rows.chunk_by(|row, next| row == next) {
        let used = run[0].iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        if used > 0 {
            let digits: String = run[0][..used].iter().map(|byte| format!("{byte:02x}")).collect();
            text.push_str(&format!("{number} {} {digits}\n", run.len()));
        }
        number += run.len();
    }
    text
}

/// Decodes fixture text.
fn from_text(text: &str) -> Vec<u8> {
    let mut lines = text.lines();
    let length =
        lines.next().and_then(|line| line.strip_prefix("length ")).expect("the first line holds the length");
    let mut bytes = vec![0; length.parse().expect("the length is a number")];
    for line in lines {
        let [first, count, digits] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("fixture line does not have three fields: {line}")
        };
        let first: usize = first.parse().expect("the first row is a number");
        let count: usize = count.parse().expect("the row count is a number");
        let row = from_digits(digits);
        for number in first..first + count {
            let start = number * ROW_BYTES;
            bytes[start..start + row.len()].copy_from_slice(&row);
        }
    }
    bytes
}

fn from_digits(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2).map(|start| &digits[start..start + 2]);
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits")).collect()
}

/// Reads the store's contents, once the thread that wrote it has closed the file.
fn saved_once_closed(folder: &Path) -> (StoredState, Option<ReadError>) {
    let opened = loop {
        match open(folder, None) {
            Err(StoreError::InUse(_)) => std::thread::sleep(POLL_INTERVAL),
            other => break other.expect("the store opens"),
        }
    };
    (opened.saved.clone(), opened.unreadable.clone())
}

#[test]
fn a_recorded_store_is_read_as_it_was_written() {
    let folder = TestFolder::new("recorded");
    std::fs::write(folder.0.join(STORE_FILE), from_text(RECORDED)).expect("the recorded file can be written");
    assert_eq!(saved_once_closed(&folder.0), (expected(), None));
}

#[test]
fn rows_as_text_are_read_back() {
    let mut bytes = vec![0; 3 * ROW_BYTES];
    bytes[7] = 1;
    bytes[2 * ROW_BYTES + 5] = 0xfe;
    assert_eq!(from_text(&to_text(&bytes)), bytes);
}

/// With `RECORD_STORE=path`, also writes the bytes to that file, as the fixture for a new store format.
#[test]
fn a_store_written_now_holds_the_recorded_values() {
    let folder = TestFolder::new("written");
    let opened = open(&folder.0, None).expect("the store opens");
    let (wake, _waiting) = UnixStream::pair().expect("a socket pair can be created");
    let store = opened.start(wake).expect("the thread starts");
    assert!(store.write(1, writes()));
    while store.outcome().is_none() {
        std::thread::sleep(POLL_INTERVAL);
    }
    drop(store);
    assert_eq!(saved_once_closed(&folder.0), (expected(), None));
    if let Ok(path) = std::env::var("RECORD_STORE") {
        let bytes = std::fs::read(folder.0.join(STORE_FILE)).expect("the store file can be read");
        std::fs::write(path, to_text(&bytes)).expect("the fixture can be written");
    }
}
