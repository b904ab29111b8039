//! A fleet in simulated time: thousands of random schedules of faults, injected faults that the checker must
//! detect, and tests of single hard cases.

mod common;
mod hosts;
mod injected_faults;
mod random_schedules;
mod releases;
mod scale;
mod schedule_generator;
mod voters;
mod world;
