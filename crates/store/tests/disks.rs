//! The store on failing disks: each fault is injected into a real file, and the test checks what is read
//! back.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use glendeck_store::{DiskFaults, FaultAction, Outcome, ReadError, Store, StoreError, open};
use test_case::test_case;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

struct TestFolder(PathBuf);

impl TestFolder {
    fn new() -> TestFolder {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("glendeck-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Faults that a test turns on and off.
#[derive(Debug, Default)]
struct SwitchedFaults {
    /// Syncs fail with an I/O error.
    sync_fails: AtomicBool,
    /// Writes fail, as no space is left on the disk.
    disk_full: AtomicBool,
    /// Syncs take 700 ms.
    sync_stalls: AtomicBool,
}

impl DiskFaults for SwitchedFaults {
    fn on_write(&self, _: u64, _: &[u8]) -> io::Result<FaultAction> {
        if self.disk_full.load(Ordering::Relaxed) {
            return Err(io::Error::from_raw_os_error(28)); // ENOSPC
        }
        Ok(FaultAction::Proceed)
    }

    fn on_sync(&self) -> io::Result<FaultAction> {
        if self.sync_stalls.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(700));
        }
        if self.sync_fails.load(Ordering::Relaxed) {
            return Err(io::Error::from_raw_os_error(5)); // EIO
        }
        Ok(FaultAction::Proceed)
    }
}

fn open_store(
    folder: &TestFolder,
    faults: Option<Arc<dyn DiskFaults>>,
) -> (Store, StoredState, Option<ReadError>) {
    let deadline = Instant::now() + Duration::from_secs(5);
    let opened = loop {
        // The writer thread of a dropped store closes the file with a delay.
        match open(&folder.0, faults.clone()) {
            Err(StoreError::InUse(_)) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(5))
            }
            other => break other.unwrap(),
        }
    };
    let (wake, waiting) = UnixStream::pair().unwrap();
    let (saved, unreadable) = (opened.saved.clone(), opened.unreadable.clone());
    std::mem::forget(waiting);
    (opened.start(wake).unwrap(), saved, unreadable)
}

fn outcome(store: &Store) -> Outcome {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(outcome) = store.outcome() {
            return outcome;
        }
        assert!(Instant::now() < deadline, "no outcome within 10 s");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn writes(number: u8) -> Vec<StoreWrite> {
    vec![
        StoreWrite::Put(StoreKey::Stamp, vec![number; 8]),
        StoreWrite::Log(u64::from(number), vec![number; 400]),
        StoreWrite::Put(StoreKey::Promise, vec![number]),
    ]
}

#[test]
fn a_reopened_store_holds_what_was_written() {
    let folder = TestFolder::new();
    let (store, saved, _) = open_store(&folder, None);
    assert_eq!(saved, StoredState::default());
    let mut expected = StoredState::default();
    for number in 0..20 {
        assert!(store.write(u64::from(number), writes(number)));
        assert_eq!(outcome(&store), Outcome::Written(u64::from(number)));
        expected.apply(&writes(number));
    }
    for writes in
        [vec![StoreWrite::Cut(12)], vec![StoreWrite::Log(10, vec![1]), StoreWrite::Remove(StoreKey::Promise)]]
    {
        expected.apply(&writes);
        assert!(store.write(99, writes));
        assert_eq!(outcome(&store), Outcome::Written(99));
    }
    drop(store);
    let (_store, saved, unreadable) = open_store(&folder, None);
    assert_eq!((saved, unreadable), (expected, None));
}

#[test_case(|injected| &injected.sync_fails; "sync fails")]
#[test_case(|injected| &injected.disk_full; "disk full")]
fn a_store_accepts_no_batch_after_the_first_failure(fault: fn(&SwitchedFaults) -> &AtomicBool) {
    let (folder, injected) = (TestFolder::new(), Arc::new(SwitchedFaults::default()));
    let (store, _, _) = open_store(&folder, Some(injected.clone()));
    assert!(store.write(1, writes(0)));
    assert_eq!(outcome(&store), Outcome::Written(1));
    fault(&injected).store(true, Ordering::Relaxed);
    // A full disk causes an error only once the file has to grow.
    let mut batch = 2;
    let cause = loop {
        assert!(store.write(batch, vec![StoreWrite::Log(1, vec![7; 200_000 * batch as usize])]));
        match outcome(&store) {
            Outcome::Failed(why) => break why,
            Outcome::Written(_) => batch += 1,
        }
        assert!(batch < 40, "no write failed before batch 40");
    };
    assert!(!cause.is_empty());
    fault(&injected).store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(50));
    assert!(!store.write(batch + 1, writes(2)), "a failed store took a batch after the disk had recovered");
}

