//! Hosts: the host table, attempts of calls, open connections and probes.

mod attempts;
mod connections;
mod messages;
mod probes;
mod table;

use glendeck::domain::Span;

pub(crate) use connections::HostClose;
pub(crate) use table::HostTable;

/// Time over which the migration of a draining host's clients is spread: short enough for the shortest drain.
/// Also the delay before a call that opens at a draining host is migrated.
pub(crate) const MIGRATION_PERIOD: Span = Span::ms(1_000);
