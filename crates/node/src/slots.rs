//! A table of numbered entries whose numbers are never used twice.

use slab::Slab;

/// 2^20 slots are far more than a process has descriptors; the other 44 bits, the serial, last for centuries.
const SLOT_BITS: u32 = 20;

const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;

/// Entries by number.
///
/// A number has the entry's slot in its low bits and above that a serial, which rises with every entry: so an
/// event or a timer of an entry that has gone cannot reach the one that took over its slot, and the lower
/// number is the older.
pub(crate) struct Slots<T> {
    entries: Slab<Entry<T>>,
    last_serial: u64,
}

struct Entry<T> {
    number: u64,
    value: T,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { entries: Slab::new(), last_serial: 0 }
    }
}

fn slot(number: u64) -> usize {
    (number & SLOT_MASK) as usize
}

impl<T> Slots<T> {
    /// Adds an entry and returns its number.
    pub(crate) fn insert(&mut self, value: T) -> u64 {
        self.last_serial += 1;
        let vacant = self.entries.vacant_entry();
        let number = self.last_serial << SLOT_BITS | vacant.key() as u64;
        vacant.insert(Entry { number, value });
        number
    }

    /// The entry of this number, if it is still there.
    pub(crate) fn get(&self, number: u64) -> Option<&T> {
        let entry = self.entries.get(slot(number))?;
        (entry.number == number).then_some(&entry.value)
    }

    /// The same, to change it.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let entry = self.entries.get_mut(slot(number))?;
        (entry.number == number).then_some(&mut entry.value)
    }

    /// Takes the entry of this number out, if it is still there.
    pub(crate) fn remove(&mut self, number: u64) -> Option<T> {
        self.get(number)?;
        Some(self.entries.remove(slot(number)).value)
    }

    /// How many entries there are.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries with their numbers, by slot.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.entries.iter().map(|(_, entry)| (entry.number, &entry.value))
    }
}
