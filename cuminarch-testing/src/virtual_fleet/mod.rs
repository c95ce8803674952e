//! A fleet of control state machines in virtual time.
//!
//! Drives [`cuminarch_membership::Fleet`] as a node does, over a network that
//! loses, delays, repeats and cuts, and beside a platform that fails. The same
//! seed gives the same run.

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
