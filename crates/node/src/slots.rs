//! A table of numbered entries whose numbers are never reused.

use slab::Slab;

/// 2^20 slots are far more than a process has descriptors; the serial in the other 44 bits lasts for
/// centuries.
const SLOT_BITS: u32 = 20;

const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;

/// Entries, found by their numbers.
///
/// A number holds the entry's slot in its low bits and above it a serial, which increases with every entry.
/// So an event or a timer of a removed entry cannot reach the entry that reuses its slot, and of two numbers
/// the lower one is the older.
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

    /// The entry with this number, if it still exists.
    pub(crate) fn get(&self, number: u64) -> Option<&T> {
        let entry = self.entries.get(slot(number))?;
        (entry.number == number).then_some(&entry.value)
    }

    /// Mutable access to the entry with this number, if it still exists.
    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let entry = self.entries.get_mut(slot(number))?;
        (entry.number == number).then_some(&mut entry.value)
    }

    /// Removes and returns the entry with this number, if it still exists.
    pub(crate) fn remove(&mut self, number: u64) -> Option<T> {
        self.get(number)?;
        Some(self.entries.remove(slot(number)).value)
    }

    /// The number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries with their numbers, in the order of their slots.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.entries.iter().map(|(_, entry)| (entry.number, &entry.value))
    }
}
