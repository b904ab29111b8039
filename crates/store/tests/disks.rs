//! A store on disks that fail: each fault is injected into a real file, and judged by what is read back.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use glendeck_store::{DiskFaults, FaultAction, Outcome, ReadError, Store, StoreError, open};
use test_case::test_case;

static FOLDERS: AtomicU32 = AtomicU32::new(0);

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("glendeck-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[derive(Debug, Default)]
struct Switch {
    fails: AtomicBool,
    full: AtomicBool,
    stalls: AtomicBool,
}

impl DiskFaults for Switch {
    fn on_write(&self, _: u64, _: &[u8]) -> io::Result<FaultAction> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::Error::from_raw_os_error(28));
        }
        Ok(FaultAction::Proceed)
    }

    fn on_sync(&self) -> io::Result<FaultAction> {
        if self.stalls.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(700));
        }
        if self.fails.load(Ordering::Relaxed) {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(FaultAction::Proceed)
    }
}

fn start(folder: &Folder, faults: Option<Arc<dyn DiskFaults>>) -> (Store, StoredState, Option<ReadError>) {
    let until = Instant::now() + Duration::from_secs(5);
    let opened = loop {
        // The thread of the previous store closes it soon after its owner is gone.
        match open(&folder.0, faults.clone()) {
            Err(StoreError::InUse(_)) if Instant::now() < until => {
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
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(outcome) = store.outcome() {
            return outcome;
        }
        assert!(Instant::now() < until, "no outcome");
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
    let folder = Folder::new();
    let (store, saved, _) = start(&folder, None);
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
    let (_store, saved, unreadable) = start(&folder, None);
    assert_eq!((saved, unreadable), (expected, None));
}

#[test_case(|switch| &switch.fails; "a sync that fails")]
#[test_case(|switch| &switch.full; "a full disk")]
fn a_store_is_dead_after_the_first_failure(fault: fn(&Switch) -> &AtomicBool) {
    let (folder, switch) = (Folder::new(), Arc::new(Switch::default()));
    let (store, _, _) = start(&folder, Some(switch.clone()));
    assert!(store.write(1, writes(0)));
    assert_eq!(outcome(&store), Outcome::Written(1));
    fault(&switch).store(true, Ordering::Relaxed);
    // A full disk shows once the file has to grow.
    let mut batch = 2;
    let dead = loop {
        assert!(store.write(batch, vec![StoreWrite::Log(1, vec![7; 200_000 * batch as usize])]));
        match outcome(&store) {
            Outcome::Failed(why) => break why,
            Outcome::Written(_) => batch += 1,
        }
        assert!(batch < 40, "no write fails");
    };
    assert!(!dead.is_empty());
    fault(&switch).store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(50));
    assert!(!store.write(batch + 1, writes(2)), "a dead store takes nothing, whatever the disk says by now");
}

#[test]
fn a_stalled_disk_does_not_block_the_writer_of_a_batch() {
    let (folder, switch) = (Folder::new(), Arc::new(Switch::default()));
    let (store, _, _) = start(&folder, Some(switch.clone()));
    switch.stalls.store(true, Ordering::Relaxed);
    let began = Instant::now();
    assert!(store.write(1, writes(0)));
    assert_eq!(store.outcome(), None);
    assert!(began.elapsed() < Duration::from_millis(300), "took {:?}", began.elapsed());
    assert_eq!(outcome(&store), Outcome::Written(1));
    assert!(began.elapsed() >= Duration::from_millis(700));
}

/// Torn writes, flipped bits and lost ends are detected; nothing of them is taken for what was written.
#[test]
fn damage_is_detected() {
    let folder = Folder::new();
    let (store, _, _) = start(&folder, None);
    for number in 0..20 {
        assert!(store.write(u64::from(number), writes(number)));
        assert_eq!(outcome(&store), Outcome::Written(u64::from(number)));
    }
    drop(store);
    let (store, whole, _) = start(&folder, None);
    drop(store);
    std::thread::sleep(Duration::from_millis(50));
    let file = folder.0.join("fleet.redb");
    let bytes = std::fs::read(&file).unwrap();
    let (mut found, mut harmless) = (0, 0);
    let spots = (0..bytes.len()).step_by(bytes.len() / 150 + 1).chain((0..320).step_by(16));
    for (at, cut) in spots.map(|at| (at, false)).chain([(bytes.len() / 2, true), (4_096, true), (100, true)])
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
            // The bit was in no use. Anything else is what was never written, and must not be taken for true.
            None => {
                assert_eq!(opened.saved, whole, "damage at {at} is taken for true");
                harmless += 1;
            }
        }
    }
    assert!(found >= 10, "{found} found, {harmless} harmless: the damage does not reach what is written");
}

#[test]
fn a_store_that_cannot_be_opened_says_why() {
    let folder = Folder::new();
    let missing = folder.0.join("none");
    assert!(matches!(open(&missing, None), Err(StoreError::NoFolder(_))));
    let first = open(&folder.0, None).unwrap();
    let second = open(&folder.0, None).map(|_| ()).unwrap_err();
    assert!(second.to_string().contains("another process has the store"), "{second}");
    drop(first);
    let file = folder.0.join("a file");
    std::fs::write(&file, "").unwrap();
    assert!(open(&file, None).is_err());
}
