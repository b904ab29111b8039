//! Types that the decisions work with: ids, times, hosts, calls, snapshots, and the settings of a deployment.

mod call;
mod endpoint;
mod ids;
mod settings;
mod snapshot;
mod time;

pub use call::{AttemptOutcome, AttemptReport, Call, Idempotency, Scope};
pub use endpoint::{Condition, Endpoint, ListUpdate, Size, Weight, WeightKind};
pub use ids::{
    AttemptNumber, CallId, Cell, ClassId, GroupId, HostId, Kind, SubjectId, TenantId, TimerToken, Zone,
};
pub use settings::{RetryBudget, Settings, SlowStart, TrafficClass};
pub use snapshot::{HostSnapshot, NodeSnapshot, WarmState};
pub use time::{Span, Time};
