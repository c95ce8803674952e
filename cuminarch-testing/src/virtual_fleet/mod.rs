//! Simulation of a fleet of membership state machines in virtual time.
//!
//! Drives [`cuminarch_membership::Fleet`] as a node does. The simulated network loses,
//! delays and duplicates messages and can be partitioned; the platform can fail. Runs
//! with the same seed are identical.

mod counters;
mod network;
mod node;
mod platform;
mod run;

pub use counters::TrafficCounters;
pub use network::Network;
pub use node::VirtualNode;
pub use platform::VirtualPlatform;
pub use run::VirtualFleet;
