//! Single works at chosen nodes, for moments that no draw would meet: what hosts do with each is told, and when its client
//! reads.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::spawn;
use crate::workers::{Came, GUARD, come, opening};

/// What hosts do with one work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// They do it and answer at once.
    Soon,
    /// They do it, and answer once that is wished.
    Held,
    /// Half of its line comes, and no more.
    Half,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    pub wish: Wish,
    /// Lines that came in part.
    halves: u32,
}

/// By the work's key.
#[derive(Clone, Default)]
pub struct Wishes(Arc<(Mutex<HashMap<String, Told>>, Condvar)>);

/// A host holds an answer no longer than this.
const HOLDS: Duration = Duration::from_secs(60);

impl Wishes {
    pub(crate) fn told(&self, key: &str) -> Option<Told> {
        self.0.0.lock().ok()?.get(key).copied()
    }

    pub(crate) fn came(&self, key: &str) {
        if let Ok(mut all) = self.0.0.lock() {
            all.entry(key.to_owned()).and_modify(|told| told.halves += 1);
        }
    }

    /// Waits until the answer may go.
    pub(crate) fn answer(&self, key: &str) {
        let Ok(mut all) = self.0.0.lock() else { return };
        let until = Instant::now() + HOLDS;
        while all.get(key).is_some_and(|told| told.wish == Wish::Held) && Instant::now() < until {
            let Ok((guard, _)) = self.0.1.wait_timeout(all, Duration::from_millis(200)) else { return };
            all = guard;
        }
    }

    fn wish(&self, key: &str, wish: Wish) {
        if let Ok(mut all) = self.0.0.lock() {
            all.entry(key.to_owned()).or_insert(Told { wish, halves: 0 }).wish = wish;
        }
        self.0.1.notify_all();
    }
}

/// What a client heard at one coming.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Up,
    Busy,
    Released,
    Nothing,
}

#[derive(Default)]
struct Errand {
    key: u64,
    pays: bool,
    /// What each coming heard, once it is over.
    heard: Vec<Arc<Mutex<Option<Heard>>>>,
    /// It reads nothing while this is set, and goes without having read.
    deaf: Arc<AtomicBool>,
    /// An answer has come that it has not read.
    unread: Arc<AtomicBool>,
}

pub struct Errands {
    nodes: Vec<SocketAddr>,
    wishes: Wishes,
    all: BTreeMap<String, Errand>,
    ids: AtomicU64,
}

impl Errands {
    pub fn new(nodes: &[SocketAddr], wishes: &Wishes) -> Errands {
        let (nodes, wishes) = (nodes.to_vec(), wishes.clone());
        Errands { nodes, wishes, all: BTreeMap::new(), ids: AtomicU64::new(0xe44a_0000) }
    }

    /// A work of that name, and what hosts do with it from here on.
    pub fn wish(&mut self, name: &str, pays: bool, wish: Wish) {
        let key = 0xe44a_0000_0000 + self.all.len() as u64;
        let errand = self.all.entry(name.to_owned()).or_insert(Errand { key, pays, ..Errand::default() });
        self.wishes.wish(&format!("{:x}", errand.key), wish);
    }

    pub fn deaf(&self, name: &str, deaf: bool) {
        self.all[name].deaf.store(deaf, Ordering::SeqCst);
    }

    /// Its client comes to a node, again if it has been before.
    pub fn come(&mut self, name: &str, at: usize) {
        let Some(errand) = self.all.get_mut(name) else { return };
        let (address, id) = (self.nodes[at], self.ids.fetch_add(1, Ordering::Relaxed));
        let (key, pays, repeat) = (errand.key, errand.pays, !errand.heard.is_empty());
        let heard = Arc::new(Mutex::new(None));
        errand.heard.push(heard.clone());
        let (deaf, unread) = (errand.deaf.clone(), errand.unread.clone());
        spawn(move || {
            let came = if deaf.load(Ordering::SeqCst) {
                let _ = come_deaf(address, &opening(id, key, pays, repeat), &deaf, &unread);
                Heard::Nothing
            } else {
                match come(address, id, key, pays, repeat) {
                    Came::Up(_) => Heard::Up,
                    Came::Busy => Heard::Busy,
                    Came::Released => Heard::Released,
                    Came::Nothing(_) => Heard::Nothing,
                }
            };
            if let Ok(mut heard) = heard.lock() {
                *heard = Some(came);
            }
        });
    }

    /// What the last so many comings heard, once all of them are over.
    pub fn heard(&self, name: &str, last: usize) -> Option<Vec<Heard>> {
        let all = &self.all[name].heard;
        all[all.len().checked_sub(last)?..].iter().map(|heard| heard.lock().ok().and_then(|of| *of)).collect()
    }

    pub fn unread(&self, name: &str) -> bool {
        self.all[name].unread.load(Ordering::SeqCst)
    }

    /// Lines of it that came to hosts in part.
    pub fn halves(&self, name: &str) -> u32 {
        self.wishes.told(&format!("{:x}", self.all[name].key)).map_or(0, |told| told.halves)
    }

    /// As hosts name it.
    pub fn work(&self, name: &str) -> String {
        let errand = &self.all[name];
        format!("c={} {:x}", crate::kind_of(errand.pays), errand.key)
    }
}

fn come_deaf(
    address: SocketAddr,
    opening: &str,
    deaf: &AtomicBool,
    unread: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, GUARD)?;
    stream.write_all(opening.as_bytes())?;
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let until = Instant::now() + HOLDS;
    while deaf.load(Ordering::SeqCst) && Instant::now() < until {
        if stream.peek(&mut [0; 2]).is_ok_and(|some| some == 2) {
            unread.store(true, Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
