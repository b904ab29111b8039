//! Hosts: the table of them, attempts of calls, open connections, and probes.

mod attempts;
mod connections;
mod messages;
mod probes;
mod table;

use glendeck::domain::Span;

pub use connections::HostClose;
pub use table::HostTable;

/// Clients of a leaving host are migrated one by one within this time: little enough for the shortest drain.
pub const SEND_AWAY: Span = Span::ms(1_000);
