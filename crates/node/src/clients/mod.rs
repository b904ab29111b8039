//! Clients, as the front deals them out: how connections are accepted, opened, relayed and closed.

mod accept;
mod closing;
mod idle;
mod relay;
mod requests;

use glendeck::domain::Span;

pub(crate) use accept::AcceptQueue;

/// While accepting fails, the system is asked again after this: soon, but without a busy loop.
pub(crate) const ACCEPT_RETRY_DELAY: Span = Span::ms(20);

/// A connection that has not opened this long after it came, or after its last `PING`, is no client and holds
/// a descriptor. Usual clients speak at once; others are owed an error or a close within 3 s.
const FIRST_LINE_TIMEOUT: Span = Span::ms(2_000);

/// Where descriptors are short, a connection of no use to a call stays at least this long: usual clients were
/// seen to speak within 5 ms and to read their last bytes as fast; ten times that for a busy core.
const MIN_IDLE: Span = Span::ms(50);

/// Descriptors kept free of calls: half for new connections, which may only be told `BUSY`, half for the
/// attempts of calls that are served, for probes and the endpoint list.
const RESERVED_DESCRIPTORS: usize = 16;

/// Descriptors that stay free for the attempts of calls, probes and the endpoint list when a connection is
/// accepted.
const RESERVED_FOR_ATTEMPTS: usize = RESERVED_DESCRIPTORS / 2;
