//! Several engines joined by a faulty network in virtual time.
//!
//! The world carries out what the engines decide, draws faults from a seeded
//! generator and records every run of every upstream. The audit then compares
//! what ran with what callers were told.

pub mod audit;
pub mod scenario;
pub mod site;
pub mod steps;
pub mod world;

pub use scenario::{Faults, Incident, KeyKind, Sabotage, Scenario, scenarios};
pub use world::World;
