//! What operators' files say of a fleet: its units, how many of them may be out, and plans of releases.

mod error;
mod fleet_policy;
mod limits;
mod place;
mod plan;

pub use error::PolicyError;
pub use fleet_policy::{FleetPolicy, HostSettings, TakeoverSettings};
pub use limits::{Amount, Limit, Limits, Scope};
pub use place::{Place, UnitName};
pub use plan::{Act, Gates, OnHalt, Plan};
