//! A store on disks that fail: each fault brought about on a real file, the verdict by what is read back.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use glendeck_fleet::{StoreKey, StoreWrite, StoredState};
use glendeck_store::{Faults, Instead, Outcome, Store, StoreError, open};
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

impl Faults for Switch {
    fn writes(&self, _: u64, _: &[u8]) -> io::Result<Instead> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::Error::from_raw_os_error(28));
        }
        Ok(Instead::Nothing)
    }

    fn syncs(&self) -> io::Result<Instead> {
        if self.stalls.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(700));
        }
        if self.fails.load(Ordering::Relaxed) {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(Instead::Nothing)
    }
}

fn start(folder: &Folder, faults: Option<Arc<dyn Faults>>) -> (Store, StoredState, Option<String>) {
    let until = Instant::now() + Duration::from_secs(5);
    let opened = loop {
        // The thread of the store before lets go of it soon after its owner has.
        match open(&folder.0, faults.clone()) {
            Err(StoreError::InUse(_)) if Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(5))
            }
            other => break other.unwrap(),
        }
    };
    let (wake, _kept) = UnixStream::pair().unwrap();
    let (saved, spoilt) = (opened.saved.clone(), opened.spoilt.clone());
    std::mem::forget(_kept);
    (opened.start(wake).unwrap(), saved, spoilt)
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

fn some(number: u8) -> Vec<StoreWrite> {
    vec![
        StoreWrite::Put(StoreKey::Stamp, vec![number; 8]),
        StoreWrite::Log(u64::from(number), vec![number; 400]),
        StoreWrite::Put(StoreKey::Promise, vec![number]),
    ]
}

#[test]
fn what_was_written_is_there() {
    let folder = Folder::new();
    let (store, saved, _) = start(&folder, None);
    assert_eq!(saved, StoredState::default());
    let mut want = StoredState::default();
    for number in 0..20 {
        assert!(store.write(u64::from(number), some(number)));
        assert_eq!(outcome(&store), Outcome::Written(u64::from(number)));
        want.apply(&some(number));
    }
    for writes in
        [vec![StoreWrite::Cut(12)], vec![StoreWrite::Log(10, vec![1]), StoreWrite::Remove(StoreKey::Promise)]]
    {
        want.apply(&writes);
        assert!(store.write(99, writes));
        assert_eq!(outcome(&store), Outcome::Written(99));
    }
    drop(store);
    let (_store, saved, spoilt) = start(&folder, None);
    assert_eq!((saved, spoilt), (want, None));
}

#[test_case(|switch| &switch.fails; "a sync that fails")]
#[test_case(|switch| &switch.full; "a full disk")]
fn the_first_failure_is_the_end(of: fn(&Switch) -> &AtomicBool) {
    let (folder, switch) = (Folder::new(), Arc::new(Switch::default()));
    let (store, _, _) = start(&folder, Some(switch.clone()));
    assert!(store.write(1, some(0)));
    assert_eq!(outcome(&store), Outcome::Written(1));
    of(&switch).store(true, Ordering::Relaxed);
    // A full disk shows once the file has to grow.
    let mut batch = 2;
    let dead = loop {
        assert!(store.write(batch, vec![StoreWrite::Log(1, vec![7; 200_000 * batch as usize])]));
        match outcome(&store) {
            Outcome::Dead(why) => break why,
            Outcome::Written(_) => batch += 1,
        }
        assert!(batch < 40, "it goes on without a word");
    };
    assert!(!dead.is_empty());
    of(&switch).store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(50));
    assert!(!store.write(batch + 1, some(2)), "a dead store takes nothing, whatever the disk says by now");
}

#[test]
fn a_stall_keeps_nobody_who_writes() {
    let (folder, switch) = (Folder::new(), Arc::new(Switch::default()));
    let (store, _, _) = start(&folder, Some(switch.clone()));
    switch.stalls.store(true, Ordering::Relaxed);
    let began = Instant::now();
    assert!(store.write(1, some(0)));
    assert_eq!(store.outcome(), None);
    assert!(began.elapsed() < Duration::from_millis(300), "took {:?}", began.elapsed());
    assert_eq!(outcome(&store), Outcome::Written(1));
    assert!(began.elapsed() >= Duration::from_millis(700));
}

/// What a torn write, a flipped bit or a lost end leave is found out; nothing of it is taken for true.
#[test]
fn damage_is_found_out() {
    let folder = Folder::new();
    let (store, _, _) = start(&folder, None);
    for number in 0..20 {
        assert!(store.write(u64::from(number), some(number)));
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
        let mut spoilt = bytes.clone();
        if cut {
            spoilt.truncate(at)
        } else {
            spoilt[at] ^= 1 << (at % 8)
        }
        std::fs::write(&file, &spoilt).unwrap();
        let _ = std::fs::remove_file(folder.0.join("fleet.redb.unreadable"));
        let opened = open(&folder.0, None).unwrap();
        match &opened.spoilt {
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
fn faults_are_said_clearly() {
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
