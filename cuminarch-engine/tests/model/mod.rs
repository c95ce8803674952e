//! Several engines connected by a faulty network in virtual time.
//!
//! The world executes the actions of the engines, draws faults from a seeded generator and records
//! every run of every upstream. The audit then compares the runs with the outcomes reported to
//! callers.

pub mod audit;
pub mod scenario;
pub mod site;
pub mod steps;
pub mod world;

pub use scenario::{Faults, Incident, KeyKind, Sabotage, Scenario, scenarios};
pub use world::World;
