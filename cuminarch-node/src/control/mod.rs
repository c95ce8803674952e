//! Membership and configuration: drives [`cuminarch_membership::Fleet`] with
//! real links, a real clock and the platform.
//!
//! The control thread owns the state machine and the links. Calls to the
//! platform block, so each kind has a thread of its own, joined to the control
//! thread by bounded rings.

mod claims;
mod link;
mod links;
mod platform;
mod thread;

pub use claims::ClaimThread;
pub use platform::{PlatformThreads, read_members};
pub use thread::{ControlThread, FleetQuery};
