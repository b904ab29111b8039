//! Time limits that owners and replicas share.

use glendeck_fleet::Timestamp;

/// An attempt is sent within this time after its node requested the replication of the intent, or not at all.
/// It allows two round trips over a congested link. A node that takes a record over waits longer than this.
pub const SEND_WINDOW_MS: u64 = 500;

/// An unanswered record is not taken over before this time has passed since its call's deadline or, if its
/// owner was declared lost, since its last intent was stored. By then the owner has sent everything that it
/// may still send, even if clock rates differ by a tenth.
pub const QUIET_PERIOD_MS: u64 = 600;

/// The age of an attempt whose send time is not known: longer than any host recognises a repeat by its key.
pub const UNKNOWN_AGE_MS: u64 = 1 << 40;

/// A request without a reply is sent again after this time: it may be lost when a link is re-established.
pub(crate) const RESEND_MS: u64 = 120;

/// Nanoseconds, the unit of [`Timestamp`], in a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// The moment `age_ms` before `now`, or the clock's zero if that is later.
pub(crate) fn timestamp_before(now: Timestamp, age_ms: u64) -> Timestamp {
    Timestamp(now.0.saturating_sub(age_ms.saturating_mul(NANOS_PER_MS)))
}
