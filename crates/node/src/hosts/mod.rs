//! Hosts: the table of them, attempts of calls, open connections, and probes.

mod attempts;
mod connections;
mod messages;
mod probes;
mod table;

use glendeck::domain::Span;

pub(crate) use connections::HostClose;
pub(crate) use table::HostTable;

/// Clients of a leaving host are migrated one by one within this time: little enough for the shortest drain.
pub(crate) const MIGRATION_PERIOD: Span = Span::ms(1_000);