#[test]
fn a_stalled_disk_does_not_block_the_caller() {
    let (folder, injected) = (TestFolder::new(), Arc::new(SwitchedFaults::default()));
    let (store, _, _) = open_store(&folder, Some(injected.clone()));
    injected.sync_stalls.store(true, Ordering::Relaxed);
    let began = Instant::now();
    assert!(store.write(1, writes(0)));
    assert_eq!(store.outcome(), None);
    assert!(began.elapsed() < Duration::from_millis(300), "took {:?}", began.elapsed());
    assert_eq!(outcome(&store), Outcome::Written(1));
    assert!(began.elapsed() >= Duration::from_millis(700));
}

/// Damaged bytes are never returned as stored data: flipped bits and a truncated file are either detected or
/// have no effect on what is read.
#[test]
fn damage_is_detected() {
    let folder = TestFolder::new();
    let (store, _, _) = open_store(&folder, None);
    for number in 0..20 {
        assert!(store.write(u64::from(number), writes(number)));
        assert_eq!(outcome(&store), Outcome::Written(u64::from(number)));
    }
    drop(store);
    let (store, intact, _) = open_store(&folder, None);
    drop(store);
    std::thread::sleep(Duration::from_millis(50));
    let file = folder.0.join("fleet.redb");
    let bytes = std::fs::read(&file).unwrap();
    let (mut found, mut harmless) = (0, 0);
    let offsets = (0..bytes.len()).step_by(bytes.len() / 150 + 1).chain((0..320).step_by(16));
    for (at, cut) in
        offsets.map(|at| (at, false)).chain([(bytes.len() / 2, true), (4_096, true), (100, true)])
    {
        let mut damaged = bytes.clone();
        if cut {
            damaged.truncate(at)
        } else {
            damaged[at] ^= 1 << (at % 8)
        }
        std::fs::write(&file, &damaged).unwrap();
        let _ = std::fs::remove_file(folder.0.join("fleet.redb.unreadable"));
        let opened = open(&folder.0, None).unwrap();
        match &opened.unreadable {
            Some(_) => found += 1,
            // The damage is in unused space if the state reads back unchanged. A store must never return a
            // state that was not written.
            None => {
                assert_eq!(
                    opened.saved, intact,
                    "damage at byte {at} was not detected and changed the state"
                );
                harmless += 1;
            }
        }
    }
    assert!(found >= 10, "{found} detected, {harmless} harmless: the damage hardly touches written data");
}

#[test]
fn opening_an_unusable_store_reports_the_cause() {
    let folder = TestFolder::new();
    let missing = folder.0.join("none");
    assert!(matches!(open(&missing, None), Err(StoreError::NoFolder(_))));
    let first = open(&folder.0, None).unwrap();
    let second = open(&folder.0, None).map(|_| ()).unwrap_err();
    assert!(second.to_string().contains("in use by another process"), "{second}");
    drop(first);
    let file = folder.0.join("a file");
    std::fs::write(&file, "").unwrap();
    assert!(open(&file, None).is_err());
}
