//! Clients, which the front-end balancer distributes over the nodes: accepts their connections, reads their
//! requests, relays their lines and closes their connections.

mod accept;
mod closing;
mod idle;
mod relay;
mod requests;

use glendeck::domain::Span;

pub(crate) use accept::AcceptQueue;

/// Delay before accepting is tried again after a failure: short, but long enough to avoid a busy loop.
pub(crate) const ACCEPT_RETRY_DELAY: Span = Span::ms(20);

/// Time limit for opening a call, from the accept or the last `PING`. A connection that exceeds it is no
/// client, but holds a descriptor. Well-behaved clients send their line at once; others must get an error or
/// a close within 3 s.
const FIRST_LINE_TIMEOUT: Span = Span::ms(2_000);

/// Minimum time that an idle connection stays open when descriptors are short. Well-behaved clients send
/// their line and read their last bytes within 5 ms; this is ten times that, for a busy core.
const MIN_IDLE_TIME: Span = Span::ms(50);

/// Number of descriptors that a new call must leave free: half for new connections, which may only be told
/// `BUSY`, half for the attempts of accepted calls, for probes and for the endpoint list.
const RESERVED_DESCRIPTORS: usize = 16;

/// Number of descriptors that stay free for attempts of calls, probes and the endpoint list when a connection
/// is accepted.
const RESERVED_FOR_ATTEMPTS: usize = RESERVED_DESCRIPTORS / 2;
