//! Thousands of seeded schedules of faults in simulated time, the checker's own check by injected faults, and the hard
//! cases one by one.

mod common;
mod drawn;
mod draws;
mod hosts;
mod injected_faults;
mod releases;
mod scale;
mod voters;
mod world;
