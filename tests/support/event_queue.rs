//! Queue of events in simulated time.

use std::collections::BTreeMap;

use glendeck::domain::Time;

/// A queue that returns events by time; events of the same time in the order in which they were added.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(Time, u64), E>,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { events: BTreeMap::new(), added: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that is due at `time`.
    pub(crate) fn push(&mut self, time: Time, event: E) {
        self.added += 1;
        self.events.insert((time, self.added), event);
    }

    /// Removes and returns the next event that is due at `until` or before.
    pub(crate) fn pop_until(&mut self, until: Time) -> Option<(Time, E)> {
        let (&(time, _), _) = self.events.first_key_value()?;
        if time > until {
            return None;
        }
        self.events.pop_first().map(|((time, _), event)| (time, event))
    }

    /// Removes all events.
    pub(crate) fn clear(&mut self) {
        self.events.clear();
    }
}
