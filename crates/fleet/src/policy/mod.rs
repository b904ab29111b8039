//! The operators' files: fleet policy (units, and limits on how many may be out) and release plans.

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
